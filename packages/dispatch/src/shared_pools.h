// The pools that routes of different priority share, and what this host does
// for each of their priorities. Other pools are left alone.
#ifndef DOTTERELLEAD_DISPATCH_SHARED_POOLS_H_
#define DOTTERELLEAD_DISPATCH_SHARED_POOLS_H_

#include <map>
#include <optional>
#include <vector>

#include "dotterellead/dispatch.h"
#include "pool_load_meter.h"
#include "pool_plan.h"
#include "pool_view.h"

namespace dotterellead::dispatch {

class shared_pools {
 public:
  // Without `is_enabled` no pool is treated as shared.
  shared_pools(data_centre_id data_centre, bool is_enabled)
      : data_centre_(std::move(data_centre)), is_enabled_(is_enabled) {}

  void SetCatalog(const catalog::snapshot& catalog, time_point now);
  void SetTotals(pools::pool_table totals, time_point now);
  void RecordHostCount(std::size_t count, time_point now);

  // These do nothing for a pool that is not shared.
  void RecordOffered(const pool_id& pool,
                     int priority,
                     milliseconds work,
                     time_point now);
  void RecordCompleted(const pool_id& pool,
                       int priority,
                       milliseconds work,
                       time_point now);
  void RecordRejected(const pool_id& pool, int priority, time_point now);
  void RecordProbes(const pool_id& pool,
                    const std::vector<load_sample>& samples,
                    time_point now);

  // The plan for the priority; that of no demand if the pool is not shared.
  const priority_plan& PlanFor(const pool_id& pool, int priority) const;
  // Whether a request of this priority may be sent to a server with this load.
  bool LeavesReserve(const catalog::backend_server& server,
                     int priority,
                     const load_report& load) const;
  // 0 is the most urgent.
  int QueuePriority(const pool_id& pool, int priority) const;
  double RetryFactor(const pool_id& pool) const;

  // When the next report is due; nullopt without shared pools.
  std::optional<time_point> NextReport() const;
  // Renews the plans and appends this host's load and the state of each pool to
  // `out`, if they are due.
  void Report(time_point now, std::vector<dispatcher::effect>& out);

 private:
  struct entry {
    pool_load_meter meter;
    pool_size size;
    pool_plan plan;
    pool_status status;
    // Whether the last report used the fleet's totals, and when its state was
    // logged.
    bool was_shared = false;
    time_point logged_at{};
  };

  void Renew(const pool_id& pool, entry& e, time_point now);
  static void LogStatus(const pool_id& pool,
                        entry& e,
                        time_point now,
                        std::vector<dispatcher::effect>& out);

  data_centre_id data_centre_;
  bool is_enabled_;
  pool_view view_;
  std::map<pool_id, entry> pools_;
  time_point next_report_{};
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_SHARED_POOLS_H_
