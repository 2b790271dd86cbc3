// Event loop on its own thread, for duties that do I/O.
#ifndef DOTTERELLEAD_EVENT_LOOP_H_
#define DOTTERELLEAD_EVENT_LOOP_H_

#include <pthread.h>

#include <thread>

#include "dotterellead/core.h"
#include "dotterellead/net.h"

namespace dotterellead {

// Owns an io_context and the thread that runs it.
class event_loop {
 public:
  ~event_loop() { Stop(); }
  asio::io_context& io() { return io_; }

  // Runs the loop on a thread; `name` has at most 15 characters. A handler that
  // throws is reported, and the loop goes on.
  void Start(const char* name) {
    thread_ = std::thread([this, name] { Run(name); });
    pthread_setname_np(thread_.native_handle(), name);
  }
  // Ends the thread. Pending handlers are not run.
  void Stop() {
    io_.stop();
    if (thread_.joinable())
      thread_.join();
  }

 private:
  void Run(const char* name) {
    while (!io_.stopped()) {
      try {
        io_.run();
      } catch (const std::exception& e) {
        ReportUnexpectedError(name, e.what());
      }
    }
  }

  asio::io_context io_{1};
  std::thread thread_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_EVENT_LOOP_H_
