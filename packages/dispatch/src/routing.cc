#include <fmt/core.h>

#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Timeout of a caller that states none; the route's timeout usually ends the
// request earlier.
constexpr milliseconds kDefaultCallerTimeout{60'000};
constexpr std::size_t kMaxDeferredRequests = 200;
// Number of recent caller timeouts per route from which the usual one is taken.
// It is their upper quartile, since few callers state more than usual and many
// may be retrying with less.
constexpr std::size_t kCallerTimeoutHistory = 32;
// First requests of callers of one route differ in their timeout by up to this
// fraction of the usual one.
constexpr double kCallerTimeoutTolerance = 0.2;

}  // namespace

void dispatcher::impl::On(const request_arrived& m,
                          const timestamp& now,
                          effects& out) {
  if (catalog_ && catalog_->config) {
    RouteRequest(m, now.steady, now, out);
    return;
  }
  deferred_requests_.push_back({m, now.steady});
  if (deferred_requests_.size() > kMaxDeferredRequests)
    ProcessDeferredRequests(now, out);
}

void dispatcher::impl::ProcessDeferredRequests(const timestamp& now,
                                               effects& out) {
  const bool has_config = catalog_ && catalog_->config;
  while (!deferred_requests_.empty() &&
         (has_config || deferred_requests_.size() > kMaxDeferredRequests ||
          deferred_requests_.front().arrived_at + kConfigurationWait <=
              now.steady)) {
    const deferred_request first = std::move(deferred_requests_.front());
    deferred_requests_.pop_front();
    if (has_config) {
      RouteRequest(first.message, first.arrived_at, now, out);
      continue;
    }
    request_state request;
    request.caller_request_id = first.message.caller_request_id;
    request.arrived_at = first.arrived_at;
    Reject(first.message.request, request, reject_reason::kNoConfiguration, now,
           out);
  }
}

void dispatcher::impl::RouteRequest(const request_arrived& m,
                                    time_point arrived_at,
                                    const timestamp& now,
                                    effects& out) {
  request_state request;
  request.caller_request_id = m.caller_request_id;
  request.arrived_at = arrived_at;
  request.route = routes_.Find(m.host, m.path);
  if (request.route == nullptr) {
    Reject(m.request, request, reject_reason::kNoRoute, now, out);
    return;
  }
  request.credential = m.credential;
  if (!CheckAccess(m.request, request, now, out))
    return;
  request.fingerprint = m.fingerprint;
  if (poison_requests_.IsQuarantined(m.fingerprint, now.steady)) {
    Reject(m.request, request, reject_reason::kCrashesServers, now, out);
    return;
  }
  request.config = catalog_->config;
  request.target_deadline = arrived_at + request.route->latency_target -
                            EstimatePriorWait(*request.route, m.caller_timeout);
  request.caller_deadline =
      arrived_at + m.caller_timeout.value_or(kDefaultCallerTimeout);
  request.deadline =
      arrived_at + std::min(request.route->timeout,
                            m.caller_timeout.value_or(kDefaultCallerTimeout));
  if (MayOutlastHost(request)) {
    Reject(m.request, request, reject_reason::kHostStopping, now, out);
    return;
  }
  request.pool = SelectPool(*request.route);
  request.is_trial = SelectTrial(request.pool);
  auto [budget, is_new] = retry_budgets_.try_emplace(
      request.pool, settings_.retry_ratio, settings_.retry_window);
  budget->second.RecordRequest(now.steady);
  if (catalog_->config->has_customers)
    shares_.RecordArrival(request.customer, now.steady);
  auto [it, inserted] = requests_.emplace(m.request, std::move(request));
  const int priority = it->second.priority;
  shared_pools_.RecordOffered(it->second.pool, priority,
                              ServiceTimeOf(*it->second.route).value(),
                              now.steady);
  const double admitted =
      shared_pools_.PlanFor(it->second.pool, priority).admitted_share;
  std::uniform_real_distribution<double> draw(0, 1);
  if (admitted < 1 && draw(random_) >= admitted) {
    it->second.is_held_back = true;
    Reject(m.request, it->second, reject_reason::kNoCapacity, now, out);
    return;
  }
  StartProbing(m.request, it->second, now, out);
}

std::optional<customer_access::decision> dispatcher::impl::CheckAccess(
    request_id id,
    request_state& request,
    const timestamp& now,
    effects& out) {
  const customer_access::decision access = access_.Check(
      *catalog_->config, *request.route, request.credential, now.boot);
  request.customer = access.header.customer;
  request.priority = access.priority;
  if (!access.rejected)
    return access;
  // The reasons of a rejected key state that the request did not run.
  Reject(
      id, request,
      request.may_have_run() ? reject_reason::kServerFailed : *access.rejected,
      now, out);
  return std::nullopt;
}

// A caller that retries after a failure states a shorter timeout than on its
// first request. The difference to the usual timeout is the time it has already
// waited.
milliseconds dispatcher::impl::EstimatePriorWait(
    const catalog::route& route,
    std::optional<milliseconds> caller_timeout) {
  if (!caller_timeout)
    return milliseconds(0);
  std::deque<milliseconds>& recent = recent_caller_timeouts_[route.name];
  recent.push_back(*caller_timeout);
  if (recent.size() > kCallerTimeoutHistory)
    recent.pop_front();
  std::vector<milliseconds> sorted(recent.begin(), recent.end());
  std::sort(sorted.begin(), sorted.end());
  const milliseconds usual = sorted[sorted.size() * 3 / 4];
  const milliseconds waited = usual - *caller_timeout;
  const bool has_waited =
      static_cast<double>(waited.count()) >
      kCallerTimeoutTolerance * static_cast<double>(usual.count());
  return has_waited ? waited : milliseconds(0);
}

// Smooth weighted round robin: each pool earns its share of every request, and
// the one with the most credit gets it. The initial credit is random, so that
// hosts with little traffic do not all begin with the same pool.
pool_id dispatcher::impl::SelectPool(const catalog::route& route) {
  if (route.pools.size() == 1)
    return route.pools.front().pool;
  double sum = 0;
  for (const catalog::weighted_pool& part : route.pools)
    sum += part.weight;
  if (route.pools.empty() || sum <= 0)
    return {};
  std::vector<double>& credit = pool_credit_[route.name];
  if (credit.size() != route.pools.size()) {
    std::uniform_real_distribution<double> start(0, 1);
    credit.assign(route.pools.size(), 0);
    for (double& c : credit)
      c = start(random_);
  }
  std::size_t best = 0;
  for (std::size_t i = 0; i < credit.size(); ++i) {
    credit[i] += route.pools[i].weight / sum;
    if (credit[i] > credit[best])
      best = i;
  }
  credit[best] -= 1;
  return route.pools[best].pool;
}

const version_rule& dispatcher::impl::VersionRuleOf(const pool_id& pool) const {
  const auto known = version_rules_.find(pool);
  if (known != version_rules_.end())
    return known->second;
  std::uint32_t per_mille = 0;
  auto order = catalog_->moves.find(pool);
  if (order != catalog_->moves.end()) {
    auto share = move_shares_.find({pool, order->second.target});
    if (share != move_shares_.end())
      per_mille = share->second;
  }
  return version_rules_
      .emplace(pool, VersionRuleFor(*catalog_, pool, per_mille))
      .first->second;
}

bool dispatcher::impl::SelectTrial(const pool_id& pool) {
  const version_rule& rule = VersionRuleOf(pool);
  std::uniform_int_distribution<std::uint32_t> draw(0, 999);
  return rule.trial.is_valid() && draw(random_) < rule.trial_per_mille;
}

}  // namespace dotterellead::dispatch
