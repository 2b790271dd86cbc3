#include <algorithm>

#include "admission_step.h"

namespace dotterellead {
namespace {

// Enough to tell that two were lost, with room for racing runs.
constexpr std::size_t kMaxServersKept = 8;
constexpr milliseconds kFirstResend{20};
constexpr milliseconds kLongestResend{1'000};

}  // namespace

void admission_machine::Step(const message& m,
                             const timestamp& now,
                             std::vector<effect>& out) {
  step s{*this, now, out};
  std::visit([&s](const auto& alternative) { s.On(alternative); }, m);
}

void admission_machine::step::On(const begin_run& m) {
  const auto budget = machine.budgets_.find(m.pool);
  if (budget != machine.budgets_.end())
    budget->second.AddFirstTries(1);
  record* r = Find(m.fingerprint);
  if (r == nullptr || IsExpired(*r)) {
    out.emplace_back(begin_answer{m.request, true});
    return;
  }
  if (!machine.majority_ || IsQuarantined(*r) ||
      r->waiting.size() >= limits::kMaxWaitingPerFingerprint) {
    out.emplace_back(begin_answer{m.request, false});
    out.emplace_back(admission_event{"refused", m.fingerprint});
    return;
  }
  r->waiting.push_back({.request = m.request, .deadline = m.deadline});
  AskNext(m.fingerprint, *r);
}

void admission_machine::step::On(const take_retry& m) {
  if (!machine.budgets_.contains(m.pool) &&
      machine.budgets_.size() >= limits::kMaxRetryPools) {
    out.emplace_back(retry_answer{m.request, false});
    return;
  }
  retry_budget& budget = machine.budgets_[m.pool];
  budget.AddFirstTries(m.first_tries);
  out.emplace_back(retry_answer{m.request, budget.Take(now.steady)});
}

void admission_machine::step::On(const record_crash& m) {
  record* r = Find(m.fingerprint);
  const bool is_new = r == nullptr || !r->servers.contains(m.server);
  r = Merge(m.fingerprint, {m.server}, now.steady);
  r->granted_here = false;
  ++r->crashed;
  if (is_new) {
    out.emplace_back(admission_event{"strike", m.fingerprint});
    TellStrike(m.fingerprint, *r, machine.peers_);
  }
  r->crashes.push_back({m.request, now.steady + limits::kStrikeAckTimeout});
  SettleCrashes(m.fingerprint, *r);
}

void admission_machine::step::On(const end_run& m) {
  record* r = Find(m.fingerprint);
  if (r == nullptr)
    return;
  --r->runs;
  if (!IsClear(*r))
    return;
  if (r->granted_here && m.answered)
    ++r->clean_runs;
  r->granted_here = false;
  TryGrant(m.fingerprint);
}

void admission_machine::step::On(const runs_counted& m) {
  record* r = Find(m.fingerprint);
  if (r == nullptr)
    return;
  // Ends of these runs may have arrived first, so the sum may be below zero
  // until here.
  r->runs += m.runs;
  r->counted = true;
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
  machine.majority_ = m.majority;
  std::vector<request_fingerprint> fingerprints;
  for (const auto& [fp, r] : machine.records_)
    fingerprints.push_back(fp);
  for (const request_fingerprint fp : fingerprints)
    FollowPeers(fp, *Find(fp), joined);
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
      Drop(fp);
      continue;
    }
    ExpireWaiting(*r);
    ResendStrikes(fp, *r);
    if (r->owner.round != 0)
      SendPolls(fp, *r);
    if (r->pending_ask != 0)
      SendAsk(fp, *r);
    // An ask of this host may have cleared the strikes.
    r = Find(fp);
    if (r != nullptr)
      SettleCrashes(fp, *r);
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
    MakeRoom();
    r = &machine.records_[fp];
    r->last_strike = last_strike;
    out.emplace_back(mark_struck{fp});
  }
  const bool was_quarantined = IsQuarantined(*r);
  for (const server_id& server : servers) {
    if (r->servers.size() >= kMaxServersKept)
      break;
    if (r->servers.insert(server).second) {
      r->last_strike = std::max(r->last_strike, last_strike);
      r->clean_runs = 0;
      r->answered_round = 0;
    }
  }
  if (!was_quarantined && IsQuarantined(*r)) {
    out.emplace_back(admission_event{"quarantined", fp});
    RefuseWaiting(*r);
    RefuseAskers(fp, *r);
  }
  return r;
}

admission_machine::record* admission_machine::step::Merge(
    const strike_record& from) {
  return Merge(from.fingerprint, from.servers, now.steady - from.age);
}

void admission_machine::step::MakeRoom() {
  if (machine.records_.size() < limits::kMaxStruckFingerprints)
    return;
  const auto oldest = std::min_element(
      machine.records_.begin(), machine.records_.end(),
      [](const auto& a, const auto& b) {
        return std::tuple(!a.second.waiting.empty(), a.second.last_strike) <
               std::tuple(!b.second.waiting.empty(), b.second.last_strike);
      });
  RefuseWaiting(oldest->second);
  Drop(request_fingerprint(oldest->first));
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
  return r.counted && r.runs <= r.crashed;
}

strike_record admission_machine::step::Describe(request_fingerprint fp,
                                                const record& r) const {
  return {.fingerprint = fp,
          .servers = {r.servers.begin(), r.servers.end()},
          .age = std::chrono::duration_cast<milliseconds>(now.steady -
                                                          r.last_strike)};
}

void admission_machine::step::TellStrike(request_fingerprint fp,
                                         record& r,
                                         const std::vector<member_id>& to) {
  if (to.empty())
    return;
  r.unacknowledged.insert(to.begin(), to.end());
  r.resend_gap = kFirstResend;
  r.resend_at = now.steady + r.resend_gap;
  out.emplace_back(admission_send{to, peer_strike{Describe(fp, r)}});
}

void admission_machine::step::ResendStrikes(request_fingerprint fp, record& r) {
  if (r.unacknowledged.empty() || now.steady < r.resend_at)
    return;
  // While a caller waits, a lost message is repeated at once.
  if (r.crashes.empty())
    r.resend_gap = std::min(r.resend_gap * 2, kLongestResend);
  r.resend_at = now.steady + r.resend_gap;
  out.emplace_back(
      admission_send{{r.unacknowledged.begin(), r.unacknowledged.end()},
                     peer_strike{Describe(fp, r)}});
}

void admission_machine::step::SettleCrashes(request_fingerprint fp, record& r) {
  std::erase_if(r.crashes, [&](const waiting_crash& c) {
    if (!r.unacknowledged.empty() && now.steady < c.deadline)
      return false;
    r.waiting.push_back({.request = c.request,
                         .crashed = true,
                         .deadline = now.steady + limits::kMaxCrashRetryWait});
    return true;
  });
  if (!machine.majority_ || IsQuarantined(r))
    RefuseWaiting(r);
  AskNext(fp, r);
}

void admission_machine::step::Answer(const waiting_run& w,
                                     record& r,
                                     bool allowed) {
  if (w.crashed) {
    --r.crashed;
    out.emplace_back(crash_answer{w.request, allowed});
    return;
  }
  r.runs += allowed ? 1 : 0;
  out.emplace_back(begin_answer{w.request, allowed});
}

void admission_machine::step::RefuseWaiting(record& r) {
  for (const waiting_run& w : std::exchange(r.waiting, {}))
    Answer(w, r, false);
  r.pending_ask = 0;
}

void admission_machine::step::ExpireWaiting(record& r) {
  std::erase_if(r.waiting, [&](const waiting_run& w) {
    if (now.steady < w.deadline)
      return false;
    Answer(w, r, false);
    return true;
  });
  if (r.waiting.empty())
    r.pending_ask = 0;
}

void admission_machine::step::AskNext(request_fingerprint fp, record& r) {
  if (r.waiting.empty() || r.pending_ask != 0)
    return;
  r.pending_ask = machine.next_number_++;
  r.asked = OwnerOf(fp);
  SendAsk(fp, r);
}

void admission_machine::step::SendAsk(request_fingerprint fp, record& r) {
  if (r.asked == machine.self_)
    Enqueue(machine.self_, fp, r, r.pending_ask);
  else
    Send(r.asked, run_ask{Describe(fp, r), r.pending_ask});
}

void admission_machine::step::Drop(request_fingerprint fp) {
  const auto it = machine.records_.find(fp);
  record r = std::move(it->second);
  machine.records_.erase(it);
  out.emplace_back(unmark_struck{fp});
  for (const waiting_run& w : r.waiting)
    Answer(w, r, true);
  for (const waiting_crash& c : r.crashes)
    out.emplace_back(crash_answer{c.request, false});
}

}  // namespace dotterellead
