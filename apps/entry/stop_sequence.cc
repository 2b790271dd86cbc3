#include "stop_sequence.h"

namespace dotterellead::entry {

namespace {

// Callers learn of the stop by two failed readiness checks, which are one
// second apart.
constexpr milliseconds kMaxAnnouncement{2'600};
// Time after the last response for closing its connection, and for ending the
// process.
constexpr milliseconds kMaxCloseTime{300};
constexpr milliseconds kMaxExitTime{400};
// The same times as fractions of a short timeout.
constexpr int kAnnouncementDivisor = 2;
constexpr int kCloseDivisor = 20;
constexpr int kExitDivisor = 15;

}  // namespace

std::string_view to_string(stop_phase phase) {
  switch (phase) {
    case stop_phase::kAnnouncing:
      return "announcing";
    case stop_phase::kDraining:
      return "draining";
    case stop_phase::kClosing:
      return "closing";
    case stop_phase::kEnded:
      return "ended";
  }
  return "unknown";
}

stop_sequence::stop_sequence(time_point started, milliseconds timeout)
    : announced_at_(started +
                    std::min(kMaxAnnouncement, timeout / kAnnouncementDivisor)),
      ends_at_(started + timeout -
               std::min(kMaxExitTime, timeout / kExitDivisor)) {
  requests_end_at_ =
      ends_at_ - std::min(kMaxCloseTime, timeout / kCloseDivisor);
}

stop_phase stop_sequence::Advance(time_point now, const open_work& open) {
  if (phase_ == stop_phase::kAnnouncing && now >= announced_at_)
    phase_ = stop_phase::kDraining;
  if (phase_ == stop_phase::kDraining &&
      (!open.is_any() || now >= requests_end_at_))
    phase_ = stop_phase::kClosing;
  const bool is_done = !open.is_accepting && !open.is_any();
  if (phase_ == stop_phase::kClosing && (is_done || now >= ends_at_))
    phase_ = stop_phase::kEnded;
  return phase_;
}

}  // namespace dotterellead::entry
