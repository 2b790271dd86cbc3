#include "server_health.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// First pause after a failed attempt; a faulty server fails for seconds.
constexpr milliseconds kFirstPause{1'500};
constexpr milliseconds kLongestPause{6'000};
// Pause after a probe or a connect that got no answer.
constexpr milliseconds kUnreachablePause{400};

}  // namespace

void server_health::Failed(const server_id& server, time_point now) {
  entry& e = entries_[server];
  milliseconds pause = kFirstPause;
  for (int i = 0; i < e.failures && pause < kLongestPause; ++i)
    pause *= 2;
  e.failures = std::min(e.failures + 1, 8);
  e.avoided_until =
      std::max(e.avoided_until, now + std::min(pause, kLongestPause));
}

void server_health::Unreachable(const server_id& server, time_point now) {
  entry& e = entries_[server];
  e.avoided_until = std::max(e.avoided_until, now + kUnreachablePause);
}

void server_health::Succeeded(const server_id& server) {
  auto it = entries_.find(server);
  if (it != entries_.end())
    it->second.failures = 0;
}

bool server_health::IsAvoided(const server_id& server, time_point now) const {
  auto it = entries_.find(server);
  return it != entries_.end() && now < it->second.avoided_until;
}

}  // namespace dotterellead::dispatch
