// The state of the membership machine.
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
    time_point since;
  };

  // membership_machine.cc
  void On(const tick& m, effects& out);
  void On(const gossip_received& m, effects& out);
  void On(const gossip_reply& m, effects& out);
  void On(const gossip_failed& m, effects& out);
  void On(const log_batch& m, effects& out);
  void On(const log_unavailable& m, effects& out);
  void On(const append_result& m, effects& out);
  void On(const host_list& m, effects& out);
  void On(const config_offset_changed& m, effects& out);
  void On(const leaving& m, effects& out);
  void NotePause(milliseconds pause);
  void HearReport(const self_report& report);
  void AdoptEpoch(const epoch& former, const epoch_log::change& change);
  void SettleEpochs();
  bool AllListedReached() const;
  void EmitPeers(effects& out);
  void EmitRight(effects& out);
  home_right Right() const;

  // gossip.cc
  self_report Report() const;
  gossip_digest DigestFor(const known_member* receiver) const;
  short_entry ShortEntry(const member_run& run) const;
  void TakeDigest(const gossip_digest& digest);
  void Gossip(effects& out);
  void SendTo(const std::string& address, effects& out);
  std::set<std::string> MemberAddresses() const;
  std::set<std::string> OtherAddresses(
      const std::set<std::string>& members) const;
  // Members to ask at once because no right exists yet in a new epoch.
  std::vector<std::string> CatchUp(const std::vector<std::string>& chosen);
  bool IsDeaf() const;

  // proposals.cc
  void Propose(effects& out);
  void Refresh(effects& out);
  bool MayAppend() const;
  void Append(const epoch_record& record, effects& out);
  // This host's place among those that may propose, or nullopt.
  std::optional<std::size_t> ProposerRank() const;
  std::vector<member_run> DesiredMembers() const;
  bool StaysInEpoch(const member_run& run, bool remove_silent) const;
  bool MayRemoveSilent() const;
  bool IsLeaving(const known_member& member) const;
  bool PeersHaveEpoch() const;
  bool HasQuorum() const;

  const membership_settings settings_;
  member_table table_;
  epoch_log log_;
  quorum quorum_;
  open_epochs open_;
  gossip_schedule schedule_;

  time_point now_;
  time_point started_;
  // Last answer to an own digest.
  time_point answered_;
  std::uint64_t heartbeat_ = 0;
  log_offset config_offset_;
  bool leaving_ = false;

  time_point adopted_at_;
  // When the current epoch was last seen in the log.
  time_point recorded_at_;
  // Address to time of the last digest sent to catch up.
  std::map<std::string, time_point> catch_up_sent_;

  // Everything in the stream has been read, as of the last batch.
  bool synced_ = false;
  milliseconds retention_{0};
  std::optional<pending_append> pending_;
  std::uint64_t tokens_ = 0;
  time_point appended_at_;
  // Since when the members in view have differed from the epoch's.
  std::optional<time_point> differs_since_;

  std::vector<live_peer> peers_;
  home_right right_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MEMBERSHIP_IMPL_H_
