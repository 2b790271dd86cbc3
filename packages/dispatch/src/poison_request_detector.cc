#include "crash_guard.h"

namespace dotterellead::dispatch {

namespace {

// One crash may have another cause, and so may two with bad luck.
constexpr int kCrashesToQuarantine = 3;
// How long after its last crash a request is remembered.
constexpr std::chrono::minutes kMemory{5};
constexpr std::size_t kMostEntries = 1'000;

}  // namespace

void crash_guard::Count(request_fingerprint fingerprint, time_point now) {
  Forget(now);
  if (entries_.size() >= kMostEntries && !entries_.contains(fingerprint))
    return;
  entry& e = entries_[fingerprint];
  ++e.crashes;
  e.last = now;
}

int crash_guard::count(request_fingerprint fingerprint) const {
  auto it = entries_.find(fingerprint);
  return it == entries_.end() ? 0 : it->second.crashes;
}

bool crash_guard::IsQuarantined(request_fingerprint fingerprint,
                                time_point now) {
  auto it = entries_.find(fingerprint);
  return it != entries_.end() && it->second.crashes >= kCrashesToQuarantine &&
         now < it->second.last + kMemory;
}

void crash_guard::Forget(time_point now) {
  std::erase_if(entries_, [&](const auto& entry) {
    return entry.second.last + kMemory < now;
  });
}

}  // namespace dotterellead::dispatch
