#include "net.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>

namespace standins {

namespace {

sockaddr_in ToSocketAddress(const address& a) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(a.port));
  inet_pton(AF_INET, a.ip.c_str(), &result.sin_addr);
  return result;
}

bool WaitForEvent(int fd, short events, double deadline) {
  while (true) {
    const double left = deadline - Now();
    if (left <= 0)
      return false;
    pollfd entry{fd, events, 0};
    const int ready = poll(&entry, 1, static_cast<int>(left * 1000) + 1);
    if (ready > 0)
      return true;
    if (ready < 0 && errno != EINTR)
      return false;
  }
}

int MakeSocket() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    throw std::runtime_error("cannot make a socket");
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

}  // namespace

double Now() {
  using std::chrono::steady_clock;
  static const steady_clock::time_point start = steady_clock::now();
  return std::chrono::duration<double>(steady_clock::now() - start).count();
}

void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

int FreePort(const std::string& ip) {
  const int fd = MakeSocket();
  sockaddr_in at = ToSocketAddress({ip, 0});
  socklen_t size = sizeof at;
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
    throw std::runtime_error("no free port at " + ip);
  close(fd);
  return ntohs(at.sin_port);
}

std::string http_message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers)
    if (strcasecmp(key.c_str(), name.c_str()) == 0)
      return value;
  return {};
}

bool http_message::HasHeader(const std::string& name) const {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& header) {
    return strcasecmp(header.first.c_str(), name.c_str()) == 0;
  });
}

int http_message::status() const {
  return start.starts_with("HTTP/1.") && start.size() >= 12
             ? std::atoi(start.c_str() + 9)
             : 0;
}

std::string http_message::method() const {
  return start.substr(0, start.find(' '));
}

std::string http_message::target() const {
  const std::size_t from = start.find(' ') + 1;
  return start.substr(from, start.find(' ', from) - from);
}

std::string http_message::Format() const {
  std::string text = start + "\r\n";
  for (const auto& [key, value] : headers)
    text += key + ": " + value + "\r\n";
  if (!HasHeader("Content-Length"))
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

bool connection::Connect(const address& to, double deadline) {
  Close();
  buffer_.clear();
  fd_ = MakeSocket();
  fcntl(fd_, F_SETFL, O_NONBLOCK);
  const sockaddr_in peer = ToSocketAddress(to);
  if (connect(fd_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) !=
      0) {
    int problem = 0;
    socklen_t size = sizeof problem;
    if (errno != EINPROGRESS || !WaitForEvent(fd_, POLLOUT, deadline) ||
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 ||
        problem != 0) {
      Close();
      return false;
    }
  }
  return true;
}

bool connection::Fill(double deadline) {
  if (fd_ < 0 || !WaitForEvent(fd_, POLLIN, deadline))
    return false;
  char bytes[16384];
  const ssize_t size = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
  if (size <= 0)
    return size < 0 && (errno == EAGAIN || errno == EINTR);
  buffer_.append(bytes, static_cast<std::size_t>(size));
  return true;
}

bool connection::Read(http_message& message, double deadline, bool is_request) {
  std::size_t head_end;
  while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos)
    if (!Fill(deadline))
      return false;
  message = {};
  std::size_t at = 0;
  while (at < head_end) {
    const std::size_t line_end = std::min(buffer_.find("\r\n", at), head_end);
    const std::string line = buffer_.substr(at, line_end - at);
    at = line_end + 2;
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    std::size_t value = colon == line.npos ? line.size() : colon + 1;
    while (value < line.size() && line[value] == ' ')
      ++value;
    message.headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
  const std::size_t body_at = head_end + 4;
  const int status = message.status();
  if (!is_request && (status == 204 || status == 304)) {
    buffer_.erase(0, body_at);
    return true;
  }
  const std::size_t size =
      std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer_.size() < body_at + size)
    if (!Fill(deadline))
      return false;
  message.body = buffer_.substr(body_at, size);
  buffer_.erase(0, body_at + size);
  return true;
}

bool connection::Write(const std::string& bytes) {
  std::size_t sent = 0;
  const double deadline = Now() + 10;
  while (fd_ >= 0 && sent < bytes.size()) {
    const ssize_t size = send(fd_, bytes.data() + sent, bytes.size() - sent,
                              MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size > 0)
      sent += static_cast<std::size_t>(size);
    else if (errno != EAGAIN || !WaitForEvent(fd_, POLLOUT, deadline))
      return false;
  }
  return fd_ >= 0;
}

bool connection::IsClosedByPeer() {
  if (fd_ < 0)
    return true;
  char byte;
  const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::Close() {
  if (fd_ >= 0)
    close(fd_);
  fd_ = -1;
}

void connection::Reset() {
  const linger now{1, 0};
  if (fd_ >= 0)
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  Close();
}

struct listener::state {
  int fd = -1;
  std::atomic<bool> is_stopped = false;
  std::thread accepting;
};

listener::listener(const address& at, std::function<void(connection&)> serve)
    : state_(std::make_shared<state>()) {
  state_->fd = MakeSocket();
  const int on = 1;
  setsockopt(state_->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in own = ToSocketAddress(at);
  if (bind(state_->fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) !=
          0 ||
      listen(state_->fd, 1024) != 0)
    throw std::runtime_error("cannot listen on " + at.text());
  state_->accepting = std::thread([s = state_, serve = std::move(serve)] {
    while (!s->is_stopped) {
      if (!WaitForEvent(s->fd, POLLIN, Now() + 0.02))
        continue;
      const int fd = accept4(s->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int no_delay = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
      std::thread([fd, serve] {
        connection accepted(fd);
        serve(accepted);
      }).detach();
    }
  });
}

listener::~listener() {
  Stop();
}

void listener::Stop() {
  if (state_->is_stopped.exchange(true))
    return;
  state_->accepting.join();
  close(state_->fd);
}

}  // namespace standins
