// Cancels attempts whose caller has gone or whose deadline has passed.
#ifndef DOTTERELLEAD_ATTEMPT_WATCHER_H_
#define DOTTERELLEAD_ATTEMPT_WATCHER_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>

#include "dotterellead/proxy.h"

namespace dotterellead {

// One thread checks all attempts in progress every kInterval; it sleeps while
// there are none. The library's own read timeout restarts with each byte, so it
// cannot bound a whole answer.
class attempt_watcher {
 public:
  static constexpr milliseconds kInterval{10};

  struct watched {
    http_connection* connection = nullptr;
    const http_peer* caller = nullptr;
    time_point deadline;
    bool cancel_with_caller = false;
  };

  explicit attempt_watcher(const clock_source& clock);
  ~attempt_watcher();

  // Watches until the returned guard ends. The connection and the caller
  // outlive the guard.
  class guard {
   public:
    guard(attempt_watcher& owner, const watched& w);
    ~guard();
    guard(const guard&) = delete;
    guard& operator=(const guard&) = delete;

   private:
    attempt_watcher& owner_;
    std::uint64_t number_;
  };

 private:
  void Run();
  void CheckAll();

  const clock_source& clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::uint64_t, watched> attempts_;
  std::uint64_t next_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ATTEMPT_WATCHER_H_
