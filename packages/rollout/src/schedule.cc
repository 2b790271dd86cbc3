#include "schedule.h"

#include <algorithm>

namespace dotterellead {
namespace {

// Fraction of the move's duration at which each level ends. Nearly half of it
// passes at up to 5%, so that a fault that shows late still affects a small
// share. The last 15% are a reserve for outages of the log.
constexpr std::array<double, 5> kStepEndFractions = {0.08, 0.45, 0.58, 0.70,
                                                     0.85};
// A late move uses the reserve up to this fraction.
constexpr double kLatestEndFraction = 0.97;

constexpr double kLittleTrafficRequests = 3'000;
constexpr double kMaxFractionWithoutEvidence = 0.05;
constexpr double kMaxNeededSuccesses = 30;
// With very little traffic 5% is less than one request.
constexpr double kMinTrialRequests = 2;
// Limits of a trial's share. The larger it is, the more requests a version that
// fails all of them gets before there are enough of the old version to compare
// with: more than 6 in about 10% of moves at a share of 25%, in less than 0.1%
// at 10%.
constexpr std::uint32_t kMinTrialShare = 100;
constexpr std::uint32_t kMaxTrialShare = 250;
// Requests arrive unevenly, so a trial aims at more than the missing number.
constexpr double kTrialRequestFactor = 2;
constexpr double kAll = 1000;

double PlannedFraction(std::size_t level) {
  return kStepEndFractions[level] -
         (level == 0 ? 0 : kStepEndFractions[level - 1]);
}

milliseconds FractionOf(milliseconds duration, double fraction) {
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * fraction));
}

milliseconds MinStepTime(std::size_t level, const rollout_settings& settings) {
  return level + 1 == kShareLevels.size() ? settings.min_observation_time
                                          : settings.min_step_time;
}

milliseconds PlannedStepTime(std::size_t level, const step_times& times) {
  double parts_left = 0;
  for (std::size_t i = level; i < kShareLevels.size(); ++i)
    parts_left += PlannedFraction(i);
  const milliseconds left =
      FractionOf(times.duration, kLatestEndFraction) - times.step_started;
  return std::min(FractionOf(times.duration, PlannedFraction(level)),
                  FractionOf(left, PlannedFraction(level) / parts_left));
}

}  // namespace

bool IsLittleTraffic(double requests_over_move) {
  return requests_over_move < kLittleTrafficRequests;
}

std::uint32_t ShareOf(std::size_t level, double requests_over_move) {
  const bool is_last = level + 1 == kShareLevels.size();
  return is_last && IsLittleTraffic(requests_over_move)
             ? kLittleTrafficLastShare
             : kShareLevels[level];
}

std::size_t LevelOf(const move_progress& progress) {
  if (IsTrial(progress))
    return kMaxLevelWithoutEvidence;
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

bool IsStepOver(std::size_t level,
                const step_times& times,
                const rollout_settings& settings) {
  const milliseconds stayed = times.now - times.step_started;
  if (stayed < MinStepTime(level, settings))
    return false;
  if (level <= kMaxLevelWithoutEvidence)
    return times.now >= FractionOf(times.duration, kStepEndFractions[level]);
  return stayed >= PlannedStepTime(level, times);
}

milliseconds PlannedEvidenceTime(milliseconds duration) {
  return FractionOf(duration, kStepEndFractions[kMaxLevelWithoutEvidence]);
}

std::uint64_t NeededSuccesses(double requests_over_move) {
  const double half = requests_over_move * kMaxFractionWithoutEvidence / 2;
  return static_cast<std::uint64_t>(std::min(half, kMaxNeededSuccesses));
}

std::uint32_t TrialShare(double missing_requests, double coming_requests) {
  const double wanted = kTrialRequestFactor * kAll * missing_requests /
                        std::max(1.0, coming_requests);
  return static_cast<std::uint32_t>(
      std::clamp<double>(wanted, kMinTrialShare, kMaxTrialShare));
}

double MaxRequestsWithoutEvidence(double requests_over_move) {
  return std::max(kMinTrialRequests,
                  requests_over_move * kMaxFractionWithoutEvidence);
}

}  // namespace dotterellead
