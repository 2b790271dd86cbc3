// Rate limit for the probes that one host sends.
#ifndef DOTTERELLEAD_DISPATCH_PROBE_BUDGET_H_
#define DOTTERELLEAD_DISPATCH_PROBE_BUDGET_H_

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// Token bucket for this host's share of the probes that the servers accept from
// all hosts together. Allows bursts of some seconds.
class probe_budget {
 public:
  // Sets the rate in probes per second from `now` on.
  void SetRate(double rate, time_point now);
  // Consumes `count` tokens even if there are not as many; the deficit delays
  // later probes.
  void Consume(std::size_t count, time_point now);
  // Number of probes that may be sent now.
  std::size_t available(time_point now);
  // Time until `count` probes may be sent.
  milliseconds TimeUntilAvailable(std::size_t count, time_point now);

 private:
  void Refill(time_point now);

  double rate_ = 0;
  double tokens_ = 0;
  time_point last_refill_{};
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_PROBE_BUDGET_H_
