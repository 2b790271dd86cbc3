#include "probe_habits.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// Bounds of the wait for one round. The shorter one is several times what a
// server within the region takes; the longer one is a good part of a target.
constexpr double kShortestMillis = 60;
constexpr double kLongestMillis = 240;
// Wait for a round as a multiple of the usual time of a probe.
constexpr double kLimitFactor = 4;
// Weight of one new observation.
constexpr double kNewWeight = 0.1;
// What a round without any answer adds to the usual time.
constexpr double kSilentGrowth = 1.3;

}  // namespace

void probe_habits::Learn(const std::vector<load_sample>& samples) {
  bool has_answer = false;
  for (const load_sample& sample : samples) {
    if (sample.result == probe_result::kUnreachable)
      continue;
    has_answer = true;
    const double millis = static_cast<double>(sample.taken.count()) / 1000.0;
    usual_millis_ += kNewWeight * (millis - usual_millis_);
    if (sample.result == probe_result::kHealthy)
      tells_load_ = sample.load.has_value();
  }
  // The limit may be what kept them from answering.
  if (!has_answer && !samples.empty())
    usual_millis_ = std::clamp(usual_millis_ * kSilentGrowth,
                               kShortestMillis / kLimitFactor,
                               kLongestMillis / kLimitFactor);
}

milliseconds probe_habits::limit() const {
  return milliseconds(static_cast<std::int64_t>(std::clamp(
      usual_millis_ * kLimitFactor, kShortestMillis, kLongestMillis)));
}

}  // namespace dotterellead::dispatch
