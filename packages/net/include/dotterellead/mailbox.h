// Bounded ring whose reader is an event loop.
#ifndef DOTTERELLEAD_MAILBOX_H_
#define DOTTERELLEAD_MAILBOX_H_

#include <atomic>
#include <functional>
#include <utility>

#include "dotterellead/core.h"
#include "dotterellead/net.h"

namespace dotterellead {

// Other threads push; `take` is called for each element on the event loop's
// thread. A full ring makes the pusher wait for at most kRoomWait, after which
// the element is dropped with a log line.
template <class T>
class mailbox {
 public:
  mailbox(asio::io_context& io,
          std::string name,
          std::size_t capacity,
          std::function<void(T&)> take)
      : io_(io),
        name_(std::move(name)),
        ring_(capacity),
        take_(std::move(take)) {}

  bool Push(T element) {
    if (!ring_.PushUntil(std::move(element),
                         std::chrono::steady_clock::now() + kRoomWait)) {
      if (!ring_.is_closed())
        LogEvent(log_level::kError, "mailbox-full", {{"mailbox", name_}});
      return false;
    }
    if (!is_wake_pending_.exchange(true))
      asio::post(io_, [this] { Drain(); });
    return true;
  }

  void Close() { ring_.Close(); }

 private:
  // An event loop empties its mailbox without blocking.
  static constexpr milliseconds kRoomWait{500};

  void Drain() {
    is_wake_pending_ = false;
    while (std::optional<T> element = ring_.PopUntil(time_point::min()))
      take_(*element);
  }

  asio::io_context& io_;
  std::string name_;
  bounded_ring<T> ring_;
  std::function<void(T&)> take_;
  std::atomic<bool> is_wake_pending_ = false;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MAILBOX_H_
