#include <poll.h>
#include <sys/socket.h>

#include "service_impl.h"

namespace dotterellead::traffic {

namespace {

// How often a connection with unread bytes is checked. The event loop cannot
// wait for its close alone: the bytes complete each wait for input at once.
constexpr milliseconds kUnreadCheckInterval{100};
// Interval between attempts to notify the dispatcher while its ring is full.
constexpr milliseconds kNotifyInterval{10};

}  // namespace

caller_state CallerStateOf(tcp::socket& socket) {
  // Unread bytes do not hide a close from poll, as they do from recv.
  pollfd state{socket.native_handle(), POLLIN | POLLRDHUP, 0};
  if (::poll(&state, 1, 0) <= 0)
    return caller_state::kSilent;
  if ((state.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0)
    return caller_state::kLeft;
  char byte = 0;
  const ssize_t received =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0)
    return caller_state::kHasSentMore;
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)
             ? caller_state::kSilent
             : caller_state::kLeft;
}

task<> traffic_service::impl::WatchCaller(
    std::shared_ptr<beast::tcp_stream> stream,
    request_id id,
    std::weak_ptr<open_request> weak,
    std::shared_ptr<asio::steady_timer> recheck) {
  error_code ec;
  while (!ec) {
    const caller_state state = CallerStateOf(stream->socket());
    {
      const open_request_ptr open = weak.lock();
      if (!open || open->is_finished)
        co_return;
      if (state == caller_state::kLeft) {
        open->is_finished = true;
        open->finished.cancel();
        break;
      }
    }
    if (state == caller_state::kHasSentMore) {
      recheck->expires_after(kUnreadCheckInterval);
      co_await recheck->async_wait(Resume(ec));
    } else {
      co_await stream->socket().async_wait(tcp::socket::wait_read, Resume(ec));
    }
  }
  if (!ec)
    co_await ReportDisconnect(id);
}

task<> traffic_service::impl::ReportDisconnect(request_id id) {
  asio::steady_timer pause(io_);
  error_code ec;
  while (!ec && open_requests_.contains(id) &&
         !post_(dispatch::caller_disconnected{id})) {
    pause.expires_after(kNotifyInterval);
    co_await pause.async_wait(Resume(ec));
  }
}

}  // namespace dotterellead::traffic
