// One entry host on the platform: its duties and the connections between them.
#ifndef APPS_ENTRY_ENTRY_HOST_H_
#define APPS_ENTRY_ENTRY_HOST_H_

#include <atomic>
#include <map>
#include <memory>

#include "adapter/adapter.h"
#include "dotterellead/dispatch.h"
#include "dotterellead/fleet.h"
#include "dotterellead/moves.h"
#include "dotterellead/statistics.h"
#include "dotterellead/traffic.h"
#include "entry_settings.h"

namespace dotterellead::entry {

// Owns the duties. Not thread-safe.
class entry_host {
 public:
  explicit entry_host(entry_settings settings);
  ~entry_host();

  // Starts all duties. Throws unavailable_error if an address cannot be used.
  void Start();
  // Starts a new interval of the statistics. Call once per second.
  void StartStatisticsInterval() { statistics_.StartInterval(); }
  // Stops accepting callers and waits for requests in flight. Returns after the
  // stop timeout at the latest.
  void Drain();

 private:
  void HandleCatalog(catalog::snapshot_ptr snapshot);
  void Execute(dispatch::dispatcher::effect& effect);
  // Passes this host's load of shared pools on, and sets the metrics.
  void ReportPools(dispatch::pools_reported& report);
  void Execute(moves::move_machine::effect& effect);
  std::string MetricsText();
  void MakeDispatcher();
  void MakeTraffic();
  void MakeMoves();
  void MakeFleet();
  void MakeStore();
  void MakeUsage();

  entry_settings settings_;
  system_clock_source clock_;
  // The start time, which identifies this run of the process.
  incarnation_id incarnation_;
  std::atomic<bool> has_config_ = false;
  std::atomic<bool> is_draining_ = false;
  statistics::request_statistics statistics_;
  // Requests rejected in favour of more urgent ones; used by dispatch only.
  std::map<pool_id, std::uint64_t> rejected_in_favour_;
  std::unique_ptr<traffic::traffic_service> traffic_;
  std::unique_ptr<duty<dispatch::dispatcher>> dispatcher_;
  std::unique_ptr<duty<moves::move_machine>> moves_;
  std::unique_ptr<fleet::fleet_duty> fleet_;
  std::unique_ptr<adapter::store_duty> store_;
  // Null if usage is not reported.
  std::unique_ptr<adapter::usage_duty> usage_;
};

}  // namespace dotterellead::entry

#endif  // APPS_ENTRY_ENTRY_HOST_H_
