#include "dotterellead/usage.h"

namespace dotterellead::usage {

namespace {

// Corrections of a running clock amount to less between two readings.
constexpr milliseconds kMaxCorrection{100};
// A step is followed once it has lasted this long. A host whose clock was wrong
// at its start counts into wrong windows until then.
constexpr milliseconds kStepDuration{300'000};

milliseconds Distance(milliseconds a, milliseconds b) {
  return a > b ? a - b : b - a;
}

}  // namespace

moment window_clock::Read(const moment& raw) {
  const milliseconds offset =
      milliseconds(raw.wall.value) - raw.boot.time_since_epoch();
  const bool is_step = offset_ && Distance(offset, *offset_) > kMaxCorrection;
  if (is_step && (!step_ || Distance(offset, *step_) > kMaxCorrection))
    step_since_ = raw.boot;
  step_ = is_step ? std::optional(offset) : std::nullopt;
  if (!is_step || raw.boot - step_since_ >= kStepDuration) {
    offset_ = offset;
    step_.reset();
  }
  return {raw.boot, {(raw.boot.time_since_epoch() + *offset_).count()}};
}

window_number WindowAt(unix_millis wall, milliseconds period) {
  return window_number(static_cast<std::uint64_t>(
      std::max<std::int64_t>(wall.value, 0) / period.count()));
}

unix_millis BeginOf(window_number window, milliseconds period) {
  return {static_cast<std::int64_t>(window.value()) * period.count()};
}

unix_millis window_settings::EndOf(window_number window) const {
  return BeginOf(window.next(), period);
}

}  // namespace dotterellead::usage
