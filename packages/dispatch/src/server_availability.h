// Whether this host may use a backend server, from the catalog, the server's
// own statements and the results of attempts and probes.
#ifndef DOTTERELLEAD_DISPATCH_SERVER_AVAILABILITY_H_
#define DOTTERELLEAD_DISPATCH_SERVER_AVAILABILITY_H_

#include <map>
#include <optional>

#include "dotterellead/catalog.h"
#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// One run of a server, from a start to its end. What is known of one run does
// not apply to the next.
struct server_run {
  server_id server;
  unix_millis started_at;
  auto operator<=>(const server_run&) const = default;
};

server_run RunOf(const catalog::backend_server& server);

enum class availability {
  kAvailable,
  // Failed recently; used if most servers of the pool have.
  kAvoided,
  // Requested a backoff with Retry-After; receives nothing until its end.
  kBackingOff,
  // Draining; receives nothing new.
  kLeaving,
};

class server_availability {
 public:
  // Avoids the server for a time that doubles with each consecutive failure.
  void RecordFailure(const server_run& run, time_point now);
  // Avoids the server briefly; it may be reachable again at any time.
  void RecordUnreachable(const server_run& run, time_point now);
  void RecordSuccess(const server_run& run);
  // The server stated that it is draining. Holds until another run of the
  // server, whatever the catalog says of this one. Returns whether this is new.
  bool RecordLeaving(const server_run& run);
  // The server requested a backoff until `until`. A later request does not
  // shorten it.
  void RecordBackoff(const server_run& run, time_point until);
  // Takes the servers of a new snapshot. Entries of runs that are not among
  // them are kept for kServerMarkRetention, in case the run is listed again,
  // and are at most kMaxUnlistedServerMarks.
  void UpdateServers(
      const std::map<server_id, catalog::backend_server>& servers,
      time_point now);

  availability StateOf(const catalog::backend_server& server,
                       time_point now) const;
  bool IsUsable(const catalog::backend_server& server, time_point now) const {
    return StateOf(server, now) <= availability::kAvoided;
  }
  // Whether any server is avoided, listed or not.
  bool IsAnyAvoided(time_point now) const { return now < avoided_until_; }
  // When the server's backoff ends; in the past if there is none.
  time_point BackoffEnd(const catalog::backend_server& server) const;
  // Number of runs of which something is known.
  std::size_t size() const { return entries_.size(); }

 private:
  struct entry {
    int consecutive_failures = 0;
    time_point avoided_until{};
    time_point backoff_until{};
    bool is_leaving = false;
    // When the run was first missing from the catalog.
    std::optional<time_point> unlisted_at;
  };
  struct state_rule {
    availability state;
    bool (*applies)(const catalog::backend_server& server,
                    const entry& known,
                    time_point now);
  };
  // The first rule that applies decides.
  static const state_rule state_rules[3];

  void AvoidUntil(entry& e, time_point until);
  const entry& EntryOf(const catalog::backend_server& server) const;
  void RemoveUnlisted(time_point now);

  std::map<server_run, entry> entries_;
  // The latest end of an avoidance.
  time_point avoided_until_{};
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_SERVER_AVAILABILITY_H_
