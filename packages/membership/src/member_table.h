// What this host has heard of other entry hosts, and the platform's list.
#ifndef DOTTERELLEAD_MEMBER_TABLE_H_
#define DOTTERELLEAD_MEMBER_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dotterellead/membership.h"

namespace dotterellead {

struct known_member {
  member_run run;
  std::uint64_t heartbeat = 0;
  // False for a member that is only known from an epoch record.
  bool heard = false;
  // When the heartbeat last advanced here.
  time_point advanced;
  bool leaving = false;
  log_offset config_offset;
  // From its last direct message.
  epoch_name reported;
};

class member_table {
 public:
  explicit member_table(member_run self) : self_(std::move(self)) {}

  // Takes what a member said of itself, with its full heartbeat.
  void HearDirect(const self_report& report, time_point now);
  void HearEntry(const member_entry& entry, time_point now);
  // Takes an entry whose heartbeat is modulo kShortHeartbeats.
  void HearShort(const member_run& run,
                 const short_entry& entry,
                 time_point now);
  // Adds a member of an epoch that was not heard yet. It counts as live for
  // one suspect time, so that a host that has just started does not take
  // everybody for missing.
  void Expect(const member_run& run, time_point now);
  void TakeHostList(const host_list& list);
  // Leaves the time in which this host did not run out of all ages.
  void SkipPause(milliseconds pause);
  // Drops members that have been silent for long; `keep` lists those needed.
  void Forget(const std::set<member_id>& keep, time_point now);

  bool IsLive(const known_member& member, time_point now) const;
  // The run, or its id's later run, if it is live.
  const known_member* FindLive(const member_id& id, time_point now) const;
  const known_member* Find(const member_id& id) const;
  // True if the run has certainly ended: a later run of the host or at its
  // address was heard, or the platform's list has dropped it.
  bool IsGone(const member_run& run, time_point now) const;
  // True if the platform's list says that the address is leaving.
  bool IsListedLeaving(const std::string& address) const;
  const std::map<member_id, known_member>& members() const { return members_; }
  const host_list& listed() const { return listed_; }

  // Used for the suspect time and for AnswerValidity of unknown epochs.
  std::size_t size() const { return members_.size() + 1; }

 private:
  struct absence {
    time_point since;
    bool was_live = false;
  };

  // Returns nullptr if the run is this host, outdated, or over the limit.
  known_member* Touch(const member_run& run, time_point now);
  void Advance(known_member& member,
               std::uint64_t heartbeat,
               bool leaving,
               log_offset config_offset,
               time_point now);
  bool IsDropped(const member_run& run) const;

  member_run self_;
  std::map<member_id, known_member> members_;
  // The latest run that was heard of at each address.
  std::map<std::string, incarnation_id> newest_at_;
  host_list listed_;
  std::set<std::string> seen_listed_;
  // Addresses that were asked for and are not on the list.
  std::map<std::string, absence> absent_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MEMBER_TABLE_H_
