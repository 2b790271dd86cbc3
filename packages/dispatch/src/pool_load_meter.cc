#include "pool_load_meter.h"

#include <algorithm>
#include <cmath>

namespace dotterellead::dispatch {

namespace {

using seconds = std::chrono::duration<double>;

// Time constant of the rates. Long enough for several requests of a host that
// sees 8 per second, short enough to follow a burst.
constexpr seconds kTimeConstant{2.0};
// What one event adds to a rate.
constexpr double kEvent = 1 / kTimeConstant.count();

double Seconds(milliseconds work) {
  return seconds(work).count();
}

}  // namespace

void pool_load_meter::RecordOffered(int priority,
                                    milliseconds work,
                                    time_point now) {
  pools::priority_load& load = FadeTo(now).by_priority[priority];
  load.offered += kEvent;
  load.offered_work += kEvent * Seconds(work);
}

void pool_load_meter::RecordCompleted(int priority,
                                      milliseconds work,
                                      time_point now) {
  pools::priority_load& load = FadeTo(now).by_priority[priority];
  load.completed += kEvent;
  load.completed_work += kEvent * Seconds(work);
}

void pool_load_meter::RecordRejected(int priority, time_point now) {
  FadeTo(now).by_priority[priority].rejected += kEvent;
}

void pool_load_meter::RecordProbe(const load_report& load, time_point now) {
  pools::pool_load& faded = FadeTo(now);
  faded.free_slots +=
      kEvent * (load.slots - std::min(load.running, load.slots));
  faded.probed_slots += kEvent * load.slots;
}

pools::pool_load pool_load_meter::LoadAt(time_point now) const {
  pool_load_meter faded = *this;
  pools::pool_load load = faded.FadeTo(now);
  load.host_count = 1;
  return load;
}

pools::pool_load& pool_load_meter::FadeTo(time_point now) {
  const double factor = std::exp(-seconds(now - faded_at_) / kTimeConstant);
  faded_at_ = now;
  for (auto& [priority, load] : load_.by_priority) {
    load.offered *= factor;
    load.completed *= factor;
    load.rejected *= factor;
    load.offered_work *= factor;
    load.completed_work *= factor;
  }
  load_.free_slots *= factor;
  load_.probed_slots *= factor;
  return load_;
}

}  // namespace dotterellead::dispatch
