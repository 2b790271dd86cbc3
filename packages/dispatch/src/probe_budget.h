// Bounds the probes that one host sends.
#ifndef DOTTERELLEAD_DISPATCH_PROBE_BUDGET_H_
#define DOTTERELLEAD_DISPATCH_PROBE_BUDGET_H_

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// This host's part of the probes that servers bear from all hosts together,
// saved up for some seconds of overload.
class probe_budget {
 public:
  // `rate` in probes per second; a new rate holds from `now` on.
  void SetRate(double rate, time_point now);
  // Counts probes that are sent, whether there is room or not.
  void Spend(std::size_t count, time_point now);
  // Probes for which there is room now.
  std::size_t room(time_point now);
  // How long until there is room for `count` probes.
  milliseconds WaitFor(std::size_t count, time_point now);

 private:
  void Refill(time_point now);

  double rate_ = 0;
  double tokens_ = 0;
  time_point refilled_{};
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_PROBE_BUDGET_H_
