// The operators' resource API, health and metrics over HTTP. All data comes
// from an operator_backend; no thread of the listener touches a state machine.
#ifndef DOTTERELLEAD_OPERATE_H_
#define DOTTERELLEAD_OPERATE_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "dotterellead/config.h"
#include "dotterellead/core.h"
#include "dotterellead/http.h"

namespace dotterellead {

// ---- What the application provides

struct member_status {
  member_id member;
  data_centre_id data_centre;
  bool live = true;
  bool leaving = false;
  // The config offset it last reported; invalid if it has no state yet.
  log_offset config_offset;
};

// This host and the members it knows, itself among them.
struct host_status {
  member_id self;
  data_centre_id data_centre;
  incarnation_id incarnation;
  epoch_number epoch;
  bool log_readable = false;
  std::vector<member_status> members;
};

struct health_status {
  bool ready = false;
  bool leaving = false;
  // Why it is not ready or that it is leaving; empty if ready.
  std::string reason;
};

// Why a server gets or does not get work from this host now.
struct server_explanation {
  pool_id pool;
  server_id server;
  bool gets_work = false;
  // One reason a line, such as "data centre b is out".
  std::vector<std::string> reasons;
  // Slots that this host may use, and of these in use.
  std::uint32_t slots = 0;
  std::uint32_t slots_in_use = 0;
};

// Counts of the last whole interval, such as "refused.no_slot".
struct interval_stats {
  milliseconds interval{0};
  std::vector<std::pair<std::string, double>> values;
};

// What the operators' API needs to write.
struct operator_write {
  bool remove = false;
  resource item;
  std::optional<log_offset> expected;
  bool dry_run = false;
};

// Accepted changes from an offset on.
struct config_changes {
  // The table that holds them; null until the host has a state.
  config_snapshot view;
  std::vector<config_change> changes;
  // False if older changes are no longer kept: read the whole table instead.
  bool complete = true;
};

// All that the operators' API reads and asks for. Called from the listener's
// threads, several at once. Only Write and ChangesFrom may block, until their
// deadline.
class operator_backend {
 public:
  virtual ~operator_backend() = default;
  // The table in use; null until the host has a state.
  virtual config_snapshot Config() = 0;
  virtual write_outcome Write(const operator_write& write,
                              time_point deadline) = 0;
  // Waits until a change at offset `from` or later is known.
  virtual config_changes ChangesFrom(log_offset from, time_point deadline) = 0;
  virtual host_status Status() = 0;
  virtual health_status Health() = 0;
  // All servers of the pool.
  virtual std::vector<server_explanation> ExplainPool(const pool_id& pool) = 0;
  // The server in each pool that has it.
  virtual std::vector<server_explanation> ExplainServer(
      const server_id& server) = 0;
  virtual interval_stats Stats() = 0;
  // Prometheus text.
  virtual std::string Metrics() = 0;
};

// Keeps the last published table and recent changes for readers on other
// threads. Implements Config and ChangesFrom of a backend.
class config_feed {
 public:
  explicit config_feed(std::size_t max_changes = 4096)
      : max_changes_(max_changes) {}
  // Call on the config duty's thread with each publication.
  void Publish(const config_published& published);
  config_snapshot Config() const;
  config_changes ChangesFrom(log_offset from, time_point deadline);
  // Wakes all waiting readers for good.
  void Close();

 private:
  std::size_t max_changes_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  config_snapshot view_;
  std::deque<config_change> changes_;
  // Changes from this offset on are all kept.
  log_offset complete_from_{0};
  bool closed_ = false;
};

// ---- Status of resources

// Whether a resource's last change is in force on every live member.
struct resource_status {
  resource_key key;
  log_offset revision;
  std::vector<member_id> behind;
  bool in_force() const { return behind.empty(); }
};

// A member is behind if it is live and has not reported the revision's offset.
std::vector<resource_status> StatusOfResources(const config_view& view,
                                               const host_status& host);

// ---- The API

// Answers the operators' requests.
//   GET /v1/kinds                  GET /v1/{kind}
//   GET, PUT, DELETE /v1/{kind}/{name}?revision=N&dry_run=1
//   GET /v1/watch?from=N&wait_ms=M GET /v1/status
//   GET /v1/explain?server=|pool=  GET /v1/stats
//   GET /metrics                   GET /health/alive, /ready, /leaving
// All but /health need "Authorization: Bearer SECRET". Answers are JSON, errors
// {"error","remedy"}; 400 invalid, 401, 404, 405, 409 with "revision", 429,
// 503, and 504 with "outcome":"unknown" if a write's outcome is not known.
class operator_api {
 public:
  operator_api(operator_backend& backend,
               const clock_source& clock,
               std::string secret);

  // The handler of the operators' listener. Does not throw.
  http_answer Handle(const http_request& request, const http_peer& peer);

 private:
  // A request whose path has been split: kind and name may be empty.
  struct api_call {
    const http_request& request;
    std::string kind;
    std::string name;
  };
  using handler = http_answer (operator_api::*)(const api_call&);
  struct route {
    std::string_view method;
    // Path with * for one segment: the first is the kind, the second the name.
    std::string_view pattern;
    handler handle;
    bool open = false;
  };
  static std::span<const route> Routes();

  http_answer Dispatch(const http_request& request);
  bool IsAuthorised(const http_request& request) const;
  config_snapshot ConfigOrThrow();

  http_answer GetKinds(const api_call& call);
  http_answer GetList(const api_call& call);
  http_answer GetOne(const api_call& call);
  http_answer PutOne(const api_call& call);
  http_answer DeleteOne(const api_call& call);
  http_answer GetWatch(const api_call& call);
  http_answer GetStatus(const api_call& call);
  http_answer GetExplain(const api_call& call);
  http_answer GetStats(const api_call& call);
  http_answer GetMetrics(const api_call& call);
  http_answer GetAlive(const api_call& call);
  http_answer GetReady(const api_call& call);
  http_answer GetLeaving(const api_call& call);
  http_answer Write(const operator_write& write);

  operator_backend& backend_;
  const clock_source& clock_;
  std::string secret_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_OPERATE_H_
