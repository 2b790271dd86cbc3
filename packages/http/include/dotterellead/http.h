// HTTP/1.1 listener over cpp-httplib and client connection over Beast, which
// both stay private to this package. Used towards callers, operators, peers,
// backend servers and the platform.
#ifndef DOTTERELLEAD_HTTP_H_
#define DOTTERELLEAD_HTTP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead {

// "IP:port". The IP is a numeric IPv4 address.
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;
  std::string ToString() const;
  auto operator<=>(const socket_address&) const = default;
};

// Throws invalid_input_error unless `text` is a numeric IPv4 address and a port
// from 0 to 65535.
socket_address ParseSocketAddress(std::string_view text);

struct http_header {
  std::string name;
  std::string value;
  bool operator==(const http_header&) const = default;
};

using http_headers = std::vector<http_header>;

// Returns the first header called `name`, in any case, or nullptr.
const std::string* FindHeader(const http_headers& headers,
                              std::string_view name);

// Removes the headers that apply to one connection only, and those that
// `Connection` lists.
void RemoveHopByHopHeaders(http_headers& headers);

struct http_request {
  std::string method;
  // Path and query as received, not decoded.
  std::string target;
  http_headers headers;
  std::string body;
};

struct http_answer {
  int status = 200;
  http_headers headers;
  std::string body;
};

// The other end of a connection that a listener accepted.
class http_peer {
 public:
  virtual ~http_peer() = default;
  // True once the other end has closed its side or reset the connection.
  virtual bool IsGone() const = 0;
  // Ends the connection without a further answer.
  virtual void Abort() const = 0;
  // Counts the listener's connections in the order in which they were served.
  virtual std::uint64_t connection_number() const = 0;
};

// Refusals that the listener makes itself, before any handler runs, are passed
// to `decorate`.
struct http_listener_options {
  socket_address address;
  // One thread serves one connection while it is open.
  std::size_t threads = 16;
  // Ends idle connections while others wait for a thread. A client may lose a
  // request that it sends at that moment.
  bool closes_idle_when_full = false;
  byte_count max_body{limits::kMaxBodyBytes};
  // What all requests and answers in progress may take; a request beyond it
  // gets 503 before its body is read.
  byte_count body_budget{UINT64_MAX};
  // Connections beyond it get 503 and are closed. Those beyond `threads` wait.
  std::size_t max_connections = SIZE_MAX;
  std::size_t max_headers = limits::kMaxHeaders;
  byte_count max_header_bytes{limits::kMaxHeaderBytes};
  milliseconds idle_timeout{5'000};
  milliseconds read_timeout{5'000};
  std::function<void(http_answer&)> decorate;
};

// Accepts connections on one address and answers each request through a handler
// that runs on the connection's thread. Requests with conflicting or repeated
// Content-Length, with both Content-Length and Transfer-Encoding, or over a
// limit get a 4xx or 501 and never reach the handler.
class http_listener {
 public:
  using handler =
      std::function<http_answer(const http_request&, const http_peer&)>;

  http_listener(http_listener_options options, handler handle);
  ~http_listener();
  http_listener(const http_listener&) = delete;
  http_listener& operator=(const http_listener&) = delete;

  // Binds and starts to accept. Throws unavailable_error if the address is in
  // use or not local.
  void Start();
  // Ends idle connections, lets handlers that run finish, and joins all
  // threads.
  void Stop();
  // Asks for `Connection: close` on all further answers, so that callers
  // reconnect elsewhere.
  void BeginClosing();
  // The bound address; its port is the chosen one if port 0 was asked for.
  socket_address address() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// How far a request got on a client connection.
enum class send_failure {
  kNone,
  // No connection was made: the request was not sent.
  kConnect,
  // The connection ended or broke after bytes may have been sent.
  kCut,
  // No whole answer came in time.
  kTimeout,
  // Cancel() was called.
  kCancelled,
  // The answer is larger than allowed or malformed.
  kBadAnswer,
};

std::string_view to_string(send_failure failure);

struct send_result {
  send_failure failure = send_failure::kNone;
  http_answer answer;
  bool ok() const { return failure == send_failure::kNone; }
};

// One client connection. A request is written at most once; nothing is resent.
class http_connection {
 public:
  explicit http_connection(
      const socket_address& remote,
      milliseconds connect_timeout = limits::kConnectTimeout);
  ~http_connection();
  http_connection(const http_connection&) = delete;
  http_connection& operator=(const http_connection&) = delete;

  // Sends `request` and reads the whole answer, `timeout` at most. Opens the
  // connection if needed.
  send_result Send(const http_request& request,
                   milliseconds timeout,
                   byte_count max_answer = byte_count{
                       limits::kMaxResponseBytes});
  // True if the connection is open, idle, and has no unread bytes.
  bool IsReusable() const;
  // True if the remote end closed the idle connection, as a restarted server
  // does.
  bool WasClosedByRemote() const;
  // Ends the request in progress from another thread.
  void Cancel();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// True if a connection can be opened within `timeout`.
bool CanConnect(const socket_address& remote, milliseconds timeout);

// What became of a connection on which nothing was sent.
enum class connection_fate {
  // It was not made.
  kRefused,
  // The remote end's system ended it, as for a process that has exited.
  kReset,
  // The remote end closed it in order.
  kClosed,
  kOpen,
};

// Opens a connection within `timeout` and watches it until it ends, for `watch`
// at most.
connection_fate WatchConnection(const socket_address& remote,
                                milliseconds timeout,
                                milliseconds watch);

// Sends one request on a connection of its own.
send_result SendOnce(const socket_address& remote,
                     const http_request& request,
                     milliseconds timeout);

// Percent-decodes a query value; returns an empty text if `key` is missing.
std::string QueryValue(std::string_view target, std::string_view key);
// The target without its query.
std::string_view TargetPath(std::string_view target);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_HTTP_H_
