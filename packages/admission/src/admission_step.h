// One step of the admission machine: its state, the time and the effects.
#ifndef DOTTERELLEAD_ADMISSION_STEP_H_
#define DOTTERELLEAD_ADMISSION_STEP_H_

#include "dotterellead/admission.h"

namespace dotterellead {

struct admission_machine::step {
  admission_machine& machine;
  const timestamp& now;
  std::vector<effect>& out;

  // Messages (admission_machine.cc).
  void On(const begin_run& m);
  void On(const take_retry& m);
  void On(const record_crash& m);
  void On(const end_run& m);
  void On(const runs_counted& m);
  void On(const admission_received& m);
  void On(const admission_peers_changed& m);
  void On(const tick& m);

  // Strikes (admission_machine.cc).
  record* Find(request_fingerprint fp);
  // Adds lost servers to the record, which it makes if needed. Returns null if
  // they are too old to count.
  record* Merge(request_fingerprint fp,
                const std::vector<server_id>& servers,
                time_point last_strike);
  record* Merge(const strike_record& from);
  void MakeRoom();
  bool IsQuarantined(const record& r) const;
  bool IsExpired(const record& r) const;
  bool IsClear(const record& r) const;
  strike_record Describe(request_fingerprint fp, const record& r) const;
  void TellStrike(request_fingerprint fp,
                  record& r,
                  const std::vector<member_id>& to);
  void SettleCrashes(request_fingerprint fp, record& r);
  void Answer(const waiting_run& w, record& r, bool allowed);
  void RefuseWaiting(record& r);
  void AskNext(request_fingerprint fp, record& r);
  void SendAsk(request_fingerprint fp, record& r);
  // Forgets the fingerprint; its waiting requests may run.
  void Drop(request_fingerprint fp);
  void ResendStrikes(request_fingerprint fp, record& r);
  void ExpireWaiting(record& r);

  // Peers and the owner's part (admission_owner.cc).
  void OnPeer(const member_id& from, const peer_strike& m);
  void OnPeer(const member_id& from, const peer_strike_acknowledged& m);
  void OnPeer(const member_id& from, const run_ask& m);
  void OnPeer(const member_id& from, const run_grant& m);
  void OnPeer(const member_id& from, const run_poll& m);
  void OnPeer(const member_id& from, const run_poll_answer& m);
  void OnPeer(const member_id& from, const strikes_cleared& m);
  member_id OwnerOf(request_fingerprint fp) const;
  void Send(const member_id& to, admission_peer_message m);
  void Enqueue(const member_id& from,
               request_fingerprint fp,
               record& r,
               std::uint64_t ask);
  void StartRound(request_fingerprint fp, record& r);
  void SendPolls(request_fingerprint fp, record& r);
  void TryGrant(request_fingerprint fp);
  void SendGrant(request_fingerprint fp,
                 const record& r,
                 const asker& to,
                 bool allowed);
  void RefuseAskers(request_fingerprint fp, record& r);
  void ClearStrikes(request_fingerprint fp);
  void FollowPeers(request_fingerprint fp,
                   record& r,
                   const std::set<member_id>& joined);
  // Removes dead hosts. Returns those that may have had a run.
  std::vector<server_id> ForgetDead(record& r);
  std::vector<member_id> HoldersOf(const owner_state& owner) const;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ADMISSION_STEP_H_
