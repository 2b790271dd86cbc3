#include <algorithm>

#include "admission_step.h"

namespace dotterellead {

void admission_machine::step::OnPeer(const member_id& from,
                                     const peer_strike& m) {
  Merge(m.record);
  Send(from, peer_strike_acknowledged{m.record.fingerprint, m.record.servers});
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const peer_strike_acknowledged& m) {
  record* r = Find(m.fingerprint);
  if (r == nullptr)
    return;
  // An acknowledgement of an earlier strike does not cover a later one.
  const std::set<server_id> known(m.servers.begin(), m.servers.end());
  if (!std::ranges::includes(known, r->servers))
    return;
  r->unacknowledged.erase(from);
  SettleCrashes(m.fingerprint, *r);
}

void admission_machine::step::OnPeer(const member_id& from, const run_ask& m) {
  record* r = Merge(m.record);
  if (r == nullptr)
    return;
  Enqueue(from, m.record.fingerprint, *r, m.ask);
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const run_grant& m) {
  record* r = Merge(m.record);
  if (r == nullptr || r->pending_ask != m.ask || r->asked != from)
    return;
  if (!m.allowed) {
    RefuseWaiting(*r);
    return;
  }
  r->pending_ask = 0;
  ExpireWaiting(*r);
  if (r->waiting.empty())
    return;
  const waiting_run next = r->waiting.front();
  r->waiting.pop_front();
  r->granted_here = true;
  Answer(next, *r, true);
  AskNext(m.record.fingerprint, *r);
}

void admission_machine::step::OnPeer(const member_id& from, const run_poll& m) {
  record* r = Merge(m.record);
  // An owner by an older view of the live hosts gets no answer, so it cannot
  // grant a run beside the present owner's.
  if (r == nullptr || OwnerOf(m.record.fingerprint) != from)
    return;
  // A late copy of an earlier poll must not hide the present holders.
  if (from != r->polled_by || m.round >= r->answered_round) {
    r->answered_round = m.round;
    r->polled_by = from;
    r->holders = m.holders;
  }
  Send(from, run_poll_answer{.record = Describe(m.record.fingerprint, *r),
                             .round = m.round,
                             .clear = IsClear(*r),
                             .pending_ask = r->pending_ask,
                             .clean_runs = r->clean_runs});
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const run_poll_answer& m) {
  record* r = Merge(m.record);
  if (r == nullptr || r->owner.round == 0 || r->owner.round != m.round)
    return;
  owner_state& owner = r->owner;
  if (!m.clear) {
    owner.busy.insert(from);
    return;
  }
  if (owner.granted && owner.granted->member == from &&
      owner.granted->ask == m.pending_ask) {
    // The grant is lost or on its way.
    SendGrant(m.record.fingerprint, *r, *owner.granted, true);
    return;
  }
  owner.busy.erase(from);
  owner.clear[from] = m.clean_runs;
  TryGrant(m.record.fingerprint);
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const strikes_cleared& m) {
  const request_fingerprint fp = m.record.fingerprint;
  record* r = Find(fp);
  if (r == nullptr || r->answered_round != m.round || OwnerOf(fp) != from)
    return;
  Drop(fp);
}

member_id admission_machine::step::OwnerOf(request_fingerprint fp) const {
  const std::string suffix = "/" + std::to_string(fp.value());
  const auto weight = [&suffix](const member_id& member) {
    return StableHash(member.value() + suffix);
  };
  member_id best = machine.self_;
  std::uint64_t best_weight = weight(best);
  for (const member_id& peer : machine.peers_) {
    const std::uint64_t w = weight(peer);
    if (w <= best_weight)
      continue;
    best = peer;
    best_weight = w;
  }
  return best;
}

void admission_machine::step::Send(const member_id& to,
                                   admission_peer_message m) {
  out.emplace_back(admission_send{{to}, std::move(m)});
}

void admission_machine::step::Enqueue(const member_id& from,
                                      request_fingerprint fp,
                                      record& r,
                                      std::uint64_t ask) {
  const asker wanted{from, ask};
  if (OwnerOf(fp) != machine.self_)
    return;
  if (!machine.majority_ || IsQuarantined(r)) {
    SendGrant(fp, r, wanted, false);
    return;
  }
  owner_state& owner = r.owner;
  if (owner.granted && owner.granted->member == from &&
      owner.granted->ask >= ask) {
    if (owner.granted->ask == ask)
      SendGrant(fp, r, wanted, true);
    return;
  }
  const auto known = std::ranges::find(owner.askers, from, &asker::member);
  if (known == owner.askers.end())
    owner.askers.push_back(wanted);
  else
    known->ask = std::max(known->ask, ask);
  StartRound(fp, r);
}

void admission_machine::step::StartRound(request_fingerprint fp, record& r) {
  owner_state& owner = r.owner;
  if (owner.round != 0 || (owner.askers.empty() && owner.busy.empty()))
    return;
  owner.round = machine.next_number_++;
  owner.clear.clear();
  SendPolls(fp, r);
  TryGrant(fp);
}

void admission_machine::step::SendPolls(request_fingerprint fp, record& r) {
  std::vector<member_id> to;
  for (const member_id& peer : machine.peers_) {
    if (!r.owner.clear.contains(peer))
      to.push_back(peer);
  }
  if (to.empty())
    return;
  r.holders = HoldersOf(r.owner);
  out.emplace_back(
      admission_send{to, run_poll{Describe(fp, r), r.owner.round, r.holders}});
}

std::vector<member_id> admission_machine::step::HoldersOf(
    const owner_state& owner) const {
  std::vector<member_id> holders;
  if (owner.granted)
    holders.push_back(owner.granted->member);
  if (!owner.askers.empty())
    holders.push_back(owner.askers.front().member);
  return holders;
}

void admission_machine::step::TryGrant(request_fingerprint fp) {
  record& r = *Find(fp);
  owner_state& owner = r.owner;
  if (owner.round == 0 || !IsClear(r))
    return;
  std::uint32_t clean_runs = r.clean_runs;
  for (const member_id& peer : machine.peers_) {
    const auto answer = owner.clear.find(peer);
    if (answer == owner.clear.end())
      return;
    clean_runs += answer->second;
  }
  if (clean_runs >= limits::kCleanRunsToRemoveStrike) {
    ClearStrikes(fp);
    return;
  }
  owner.round = 0;
  owner.granted.reset();
  owner.busy.clear();
  if (owner.askers.empty()) {
    // The run has ended; tell the peers that nobody holds one.
    r.holders.clear();
    if (!machine.peers_.empty()) {
      out.emplace_back(admission_send{
          machine.peers_, run_poll{Describe(fp, r), machine.next_number_++}});
    }
    return;
  }
  owner.granted = owner.askers.front();
  owner.askers.pop_front();
  owner.busy = {owner.granted->member};
  const asker to = *owner.granted;
  SendGrant(fp, r, to, true);
  if (record* left = Find(fp))
    StartRound(fp, *left);
}

void admission_machine::step::SendGrant(request_fingerprint fp,
                                        const record& r,
                                        const asker& to,
                                        bool allowed) {
  const run_grant grant{Describe(fp, r), to.ask, allowed};
  if (to.member == machine.self_)
    OnPeer(machine.self_, grant);
  else
    Send(to.member, grant);
}

void admission_machine::step::RefuseAskers(request_fingerprint fp, record& r) {
  const std::deque<asker> askers = std::exchange(r.owner.askers, {});
  r.owner.round = 0;
  for (const asker& a : askers)
    SendGrant(fp, r, a, false);
}

void admission_machine::step::ClearStrikes(request_fingerprint fp) {
  record& r = *Find(fp);
  out.emplace_back(admission_event{"cleared", fp});
  if (!machine.peers_.empty()) {
    out.emplace_back(admission_send{
        machine.peers_, strikes_cleared{Describe(fp, r), r.owner.round}});
  }
  Drop(fp);
}

std::vector<server_id> admission_machine::step::ForgetDead(record& r) {
  const auto is_dead = [this](const member_id& member) {
    return member != machine.self_ &&
           std::ranges::find(machine.peers_, member) == machine.peers_.end();
  };
  std::vector<server_id> lost;
  const auto forget = [&](const member_id& member) {
    if (!is_dead(member))
      return false;
    lost.emplace_back("unknown-" + member.value());
    return true;
  };
  std::erase_if(r.unacknowledged, is_dead);
  std::erase_if(r.holders, forget);
  std::erase_if(r.owner.busy, forget);
  // The peers were polled for the former first asker only.
  if (std::erase_if(r.owner.askers,
                    [&](const asker& a) { return is_dead(a.member); }) > 0) {
    r.owner.round = 0;
  }
  return lost;
}

void admission_machine::step::FollowPeers(request_fingerprint fp,
                                          record& r,
                                          const std::set<member_id>& joined) {
  const std::vector<server_id> lost = ForgetDead(r);
  if (!lost.empty()) {
    Merge(fp, lost, now.steady);
    TellStrike(fp, r, machine.peers_);
  }
  if (!joined.empty())
    TellStrike(fp, r, {joined.begin(), joined.end()});
  const member_id owner = OwnerOf(fp);
  if (owner != machine.self_)
    r.owner = {};
  if (!machine.majority_) {
    RefuseWaiting(r);
    RefuseAskers(fp, r);
    return;
  }
  if (r.pending_ask != 0 && r.asked != owner)
    r.pending_ask = 0;
  SettleCrashes(fp, r);
  record* left = Find(fp);
  if (left != nullptr)
    StartRound(fp, *left);
  if (Find(fp) != nullptr)
    TryGrant(fp);
}

}  // namespace dotterellead
