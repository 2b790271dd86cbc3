// One entry host: the duties and the rings between them.
#ifndef APPS_ENTRY_ENTRY_HOST_H_
#define APPS_ENTRY_ENTRY_HOST_H_

#include <atomic>
#include <memory>

#include "adapter/adapter.h"
#include "dotterellead/dispatch.h"
#include "dotterellead/fleet.h"
#include "dotterellead/moves.h"
#include "dotterellead/statistics.h"
#include "dotterellead/traffic.h"
#include "entry_settings.h"

namespace dotterellead::entry {

class entry_host {
 public:
  explicit entry_host(entry_settings settings);
  ~entry_host();

  void Start();
  // Ends an interval of the statistics; call it once a second.
  void RollStatistics() { statistics_.RollInterval(); }
  // Stops taking callers, lets requests in flight end, and returns when the
  // process may end, after the stop time at the latest.
  void Drain();

 private:
  void TakeCatalog(const catalog::snapshot_ptr& snapshot);
  void CarryOut(dispatch::dispatcher::effect& effect);
  void CarryOut(moves::move_machine::effect& effect);
  std::string MetricsText();
  void MakeDispatcher();
  void MakeTraffic();
  void MakeMoves();
  void MakeFleet();
  void MakeStore();

  entry_settings settings_;
  system_clock_source clock_;
  std::atomic<bool> has_config_ = false;
  std::atomic<bool> is_draining_ = false;
  statistics::call_statistics statistics_;
  std::unique_ptr<traffic::traffic_service> traffic_;
  std::unique_ptr<duty<dispatch::dispatcher>> dispatcher_;
  std::unique_ptr<duty<moves::move_machine>> moves_;
  std::unique_ptr<fleet::fleet_duty> fleet_;
  std::unique_ptr<adapter::store_duty> store_;
};

}  // namespace dotterellead::entry

#endif  // APPS_ENTRY_ENTRY_HOST_H_
