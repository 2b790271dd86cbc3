// Chooses a backend server from fresh samples of load.
#ifndef DOTTERELLEAD_DISPATCH_PLACEMENT_H_
#define DOTTERELLEAD_DISPATCH_PLACEMENT_H_

#include <optional>
#include <vector>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

// Time until an answer from a server with this load, for work that usually
// takes `work`: slower on a slow machine, in the last free slot, and behind
// requests that wait.
milliseconds PredictAnswer(const load_report& load, milliseconds work);

bool HasFreeSlot(const load_report& load);

// A server that a request may go to, as its sample shows it.
struct candidate {
  server_ref server;
  load_report load;
  // In another data centre than this host, so that its bytes cost more.
  bool is_remote = false;
};

struct choice {
  const candidate* best = nullptr;
  milliseconds predicted{0};
};

// The candidate with the earliest predicted answer. A remote one must be better
// by kRemotePenalty.
choice ChooseServer(const std::vector<candidate>& candidates,
                    milliseconds work);

// Most idle connections that one host keeps to one server; the probes of
// several calls may run at once.
inline constexpr std::uint32_t kMostIdleLinks = 4;

// Idle connections that one of `hosts` hosts may keep to a server that accepts
// `limit` in all (0: unknown), so that room is left for requests. Where there
// is less than one for each host, `rank`, which differs by host and server,
// decides whether this one keeps any.
std::uint32_t IdleLinks(std::uint32_t limit,
                        std::size_t hosts,
                        std::uint64_t rank);

// Running estimate of the time that a route's work takes on an idle server at
// the usual pace.
class work_estimate {
 public:
  explicit work_estimate(milliseconds target);
  void Add(microseconds taken, const load_report& at_start);
  milliseconds value() const;

 private:
  double millis_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_PLACEMENT_H_
