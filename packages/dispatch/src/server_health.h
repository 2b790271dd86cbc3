// Passive health checks: avoids servers that failed recently.
#ifndef DOTTERELLEAD_DISPATCH_SERVER_HEALTH_H_
#define DOTTERELLEAD_DISPATCH_SERVER_HEALTH_H_

#include <map>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// Derived from the results of attempts and probes.
class server_health {
 public:
  // Avoids the server for a time that doubles with each consecutive failure.
  void RecordFailure(const server_id& server, time_point now);
  // Avoids the server briefly; it may be reachable again at any time.
  void RecordUnreachable(const server_id& server, time_point now);
  void RecordSuccess(const server_id& server);
  bool IsAvoided(const server_id& server, time_point now) const;
  void Remove(const server_id& server) { entries_.erase(server); }

 private:
  struct entry {
    int consecutive_failures = 0;
    time_point avoided_until;
  };
  std::map<server_id, entry> entries_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_SERVER_HEALTH_H_
