// Simulation of a pool, its entry hosts, the log and the network between them
// under a manual clock.
#ifndef DOTTERELLEAD_ROLLOUT_SIMULATION_H_
#define DOTTERELLEAD_ROLLOUT_SIMULATION_H_

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "dotterellead/rollout.h"

namespace dotterellead {

// Seconds from the start of the move.
struct period {
  double from = -1;
  double to = -1;
  bool Contains(double t) const { return t >= from && t < to; }
};

struct sim_request {
  double time = 0;
  bool is_new = false;
  std::uint64_t route = 0;
  // The new version's share in the log.
  std::uint32_t share_per_mille = 0;
  bool in_failed_zone = false;
};

struct sim_outcome {
  bool failed = false;
  double latency_factor = 1;
  // Caused by the version itself.
  bool is_fault = false;
};

struct scenario {
  std::string name;
  bool is_bad = false;
  sim_outcome (*behave)(const sim_request&) = nullptr;
  double rate = 1000;
  period log_down;
  period partition;
  double kill_at = -1;
  // Whether the fault cannot show at up to 5%.
  bool only_above_5 = false;
  double deadline = 600;
  std::uint64_t seeds = 1;
};

struct sim_result {
  move_verdict verdict = move_verdict::kMoving;
  std::string reason;
  double verdict_at = -1;
  std::uint64_t requests = 0;
  std::uint64_t new_requests = 0;
  std::uint64_t failed_new_requests = 0;
  double first_fault = -1;
  double last_new = -1;
  std::vector<std::string> trace;
};

class simulation {
 public:
  simulation(const scenario& s, std::size_t hosts, std::uint64_t seed);
  sim_result Run();

 private:
  struct host {
    std::unique_ptr<rollout_with_counters> machine;
    std::unique_ptr<version_counters> counters;
    version_shares shares;
    std::uint64_t requests = 0;
  };
  struct event {
    std::int64_t at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& o) const {
      return std::pair(at, order) > std::pair(o.at, o.order);
    }
  };

  double Seconds() const { return static_cast<double>(now_ms_) / 1000; }
  void After(std::int64_t ms, std::function<void()> run);
  void Start(std::size_t i);
  void Deliver(std::size_t i, const rollout_machine::message& m);
  void Execute(std::size_t from, const rollout_machine::effect& e);
  void SendToPeers(std::size_t from, const rollout_machine::message& m);
  void Append(std::size_t from, const propose_step& p);
  void PublishConfig();
  void TellLogState();
  void TellPeers();
  void MakeRequests();
  void MakeRequest(host& h, std::size_t index);
  bool IsOver() const;

  const scenario& scenario_;
  std::mt19937_64 random_;
  std::vector<host> hosts_;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::int64_t now_ms_ = 0;
  double owed_requests_ = 0;
  bool log_was_down_ = false;
  config_view view_;
  sim_result result_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ROLLOUT_SIMULATION_H_
