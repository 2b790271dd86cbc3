// Distribution of backend servers' slots in the standalone mode: which host may
// use a slot, and which waiting request gets it.
#ifndef DOTTERELLEAD_BALANCE_H_
#define DOTTERELLEAD_BALANCE_H_

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterellead/config.h"
#include "dotterellead/core.h"

namespace dotterellead {

// ---- Messages

// Where an attempt may run.
enum class acquire_kind {
  // Only on a slot leased by this host. For non-idempotent requests.
  kDirect,
  // On a slot leased by this host, or at a home with a free slot.
  kForwardable,
  // Forwarded by another host to this one as a home: on a slot of the servers
  // homed here only.
  kForwarded,
};

// Requests a slot for one attempt of a request. Answered by assigned, forwarded
// or acquire_rejected.
struct acquire {
  request_id request;
  pool_id pool;
  tenant_id tenant;
  // Invalid: any version.
  version_id version;
  // Servers that earlier attempts of the request used.
  std::vector<server_id> excluded;
  time_point deadline;
  acquire_kind kind = acquire_kind::kDirect;
  // kForwardable: number of homes that rejected this request with kHomeFull.
  std::uint32_t home_rejections = 0;
  // kForwarded: whether to wait for a slot. If not, and none is free, the
  // request is rejected with kHomeFull.
  bool may_wait = true;
};

// Load of a pool's servers that have the same home.
struct home_load {
  // Requests in flight from the home or waiting there.
  std::uint32_t busy = 0;
  // Slots that may be used now.
  std::uint32_t usable = 0;
  bool operator==(const home_load&) const = default;
};

// How a forwarded request ended.
struct forward_ended {
  request_id request;
  pool_id pool;
  member_id home;
  // Load in the home's response; unset without a response.
  std::optional<home_load> load;
  // Whether a missing response is due to the home, which was unreachable or did
  // not respond in time; false if the caller disconnected first.
  bool home_failed = true;
};

// Cancels an acquire. A slot that was assigned meanwhile is released.
struct cancel_acquire {
  request_id request;
};

// Outcome of an attempt.
enum class attempt_result {
  kResponded,
  // The server stated that it did not run the request.
  kNotRun,
  // No connection could be made.
  kNotConnected,
  // The connection was lost after bytes may have been sent.
  kConnectionLost,
  kTimedOut,
  kCancelled,
  // The holder did not send the request, for example because the lease had
  // expired.
  kNotSent,
};

// Releases a slot after an attempt.
struct release {
  request_id request;
  attempt_result result = attempt_result::kResponded;
  // From sending the request to the complete response.
  microseconds latency{0};
  // Whether the response was a 5xx that does not state that the request did not
  // run.
  bool is_error_status = false;
  // State of the server in the response's headers, if present.
  std::optional<bool> cold;
  bool draining = false;
  // Identifies the server's run, to detect restarts. Empty if unknown.
  std::string server_boot;
  // Whether the server had closed an idle connection, as after a restart.
  bool idle_connection_closed = false;
  server_id server;
  // After a lost connection, a timeout or a cancellation the server may still
  // run the request until then: the deadline that it was given, plus a margin.
  time_point server_busy_until;
};

std::string_view to_string(attempt_result result);

struct config_changed {
  config_snapshot config;
};

// An entry host that may be the home of servers.
struct home_candidate {
  member_id id;
  data_centre_id data_centre;
  bool operator==(const home_candidate&) const = default;
};

// A new epoch. The home of each server follows from its members.
struct homes_changed {
  epoch_number epoch;
  std::vector<home_candidate> members;
};

// Whether this host may act as a home in `epoch`. Ignored for an epoch other
// than the current one.
struct grant_right_changed {
  epoch_number epoch;
  // The host may grant slots until this time of its own clock: the time until
  // which a majority's responses to its digests are valid. A past time
  // withdraws the right.
  time_point may_grant_until;
  // From this time on no home of an earlier epoch can grant slots: the time at
  // which a majority of each earlier epoch had moved on, plus the validity of a
  // majority. Unset if unknown.
  std::optional<time_point> earlier_grants_end_at;
};

// Load and state of a server, from a probe or from its home.
struct load_report {
  server_id server;
  bool cold = false;
  bool draining = false;
  std::uint32_t in_flight = 0;
  // Identifies the server's run. Empty if unknown.
  std::string server_boot;
  // Age of the report.
  milliseconds age{0};
  // Reliability from 0 (ignore) to 1. A report below kMinReportWeight cannot
  // show that a server is warm.
  double weight = 1;
};

// A server was reported as down or as not responding to probes.
struct server_suspected {
  server_id server;
};

// ---- Messages between hosts

// A slot of a server on lease. `serial` distinguishes the leases of the same
// slot.
struct lease_ref {
  server_id server;
  slot_index slot;
  std::uint64_t serial = 0;
  bool operator==(const lease_ref&) const = default;
};

// Holder to home: requests up to `count` slots. `sequence` increases with every
// message of the holder's incarnation; the lease time counts from the sending
// of this message.
struct slot_request {
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  pool_id pool;
  // Invalid: any version.
  version_id version;
  std::uint32_t count = 0;
  // Slots of the pool that the holder already has.
  std::uint32_t held = 0;
  bool operator==(const slot_request&) const = default;
};

struct granted_lease {
  lease_ref lease;
  // Maximum run time that the home permits on this lease.
  milliseconds max_run{0};
  // State of the server as the home knows it.
  bool cold = false;
  std::uint64_t state_serial = 0;
  bool operator==(const granted_lease&) const = default;
};

// Home to holder: grants slots in response to a slot_request, possibly some of
// them only.
struct slot_grant {
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  epoch_number term;
  pool_id pool;
  version_id version;
  std::vector<granted_lease> leases;
  // Slots of the pool that the home could still grant.
  std::uint32_t spare = 0;
  // Requested slots that the home has not granted yet.
  std::uint32_t pending = 0;
  bool operator==(const slot_grant&) const = default;
};

// Home to holder: requests the return of these slots. An idle one is returned
// at once; one in use after its request, unless the holder needs it and has no
// more than its share.
struct slot_recall {
  std::vector<lease_ref> leases;
  // Slots that the requesting host has.
  std::uint32_t requester_held = 0;
  // Whether a slot in use must be returned after its request in any case.
  bool is_mandatory = false;
  bool operator==(const slot_recall&) const = default;
};

// Holder to home: returns these slots.
struct slot_return {
  std::vector<lease_ref> leases;
  bool operator==(const slot_return&) const = default;
};

struct renewed_lease {
  lease_ref lease;
  bool in_use = false;
  bool operator==(const renewed_lease&) const = default;
};

// Holder to home: renews all leases of this home.
struct renewal {
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  std::vector<renewed_lease> leases;
  bool operator==(const renewal&) const = default;
};

struct spare_slots {
  pool_id pool;
  std::uint32_t count = 0;
  bool operator==(const spare_slots&) const = default;
};

struct server_state_serial {
  server_id server;
  std::uint64_t serial = 0;
  bool operator==(const server_state_serial&) const = default;
};

// Home to holder: confirms a renewal, except for the lost leases.
struct renewed {
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  std::vector<lease_ref> lost;
  // Servers of the renewal that are cold.
  std::vector<server_state_serial> cold;
  std::vector<spare_slots> spare;
  bool operator==(const renewed&) const = default;
};

// Holder to home: state of a server as seen by the holder's requests.
struct server_observation {
  server_id server;
  // If false, the server is suspect.
  bool warm = false;
  bool draining = false;
  // The suspicion that `warm` clears.
  std::uint64_t serial = 0;
  bool operator==(const server_observation&) const = default;
};

// Home to holder: state of a server. Each suspicion has a higher serial.
struct server_state_update {
  server_id server;
  bool cold = false;
  bool draining = false;
  std::uint64_t serial = 0;
  bool operator==(const server_state_update&) const = default;
};

// Former home to new home: offers the lease tables of these servers.
struct handover_offer {
  epoch_number epoch;
  std::vector<server_id> servers;
  bool operator==(const handover_offer&) const = default;
};

// New home to former home: requests the tables of these servers, or none if all
// are known. A table that was sent to one incarnation is never sent to another.
struct handover_accept {
  epoch_number epoch;
  incarnation_id incarnation;
  std::vector<server_id> servers;
  bool operator==(const handover_accept&) const = default;
};

struct leased_slot {
  slot_index slot;
  member_id holder;
  std::uint64_t serial = 0;
  // Time until the lease expires; negative if it has expired and was not
  // reclaimed yet.
  milliseconds time_left{0};
  milliseconds max_run{0};
  bool operator==(const leased_slot&) const = default;
};

struct lease_table {
  server_id server;
  std::uint64_t next_serial = 0;
  bool cold = false;
  bool draining = false;
  std::uint64_t state_serial = 0;
  std::vector<leased_slot> leased;
  bool operator==(const lease_table&) const = default;
};

// Former home to new home: the lease tables, so that the new home need not wait
// for the old leases to expire.
struct handover {
  epoch_number epoch;
  incarnation_id to_incarnation;
  std::vector<lease_table> tables;
  bool operator==(const handover&) const = default;
};

using balance_peer_message = std::variant<slot_request,
                                          slot_grant,
                                          slot_recall,
                                          slot_return,
                                          renewal,
                                          renewed,
                                          server_observation,
                                          server_state_update,
                                          handover_offer,
                                          handover_accept,
                                          handover>;

// JSON encoding with one-letter keys. Decoding throws protocol_error if the
// text is malformed.
std::string EncodeBalanceMessage(const balance_peer_message& m);
balance_peer_message DecodeBalanceMessage(std::string_view text);

// A message from another host's balance duty.
struct balance_received {
  member_id from;
  balance_peer_message body;
};

// ---- Effects

// Response to an acquire: the slot to use.
struct assigned {
  request_id request;
  server_id server;
  slot_index slot;
  version_id version;
  // The request must not be sent at or after this time.
  time_point send_before;
  // Maximum run time of the request on the server.
  milliseconds max_run;
};

// Response to a forwardable acquire: `home` has a slot sooner than this host.
struct forwarded {
  request_id request;
  member_id home;
  // For acquire::may_wait at the home.
  bool may_wait = true;
};

// Load of the pool's servers whose home is this host. Emitted when it changes.
struct home_load_changed {
  pool_id pool;
  home_load load;
};

enum class rejection_reason {
  kQueueFull,
  kDeadline,
  kNoServers,
  kUnknownPool,
  // A forwarded request reached a host that cannot grant slots for it now.
  kNotHome,
  // A forwarded request that may not wait found no free slot; another home may
  // have one.
  kHomeFull,
};
std::string_view to_string(rejection_reason reason);

// Response to an acquire that gets no slot.
struct acquire_rejected {
  request_id request;
  rejection_reason reason = rejection_reason::kQueueFull;
};

// A message to another host. May be lost, delayed, duplicated or reordered.
struct send_to_peer {
  member_id to;
  balance_peer_message body;
};

// Why a server gets no new requests from this host.
enum class idle_reason {
  // It does get requests.
  kNone,
  kDataCentreOut,
  kDraining,
  // The server has no home, since the host knows no epoch yet.
  kNoHome,
  // The host's leases are on slots that a cold server must not use.
  kCold,
  // All leases are in use.
  kAllInUse,
  // The host has no lease on the server.
  kNoLease,
};
std::string_view to_string(idle_reason reason);

// State of one server from this host's point of view.
struct server_balance {
  server_id server;
  pool_id pool;
  member_id home;
  std::uint32_t slots = 0;
  std::uint32_t cold_slots = 0;
  // Slots leased by this host.
  std::uint32_t held = 0;
  std::uint32_t idle = 0;
  std::uint32_t in_use = 0;
  bool cold = false;
  bool suspect = false;
  bool draining = false;
  microseconds latency{0};
  idle_reason reason = idle_reason::kNone;
  // Set if this host is the home: whether it may grant slots now, and the
  // number of slots granted.
  std::optional<bool> is_granting;
  std::uint32_t granted = 0;
};

struct pool_balance {
  pool_id pool;
  std::uint32_t waiting = 0;
};

// Emitted once per second.
struct balance_report {
  epoch_number epoch;
  std::vector<server_balance> servers;
  std::vector<pool_balance> pools;
  // Since the start.
  std::uint64_t peer_messages_sent = 0;
  std::uint64_t leases_expired = 0;
  std::uint64_t slots_reclaimed = 0;
};

// ---- Choice among idle slots

// A server with capacity for a request.
struct choice_candidate {
  server_id server;
  bool is_local = false;
  std::uint32_t slots = 0;
  // Smoothed latency in microseconds, increased by failures.
  double cost_us = 0;
  // Requests of this host in flight to the server, and the load in the last
  // report.
  std::uint32_t own_in_flight = 0;
  std::uint32_t reported_in_flight = 0;
};

enum class choice_policy_kind {
  // Leased slots only; local servers first, then the lowest cost.
  kLeased,
  // Like kLeased, but an idempotent request without an idle slot is forwarded
  // to the home that has one, instead of moving the slot to the request.
  kForwarded,
  // Baselines without leases.
  kRoundRobin,
  kTwoChoices,
};

// Strategy for choosing among servers.
class choice_policy {
 public:
  virtual ~choice_policy() = default;
  // Whether only servers with an idle leased slot are candidates.
  virtual bool uses_leases() const = 0;
  // Whether requests may be forwarded to homes.
  virtual bool forwards() const { return false; }
  // Returns an index into `candidates`, which is not empty and sorted by
  // server.
  virtual std::size_t Choose(std::span<const choice_candidate> candidates) = 0;
};

// `seed` seeds the random numbers of kTwoChoices.
std::unique_ptr<choice_policy> MakeChoicePolicy(choice_policy_kind kind,
                                                std::uint64_t seed);

// ---- State machine

// Minimum weight of a report that can show that a server is warm.
inline constexpr double kMinReportWeight = 0.5;

struct balance_options {
  member_id self = member_id("self");
  data_centre_id data_centre;
  incarnation_id incarnation = incarnation_id(1);
  choice_policy_kind policy = choice_policy_kind::kLeased;
  std::uint64_t seed = 1;
  // Whether the host is the only member and ignores epochs, as without the
  // platform's log.
  bool standalone = true;
};

// Leases slots and assigns them to waiting requests, round robin among tenants
// and oldest first within a tenant. As a home, grants the slots of its servers
// to other hosts. Needs a tick every 20 ms. Not thread-safe.
class balance_machine {
 public:
  using message = std::variant<acquire,
                               cancel_acquire,
                               release,
                               forward_ended,
                               config_changed,
                               homes_changed,
                               grant_right_changed,
                               load_report,
                               server_suspected,
                               balance_received,
                               tick>;
  using effect = std::variant<assigned,
                              forwarded,
                              acquire_rejected,
                              home_load_changed,
                              send_to_peer,
                              balance_report>;

  explicit balance_machine(const balance_options& options = {});
  ~balance_machine();
  balance_machine(balance_machine&&) noexcept;
  balance_machine& operator=(balance_machine&&) noexcept;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_BALANCE_H_
