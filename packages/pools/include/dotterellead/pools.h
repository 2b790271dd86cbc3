// Load of the pools that routes of different priority share, as dispatch
// measures it and as the fleet sums it.
#ifndef DOTTERELLEAD_POOLS_H_
#define DOTTERELLEAD_POOLS_H_

#include <map>

#include "dotterellead/catalog.h"
#include "dotterellead/core.h"

namespace dotterellead::pools {

// Load of one priority. All values are per second.
struct priority_load {
  // Requests.
  double offered = 0;
  double completed = 0;
  double rejected = 0;
  // Slot-seconds on idle servers.
  double offered_work = 0;
  double completed_work = 0;

  void Add(const priority_load& other);
};

// Load of one pool, as seen by `host_count` hosts.
struct pool_load {
  // 0 is the most urgent.
  std::map<int, priority_load> by_priority;
  // Free slots and all slots in the probes of a recent time.
  double free_slots = 0;
  double probed_slots = 0;
  std::size_t host_count = 0;
  // Age of the oldest part.
  milliseconds age{0};

  // Adds what other hosts saw.
  void Add(const pool_load& other);
  // Load of all priorities together.
  priority_load Total() const;
};

// A pool's load as seen by the hosts of one data centre.
struct pool_key {
  pool_id pool;
  data_centre_id data_centre;
  auto operator<=>(const pool_key&) const = default;
};
using pool_table = std::map<pool_key, pool_load>;

// Whether the loads differ too little to send the newer one at once.
bool IsSimilar(const pool_load& a, const pool_load& b);

}  // namespace dotterellead::pools

#endif  // DOTTERELLEAD_POOLS_H_
