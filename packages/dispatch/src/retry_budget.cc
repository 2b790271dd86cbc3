#include "retry_budget.h"

namespace dotterellead::dispatch {

void retry_budget::RecordRequest(time_point now) {
  RemoveExpired(now);
  requests_.push_back(now);
}

bool retry_budget::TryAcquire(time_point now, double allowance) {
  RemoveExpired(now);
  const double allowed =
      ratio_ * static_cast<double>(requests_.size()) + allowance;
  if (static_cast<double>(retries_.size()) + 1 > allowed)
    return false;
  retries_.push_back(now);
  return true;
}

void retry_budget::RemoveExpired(time_point now) {
  while (!requests_.empty() && requests_.front() + window_ < now)
    requests_.pop_front();
  while (!retries_.empty() && retries_.front() + window_ < now)
    retries_.pop_front();
}

}  // namespace dotterellead::dispatch
