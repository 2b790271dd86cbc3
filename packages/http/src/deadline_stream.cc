#include "deadline_stream.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <limits>

#include "dotterellead/unsent_bytes.h"

namespace dotterellead {

namespace {

bool HasProblem(int socket) {
  int problem = 0;
  socklen_t size = sizeof(problem);
  getsockopt(socket, SOL_SOCKET, SO_ERROR, &problem, &size);
  return problem != 0;
}

void SetLastError(error_code& ec) {
  ec.assign(errno, boost::system::system_category());
}

}  // namespace

bool deadline_stream::Connect(const socket_address& remote,
                              milliseconds timeout) {
  Close();
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(remote.port);
  inet_pton(AF_INET, remote.ip.c_str(), &to.sin_addr);
  {
    std::lock_guard lock(mutex_);
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  }
  if (socket_ < 0)
    return false;
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  (void)connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to));
  if (Wait(POLLOUT, timeout) != 0 && !HasProblem(socket_))
    return true;
  Close();
  return false;
}

void deadline_stream::Close() {
  std::lock_guard lock(mutex_);
  if (socket_ >= 0)
    close(socket_);
  socket_ = -1;
}

void deadline_stream::Cancel() {
  std::lock_guard lock(mutex_);
  if (socket_ < 0)
    return;
  DiscardUnsentOnClose(socket_);
  shutdown(socket_, SHUT_RDWR);
}

short deadline_stream::Wait(short events, milliseconds timeout) const {
  pollfd state{socket_, events, 0};
  return poll(&state, 1, static_cast<int>(timeout.count())) > 0
             ? state.revents
             : static_cast<short>(0);
}

std::size_t deadline_stream::Read(const asio::mutable_buffer& buffer,
                                  error_code& ec) {
  ec = {};
  while (!ec) {
    WaitUntilDeadline(POLLIN, ec);
    if (ec)
      break;
    const ssize_t size =
        recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0)
      return static_cast<std::size_t>(size);
    if (size == 0)
      ec = asio::error::eof;
    else if (errno != EAGAIN && errno != EINTR)
      SetLastError(ec);
  }
  return 0;
}

std::size_t deadline_stream::Write(const asio::const_buffer& buffer,
                                   error_code& ec) {
  ec = {};
  while (!ec) {
    WaitUntilDeadline(POLLOUT, ec);
    if (ec)
      break;
    const ssize_t size = send(socket_, buffer.data(), buffer.size(),
                              MSG_DONTWAIT | MSG_NOSIGNAL);
    if (size >= 0)
      return static_cast<std::size_t>(size);
    if (errno != EAGAIN && errno != EINTR)
      SetLastError(ec);
  }
  return 0;
}

void deadline_stream::WaitUntilDeadline(short events, error_code& ec) const {
  constexpr milliseconds kLongestWait{std::numeric_limits<int>::max()};
  const auto left = std::chrono::ceil<milliseconds>(
      deadline_ - std::chrono::steady_clock::now());
  if (left <= milliseconds(0) ||
      Wait(events, std::min(left, kLongestWait)) == 0)
    ec = asio::error::timed_out;
}

}  // namespace dotterellead
