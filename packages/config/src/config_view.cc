#include "dotterellead/config.h"

namespace dotterellead {
namespace {

// A prefix matches whole path segments only, so that /pay does not match
// /payroll.
bool HasPathPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix))
    return false;
  return prefix.ends_with('/') || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

bool HostMatches(const pool_spec& pool, std::string_view host) {
  return pool.host.empty() || pool.host == host.substr(0, host.find(':'));
}

const stored<pool_spec>* FindPool(const config_view& view,
                                  std::string_view host,
                                  std::string_view path,
                                  pool_id& name) {
  const stored<pool_spec>* best = nullptr;
  auto rank = [](const pool_spec& p) {
    return std::pair(!p.host.empty(), p.path_prefix.size());
  };
  for (const auto& [id, pool] : view.pools) {
    if (!HostMatches(pool.spec, host) ||
        !HasPathPrefix(path, pool.spec.path_prefix)) {
      continue;
    }
    if (best == nullptr || rank(pool.spec) > rank(best->spec)) {
      best = &pool;
      name = id;
    }
  }
  return best;
}

}  // namespace

bool config_view::IsOutOfService(const data_centre_id& name) const {
  const auto it = data_centres.find(name);
  return it != data_centres.end() && it->second.spec.is_out_of_service;
}

std::optional<route_match> MatchRoute(const config_view& view,
                                      std::string_view host,
                                      std::string_view method,
                                      std::string_view path) {
  route_match match;
  const stored<pool_spec>* pool = FindPool(view, host, path, match.pool);
  if (pool == nullptr)
    return std::nullopt;
  const std::vector<route_spec>& routes = pool->spec.routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    if ((routes[i].method == "*" || routes[i].method == method) &&
        HasPathPrefix(path, routes[i].path_prefix)) {
      match.route = route_id(i);
      match.idempotent = routes[i].idempotent;
      return match;
    }
  }
  return std::nullopt;
}

std::string_view to_string(move_verdict verdict) {
  switch (verdict) {
    case move_verdict::kMoving:
      return "moving";
    case move_verdict::kDone:
      return "done";
    case move_verdict::kRolledBack:
      return "rolled-back";
  }
  return "moving";
}

const std::vector<std::string>& KindNames() {
  static const std::vector<std::string> names = {"pool", "data_centre", "move"};
  return names;
}

std::string_view KindName(const resource_spec& spec) {
  return KindNames()[spec.index()];
}

}  // namespace dotterellead
