// A small deployment on loopback: store, backend servers and entry hosts.
#ifndef REVIEW_STANDINS_2_WORLD_H_
#define REVIEW_STANDINS_2_WORLD_H_

#include <memory>

#include "backend.h"
#include "host.h"
#include "store.h"

namespace review {

struct route_row {
  std::string name;
  std::string prefix;
  // "idempotent" or "non_idempotent".
  std::string type;
  double timeout_s = 2;
  double target_s = 0.6;
  int max_attempts = 2;
  std::string pool;
};

// What a request's caller saw. Status 0 stands for a connection that ended
// without an answer.
struct call_result {
  time_point sent_at;
  time_point ended_at;
  std::string request;
  int status = 0;
  std::string body;
  std::string signature;
};

class world {
 public:
  // Writes the record of the case to `record_file`.
  explicit world(const std::string& record_file);
  ~world();

  store& platform() { return store_; }
  const std::string& folder() const { return folder_; }
  // Adds a server and its entry. Entries are written again every 1.5 s.
  backend& AddBackend(backend_settings settings);
  // Stops writing the entry of a server, and removes it.
  void RemoveBackend(const backend& server);
  // Writes the entry at once.
  void Report(backend& server);
  host& AddHost(const std::string& name,
                const std::string& zone,
                int memory_mb = 260);
  // Starts all hosts with the first three as seeds; false if one is not ready
  // in time.
  bool StartHosts();
  std::vector<std::unique_ptr<host>>& hosts() { return hosts_; }
  void PutConfig(const std::vector<route_row>& routes,
                 int max_header_bytes = 16'384);

  // Sends a request on a new connection.
  call_result Call(int port,
                   const std::string& method,
                   const std::string& path,
                   milliseconds deadline,
                   const std::string& body = "");
  std::vector<run_record> runs();

  // Writes one line with the time since the start.
  void Note(const std::string& text);
  double SecondsSinceStart() const;

 private:
  void ReportAll();

  std::string folder_;
  int record_ = -1;
  time_point began_ = clock::now();
  std::mutex mutex_;
  std::vector<run_record> runs_;
  std::uint64_t calls_ = 0;
  std::uint64_t config_version_ = 0;
  store store_;
  std::vector<std::unique_ptr<backend>> backends_;
  std::vector<const backend*> unlisted_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::atomic<bool> is_stopped_ = false;
  std::thread reports_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_WORLD_H_
