// Decides for each request of a caller where it goes: route, pool, version,
// backend server, repeats, waiting and rejection. Makes no I/O; the traffic
// package carries the effects out.
#ifndef DOTTERELLEAD_DISPATCH_H_
#define DOTTERELLEAD_DISPATCH_H_

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dotterellead/catalog.h"
#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// ---- What is known of a server's load

struct load_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 1;
  // How long work takes on the server's machine now; 100 is usual.
  std::uint32_t pace_percent = 100;
};

enum class probe_result { kHealthy, kUnhealthy, kWrongServer, kUnreachable };

struct load_sample {
  server_id server;
  probe_result result = probe_result::kUnreachable;
  // Absent if the server does not tell its load.
  std::optional<load_report> load;
  // How much longer the server is cold.
  milliseconds cold_left{0};
  // Time until the answer.
  microseconds taken{0};
};

// ---- Messages

struct call_arrived {
  request_id call;
  // The caller's own id of the request, for the log.
  std::string caller_request;
  std::string host;
  std::string path;
  // How long the caller will wait; absent if it does not say.
  std::optional<milliseconds> patience;
  request_fingerprint fingerprint;
};

// Answers of the servers of one take_samples; servers that did not answer in
// time are listed as unreachable.
struct samples_taken {
  request_id call;
  std::vector<load_sample> samples;
};

enum class attempt_result {
  // A whole answer that says the request ran.
  kAnswered,
  // The server says that it has not run the request.
  kNotRun,
  // Another server has the address; the request has not run.
  kWrongServer,
  // No byte of the request was sent.
  kNotConnected,
  // The connection ended after the request was sent.
  kBroken,
  // The answer was not one the server may give.
  kBadAnswer,
};

struct attempt_ended {
  request_id call;
  server_id server;
  attempt_result result = attempt_result::kBroken;
  // HTTP status, if there was an answer.
  int status = 0;
  microseconds taken{0};
  std::optional<load_report> load;
};

// The caller closed its connection.
struct caller_left {
  request_id call;
};

struct catalog_changed {
  catalog::snapshot_ptr snapshot;
};

// Share of a pool's requests that goes to the target of its move, per mille.
struct move_share_changed {
  pool_id pool;
  version_id target;
  std::uint32_t per_mille = 0;
};

// Entry hosts that live, this one included; decides which host may use a cold
// server.
struct hosts_changed {
  std::vector<member_id> live;
};

// Another host saw a server end while it ran a request like this.
struct crash_heard {
  request_fingerprint fingerprint;
};

// ---- Effects

struct server_ref {
  server_id id;
  catalog::endpoint address;
  std::string health_path;
  // Idle connections that this host may keep to it.
  std::uint32_t idle_links = 0;
};

// Asks servers for health and load, at the same time.
struct take_samples {
  request_id call;
  std::vector<server_ref> servers;
  milliseconds limit{0};
};

struct send_attempt {
  request_id call;
  server_ref server;
  // Time left to the server for its answer.
  milliseconds time_left{0};
  int number = 0;
};

// The answer of the last attempt goes to the caller unchanged.
struct deliver_answer {
  request_id call;
};

enum class reject_reason {
  kNoRoute,
  // Not run: no configuration, no usable server, or no room in time.
  kNoConfiguration,
  kNoServer,
  kNoRoom,
  kCrashesServers,
  // May have run.
  kTimedOut,
  kServerFailed,
};

std::string_view to_string(reject_reason reason);
// Whether the reason promises that the request has not run.
bool IsNotRun(reject_reason reason);

// Ends the call with an answer of the system's own, and cancels what is under
// way for it.
struct reject_call {
  request_id call;
  reject_reason reason = reject_reason::kNoServer;
  // When the caller may come back.
  std::optional<milliseconds> retry_after;
};

// Cancels what is under way; nobody waits for an answer.
struct drop_call {
  request_id call;
};

// A server ended while it ran a request like this; the other hosts should know.
struct crash_seen {
  request_fingerprint fingerprint;
};

// An attempt of a pool with a move under way has ended.
struct version_observed {
  pool_id pool;
  log_offset order;
  // Whether the server has the move's target version.
  bool is_target = false;
  catalog::route_name route;
  // Failed, or took several times as long as expected.
  bool is_bad = false;
};

// A call is over; for statistics.
struct call_finished {
  catalog::route_name route;
  bool is_delivered = false;
  // If not delivered.
  reject_reason reason = reject_reason::kNoServer;
  milliseconds total{0};
};

// One line of the decision log.
struct decision {
  std::string event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

// ---- Machine

struct dispatch_settings {
  member_id self;
  data_centre_id data_centre;
  // Repeats allowed for each request over all hosts, and beyond these in one
  // window; from the operator's limits.
  double repeat_ratio = 0.2;
  milliseconds repeat_window{10'000};
  double repeat_slack = 50;
  // Probes per second that one server bears from all hosts, on average; from
  // the operator's limits.
  double probe_rate = 60;
  std::uint64_t seed = 1;
};

class dispatcher {
 public:
  using message = std::variant<call_arrived,
                               samples_taken,
                               attempt_ended,
                               caller_left,
                               catalog_changed,
                               move_share_changed,
                               hosts_changed,
                               crash_heard,
                               tick>;
  using effect = std::variant<take_samples,
                              send_attempt,
                              deliver_answer,
                              reject_call,
                              drop_call,
                              crash_seen,
                              version_observed,
                              call_finished,
                              decision>;

  explicit dispatcher(dispatch_settings settings);
  ~dispatcher();
  dispatcher(dispatcher&&) noexcept;

  void Step(const message& m, const moment& now, std::vector<effect>& out);
  std::optional<time_point> NextDeadline() const;
  // Calls that are not yet answered.
  std::size_t open_calls() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_H_
