#include <fmt/core.h>

#include <algorithm>
#include <cmath>

#include "dotterellead/moves.h"

namespace dotterellead::moves {

namespace {

using catalog::move_state;

// Fewer faulty attempts may be chance.
constexpr std::uint64_t kMinFaulty = 4;
// Required excess of faulty attempts over the expected number, in standard
// deviations.
constexpr double kSignificance = 3.0;
// Required excess of faulty attempts, as a fraction of all attempts on the
// target.
constexpr double kMinFaultRateExcess = 0.12;
// Attempts on the target before its share is raised, in total and per route.
constexpr std::uint64_t kMinTrialAttempts = 12;
constexpr std::uint64_t kMinTrialAttemptsPerRoute = 2;
// Duration of the trial as a fraction of the order's duration: normally, and at
// most if there is little traffic.
constexpr double kTrialFraction = 0.42;
constexpr double kMaxTrialFraction = 0.60;
// Fraction of the permitted exposure that the trial may use.
constexpr double kTrialExposureFraction = 0.4;
constexpr std::uint32_t kMinTrialPerMille = 50;
constexpr std::uint32_t kMaxTrialPerMille = 400;
// Largest share at which the versions are compared. The remaining requests are
// the control group that tells a fault of the version from one that affects
// both.
constexpr std::uint32_t kMaxComparedPerMille = 900;
// Shares after the trial. Each is held for a fraction of the order's duration,
// which is enough to show a fault under load.
constexpr std::uint32_t kFullPerMille = 1000;
constexpr std::uint32_t kRampPerMille[] = {300, 600, kMaxComparedPerMille,
                                           kFullPerMille};
constexpr double kRampStepFraction = 0.08;
constexpr milliseconds kMinRampStep{1'000};
// Time with all traffic on the target before the move completes. Longer than
// any request, so that none is left on an old server.
constexpr milliseconds kCompletionDelay{1'600};
// Time between two attempts to write an outcome.
constexpr milliseconds kWriteInterval{700};
// Time after which other hosts write a verdict that the root has not written.
constexpr milliseconds kRootWriteTimeout{1'200};
// The target gets all traffic only if it has at least this fraction of the old
// version's slots.
constexpr double kMinCapacityRatio = 0.6;
// Otherwise its share is at most its fraction of all slots times this margin,
// since pools are seldom full.
constexpr double kProportionalShareMargin = 1.3;

// Whether the order is that of the move, written again after the store had lost
// it: its status then names the new revision and the start of the move. The
// move goes on with its evidence.
template <class Move>
bool IsWrittenAgain(const Move& move,
                    const catalog::move_order& order,
                    const catalog::move_status& status) {
  return move.order.revision != order.revision &&
         move.order.target == order.target &&
         move.order.duration == order.duration &&
         status.started_at == move.started_wall;
}

std::string FormatCounters(const attempt_counters& counters) {
  return fmt::format("{}/{}", counters.faulty, counters.attempts);
}

}  // namespace

bool IsWorse(const std::vector<step_evidence>& steps) {
  step_evidence total;
  for (const step_evidence& step : steps) {
    total.target.Add(step.target);
    total.old.Add(step.old);
  }
  if (total.target.faulty < kMinFaulty)
    return false;
  // Number of faulty attempts expected from the old version's fault rate, and
  // its variance. For steps with few attempts on the old version, the rate over
  // all steps serves as a prior. One additional faulty attempt keeps a fault
  // rate of zero from giving a variance of zero.
  constexpr double kPriorAttempts = 8;
  const double overall = (static_cast<double>(total.old.faulty) + 1) /
                         (static_cast<double>(total.old.attempts) + 2);
  double expected = 0;
  double variance = 0;
  for (const step_evidence& step : steps) {
    const double n1 = static_cast<double>(step.target.attempts);
    const double n2 = static_cast<double>(step.old.attempts) + kPriorAttempts;
    const double fault_rate =
        (static_cast<double>(step.old.faulty) + kPriorAttempts * overall) / n2;
    expected += n1 * fault_rate;
    variance += n1 * fault_rate * (1 - fault_rate) * (1 + n1 / n2);
  }
  const double excess = static_cast<double>(total.target.faulty) - expected;
  return excess >
             kMinFaultRateExcess * static_cast<double>(total.target.attempts) &&
         excess > kSignificance * std::sqrt(variance);
}

void move_machine::Step(const message& m, const timestamp& now, effects& out) {
  std::visit([&](const auto& typed) { On(typed, now, out); }, m);
  if (is_changed_)
    PublishStages(now, out);
}

std::optional<time_point> move_machine::NextDeadline() const {
  const bool has_work =
      std::any_of(moves_.begin(), moves_.end(), [&](const auto& entry) {
        return is_root_ ||
               entry.second.root_verdict.state != move_state::kRunning;
      });
  if (!has_work)
    return std::nullopt;
  // The duty's tick interval limits the frequency.
  return time_point::min();
}

void move_machine::On(const catalog_changed& m,
                      const timestamp& now,
                      effects&) {
  catalog_ = m.snapshot;
  for (const auto& [pool, order] : catalog_->moves) {
    auto move = moves_.find(pool);
    auto status = catalog_->move_statuses.find(pool);
    const bool has_status = status != catalog_->move_statuses.end() &&
                            status->second.revision == order.revision &&
                            status->second.target == order.target;
    if (move != moves_.end() && has_status &&
        IsWrittenAgain(move->second, order, status->second)) {
      move->second.order = order;
      move->second.current.order = order.revision;
      is_changed_ = true;
    }
    // A store that came back from an older copy reuses revisions.
    const bool is_new = move == moves_.end() ||
                        move->second.order.revision != order.revision ||
                        move->second.order.target != order.target;
    if (is_new) {
      move_record record;
      record.order = order;
      record.started_at = now.steady;
      record.started_wall = now.wall;
      record.step_started_at = now.steady;
      record.current.pool = pool;
      record.current.target = order.target;
      record.current.order = order.revision;
      move = moves_.insert_or_assign(pool, std::move(record)).first;
      is_changed_ = true;
    }
    if (!has_status)
      continue;
    // After a restart, the age of the order follows from its status.
    const milliseconds age(now.wall.value - status->second.started_at.value);
    if (is_new && status->second.started_at.value > 0 &&
        age > milliseconds(0) && age < order.duration) {
      move->second.started_at = now.steady - age;
      move->second.started_wall = status->second.started_at;
    }
    if (status->second.state != move_state::kRunning &&
        move->second.current.state != status->second.state) {
      move->second.current.state = status->second.state;
      move->second.current.per_mille =
          status->second.state == move_state::kCompleted ? kFullPerMille : 0;
      is_changed_ = true;
    }
  }
  std::erase_if(moves_, [&](const auto& entry) {
    const bool is_removed = !catalog_->moves.contains(entry.first);
    is_changed_ |= is_removed;
    return is_removed;
  });
}

void move_machine::On(const attempts_counted& m,
                      const timestamp&,
                      effects& out) {
  if (!is_root_) {
    out.emplace_back(report_counters{m.counters});
    return;
  }
  for (const auto& [key, counters] : m.counters) {
    auto it = moves_.find(key.pool);
    if (it == moves_.end() || it->second.order.revision != key.order)
      continue;
    move_record& move = it->second;
    std::vector<step_evidence>& route = move.by_route[key.route];
    route.resize(move.steps.size());
    for (step_evidence* e : {&move.total, &move.steps.back(), &route.back()})
      (key.is_target ? e->target : e->old).Add(counters);
  }
}

void move_machine::On(const role_changed& m,
                      const timestamp& now,
                      effects& out) {
  if (is_root_ == m.is_root)
    return;
  is_root_ = m.is_root;
  out.emplace_back(
      decision{"fleet-role", {{"role", is_root_ ? "root" : "member"}}});
  // A new root restarts the current step, since the evidence of the former root
  // is lost.
  for (auto& [pool, move] : moves_)
    move.step_started_at = now.steady;
}

void move_machine::On(const stages_received& m,
                      const timestamp& now,
                      effects&) {
  if (is_root_)
    return;
  for (const stage& received : m.stages) {
    auto it = moves_.find(received.pool);
    if (it == moves_.end() || it->second.order.revision != received.order ||
        it->second.order.target != received.target)
      continue;
    move_record& move = it->second;
    move.started_at = std::min(move.started_at, now.steady - received.age);
    // A verdict in the catalog is final.
    const bool is_decided = move.current.state != move_state::kRunning;
    if (is_decided || (received.step == move.current.step &&
                       received.per_mille == move.current.per_mille))
      continue;
    if (received.state != move_state::kRunning &&
        move.root_verdict.state != received.state)
      move.root_verdict = {received.state, now.steady};
    move.current.per_mille = received.per_mille;
    move.current.step = received.step;
    // A rollback takes effect at once, completion only when the store shows it.
    if (received.state == move_state::kRolledBack)
      move.current.state = received.state;
    move.step_started_at = now.steady;
    is_changed_ = true;
  }
}

void move_machine::On(const tick&, const timestamp& now, effects& out) {
  // Without the outcomes a move may already be decided.
  if (!catalog_ || !catalog_->has_all_outcomes)
    return;
  for (auto& [pool, move] : moves_) {
    if (is_root_)
      Evaluate(move, now, out);
    else if (move.root_verdict.state != move_state::kRunning &&
             now.steady >= move.root_verdict.received_at + kRootWriteTimeout +
                               settings_.takeover_delay)
      WriteOutcome(move, move.root_verdict.state, now, out);
  }
}

double move_machine::Progress(const move_record& move, const timestamp& now) {
  const double duration =
      std::max<double>(1, static_cast<double>(move.order.duration.count()));
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now.steady - move.started_at);
  return static_cast<double>(elapsed.count()) / duration;
}

move_machine::capacity move_machine::UsableSlots(
    const move_record& move) const {
  capacity slots;
  for (const auto& [id, server] : catalog_->servers)
    if (server.pool == move.order.pool && !server.is_draining &&
        !catalog_->closed_data_centres.contains(server.data_centre))
      (server.version == move.order.target ? slots.target : slots.old) +=
          server.slots;
  return slots;
}

std::uint32_t move_machine::MaxShareForCapacity(const move_record& move) const {
  const capacity slots = UsableSlots(move);
  const double target = slots.target;
  const double old = slots.old;
  if (target >= kMinCapacityRatio * old)
    return kFullPerMille;
  return static_cast<std::uint32_t>(kFullPerMille * kProportionalShareMargin *
                                    target / std::max(1.0, target + old));
}

std::string move_machine::FindFault(const move_record& move) const {
  if (IsWorse(move.steps))
    return "worse over the whole move";
  if (IsWorse({move.steps.back()}))
    return "worse in this step";
  for (const auto& [route, steps] : move.by_route)
    if (IsWorse(steps))
      return "worse on route " + route.value();
  return {};
}

bool move_machine::HasEnoughAttempts(const move_record& move) const {
  if (move.total.target.attempts < kMinTrialAttempts)
    return false;
  for (const auto& [route, steps] : move.by_route) {
    step_evidence sum;
    for (const step_evidence& step : steps) {
      sum.target.Add(step.target);
      sum.old.Add(step.old);
    }
    // A route with very little traffic is not waited for.
    if (sum.old.attempts >= kMinTrialAttempts &&
        sum.target.attempts < kMinTrialAttemptsPerRoute)
      return false;
  }
  return true;
}

// The share that uses kTrialExposureFraction of the permitted exposure by the
// end of the trial, extrapolated from the traffic so far.
std::uint32_t move_machine::TrialShare(const move_record& move,
                                       const timestamp& now) const {
  const double attempts =
      static_cast<double>(move.total.target.attempts + move.total.old.attempts);
  const double progress = std::max(0.02, Progress(move, now));
  constexpr double kMinAttempts = 20;
  if (attempts < kMinAttempts)
    return kMinTrialPerMille;
  const double expected_attempts = attempts / progress;
  const double allowed = settings_.max_exposure_ratio * expected_attempts +
                         settings_.exposure_allowance;
  const double share = kTrialExposureFraction * allowed /
                       std::max(1.0, expected_attempts * kTrialFraction);
  const auto per_mille = static_cast<std::uint32_t>(share * kFullPerMille);
  return std::clamp(per_mille, kMinTrialPerMille, kMaxTrialPerMille);
}

void move_machine::WriteOutcome(move_record& move,
                                move_state state,
                                const timestamp& now,
                                effects& out) {
  auto status = catalog_->move_statuses.find(move.order.pool);
  const bool is_written = status != catalog_->move_statuses.end() &&
                          status->second.revision == move.order.revision &&
                          status->second.target == move.order.target &&
                          (status->second.state == state ||
                           status->second.state != move_state::kRunning);
  if (is_written || now.steady < move.next_write_at)
    return;
  move.next_write_at = now.steady + kWriteInterval;
  out.emplace_back(write_status{
      move.order.pool,
      {move.order.target, state, move.order.revision, move.started_wall}});
}

void move_machine::Evaluate(move_record& move,
                            const timestamp& now,
                            effects& out) {
  WriteOutcome(move, move.current.state, now, out);
  if (move.current.state != move_state::kRunning)
    return;
  // With all traffic on the target there is no control group.
  const std::string fault =
      move.current.per_mille < kFullPerMille ? FindFault(move) : std::string();
  if (!fault.empty()) {
    EnterStage(move, 0, move_state::kRolledBack, fault, now, out);
    return;
  }
  const double progress = Progress(move, now);
  const milliseconds time_in_step = std::chrono::duration_cast<milliseconds>(
      now.steady - move.step_started_at);
  if (move.current.per_mille < kRampPerMille[0]) {
    const bool is_trial_over =
        progress >= kTrialFraction && HasEnoughAttempts(move);
    if (is_trial_over ||
        (progress >= kMaxTrialFraction && move.total.target.attempts > 0)) {
      EnterStage(move, kRampPerMille[0], move_state::kRunning, "trial passed",
                 now, out);
      return;
    }
    const std::uint32_t share =
        std::min(TrialShare(move, now), kRampPerMille[0] - 1);
    const std::uint32_t current = move.current.per_mille;
    // Small corrections are not worth a message to every host.
    if (current == 0 || share > current * 5 / 4)
      EnterStage(move, share, move_state::kRunning, "trial", now, out);
    return;
  }
  if (move.current.per_mille < kFullPerMille) {
    const auto step =
        std::max(kMinRampStep, std::chrono::duration_cast<milliseconds>(
                                   move.order.duration * kRampStepFraction));
    if (time_in_step < step)
      return;
    const std::uint32_t* next =
        std::upper_bound(std::begin(kRampPerMille), std::end(kRampPerMille),
                         move.current.per_mille);
    if (*next <= MaxShareForCapacity(move))
      EnterStage(move, *next, move_state::kRunning, "no fault found", now, out);
    return;
  }
  if (time_in_step >= kCompletionDelay)
    EnterStage(move, kFullPerMille, move_state::kCompleted, "no fault found",
               now, out);
}

void move_machine::EnterStage(move_record& move,
                              std::uint32_t per_mille,
                              move_state state,
                              const std::string& reason,
                              const timestamp& now,
                              effects& out) {
  const capacity slots = UsableSlots(move);
  constexpr std::string_view kStates[] = {"running", "completed",
                                          "rolled-back"};
  out.emplace_back(decision{
      "move-step",
      {{"pool", move.order.pool.value()},
       {"target", move.order.target.value()},
       {"state", std::string(kStates[static_cast<std::size_t>(state)])},
       {"per_mille", fmt::format("{}", per_mille)},
       {"reason", reason},
       {"slots", fmt::format("{}/{}", slots.target, slots.old)},
       {"progress", fmt::format("{:.2f}", Progress(move, now))},
       {"target_bad", FormatCounters(move.total.target)},
       {"old_bad", FormatCounters(move.total.old)}}});
  move.current.per_mille = per_mille;
  move.current.state = state;
  ++move.current.step;
  move.step_started_at = now.steady;
  move.steps.emplace_back();
  move.next_write_at = now.steady;
  is_changed_ = true;
}

void move_machine::PublishStages(const timestamp& now, effects& out) {
  is_changed_ = false;
  stages_changed changed;
  for (auto& [pool, move] : moves_) {
    move.current.age =
        std::chrono::duration_cast<milliseconds>(now.steady - move.started_at);
    changed.stages.push_back(move.current);
  }
  out.emplace_back(std::move(changed));
}

}  // namespace dotterellead::moves
