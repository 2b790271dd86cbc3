#include <algorithm>

#include "comparison.h"
#include "dotterellead/rollout.h"
#include "schedule.h"

namespace dotterellead {
namespace {

// The short window finds a new fault before old successes hide it; the long
// ones find rare faults.
constexpr milliseconds kWindows[] = {milliseconds(4'000), milliseconds(16'000),
                                     milliseconds(64'000)};
constexpr milliseconds kTrafficWindow{60'000};
constexpr milliseconds kMinTrafficWindow{20'000};
// The host with the lowest id proposes first, which keeps duplicates in the log
// rare.
constexpr milliseconds kAdvanceRankDelay{500};
constexpr milliseconds kRollbackRankDelay{50};
constexpr std::int64_t kMaxRank = 6;
constexpr std::uint32_t kAll = 1000;

milliseconds Since(const unix_millis& start, const unix_millis& end) {
  return milliseconds(end.value - start.value);
}

template <class PairTable>
std::uint64_t NewSuccesses(const PairTable& totals) {
  std::uint64_t sum = 0;
  for (const auto& [key, pair] : totals)
    sum += pair.first.successes();
  return sum;
}

template <class PairTable>
std::uint64_t NewRequests(const PairTable& totals) {
  std::uint64_t sum = 0;
  for (const auto& [key, pair] : totals)
    sum += pair.first.requests;
  return sum;
}

template <class PairTable>
std::uint64_t NewSuccessesOfStep(const PairTable& totals, std::uint32_t step) {
  std::uint64_t sum = 0;
  for (const auto& [key, pair] : totals) {
    if (key.first == step)
      sum += pair.first.successes();
  }
  return sum;
}

template <class PairTable>
std::uint64_t NewSuccessesOfRoute(const PairTable& totals, route_id route) {
  std::uint64_t sum = 0;
  for (const auto& [key, pair] : totals) {
    if (key.second == route)
      sum += pair.first.successes();
  }
  return sum;
}

template <class PairTable>
void AddAll(PairTable& sum, const PairTable& table) {
  for (const auto& [key, pair] : table) {
    auto& into = sum[key];
    into.first.Add(pair.first);
    into.second.Add(pair.second);
  }
}

// Combines all routes of a step into one stratum. The version is chosen by the
// request id, independent of the route, so routes need no strata of their own;
// with them, a request on a route that only one version has served would not
// count.
template <class PairTable>
std::vector<version_pair> PerStep(const PairTable& table) {
  std::map<std::uint32_t, version_pair> steps;
  for (const auto& [key, pair] : table) {
    steps[key.first].first.Add(pair.first);
    steps[key.first].second.Add(pair.second);
  }
  std::vector<version_pair> strata;
  strata.reserve(steps.size());
  for (const auto& [step, pair] : steps)
    strata.push_back(pair);
  return strata;
}

}  // namespace

void rollout_machine::Evaluate(move_state& move,
                               const timestamp& now,
                               effects& out) {
  if (move.is_rolled_back())
    return ResendRollback(move, now, out);
  if (IsSuperseded(move))
    return RollBack(move, "replaced by a newer move of the pool", now, out);
  if (now.wall >= move.spec.deadline) {
    return RollBack(move,
                    "deadline passed at " +
                        std::to_string(move.progress.share_per_mille) +
                        " per mille",
                    now, out);
  }
  double least_chance = 1;
  const std::string fault = FindFault(move, now, least_chance);
  if (!fault.empty())
    return RollBack(move, fault, now, out);
  if (least_chance < kMoreEvidenceChance)
    RaiseShareForEvidence(move, now, out);
  if (least_chance >= kSuspectChance)
    Advance(move, now, out);
}

std::string rollout_machine::FindFault(const move_state& move,
                                       const timestamp& now,
                                       double& min_chance) {
  const std::uint32_t step = move.progress.step;
  const auto judge = [&](const pair_table& table) -> std::string {
    std::map<route_id, std::vector<version_pair>> routes;
    for (const auto& [key, pair] : table)
      routes[key.second].push_back(pair);
    for (const auto& [route, steps] : routes) {
      const comparison result = Compare(steps);
      min_chance = std::min(min_chance, result.min_chance);
      if (!result.fault.empty())
        return "route " + std::to_string(route.value()) + ": " + result.fault;
    }
    // With little traffic only all routes together distinguish the versions.
    const comparison result = CompareFailures(PerStep(table));
    min_chance = std::min(min_chance, result.min_chance);
    return result.fault.empty() ? "" : "all routes: " + result.fault;
  };
  pair_table recent;
  auto slice = move.slices.rbegin();
  for (const milliseconds window : kWindows) {
    for (;
         slice != move.slices.rend() && slice->begins_at + window >= now.steady;
         ++slice) {
      AddAll(recent, slice->counters);
    }
    std::string fault = judge(recent);
    if (!fault.empty())
      return fault;
  }
  pair_table current = move.totals;
  std::erase_if(current,
                [step](const auto& e) { return e.first.first != step; });
  return judge(current);
}

// A verdict needs the same number of failures at 1% as at 5%, but gets them
// five times sooner at 5%.
void rollout_machine::RaiseShareForEvidence(move_state& move,
                                            const timestamp& now,
                                            effects& out) {
  const std::uint32_t most = kShareLevels[kMaxLevelWithoutEvidence];
  const std::uint32_t share = move.progress.share_per_mille;
  if (share > 0 && share < most && CapacityPerMille(move, now) >= most) {
    Propose(move, most, move_verdict::kMoving,
            "suspected fault, more evidence needed", now, out);
  }
}

// ---- Rolling back

void rollout_machine::RollBack(move_state& move,
                               const std::string& reason,
                               const timestamp& now,
                               effects& out) {
  move.rollback_reason = reason;
  move.next_proposal_at =
      now.steady + kRollbackRankDelay * std::min(Rank(), kMaxRank);
  move.next_rollback_message_at = now.steady;
  ResendRollback(move, now, out);
}

void rollout_machine::ResendRollback(move_state& move,
                                     const timestamp& now,
                                     effects& out) {
  if (now.steady >= move.next_rollback_message_at) {
    move.next_rollback_message_at = now.steady + settings_.repeat_interval;
    out.push_back(
        rolled_back_to_peers{{move.id, move.revision, move.rollback_reason}});
  }
  Propose(move, 0, move_verdict::kRolledBack, move.rollback_reason, now, out);
}

// ---- Advancing

rollout_machine::traffic rollout_machine::ExpectedTraffic(
    const move_state& move,
    const timestamp& now) {
  traffic expected;
  const milliseconds age =
      std::chrono::duration_cast<milliseconds>(now.steady - move.first_seen);
  const milliseconds whole = Since(move.started, move.spec.deadline);
  expected.is_known = age >= std::min(kMinTrafficWindow, whole / 10);
  if (!expected.is_known || age.count() <= 0)
    return expected;
  const double scale =
      static_cast<double>(whole.count()) /
      static_cast<double>(std::min(age, kTrafficWindow).count());
  for (const evidence_slice& slice : move.slices) {
    if (slice.begins_at + kTrafficWindow < now.steady)
      continue;
    for (const auto& [key, pair] : slice.counters) {
      const std::uint64_t seen = pair.first.requests + pair.second.requests;
      expected.routes[key.second] += static_cast<double>(seen) * scale;
      expected.pool += static_cast<double>(seen) * scale;
    }
  }
  return expected;
}

void rollout_machine::Advance(move_state& move,
                              const timestamp& now,
                              effects& out) {
  const move_progress& progress = move.progress;
  if (progress.share_per_mille == 0) {
    Propose(move, kShareLevels.front(), move_verdict::kMoving, "started", now,
            out);
    return;
  }
  const traffic expected = ExpectedTraffic(move, now);
  if (!expected.is_known || AdjustTrial(move, expected, now, out))
    return;
  const std::size_t level = LevelOf(progress);
  const milliseconds rank_delay =
      kAdvanceRankDelay * std::min(Rank(), kMaxRank);
  const milliseconds at = Since(move.started, now.wall) - rank_delay;
  const auto stayed = std::chrono::duration_cast<milliseconds>(
                          now.steady - move.step_started_at) -
                      rank_delay;
  const step_times times{Since(move.started, move.spec.deadline), at - stayed,
                         at};
  if (!IsStepOver(level, times, settings_))
    return;
  if (level >= kMaxLevelWithoutEvidence && !HasEnoughEvidence(move, expected))
    return;
  if (level + 1 == kShareLevels.size()) {
    Propose(move, kAll, move_verdict::kDone, "earned", now, out);
    return;
  }
  const std::uint32_t next = ShareOf(level + 1, expected.pool);
  // Done follows the last level automatically, so all requests must fit before.
  const bool is_last = level + 2 == kShareLevels.size();
  if (CapacityPerMille(move, now) >= (is_last ? kAll : next))
    Propose(move, next, move_verdict::kMoving, "earned", now, out);
}

bool rollout_machine::HasEnoughEvidence(const move_state& move,
                                        const traffic& expected) {
  const std::uint64_t needed =
      std::max<std::uint64_t>(1, NeededSuccesses(expected.pool));
  if (NewSuccesses(move.totals) < needed)
    return false;
  // Later steps need their own evidence, for faults that show under load.
  const std::uint32_t step = move.progress.step;
  const bool is_later = LevelOf(move.progress) > kMaxLevelWithoutEvidence;
  if (is_later && NewSuccessesOfStep(move.totals, step) < (needed + 1) / 2)
    return false;
  return std::all_of(expected.routes.begin(), expected.routes.end(),
                     [&](const auto& route) {
                       return NewSuccessesOfRoute(move.totals, route.first) >=
                              NeededSuccesses(route.second);
                     });
}

std::uint32_t rollout_machine::NeededTrialShare(const move_state& move,
                                                const traffic& expected,
                                                const timestamp& now) {
  if (expected.pool <= 0 || !IsLittleTraffic(expected.pool))
    return 0;
  const milliseconds whole = Since(move.started, move.spec.deadline);
  const milliseconds left =
      PlannedEvidenceTime(whole) - Since(move.started, now.wall);
  const double part =
      static_cast<double>(std::max(left, milliseconds(0)).count()) /
      static_cast<double>(whole.count());
  const double coming = expected.pool * part;
  const auto needed = static_cast<double>(
      std::max<std::uint64_t>(1, NeededSuccesses(expected.pool)));
  const double missing =
      needed - static_cast<double>(NewSuccesses(move.totals));
  const auto used = static_cast<double>(NewRequests(move.totals));
  const bool is_enough =
      coming * kShareLevels[kMaxLevelWithoutEvidence] / kAll >= missing;
  if (is_enough || used + missing > MaxRequestsWithoutEvidence(expected.pool))
    return 0;
  return TrialShare(missing, coming);
}

bool rollout_machine::AdjustTrial(move_state& move,
                                  const traffic& expected,
                                  const timestamp& now,
                                  effects& out) {
  if (LevelOf(move.progress) > kMaxLevelWithoutEvidence)
    return false;
  const bool has_earned = HasEnoughEvidence(move, expected);
  const std::uint32_t base = kShareLevels[kMaxLevelWithoutEvidence];
  if (IsTrial(move.progress)) {
    const auto used = static_cast<double>(NewRequests(move.totals));
    if (has_earned)
      Propose(move, base, move_verdict::kMoving, "passed a trial", now, out);
    else if (!IsLittleTraffic(expected.pool))
      Propose(move, base, move_verdict::kMoving, "enough traffic for 5%", now,
              out);
    else if (used >= MaxRequestsWithoutEvidence(expected.pool))
      Propose(move, base, move_verdict::kMoving, "used up a trial", now, out);
    return true;
  }
  const std::uint32_t share = NeededTrialShare(move, expected, now);
  if (has_earned || share == 0)
    return false;
  Propose(move, share, move_verdict::kMoving,
          std::string(kTrialReason) + ": too little traffic for 5%", now, out);
  return true;
}

void rollout_machine::Propose(move_state& move,
                              std::uint32_t share,
                              move_verdict verdict,
                              const std::string& reason,
                              const timestamp& now,
                              effects& out) {
  if (!is_log_available_ || now.steady < move.next_proposal_at)
    return;
  move.next_proposal_at = now.steady + settings_.repeat_interval;
  out.push_back(propose_step{move.id,
                             move.revision,
                             move.progress.step,
                             {share, move.progress.step + 1, verdict, reason}});
}

}  // namespace dotterellead
