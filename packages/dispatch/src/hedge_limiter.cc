#include "hedge_limiter.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dotterellead::dispatch {

namespace {

constexpr std::size_t kHistorySize = 128;
// With fewer attempts the quantile is one of the two slowest.
constexpr std::size_t kMinHistory = 20;
// An attempt that is slower than this fraction of its kind is hedged, which
// alone limits the hedges to one in twenty.
constexpr double kHedgeQuantile = 0.95;

void RemoveBefore(std::deque<time_point>& times, time_point start) {
  while (!times.empty() && times.front() < start)
    times.pop_front();
}

}  // namespace

void latency_history::Add(microseconds latency) {
  recent_.push_back(latency);
  if (recent_.size() > kHistorySize)
    recent_.pop_front();
}

std::optional<microseconds> latency_history::Quantile(double quantile) const {
  if (recent_.size() < kMinHistory)
    return std::nullopt;
  std::vector<microseconds> sorted(recent_.begin(), recent_.end());
  const auto rank = static_cast<std::ptrdiff_t>(
      std::floor(quantile * static_cast<double>(sorted.size() - 1)));
  std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.end());
  return sorted[static_cast<std::size_t>(rank)];
}

double hedge_limiter::ShareOf(const pool_id& pool,
                              const catalog::route_name& route) const {
  if (const auto it = shares_.by_route.find(route);
      it != shares_.by_route.end())
    return it->second;
  if (const auto it = shares_.by_pool.find(pool); it != shares_.by_pool.end())
    return it->second;
  return shares_.all;
}

void hedge_limiter::RecordRequest(const pool_id& pool, time_point now) {
  if (!shares_.is_enabled())
    return;
  pool_window& window = windows_[pool];
  window.requests.push_back(now);
  RemoveBefore(window.requests, now - window_);
}

void hedge_limiter::RecordLatency(const pool_id& pool,
                                  const catalog::route_name& route,
                                  microseconds latency) {
  if (ShareOf(pool, route) > 0)
    history_[{pool, route}].Add(latency);
}

std::optional<time_point> hedge_limiter::HedgeTime(
    const pool_id& pool,
    const catalog::route_name& route,
    time_point now) const {
  const auto known = history_.find({pool, route});
  if (ShareOf(pool, route) <= 0 || known == history_.end())
    return std::nullopt;
  const std::optional<microseconds> usual =
      known->second.Quantile(kHedgeQuantile);
  return usual ? std::optional(now + *usual) : std::nullopt;
}

bool hedge_limiter::TryAcquire(const pool_id& pool,
                               const catalog::route_name& route,
                               time_point now) {
  pool_window& window = windows_[pool];
  RemoveBefore(window.requests, now - window_);
  RemoveBefore(window.hedges, now - window_);
  const double allowed =
      ShareOf(pool, route) * static_cast<double>(window.requests.size());
  if (static_cast<double>(window.hedges.size()) + 1 > allowed)
    return false;
  window.hedges.push_back(now);
  return true;
}

}  // namespace dotterellead::dispatch
