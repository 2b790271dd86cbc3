// Routes each request of a caller: selects the route, pool, version and backend
// server, and decides on retries, queueing and rejection. Makes no I/O; the
// traffic package executes the effects.
#ifndef DOTTERELLEAD_DISPATCH_H_
#define DOTTERELLEAD_DISPATCH_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dotterellead/access.h"
#include "dotterellead/catalog.h"
#include "dotterellead/core.h"
#include "dotterellead/pools.h"

namespace dotterellead::dispatch {

// ---- Load of a server

struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // Service time on the server's machine relative to normal, in percent; 100 is
  // normal.
  std::uint32_t slowdown_percent = 100;
};

// Outcome of one probe. kWrongServer: another server uses the address now.
enum class probe_result { kHealthy, kUnhealthy, kWrongServer, kUnreachable };

// Health and load of one server, from one probe.
struct load_sample {
  server_id server;
  probe_result result = probe_result::kUnreachable;
  // Absent if the server does not report its load.
  std::optional<load_report> load;
  // Remaining warm-up time; 0 for a warm server.
  milliseconds warmup_left{0};
  // Time from the probe to its response.
  microseconds latency{0};
};

// ---- Servers

// What the traffic package needs to reach a server.
struct server_ref {
  server_id id;
  catalog::endpoint address;
  std::string health_path;
  // Idle connections that this host may keep open to the server.
  std::uint32_t max_idle_connections = 0;
  // Start time of the run of the server that is meant.
  unix_millis started_at;
};

// ---- Messages

// A caller sent a request.
struct request_arrived {
  request_id request;
  // The id that the caller gave the request; for the log.
  std::string caller_request_id;
  std::string host;
  std::string path;
  // How long the caller waits for the response, if it says so.
  std::optional<milliseconds> caller_timeout;
  request_fingerprint fingerprint;
  access::credential credential;
};

// Responses to one probe_servers effect. Servers that did not respond within
// its timeout are listed as kUnreachable.
struct probes_completed {
  request_id request;
  std::vector<load_sample> samples;
};

enum class attempt_result {
  // A complete response; the request ran.
  kResponded,
  // The server stated that it did not run the request.
  kNotRun,
  // Another server uses the address now; the request did not run.
  kWrongServer,
  // The connect failed, so no byte of the request was sent.
  kNotConnected,
  // The time until which the attempt was permitted had passed, so no byte of
  // the request was sent.
  kNotSent,
  // The connection was lost after the request was sent.
  kConnectionLost,
  // The response was malformed or lacked a valid signature.
  kInvalidResponse,
};

// An attempt ended, with or without a response.
struct attempt_ended {
  request_id request;
  server_id server;
  attempt_result result = attempt_result::kConnectionLost;
  // HTTP status of the response; 0 without one.
  int status = 0;
  microseconds latency{0};
  std::optional<load_report> load;
};

// The caller closed its connection before the response.
struct caller_disconnected {
  request_id request;
};

// A new snapshot of the configuration, servers and moves is in force.
struct catalog_changed {
  catalog::snapshot_ptr snapshot;
};

// The configuration `version` was the newest in the store at `proven_at`.
struct config_confirmed {
  boot_time proven_at;
  catalog::config_version version;
};

// Sets the share of a pool's requests, per mille, that goes to the target
// version of its move.
struct move_share_changed {
  pool_id pool;
  version_id target;
  std::uint32_t per_mille = 0;
};

// The live entry hosts, this one included. They share the probe rate, the retry
// allowance and the ownership of cold servers.
struct live_hosts_changed {
  std::vector<member_id> live;
  // Live hosts of this host's data centre, and data centres that have any; 0 if
  // unknown.
  std::size_t local_host_count = 0;
  std::size_t data_centre_count = 0;
};

// This host is stopping. Requests that may still be in progress at `ends_at`
// are rejected, unless they have been sent to a server.
struct shutdown_started {
  time_point ends_at;
};

// Another host saw a server crash while it ran a request with this fingerprint.
struct crash_reported {
  request_fingerprint fingerprint;
};

// What a server said of itself in any response, also in one that came too late
// for the request or probe that caused it. Precedes the attempt_ended or
// probes_completed of the response.
struct server_notice {
  server_ref server;
  // The server is draining and accepts nothing new.
  bool is_leaving = false;
  // The server accepts nothing for this long; at most
  // limits::kMaxServerBackoff.
  std::optional<milliseconds> retry_after;
};

// The load on shared pools that the hosts of the fleet reported, by pool and
// data centre; an empty table has none.
struct pool_view_changed {
  pools::pool_table totals;
};

// ---- Effects

// Probes the health and load of several servers concurrently. Ends with one
// probes_completed.
struct probe_servers {
  request_id request;
  std::vector<server_ref> servers;
  milliseconds timeout{0};
};

// What a server gets in the header that names the customer. kPassOn leaves it
// and the credential as the caller sent them; the others remove both first.
enum class customer_header_action { kPassOn, kRemove, kSet };

struct customer_header {
  customer_header_action action = customer_header_action::kPassOn;
  // Valid for kSet.
  customer_id customer;
};

// Sends the request to a server. Ends with one attempt_ended.
struct send_attempt {
  request_id request;
  server_ref server;
  // Time within which the server must respond.
  milliseconds timeout{0};
  int attempt_number = 0;
  customer_header customer;
  // The attempt must not begin at this time or later.
  std::optional<boot_time> not_after;
};

// Delivers the response of the last attempt to the caller unchanged.
struct deliver_response {
  request_id request;
};

enum class reject_reason {
  kNoRoute,
  // The request lacks a key of a customer.
  kUnknownKey,
  // The request did not run: no configuration, no eligible server, no capacity
  // in time, requests like it crash servers, or this host stops.
  kNoConfiguration,
  kNoServer,
  kNoCapacity,
  kCrashesServers,
  kHostStopping,
  // The request did not run: the configuration is too old to tell whether the
  // key is valid.
  kConfigurationOutdated,
  // The request may have run.
  kTimedOut,
  kServerFailed,
};

// The reason as written to the log, the metrics and the rejection.
std::string_view to_string(reject_reason reason);
// Whether a rejection for this reason guarantees that the request did not run.
bool GuaranteesNotRun(reject_reason reason);

// Ends the request with a response of the entry host's own and cancels its
// probes and attempts.
struct reject_request {
  request_id request;
  reject_reason reason = reject_reason::kNoServer;
  // Delay after which the caller should retry.
  std::optional<milliseconds> retry_after;
};

// Cancels the probes and attempts of a request whose caller has disconnected.
struct cancel_request {
  request_id request;
};

// Closes the idle connections to a server, and the others after their response.
struct close_connections {
  catalog::endpoint address;
};

// A server crashed while it ran a request with this fingerprint. Sent to the
// other hosts.
struct crash_detected {
  request_fingerprint fingerprint;
};

// The outcome of an attempt on a pool whose move is in progress. Input of the
// move's decision.
struct version_observed {
  pool_id pool;
  log_offset order;
  // Whether the server runs the move's target version.
  bool is_target = false;
  catalog::route_name route;
  // The attempt failed or took several times the predicted latency.
  bool is_bad = false;
};

// A server began to run a request of a customer (+1), or did not after all
// (-1). Both state when the attempt was sent, so that they count in one window.
struct customer_counted {
  customer_id customer;
  int change = 0;
  time_point sent_at;
};

// Emitted once when a request completes. Input of the statistics.
struct request_completed {
  catalog::route_name route;
  bool is_delivered = false;
  // Set if no response was delivered.
  reject_reason reason = reject_reason::kNoServer;
  milliseconds total{0};
};

// What this host knows of a pool that routes of different priority share.
struct pool_status {
  // Whether `load` comes from the fleet's totals, not from this host alone.
  bool is_view_shared = false;
  milliseconds age{0};
  pools::pool_load load;
  // Slots that the least urgent requests leave free, in the whole pool.
  double reserved_slots = 0;
};

// This host's load on each shared pool, for the other hosts, and the state of
// each for the metrics. Emitted every 0.5 s if there is a shared pool.
struct pools_reported {
  pools::pool_table own;
  std::map<pool_id, pool_status> status;
};

// A less urgent request was rejected while capacity was reserved for, or used
// by, more urgent ones.
struct rejected_in_favour {
  pool_id pool;
  int priority = 0;
  int favoured = 0;
};

// One line of the decision log.
struct decision {
  std::string event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

// ---- State machine

struct dispatch_settings {
  member_id self;
  data_centre_id data_centre;
  // Retries allowed per request, and a number of retries per window beyond that
  // ratio, both summed over all hosts; from the operators' limits.
  double retry_ratio = 0.2;
  milliseconds retry_window{10'000};
  double retry_allowance = 50;
  // Hosts that may be running although no list names them; a lower bound of
  // the hosts that share the allowance.
  std::size_t min_host_count = 1;
  // Average number of probes per second that one server accepts from all hosts
  // together; from the operators' limits.
  double max_probe_rate = 60;
  // Whether capacity is reserved in pools that routes of different priority
  // share.
  bool has_shared_pools = true;
  std::uint64_t seed = 1;
  access::age_limits age_limits;
};

// Not thread-safe: one duty owns it and calls Step for each message.
class dispatcher {
 public:
  using message = std::variant<request_arrived,
                               probes_completed,
                               attempt_ended,
                               server_notice,
                               caller_disconnected,
                               catalog_changed,
                               config_confirmed,
                               move_share_changed,
                               live_hosts_changed,
                               crash_reported,
                               pool_view_changed,
                               shutdown_started,
                               tick>;
  using effect = std::variant<probe_servers,
                              send_attempt,
                              deliver_response,
                              reject_request,
                              cancel_request,
                              close_connections,
                              crash_detected,
                              version_observed,
                              customer_counted,
                              request_completed,
                              pools_reported,
                              rejected_in_favour,
                              decision>;

  explicit dispatcher(dispatch_settings settings);
  ~dispatcher();
  dispatcher(dispatcher&&) noexcept;

  // Handles one message and appends the resulting effects to `out`.
  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // When the next tick is due; nullopt if no timer is pending.
  std::optional<time_point> NextDeadline() const;
  // Number of requests without a final response.
  std::size_t open_requests() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_H_
