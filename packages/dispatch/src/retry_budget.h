// Bounds repeats of requests to one pool in a sliding window.
#ifndef DOTTERELLEAD_DISPATCH_RETRY_BUDGET_H_
#define DOTTERELLEAD_DISPATCH_RETRY_BUDGET_H_

#include <deque>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// This host's part of the budget that all hosts share: a share of its own
// requests, which sums to the same share of all requests, plus an equal part of
// the fixed slack. Needs no message between hosts.
class retry_budget {
 public:
  retry_budget(double ratio, milliseconds window)
      : ratio_(ratio), window_(window) {}

  void CountRequest(time_point now);
  // Takes one repeat if the window has room. `slack` is this host's part.
  bool TryTake(time_point now, double slack);

 private:
  void Forget(time_point now);

  double ratio_;
  milliseconds window_;
  std::deque<time_point> requests_;
  std::deque<time_point> repeats_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_RETRY_BUDGET_H_
