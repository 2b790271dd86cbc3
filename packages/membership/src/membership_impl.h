// Implementation of membership_machine.
#ifndef DOTTERELLEAD_MEMBERSHIP_IMPL_H_
#define DOTTERELLEAD_MEMBERSHIP_IMPL_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "epoch_log.h"
#include "gossip_schedule.h"
#include "member_table.h"
#include "quorum.h"

namespace dotterellead {

class membership_machine::impl {
 public:
  impl(membership_settings settings, const timestamp& now);
  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  log_offset next_offset() const { return log_.next_offset(); }

 private:
  using effects = std::vector<effect>;

  // An append whose outcome has not been read back.
  struct pending_append {
    std::uint64_t token = 0;
    time_point sent_at;
  };

  // membership_machine.cc
  void On(const tick& m, effects& out);
  void On(const gossip_received& m, effects& out);
  void On(const gossip_response& m, effects& out);
  void On(const gossip_failed& m, effects& out);
  void On(const log_batch& m, effects& out);
  void On(const log_unavailable& m, effects& out);
  void On(const append_result& m, effects& out);
  void On(const host_list& m, effects& out);
  void On(const config_offset_changed& m, effects& out);
  void On(const shutdown_started& m, effects& out);
  void HandlePause(milliseconds pause);
  void HandleReport(const self_report& report);
  void AdoptEpoch(const epoch& former, const epoch_log::change& change);
  void UpdateFormerEpochs();
  bool HaveAllListedReached() const;
  void EmitPeers(effects& out);
  void EmitGrantRight(effects& out);
  grant_right ComputeGrantRight() const;

  // gossip.cc
  self_report MakeReport() const;
  gossip_digest MakeDigest(const known_member* receiver) const;
  compact_entry MakeCompactEntry(const member_run& run) const;
  void ApplyDigest(const gossip_digest& digest);
  void SendGossip(effects& out);
  void SendTo(const std::string& address, effects& out);
  std::set<std::string> MemberAddresses() const;
  std::set<std::string> OtherAddresses(
      const std::set<std::string>& members) const;
  // Members to contact at once, since there is no right yet in a new epoch.
  std::vector<std::string> SelectCatchUp(
      const std::vector<std::string>& chosen);
  bool IsIsolated() const;

  // proposals.cc
  void Propose(effects& out);
  void AppendRefreshIfDue(effects& out);
  bool CanAppend() const;
  void Append(const epoch_record& record, effects& out);
  // This host's rank among the proposers; nullopt if it must not propose.
  std::optional<std::size_t> ProposerRank() const;
  std::vector<member_run> DesiredMembers() const;
  bool StaysInEpoch(const member_run& run, bool remove_silent) const;
  bool MayRemoveSilent() const;
  bool IsLeaving(const known_member& member) const;
  bool PeersHaveEpoch() const;
  bool HasQuorum() const;

  const membership_settings settings_;
  member_table members_;
  epoch_log log_;
  quorum quorum_;
  former_epochs former_epochs_;
  gossip_schedule schedule_;

  time_point now_;
  time_point started_;
  // Time of the last response to a digest of this host.
  time_point last_response_at_;
  std::uint64_t heartbeat_ = 0;
  log_offset config_offset_;
  bool is_leaving_ = false;

  time_point adopted_at_;
  // When the current epoch was last seen in the log.
  time_point recorded_at_;
  // Time of the last catch-up digest, by address.
  std::map<std::string, time_point> catch_up_sent_;

  // Whether the stream was read to its end, as of the last batch.
  bool is_log_read_ = false;
  milliseconds retention_{0};
  std::optional<pending_append> pending_append_;
  std::uint64_t last_token_ = 0;
  time_point appended_at_;
  // Since when the desired members differ from the epoch's.
  std::optional<time_point> differs_since_;

  std::vector<live_peer> peers_;
  grant_right grant_right_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MEMBERSHIP_IMPL_H_
