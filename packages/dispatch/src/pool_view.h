// The load of shared pools in the whole fleet, from the totals of the tree.
// Answers demand that is uneven over the hosts, where one host's own view is
// off by its share of the callers.
#ifndef DOTTERELLEAD_DISPATCH_POOL_VIEW_H_
#define DOTTERELLEAD_DISPATCH_POOL_VIEW_H_

#include <deque>
#include <optional>

#include "dotterellead/pools.h"

namespace dotterellead::dispatch {

class pool_view {
 public:
  // The totals of the tree by pool and data centre; an empty table has none.
  void SetTotals(pools::pool_table totals, time_point now);
  // The current list of live hosts has `count` hosts.
  void RecordHostCount(std::size_t count, time_point now);

  // The load on the pool from all live hosts. Hosts that did not report count
  // like the average of the others. nullopt if the totals are too old or cover
  // less than half of the hosts.
  std::optional<pools::pool_load> LoadOf(const pool_id& pool,
                                         time_point now) const;
  // The load of all hosts as this host estimates it from `own`, what it sees
  // itself: the busy slots in its probes run the work of all hosts. Callers may
  // be unevenly distributed, so the number of hosts is only an upper bound.
  pools::pool_load Extrapolate(const pools::pool_load& own,
                               std::size_t slots,
                               time_point now) const;

 private:
  struct host_count {
    std::size_t count = 0;
    // When a list with another number of hosts replaced it.
    std::optional<time_point> replaced_at;
  };
  // The longest list of a recent time: a shorter one may be that of a part of
  // the fleet.
  std::size_t HostCount(time_point now) const;

  pools::pool_table totals_;
  time_point received_at_{};
  std::deque<host_count> counts_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_POOL_VIEW_H_
