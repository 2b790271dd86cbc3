// A small platform for the cases of this review: the store, instances,
// requesters and entry hosts, on loopback addresses and the real clock.
#ifndef REVIEW_STANDINS_3_WORLD_H_
#define REVIEW_STANDINS_3_WORLD_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace world {

using steady = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

// Milliseconds since the start of the program.
long Now();
void SleepMs(long t);
// Whether the disruption is left out (TROUBLE=0).
bool IsCalm();

// Lines of record.txt; the first word is the time in ms.
void OpenRecord(const std::string& path);
void Record(const std::string& line);

// A free port of 127.0.0.1.
int FreePort();

// ---- HTTP

struct http_message {
  std::string start;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::string Header(const std::string& name) const;
  int status() const;
  std::string method() const;
  std::string target() const;
};

// A connected socket with a read buffer.
class connection {
 public:
  explicit connection(int fd) : fd_(fd) {}
  ~connection();
  connection(const connection&) = delete;
  // Reads one message; false on end, error or after `timeout`.
  bool Read(http_message& m,
            long timeout,
            bool is_response,
            bool has_no_body = false);
  bool Write(const std::string& bytes);
  // Closes with a reset.
  void Reset();
  int fd() const { return fd_; }

 private:
  bool Fill(steady::time_point deadline);
  int fd_;
  std::string buffer_;
};

// Connects to 127.0.0.1; null on failure.
std::unique_ptr<connection> Connect(int port, long timeout);

// Accepts on 127.0.0.1:`port` and runs `serve` on a thread per connection.
class server {
 public:
  server(int port, std::function<void(connection&)> serve);
  ~server();

 private:
  void Run();
  int fd_;
  std::function<void(connection&)> serve_;
  std::thread thread_;
  std::atomic<bool> is_closed_ = false;
};

// ---- The platform's store

class store {
 public:
  explicit store(int port);
  // Appends a record; an absent value removes the key. Returns its offset.
  std::uint64_t Put(const std::string& topic,
                    const std::string& key,
                    const std::optional<std::string>& value);
  std::optional<std::string> Newest(const std::string& topic,
                                    const std::string& key);
  int port() const { return port_; }

 private:
  struct record {
    std::string key;
    std::optional<std::string> value;
  };
  struct log {
    std::vector<record> records;
    std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
  };
  void Serve(connection& c);
  std::string Answer(const http_message& request);
  std::uint64_t Append(log& l, record r);
  int port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, log> topics_;
  std::unique_ptr<server> server_;
};

// ---- Instances

struct instance_options {
  std::string id, service, zone = "z-a", version = "v1";
  int slots = 2;
  long work = 60;
};

// When instances began and ended to run a request; -1 if they did not.
struct run_times {
  int runs = 0;
  long began = -1, ended = -1;
  std::string by;
};
run_times RunsOf(const std::string& id);

// Runs requests; reports itself to the store every 1.5 s. The store removes its
// entry after three intervals of silence.
class instance {
 public:
  instance(store& s, instance_options o);
  ~instance();
  const std::string& id() const { return o_.id; }
  int port() const { return port_; }
  int runs() const { return runs_; }
  std::string Entry();
  // While it is cut off from the store, its reports do not arrive; it serves
  // on.
  void SetCutOff(bool is_cut_off) { is_cut_off_ = is_cut_off; }
  // When its latest report arrived, and when the store removed its entry; -1 if
  // it has one.
  long reported_at() const { return reported_at_; }
  long removed_at() const { return removed_at_; }

 private:
  void Serve(connection& c);
  store& store_;
  instance_options o_;
  int port_;
  long born_;
  std::atomic<int> running_ = 0, waiting_ = 0, runs_ = 0, sequence_ = 0;
  std::atomic<bool> is_ended_ = false, is_cut_off_ = false;
  std::atomic<long> reported_at_ = -1, removed_at_ = -1;
  std::thread reports_;
  std::unique_ptr<server> server_;
};

// ---- Entry hosts

struct host {
  std::string name, zone;
  int front = 0, ready = 0, control = 0, metrics = 0;
  int pid = -1;
  std::string settings_file;
};

// Writes the settings as the template platform/entry.conf has them and starts
// the program of the deploy file.
void StartHost(host& h,
               const std::vector<host>& all,
               int store_port,
               const std::string& folder);
// Writes the settings file of a host; `grace` is graceS.
void WriteSettings(const host& h,
                   const std::vector<host>& all,
                   int store_port,
                   int grace = 6);
// Ends the processes that StartHost started.
void EndHosts(std::vector<host>& hosts);
bool IsReady(const host& h);

// The operator's configuration: routes of one service each, below
// "h.example/NAME/".
struct route {
  std::string name, service, type;
  double timeout = 1.5, target = 0.5;
  int attempts = 2;
};
std::string Configuration(int version,
                          const std::vector<route>& routes,
                          const std::vector<std::string>& services);

// ---- Requesters

struct answer {
  int status = 0;  // 0: the connection ended or nothing came in time.
  std::string id;
  http_message message;
  long taken = 0;
};

// Free addresses for `count` hosts, each in the zone that `zone` names.
std::vector<host> MakeHosts(int count,
                            const std::function<std::string(int)>& zone);
// Waits until all hosts are ready; ends them and the program (2) after 15 s.
void AwaitReady(std::vector<host>& hosts);

// One requester attempt on a new connection.
answer Ask(const host& h,
           const std::string& route,
           long deadline,
           const std::string& method = "GET",
           const std::string& body = "");

}  // namespace world

#endif  // REVIEW_STANDINS_3_WORLD_H_
