// Decides when a slow request gets a second, concurrent attempt.
#ifndef DOTTERELLEAD_DISPATCH_HEDGE_LIMITER_H_
#define DOTTERELLEAD_DISPATCH_HEDGE_LIMITER_H_

#include <deque>
#include <map>
#include <optional>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

// Latencies of the recent attempts of one route at one pool.
class latency_history {
 public:
  void Add(microseconds latency);
  // The latency that a fraction of `quantile` of the attempts stayed below;
  // nullopt until there are enough of them.
  std::optional<microseconds> Quantile(double quantile) const;

 private:
  std::deque<microseconds> recent_;
};

// Answers the load of a few slow responses among many fast ones: a server that
// slows down during a request. A hedge is due once an attempt has taken longer
// than most of its kind. The number of hedges in a sliding window is limited to
// a share of the pool's requests, which the operators set.
class hedge_limiter {
 public:
  hedge_limiter(hedge_shares shares, milliseconds window)
      : shares_(std::move(shares)), window_(window) {}

  // Counts a request, whether it may be hedged or not.
  void RecordRequest(const pool_id& pool, time_point now);
  // Records how long an attempt took. For a cancelled one this is the time
  // until its cancellation, a lower bound, so that cancelling slow attempts
  // does not make the history look fast.
  void RecordLatency(const pool_id& pool,
                     const catalog::route_name& route,
                     microseconds latency);
  // When to hedge an attempt that is sent now; nullopt if hedging is off or the
  // usual latency is not known yet.
  std::optional<time_point> HedgeTime(const pool_id& pool,
                                      const catalog::route_name& route,
                                      time_point now) const;
  // Whether one more hedge stays within the share. Consumes it if so.
  bool TryAcquire(const pool_id& pool,
                  const catalog::route_name& route,
                  time_point now);

 private:
  struct pool_window {
    std::deque<time_point> requests;
    std::deque<time_point> hedges;
  };

  double ShareOf(const pool_id& pool, const catalog::route_name& route) const;

  hedge_shares shares_;
  milliseconds window_;
  std::map<pool_id, pool_window> windows_;
  std::map<std::pair<pool_id, catalog::route_name>, latency_history> history_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_HEDGE_LIMITER_H_
