// The steps of a planned stop of an entry host.
#ifndef APPS_ENTRY_STOP_SEQUENCE_H_
#define APPS_ENTRY_STOP_SEQUENCE_H_

#include "dotterellead/core.h"

namespace dotterellead::entry {

enum class stop_phase {
  // The host says that it is not ready, and serves callers as usual until they
  // have learned of it.
  kAnnouncing,
  // Connections are closed after their response; new ones are still served.
  kDraining,
  // No new connections; those that are open are served to their end.
  kClosing,
  kEnded,
};

// The phase as written to the log.
std::string_view to_string(stop_phase phase);

// What is open on the host.
struct open_work {
  bool is_accepting = true;
  std::uint64_t caller_connections = 0;
  // Includes requests whose caller has disconnected.
  std::uint64_t requests = 0;
  bool is_any() const { return caller_connections > 0 || requests > 0; }
};

// Decides from the time and from what is open how far the stop has got. Phases
// only advance. Not thread-safe.
class stop_sequence {
 public:
  // `timeout` is the time from `started` to the end of the process.
  stop_sequence(time_point started, milliseconds timeout);

  // When the first phase ends.
  time_point announced_at() const { return announced_at_; }
  // When all requests must have been answered. Later than five sixths of the
  // timeout.
  time_point requests_end_at() const { return requests_end_at_; }
  // Returns the phase at `now`.
  stop_phase Advance(time_point now, const open_work& open);

 private:
  stop_phase phase_ = stop_phase::kAnnouncing;
  time_point announced_at_;
  time_point requests_end_at_;
  time_point ends_at_;
};

}  // namespace dotterellead::entry

#endif  // APPS_ENTRY_STOP_SEQUENCE_H_
