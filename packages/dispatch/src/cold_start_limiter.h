// Rate limit for requests to servers that have just started.
#ifndef DOTTERELLEAD_DISPATCH_COLD_START_LIMITER_H_
#define DOTTERELLEAD_DISPATCH_COLD_START_LIMITER_H_

#include <map>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// Each cold server has one owner among the live hosts, chosen by rendezvous
// hashing. Only the owner sends to it, at the rate that the server accepts.
// Hosts that know different members name a few owners at most, which the factor
// and allowance of the operators' limit cover.
class cold_start_limiter {
 public:
  explicit cold_start_limiter(member_id self) : self_(std::move(self)) {}

  void SetLiveHosts(std::vector<member_id> live) {
    live_hosts_ = std::move(live);
  }
  // Number of live hosts, at least 1.
  std::size_t host_count() const {
    return live_hosts_.empty() ? 1 : live_hosts_.size();
  }
  // Whether this host owns `server`.
  bool IsOwner(const server_id& server) const;
  // Consumes one request of `rate` (requests per second). Returns false if this
  // host does not own `server`, if `rate` is 0, or if the next request is not
  // due yet.
  bool TryAcquire(const server_id& server, double rate, time_point now);

 private:
  member_id self_;
  std::vector<member_id> live_hosts_;
  std::map<server_id, time_point> next_allowed_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_COLD_START_LIMITER_H_
