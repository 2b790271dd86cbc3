#include "schedule.h"

#include <algorithm>

namespace dotterellead {
namespace {

// Part of the whole time at which each level is left. Nearly half of it passes
// at up to 5%, so that a fault that shows late still meets a small share. The
// last 15% are a reserve for outages of the log.
constexpr std::array<double, 5> kLeaveAt = {0.08, 0.45, 0.58, 0.70, 0.85};
// A late move uses up the reserve but for this part.
constexpr double kLatestEnd = 0.97;

constexpr double kLittleTraffic = 3'000;
constexpr double kUnearnedPart = 0.05;
constexpr double kMostNeededSuccesses = 30;
// With hardly any traffic, 5% is less than one request.
constexpr double kFewestTrialRequests = 2;
// A trial's share. The larger it is, the more requests a version that fails all
// of them gets until enough of the old version's stand against them: more than
// 6 in about 10% of moves at a share of 25%, in less than 0.1% at 10%.
constexpr std::uint32_t kLeastTrialShare = 100;
constexpr std::uint32_t kMostTrialShare = 250;
// Requests come unevenly, so a trial aims at more than is missing.
constexpr double kTrialReserve = 2;
constexpr double kAll = 1000;

double PlannedPart(std::size_t level) {
  return kLeaveAt[level] - (level == 0 ? 0 : kLeaveAt[level - 1]);
}

milliseconds Part(milliseconds whole, double part) {
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

milliseconds ShortestStay(std::size_t level, const rollout_settings& settings) {
  return level + 1 == kShareLevels.size() ? settings.shortest_observation
                                          : settings.shortest_step;
}

milliseconds PlannedStay(std::size_t level, const step_times& times) {
  double parts_left = 0;
  for (std::size_t i = level; i < kShareLevels.size(); ++i)
    parts_left += PlannedPart(i);
  const milliseconds left = Part(times.whole, kLatestEnd) - times.entered;
  return std::min(Part(times.whole, PlannedPart(level)),
                  Part(left, PlannedPart(level) / parts_left));
}

}  // namespace

bool IsLittleTraffic(double requests_over_move) {
  return requests_over_move < kLittleTraffic;
}

std::uint32_t ShareOf(std::size_t level, double requests_over_move) {
  const bool is_last = level + 1 == kShareLevels.size();
  return is_last && IsLittleTraffic(requests_over_move)
             ? kLittleTrafficLastShare
             : kShareLevels[level];
}

std::size_t LevelOf(const move_progress& progress) {
  if (IsTrial(progress))
    return kUnearnedLevel;
  if (progress.share_per_mille >= kLittleTrafficLastShare)
    return kShareLevels.size() - 1;
  std::size_t level = 0;
  while (kShareLevels[level + 1] <= progress.share_per_mille)
    ++level;
  return level;
}

bool IsTrial(const move_progress& progress) {
  return progress.reason.starts_with(kTrialReason);
}

bool IsTimeToLeave(std::size_t level,
                   const step_times& times,
                   const rollout_settings& settings) {
  const milliseconds stayed = times.now - times.entered;
  if (stayed < ShortestStay(level, settings))
    return false;
  if (level <= kUnearnedLevel)
    return times.now >= Part(times.whole, kLeaveAt[level]);
  return stayed >= PlannedStay(level, times);
}

milliseconds PlannedToEarn(milliseconds whole) {
  return Part(whole, kLeaveAt[kUnearnedLevel]);
}

std::uint64_t NeededSuccesses(double requests_over_move) {
  const double half = requests_over_move * kUnearnedPart / 2;
  return static_cast<std::uint64_t>(std::min(half, kMostNeededSuccesses));
}

std::uint32_t TrialShare(double missing, double coming_requests) {
  const double wanted =
      kTrialReserve * kAll * missing / std::max(1.0, coming_requests);
  return static_cast<std::uint32_t>(
      std::clamp<double>(wanted, kLeastTrialShare, kMostTrialShare));
}

double UnearnedBudget(double requests_over_move) {
  return std::max(kFewestTrialRequests, requests_over_move * kUnearnedPart);
}

}  // namespace dotterellead
