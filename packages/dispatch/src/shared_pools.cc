#include "shared_pools.h"

#include <fmt/core.h>

#include <cmath>
#include <set>

namespace dotterellead::dispatch {

namespace {

constexpr milliseconds kReportInterval{500};
// How often the state of a pool is logged while it does not change between the
// shared view and this host's own.
constexpr milliseconds kLogInterval{10'000};
constexpr double kPerMille = 1'000;

}  // namespace

void shared_pools::SetCatalog(const catalog::snapshot& catalog,
                              time_point now) {
  std::map<pool_id, std::set<int>> priorities;
  if (catalog.config && is_enabled_)
    for (const catalog::route& route : catalog.config->routes)
      for (const catalog::weighted_pool& pool : route.pools)
        priorities[pool.pool].insert(route.priority);
  std::erase_if(priorities,
                [](const auto& pool) { return pool.second.size() < 2; });
  std::erase_if(pools_, [&](const auto& known) {
    return !priorities.contains(known.first);
  });
  for (const auto& [pool, unused] : priorities)
    pools_[pool].size = {};
  for (const auto& [id, server] : catalog.servers) {
    const auto known = pools_.find(server.pool);
    if (known == pools_.end() || server.is_draining ||
        catalog.closed_data_centres.contains(server.data_centre))
      continue;
    ++known->second.size.servers;
    known->second.size.slots += server.slots;
  }
  if (next_report_ < now)
    next_report_ = now + kReportInterval;
}

void shared_pools::SetTotals(pools::pool_table totals, time_point now) {
  view_.SetTotals(std::move(totals), now);
  for (auto& [pool, e] : pools_)
    Renew(pool, e, now);
}

void shared_pools::RecordHostCount(std::size_t count, time_point now) {
  view_.RecordHostCount(count, now);
}

void shared_pools::RecordOffered(const pool_id& pool,
                                 int priority,
                                 milliseconds work,
                                 time_point now) {
  if (const auto it = pools_.find(pool); it != pools_.end())
    it->second.meter.RecordOffered(priority, work, now);
}

void shared_pools::RecordCompleted(const pool_id& pool,
                                   int priority,
                                   milliseconds work,
                                   time_point now) {
  if (const auto it = pools_.find(pool); it != pools_.end())
    it->second.meter.RecordCompleted(priority, work, now);
}

void shared_pools::RecordRejected(const pool_id& pool,
                                  int priority,
                                  time_point now) {
  if (const auto it = pools_.find(pool); it != pools_.end())
    it->second.meter.RecordRejected(priority, now);
}

void shared_pools::RecordProbes(const pool_id& pool,
                                const std::vector<load_sample>& samples,
                                time_point now) {
  const auto it = pools_.find(pool);
  if (it == pools_.end())
    return;
  for (const load_sample& sample : samples)
    if (sample.result == probe_result::kHealthy && sample.load)
      it->second.meter.RecordProbe(*sample.load, now);
}

const priority_plan& shared_pools::PlanFor(const pool_id& pool,
                                           int priority) const {
  static const priority_plan unaffected;
  const auto it = pools_.find(pool);
  if (it == pools_.end())
    return unaffected;
  const auto plan = it->second.plan.by_priority.find(priority);
  return plan == it->second.plan.by_priority.end() ? unaffected : plan->second;
}

bool shared_pools::LeavesReserve(const catalog::backend_server& server,
                                 int priority,
                                 const load_report& load) const {
  const double reserve = PlanFor(server.pool, priority).reserve;
  return reserve == 0 ||
         load.running + 1 + SlotsToLeave(reserve, server.id, load.slots) <=
             load.slots;
}

int shared_pools::QueuePriority(const pool_id& pool, int priority) const {
  return PlanFor(pool, priority).goes_first ? 0 : priority;
}

double shared_pools::RetryFactor(const pool_id& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end() ? 1 : it->second.plan.retry_factor;
}

std::optional<time_point> shared_pools::NextReport() const {
  return pools_.empty() ? std::nullopt : std::optional(next_report_);
}

void shared_pools::Renew(const pool_id& pool, entry& e, time_point now) {
  const pools::pool_load own = e.meter.LoadAt(now);
  const std::optional<pools::pool_load> fleet = view_.LoadOf(pool, now);
  const pools::pool_load load =
      fleet ? *fleet : view_.Extrapolate(own, e.size.slots, now);
  e.plan = MakePoolPlan(load, e.size, fleet.has_value());
  e.status.is_view_shared = fleet.has_value();
  e.status.age = load.age;
  e.status.load = load;
  e.status.reserved_slots = 0;
  for (const auto& [priority, plan] : e.plan.by_priority)
    e.status.reserved_slots =
        std::max(e.status.reserved_slots,
                 plan.reserve * static_cast<double>(e.size.servers));
}

void shared_pools::Report(time_point now,
                          std::vector<dispatcher::effect>& out) {
  if (pools_.empty() || now < next_report_)
    return;
  next_report_ = now + kReportInterval;
  pools_reported report;
  for (auto& [pool, e] : pools_) {
    Renew(pool, e, now);
    report.own[{pool, data_centre_}] = e.meter.LoadAt(now);
    report.status[pool] = e.status;
    LogStatus(pool, e, now, out);
  }
  out.emplace_back(std::move(report));
}

void shared_pools::LogStatus(const pool_id& pool,
                             entry& e,
                             time_point now,
                             std::vector<dispatcher::effect>& out) {
  if (e.was_shared == e.status.is_view_shared &&
      now < e.logged_at + kLogInterval)
    return;
  e.was_shared = e.status.is_view_shared;
  e.logged_at = now;
  const pools::priority_load all = e.status.load.Total();
  const double free =
      e.status.load.probed_slots > 0
          ? e.status.load.free_slots / e.status.load.probed_slots
          : 1;
  out.emplace_back(decision{
      "pool-view",
      {{"pool", pool.value()},
       {"shared", e.was_shared ? "yes" : "no"},
       {"age_ms", fmt::format("{}", e.status.age.count())},
       {"hosts", fmt::format("{}", e.status.load.host_count)},
       {"offered_work", fmt::format("{:.1f}", all.offered_work)},
       {"completed_work", fmt::format("{:.1f}", all.completed_work)},
       {"slots", fmt::format("{}", e.size.slots)},
       {"free_per_mille", fmt::format("{}", std::lround(free * kPerMille))},
       {"reserved", fmt::format("{:.1f}", e.status.reserved_slots)}}});
}

}  // namespace dotterellead::dispatch
