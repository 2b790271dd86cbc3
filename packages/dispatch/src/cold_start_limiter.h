// Bounds requests to servers that have just started.
#ifndef DOTTERELLEAD_DISPATCH_COLD_GUARD_H_
#define DOTTERELLEAD_DISPATCH_COLD_GUARD_H_

#include <map>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// Each cold server has one home among the live hosts, which alone sends to it,
// at the rate that the server bears. Hosts that know different members name at
// most a few homes, which the rules' factor and slack cover.
class cold_guard {
 public:
  explicit cold_guard(member_id self) : self_(std::move(self)) {}

  void SetHosts(std::vector<member_id> live) { live_ = std::move(live); }
  std::size_t host_count() const { return live_.empty() ? 1 : live_.size(); }
  bool IsHome(const server_id& server) const;
  // Whether this host may send a request to the cold `server` now; takes it
  // from the server's rate, in requests per second.
  bool TryTake(const server_id& server, double rate, time_point now);

 private:
  member_id self_;
  std::vector<member_id> live_;
  std::map<server_id, time_point> next_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_COLD_GUARD_H_
