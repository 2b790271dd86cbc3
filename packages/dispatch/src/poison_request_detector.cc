#include "poison_request_detector.h"

namespace dotterellead::dispatch {

namespace {

// One or two crashes may have another cause.
constexpr int kQuarantineThreshold = 3;
// Time after the last crash.
constexpr std::chrono::minutes kEntryLifetime{5};
constexpr std::size_t kMaxEntries = 1'000;

}  // namespace

void poison_request_detector::RecordCrash(request_fingerprint fingerprint,
                                          time_point now) {
  RemoveExpired(now);
  if (entries_.size() >= kMaxEntries && !entries_.contains(fingerprint))
    return;
  entry& e = entries_[fingerprint];
  ++e.crashes;
  e.last_crash = now;
}

int poison_request_detector::crash_count(
    request_fingerprint fingerprint) const {
  auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : it->second.crashes;
}

bool poison_request_detector::IsQuarantined(request_fingerprint fingerprint,
                                            time_point now) {
  auto it = entries_.find(fingerprint);
  return it != entries_.end() && it->second.crashes >= kQuarantineThreshold &&
         now < it->second.last_crash + kEntryLifetime;
}

void poison_request_detector::RemoveExpired(time_point now) {
  std::erase_if(entries_, [&](const auto& entry) {
    return entry.second.last_crash + kEntryLifetime < now;
  });
}

}  // namespace dotterellead::dispatch
