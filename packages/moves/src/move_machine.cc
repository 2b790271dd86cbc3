#include <fmt/core.h>

#include <algorithm>
#include <cmath>

#include "dotterellead/moves.h"

namespace dotterellead::moves {

namespace {

using catalog::move_state;

// Fewest bad answers that may condemn a version; fewer are chance.
constexpr std::uint64_t kLeastBad = 4;
// Standard deviations between the versions' shares of bad answers.
constexpr double kSignificance = 3.0;
// Difference of these shares that is worth a rollback.
constexpr double kLeastDifference = 0.12;
// Attempts on the target before its share is raised, in all and for a route.
constexpr std::uint64_t kEnoughAttempts = 12;
constexpr std::uint64_t kEnoughByRoute = 2;
// Parts of the order's time: the trial, the latest end of the trial with
// little traffic, the shares after it, and the verdict.
constexpr double kTrialEnd = 0.42;
constexpr double kTrialLatest = 0.60;
// Share of the exposure allowed to a bad version that the trial may use up.
constexpr double kTrialExposure = 0.4;
constexpr std::uint32_t kLeastTrial = 50;
constexpr std::uint32_t kMostTrial = 400;
// Last share at which the versions are compared; the rest is the control that
// tells a fault of the version from one that hits both.
constexpr std::uint32_t kLastCompared = 900;
// Shares after the trial, each for a part of the order's time that shows a
// fault under load.
constexpr std::uint32_t kAll = 1000;
constexpr std::uint32_t kRamp[] = {300, 600, kLastCompared, kAll};
constexpr double kRampStep = 0.08;
constexpr milliseconds kLeastRampStep{1'000};
// Time with all traffic on the target before the move is done: longer than a
// request lasts, so that none is left on an old server.
constexpr milliseconds kFinalTime{1'600};
// Between two requests to write one outcome.
constexpr milliseconds kWriteInterval{700};
// Time that the root has to write its verdict before other hosts do.
constexpr milliseconds kRootWrites{1'200};
// The target takes all traffic only if it has this part of the old version's
// slots. Otherwise its share stays in proportion, with some room, since pools
// are seldom full.
constexpr double kLeastCapacity = 0.6;
constexpr double kProportionRoom = 1.3;

std::string Counts(const version_tally& tally) {
  return fmt::format("{}/{}", tally.bad, tally.attempts);
}

}  // namespace

bool IsWorse(const std::vector<step_evidence>& steps) {
  step_evidence total;
  for (const step_evidence& step : steps) {
    total.target.Add(step.target);
    total.old.Add(step.old);
  }
  if (total.target.bad < kLeastBad)
    return false;
  // What chance and the old version's share of bad answers let expect. Where
  // a step has few answers of the old version, the other steps stand in; one
  // bad answer more keeps a clean history from making chance impossible.
  constexpr double kPrior = 8;
  const double overall = (static_cast<double>(total.old.bad) + 1) /
                         (static_cast<double>(total.old.attempts) + 2);
  double expected = 0;
  double variance = 0;
  for (const step_evidence& step : steps) {
    const double n1 = static_cast<double>(step.target.attempts);
    const double n2 = static_cast<double>(step.old.attempts) + kPrior;
    const double share =
        (static_cast<double>(step.old.bad) + kPrior * overall) / n2;
    expected += n1 * share;
    variance += n1 * share * (1 - share) * (1 + n1 / n2);
  }
  const double excess = static_cast<double>(total.target.bad) - expected;
  return excess >
             kLeastDifference * static_cast<double>(total.target.attempts) &&
         excess > kSignificance * std::sqrt(variance);
}

void move_machine::Step(const message& m, const moment& now, effects& out) {
  std::visit([&](const auto& typed) { On(typed, now, out); }, m);
  if (is_changed_)
    Publish(now, out);
}

std::optional<time_point> move_machine::NextDeadline() const {
  const bool has_work =
      std::any_of(moves_.begin(), moves_.end(), [&](const auto& entry) {
        return is_root_ || entry.second.heard.state != move_state::kRunning;
      });
  if (!has_work)
    return std::nullopt;
  // The duty's tick interval bounds how often this is.
  return time_point::min();
}

void move_machine::On(const catalog_changed& m, const moment& now, effects&) {
  known_ = m.snapshot;
  for (const auto& [pool, order] : known_->moves) {
    auto known = moves_.find(pool);
    const bool is_new =
        known == moves_.end() || known->second.order.revision != order.revision;
    if (is_new) {
      move_record record;
      record.order = order;
      record.begun = now.steady;
      record.begun_wall = now.wall;
      record.step_begun = now.steady;
      record.current.pool = pool;
      record.current.target = order.target;
      record.current.order = order.revision;
      known = moves_.insert_or_assign(pool, std::move(record)).first;
      is_changed_ = true;
    }
    auto status = known_->move_statuses.find(pool);
    if (status == known_->move_statuses.end() ||
        status->second.revision != order.revision)
      continue;
    // After a restart, the order's age is known from its status.
    const milliseconds age(now.wall.value - status->second.started.value);
    if (is_new && status->second.started.value > 0 && age > milliseconds(0) &&
        age < order.duration) {
      known->second.begun = now.steady - age;
      known->second.begun_wall = status->second.started;
    }
    if (status->second.state != move_state::kRunning &&
        known->second.current.state != status->second.state) {
      known->second.current.state = status->second.state;
      known->second.current.per_mille =
          status->second.state == move_state::kCompleted ? kAll : 0;
      is_changed_ = true;
    }
  }
  std::erase_if(moves_, [&](const auto& entry) {
    const bool is_gone = !known_->moves.contains(entry.first);
    is_changed_ |= is_gone;
    return is_gone;
  });
}

void move_machine::On(const tallies_counted& m, const moment&, effects& out) {
  if (!is_root_) {
    out.emplace_back(pass_tallies{m.counts});
    return;
  }
  for (const auto& [key, tally] : m.counts) {
    auto it = moves_.find(key.pool);
    if (it == moves_.end() || it->second.order.revision != key.order)
      continue;
    move_record& move = it->second;
    std::vector<step_evidence>& route = move.by_route[key.route];
    route.resize(move.steps.size());
    for (step_evidence* e : {&move.total, &move.steps.back(), &route.back()})
      (key.is_target ? e->target : e->old).Add(tally);
  }
}

void move_machine::On(const role_changed& m, const moment& now, effects& out) {
  if (is_root_ == m.is_root)
    return;
  is_root_ = m.is_root;
  out.emplace_back(
      decision{"fleet-role", {{"role", is_root_ ? "root" : "member"}}});
  // A new root gives a step its whole time again, since the evidence of the
  // one before is lost.
  for (auto& [pool, move] : moves_)
    move.step_begun = now.steady;
}

void move_machine::On(const stages_heard& m, const moment& now, effects&) {
  if (is_root_)
    return;
  for (const stage& heard : m.stages) {
    auto it = moves_.find(heard.pool);
    if (it == moves_.end() || it->second.order.revision != heard.order)
      continue;
    move_record& move = it->second;
    move.begun = std::min(move.begun, now.steady - heard.age);
    // A verdict in the catalog is final.
    const bool is_settled = move.current.state != move_state::kRunning;
    if (is_settled || (heard.step == move.current.step &&
                       heard.per_mille == move.current.per_mille))
      continue;
    if (heard.state != move_state::kRunning && move.heard.state != heard.state)
      move.heard = {heard.state, now.steady};
    move.current.per_mille = heard.per_mille;
    move.current.step = heard.step;
    // A rollback holds at once; completion only once the store shows it.
    if (heard.state == move_state::kRolledBack)
      move.current.state = heard.state;
    move.step_begun = now.steady;
    is_changed_ = true;
  }
}

void move_machine::On(const tick&, const moment& now, effects& out) {
  // Without the outcomes a move may be settled already.
  if (!known_ || !known_->has_outcomes)
    return;
  for (auto& [pool, move] : moves_) {
    if (is_root_)
      Decide(move, now, out);
    else if (move.heard.state != move_state::kRunning &&
             now.steady >=
                 move.heard.at + kRootWrites + settings_.stand_in_delay)
      WriteOutcome(move, move.heard.state, now, out);
  }
}

double move_machine::Progress(const move_record& move, const moment& now) {
  const double whole =
      std::max<double>(1, static_cast<double>(move.order.duration.count()));
  const auto passed =
      std::chrono::duration_cast<milliseconds>(now.steady - move.begun);
  return static_cast<double>(passed.count()) / whole;
}

move_machine::capacity move_machine::SlotsOf(const move_record& move) const {
  capacity slots;
  for (const auto& [id, server] : known_->servers)
    if (server.pool == move.order.pool && !server.is_leaving &&
        !known_->closed_data_centres.contains(server.data_centre))
      (server.version == move.order.target ? slots.target : slots.old) +=
          server.slots;
  return slots;
}

std::uint32_t move_machine::ShareThatFits(const move_record& move) const {
  const capacity slots = SlotsOf(move);
  const double target = slots.target;
  const double old = slots.old;
  if (target >= kLeastCapacity * old)
    return kAll;
  return static_cast<std::uint32_t>(kAll * kProportionRoom * target /
                                    std::max(1.0, target + old));
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

bool move_machine::HasEnough(const move_record& move) const {
  if (move.total.target.attempts < kEnoughAttempts)
    return false;
  for (const auto& [route, steps] : move.by_route) {
    step_evidence sum;
    for (const step_evidence& step : steps) {
      sum.target.Add(step.target);
      sum.old.Add(step.old);
    }
    // A route with hardly any traffic cannot be waited for.
    if (sum.old.attempts >= kEnoughAttempts &&
        sum.target.attempts < kEnoughByRoute)
      return false;
  }
  return true;
}

// The share that uses up kTrialExposure of the allowed exposure by the end of
// the trial, at the traffic seen so far.
std::uint32_t move_machine::TrialShare(const move_record& move,
                                       const moment& now) const {
  const double seen =
      static_cast<double>(move.total.target.attempts + move.total.old.attempts);
  const double progress = std::max(0.02, Progress(move, now));
  constexpr double kLeastSeen = 20;
  if (seen < kLeastSeen)
    return kLeastTrial;
  const double all = seen / progress;
  const double allowed = settings_.expose_share * all + settings_.expose_slack;
  const double share =
      kTrialExposure * allowed / std::max(1.0, all * kTrialEnd);
  const auto per_mille = static_cast<std::uint32_t>(share * kAll);
  return std::clamp(per_mille, kLeastTrial, kMostTrial);
}

void move_machine::WriteOutcome(move_record& move,
                                move_state state,
                                const moment& now,
                                effects& out) {
  auto status = known_->move_statuses.find(move.order.pool);
  const bool is_written = status != known_->move_statuses.end() &&
                          status->second.revision == move.order.revision &&
                          (status->second.state == state ||
                           status->second.state != move_state::kRunning);
  if (is_written || now.steady < move.next_write)
    return;
  move.next_write = now.steady + kWriteInterval;
  out.emplace_back(write_status{
      move.order.pool,
      {move.order.target, state, move.order.revision, move.begun_wall}});
}

void move_machine::Decide(move_record& move, const moment& now, effects& out) {
  WriteOutcome(move, move.current.state, now, out);
  if (move.current.state != move_state::kRunning)
    return;
  // With all traffic on the target nothing is left to compare it with.
  const std::string fault =
      move.current.per_mille < kAll ? FindFault(move) : std::string();
  if (!fault.empty()) {
    Enter(move, 0, move_state::kRolledBack, fault, now, out);
    return;
  }
  const double progress = Progress(move, now);
  const milliseconds in_step =
      std::chrono::duration_cast<milliseconds>(now.steady - move.step_begun);
  if (move.current.per_mille < kRamp[0]) {
    const bool is_due = progress >= kTrialEnd && HasEnough(move);
    if (is_due ||
        (progress >= kTrialLatest && move.total.target.attempts > 0)) {
      Enter(move, kRamp[0], move_state::kRunning, "trial passed", now, out);
      return;
    }
    const std::uint32_t share = std::min(TrialShare(move, now), kRamp[0] - 1);
    const std::uint32_t current = move.current.per_mille;
    // Small corrections are not worth a message to every host.
    if (current == 0 || share > current * 5 / 4)
      Enter(move, share, move_state::kRunning, "trial", now, out);
    return;
  }
  if (move.current.per_mille < kAll) {
    const auto step =
        std::max(kLeastRampStep, std::chrono::duration_cast<milliseconds>(
                                     move.order.duration * kRampStep));
    if (in_step < step)
      return;
    const std::uint32_t* next = std::upper_bound(
        std::begin(kRamp), std::end(kRamp), move.current.per_mille);
    if (*next <= ShareThatFits(move))
      Enter(move, *next, move_state::kRunning, "no fault found", now, out);
    return;
  }
  if (in_step >= kFinalTime)
    Enter(move, kAll, move_state::kCompleted, "no fault found", now, out);
}

void move_machine::Enter(move_record& move,
                         std::uint32_t per_mille,
                         move_state state,
                         const std::string& reason,
                         const moment& now,
                         effects& out) {
  const capacity slots = SlotsOf(move);
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
       {"target_bad", Counts(move.total.target)},
       {"old_bad", Counts(move.total.old)}}});
  move.current.per_mille = per_mille;
  move.current.state = state;
  ++move.current.step;
  move.step_begun = now.steady;
  move.steps.emplace_back();
  move.next_write = now.steady;
  is_changed_ = true;
}

void move_machine::Publish(const moment& now, effects& out) {
  is_changed_ = false;
  stages_changed changed;
  for (auto& [pool, move] : moves_) {
    move.current.age =
        std::chrono::duration_cast<milliseconds>(now.steady - move.begun);
    changed.stages.push_back(move.current);
  }
  out.emplace_back(std::move(changed));
}

}  // namespace dotterellead::moves
