// Chooses a backend server from fresh load samples.
#ifndef DOTTERELLEAD_DISPATCH_PLACEMENT_H_
#define DOTTERELLEAD_DISPATCH_PLACEMENT_H_

#include <optional>
#include <vector>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

// Predicted latency of a request that takes `service_time` on an idle server at
// normal speed. Accounts for a slow machine, for the slowdown in the last free
// slot, and for requests queued at the server.
milliseconds PredictLatency(const load_report& load, milliseconds service_time);

// Whether a request would run at once.
bool HasFreeSlot(const load_report& load);

// An eligible server with its sampled load.
struct candidate {
  server_ref server;
  load_report load;
  // Whether the server is in another data centre than this host.
  bool is_remote = false;
};

// `best` is null if there was no candidate.
struct placement_choice {
  const candidate* best = nullptr;
  milliseconds predicted_latency{0};
};

// Returns the candidate with the lowest predicted latency. A remote one must be
// better by kRemotePenalty.
placement_choice ChooseServer(const std::vector<candidate>& candidates,
                              milliseconds service_time);

// Maximum number of idle connections of one host to one server; several
// requests may probe it concurrently.
inline constexpr std::uint32_t kMaxIdleConnections = 4;

// Number of idle connections that one of `hosts` hosts may keep to a server
// that accepts `limit` connections in all (0: unknown). If that is less than
// one per host, `rank`, a hash of host and server, decides whether this host
// keeps one.
std::uint32_t MaxIdleConnections(std::uint32_t limit,
                                 std::size_t hosts,
                                 std::uint64_t rank);

// Exponential moving average of a route's service time on an idle server at
// normal speed.
class service_time_estimate {
 public:
  // Starts from a fraction of the route's latency target.
  explicit service_time_estimate(milliseconds target);
  // Adds the latency of an attempt on a server that had load `at_start`.
  void AddSample(microseconds latency, const load_report& at_start);
  milliseconds value() const;

 private:
  double mean_ms_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_PLACEMENT_H_
