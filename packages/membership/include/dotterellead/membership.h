// Which entry hosts take part: gossip, epochs ordered by the log, and the right
// to act as a home, which depends on a quorum of direct answers.
#ifndef DOTTERELLEAD_MEMBERSHIP_H_
#define DOTTERELLEAD_MEMBERSHIP_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/platform.h"

namespace dotterellead {

// The log stream that holds the epoch records.
inline constexpr std::string_view kMembersStream = "members";

// One run of an entry host. A restarted host is another member.
struct member_run {
  member_id id;
  incarnation_id incarnation;
  data_centre_id data_centre;
  // Peer address, "IP:port".
  std::string address;
  auto operator<=>(const member_run&) const = default;
};

// An epoch is named by its number and by the offset of the record that made it,
// so that two records with the same number are never taken for each other.
// Number 0 stands for "no epoch yet".
struct epoch_name {
  epoch_number number{0};
  log_offset offset;
  auto operator<=>(const epoch_name&) const = default;
};

// Record on the stream `members`. It is accepted only if `base` is the current
// epoch. A refresh repeats the current epoch, whose name is then `base`, so
// that it outlives the stream's retention.
struct epoch_record {
  epoch_number number;
  epoch_name base;
  bool refresh = false;
  // All epochs up to this number have certainly ended.
  epoch_number ended{0};
  std::vector<member_run> members;
  bool operator==(const epoch_record&) const = default;
};

// What a member says of itself.
struct self_report {
  member_run self;
  // Advances by one in each gossip interval.
  std::uint64_t heartbeat = 0;
  epoch_name epoch;
  // All epochs up to this number have certainly ended.
  epoch_number ended{0};
  bool leaving = false;
  // Configuration offset in force at the member.
  log_offset config_offset;
  bool operator==(const self_report&) const = default;
};

// What a member has heard of another member.
struct member_entry {
  member_run run;
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  log_offset config_offset;
  bool operator==(const member_entry&) const = default;
};

// An entry for a member of the sender's epoch, in the order of the epoch.
struct short_entry {
  // Modulo kShortHeartbeats; nullopt if the sender has not heard the member.
  std::optional<std::uint16_t> heartbeat;
  bool leaving = false;
  log_offset config_offset;
  bool operator==(const short_entry&) const = default;
};

inline constexpr std::uint64_t kShortHeartbeats = 4096;

// Gossip message. Members of the epoch are in `epoch_members` if the receiver
// is known to be in the same epoch; all others are in `members`.
struct gossip_digest {
  self_report from;
  std::vector<short_entry> epoch_members;
  std::vector<member_entry> members;
  bool operator==(const gossip_digest&) const = default;
};

// JSON texts. The decoders throw protocol_error for malformed input.
std::string EncodeDigest(const gossip_digest& digest);
gossip_digest DecodeDigest(std::string_view text);
std::string EncodeReport(const self_report& report);
self_report DecodeReport(std::string_view text);
std::string EncodeEpochRecord(const epoch_record& record);
epoch_record DecodeEpochRecord(std::string_view text);

// ---- Messages

// A digest from another host. `request` comes back in answer_gossip.
struct gossip_received {
  request_id request;
  gossip_digest digest;
};

// The answer to an own digest. `sent_at` is that of the send_gossip effect.
struct gossip_reply {
  std::string address;
  time_point sent_at;
  self_report report;
};

struct gossip_failed {
  std::string address;
};

// Peer addresses of the entry hosts on the platform's list.
struct host_list {
  std::vector<std::string> live;
  std::vector<std::string> leaving;
  time_point fetched;
};

struct config_offset_changed {
  log_offset offset;
};

// This host has begun its graceful shutdown.
struct leaving {};

// ---- Effects

// Call `address` with the digest, and return the answer with `sent_at`
// unchanged, or gossip_failed.
struct send_gossip {
  std::string address;
  gossip_digest digest;
  time_point sent_at;
};

// Answer the call that gossip_received came from.
struct answer_gossip {
  request_id request;
  self_report report;
};

// Sorted by id.
struct epoch_changed {
  epoch_name name;
  std::vector<member_run> members;
};

// The right to act as a home in `epoch`. Emitted in each gossip interval and
// upon changes. It may be used only while now < valid_until, which the consumer
// checks itself, since this host may have been paused in between. A right given
// for an earlier epoch stays usable until its own valid_until.
struct home_right {
  epoch_number epoch;
  bool may_lend = false;
  time_point valid_until;
  // Time from which no host holds a right of any earlier epoch; nullopt while
  // that is unknown. The leases lent under such rights may still run.
  std::optional<time_point> earlier_ended_at;
  // Earlier epochs that may not have ended.
  std::vector<epoch_number> open_epochs;
};

struct live_peer {
  member_run run;
  bool leaving = false;
  log_offset config_offset;
  bool operator==(const live_peer&) const = default;
};

// All live peers, without this host, sorted by id.
struct peers_changed {
  std::vector<live_peer> peers;
};

// A peer that was live is suspected, or was replaced by a later run.
struct peer_lost {
  member_run run;
};

struct membership_settings {
  member_run self;
  // Peer addresses to contact at start; the ids behind them are not known.
  std::vector<std::string> seeds;
};

// T of an epoch with this many members: how long an answer counts, from the
// send of the digest that it answers.
milliseconds AnswerValidity(std::size_t members);
// How long a heartbeat may stand still before its member is suspected.
milliseconds SuspectTime(std::size_t members);

// Decides membership. Expects a tick in each limits::kGossipInterval.
class membership_machine {
 public:
  using message = std::variant<tick,
                               gossip_received,
                               gossip_reply,
                               gossip_failed,
                               log_batch,
                               log_unavailable,
                               append_result,
                               host_list,
                               config_offset_changed,
                               leaving>;
  using effect = std::variant<send_gossip,
                              answer_gossip,
                              append_request,
                              epoch_changed,
                              home_right,
                              peers_changed,
                              peer_lost>;

  membership_machine(membership_settings settings, const timestamp& now);
  ~membership_machine();
  membership_machine(membership_machine&&) noexcept;
  membership_machine& operator=(membership_machine&&) noexcept;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Offset from which the stream `members` is to be read next.
  log_offset next_offset() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MEMBERSHIP_H_
