// `dotterellead entry` between callers and servers of the test.
#ifndef TESTS_DISCONNECTS_ENTRY_ENVIRONMENT_H_
#define TESTS_DISCONNECTS_ENTRY_ENVIRONMENT_H_

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"
#include "store_standin.h"
#include "watched_server.h"

namespace dotterellead::disconnects {

// One host and two pools of servers: "wide" has a slot for each request of the
// test, "narrow" has two in all.
class entry_environment {
 public:
  entry_environment(const std::string& binary, bool servers_drop_at_close);
  ~entry_environment();
  entry_environment(const entry_environment&) = delete;
  entry_environment& operator=(const entry_environment&) = delete;

  // False if the host does not serve both pools.
  bool AwaitServing();
  // A caller's connection with these bytes sent; the caller closes it.
  int Connect(const std::string& bytes) const;
  const run_log& log() const { return log_; }
  // Whether a server has worked on more requests than it has slots.
  bool has_exceeded_slots() const;
  const harness::child_process& host() const { return *host_; }

 private:
  void PutConfig();
  task<> ReportServers();
  void StartHost(const std::string& binary);
  bool IsServed(const std::string& pool) const;
  socket_address Address(int offset) const;

  asio::io_context io_;
  const int port_;
  const std::string settings_file_;
  soak::store_standin store_;
  run_log log_;
  std::vector<std::unique_ptr<watched_server>> servers_;
  std::unique_ptr<harness::child_process> host_;
  std::thread thread_;
};

// A request of a caller that waits for up to four seconds.
std::string Request(const std::string& method,
                    const std::string& path,
                    const std::string& id,
                    std::size_t body = 0,
                    bool is_chunked = false);

}  // namespace dotterellead::disconnects

#endif  // TESTS_DISCONNECTS_ENTRY_ENVIRONMENT_H_
