#include "placement.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// Slowdown of a server whose slots are all busy, as the operators' servers
// show it near full.
constexpr double kCrowdedFactor = 1.7;
// Gain below which a request stays in its own data centre: a round trip and
// the price of bytes between data centres.
constexpr milliseconds kRemotePenalty{20};
// Weight of one new observation in the estimate of work.
constexpr double kNewWeight = 0.1;
// Part of the target that a route's work is taken to need before the first
// answer.
constexpr double kFirstGuess = 0.4;

// Part of a server's connections that may stand idle; the rest carries requests
// of hosts that keep none.
constexpr double kIdlePart = 0.6;

double PaceFactor(const load_report& load) {
  return std::max<double>(load.pace_percent, 1) / 100.0;
}

double CrowdFactor(const load_report& load) {
  return load.running + 1 >= load.slots && load.slots > 1 ? kCrowdedFactor : 1;
}

}  // namespace

milliseconds PredictAnswer(const load_report& load, milliseconds work) {
  const double slots = std::max<double>(load.slots, 1);
  double factor = PaceFactor(load) * CrowdFactor(load);
  if (!HasFreeSlot(load))
    factor *= 1 + (0.5 + load.waiting) / slots;
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(work.count()) * factor));
}

bool HasFreeSlot(const load_report& load) {
  return load.running < load.slots && load.waiting == 0;
}

choice ChooseServer(const std::vector<candidate>& candidates,
                    milliseconds work) {
  choice result;
  milliseconds best_cost{0};
  for (const candidate& c : candidates) {
    const milliseconds predicted = PredictAnswer(c.load, work);
    const milliseconds cost =
        predicted + (c.is_remote ? kRemotePenalty : milliseconds(0));
    if (result.best == nullptr || cost < best_cost) {
      result = {&c, predicted};
      best_cost = cost;
    }
  }
  return result;
}

std::uint32_t IdleLinks(std::uint32_t limit,
                        std::size_t hosts,
                        std::uint64_t rank) {
  if (limit == 0)
    return kMostIdleLinks;
  constexpr std::uint64_t kSteps = 1'000;
  const double share = limit * kIdlePart / static_cast<double>(hosts);
  const auto whole = static_cast<std::uint64_t>(share);
  const auto part =
      static_cast<std::uint64_t>((share - static_cast<double>(whole)) * kSteps);
  const std::uint64_t links = whole + (rank % kSteps < part ? 1 : 0);
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(links, kMostIdleLinks));
}

work_estimate::work_estimate(milliseconds target)
    : millis_(kFirstGuess * static_cast<double>(target.count())) {}

void work_estimate::Add(microseconds taken, const load_report& at_start) {
  const double usual = static_cast<double>(taken.count()) / 1000.0 /
                       (PaceFactor(at_start) * CrowdFactor(at_start));
  millis_ += kNewWeight * (usual - millis_);
}

milliseconds work_estimate::value() const {
  return milliseconds(static_cast<std::int64_t>(millis_) + 1);
}

}  // namespace dotterellead::dispatch
