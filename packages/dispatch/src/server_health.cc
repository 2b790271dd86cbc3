#include "server_health.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// How long a server is avoided after its first failure; faulty servers fail for
// seconds.
constexpr milliseconds kInitialAvoidance{1'500};
constexpr milliseconds kMaxAvoidance{6'000};
// How long a server is avoided after a probe or connect without a response.
constexpr milliseconds kUnreachableAvoidance{400};

}  // namespace

void server_health::RecordFailure(const server_id& server, time_point now) {
  entry& e = entries_[server];
  milliseconds pause = kInitialAvoidance;
  for (int i = 0; i < e.consecutive_failures && pause < kMaxAvoidance; ++i)
    pause *= 2;
  e.consecutive_failures = std::min(e.consecutive_failures + 1, 8);
  e.avoided_until =
      std::max(e.avoided_until, now + std::min(pause, kMaxAvoidance));
}

void server_health::RecordUnreachable(const server_id& server, time_point now) {
  entry& e = entries_[server];
  e.avoided_until = std::max(e.avoided_until, now + kUnreachableAvoidance);
}

void server_health::RecordSuccess(const server_id& server) {
  auto it = entries_.find(server);
  if (it != entries_.end())
    it->second.consecutive_failures = 0;
}

bool server_health::IsAvoided(const server_id& server, time_point now) const {
  auto it = entries_.find(server);
  return it != entries_.end() && now < it->second.avoided_until;
}

}  // namespace dotterellead::dispatch
