// When a move may leave a step, and how much evidence it needs.
#ifndef DOTTERELLEAD_ROLLOUT_SCHEDULE_H_
#define DOTTERELLEAD_ROLLOUT_SCHEDULE_H_

#include <array>
#include <cstdint>

#include "dotterellead/rollout.h"

namespace dotterellead {

// The last level leaves the old version a control share until the move is done,
// so that both versions are compared over the same period at every level. The
// control share is the 5% at which a fault of the new version is found first.
inline constexpr std::array<std::uint32_t, 5> kShareLevels = {10, 50, 250, 500,
                                                              950};
// The last level with little traffic, where 5% are too few requests to tell a
// fault of the new version from one of both.
inline constexpr std::uint32_t kLittleTrafficLastShare = 750;
// The highest level that a version gets without having earned it.
inline constexpr std::size_t kUnearnedLevel = 1;
// Starts the reason of a step with a larger share of little traffic.
inline constexpr std::string_view kTrialReason = "trial";

// Whether a pool has so few requests over the whole move that 5% of them do not
// suffice as evidence.
bool IsLittleTraffic(double requests_over_move);

std::uint32_t ShareOf(std::size_t level, double requests_over_move);

// The level of a step that has been recorded (share above 0).
std::size_t LevelOf(const move_progress& progress);
bool IsTrial(const move_progress& progress);

struct step_times {
  // From the start of the move to its deadline.
  milliseconds whole;
  // From the start to the entry of the current step, and to now.
  milliseconds entered;
  milliseconds now;
};

// Whether the time planned for the level has passed. The plan spreads the
// levels over the move; a late move shortens its later levels in proportion.
bool IsTimeToLeave(std::size_t level,
                   const step_times& times,
                   const rollout_settings& settings);

// Time from the start until a version should have earned more than 5%.
milliseconds PlannedToEarn(milliseconds whole);

// Successful requests that a route or a pool with this many requests over the
// whole move must show: half of what 5% of them can show, at most 30.
std::uint64_t NeededSuccesses(double requests_over_move);

// The share of a trial in which a version gets this many of the requests still
// to come, in per mille.
std::uint32_t TrialShare(double missing, double coming_requests);

// Requests that an unearned version may get over the whole move.
double UnearnedBudget(double requests_over_move);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ROLLOUT_SCHEDULE_H_
