// Membership of entry hosts in the standalone mode: gossip, epochs ordered by
// the log, and the right to act as a home, which needs a quorum of direct
// responses. On the platform packages/fleet is used instead.
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
#include "dotterellead/platform_client.h"

namespace dotterellead {

// The log stream of the epoch records.
inline constexpr std::string_view kMembersStream = "members";

// One incarnation of an entry host. A restarted host is a different member.
struct member_run {
  member_id id;
  incarnation_id incarnation;
  data_centre_id data_centre;
  // Peer address, "IP:port".
  std::string address;
  auto operator<=>(const member_run&) const = default;
};

// Identifies an epoch by its number and the offset of the record that made it,
// so that two records with the same number are distinct. Number 0 means "no
// epoch yet".
struct epoch_name {
  epoch_number number{0};
  log_offset offset;
  auto operator<=>(const epoch_name&) const = default;
};

// Record of the stream `members`. Accepted only if `base` is the current epoch.
// A refresh repeats the current epoch, whose name is then `base`, so that it
// outlives the stream's retention.
struct epoch_record {
  epoch_number number;
  epoch_name base;
  bool refresh = false;
  // All epochs up to this number have certainly ended.
  epoch_number ended{0};
  std::vector<member_run> members;
  bool operator==(const epoch_record&) const = default;
};

// A member's report of its own state.
struct self_report {
  member_run self;
  // Increases by one in each gossip interval.
  std::uint64_t heartbeat = 0;
  epoch_name epoch;
  // All epochs up to this number have certainly ended.
  epoch_number ended{0};
  bool leaving = false;
  // Configuration offset in force at the member.
  log_offset config_offset;
  bool operator==(const self_report&) const = default;
};

// A member's knowledge of another member.
struct member_entry {
  member_run run;
  std::uint64_t heartbeat = 0;
  bool leaving = false;
  log_offset config_offset;
  bool operator==(const member_entry&) const = default;
};

// Compact entry for a member of the sender's epoch; its position in the epoch
// identifies the member.
struct compact_entry {
  // Modulo kCompactHeartbeatRange; nullopt if the sender has not heard of the
  // member.
  std::optional<std::uint16_t> heartbeat;
  bool leaving = false;
  log_offset config_offset;
  bool operator==(const compact_entry&) const = default;
};

inline constexpr std::uint64_t kCompactHeartbeatRange = 4096;

// Gossip message. Members of the epoch are in `epoch_members` if the receiver
// is known to be in the same epoch; all others are in `members`.
struct gossip_digest {
  self_report from;
  std::vector<compact_entry> epoch_members;
  std::vector<member_entry> members;
  bool operator==(const gossip_digest&) const = default;
};

// JSON encoding. Decoding throws protocol_error on malformed input.
std::string EncodeDigest(const gossip_digest& digest);
gossip_digest DecodeDigest(std::string_view text);
std::string EncodeReport(const self_report& report);
self_report DecodeReport(std::string_view text);
std::string EncodeEpochRecord(const epoch_record& record);
epoch_record DecodeEpochRecord(std::string_view text);

// ---- Messages

// A digest from another host. Answered by respond_to_gossip.
struct gossip_received {
  request_id request;
  gossip_digest digest;
};

// Response to a digest of this host. `sent_at` is that of the send_gossip
// effect.
struct gossip_response {
  std::string address;
  time_point sent_at;
  self_report report;
};

// A digest of this host got no response.
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
struct shutdown_started {};

// ---- Effects

// Sends the digest to `address`. Ends with gossip_response with `sent_at`
// unchanged, or gossip_failed.
struct send_gossip {
  std::string address;
  gossip_digest digest;
  time_point sent_at;
};

// Responds to the request of gossip_received.
struct respond_to_gossip {
  request_id request;
  self_report report;
};

// A new epoch is current. Its members are sorted by id.
struct epoch_changed {
  epoch_name name;
  std::vector<member_run> members;
};

// The right to act as a home in `epoch`. Emitted in each gossip interval and on
// changes. Valid only while now < valid_until, which the consumer must check
// itself, since this host may have been paused meanwhile. A right for an
// earlier epoch stays valid until its own valid_until.
struct grant_right {
  epoch_number epoch;
  bool may_grant = false;
  time_point valid_until;
  // Time from which no host has a right of an earlier epoch; nullopt while
  // unknown. Leases granted under such rights may still be valid.
  std::optional<time_point> earlier_epochs_ended_at;
  // Earlier epochs that may not have ended.
  std::vector<epoch_number> former_epochs;
};

struct live_peer {
  member_run run;
  bool leaving = false;
  log_offset config_offset;
  bool operator==(const live_peer&) const = default;
};

// All live peers without this host, sorted by id.
struct peers_changed {
  std::vector<live_peer> peers;
};

// A live peer became suspect or was replaced by a later incarnation.
struct peer_lost {
  member_run run;
};

struct membership_settings {
  member_run self;
  // Peer addresses to contact at start, whose ids are not known.
  std::vector<std::string> seeds;
};

// Validity of a response in an epoch with this many members, from the sending
// of the digest that it responds to.
milliseconds ResponseValidity(std::size_t members);
// Time without a new heartbeat after which a member is suspected.
milliseconds SuspectTimeout(std::size_t members);

// Decides membership. Needs a tick in each limits::kGossipInterval. Not
// thread-safe.
class membership_machine {
 public:
  using message = std::variant<tick,
                               gossip_received,
                               gossip_response,
                               gossip_failed,
                               log_batch,
                               log_unavailable,
                               append_result,
                               host_list,
                               config_offset_changed,
                               shutdown_started>;
  using effect = std::variant<send_gossip,
                              respond_to_gossip,
                              append_request,
                              epoch_changed,
                              grant_right,
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
