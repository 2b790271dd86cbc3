// The state that requests are routed by: routes, pools, backend servers, data
// centres out of service and moves to new versions. Plain values, filled by the
// platform adapter and read by the other packages. The standalone mode has its
// own form, packages/config.
#ifndef DOTTERELLEAD_CATALOG_H_
#define DOTTERELLEAD_CATALOG_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "dotterellead/access.h"
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

// Parses "IP:port". Returns an invalid endpoint for any other text.
endpoint ParseEndpoint(std::string_view text);
std::string to_string(const endpoint& address);

// ---- Configuration

// Whether a request may run more than once.
enum class retry_policy { kIdempotent, kAtMostOnce };

using route_name = text_id<struct route_name_tag>;
// Increases with each configuration.
using config_version = number_id<struct config_version_tag>;

// A pool of a route and its weight relative to the route's other pools.
struct weighted_pool {
  pool_id pool;
  double weight = 0;
};

// How requests to one host and path prefix are handled.
struct route {
  route_name name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  retry_policy retry = retry_policy::kAtMostOnce;
  // Maximum time until a caller gets a response.
  milliseconds timeout{0};
  // Latency objective of the route.
  milliseconds latency_target{0};
  // 0 is the most urgent.
  int priority = 0;
  // Maximum number of servers that one request may be sent to.
  int max_attempts = 1;
  // Whether requests need no customer's key.
  bool is_public = false;
  std::vector<weighted_pool> pools;
};

// A group of interchangeable backend servers.
struct pool {
  pool_id id;
  std::string health_path;
  // Connections that one server accepts from all hosts together; 0 if unknown.
  std::uint32_t connection_limit = 0;
  // How long a server is cold after its start.
  milliseconds warmup_time{0};
  // Requests per second that a cold server accepts from all hosts together; 0
  // if unlimited.
  double warmup_rate = 0;
};

// An organisation whose callers hold keys.
struct customer {
  customer_id id;
  // Applies in place of the route's, if present.
  std::optional<int> priority;
};

// Limits on the size and duration of a caller's request.
struct caller_limits {
  byte_count header_size{16 << 10};
  byte_count body_size{1 << 20};
  milliseconds header_timeout{3'000};
  milliseconds idle_timeout{15'000};
};

// One version of the operators' configuration.
struct configuration {
  config_version version;
  std::vector<route> routes;
  std::map<pool_id, pool> pools;
  caller_limits limits;
  // Whether requests need a customer's key unless their route is public. False
  // if the operators declare no customers, not even an empty list.
  bool has_customers = false;
  std::vector<customer> customers;
  // Owners are positions in `customers`.
  access::key_table keys;
};

// ---- Backend servers and moves

// The current entry of one backend server.
struct backend_server {
  server_id id;
  pool_id pool;
  endpoint address;
  data_centre_id data_centre;
  version_id version;
  std::uint32_t slots = 1;
  // Whether the server stops accepting requests.
  bool is_draining = false;
  // Start time of this run of the server.
  unix_millis started_at;
  // Number of the server's reports in this run.
  std::uint64_t report_count = 0;
};

// An operator's order to move a pool's traffic to a version.
struct move_order {
  pool_id pool;
  version_id target;
  milliseconds duration{0};
  // Distinguishes the orders for one pool; increases.
  log_offset revision;
};

enum class move_state { kRunning, kCompleted, kRolledBack };

// Progress or outcome of a move order.
struct move_status {
  version_id target;
  move_state state = move_state::kRunning;
  // The revision of the order.
  log_offset revision;
  // When the order was first seen, by the wall clock of the host that wrote
  // this.
  unix_millis started_at;
  bool operator==(const move_status&) const = default;
};

using configuration_ptr = std::shared_ptr<const configuration>;

// A consistent, immutable view of everything above. Each change makes a new
// one.
struct snapshot {
  configuration_ptr config;
  std::map<server_id, backend_server> servers;
  std::set<data_centre_id> closed_data_centres;
  std::map<pool_id, move_order> moves;
  std::map<pool_id, move_status> move_statuses;
  // Whether move_statuses is complete. Until then an order may already have an
  // outcome.
  bool has_all_outcomes = false;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

// ---- Routing

// Finds routes by host and path prefix. Immutable after construction.
class route_table {
 public:
  route_table() = default;
  explicit route_table(configuration_ptr config);

  // Returns the route of `host` with the longest prefix that `path` begins
  // with, or null. `host` may have a port and upper case; `path` may have a
  // query.
  const route* Find(std::string_view host, std::string_view path) const;

 private:
  configuration_ptr config_;
  // Each host's routes, longest prefix first.
  std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
};

}  // namespace dotterellead::catalog

#endif  // DOTTERELLEAD_CATALOG_H_
