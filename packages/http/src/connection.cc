#include <arpa/inet.h>
#include <fcntl.h>
#include <httplib.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

#include "dotterellead/http.h"

namespace dotterellead {
namespace {

// Removed because httplib writes them itself from the request it sends.
void EraseWrittenByLibrary(httplib::Headers& headers) {
  for (const char* name : {"Content-Length", "Connection"})
    headers.erase(name);
}

// A connection on which nothing is sent.
class client_socket {
 public:
  client_socket(const socket_address& remote, milliseconds timeout)
      : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(remote.port);
    inet_pton(AF_INET, remote.ip.c_str(), &to.sin_addr);
    (void)connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    connected_ = socket_ >= 0 && Wait(POLLOUT, timeout) != 0 && !HasProblem();
  }
  ~client_socket() {
    if (socket_ >= 0)
      close(socket_);
  }
  client_socket(const client_socket&) = delete;
  client_socket& operator=(const client_socket&) = delete;

  bool is_connected() const { return connected_; }
  // Returns the events that occurred, 0 after `timeout`.
  short Wait(short events, milliseconds timeout) const {
    pollfd state{socket_, events, 0};
    return poll(&state, 1, static_cast<int>(timeout.count())) > 0
               ? state.revents
               : static_cast<short>(0);
  }

 private:
  bool HasProblem() const {
    int problem = 0;
    socklen_t size = sizeof(problem);
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &problem, &size);
    return problem != 0;
  }

  int socket_;
  bool connected_ = false;
};

}  // namespace

class http_connection::impl {
 public:
  impl(const socket_address& remote, milliseconds connect_timeout)
      : client_(remote.ip, remote.port) {
    client_.set_keep_alive(true);
    client_.set_tcp_nodelay(true);
    client_.set_follow_location(false);
    client_.set_url_encode(false);
    client_.set_decompress(false);
    client_.set_connection_timeout(connect_timeout);
  }

  send_result Send(const http_request& request,
                   milliseconds timeout,
                   byte_count max_answer) {
    send_result result;
    if (cancelled_) {
      result.failure = send_failure::kCancelled;
      return result;
    }
    client_.set_read_timeout(timeout);
    client_.set_write_timeout(timeout);
    bool too_large = false;
    httplib::Request out = Translate(request);
    out.content_receiver = [&](const char* data, std::size_t size,
                               std::uint64_t, std::uint64_t) {
      too_large = result.answer.body.size() + size > max_answer.value;
      if (!too_large)
        result.answer.body.append(data, size);
      return !too_large;
    };
    const auto begin = std::chrono::steady_clock::now();
    const httplib::Result answer = client_.send(out);
    const auto took = std::chrono::steady_clock::now() - begin;
    result.failure = Classify(answer.error(), too_large, took >= timeout);
    if (!result.ok()) {
      client_.stop();
      return result;
    }
    result.answer.status = answer->status;
    for (const auto& [name, value] : answer->headers)
      result.answer.headers.push_back({name, value});
    return result;
  }

  bool IsReusable() const {
    return client_.is_socket_open() != 0 && PollEvents() == 0;
  }
  bool WasClosedByRemote() const {
    return client_.is_socket_open() != 0 && (PollEvents() & kClosed) != 0;
  }
  void Cancel() {
    cancelled_ = true;
    client_.stop();
  }

 private:
  static constexpr short kClosed = POLLRDHUP | POLLHUP | POLLERR;

  // Any event on an idle connection means a close or bytes that belong to no
  // request.
  short PollEvents() const {
    pollfd state{client_.socket(), POLLIN | POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 ? state.revents : static_cast<short>(0);
  }

  static httplib::Request Translate(const http_request& request) {
    httplib::Request out;
    out.method = request.method;
    out.path = request.target;
    out.body = request.body;
    for (const http_header& header : request.headers)
      out.headers.emplace(header.name, header.value);
    EraseWrittenByLibrary(out.headers);
    return out;
  }

  send_failure Classify(httplib::Error problem,
                        bool too_large,
                        bool timed_out) const {
    if (problem == httplib::Error::Success)
      return send_failure::kNone;
    if (too_large)
      return send_failure::kBadAnswer;
    if (problem == httplib::Error::Connection ||
        problem == httplib::Error::ConnectionTimeout) {
      return send_failure::kConnect;
    }
    if (cancelled_)
      return send_failure::kCancelled;
    if (problem == httplib::Error::Canceled)
      return send_failure::kBadAnswer;
    return timed_out ? send_failure::kTimeout : send_failure::kCut;
  }

  httplib::Client client_;
  std::atomic<bool> cancelled_{false};
};

http_connection::http_connection(const socket_address& remote,
                                 milliseconds connect_timeout)
    : impl_(std::make_unique<impl>(remote, connect_timeout)) {}

http_connection::~http_connection() = default;

send_result http_connection::Send(const http_request& request,
                                  milliseconds timeout,
                                  byte_count max_answer) {
  return impl_->Send(request, timeout, max_answer);
}

bool http_connection::IsReusable() const {
  return impl_->IsReusable();
}

bool http_connection::WasClosedByRemote() const {
  return impl_->WasClosedByRemote();
}

void http_connection::Cancel() {
  impl_->Cancel();
}

bool CanConnect(const socket_address& remote, milliseconds timeout) {
  return client_socket(remote, timeout).is_connected();
}

connection_fate WatchConnection(const socket_address& remote,
                                milliseconds timeout,
                                milliseconds watch) {
  const client_socket socket(remote, timeout);
  if (!socket.is_connected())
    return connection_fate::kRefused;
  const short events = socket.Wait(POLLRDHUP, watch);
  if ((events & POLLERR) != 0)
    return connection_fate::kReset;
  return events != 0 ? connection_fate::kClosed : connection_fate::kOpen;
}

send_result SendOnce(const socket_address& remote,
                     const http_request& request,
                     milliseconds timeout) {
  http_connection connection(remote, timeout);
  return connection.Send(request, timeout);
}

}  // namespace dotterellead
