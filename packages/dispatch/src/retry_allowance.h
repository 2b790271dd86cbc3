// This host's part of the retries that all hosts may make beyond the ratio.
#ifndef DOTTERELLEAD_DISPATCH_RETRY_ALLOWANCE_H_
#define DOTTERELLEAD_DISPATCH_RETRY_ALLOWANCE_H_

#include <deque>
#include <optional>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// An equal part for each host that may be running. A list of hosts can be
// incomplete: after this host's start, and while the fleet has no root. So the
// allowance is divided by the longest list of a recent time, and never by fewer
// hosts than this one was started with.
class retry_allowance {
 public:
  // `total` retries per window, of all hosts; `min_hosts` is the number of
  // hosts named at the start.
  retry_allowance(double total, std::size_t min_hosts);

  // The current list has `count` hosts, this one included.
  void RecordHostCount(std::size_t count, time_point now);
  // Retries per window of this host.
  double ShareAt(time_point now) const;

 private:
  struct host_count {
    std::size_t count = 0;
    // When a list with another number of hosts replaced it.
    std::optional<time_point> replaced_at;
  };

  static bool IsRecent(const host_count& count, time_point now);

  double total_;
  std::size_t min_hosts_;
  std::deque<host_count> counts_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_RETRY_ALLOWANCE_H_
