// Knowledge about other entry hosts, from gossip and the platform's list.
#ifndef DOTTERELLEAD_MEMBER_TABLE_H_
#define DOTTERELLEAD_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterellead/membership.h"

namespace dotterellead {

// The state of one other host.
struct known_member {
  member_run run;
  std::uint64_t heartbeat = 0;
  // False for a member that is only known from an epoch record.
  bool has_been_heard = false;
  // When this host last saw the heartbeat advance.
  time_point last_advance;
  bool leaving = false;
  log_offset config_offset;
  // The epoch in its last direct message.
  epoch_name reported_epoch;
};

// Not thread-safe.
class member_table {
 public:
  explicit member_table(member_run self) : self_(std::move(self)) {}

  // Updates a member from its own report.
  void UpdateFromReport(const self_report& report, time_point now);
  void UpdateFromEntry(const member_entry& entry, time_point now);
  // Updates a member from an entry whose heartbeat is modulo
  // kCompactHeartbeatRange.
  void UpdateFromCompactEntry(const member_run& run,
                              const compact_entry& entry,
                              time_point now);
  // Adds a member of an epoch that was not heard of yet. It counts as live for
  // one suspect timeout, so that a host that has just started does not consider
  // all others down.
  void AddExpected(const member_run& run, time_point now);
  void SetHostList(const host_list& list);
  // Excludes a time in which this host was paused from all ages.
  void ExcludePause(milliseconds pause);
  // Removes members that have been silent for long, except those in `keep`.
  void RemoveSilent(const std::set<member_id>& keep, time_point now);

  bool IsLive(const known_member& member, time_point now) const;
  // The member with this id if it is live, else null.
  const known_member* FindLive(const member_id& id, time_point now) const;
  const known_member* Find(const member_id& id) const;
  // Whether the run has certainly ended: a later incarnation of the host or at
  // its address is known, or the platform's list no longer has it.
  bool HasEnded(const member_run& run, time_point now) const;
  // Whether the platform's list marks the address as leaving.
  bool IsListedLeaving(const std::string& address) const;
  const std::map<member_id, known_member>& members() const { return members_; }
  const host_list& listed() const { return listed_; }

  // Number of hosts, for the suspect timeout and the ResponseValidity of
  // unknown epochs.
  std::size_t size() const { return members_.size() + 1; }

 private:
  struct absence {
    time_point missing_since;
    bool was_listed_live = false;
  };

  // Returns null if the run is this host, is outdated, or exceeds the limit.
  known_member* FindOrAdd(const member_run& run, time_point now);
  void UpdateHeartbeat(known_member& member,
                       std::uint64_t heartbeat,
                       bool leaving,
                       log_offset config_offset,
                       time_point now);
  bool IsRemovedFromList(const member_run& run) const;

  member_run self_;
  std::map<member_id, known_member> members_;
  // The latest incarnation known at each address.
  std::map<std::string, incarnation_id> newest_incarnation_at_;
  host_list listed_;
  std::set<std::string> ever_listed_;
  // Addresses that are needed and not on the list.
  std::map<std::string, absence> missing_from_list_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MEMBER_TABLE_H_
