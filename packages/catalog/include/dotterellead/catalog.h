// What a host knows of the installation: routes, pools, backend servers, data
// centres out of service and moves to new versions. Values only; the platform
// adapter fills them, the other packages read them.
#ifndef DOTTERELLEAD_CATALOG_H_
#define DOTTERELLEAD_CATALOG_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead::catalog {

// ---- Addresses

// IPv4 address and port. Port 0 is invalid.
struct endpoint {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  bool is_valid() const { return port != 0; }
  auto operator<=>(const endpoint&) const = default;
};

// Reads "IP:port". Returns an invalid endpoint for any other text.
endpoint ParseEndpoint(std::string_view text);
std::string to_string(const endpoint& address);

// ---- Configuration

// Whether a request may run more than once.
enum class repeat_rule { kIdempotent, kAtMostOnce };

using route_name = text_id<struct route_name_tag>;
// Grows with each configuration.
using config_version = number_id<struct config_version_tag>;

// Part of a route's requests that go to one pool.
struct pool_share {
  pool_id pool;
  double weight = 0;
};

struct route {
  route_name name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  repeat_rule repeat = repeat_rule::kAtMostOnce;
  // Longest time that a caller is kept waiting.
  milliseconds timeout{0};
  // Time within which an answer is worth most.
  milliseconds target{0};
  // 0 is the most urgent.
  int priority = 0;
  // Servers that one request may be sent to.
  int max_servers = 1;
  std::vector<pool_share> pools;
};

struct pool {
  pool_id id;
  std::string health_path;
  // Connections that one server accepts from all hosts together; 0: unknown.
  std::uint32_t connection_limit = 0;
  // How long a server stays cold after its start.
  milliseconds cold_time{0};
  // Requests per second that a cold server bears; 0: not limited.
  double cold_rate = 0;
};

// Bounds on what a caller may send and how long it may take.
struct caller_limits {
  byte_count header{16 << 10};
  byte_count body{1 << 20};
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

struct configuration {
  config_version version;
  std::vector<route> routes;
  std::map<pool_id, pool> pools;
  caller_limits limits;
};

// ---- Backend servers and moves

struct backend_server {
  server_id id;
  pool_id pool;
  endpoint address;
  data_centre_id data_centre;
  version_id version;
  std::uint32_t slots = 1;
  bool is_leaving = false;
  // Start of this run of the server.
  unix_millis born;
  // Counts the server's reports within one run.
  std::uint64_t report = 0;
};

// Order to move a pool's traffic to one version.
struct move_order {
  pool_id pool;
  version_id target;
  milliseconds duration{0};
  // Tells two orders for one pool apart; grows.
  log_offset revision;
};

enum class move_state { kRunning, kCompleted, kRolledBack };

struct move_status {
  version_id target;
  move_state state = move_state::kRunning;
  // The order that this is the outcome of.
  log_offset revision;
  // When the order was first seen, by the clock of the host that wrote this.
  unix_millis started;
  bool operator==(const move_status&) const = default;
};

using configuration_ptr = std::shared_ptr<const configuration>;

// One consistent state of all that is known. Each change makes a new one.
struct snapshot {
  configuration_ptr config;
  std::map<server_id, backend_server> servers;
  std::set<data_centre_id> closed_data_centres;
  std::map<pool_id, move_order> moves;
  std::map<pool_id, move_status> move_statuses;
  // Whether move_statuses is complete; until then an order may be settled.
  bool has_outcomes = false;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

// ---- Routing

// Routes by host and path prefix. Immutable after construction.
class route_table {
 public:
  route_table() = default;
  explicit route_table(configuration_ptr config);

  // The route of `host` whose prefix is the longest that begins `path`, or
  // null. `host` may carry a port and capitals; `path` may carry a query.
  const route* Find(std::string_view host, std::string_view path) const;

 private:
  configuration_ptr config_;
  // Each host's routes, longest prefix first.
  std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
};

}  // namespace dotterellead::catalog

#endif  // DOTTERELLEAD_CATALOG_H_
