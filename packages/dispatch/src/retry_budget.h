// Sliding-window limit on retries of requests to one pool.
#ifndef DOTTERELLEAD_DISPATCH_RETRY_BUDGET_H_
#define DOTTERELLEAD_DISPATCH_RETRY_BUDGET_H_

#include <deque>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// This host's share of a budget common to all hosts: a ratio of its own
// requests, which sums to the same ratio of all requests, plus an equal share
// of a fixed allowance. Needs no communication between hosts.
class retry_budget {
 public:
  retry_budget(double ratio, milliseconds window)
      : ratio_(ratio), window_(window) {}

  // Counts a first attempt.
  void RecordRequest(time_point now);
  // Consumes one retry and returns true if the window permits it. `allowance`
  // is this host's share of the fixed allowance, in retries per window.
  bool TryAcquire(time_point now, double allowance);

 private:
  void RemoveExpired(time_point now);

  double ratio_;
  milliseconds window_;
  std::deque<time_point> requests_;
  std::deque<time_point> retries_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_RETRY_BUDGET_H_
