#include <fmt/core.h>

#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Patience of a caller that does not state any; the route's timeout ends the
// call sooner.
constexpr milliseconds kUnstatedPatience{60'000};
// Calls that wait for the first configuration at most.
constexpr std::size_t kMostEarly = 200;
// Callers of a route whose patience tells the usual one: its upper quartile,
// since few state more than usual and many may be coming back.
constexpr std::size_t kRecentCallers = 32;
// First requests of callers of one route differ by up to this part of the usual
// patience.
constexpr double kPatienceSpread = 0.2;

}  // namespace

void dispatcher::impl::On(const call_arrived& m,
                          const moment& now,
                          effects& out) {
  if (known_ && known_->config) {
    Accept(m, now.steady, now, out);
    return;
  }
  early_.push_back({m, now.steady});
  if (early_.size() > kMostEarly)
    SettleEarly(now, out);
}

void dispatcher::impl::SettleEarly(const moment& now, effects& out) {
  const bool has_config = known_ && known_->config;
  while (!early_.empty() &&
         (has_config || early_.size() > kMostEarly ||
          early_.front().arrived + kConfigurationWait <= now.steady)) {
    const early_call first = std::move(early_.front());
    early_.pop_front();
    if (has_config) {
      Accept(first.message, first.arrived, now, out);
      continue;
    }
    call_state call;
    call.caller_request = first.message.caller_request;
    call.arrived = first.arrived;
    Reject(first.message.call, call, reject_reason::kNoConfiguration, now, out);
  }
}

void dispatcher::impl::Accept(const call_arrived& m,
                              time_point arrived,
                              const moment& now,
                              effects& out) {
  call_state call;
  call.caller_request = m.caller_request;
  call.arrived = arrived;
  call.route = routes_.Find(m.host, m.path);
  if (call.route == nullptr) {
    Reject(m.call, call, reject_reason::kNoRoute, now, out);
    return;
  }
  call.fingerprint = m.fingerprint;
  if (crashes_.IsQuarantined(m.fingerprint, now.steady)) {
    Reject(m.call, call, reject_reason::kCrashesServers, now, out);
    return;
  }
  call.config = known_->config;
  call.target_ends =
      arrived + call.route->target - WaitedBefore(*call.route, m.patience);
  call.patience_ends = arrived + m.patience.value_or(kUnstatedPatience);
  call.give_up = arrived + std::min(call.route->timeout,
                                    m.patience.value_or(kUnstatedPatience));
  call.pool = PickPool(*call.route);
  call.is_trial = PickTrial(call.pool);
  auto [budget, is_new] = budgets_.try_emplace(
      call.pool, settings_.repeat_ratio, settings_.repeat_window);
  budget->second.CountRequest(now.steady);
  auto [it, inserted] = calls_.emplace(m.call, std::move(call));
  StartSampling(m.call, it->second, now, out);
}

// A caller that comes back after a failure states less patience than callers of
// the route do at first; the difference is what it has waited already.
milliseconds dispatcher::impl::WaitedBefore(
    const catalog::route& route,
    std::optional<milliseconds> patience) {
  if (!patience)
    return milliseconds(0);
  std::deque<milliseconds>& recent = recent_patience_[route.name];
  recent.push_back(*patience);
  if (recent.size() > kRecentCallers)
    recent.pop_front();
  std::vector<milliseconds> sorted(recent.begin(), recent.end());
  std::sort(sorted.begin(), sorted.end());
  const milliseconds usual = sorted[sorted.size() * 3 / 4];
  const milliseconds waited = usual - *patience;
  const bool has_waited = static_cast<double>(waited.count()) >
                          kPatienceSpread * static_cast<double>(usual.count());
  return has_waited ? waited : milliseconds(0);
}

// Deals requests by weight: each pool earns its share of every request, and the
// one with the most credit takes it. The first request starts at random, so
// that hosts with little traffic do not all begin with the same pool.
pool_id dispatcher::impl::PickPool(const catalog::route& route) {
  if (route.pools.size() == 1)
    return route.pools.front().pool;
  double sum = 0;
  for (const catalog::pool_share& part : route.pools)
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

version_rule dispatcher::impl::RuleOf(const pool_id& pool) const {
  std::uint32_t per_mille = 0;
  auto order = known_->moves.find(pool);
  if (order != known_->moves.end()) {
    auto share = move_shares_.find({pool, order->second.target});
    if (share != move_shares_.end())
      per_mille = share->second;
  }
  return RuleFor(*known_, pool, per_mille);
}

bool dispatcher::impl::PickTrial(const pool_id& pool) {
  const version_rule rule = RuleOf(pool);
  std::uniform_int_distribution<std::uint32_t> draw(0, 999);
  return rule.trial.is_valid() && draw(random_) < rule.trial_per_mille;
}

}  // namespace dotterellead::dispatch
