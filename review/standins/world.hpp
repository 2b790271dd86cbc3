// A small deployment on loopback addresses: entry hosts as processes, and
// stand-ins for the platform's store, its balancer, instances and requesters.
// The stand-ins do what PROTOCOL.md says.
#ifndef REVIEW_STANDINS_WORLD_HPP_
#define REVIEW_STANDINS_WORLD_HPP_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "net.hpp"

namespace standins {

// ---- Record of what was sent, answered and run

// Thread-safe; written to a file at the end.
class event_record {
 public:
  void Add(const std::string& line);
  void Write(const std::string& path) const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::pair<double, std::string>> lines_;
};

// ---- The platform's store

// A log with keyed topics, partition 0 only.
class store {
 public:
  store();
  // Appends a record; an empty value drops the key. Returns its offset.
  std::uint64_t Put(const std::string& topic,
                    const std::string& key,
                    const std::string& value);
  // The newest value of a key; empty if none.
  std::string Newest(const std::string& topic, const std::string& key);
  const address& at() const { return at_; }
  // Time after which an idle connection is closed; the pages set none.
  double idle_timeout_s = 120;
  // While set, each call gets 503 and nothing is done.
  std::atomic<bool> is_down = false;

 private:
  struct record {
    std::string key;
    std::string value;
  };
  struct topic_log {
    std::vector<record> records;
    std::map<std::string, std::uint64_t> newest;
  };
  // As Put, with `mutex_` held.
  std::uint64_t Append(const std::string& topic,
                       const std::string& key,
                       const std::string& value);
  void Serve(connection& caller);
  std::string Answer(const http_message& request);

  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::string, topic_log> topics_;
  address at_;
  std::unique_ptr<listener> listener_;
};

// ---- Instances

struct instance_settings {
  std::string service = "pay";
  std::string zone = "zone-a";
  std::string version = "v1";
  int slots = 2;
  int queue = 4;
  // Time that a request takes, drawn from this range.
  double min_work_s = 0.05;
  double max_work_s = 0.05;
  // How long it stays cold after its start.
  double warmup_s = 0;
};

// What all instances of a deployment have seen of one requester attempt.
struct attempt_runs {
  int arrivals = 0;
  int runs = 0;
  int finished = 0;
  // Of the instance that ran it last.
  std::string version;
  // Of the latest arrival.
  std::string instance;
  double arrived_at = 0;
};

// What the instances have seen. Thread-safe.
class run_ledger {
 public:
  void Arrived(const std::string& attempt, const std::string& instance);
  void Started(const std::string& attempt,
               const std::string& instance,
               const std::string& version);
  void Finished(const std::string& attempt, int status);
  attempt_runs Of(const std::string& attempt) const;
  // Times at which a version began to work on a request, and gave failures.
  std::vector<double> StartsOf(const std::string& version) const;
  std::vector<double> FailuresOf(const std::string& version) const;
  void Failed(const std::string& version);

 private:
  mutable std::mutex mutex_;
  std::map<std::string, attempt_runs> attempts_;
  std::map<std::string, std::vector<double>> starts_;
  std::map<std::string, std::vector<double>> failures_;
};

class instance {
 public:
  instance(store& registry,
           run_ledger& ledger,
           event_record& record,
           std::string id,
           instance_settings settings);
  ~instance();
  // Stops registering and refuses connections from now on.
  void Stop();
  // Reports that it is draining; health checks fail from now on.
  void StartDraining();
  // Crashes; it is back, with a new start time, after `down_s`.
  void Crash(double down_s);
  const std::string& id() const { return id_; }
  // Whether it is cold at a time.
  bool IsColdAt(double time) const { return time < cold_until_; }
  // Requests with this path crash it.
  std::string crashing_path;
  // Share of the requests that end with a 500.
  std::atomic<double> failing_share = 0;

 private:
  void Serve(connection& caller, int life);
  void Register();
  void Open();
  std::string Load();
  void Report();

  store& registry_;
  run_ledger& ledger_;
  event_record& record_;
  std::string id_;
  instance_settings settings_;
  address at_;
  std::mutex mutex_;
  std::condition_variable slot_free_;
  std::mt19937 random_;
  int running_ = 0;
  int waiting_ = 0;
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::atomic<int> life_ = 0;
  std::atomic<bool> is_stopped_ = false;
  std::atomic<bool> is_draining_ = false;
  std::atomic<double> back_at_ = 0;
  std::atomic<double> cold_until_ = 0;
  std::unique_ptr<listener> listener_;
  std::thread reporting_;
};

// ---- Entry hosts

struct host_settings {
  std::string name;
  std::string zone = "zone-a";
};

// A process of the program that the deploy file names. It ends with this
// object.
class entry_host {
 public:
  entry_host(host_settings settings, std::string ip, std::string folder);
  ~entry_host();
  // `lines` are settings beyond the addresses.
  void Start(const address& store_at,
             const std::vector<address>& seeds,
             bool is_first_start);
  void Signal(int signal);
  // Whether the process runs; collects its exit status.
  bool IsRunning();
  // Exit status as of waitpid, once it has ended.
  int exit_status() const { return exit_status_; }

  const host_settings& settings() const { return settings_; }
  address front, ready, control, metrics;

 private:
  host_settings settings_;
  std::string folder_;
  std::atomic<pid_t> pid_ = -1;
  int exit_status_ = 0;
};

// ---- The platform's balancer

// Asks each host once a second whether it is ready and chooses the host of a
// new connection.
class balancer {
 public:
  explicit balancer(std::vector<std::unique_ptr<entry_host>>& hosts);
  ~balancer();
  // The host for a new connection from a zone; `draw` is the hash of the
  // requester.
  entry_host& Choose(const std::string& zone, std::uint64_t draw);
  bool IsInRotation(std::size_t host) const { return in_rotation_[host]; }

 private:
  void Check(std::size_t host);

  std::vector<std::unique_ptr<entry_host>>& hosts_;
  std::vector<std::atomic<bool>> in_rotation_;
  std::atomic<bool> is_stopped_ = false;
  std::vector<std::thread> checking_;
};

// ---- Requesters

// How one requester attempt ended.
struct attempt_result {
  std::string id;
  std::string host;
  double sent_at = 0;
  double ended_at = 0;
  // 0: the connection could not be opened.
  bool is_connected = false;
  // Status of a complete answer; 0 if there was none.
  int status = 0;
  // The connection ended, or its deadline passed, without a complete answer.
  bool is_cut = false;
  bool is_timed_out = false;
  std::string signature;
  std::string answer_id;
  std::string body;
  std::string text() const;
};

struct attempt_settings {
  std::string method = "POST";
  std::string host = "shop.example";
  std::string path = "/pay/x";
  std::string body = "order";
  double deadline_s = 2;
};

// Sends one request on `kept`, or on a new connection if it is closed, and
// waits for the answer. `kept` stays open if the answer permits it.
attempt_result SendAttempt(entry_host& host,
                           connection& kept,
                           const attempt_settings& settings);

// ---- A whole deployment

struct deployment_settings {
  std::vector<host_settings> hosts;
  std::vector<instance_settings> instances;
  // The first hosts are the seeds of all; by default they are spread over the
  // list.
  bool are_seeds_first = false;
  // Type of the route /pay/, and its timeoutS.
  std::string route_type = "non_idempotent";
  double timeout_s = 2;
  int max_attempts = 3;
  double latency_target_s = 1.5;
  // True if the whole system starts for the first time.
  bool is_first_start = true;
};

class deployment {
 public:
  // `folder` is temporary and holds settings files and logs.
  deployment(deployment_settings settings, std::string folder);
  ~deployment();
  // Starts everything and waits until each host is ready. Throws
  // std::runtime_error if that takes too long.
  void Start();
  void RestartHost(std::size_t i);
  // Starts hosts anew, as the platform does, a third of a second after they
  // have ended, unless their name is in `gone`.
  void KeepHostsRunning();
  // Writes a configuration in which `service` serves the route.
  void PutConfiguration(int version, const std::string& service);
  instance& AddInstance(instance_settings settings);
  // Orders that the traffic of `service` move to `version`.
  void OrderMove(const std::string& service,
                 const std::string& version,
                 double duration_s);
  // The state that the system has written for the newest order; empty if none.
  std::string MoveState(const std::string& service, const std::string& version);

  event_record record;
  run_ledger ledger;
  store registry;
  std::vector<std::unique_ptr<entry_host>> hosts;
  std::vector<std::unique_ptr<instance>> instances;
  std::unique_ptr<balancer> rotation;
  std::set<std::string> gone;

 private:
  std::vector<address> Seeds() const;

  deployment_settings settings_;
  std::string folder_;
  int instance_count_ = 0;
  std::atomic<bool> is_stopping_ = false;
  std::thread restarting_;
};

// Whether the script runs with its disruption (TROUBLE is not 0).
bool HasTrouble();

// A new attempt id.
std::string NewAttemptId();

// Runs `scenario` with the record's path and a temporary folder from the
// command line. Returns the exit code of a case: 1 if the scenario returns
// false (the rule was broken), 0 if it held, 2 if it could not run.
int RunCase(int argc,
            char** argv,
            bool (*scenario)(const std::string& folder,
                             const std::string& record_path));

}  // namespace standins

#endif  // REVIEW_STANDINS_WORLD_HPP_
