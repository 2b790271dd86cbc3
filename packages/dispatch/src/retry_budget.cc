#include "retry_budget.h"

namespace dotterellead::dispatch {

void retry_budget::CountRequest(time_point now) {
  Forget(now);
  requests_.push_back(now);
}

bool retry_budget::TryTake(time_point now, double slack) {
  Forget(now);
  const double allowed = ratio_ * static_cast<double>(requests_.size()) + slack;
  if (static_cast<double>(repeats_.size()) + 1 > allowed)
    return false;
  repeats_.push_back(now);
  return true;
}

void retry_budget::Forget(time_point now) {
  while (!requests_.empty() && requests_.front() + window_ < now)
    requests_.pop_front();
  while (!repeats_.empty() && repeats_.front() + window_ < now)
    repeats_.pop_front();
}

}  // namespace dotterellead::dispatch
