#include "version_filter.h"

#include <algorithm>
#include <vector>

namespace dotterellead::dispatch {

namespace {

using catalog::snapshot;

// Versions of the pool's servers in the order of their earliest start time.
std::vector<version_id> VersionsByAge(const snapshot& catalog,
                                      const pool_id& pool) {
  std::map<version_id, unix_millis> oldest;
  for (const auto& [id, server] : catalog.servers) {
    if (server.pool != pool)
      continue;
    auto [it, is_new] = oldest.try_emplace(server.version, server.started_at);
    if (!is_new)
      it->second = std::min(it->second, server.started_at);
  }
  std::vector<version_id> versions;
  versions.reserve(oldest.size());
  for (const auto& [version, started_at] : oldest)
    versions.push_back(version);
  std::stable_sort(versions.begin(), versions.end(),
                   [&](const version_id& a, const version_id& b) {
                     return oldest[a] < oldest[b];
                   });
  return versions;
}

}  // namespace

version_rule VersionRuleFor(const snapshot& catalog,
                            const pool_id& pool,
                            std::uint32_t trial_per_mille) {
  version_rule rule;
  auto order = catalog.moves.find(pool);
  auto status = catalog.move_statuses.find(pool);
  const bool is_decided = status != catalog.move_statuses.end() &&
                          (order == catalog.moves.end() ||
                           (status->second.target == order->second.target &&
                            status->second.revision == order->second.revision));
  if (is_decided && status->second.state == catalog::move_state::kCompleted) {
    rule.required = status->second.target;
  } else if (is_decided &&
             status->second.state == catalog::move_state::kRolledBack) {
    rule.excluded = status->second.target;
  } else if (order != catalog.moves.end()) {
    rule.trial = order->second.target;
    rule.trial_per_mille = catalog.has_all_outcomes ? trial_per_mille : 0;
  } else {
    const std::vector<version_id> versions = VersionsByAge(catalog, pool);
    if (versions.size() > 1)
      rule.required = versions.front();
  }
  return rule;
}

bool IsVersionAllowed(const version_rule& rule,
                      const version_id& version,
                      bool is_trial) {
  if (rule.required.is_valid())
    return version == rule.required;
  if (rule.trial.is_valid())
    return (version == rule.trial) == is_trial;
  return !rule.excluded.is_valid() || version != rule.excluded;
}

}  // namespace dotterellead::dispatch
