#include "probe_statistics.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// Bounds of the probe timeout. The lower one is several times the round trip
// within a region; the upper one is a considerable fraction of a latency
// target.
constexpr double kMinTimeoutMs = 60;
constexpr double kMaxTimeoutMs = 240;
// Probe timeout as a multiple of the mean probe latency.
constexpr double kTimeoutFactor = 4;
// Weight of a new observation in the exponential moving average.
constexpr double kSmoothingFactor = 0.1;
// Factor applied to the mean after a round without any response.
constexpr double kNoResponseGrowth = 1.3;

}  // namespace

void probe_statistics::Update(const std::vector<load_sample>& samples) {
  bool has_response = false;
  for (const load_sample& sample : samples) {
    if (sample.result == probe_result::kUnreachable)
      continue;
    has_response = true;
    const double millis = static_cast<double>(sample.latency.count()) / 1000.0;
    mean_ms_ += kSmoothingFactor * (millis - mean_ms_);
    if (sample.result == probe_result::kHealthy)
      reports_load_ = sample.load.has_value();
  }
  // The timeout may have been too short for any response.
  if (!has_response && !samples.empty())
    mean_ms_ =
        std::clamp(mean_ms_ * kNoResponseGrowth, kMinTimeoutMs / kTimeoutFactor,
                   kMaxTimeoutMs / kTimeoutFactor);
}

milliseconds probe_statistics::timeout() const {
  return milliseconds(static_cast<std::int64_t>(
      std::clamp(mean_ms_ * kTimeoutFactor, kMinTimeoutMs, kMaxTimeoutMs)));
}

}  // namespace dotterellead::dispatch
