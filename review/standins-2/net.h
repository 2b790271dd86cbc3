// Blocking sockets and HTTP/1.1 messages for the stand-ins.
#ifndef REVIEW_STANDINS_2_NET_H_
#define REVIEW_STANDINS_2_NET_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;

// Owns a file descriptor.
class socket_handle {
 public:
  socket_handle() = default;
  explicit socket_handle(int fd) : fd_(fd) {}
  socket_handle(socket_handle&& other) noexcept
      : fd_(std::exchange(other.fd_, -1)) {}
  socket_handle& operator=(socket_handle&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~socket_handle();
  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// Header names are in lower case.
struct message {
  // The request line or the status line, in three parts.
  std::string first;
  std::string second;
  std::string third;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  int status() const { return std::atoi(second.c_str()); }
};

// Listens on a free loopback port.
socket_handle Listen(int& port);
// Returns an unopened handle on failure. The timeout holds for the connect and
// for each later read and write.
socket_handle Connect(int port, milliseconds timeout);
socket_handle Accept(const socket_handle& listener, milliseconds timeout);
bool WriteAll(const socket_handle& socket, const std::string& bytes);

// Reads messages from one connection.
class message_reader {
 public:
  explicit message_reader(const socket_handle& socket) : socket_(socket) {}
  // Returns nullopt at the end of the connection, on a timeout and if the
  // message is cut off.
  std::optional<message> Read();

 private:
  bool ReadMore();
  const socket_handle& socket_;
  std::string buffer_;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

std::string FormatResponse(int status,
                           const header_list& headers,
                           const std::string& body);
// Sends one request on a new connection and reads the response.
std::optional<message> Exchange(int port,
                                const std::string& request,
                                milliseconds timeout);

}  // namespace review

#endif  // REVIEW_STANDINS_2_NET_H_
