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
  DecideCrashes(m.fingerprint, *r);
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const run_request& m) {
  record* r = Merge(m.record);
  if (r == nullptr)
    return;
  Enqueue(from, m.record.fingerprint, *r, m.sequence);
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const run_grant& m) {
  record* r = Merge(m.record);
  if (r == nullptr || r->pending_sequence != m.sequence ||
      r->requested_from != from)
    return;
  if (!m.allowed) {
    RejectWaiting(*r);
    return;
  }
  r->pending_sequence = 0;
  ExpireWaiting(*r);
  if (r->waiting.empty())
    return;
  const waiting_run next = r->waiting.front();
  r->waiting.pop_front();
  r->is_granted_here = true;
  DecideRun(next, *r, true);
  RequestNextRun(m.record.fingerprint, *r);
}

void admission_machine::step::OnPeer(const member_id& from, const run_poll& m) {
  record* r = Merge(m.record);
  // An owner according to an older list of live hosts gets no response, so that
  // it cannot grant a run in addition to the current owner.
  if (r == nullptr || OwnerOf(m.record.fingerprint) != from)
    return;
  // A late duplicate of an earlier poll must not replace the current holders.
  if (from != r->poller || m.round >= r->last_poll_round) {
    r->last_poll_round = m.round;
    r->poller = from;
    r->holders = m.holders;
  }
  Send(from, run_poll_response{.record = Describe(m.record.fingerprint, *r),
                               .round = m.round,
                               .is_idle = IsClear(*r),
                               .pending_sequence = r->pending_sequence,
                               .clean_runs = r->clean_runs});
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const run_poll_response& m) {
  record* r = Merge(m.record);
  if (r == nullptr || r->owner.round == 0 || r->owner.round != m.round)
    return;
  owner_state& owner = r->owner;
  if (!m.is_idle) {
    owner.possible_holders.insert(from);
    return;
  }
  if (owner.granted && owner.granted->member == from &&
      owner.granted->sequence == m.pending_sequence) {
    // The grant was lost or is in transit.
    SendGrant(m.record.fingerprint, *r, *owner.granted, true);
    return;
  }
  owner.possible_holders.erase(from);
  owner.idle_hosts[from] = m.clean_runs;
  TryGrant(m.record.fingerprint);
}

void admission_machine::step::OnPeer(const member_id& from,
                                     const strikes_cleared& m) {
  const request_fingerprint fp = m.record.fingerprint;
  record* r = Find(fp);
  if (r == nullptr || r->last_poll_round != m.round || OwnerOf(fp) != from)
    return;
  RemoveRecord(fp);
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
                                      std::uint64_t sequence) {
  const run_requester wanted{from, sequence};
  if (OwnerOf(fp) != machine.self_)
    return;
  if (!machine.has_majority_ || IsQuarantined(r)) {
    SendGrant(fp, r, wanted, false);
    return;
  }
  owner_state& owner = r.owner;
  if (owner.granted && owner.granted->member == from &&
      owner.granted->sequence >= sequence) {
    if (owner.granted->sequence == sequence)
      SendGrant(fp, r, wanted, true);
    return;
  }
  const auto known =
      std::ranges::find(owner.requesters, from, &run_requester::member);
  if (known == owner.requesters.end())
    owner.requesters.push_back(wanted);
  else
    known->sequence = std::max(known->sequence, sequence);
  StartRound(fp, r);
}

void admission_machine::step::StartRound(request_fingerprint fp, record& r) {
  owner_state& owner = r.owner;
  if (owner.round != 0 ||
      (owner.requesters.empty() && owner.possible_holders.empty()))
    return;
  owner.round = machine.next_sequence_++;
  owner.idle_hosts.clear();
  SendPolls(fp, r);
  TryGrant(fp);
}

void admission_machine::step::SendPolls(request_fingerprint fp, record& r) {
  std::vector<member_id> to;
  for (const member_id& peer : machine.peers_) {
    if (!r.owner.idle_hosts.contains(peer))
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
  if (!owner.requesters.empty())
    holders.push_back(owner.requesters.front().member);
  return holders;
}

void admission_machine::step::TryGrant(request_fingerprint fp) {
  record& r = *Find(fp);
  owner_state& owner = r.owner;
  if (owner.round == 0 || !IsClear(r))
    return;
  std::uint32_t clean_runs = r.clean_runs;
  for (const member_id& peer : machine.peers_) {
    const auto answer = owner.idle_hosts.find(peer);
    if (answer == owner.idle_hosts.end())
      return;
    clean_runs += answer->second;
  }
  if (clean_runs >= limits::kCleanRunsToRemoveStrike) {
    ClearStrikes(fp);
    return;
  }
  owner.round = 0;
  owner.granted.reset();
  owner.possible_holders.clear();
  if (owner.requesters.empty()) {
    // The run has ended; notifies the peers that there is no holder.
    r.holders.clear();
    if (!machine.peers_.empty()) {
      out.emplace_back(admission_send{
          machine.peers_, run_poll{Describe(fp, r), machine.next_sequence_++}});
    }
    return;
  }
  owner.granted = owner.requesters.front();
  owner.requesters.pop_front();
  owner.possible_holders = {owner.granted->member};
  const run_requester to = *owner.granted;
  SendGrant(fp, r, to, true);
  if (record* left = Find(fp))
    StartRound(fp, *left);
}

void admission_machine::step::SendGrant(request_fingerprint fp,
                                        const record& r,
                                        const run_requester& to,
                                        bool allowed) {
  const run_grant grant{Describe(fp, r), to.sequence, allowed};
  if (to.member == machine.self_)
    OnPeer(machine.self_, grant);
  else
    Send(to.member, grant);
}

void admission_machine::step::RejectRequesters(request_fingerprint fp,
                                               record& r) {
  const std::deque<run_requester> requesters =
      std::exchange(r.owner.requesters, {});
  r.owner.round = 0;
  for (const run_requester& a : requesters)
    SendGrant(fp, r, a, false);
}

void admission_machine::step::ClearStrikes(request_fingerprint fp) {
  record& r = *Find(fp);
  out.emplace_back(admission_event{"cleared", fp});
  if (!machine.peers_.empty()) {
    out.emplace_back(admission_send{
        machine.peers_, strikes_cleared{Describe(fp, r), r.owner.round}});
  }
  RemoveRecord(fp);
}

std::vector<server_id> admission_machine::step::RemoveDeadHosts(record& r) {
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
  std::erase_if(r.owner.possible_holders, forget);
  // The peers were polled for the former first requester only.
  if (std::erase_if(r.owner.requesters, [&](const run_requester& a) {
        return is_dead(a.member);
      }) > 0) {
    r.owner.round = 0;
  }
  return lost;
}

void admission_machine::step::OnPeersChanged(
    request_fingerprint fp,
    record& r,
    const std::set<member_id>& joined) {
  const std::vector<server_id> lost = RemoveDeadHosts(r);
  if (!lost.empty()) {
    Merge(fp, lost, now.steady);
    SendStrike(fp, r, machine.peers_);
  }
  if (!joined.empty())
    SendStrike(fp, r, {joined.begin(), joined.end()});
  const member_id owner = OwnerOf(fp);
  if (owner != machine.self_)
    r.owner = {};
  if (!machine.has_majority_) {
    RejectWaiting(r);
    RejectRequesters(fp, r);
    return;
  }
  if (r.pending_sequence != 0 && r.requested_from != owner)
    r.pending_sequence = 0;
  DecideCrashes(fp, r);
  record* left = Find(fp);
  if (left != nullptr)
    StartRound(fp, *left);
  if (Find(fp) != nullptr)
    TryGrant(fp);
}

}  // namespace dotterellead
