#include <algorithm>
#include <cmath>

#include "dotterellead/measure.h"

namespace dotterellead {
namespace {

// Weight of a new probe in the moving average of the probe cost.
constexpr double kCostSmoothing = 0.2;
// Lower bound of the estimated cost, which limits the number of probes due at
// once after a quiet period.
constexpr double kMinCostUs = 100;
constexpr double kMaxCostUs = 1'000.0 * limits::kMaxProbeTimeout.count();
constexpr std::int32_t kTrustDecrease = 250;
constexpr std::int32_t kTrustIncrease = 125;
// A weight is emitted again when it has changed by this much, or to zero.
constexpr std::uint32_t kWeightStep = 100;

// Probe time accrued per microsecond.
double RateOf(const homed_server& spec) {
  return spec.budget_per_mille / 1'000.0 * spec.slots;
}

// Time between two probes of the given cost.
microseconds IntervalOf(const homed_server& spec, double cost_us) {
  const double rate = RateOf(spec);
  if (rate <= 0)
    return microseconds::max() / 4;
  const microseconds earned(
      static_cast<std::int64_t>(std::ceil(cost_us / rate)));
  return std::max<microseconds>(earned, limits::kProbeInterval);
}

std::uint32_t WeightOf(const timestamp& now,
                       time_point made_at,
                       std::int32_t trust_per_mille) {
  const auto age = now.steady - made_at;
  if (age >= limits::kMaxReportAge || trust_per_mille <= 0)
    return 0;
  const auto left = limits::kMaxReportAge - std::max(age, age.zero());
  const double share = std::chrono::duration<double>(left) /
                       std::chrono::duration<double>(limits::kMaxReportAge);
  return static_cast<std::uint32_t>(share * trust_per_mille);
}

}  // namespace

std::string_view to_string(suspicion_reason reason) {
  return reason == suspicion_reason::kProbeFailed ? "probe-failed"
                                                  : "probes-slow";
}

void measure_machine::Step(const message& m,
                           const timestamp& now,
                           std::vector<effect>& out) {
  std::visit([&](const auto& alternative) { On(alternative, now, out); }, m);
}

void measure_machine::On(const servers_homed_here& m,
                         const timestamp& now,
                         std::vector<effect>&) {
  std::map<server_id, server_state> homed;
  for (const homed_server& spec : m.servers) {
    const auto known = servers_.find(spec.server);
    const bool is_same = known != servers_.end() &&
                         known->second.spec.homed_since == spec.homed_since;
    server_state state;
    if (is_same) {
      AccrueCredit(known->second, now);
      state = std::move(known->second);
    } else {
      state.accrued_until = spec.homed_since;
      state.last_sent = spec.homed_since;
    }
    state.spec = spec;
    homed.insert_or_assign(spec.server, std::move(state));
  }
  servers_ = std::move(homed);
}

void measure_machine::On(const probe_completed& m,
                         const timestamp& now,
                         std::vector<effect>& out) {
  const auto it = servers_.find(m.server);
  if (it == servers_.end() || !it->second.is_probing)
    return;
  FinishProbe(it->second, m, now, out);
}

void measure_machine::FinishProbe(server_state& state,
                                  const probe_completed& m,
                                  const timestamp& now,
                                  std::vector<effect>& out) {
  AccrueCredit(state, now);
  state.is_probing = false;
  const auto cost = static_cast<double>(m.cost.count());
  state.credit_us -= cost;
  if (m.result == probe_result::kTimedOut) {
    // The real cost is unknown and higher, so the next probe gets more time.
    state.cost_us = std::clamp(2 * cost, state.cost_us, kMaxCostUs);
    if (++state.consecutive_timeouts >= limits::kProbeTimeoutsBeforeSuspect)
      out.emplace_back(
          probe_suspected{m.server, suspicion_reason::kProbeTimeouts});
    return;
  }
  state.consecutive_timeouts = 0;
  state.cost_us += kCostSmoothing * (cost - state.cost_us);
  state.cost_us = std::clamp(state.cost_us, kMinCostUs, kMaxCostUs);
  if (m.result == probe_result::kFailed) {
    out.emplace_back(probe_suspected{m.server, suspicion_reason::kProbeFailed});
    return;
  }
  state.report = m.report;
  state.reported_at = now.steady - m.report.age;
  EmitEstimate(state, now, out);
}

void measure_machine::AbandonProbe(server_state& state,
                                   const timestamp& now,
                                   std::vector<effect>& out) {
  const auto ends = state.last_sent + state.time_limit;
  if (!state.is_probing || now.steady < ends + limits::kProbeOutcomeMargin)
    return;
  FinishProbe(state,
              {.server = state.spec.server,
               .result = probe_result::kTimedOut,
               .cost = state.time_limit},
              now, out);
}

void measure_machine::StartProbe(server_state& state,
                                 const timestamp& now,
                                 std::vector<effect>& out) {
  const microseconds earned(static_cast<std::int64_t>(state.credit_us));
  state.time_limit = std::min<microseconds>(earned, limits::kMaxProbeTimeout);
  state.is_probing = true;
  state.last_sent = now.steady;
  out.emplace_back(send_probe{state.spec.server, state.time_limit});
}

void measure_machine::On(const attempt_observed& m,
                         const timestamp& now,
                         std::vector<effect>& out) {
  const auto it = servers_.find(m.server);
  if (it == servers_.end() || !it->second.report)
    return;
  server_state& state = it->second;
  const probe_report& report = *state.report;
  // A report may lag by one request; a larger difference is a contradiction.
  const bool contradicted = m.failed || m.in_flight > report.in_flight + 1 ||
                            m.cold.value_or(report.cold) != report.cold;
  const std::int32_t change = contradicted ? -kTrustDecrease : kTrustIncrease;
  state.trust_per_mille = std::clamp(state.trust_per_mille + change, 0, 1'000);
  if (contradicted)
    EmitEstimate(state, now, out);
}

void measure_machine::On(const tick&,
                         const timestamp& now,
                         std::vector<effect>& out) {
  for (auto& [server, state] : servers_) {
    AccrueCredit(state, now);
    AbandonProbe(state, now, out);
    if (IsDue(state, now))
      StartProbe(state, now, out);
    if (!state.report || state.emitted_weight == 0)
      continue;
    const std::uint32_t weight =
        WeightOf(now, state.reported_at, state.trust_per_mille);
    if (weight == 0 || weight + kWeightStep <= state.emitted_weight)
      EmitEstimate(state, now, out);
  }
}

void measure_machine::AccrueCredit(server_state& state, const timestamp& now) {
  if (now.steady <= state.accrued_until)
    return;
  const std::chrono::duration<double, std::micro> passed =
      now.steady - state.accrued_until;
  state.accrued_until = now.steady;
  const double rate = RateOf(state.spec);
  const auto interval =
      static_cast<double>(IntervalOf(state.spec, state.cost_us).count());
  const double most =
      rate * interval * static_cast<double>(limits::kMaxSavedProbeIntervals);
  // Accruing never reduces credit that exceeds the limit of a smaller estimate.
  state.credit_us = std::max(
      state.credit_us, std::min(most, state.credit_us + passed.count() * rate));
}

bool measure_machine::IsDue(const server_state& state, const timestamp& now) {
  const microseconds interval = IntervalOf(state.spec, state.cost_us);
  return !state.is_probing && state.credit_us >= state.cost_us &&
         now.steady >= state.last_sent + interval;
}

std::optional<time_point> measure_machine::NextDeadline() const {
  time_point due = time_point::max();
  for (const auto& [server, state] : servers_)
    due = std::min({due, NextProbeAt(state), NextEstimateAt(state)});
  return due == time_point::max() ? std::nullopt : std::optional(due);
}

time_point measure_machine::NextProbeAt(const server_state& state) {
  if (state.is_probing)
    return state.last_sent + state.time_limit + limits::kProbeOutcomeMargin;
  const double rate = RateOf(state.spec);
  if (rate <= 0)
    return time_point::max();
  const double lacking = std::max(0.0, state.cost_us - state.credit_us);
  const microseconds earning(
      static_cast<std::int64_t>(std::ceil(lacking / rate)));
  return std::max(state.accrued_until + earning,
                  state.last_sent + IntervalOf(state.spec, state.cost_us));
}

// When WeightOf falls to the emitted weight less kWeightStep, or to zero.
time_point measure_machine::NextEstimateAt(const server_state& state) {
  if (!state.report || state.emitted_weight == 0)
    return time_point::max();
  if (state.trust_per_mille <= 0)
    return time_point();
  const std::uint32_t next =
      state.emitted_weight - std::min(state.emitted_weight, kWeightStep);
  const double age_share = 1.0 - (next + 1.0) / state.trust_per_mille;
  const auto age = microseconds(limits::kMaxReportAge) * age_share;
  // Weights are truncated to integers, so it falls just after this age.
  return state.reported_at + std::chrono::ceil<microseconds>(age) +
         microseconds(1);
}

void measure_machine::EmitEstimate(server_state& state,
                                   const timestamp& now,
                                   std::vector<effect>& out) {
  const probe_report& report = *state.report;
  state.emitted_weight =
      WeightOf(now, state.reported_at, state.trust_per_mille);
  out.emplace_back(load_estimate{
      .server = state.spec.server,
      .cold = report.cold,
      .draining = report.draining,
      .in_flight = report.in_flight,
      .boot = report.boot,
      .age = std::chrono::duration_cast<milliseconds>(now.steady -
                                                      state.reported_at),
      .weight_per_mille = state.emitted_weight});
}

}  // namespace dotterellead
