#include "pool_plan.h"

#include <algorithm>
#include <cmath>

namespace dotterellead::dispatch {

namespace {

// Demand below this, in requests per second of the whole fleet, is none. The
// rates of the last requests fade to it within seconds.
constexpr double kMinDemand = 0.2;
// Deviations of the number of running urgent requests that the reserve covers.
constexpr double kReservedDeviations = 4;
// The first probe round of four servers should find two free slots on average,
// since other hosts may take one of them at the same time.
constexpr double kFoundPerServer = 2.0 / 4;
// Largest reserve, as a fraction of the slots.
constexpr double kMaxReserve = 0.5;
// A priority served less than this often, relative to all, goes first and
// leaves nothing free. The reserve shrinks from the upper value on. The
// required floor is 0.25; the margin covers the delay of the view.
constexpr double kMinServedRatio = 0.35;
constexpr double kFullReserveRatio = 0.5;
// Fraction of the slots that work can use; the last slot of a server is slower.
constexpr double kUsableSlots = 0.85;
// The requests admitted, relative to what the pool can serve, so that no slot
// stays empty by chance.
constexpr double kAdmittedExcess = 1.3;
// A pool with a smaller fraction of free slots is full.
constexpr double kMaxFreeIfFull = 0.05;
constexpr double kMaxRetryFactor = 4;

// How often the priority is served, relative to all priorities.
double ServedRatio(const pools::priority_load& one,
                   const pools::priority_load& all) {
  if (one.offered < kMinDemand || all.completed <= 0)
    return 1;
  return (one.completed / one.offered) / (all.completed / all.offered);
}

// Less urgent work gives way only as it ends. The more its length exceeds that
// of the urgent work, the more of the variation of the urgent demand has to be
// covered by free slots; work of the same length needs none.
double Reserve(const pools::priority_load& urgent,
               const pools::priority_load& own,
               const pool_size& size) {
  const double urgent_length = urgent.offered_work / urgent.offered;
  const double own_length = own.offered_work / own.offered;
  const double excess = std::max(0.0, 1 - urgent_length / own_length);
  const auto servers = static_cast<double>(size.servers);
  const double running = urgent.offered_work;
  const double free =
      std::max(kReservedDeviations * std::sqrt(running) / servers,
               kFoundPerServer * std::min(1.0, running));
  return excess * std::min(free, kMaxReserve * static_cast<double>(size.slots) /
                                     servers);
}

}  // namespace

pool_plan MakePoolPlan(const pools::pool_load& load,
                       const pool_size& size,
                       bool is_shared) {
  pool_plan plan;
  if (size.slots == 0)
    return plan;
  const pools::priority_load all = load.Total();
  const auto slots = static_cast<double>(size.slots);
  const bool has_few_free =
      is_shared && load.probed_slots > 0 &&
      load.free_slots < kMaxFreeIfFull * load.probed_slots;
  pools::priority_load urgent;
  std::optional<int> favoured;
  for (const auto& [priority, own] : load.by_priority) {
    priority_plan& p = plan.by_priority[priority];
    const double ratio = ServedRatio(own, all);
    p.favoured = favoured;
    if (urgent.offered >= kMinDemand && own.offered >= kMinDemand) {
      const double scale = std::clamp(
          (ratio - kMinServedRatio) / (kFullReserveRatio - kMinServedRatio),
          0.0, 1.0);
      p.reserve = scale * Reserve(urgent, own, size);
      p.goes_first = ratio < kMinServedRatio;
      const double reserved = p.reserve * static_cast<double>(size.servers);
      const double left = kUsableSlots * slots - urgent.offered_work - reserved;
      p.is_full = is_shared && load.probed_slots > 0 &&
                  load.free_slots / load.probed_slots <
                      kMaxFreeIfFull + reserved / slots &&
                  own.offered_work > left;
      if (p.is_full && !p.goes_first)
        p.admitted_share =
            std::clamp(kAdmittedExcess * left / own.offered_work,
                       kFullReserveRatio * all.completed / all.offered, 1.0);
    }
    urgent.Add(own);
    if (!favoured && own.offered >= kMinDemand)
      favoured = priority;
  }
  if (has_few_free)
    plan.retry_factor =
        std::clamp(all.offered_work / slots, 1.0, kMaxRetryFactor);
  return plan;
}

std::uint32_t SlotsToLeave(double reserve,
                           const server_id& server,
                           std::uint32_t slots) {
  constexpr std::uint64_t kSteps = 1'000;
  const double limited = std::min(reserve, kMaxReserve * slots);
  const auto whole = static_cast<std::uint32_t>(limited);
  const auto fraction = static_cast<std::uint64_t>((limited - whole) * kSteps);
  return whole + (StableHash(server.value()) % kSteps < fraction ? 1 : 0);
}

}  // namespace dotterellead::dispatch
