// The soak's world: real entry hosts, stand-ins around them, callers, faults
// drawn from a seed, and the promises that are checked.
#ifndef TESTS_SOAK_SOAK_WORLD_H_
#define TESTS_SOAK_SOAK_WORLD_H_

#include <sys/types.h>

#include <memory>
#include <random>
#include <vector>

#include "balancer.h"
#include "fault_proxy.h"
#include "server_standin.h"
#include "store_standin.h"

namespace dotterellead::soak {

struct soak_settings {
  std::string binary;
  std::uint64_t seed = 1;
  int seconds = 24;
  int hosts = 4;
  int servers = 8;
  double calls_per_second = 40;
  // Ports in use begin here.
  int first_port = 25'000;
  // Repeats that the operators allow in each window, over all hosts, beyond the
  // ratio.
  double repeat_allowance = 50;
  // No faults; what the hosts cost is printed.
  bool is_calm = false;
  // Servers reject two of three requests until the last fault.
  bool is_shedding = false;
  // Planned work only: stops in turn, reloads, changes, servers that leave.
  bool is_planned = false;
  // Where the hosts' logs go; empty: nowhere.
  std::string log_folder;
};

// Bounds of the operators' contract that are checked here.
inline constexpr milliseconds kConfigBound{2'000};
inline constexpr milliseconds kContactWindow{3'000};
inline constexpr milliseconds kGrace{6'000};
inline constexpr milliseconds kRepeatWindow{10'000};
inline constexpr double kRepeatRatio = 0.2;
inline constexpr milliseconds kPatience{1'500};
// Slack for a machine that runs the whole soak on a few cores.
inline constexpr milliseconds kSlack{700};
// After the last fault all is to be well within this time.
inline constexpr milliseconds kRecoverTime{5'000};

// Promises that were broken; empty: none.
using violations = std::vector<std::string>;

// A caller, with the connection that it keeps.
struct soak_caller {
  std::string data_centre;
  bool keeps_connection = false;
  stream_ptr stream;
  beast::flat_buffer buffer;
  // Index of the host at the other end.
  std::size_t host = 0;
  time_point last_use;
};

class soak_world {
 public:
  explicit soak_world(soak_settings settings);
  ~soak_world();
  violations Run();

 private:
  struct entry_process {
    std::string name;
    pid_t pid = -1;
    int front = 0;
    int ready = 0;
    int peers = 0;
    bool is_stopped = false;
    // Nothing that this host does is judged before then.
    time_point calm_at{};
    time_point started_at{};
    // Of the first SIGTERM of this process, or of an earlier one.
    time_point stopped_at{};
    bool is_stopping = false;
  };

  // A call as its caller saw it.
  struct call_record {
    std::string id;
    bool is_once = false;
    // Index of the host, and whether the connection had been used before.
    std::size_t host = 0;
    bool is_reused = false;
    bool is_written = false;
    // 0 without a whole answer; `problem` says why there is none.
    int status = 0;
    std::string problem;
    time_point sent;
    time_point ended;
  };

  // Lasts as long as a fault that nobody planned.
  class unplanned_fault {
   public:
    explicit unplanned_fault(soak_world& world) : world_(world) {
      ++world_.unplanned_faults_;
    }
    unplanned_fault(const unplanned_fault&) = delete;
    ~unplanned_fault() {
      --world_.unplanned_faults_;
      world_.quiet_since_ = std::chrono::steady_clock::now();
    }

   private:
    soak_world& world_;
  };

  // Processes.
  void StartHost(entry_process& host);
  void Signal(entry_process& host, int signal);
  void ReapAndRestart();
  // Callers (soak_calls.cc).
  task<> CallLoop();
  task<> MakeCall();
  std::shared_ptr<soak_caller> TakeCaller();
  task<bool> OpenConnection(std::shared_ptr<soak_caller> caller);
  request_message MakeRequest(const call_record& call) const;
  void JudgeUnanswered(const call_record& call);
  void CheckRepeats();
  std::size_t CallsInWindow(const std::string& pool, time_point ends) const;
  // Whether only planned work has gone on since before `time`.
  bool IsQuietSince(time_point time) const {
    return unplanned_faults_ == 0 && quiet_since_ + kContactWindow < time;
  }
  void Check(const call_record& call, const answer_message& answer);
  void JudgeNotice(const std::string& host,
                   time_point since,
                   const std::string& what);
  // Stand-ins.
  task<> ReportServers();
  void PutServer(server_standin& server);
  void PutConfig(bool to_second_pool);
  // Faults (soak_faults.cc).
  task<> InjectFaults();
  task<> OneFault();
  task<> FaultHost();
  task<> KillHosts();
  task<> StopHosts();
  task<> ReloadHost();
  task<> FaultStore();
  task<> RestoreStore();
  task<> FaultServer();
  task<> ShedLoad();
  task<> LeaveAndReturn(server_standin& server);
  task<> FaultLink();
  task<> ChangeConfig();
  void Heal();
  int Draw(int below);
  std::string DataCentreOf(std::size_t host) const;
  void PrintCosts() const;

  soak_settings settings_;
  std::mt19937_64 random_;
  // Callers draw apart, so that faults replay whatever the callers see.
  std::mt19937_64 caller_random_;
  asio::io_context io_{1};
  std::unique_ptr<store_standin> store_;
  std::unique_ptr<fault_proxy> store_link_;
  run_log log_;
  std::vector<std::unique_ptr<server_standin>> servers_;
  std::vector<std::unique_ptr<fault_proxy>> links_;
  std::vector<entry_process> hosts_;
  std::unique_ptr<balancer> balancer_;
  std::vector<std::shared_ptr<soak_caller>> idle_callers_;
  // By route: reading, paying.
  std::array<std::vector<time_point>, 2> call_times_;
  // The most repeats of a window, as a part of what is allowed.
  double most_repeats_ = 0;
  int unplanned_faults_ = 0;
  time_point quiet_since_{};
  violations broken_;
  std::vector<std::string> not_run_ids_;
  std::vector<std::string> once_ids_;
  int version_ = 0;
  // The newest configuration, as it was written.
  std::string config_;
  bool is_second_pool_ = false;
  time_point config_at_{};
  time_point store_calm_at_{};
  time_point ends_{};
  time_point heal_at_{};
  int served_at_end_ = 0;
  int calls_at_end_ = 0;
  int calls_ = 0;
  int served_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_SOAK_WORLD_H_
