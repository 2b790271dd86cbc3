// Resources that operators declare, their JSON form, and the replicated table
// of them.
#ifndef DOTTERELLEAD_CONFIG_H_
#define DOTTERELLEAD_CONFIG_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead {

// ---- Resource kinds
// ---------------------------------------------------------------------------

// Requests of one method and path prefix. A method of "*" matches all.
struct route_spec {
  std::string method = "*";
  std::string path_prefix = "/";
  // Whether running a request twice is harmless. Others need an
  // Idempotency-Key.
  bool idempotent = false;
  bool operator==(const route_spec&) const = default;
};

struct server_spec {
  server_id address;
  data_centre_id data_centre;
  version_id version;
  // Requests it may run at once, and how many of them while it is cold.
  std::uint32_t slots = 1;
  std::uint32_t cold_slots = 1;
  bool operator==(const server_spec&) const = default;
};

// A pool of backend servers that serve one service for one tenant.
struct pool_spec {
  tenant_id tenant;
  // A request belongs to the pool whose host matches (or is empty) and whose
  // path prefix is longest.
  std::string host;
  std::string path_prefix = "/";
  // The first matching route counts.
  std::vector<route_spec> routes;
  std::vector<server_spec> servers;
  // Adds the backend servers that the platform's host list names for this pool.
  bool from_host_list = false;
  // Slots of a server that only the host list names.
  std::uint32_t default_slots = 2;
  // The longest time a backend server may run one request.
  milliseconds max_run = limits::kDefaultMaxRun;
  std::uint32_t queue_length = limits::kMaxQueuePerPool;
  // Share of slot time that probes may use, over all entry hosts.
  std::uint32_t probe_budget_per_mille = 10;
  bool operator==(const pool_spec&) const = default;
};

// A data centre and whether it takes new work.
struct data_centre_spec {
  bool out = false;
  bool operator==(const data_centre_spec&) const = default;
};

// A move of a pool's traffic to a new version, to be done or rolled back by a
// deadline.
struct move_spec {
  pool_id pool;
  version_id from_version;
  version_id to_version;
  unix_millis deadline;
  bool operator==(const move_spec&) const = default;
};

using resource_spec = std::variant<pool_spec, data_centre_spec, move_spec>;

// A resource as an operator writes it. The kind follows from the spec.
struct resource {
  std::string name;
  resource_spec spec;
  bool operator==(const resource&) const = default;
};

// "pool", "data_centre" or "move".
std::string_view KindName(const resource_spec& spec);
// The names above in order of the variant.
const std::vector<std::string>& KindNames();

// Parses one JSON resource {"kind","api_version":"v1","name","spec":{...}}.
// Throws invalid_input_error, which names the field and the remedy, on unknown
// or missing fields, wrong types and units, and impossible values.
resource ParseResource(std::string_view json);
// The JSON form that ParseResource reads; compact, with sorted keys.
std::string FormatResource(const resource& r);

// ---- The table
// --------------------------------------------------------------------------------

enum class move_verdict { kMoving, kDone, kRolledBack };
std::string_view to_string(move_verdict verdict);

// How far a move has come. Set by move_step records only.
struct move_progress {
  // Share of requests for the new version.
  std::uint32_t share_per_mille = 0;
  std::uint32_t step = 0;
  move_verdict verdict = move_verdict::kMoving;
  std::string reason;
  bool operator==(const move_progress&) const = default;
};

template <class Spec>
struct stored {
  Spec spec;
  // Offset of the record that set it.
  log_offset revision;
  bool operator==(const stored&) const = default;
};

struct stored_move : stored<move_spec> {
  move_progress progress;
  bool operator==(const stored_move&) const = default;
};

// Immutable view of the table after all records up to `through`.
struct config_view {
  log_offset through;
  std::map<pool_id, stored<pool_spec>> pools;
  std::map<data_centre_id, stored<data_centre_spec>> data_centres;
  std::map<move_id, stored_move> moves;

  bool IsOut(const data_centre_id& name) const;
  bool operator==(const config_view&) const = default;
};

using config_snapshot = std::shared_ptr<const config_view>;

// The pool and route that serve a request.
struct route_match {
  pool_id pool;
  route_id route;
  bool idempotent = false;
};

// Finds the pool by host and longest path prefix and then its first matching
// route. `path` has no query. Returns nullopt if no pool or no route matches.
std::optional<route_match> MatchRoute(const config_view& view,
                                      std::string_view host,
                                      std::string_view method,
                                      std::string_view path);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_CONFIG_H_
