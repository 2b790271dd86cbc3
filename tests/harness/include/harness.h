// Starts entry hosts and stand-ins as separate processes on loopback addresses
// of their own, for the system tests and the benchmark.
#ifndef DOTTERELLEAD_TESTS_HARNESS_H_
#define DOTTERELLEAD_TESTS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterellead/http.h"

namespace dotterellead::harness {

// A process that this one started. The destructor ends it by its id.
class child_process {
 public:
  // Standard error goes to `log_file`. Throws unavailable_error if it cannot be
  // started.
  child_process(const std::vector<std::string>& command,
                const std::vector<std::string>& environment,
                const std::string& log_file);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void Signal(int signal) const;
  // Returns the exit code, or 128 plus the signal; nullopt if it still runs
  // after `timeout`.
  std::optional<int> WaitForExit(milliseconds timeout);
  bool is_running();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  std::optional<int> exit_code_;
};

// Calls `condition` every 10 ms until it is true; false after `timeout`.
bool WaitFor(milliseconds timeout, const std::function<bool()>& condition);

// A version 7 UUID that is new in this process, created `age` ago.
std::string MakeKey(milliseconds age = milliseconds(0));

// What a backend server stand-in counted.
struct backend_ledger {
  int in_flight = 0;
  int max_in_flight = 0;
  int max_in_flight_cold = 0;
  int arrivals = 0;
  int runs = 0;
  int shed = 0;
  int exceeded = 0;
  int cold_exceeded = 0;
  int cancelled = 0;
  int probes = 0;
  std::int64_t last_arrival_ms = 0;
  std::map<std::string, int> runs_by_key;
};

struct server_group {
  std::string pool;
  std::string data_centre;
  std::string version = "v1";
  int count = 1;
  // JSON object as for the stand-in's /.control.
  std::string behaviour = "{}";
  // One process for each server, so that it can be killed alone.
  bool separate_processes = false;
  std::size_t threads = 64;
};

struct pool_shape {
  std::string name;
  int slots = 2;
  int cold_slots = 1;
  int max_run_ms = 2'000;
};

struct cluster_options {
  int entry_hosts = 3;
  // Entry hosts take these in turn.
  std::vector<std::string> data_centres = {"a", "b", "c"};
  std::vector<pool_shape> pools = {{.name = "pay"}};
  std::vector<server_group> servers;
  std::vector<std::string> entry_flags;
  std::vector<std::string> platform_flags;
  // Log files of all processes go here.
  std::string log_folder = "out";
};

struct server_handle {
  std::string pool;
  std::string data_centre;
  std::string version;
  socket_address address;
  std::size_t process = 0;
};

// A running system. Requests under /POOL/... go to that pool; GET is
// idempotent, POST is not.
class cluster {
 public:
  explicit cluster(cluster_options options);
  ~cluster();

  // Starts everything, declares the pools and waits until every entry host
  // serves them.
  void Start();

  std::size_t entry_host_count() const { return entry_hosts_.size(); }
  // Starts entry host `i` anew, after it ended.
  void RestartEntryHost(std::size_t i);
  child_process& entry_host(std::size_t i) { return *entry_hosts_[i]; }
  child_process& platform() { return *platform_; }
  child_process& backend_process(std::size_t i) { return *backends_[i]; }
  void RestartBackendProcess(std::size_t i);
  const std::vector<server_handle>& servers() const { return servers_; }

  socket_address caller_address(std::size_t i) const;
  socket_address operator_address(std::size_t i) const;
  socket_address platform_address() const;

  // One request to entry host `i` on a connection of its own.
  send_result Call(std::size_t i,
                   const std::string& method,
                   const std::string& target,
                   const http_headers& headers = {},
                   const std::string& body = "",
                   milliseconds timeout = milliseconds(10'000)) const;
  // One request to the operators' API of entry host `i`.
  send_result Operate(std::size_t i,
                      const std::string& method,
                      const std::string& target,
                      const std::string& body = "") const;
  // Applies one JSON resource through entry host `i`; tries again for 10 s
  // while unavailable. Throws protocol_error if it is not accepted.
  void Apply(const std::string& kind,
             const std::string& name,
             const std::string& spec,
             std::size_t i = 0) const;
  void SetDataCentreOut(const std::string& name,
                        bool out,
                        std::size_t i = 0) const;
  // Publishes the platform's host list: all entry hosts, and `leaving`.
  void PublishHostList(const std::vector<server_handle>& leaving = {}) const;

  backend_ledger Ledger(const server_handle& server) const;
  // Sum over all servers; maxima are maxima.
  backend_ledger TotalLedger() const;
  void ControlBackend(const server_handle& server,
                      const std::string& json) const;
  void ControlAllBackends(const std::string& json) const;
  void ControlPlatform(const std::string& json) const;

 private:
  void StartPlatform();
  void StartBackends();
  void StartBackendProcess(std::size_t process);
  std::unique_ptr<child_process> StartEntryHost(std::size_t i);
  void ApplyPools() const;
  bool ServesAllPools(std::size_t i) const;
  std::string Address(int group, int port) const;
  std::string PeerAddress(int i) const;

  cluster_options options_;
  int network_;
  std::unique_ptr<child_process> platform_;
  std::vector<std::unique_ptr<child_process>> backends_;
  std::vector<std::vector<std::string>> backend_commands_;
  std::vector<std::unique_ptr<child_process>> entry_hosts_;
  std::vector<server_handle> servers_;
};

}  // namespace dotterellead::harness

#endif  // DOTTERELLEAD_TESTS_HARNESS_H_
