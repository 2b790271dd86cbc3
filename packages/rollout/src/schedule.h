// When a step of a move ends, and how much evidence it needs.
#ifndef DOTTERELLEAD_ROLLOUT_SCHEDULE_H_
#define DOTTERELLEAD_ROLLOUT_SCHEDULE_H_

#include <array>
#include <cstdint>

#include "dotterellead/rollout.h"

namespace dotterellead {

// The last level leaves the old version a control group until the move is done,
// so that both versions are compared over the same period at every level. Its
// share is the 5% at which a fault of the new version is first found.
inline constexpr std::array<std::uint32_t, 5> kShareLevels = {10, 50, 250, 500,
                                                              950};
// The last level with little traffic, where 5% are too few requests to
// distinguish a fault of the new version from one of both.
inline constexpr std::uint32_t kLittleTrafficLastShare = 750;
// The highest level without enough evidence.
inline constexpr std::size_t kMaxLevelWithoutEvidence = 1;
// Begins the reason of a step of a trial with little traffic.
inline constexpr std::string_view kTrialReason = "trial";

// Whether a pool has so few requests during the whole move that 5% of them are
// not enough evidence.
bool IsLittleTraffic(double requests_over_move);

std::uint32_t ShareOf(std::size_t level, double requests_over_move);

// The level of a recorded step with a share above 0.
std::size_t LevelOf(const move_progress& progress);
bool IsTrial(const move_progress& progress);

// Times of a move, relative to its start.
struct step_times {
  // Until the move's deadline.
  milliseconds duration;
  // Until the start of the current step, and until now.
  milliseconds step_started;
  milliseconds now;
};

// Whether the planned time of the level has passed. The plan spreads the levels
// over the move; a late move shortens its later levels proportionally.
bool IsStepOver(std::size_t level,
                const step_times& times,
                const rollout_settings& settings);

// Time from the start until there should be enough evidence for more than 5%.
milliseconds PlannedEvidenceTime(milliseconds duration);

// Successful requests that a route or a pool with this many requests during the
// whole move must have: half of what 5% of them can give, at most 30.
std::uint64_t NeededSuccesses(double requests_over_move);

// Share of a trial in which a version gets `missing_requests` of the remaining
// requests, in per mille.
std::uint32_t TrialShare(double missing_requests, double coming_requests);

// Maximum requests to a version without enough evidence during the whole move.
double MaxRequestsWithoutEvidence(double requests_over_move);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ROLLOUT_SCHEDULE_H_
