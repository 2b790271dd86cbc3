#include "cold_guard.h"

namespace dotterellead::dispatch {

bool cold_guard::IsHome(const server_id& server) const {
  const member_id* home = nullptr;
  std::uint64_t highest = 0;
  for (const member_id& host : live_) {
    const std::uint64_t rank = StableHash(server.value() + '/' + host.value());
    if (home == nullptr || rank > highest) {
      home = &host;
      highest = rank;
    }
  }
  return home != nullptr && *home == self_;
}

bool cold_guard::TryTake(const server_id& server, double rate, time_point now) {
  if (rate <= 0 || !IsHome(server))
    return false;
  time_point& next = next_[server];
  if (now < next)
    return false;
  next = now + std::chrono::duration_cast<time_point::duration>(
                   std::chrono::duration<double>(1.0 / rate));
  return true;
}

}  // namespace dotterellead::dispatch
