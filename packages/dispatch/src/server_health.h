// Remembers which backend servers failed lately, and keeps requests from them.
#ifndef DOTTERELLEAD_DISPATCH_SERVER_HEALTH_H_
#define DOTTERELLEAD_DISPATCH_SERVER_HEALTH_H_

#include <map>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// Passive health from the results of attempts and probes.
class server_health {
 public:
  // A failed attempt keeps requests away for a time that doubles with each
  // failure in a row.
  void Failed(const server_id& server, time_point now);
  // No connection; the server may be back any moment.
  void Unreachable(const server_id& server, time_point now);
  void Succeeded(const server_id& server);
  bool IsAvoided(const server_id& server, time_point now) const;
  void Forget(const server_id& server) { entries_.erase(server); }

 private:
  struct entry {
    int failures = 0;
    time_point avoided_until;
  };
  std::map<server_id, entry> entries_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_SERVER_HEALTH_H_
