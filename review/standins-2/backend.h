// A backend server ("instance" on the platform's pages).
#ifndef REVIEW_STANDINS_2_BACKEND_H_
#define REVIEW_STANDINS_2_BACKEND_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

#include "net.h"

namespace review {

struct backend_settings {
  std::string id;
  std::string pool;
  std::string zone;
  std::string version = "v1";
  int slots = 2;
  int queue = 4;
  milliseconds work{60};
  // The share of requests, of 100, that the server fails with status 500.
  int failed_percent = 0;
};

// One request that a server ran.
struct run_record {
  time_point at;
  std::string request;
  std::string server;
  std::string version;
  std::string method;
  std::string target;
  int status = 0;
};

class backend {
 public:
  using run_sink = std::function<void(run_record)>;

  backend(backend_settings settings, run_sink on_run);
  ~backend();
  // The server's entry in the store.
  std::string Entry();
  const backend_settings& settings() const { return settings_; }
  // From now on the server says that it leaves, and still serves.
  void Drain() { is_draining_ = true; }
  // Ends the server's process: its connections are reset, its port refuses new
  // ones. Returns the number of requests that it was running.
  int Crash();
  // Starts it again under its id and address.
  void Restart();
  bool is_up() const { return is_up_; }

 private:
  void Accept();
  void Serve(socket_handle socket, std::uint64_t life);
  // Returns an empty text if the server crashed meanwhile.
  std::string Answer(const message& request, std::uint64_t life);
  std::string Run(const message& request, std::uint64_t life);
  header_list CommonHeaders();

  backend_settings settings_;
  run_sink on_run_;
  int port_ = 0;
  std::mutex listener_mutex_;
  socket_handle listener_;
  std::int64_t born_ = 0;
  std::atomic<bool> is_draining_ = false;
  std::atomic<bool> is_up_ = true;
  // Counts the starts.
  std::atomic<std::uint64_t> life_ = 0;
  std::atomic<bool> is_stopped_ = false;
  std::mutex mutex_;
  std::condition_variable slot_freed_;
  // The sockets of the open connections.
  std::set<int> open_;
  int running_ = 0;
  int waiting_ = 0;
  std::uint64_t run_count_ = 0;
  std::uint64_t sequence_ = 0;
  std::thread accepting_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_BACKEND_H_
