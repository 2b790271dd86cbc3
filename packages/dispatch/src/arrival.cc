#include <fmt/core.h>

#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Patience of a caller that does not state any; the route's timeout ends the
// call sooner.
constexpr milliseconds kUnstatedPatience{60'000};

}  // namespace

void dispatcher::impl::On(const call_arrived& m,
                          const moment& now,
                          effects& out) {
  call_state call;
  call.caller_request = m.caller_request;
  call.arrived = now.steady;
  if (!known_ || !known_->config) {
    Reject(m.call, call, reject_reason::kNoConfiguration, now, out);
    return;
  }
  call.route = routes_.Find(m.host, m.path);
  if (call.route == nullptr) {
    Reject(m.call, call, reject_reason::kNoRoute, now, out);
    return;
  }
  call.config = known_->config;
  call.patience_ends = now.steady + m.patience.value_or(kUnstatedPatience);
  call.give_up = now.steady + std::min(call.route->timeout,
                                       m.patience.value_or(kUnstatedPatience));
  call.pool = PickPool(*call.route);
  call.is_trial = PickTrial(call.pool);
  auto [budget, is_new] = budgets_.try_emplace(
      call.pool, settings_.repeat_ratio, settings_.repeat_window);
  budget->second.CountRequest(now.steady);
  auto [it, inserted] = calls_.emplace(m.call, std::move(call));
  StartSampling(m.call, it->second, now, out);
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
