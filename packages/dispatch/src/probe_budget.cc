#include "probe_budget.h"

#include <algorithm>
#include <cmath>

namespace dotterellead::dispatch {

namespace {

// Capacity of the token bucket, as the time in which it refills. The operators'
// limit is an average over a much longer time.
constexpr double kBurstSeconds = 5;

}  // namespace

void probe_budget::SetRate(double rate, time_point now) {
  const bool is_first = rate_ <= 0;
  Refill(now);
  rate_ = rate;
  if (is_first)
    tokens_ = rate_ * kBurstSeconds;
}

void probe_budget::Consume(std::size_t count, time_point now) {
  Refill(now);
  tokens_ =
      std::max(tokens_ - static_cast<double>(count), -rate_ * kBurstSeconds);
}

std::size_t probe_budget::available(time_point now) {
  Refill(now);
  return static_cast<std::size_t>(std::max(tokens_, 0.0));
}

milliseconds probe_budget::TimeUntilAvailable(std::size_t count,
                                              time_point now) {
  Refill(now);
  const double missing = static_cast<double>(count) - tokens_;
  if (missing <= 0 || rate_ <= 0)
    return milliseconds(0);
  return milliseconds(
      static_cast<std::int64_t>(std::ceil(missing / rate_ * 1000)));
}

void probe_budget::Refill(time_point now) {
  const std::chrono::duration<double> passed = now - last_refill_;
  if (passed.count() > 0)
    tokens_ = std::min(tokens_ + rate_ * passed.count(), rate_ * kBurstSeconds);
  last_refill_ = std::max(last_refill_, now);
}

}  // namespace dotterellead::dispatch
