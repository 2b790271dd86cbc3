#include <algorithm>

#include "admission_step.h"

namespace dotterellead {
namespace {

// Enough to detect two lost servers, with a margin for concurrent runs.
constexpr std::size_t kMaxServers = 8;
constexpr milliseconds kInitialResendInterval{20};
constexpr milliseconds kMaxResendInterval{1'000};

}  // namespace

void admission_machine::Step(const message& m,
                             const timestamp& now,
                             std::vector<effect>& out) {
  step s{*this, now, out};
  std::visit([&s](const auto& alternative) { s.On(alternative); }, m);
}

void admission_machine::step::On(const begin_run& m) {
  const auto budget = machine.retry_budgets_.find(m.pool);
  if (budget != machine.retry_budgets_.end())
    budget->second.AddFirstAttempts(1);
  record* r = Find(m.fingerprint);
  if (r == nullptr || IsExpired(*r)) {
    out.emplace_back(begin_decision{m.request, true});
    return;
  }
  if (!machine.has_majority_ || IsQuarantined(*r) ||
      r->waiting.size() >= limits::kMaxWaitingPerFingerprint) {
    out.emplace_back(begin_decision{m.request, false});
    out.emplace_back(admission_event{"refused", m.fingerprint});
    return;
  }
  r->waiting.push_back({.request = m.request, .deadline = m.deadline});
  RequestNextRun(m.fingerprint, *r);
}

void admission_machine::step::On(const acquire_retry& m) {
  if (!machine.retry_budgets_.contains(m.pool) &&
      machine.retry_budgets_.size() >= limits::kMaxRetryPools) {
    out.emplace_back(retry_decision{m.request, false});
    return;
  }
  retry_budget& budget = machine.retry_budgets_[m.pool];
  budget.AddFirstAttempts(m.first_attempts);
  out.emplace_back(retry_decision{m.request, budget.TryAcquire(now.steady)});
}

void admission_machine::step::On(const record_crash& m) {
  record* r = Find(m.fingerprint);
  const bool is_new = r == nullptr || !r->servers.contains(m.server);
  r = Merge(m.fingerprint, {m.server}, now.steady);
  r->is_granted_here = false;
  ++r->crashed;
  if (is_new) {
    out.emplace_back(admission_event{"strike", m.fingerprint});
    SendStrike(m.fingerprint, *r, machine.peers_);
  }
  r->crashes.push_back({m.request, now.steady + limits::kStrikeAckTimeout});
  DecideCrashes(m.fingerprint, *r);
}

void admission_machine::step::On(const end_run& m) {
  record* r = Find(m.fingerprint);
  if (r == nullptr)
    return;
  --r->runs;
  if (!IsClear(*r))
    return;
  if (r->is_granted_here && m.has_response)
    ++r->clean_runs;
  r->is_granted_here = false;
  TryGrant(m.fingerprint);
}

void admission_machine::step::On(const runs_counted& m) {
  record* r = Find(m.fingerprint);
  if (r == nullptr)
    return;
  // The ends of these runs may have arrived first, so the sum may be negative
  // until here.
  r->runs += m.runs;
  r->has_counted_runs = true;
  TryGrant(m.fingerprint);
}

void admission_machine::step::On(const admission_received& m) {
  std::visit([&](const auto& alternative) { OnPeer(m.from, alternative); },
             m.message);
}

void admission_machine::step::On(const admission_peers_changed& m) {
  std::set<member_id> joined(m.peers.begin(), m.peers.end());
  for (const member_id& known : machine.peers_)
    joined.erase(known);
  machine.self_ = m.self;
  machine.peers_ = m.peers;
  machine.has_majority_ = m.has_majority;
  std::vector<request_fingerprint> fingerprints;
  for (const auto& [fp, r] : machine.records_)
    fingerprints.push_back(fp);
  for (const request_fingerprint fp : fingerprints)
    OnPeersChanged(fp, *Find(fp), joined);
}

void admission_machine::step::On(const tick&) {
  std::vector<request_fingerprint> fingerprints;
  for (const auto& [fp, r] : machine.records_)
    fingerprints.push_back(fp);
  for (const request_fingerprint fp : fingerprints) {
    record* r = Find(fp);
    if (r == nullptr)
      continue;
    if (IsExpired(*r)) {
      RemoveRecord(fp);
      continue;
    }
    ExpireWaiting(*r);
    ResendStrikes(fp, *r);
    if (r->owner.round != 0)
      SendPolls(fp, *r);
    if (r->pending_sequence != 0)
      SendRunRequest(fp, *r);
    // A request of this host may have cleared the strikes.
    r = Find(fp);
    if (r != nullptr)
      DecideCrashes(fp, *r);
  }
}

admission_machine::record* admission_machine::step::Find(
    request_fingerprint fp) {
  const auto it = machine.records_.find(fp);
  return it == machine.records_.end() ? nullptr : &it->second;
}

admission_machine::record* admission_machine::step::Merge(
    request_fingerprint fp,
    const std::vector<server_id>& servers,
    time_point last_strike) {
  record* r = Find(fp);
  if (r == nullptr) {
    const record heard{.servers = {servers.begin(), servers.end()},
                       .last_strike = last_strike};
    if (servers.empty() || IsExpired(heard))
      return nullptr;
    EvictOldest();
    r = &machine.records_[fp];
    r->last_strike = last_strike;
    out.emplace_back(mark_struck{fp});
  }
  const bool was_quarantined = IsQuarantined(*r);
  for (const server_id& server : servers) {
    if (r->servers.size() >= kMaxServers)
      break;
    if (r->servers.insert(server).second) {
      r->last_strike = std::max(r->last_strike, last_strike);
      r->clean_runs = 0;
      r->last_poll_round = 0;
    }
  }
  if (!was_quarantined && IsQuarantined(*r)) {
    out.emplace_back(admission_event{"quarantined", fp});
    RejectWaiting(*r);
    RejectRequesters(fp, *r);
  }
  return r;
}

admission_machine::record* admission_machine::step::Merge(
    const strike_record& from) {
  return Merge(from.fingerprint, from.servers, now.steady - from.age);
}

void admission_machine::step::EvictOldest() {
  if (machine.records_.size() < limits::kMaxStruckFingerprints)
    return;
  const auto oldest = std::min_element(
      machine.records_.begin(), machine.records_.end(),
      [](const auto& a, const auto& b) {
        return std::tuple(!a.second.waiting.empty(), a.second.last_strike) <
               std::tuple(!b.second.waiting.empty(), b.second.last_strike);
      });
  RejectWaiting(oldest->second);
  RemoveRecord(request_fingerprint(oldest->first));
}

bool admission_machine::step::IsQuarantined(const record& r) const {
  return r.servers.size() >= limits::kCrashesBeforeQuarantine && !IsExpired(r);
}

bool admission_machine::step::IsExpired(const record& r) const {
  const bool refused = r.servers.size() >= limits::kCrashesBeforeQuarantine;
  return now.steady - r.last_strike >=
         (refused ? limits::kQuarantineTime : limits::kStrikeLifetime);
}

bool admission_machine::step::IsClear(const record& r) const {
  return r.has_counted_runs && r.runs <= r.crashed;
}

strike_record admission_machine::step::Describe(request_fingerprint fp,
                                                const record& r) const {
  return {.fingerprint = fp,
          .servers = {r.servers.begin(), r.servers.end()},
          .age = std::chrono::duration_cast<milliseconds>(now.steady -
                                                          r.last_strike)};
}

void admission_machine::step::SendStrike(request_fingerprint fp,
                                         record& r,
                                         const std::vector<member_id>& to) {
  if (to.empty())
    return;
  r.unacknowledged.insert(to.begin(), to.end());
  r.resend_interval = kInitialResendInterval;
  r.resend_at = now.steady + r.resend_interval;
  out.emplace_back(admission_send{to, peer_strike{Describe(fp, r)}});
}

void admission_machine::step::ResendStrikes(request_fingerprint fp, record& r) {
  if (r.unacknowledged.empty() || now.steady < r.resend_at)
    return;
  // While a caller waits, a lost message is resent quickly.
  if (r.crashes.empty())
    r.resend_interval = std::min(r.resend_interval * 2, kMaxResendInterval);
  r.resend_at = now.steady + r.resend_interval;
  out.emplace_back(
      admission_send{{r.unacknowledged.begin(), r.unacknowledged.end()},
                     peer_strike{Describe(fp, r)}});
}

void admission_machine::step::DecideCrashes(request_fingerprint fp, record& r) {
  std::erase_if(r.crashes, [&](const waiting_crash& c) {
    if (!r.unacknowledged.empty() && now.steady < c.deadline)
      return false;
    r.waiting.push_back({.request = c.request,
                         .has_crashed = true,
                         .deadline = now.steady + limits::kMaxCrashRetryWait});
    return true;
  });
  if (!machine.has_majority_ || IsQuarantined(r))
    RejectWaiting(r);
  RequestNextRun(fp, r);
}

void admission_machine::step::DecideRun(const waiting_run& w,
                                        record& r,
                                        bool allowed) {
  if (w.has_crashed) {
    --r.crashed;
    out.emplace_back(crash_decision{w.request, allowed});
    return;
  }
  r.runs += allowed ? 1 : 0;
  out.emplace_back(begin_decision{w.request, allowed});
}

void admission_machine::step::RejectWaiting(record& r) {
  for (const waiting_run& w : std::exchange(r.waiting, {}))
    DecideRun(w, r, false);
  r.pending_sequence = 0;
}

void admission_machine::step::ExpireWaiting(record& r) {
  std::erase_if(r.waiting, [&](const waiting_run& w) {
    if (now.steady < w.deadline)
      return false;
    DecideRun(w, r, false);
    return true;
  });
  if (r.waiting.empty())
    r.pending_sequence = 0;
}

void admission_machine::step::RequestNextRun(request_fingerprint fp,
                                             record& r) {
  if (r.waiting.empty() || r.pending_sequence != 0)
    return;
  r.pending_sequence = machine.next_sequence_++;
  r.requested_from = OwnerOf(fp);
  SendRunRequest(fp, r);
}

void admission_machine::step::SendRunRequest(request_fingerprint fp,
                                             record& r) {
  if (r.requested_from == machine.self_)
    Enqueue(machine.self_, fp, r, r.pending_sequence);
  else
    Send(r.requested_from, run_request{Describe(fp, r), r.pending_sequence});
}

void admission_machine::step::RemoveRecord(request_fingerprint fp) {
  const auto it = machine.records_.find(fp);
  record r = std::move(it->second);
  machine.records_.erase(it);
  out.emplace_back(unmark_struck{fp});
  for (const waiting_run& w : r.waiting)
    DecideRun(w, r, true);
  for (const waiting_crash& c : r.crashes)
    out.emplace_back(crash_decision{c.request, false});
}

}  // namespace dotterellead
