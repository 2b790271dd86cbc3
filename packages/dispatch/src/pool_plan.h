// What a host does for each priority of a shared pool, from the fleet's load on
// it.
#ifndef DOTTERELLEAD_DISPATCH_POOL_PLAN_H_
#define DOTTERELLEAD_DISPATCH_POOL_PLAN_H_

#include <map>
#include <optional>

#include "dotterellead/pools.h"

namespace dotterellead::dispatch {

// Servers of a pool and their slots.
struct pool_size {
  std::size_t servers = 0;
  std::size_t slots = 0;
};

struct priority_plan {
  // Slots that a request leaves free for more urgent ones, on average per
  // server. Answers a burst of long, less urgent work that would fill the slots
  // before short, urgent work arrives.
  double reserve = 0;
  // Fraction of the requests that the pool can serve in time; the others are
  // rejected on arrival. Answers a lasting excess of less urgent work.
  double admitted_share = 1;
  // The priority is served so much less than all that its queued requests go
  // first. Answers urgent demand that alone exceeds the pool.
  bool goes_first = false;
  // More urgent work and the reserve leave no free slot, so that further probes
  // find none.
  bool is_full = false;
  // The most urgent priority with demand, if more urgent than this one.
  std::optional<int> favoured;
};

struct pool_plan {
  std::map<int, priority_plan> by_priority;
  // Factor of the usual Retry-After. Answers callers who return before there is
  // capacity.
  double retry_factor = 1;
};

// The plan for a pool with this load from all hosts. `is_shared`: the load
// comes from the fleet's totals, not from this host alone; only then are
// requests rejected on arrival and probes saved.
pool_plan MakePoolPlan(const pools::pool_load& load,
                       const pool_size& size,
                       bool is_shared);

// The reserve in whole slots of the server. A fraction is rounded up on that
// fraction of the servers, which are the same on all hosts. At most half of the
// slots.
std::uint32_t SlotsToLeave(double reserve,
                           const server_id& server,
                           std::uint32_t slots);

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_POOL_PLAN_H_
