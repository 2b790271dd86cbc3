// Bounded queue that is read by an event loop.
#ifndef DOTTERELLEAD_MAILBOX_H_
#define DOTTERELLEAD_MAILBOX_H_

#include <atomic>
#include <functional>
#include <utility>

#include "dotterellead/core.h"
#include "dotterellead/net.h"

namespace dotterellead {

// Any thread may push; `handle` is called for each element on the event loop's
// thread. If the ring is full the caller blocks for at most kPushTimeout, after
// which the element is dropped and the event "mailbox-full" is logged.
template <class T>
class mailbox {
 public:
  mailbox(asio::io_context& io,
          std::string name,
          std::size_t capacity,
          std::function<void(T&)> handle)
      : io_(io),
        name_(std::move(name)),
        ring_(capacity),
        handle_(std::move(handle)) {}

  // Returns false if the element was dropped.
  bool Push(T element) {
    if (!ring_.PushUntil(std::move(element),
                         std::chrono::steady_clock::now() + kPushTimeout)) {
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
  // The event loop drains the ring without blocking, so it is full only
  // briefly.
  static constexpr milliseconds kPushTimeout{500};

  void Drain() {
    is_wake_pending_ = false;
    while (std::optional<T> element = ring_.PopUntil(time_point::min()))
      handle_(*element);
  }

  asio::io_context& io_;
  std::string name_;
  bounded_ring<T> ring_;
  std::function<void(T&)> handle_;
  std::atomic<bool> is_wake_pending_ = false;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MAILBOX_H_
