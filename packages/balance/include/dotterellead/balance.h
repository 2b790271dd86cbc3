// Slots of backend servers: which host may use them, which waiting request gets
// which.
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
  // On a slot of this host only. For non-idempotent requests.
  kDirect,
  // On a slot of this host, or at a home that has one.
  kForwardable,
  // Another host forwarded it to this one as a home: on a slot of the servers
  // homed here only.
  kForwarded,
};

// Asks for a slot for one attempt of a request.
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
  // kForwardable: homes that had no free slot for this request (kHomeFull).
  std::uint32_t full_homes = 0;
  // kForwarded: wait for a slot. Otherwise kHomeFull is the answer at once if
  // none is free.
  bool may_wait = true;
};

// Requests and slots of a pool's servers that have one home.
struct home_load {
  // In flight from the home, or waiting there.
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
  // What the home's answer said. Unset: there was no answer.
  std::optional<home_load> load;
  // Without an answer: the home could not be reached or did not answer in time.
  // False if the caller went away first.
  bool home_failed = true;
};

// Gives up waiting; a slot assigned meanwhile comes back.
struct withdraw {
  request_id request;
};

// How an attempt ended, as the server's side of it showed.
enum class attempt_result {
  kAnswered,
  // The server answered that it did not run the request.
  kShed,
  // No connection could be made.
  kConnectFailed,
  // The connection ended after bytes may have been sent.
  kCut,
  kTimedOut,
  kCancelled,
  // The holder did not send, for example because the lease had expired.
  kNotSent,
};

// Gives a slot back after an attempt.
struct release {
  request_id request;
  attempt_result result = attempt_result::kAnswered;
  // From the send to the whole answer.
  microseconds latency{0};
  // The answer was a 5xx other than a shed one.
  bool failed = false;
  // What the answer's headers said, if they did.
  std::optional<bool> cold;
  bool draining = false;
  // The server's start, to notice a restart. Empty if unknown.
  std::string boot;
  // An idle connection was found closed by the server, as after a restart.
  bool found_closed = false;
  server_id server;
  // After a cut, a timeout or a cancellation the server may still run the
  // request until then: the deadline that it was given, and a margin.
  time_point busy_until;
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

// Whether this host may act as a home in `epoch`. A message for an epoch other
// than the current one is ignored.
struct home_right_changed {
  epoch_number epoch;
  // The host may lend slots before this time of its own clock: the time to
  // which a majority's answers to its digests reach. A past time withdraws the
  // right.
  time_point lend_before;
  // From this time on no home of an earlier epoch can lend any more (the time
  // at which a majority of each earlier epoch had moved on, plus the validity
  // of a majority). Unset: not known yet.
  std::optional<time_point> earlier_homes_end;
};

// What a probe of a server, or its home's report, says.
struct load_report {
  server_id server;
  bool cold = false;
  bool draining = false;
  std::uint32_t in_flight = 0;
  // The server's start. Empty if unknown.
  std::string boot;
  // Time since the server's state was as reported.
  milliseconds age{0};
  // From 0 (not to be believed) to 1. A report below kLeastReportWeight cannot
  // show that a server is warm.
  double weight = 1;
};

// The host lists or reports a server as gone or answering no probe.
struct server_suspected {
  server_id server;
};

// ---- Messages between hosts

// One slot of a server as its home lent it. `serial` tells apart the times at
// which the same slot was lent.
struct lease_ref {
  server_id server;
  slot_index slot;
  std::uint64_t serial = 0;
  bool operator==(const lease_ref&) const = default;
};

// Holder to home: lend up to `count` slots. `sequence` grows with every message
// of the holder's incarnation; the lease time counts from when it was sent.
struct slot_request {
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  pool_id pool;
  // Invalid: any version.
  version_id version;
  std::uint32_t count = 0;
  // Slots of the pool that the holder has already.
  std::uint32_t held = 0;
  bool operator==(const slot_request&) const = default;
};

struct granted_lease {
  lease_ref lease;
  // The longest run that the home allows for on this lease.
  milliseconds max_run{0};
  // What the home knows of the server.
  bool cold = false;
  std::uint64_t state_serial = 0;
  bool operator==(const granted_lease&) const = default;
};

// Home to holder: the answer to a request, perhaps a partial one.
struct slot_grant {
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  epoch_number term;
  pool_id pool;
  version_id version;
  std::vector<granted_lease> leases;
  // Slots of the pool that the home could still lend.
  std::uint32_t spare = 0;
  // The home still owes this many slots.
  std::uint32_t owed = 0;
  bool operator==(const slot_grant&) const = default;
};

// Home to holder: give back these slots. An idle one at once; one in use after
// the request, unless the holder needs it and has no more than its share.
struct slot_recall {
  std::vector<lease_ref> leases;
  // Slots that the host in need has.
  std::uint32_t needy_held = 0;
  // Give back after the request in any case.
  bool must = false;
  bool operator==(const slot_recall&) const = default;
};

// Holder to home: these slots are free.
struct slot_return {
  std::vector<lease_ref> leases;
  bool operator==(const slot_return&) const = default;
};

struct renewed_lease {
  lease_ref lease;
  bool in_use = false;
  bool operator==(const renewed_lease&) const = default;
};

// Holder to home: all slots of this home that the holder has.
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

// Home to holder: the renewal's leases are extended, except the lost ones.
struct renewed {
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  std::vector<lease_ref> lost;
  // Servers of the renewal that the home knows as cold.
  std::vector<server_state_serial> cold;
  std::vector<spare_slots> spare;
  bool operator==(const renewed&) const = default;
};

// Holder to home: what the holder's own requests showed of a server.
struct server_news {
  server_id server;
  // Else the server is suspect.
  bool warm = false;
  bool draining = false;
  // The suspicion that `warm` settles.
  std::uint64_t serial = 0;
  bool operator==(const server_news&) const = default;
};

// Home to holder: the state of a server. Each suspicion has a higher serial.
struct server_notice {
  server_id server;
  bool cold = false;
  bool draining = false;
  std::uint64_t serial = 0;
  bool operator==(const server_notice&) const = default;
};

// Earlier home to new home: the lease tables of these servers can be had.
struct handover_offer {
  epoch_number epoch;
  std::vector<server_id> servers;
  bool operator==(const handover_offer&) const = default;
};

// New home to earlier home: send the tables of these servers; none: all are
// settled. Once sent to one incarnation, a table is never sent to another.
struct handover_accept {
  epoch_number epoch;
  incarnation_id incarnation;
  std::vector<server_id> servers;
  bool operator==(const handover_accept&) const = default;
};

struct lent_slot {
  slot_index slot;
  member_id holder;
  std::uint64_t serial = 0;
  // Time to the expiry; negative if it is past but the slot not yet reclaimed.
  milliseconds left{0};
  milliseconds max_run{0};
  bool operator==(const lent_slot&) const = default;
};

struct lease_table {
  server_id server;
  std::uint64_t next_serial = 0;
  bool cold = false;
  bool draining = false;
  std::uint64_t state_serial = 0;
  std::vector<lent_slot> lent;
  bool operator==(const lease_table&) const = default;
};

// Earlier home to new home: takes the place of waiting out the old leases.
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
                                          server_news,
                                          server_notice,
                                          handover_offer,
                                          handover_accept,
                                          handover>;

// JSON text with one-letter keys. DecodeBalanceMessage throws protocol_error on
// malformed input.
std::string EncodeBalanceMessage(const balance_peer_message& m);
balance_peer_message DecodeBalanceMessage(std::string_view text);

// A message from another host's balance duty.
struct balance_received {
  member_id from;
  balance_peer_message body;
};

// ---- Effects

struct assigned {
  request_id request;
  server_id server;
  slot_index slot;
  version_id version;
  // The request must not be sent at or after this time.
  time_point send_before;
  // The longest time the server may run the request.
  milliseconds max_run;
};

// The answer to an acquire that may be forwarded: the home has a slot for it
// sooner than this host.
struct forwarded {
  request_id request;
  member_id home;
  // For acquire::may_wait at the home.
  bool may_wait = true;
};

// The load of the pool's servers whose home is this host. Emitted when it
// changes.
struct home_load_changed {
  pool_id pool;
  home_load load;
};

enum class refusal_reason {
  kQueueFull,
  kDeadline,
  kNoServers,
  kUnknownPool,
  // A forwarded request came to a host that cannot lend slots for it now.
  kNotHome,
  // A forwarded request that may not wait found no free slot. Another home may
  // have one.
  kHomeFull,
};
std::string_view to_string(refusal_reason reason);

struct refused {
  request_id request;
  refusal_reason reason = refusal_reason::kQueueFull;
};

// Sends a message to another host. May be lost, delayed, repeated or reordered.
struct send_to_peer {
  member_id to;
  balance_peer_message body;
};

// Why a server gets no new work from this host.
enum class idle_reason {
  // It gets work.
  kNone,
  kDataCentreOut,
  kDraining,
  // The server has no home, because the host knows no epoch yet.
  kNoHome,
  // The host has leases, but only on slots that a cold server may not use.
  kCold,
  // All leases are in use.
  kAllInUse,
  // The host has no lease on it, and needs none or got none.
  kNoLease,
};
std::string_view to_string(idle_reason reason);

// One server as this host sees it.
struct server_balance {
  server_id server;
  pool_id pool;
  member_id home;
  std::uint32_t slots = 0;
  std::uint32_t cold_slots = 0;
  // Slots that this host has on lease.
  std::uint32_t held = 0;
  std::uint32_t idle = 0;
  std::uint32_t in_use = 0;
  bool cold = false;
  bool suspect = false;
  bool draining = false;
  microseconds latency{0};
  idle_reason reason = idle_reason::kNone;
  // Set if this host is the home: whether it may lend now, and the slots lent.
  std::optional<bool> lending;
  std::uint32_t lent = 0;
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

// A server that could take a request now.
struct choice_candidate {
  server_id server;
  bool own_data_centre = false;
  std::uint32_t slots = 0;
  // Smoothed latency, raised by failures.
  double cost_us = 0;
  // Requests of this host on the server, and the load that the last report
  // showed.
  std::uint32_t own_in_flight = 0;
  std::uint32_t reported_in_flight = 0;
};

enum class choice_policy_kind {
  // Leased slots only; own data centre first, then the lowest cost.
  kLeased,
  // As kLeased, but an idempotent request that finds no idle slot is forwarded
  // to the home that has one, instead of the slot being moved to the request.
  kForwarded,
  // Baselines without leases: they assign at once.
  kRoundRobin,
  kTwoChoices,
};

class choice_policy {
 public:
  virtual ~choice_policy() = default;
  // Whether only servers with an idle leased slot are candidates.
  virtual bool uses_leases() const = 0;
  // Whether requests may be forwarded to homes.
  virtual bool forwards() const { return false; }
  // Returns a position in `candidates`, which is not empty and is sorted by
  // server.
  virtual std::size_t Choose(std::span<const choice_candidate> candidates) = 0;
};

// `seed` starts the random numbers of kTwoChoices.
std::unique_ptr<choice_policy> MakeChoicePolicy(choice_policy_kind kind,
                                                std::uint64_t seed);

// ---- Machine

// A report with less weight than this cannot show that a server is warm.
inline constexpr double kLeastReportWeight = 0.5;

struct balance_options {
  member_id self = member_id("self");
  data_centre_id data_centre;
  incarnation_id incarnation = incarnation_id(1);
  choice_policy_kind policy = choice_policy_kind::kLeased;
  std::uint64_t seed = 1;
  // The host is its own only member and ignores epochs: a single host without
  // the platform's log.
  bool standalone = true;
};

// Holds leases on slots and assigns them to waiting requests, oldest first
// within a tenant and tenants in turn; and as a home lends the slots of its
// servers. Expects a tick at least every 20 ms.
class balance_machine {
 public:
  using message = std::variant<acquire,
                               withdraw,
                               release,
                               forward_ended,
                               config_changed,
                               homes_changed,
                               home_right_changed,
                               load_report,
                               server_suspected,
                               balance_received,
                               tick>;
  using effect = std::variant<assigned,
                              forwarded,
                              refused,
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
