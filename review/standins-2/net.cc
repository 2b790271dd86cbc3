#include "net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace review {

namespace {

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

void SetTimeouts(int fd, milliseconds timeout) {
  const timeval value{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof(value));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::vector<std::string> Lines(const std::string& head) {
  std::vector<std::string> lines;
  std::size_t at = 0;
  while (at < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", at), head.size());
    lines.push_back(head.substr(at, end - at));
    at = end + 2;
  }
  return lines;
}

message ParseHead(const std::string& head) {
  message parsed;
  const std::vector<std::string> lines = Lines(head);
  const std::string& line = lines.at(0);
  const std::size_t a = line.find(' ');
  const std::size_t b = line.find(' ', a + 1);
  parsed.first = line.substr(0, a);
  parsed.second = line.substr(a + 1, b - a - 1);
  parsed.third = b == std::string::npos ? "" : line.substr(b + 1);
  for (std::size_t i = 1; i < lines.size(); ++i) {
    const std::size_t colon = lines[i].find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = lines[i].find_first_not_of(' ', colon + 1);
    parsed.headers[Lower(lines[i].substr(0, colon))] =
        value == std::string::npos ? "" : lines[i].substr(value);
  }
  return parsed;
}

}  // namespace

socket_handle::~socket_handle() {
  if (fd_ >= 0)
    close(fd_);
}

std::string message::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

socket_handle Listen(int& port) {
  socket_handle listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof(address);
  constexpr int kBacklog = 1024;
  if (bind(listener.fd(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener.fd(), kBacklog) != 0)
    throw std::runtime_error("cannot listen on port " + std::to_string(port));
  getsockname(listener.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return listener;
}

socket_handle Connect(int port, milliseconds timeout) {
  socket_handle made(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  SetTimeouts(made.fd(), timeout);
  sockaddr_in address = Loopback(port);
  if (connect(made.fd(), reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0)
    return {};
  return made;
}

socket_handle Accept(const socket_handle& listener, milliseconds timeout) {
  pollfd waiting{listener.fd(), POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0)
    return {};
  socket_handle accepted(
      accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
  constexpr milliseconds kIdleTimeout{10'000};
  if (accepted.is_open())
    SetTimeouts(accepted.fd(), kIdleTimeout);
  return accepted;
}

bool WriteAll(const socket_handle& socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(socket.fd(), bytes.data() + sent,
                           bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

bool message_reader::ReadMore() {
  std::array<char, 16384> bytes;
  const ssize_t n = recv(socket_.fd(), bytes.data(), bytes.size(), 0);
  if (n <= 0)
    return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(n));
  return true;
}

std::optional<message> message_reader::Read() {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    if (!ReadMore())
      return std::nullopt;
  message read = ParseHead(buffer_.substr(0, end + 2));
  buffer_.erase(0, end + 4);
  const std::size_t length =
      std::strtoull(read.Header("content-length").c_str(), nullptr, 10);
  while (buffer_.size() < length)
    if (!ReadMore())
      return std::nullopt;
  read.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return read;
}

std::string FormatResponse(int status,
                           const header_list& headers,
                           const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text + body;
}

std::optional<message> Exchange(int port,
                                const std::string& request,
                                milliseconds timeout) {
  const socket_handle socket = Connect(port, timeout);
  if (!socket.is_open() || !WriteAll(socket, request))
    return std::nullopt;
  message_reader reader(socket);
  return reader.Read();
}

}  // namespace review
