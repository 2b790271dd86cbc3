// Blocking HTTP/1.1 over loopback sockets, as far as the stand-ins need it.
#ifndef REVIEW_STANDINS_NET_HPP_
#define REVIEW_STANDINS_NET_HPP_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace standins {

// Seconds since the first call, on the steady clock.
double Now();
void SleepFor(double seconds);

// An address on the loopback network.
struct address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

// Returns a port of `ip` that was free when the function returned.
int FreePort(const std::string& ip);

struct http_message {
  // Start line without its line break.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Value of the first header of that name, ignoring case; empty if none.
  std::string Header(const std::string& name) const;
  bool HasHeader(const std::string& name) const;
  // Status of a response; 0 if the start line is none.
  int status() const;
  // Method and target of a request.
  std::string method() const;
  std::string target() const;
  std::string Format() const;
};

// One TCP connection. Closes on destruction.
class connection {
 public:
  explicit connection(int fd = -1) : fd_(fd) {}
  connection(const connection&) = delete;
  ~connection() { Close(); }

  // Connects before `deadline`; returns whether it did.
  bool Connect(const address& to, double deadline);
  // Reads one message with Content-Length or chunks; false at the end of the
  // connection, on an error or at `deadline`.
  bool Read(http_message& message, double deadline, bool is_request);
  bool Write(const std::string& bytes);
  // Whether the peer has closed or reset the connection.
  bool IsClosedByPeer();
  // Whether any byte of the message that Read did not complete has arrived.
  bool has_partial_input() const { return !buffer_.empty(); }
  void Close();
  // Closes with a reset.
  void Reset();
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }

 private:
  // Appends received bytes to the buffer; false at the end or at `deadline`.
  bool Fill(double deadline);

  int fd_;
  std::string buffer_;
};

// Listens on an address and runs `serve` on a thread for each connection until
// it is stopped.
class listener {
 public:
  listener(const address& at, std::function<void(connection&)> serve);
  ~listener();
  // Closes the listening socket; connections go on.
  void Stop();

 private:
  struct state;
  std::shared_ptr<state> state_;
};

}  // namespace standins

#endif  // REVIEW_STANDINS_NET_HPP_
