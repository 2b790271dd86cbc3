#include "cold_start_limiter.h"

namespace dotterellead::dispatch {

bool cold_start_limiter::IsOwner(const server_id& server) const {
  const member_id* owner = nullptr;
  std::uint64_t highest = 0;
  for (const member_id& host : live_hosts_) {
    const std::uint64_t rank = StableHash(server.value() + '/' + host.value());
    if (owner == nullptr || rank > highest) {
      owner = &host;
      highest = rank;
    }
  }
  return owner != nullptr && *owner == self_;
}

bool cold_start_limiter::TryAcquire(const server_id& server,
                                    double rate,
                                    time_point now) {
  if (rate <= 0 || !IsOwner(server))
    return false;
  time_point& next = next_allowed_[server];
  if (now < next)
    return false;
  next = now + std::chrono::duration_cast<time_point::duration>(
                   std::chrono::duration<double>(1.0 / rate));
  return true;
}

}  // namespace dotterellead::dispatch
