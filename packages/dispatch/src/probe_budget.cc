#include "probe_budget.h"

#include <algorithm>
#include <cmath>

namespace dotterellead::dispatch {

namespace {

// Room that is saved up, as the time in which it is earned. The operators'
// bound is an average over a much longer time.
constexpr double kSavedSeconds = 5;

}  // namespace

void probe_budget::SetRate(double rate, time_point now) {
  const bool is_first = rate_ <= 0;
  Refill(now);
  rate_ = rate;
  if (is_first)
    tokens_ = rate_ * kSavedSeconds;
}

void probe_budget::Spend(std::size_t count, time_point now) {
  Refill(now);
  tokens_ =
      std::max(tokens_ - static_cast<double>(count), -rate_ * kSavedSeconds);
}

std::size_t probe_budget::room(time_point now) {
  Refill(now);
  return static_cast<std::size_t>(std::max(tokens_, 0.0));
}

milliseconds probe_budget::WaitFor(std::size_t count, time_point now) {
  Refill(now);
  const double missing = static_cast<double>(count) - tokens_;
  if (missing <= 0 || rate_ <= 0)
    return milliseconds(0);
  return milliseconds(
      static_cast<std::int64_t>(std::ceil(missing / rate_ * 1000)));
}

void probe_budget::Refill(time_point now) {
  const std::chrono::duration<double> passed = now - refilled_;
  if (passed.count() > 0)
    tokens_ = std::min(tokens_ + rate_ * passed.count(), rate_ * kSavedSeconds);
  refilled_ = std::max(refilled_, now);
}

}  // namespace dotterellead::dispatch
