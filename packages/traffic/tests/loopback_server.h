// Backend server on loopback whose responses come from a script.
#ifndef DOTTERELLEAD_TRAFFIC_TESTS_LOOPBACK_SERVER_H_
#define DOTTERELLEAD_TRAFFIC_TESTS_LOOPBACK_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace dotterellead::traffic {

// Minimal blocking socket for tests.
class test_socket {
 public:
  explicit test_socket(int fd = -1) : fd_(fd) {}
  test_socket(test_socket&& other) noexcept : fd_(other.fd_) { other.fd_ = -1; }
  test_socket(const test_socket&) = delete;
  test_socket& operator=(const test_socket&) = delete;
  ~test_socket() {
    if (fd_ >= 0)
      close(fd_);
  }
  static test_socket Connect(int port) {
    test_socket s(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in to = Address(port);
    const timeval limit{5, 0};
    setsockopt(s.fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (connect(s.fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
      return test_socket();
    return s;
  }
  static sockaddr_in Address(int port) {
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    return a;
  }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Write(const std::string& text) const {
    std::size_t done = 0;
    while (done < text.size()) {
      const ssize_t n =
          send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0)
        return;
      done += static_cast<std::size_t>(n);
    }
  }
  // Reads one message with a Content-Length, or everything until the connection
  // ends.
  std::string ReadMessage() {
    while (true) {
      const std::size_t end = unread_.find("\r\n\r\n");
      if (end != std::string::npos) {
        std::size_t size = end + 4;
        const std::size_t field = unread_.find("Content-Length: ");
        if (field != std::string::npos && field < end)
          size += std::stoul(unread_.substr(field + 16));
        if (unread_.size() >= size) {
          std::string message = unread_.substr(0, size);
          unread_.erase(0, size);
          return message;
        }
      }
      char part[4096];
      const ssize_t n = recv(fd_, part, sizeof part, 0);
      if (n <= 0)
        return std::exchange(unread_, {});
      unread_.append(part, static_cast<std::size_t>(n));
    }
  }

 private:
  int fd_;
  std::string unread_;
};

// Receives the text of a request and returns the bytes to send; empty to close
// the connection without a response.
using server_script = std::function<std::string(const std::string& request)>;

// Bytes that a server sends again and again, after a response of its script
// that ends with kEndless, until the connection is closed.
inline constexpr std::string_view kEndless = "<endless>";
// The connection is closed after a response of its script that ends with this.
inline constexpr std::string_view kCut = "<cut>";

class loopback_server {
 public:
  loopback_server(int port, server_script script)
      : script_(std::move(script)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(listener_.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in a = test_socket::Address(port);
    ok_ = bind(listener_.fd(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    listen(listener_.fd(), 64);
    thread_ = std::thread([this] { Accept(); });
  }
  ~loopback_server() {
    shutdown(listener_.fd(), SHUT_RDWR);
    thread_.join();
    for (const int fd : open_)
      shutdown(fd, SHUT_RDWR);
    for (std::thread& t : serving_)
      t.join();
  }
  bool ok() const { return ok_; }
  int connections() const { return connections_; }
  // What follows a response that ends with kEndless, with a pause after each.
  void SetEndless(std::string part, std::chrono::milliseconds pause) {
    endless_ = std::move(part);
    pause_ = pause;
  }
  std::uint64_t endless_bytes() const { return endless_bytes_; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept(listener_.fd(), nullptr, nullptr);
      if (fd < 0)
        return;
      ++connections_;
      open_.push_back(fd);
      serving_.emplace_back([this, fd] { Serve(fd); });
    }
  }
  void Serve(int fd) {
    test_socket s(dup(fd));
    while (true) {
      const std::string request = s.ReadMessage();
      if (request.empty())
        break;
      const std::string response = script_(request);
      if (response.empty())
        break;
      if (response.ends_with(kEndless)) {
        s.Write(response.substr(0, response.size() - kEndless.size()));
        SendEndless(s);
        break;
      }
      if (response.ends_with(kCut)) {
        s.Write(response.substr(0, response.size() - kCut.size()));
        break;
      }
      s.Write(response);
      if (response.find("Connection: close") != std::string::npos)
        break;
    }
    shutdown(fd, SHUT_RDWR);
    close(fd);
  }

  void SendEndless(const test_socket& s) {
    // Ends at the latest when the test would have failed long ago.
    const auto ends =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < ends) {
      const ssize_t n =
          send(s.fd(), endless_.data(), endless_.size(), MSG_NOSIGNAL);
      if (n <= 0)
        return;
      endless_bytes_ += static_cast<std::uint64_t>(n);
      std::this_thread::sleep_for(pause_);
    }
  }

  server_script script_;
  std::string endless_;
  std::chrono::milliseconds pause_{0};
  std::atomic<std::uint64_t> endless_bytes_ = 0;
  test_socket listener_;
  bool ok_ = false;
  std::atomic<int> connections_ = 0;
  std::vector<int> open_;
  std::vector<std::thread> serving_;
  std::thread thread_;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_TESTS_LOOPBACK_SERVER_H_
