#include <fmt/core.h>

#include <algorithm>
#include <tuple>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

std::string_view to_string(reject_reason reason) {
  switch (reason) {
    case reject_reason::kNoRoute:
      return "no-route";
    case reject_reason::kUnknownKey:
      return "unknown-key";
    case reject_reason::kConfigurationOutdated:
      return "configuration-outdated";
    case reject_reason::kNoConfiguration:
      return "no-configuration";
    case reject_reason::kNoServer:
      return "no-server";
    case reject_reason::kNoCapacity:
      return "no-room";
    case reject_reason::kCrashesServers:
      return "crashes-servers";
    case reject_reason::kHostStopping:
      return "host-stopping";
    case reject_reason::kTimedOut:
      return "timed-out";
    case reject_reason::kServerFailed:
      return "server-failed";
  }
  return "unknown";
}

bool GuaranteesNotRun(reject_reason reason) {
  return reason != reject_reason::kTimedOut &&
         reason != reject_reason::kServerFailed;
}

dispatcher::dispatcher(dispatch_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}
dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;

void dispatcher::Step(const message& m,
                      const timestamp& now,
                      std::vector<effect>& out) {
  impl_->Step(m, now, out);
}

std::optional<time_point> dispatcher::NextDeadline() const {
  return impl_->NextDeadline();
}

std::size_t dispatcher::open_requests() const {
  return impl_->open_requests();
}

dispatcher::impl::impl(dispatch_settings settings)
    : settings_(std::move(settings)),
      random_(static_cast<std::minstd_rand::result_type>(
          settings_.seed % 2'147'483'646 + 1)),
      retry_allowance_(settings_.retry_allowance, settings_.min_host_count),
      cold_starts_(settings_.self),
      shared_pools_(settings_.data_centre, settings_.has_shared_pools),
      access_(settings_.age_limits) {}

void dispatcher::impl::Step(const message& m,
                            const timestamp& now,
                            effects& out) {
  std::visit([&](const auto& typed) { On(typed, now, out); }, m);
}

std::optional<time_point> dispatcher::impl::NextDeadline() const {
  std::optional<time_point> next;
  auto consider = [&](time_point due) {
    if (!next || due < *next)
      next = due;
  };
  if (!deferred_requests_.empty())
    consider(deferred_requests_.front().arrived_at + kConfigurationWait);
  for (const auto& [id, request] : requests_)
    consider(request.phase == request_phase::kQueued ? request.queue_deadline
                                                     : request.deadline);
  if (const auto report = shared_pools_.NextReport())
    consider(*report);
  for (const auto& [pool, queue] : queues_)
    if (!queue.requests.empty() && !queue.probe_id.is_valid())
      consider(queue.next_probe_at);
  return next;
}

void dispatcher::impl::On(const catalog_changed& m,
                          const timestamp& now,
                          effects& out) {
  const bool is_new_config =
      !catalog_ || catalog_->config != m.snapshot->config;
  catalog_ = m.snapshot;
  version_rules_.clear();
  if (is_new_config) {
    routes_ = catalog::route_table(catalog_->config);
    pool_credit_.clear();
    if (catalog_->config)
      Log(out, "configuration-in-force",
          {{"version", fmt::format("{}", catalog_->config->version.value())},
           {"routes", fmt::format("{}", catalog_->config->routes.size())}});
  }
  availability_.UpdateServers(catalog_->servers, now.steady);
  shared_pools_.SetCatalog(*catalog_, now.steady);
  RebuildServerOrder();
  UpdateProbeRate(now);
  ProcessDeferredRequests(now, out);
}

void dispatcher::impl::On(const config_confirmed& m,
                          const timestamp&,
                          effects&) {
  access_.Confirm(m, catalog_ ? catalog_->config : nullptr);
}

void dispatcher::impl::UpdateProbeRate(const timestamp& now) {
  // Fraction of the permitted probe rate that is used; the rest is reserved for
  // hosts that this one does not know yet.
  constexpr double kUsedFraction = 0.8;
  // Callers reach a host of their own data centre, so data centres with few
  // hosts have busy ones. The shares of all hosts add up to one.
  const double sharing_hosts =
      local_host_count_ > 0
          ? static_cast<double>(data_centre_count_ * local_host_count_)
          : static_cast<double>(cold_starts_.host_count());
  probe_budget_.SetRate(settings_.max_probe_rate * kUsedFraction *
                            static_cast<double>(catalog_->servers.size()) /
                            sharing_hosts,
                        now.steady);
}

void dispatcher::impl::RebuildServerOrder() {
  servers_by_pool_.clear();
  preference_.clear();
  for (const auto& [id, server] : catalog_->servers)
    servers_by_pool_[server.pool].push_back(&server);
  for (auto& [pool, servers] : servers_by_pool_) {
    SortByPreference(servers);
    for (std::size_t i = 0; i < servers.size(); ++i)
      preference_[servers[i]->id] = i;
  }
}

// Orders servers of this host's data centre first, then those to which it may
// keep idle connections, then by a hash that differs by host, so that hosts
// spread over the servers.
void dispatcher::impl::SortByPreference(
    std::vector<const catalog::backend_server*>& servers) const {
  using rank =
      std::tuple<bool, bool, std::uint64_t, const catalog::backend_server*>;
  std::vector<rank> ranked;
  ranked.reserve(servers.size());
  for (const catalog::backend_server* server : servers)
    ranked.emplace_back(
        server->data_centre != settings_.data_centre,
        MaxIdleConnectionsTo(*server) == 0,
        StableHash(settings_.self.value() + '/' + server->id.value()), server);
  std::sort(ranked.begin(), ranked.end());
  std::transform(ranked.begin(), ranked.end(), servers.begin(),
                 [](const rank& r) { return std::get<3>(r); });
}

void dispatcher::impl::On(const move_share_changed& m,
                          const timestamp&,
                          effects& out) {
  move_shares_[{m.pool, m.target}] = m.per_mille;
  version_rules_.clear();
  Log(out, "move-share",
      {{"pool", m.pool.value()},
       {"target", m.target.value()},
       {"per_mille", fmt::format("{}", m.per_mille)}});
}

void dispatcher::impl::On(const live_hosts_changed& m,
                          const timestamp& now,
                          effects&) {
  cold_starts_.SetLiveHosts(m.live);
  retry_allowance_.RecordHostCount(m.live.size(), now.steady);
  shared_pools_.RecordHostCount(m.live.size(), now.steady);
  local_host_count_ = m.local_host_count;
  data_centre_count_ = m.data_centre_count;
  if (catalog_) {
    RebuildServerOrder();
    UpdateProbeRate(now);
  }
}

void dispatcher::impl::On(const server_notice& m,
                          const timestamp& now,
                          effects& out) {
  const server_run run{m.server.id, m.server.started_at};
  if (m.is_leaving) {
    if (availability_.RecordLeaving(run))
      Log(out, "server-leaving",
          {{"server", run.server.value()},
           {"started_ms", fmt::format("{}", run.started_at.value)}});
    out.emplace_back(close_connections{m.server.address});
  }
  if (m.retry_after) {
    availability_.RecordBackoff(run, now.steady + *m.retry_after);
    Log(out, "server-backoff",
        {{"server", run.server.value()},
         {"retry_after_ms", fmt::format("{}", m.retry_after->count())}});
  }
}

void dispatcher::impl::On(const crash_reported& m,
                          const timestamp& now,
                          effects&) {
  poison_requests_.RecordCrash(m.fingerprint, now.steady);
}

void dispatcher::impl::On(const pool_view_changed& m,
                          const timestamp& now,
                          effects&) {
  shared_pools_.SetTotals(m.totals, now.steady);
}

void dispatcher::impl::On(const shutdown_started& m,
                          const timestamp& now,
                          effects& out) {
  shutdown_ends_at_ = m.ends_at;
  std::vector<request_id> outlasting;
  for (auto& [id, request] : requests_) {
    if (!MayOutlastHost(request))
      continue;
    if (request.may_have_run())
      request.deadline = m.ends_at;
    else
      outlasting.push_back(id);
  }
  for (const request_id id : outlasting)
    Reject(id, requests_.at(id), reject_reason::kHostStopping, now, out);
}

bool dispatcher::impl::MayOutlastHost(const request_state& request) const {
  return shutdown_ends_at_ && request.deadline > *shutdown_ends_at_;
}

void dispatcher::impl::On(const tick&, const timestamp& now, effects& out) {
  shared_pools_.Report(now.steady, out);
  ProcessDeferredRequests(now, out);
  std::vector<request_id> due;
  for (const auto& [id, request] : requests_)
    if (request.deadline <= now.steady ||
        (request.phase == request_phase::kQueued &&
         request.queue_deadline <= now.steady))
      due.push_back(id);
  for (const request_id id : due) {
    request_state& request = requests_.at(id);
    const bool may_have_run = request.may_have_run();
    if (request.phase == request_phase::kSent) {
      availability_.RecordFailure(request.run(), now.steady);
      ObserveVersion(request, true, now, out);
    }
    Reject(id, request,
           may_have_run ? reject_reason::kTimedOut : reject_reason::kNoCapacity,
           now, out);
  }
  for (auto& [pool, queue] : queues_)
    if (!queue.requests.empty() && !queue.probe_id.is_valid() &&
        queue.next_probe_at <= now.steady)
      ProbeForQueue(pool, now, out);
}

request_id dispatcher::impl::NextProbeId() {
  // Request ids count up from 1, so the two ranges do not overlap.
  constexpr std::uint64_t kFirstProbeId = std::uint64_t{1} << 62;
  return request_id(kFirstProbeId + probe_count_++);
}

service_time_estimate& dispatcher::impl::ServiceTimeOf(
    const catalog::route& route) {
  return service_times_.try_emplace(route.name, route.latency_target)
      .first->second;
}

void dispatcher::impl::Log(
    effects& out,
    std::string event,
    std::vector<std::pair<std::string_view, std::string>> fields) {
  out.emplace_back(decision{std::move(event), std::move(fields)});
}

}  // namespace dotterellead::dispatch
