#include "placement.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// Slowdown of the operators' servers when the request takes the last free slot.
constexpr double kFullServerSlowdown = 1.7;
// A remote server must be faster by this much; covers the round trip and the
// price of bytes between data centres.
constexpr milliseconds kRemotePenalty{20};
// Weight of a new observation in the exponential moving average.
constexpr double kSmoothingFactor = 0.1;
// Initial estimate of the service time, as a fraction of the latency target.
constexpr double kInitialTargetFraction = 0.4;

// Fraction of a server's connection limit that idle connections may use; the
// rest is for requests of hosts that keep none.
constexpr double kMaxIdleFraction = 0.6;

double SlowdownFactor(const load_report& load) {
  return std::max<double>(load.slowdown_percent, 1) / 100.0;
}

double ContentionFactor(const load_report& load) {
  return load.running + 1 >= load.slots && load.slots > 1 ? kFullServerSlowdown
                                                          : 1;
}

}  // namespace

milliseconds PredictLatency(const load_report& load,
                            milliseconds service_time) {
  const double slots = std::max<double>(load.slots, 1);
  double factor = SlowdownFactor(load) * ContentionFactor(load);
  if (!HasFreeSlot(load))
    factor *= 1 + (0.5 + load.waiting) / slots;
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(service_time.count()) * factor));
}

bool HasFreeSlot(const load_report& load) {
  return load.running < load.slots && load.waiting == 0;
}

placement_choice ChooseServer(const std::vector<candidate>& candidates,
                              milliseconds service_time) {
  placement_choice result;
  milliseconds best_cost{0};
  for (const candidate& c : candidates) {
    const milliseconds predicted_latency = PredictLatency(c.load, service_time);
    const milliseconds cost =
        predicted_latency + (c.is_remote ? kRemotePenalty : milliseconds(0));
    if (result.best == nullptr || cost < best_cost) {
      result = {&c, predicted_latency};
      best_cost = cost;
    }
  }
  return result;
}

std::uint32_t MaxIdleConnections(std::uint32_t limit,
                                 std::size_t hosts,
                                 std::uint64_t rank) {
  if (limit == 0)
    return kMaxIdleConnections;
  constexpr std::uint64_t kSteps = 1'000;
  const double share = limit * kMaxIdleFraction / static_cast<double>(hosts);
  const auto whole = static_cast<std::uint64_t>(share);
  const auto fraction =
      static_cast<std::uint64_t>((share - static_cast<double>(whole)) * kSteps);
  const std::uint64_t connections = whole + (rank % kSteps < fraction ? 1 : 0);
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(connections, kMaxIdleConnections));
}

service_time_estimate::service_time_estimate(milliseconds target)
    : mean_ms_(kInitialTargetFraction * static_cast<double>(target.count())) {}

void service_time_estimate::AddSample(microseconds latency,
                                      const load_report& at_start) {
  const double service_time_ms =
      static_cast<double>(latency.count()) / 1000.0 /
      (SlowdownFactor(at_start) * ContentionFactor(at_start));
  mean_ms_ += kSmoothingFactor * (service_time_ms - mean_ms_);
}

milliseconds service_time_estimate::value() const {
  return milliseconds(static_cast<std::int64_t>(mean_ms_) + 1);
}

}  // namespace dotterellead::dispatch
