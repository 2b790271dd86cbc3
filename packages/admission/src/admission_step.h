// Context of one step of the admission machine.
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
  void On(const acquire_retry& m);
  void On(const record_crash& m);
  void On(const end_run& m);
  void On(const runs_counted& m);
  void On(const admission_received& m);
  void On(const admission_peers_changed& m);
  void On(const tick& m);

  // Strikes (admission_machine.cc).
  record* Find(request_fingerprint fp);
  // Adds lost servers to the record, creating it if necessary. Returns null if
  // they are too old to count.
  record* Merge(request_fingerprint fp,
                const std::vector<server_id>& servers,
                time_point last_strike);
  record* Merge(const strike_record& from);
  void EvictOldest();
  bool IsQuarantined(const record& r) const;
  bool IsExpired(const record& r) const;
  bool IsClear(const record& r) const;
  strike_record Describe(request_fingerprint fp, const record& r) const;
  void SendStrike(request_fingerprint fp,
                  record& r,
                  const std::vector<member_id>& to);
  void DecideCrashes(request_fingerprint fp, record& r);
  void DecideRun(const waiting_run& w, record& r, bool allowed);
  void RejectWaiting(record& r);
  void RequestNextRun(request_fingerprint fp, record& r);
  void SendRunRequest(request_fingerprint fp, record& r);
  // Removes the fingerprint's record; its waiting requests may run.
  void RemoveRecord(request_fingerprint fp);
  void ResendStrikes(request_fingerprint fp, record& r);
  void ExpireWaiting(record& r);

  // Peers and the owner's role (admission_owner.cc).
  void OnPeer(const member_id& from, const peer_strike& m);
  void OnPeer(const member_id& from, const peer_strike_acknowledged& m);
  void OnPeer(const member_id& from, const run_request& m);
  void OnPeer(const member_id& from, const run_grant& m);
  void OnPeer(const member_id& from, const run_poll& m);
  void OnPeer(const member_id& from, const run_poll_response& m);
  void OnPeer(const member_id& from, const strikes_cleared& m);
  member_id OwnerOf(request_fingerprint fp) const;
  void Send(const member_id& to, admission_peer_message m);
  void Enqueue(const member_id& from,
               request_fingerprint fp,
               record& r,
               std::uint64_t sequence);
  void StartRound(request_fingerprint fp, record& r);
  void SendPolls(request_fingerprint fp, record& r);
  void TryGrant(request_fingerprint fp);
  void SendGrant(request_fingerprint fp,
                 const record& r,
                 const run_requester& to,
                 bool allowed);
  void RejectRequesters(request_fingerprint fp, record& r);
  void ClearStrikes(request_fingerprint fp);
  void OnPeersChanged(request_fingerprint fp,
                      record& r,
                      const std::set<member_id>& joined);
  // Removes dead hosts and returns those that may have had a run.
  std::vector<server_id> RemoveDeadHosts(record& r);
  std::vector<member_id> HoldersOf(const owner_state& owner) const;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ADMISSION_STEP_H_
