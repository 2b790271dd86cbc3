#include <httplib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>

#include "body_budget.h"
#include "dotterellead/http.h"

namespace dotterellead {
namespace {

class socket_peer : public http_peer {
 public:
  socket_peer(int socket, std::uint64_t number)
      : socket_(socket), number_(number) {}
  bool IsGone() const override {
    pollfd state{socket_, POLLRDHUP, 0};
    return poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  void Abort() const override { shutdown(socket_, SHUT_RDWR); }
  std::uint64_t connection_number() const override { return number_; }

 private:
  int socket_;
  std::uint64_t number_;
};

// What the connection's thread knows of the request it serves, beyond what
// httplib passes on.
struct call_context {
  explicit call_context(body_budget& budget) : reservation(budget) {}
  body_reservation reservation;
  int socket = -1;
  std::uint64_t connection_number = 0;
  http_headers headers;
  // The body of a method for which the library expects none.
  std::string early_body;
  int refusal_status = 0;
  std::string refusal;
  bool close_after = false;
  // The handler has answered; httplib's error handler must not change it.
  bool answered = false;
};

thread_local call_context* current_call = nullptr;

// Set while a connection beyond the limit is handed over.
thread_local bool refuses_connection = false;

void RejectRecord(call_context& call, int status, std::string reason) {
  if (call.refusal_status != 0)
    return;
  call.refusal_status = status;
  call.refusal = std::move(reason);
  call.close_after = true;
}

// Lets a restarted process bind while connections of its predecessor still time
// out. Unlike the library's default, it does not let two processes share the
// port.
void AllowRestart(socket_t socket) {
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
}

// httplib writes the length of the body itself; only HEAD answers keep the
// server's.
bool IsContentLength(std::string_view name) {
  return FindHeader({{std::string(name), ""}}, "content-length") != nullptr;
}

// Wakes all threads that poll its descriptor, while it is set.
class wake_event {
 public:
  wake_event() : descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (descriptor_ < 0) {
      throw unavailable_error("cannot make an event descriptor",
                              "raise the limit of open files");
    }
  }
  ~wake_event() { close(descriptor_); }
  wake_event(const wake_event&) = delete;
  wake_event& operator=(const wake_event&) = delete;

  void Set() { eventfd_write(descriptor_, 1); }
  void Reset() {
    eventfd_t value = 0;
    eventfd_read(descriptor_, &value);
  }
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
};

// Buffered reads and bounded waits over an accepted socket.
class socket_stream : public httplib::Stream {
 public:
  socket_stream(int socket, const http_listener_options& options)
      : socket_(socket),
        timeout_(options.read_timeout),
        max_header_bytes_(options.max_header_bytes),
        max_header_lines_(options.max_headers + kOtherHeaderLines) {}

  bool WaitReadable(milliseconds timeout) const {
    if (begin_ < end_)
      return true;
    pollfd state{socket_, POLLIN, 0};
    return poll(&state, 1, static_cast<int>(timeout.count())) > 0;
  }
  // The same, but waits no longer than until one of the events is set. A
  // negative descriptor stands for no event.
  bool WaitReadable(milliseconds timeout,
                    const std::array<int, 2>& events) const {
    if (begin_ < end_)
      return true;
    std::array<pollfd, 3> states{
        {{socket_, POLLIN, 0}, {events[0], POLLIN, 0}, {events[1], POLLIN, 0}}};
    int ready = 0;
    do {
      ready =
          poll(states.data(), states.size(), static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0 && states[0].revents != 0;
  }
  bool is_readable() const override { return WaitReadable(timeout_); }
  bool is_writable() const override {
    pollfd state{socket_, POLLOUT, 0};
    return poll(&state, 1, static_cast<int>(timeout_.count())) > 0;
  }
  // Start to count a request's header, or body, anew; reads fail once it
  // exceeds its limit. The body's includes its framing.
  void BeginHeaders() {
    BeginCount(max_header_bytes_);
    header_lines_ = 0;
    body_begun_.reset();
  }
  void BeginBody(byte_count max_body) {
    BeginCount(byte_count{max_body.value + limits::kMaxRequestFramingBytes});
    body_begun_ = std::chrono::steady_clock::now();
  }

  ssize_t read(char* data, size_t size) override {
    if (begin_ == end_ && !Fill()) {
      if (body_begun_)
        RejectRecord(*current_call, 408, "the body does not arrive");
      return -1;
    }
    const size_t n = std::min(size, end_ - begin_);
    counted_bytes_ += n;
    if (!(body_begun_ ? MayTakeBody() : MayTakeHeader({&buffer_[begin_], n})))
      return -1;
    if (counted_bytes_ > max_counted_bytes_) {
      current_call->close_after = true;
      return -1;
    }
    std::copy_n(buffer_.data() + begin_, n, data);
    begin_ += n;
    return static_cast<ssize_t>(n);
  }
  // Kept until Flush or until input is awaited, so that an answer's headers and
  // body leave together and wake their reader once.
  ssize_t write(const char* data, size_t size) override {
    if (unsent_.size() + size > kMaxUnsent && !Flush())
      return -1;
    if (size > kMaxUnsent)
      return SendAll(std::string_view(data, size)) ? static_cast<ssize_t>(size)
                                                   : -1;
    unsent_.append(data, size);
    return static_cast<ssize_t>(size);
  }
  // Returns false if the connection is cut or takes too long.
  bool Flush() {
    const bool sent = SendAll(unsent_);
    unsent_.clear();
    return sent;
  }
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  socket_t socket() const override { return socket_; }

 private:
  static constexpr size_t kMaxUnsent = 64 << 10;

  void BeginCount(byte_count max) {
    counted_bytes_ = 0;
    max_counted_bytes_ = max.value;
  }
  // Whether the header has few enough lines so far: the library keeps each in
  // many times its size.
  bool MayTakeHeader(std::string_view bytes) {
    header_lines_ +=
        static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
    if (header_lines_ <= max_header_lines_)
      return true;
    RejectRecord(*current_call, 431, "too many headers; send fewer");
    return false;
  }
  // Whether the body arrives at the minimum rate and finds memory.
  bool MayTakeBody() const {
    const auto allowed =
        timeout_ +
        milliseconds(1'000 * counted_bytes_ / limits::kMinBodyBytesPerSecond);
    if (std::chrono::steady_clock::now() > *body_begun_ + allowed) {
      RejectRecord(*current_call, 408, "the body arrives too slowly");
      return false;
    }
    if (!current_call->reservation.Cover(limits::kBodyCopies *
                                         counted_bytes_)) {
      RejectRecord(*current_call, 503, "no memory for the request");
      return false;
    }
    return true;
  }
  bool SendAll(std::string_view data) const {
    while (!data.empty()) {
      if (!is_writable())
        return false;
      const ssize_t n = send(socket_, data.data(), data.size(), MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data.remove_prefix(static_cast<size_t>(n));
    }
    return true;
  }

  bool Fill() {
    if (!Flush() || !WaitReadable(timeout_))
      return false;
    const ssize_t n = recv(socket_, buffer_.data(), buffer_.size(), 0);
    begin_ = 0;
    end_ = n > 0 ? static_cast<size_t>(n) : 0;
    return n > 0;
  }

  int socket_;
  milliseconds timeout_;
  byte_count max_header_bytes_;
  // The request line and the empty one.
  static constexpr std::size_t kOtherHeaderLines = 2;
  std::size_t max_header_lines_;
  std::size_t header_lines_ = 0;
  std::string unsent_;
  std::array<char, 8192> buffer_{};
  size_t begin_ = 0;
  size_t end_ = 0;
  // Set while a body is read.
  std::optional<time_point> body_begun_;
  std::uint64_t counted_bytes_ = 0;
  std::uint64_t max_counted_bytes_ = UINT64_MAX;
};

// Sets an event while there are more connections than threads, and refuses
// those beyond the limit.
class counting_pool : public httplib::ThreadPool {
 public:
  counting_pool(std::size_t threads,
                std::size_t max_connections,
                wake_event& full)
      : ThreadPool(threads),
        threads_(threads),
        max_connections_(max_connections),
        full_(full) {}
  void enqueue(std::function<void()> serve) override {
    if (connections_ >= max_connections_) {
      refuses_connection = true;
      serve();
      refuses_connection = false;
      return;
    }
    if (++connections_ > threads_)
      full_.Set();
    ThreadPool::enqueue([this, serve = std::move(serve)] {
      serve();
      if (--connections_ <= threads_)
        full_.Reset();
    });
  }

 private:
  const std::size_t threads_;
  const std::size_t max_connections_;
  wake_event& full_;
  std::atomic<std::size_t> connections_{0};
};

// Checks the headers that decide where a request ends. A request that two
// parties could read differently must not be forwarded.
void CheckFraming(const httplib::Request& request,
                  const http_listener_options& options,
                  call_context& call) {
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t encodings =
      request.get_header_value_count("Transfer-Encoding");
  if (lengths > 1)
    return RejectRecord(call, 400, "Content-Length is repeated; send it once");
  if (encodings > 1 || (lengths > 0 && encodings > 0)) {
    return RejectRecord(call, 400,
                        "the message length is ambiguous; send either one "
                        "Content-Length or one Transfer-Encoding");
  }
  if (encodings == 1 &&
      request.get_header_value("Transfer-Encoding") != "chunked") {
    return RejectRecord(call, 501,
                        "the transfer encoding is not supported; use chunked");
  }
  if (lengths == 1) {
    const std::string value = request.get_header_value("Content-Length");
    const bool digits =
        !value.empty() && value.size() < 19 &&
        std::all_of(value.begin(), value.end(),
                    [](unsigned char c) { return std::isdigit(c) != 0; });
    if (!digits)
      return RejectRecord(call, 400, "Content-Length is not a number");
    if (std::stoull(value) > options.max_body.value) {
      return RejectRecord(call, 413,
                          "the body exceeds " +
                              std::to_string(options.max_body.value) +
                              " bytes; send less");
    }
    if (!call.reservation.Cover(limits::kBodyCopies * std::stoull(value)))
      return RejectRecord(call, 503, "no memory for the request");
  }
  if (request.headers.size() > options.max_headers)
    return RejectRecord(call, 431, "too many headers; send fewer");
}

// Moves all headers out of httplib's request, so that it neither decodes nor
// parses the body by type, nor compresses or slices the answer.
void TakeHeaders(httplib::Request& request, call_context& call) {
  for (const auto& [name, value] : request.headers) {
    if (name != "REMOTE_ADDR" && name != "REMOTE_PORT" &&
        name != "LOCAL_ADDR" && name != "LOCAL_PORT") {
      call.headers.push_back({name, value});
    }
  }
  for (const char* name :
       {"Content-Type", "Content-Encoding", "Accept-Encoding", "Range"}) {
    request.headers.erase(name);
  }
  request.ranges.clear();
}

// The methods whose body httplib reads.
bool LibraryReadsBody(const std::string& method) {
  return method == "POST" || method == "PUT" || method == "PATCH" ||
         method == "PRI" || method == "DELETE";
}

// httplib leaves the body of other methods on the connection, where it would
// pass for the next request, and waits for the connection's end if a body has
// no length. Both are settled here.
void SettleBody(httplib::Request& request,
                socket_stream& stream,
                call_context& call) {
  if (call.refusal_status != 0)
    return;
  const bool has_length = request.has_header("Content-Length");
  const bool chunked = request.has_header("Transfer-Encoding");
  if (LibraryReadsBody(request.method)) {
    if (!has_length && !chunked)
      request.set_header("Content-Length", "0");
    return;
  }
  if (chunked)
    return RejectRecord(call, 501,
                        "send the body of this method with Content-Length");
  if (!has_length)
    return;
  call.early_body.resize(
      std::stoull(request.get_header_value("Content-Length")));
  std::size_t got = 0;
  while (got < call.early_body.size()) {
    const ssize_t n =
        stream.read(call.early_body.data() + got, call.early_body.size() - got);
    if (n <= 0)
      return RejectRecord(call, 400, "the body ended early");
    got += static_cast<std::size_t>(n);
  }
}

}  // namespace

class http_listener::impl : public httplib::Server {
 public:
  impl(http_listener_options options, handler handle)
      : options_(std::move(options)), handle_(std::move(handle)) {
    new_task_queue = [this] {
      return new counting_pool(options_.threads, options_.max_connections,
                               full_);
    };
    set_socket_options(AllowRestart);
    set_tcp_nodelay(true);
    set_keep_alive_max_count(kRequestsPerConnection);
    set_payload_max_length(options_.max_body.value);
    set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& response) {
          return PreRoute(request, response);
        });
    const Handler run = [this](const httplib::Request& request,
                               httplib::Response& response) {
      Run(request, response);
    };
    Get(".*", run).Post(".*", run).Put(".*", run).Patch(".*", run);
    Delete(".*", run).Options(".*", run);
    // A refused request is not asked for its body.
    set_expect_100_continue_handler(
        [this](const httplib::Request&, httplib::Response& response) {
          if (current_call->refusal_status == 0)
            return 100;
          Refuse(response);
          Decorate(response);
          return response.status;
        });
    set_error_handler(
        Handler([this](const httplib::Request&, httplib::Response& response) {
          Decorate(response);
        }));
  }

  void Begin() {
    int port = options_.address.port;
    const bool bound = port == 0
                           ? (port = bind_to_any_port(options_.address.ip)) > 0
                           : bind_to_port(options_.address.ip, port);
    if (!bound) {
      throw unavailable_error(
          "cannot listen on " + options_.address.ToString(),
          "check that the address is local and that no other process uses it");
    }
    // The library's backlog of 5 drops connections that arrive together.
    ::listen(svr_sock_, kBacklog);
    options_.address.port = static_cast<std::uint16_t>(port);
    accepting_ = std::thread([this] { listen_after_bind(); });
    while (!is_running())
      std::this_thread::sleep_for(milliseconds(1));
  }

  void End() {
    BeginClosing();
    stop();
    if (accepting_.joinable())
      accepting_.join();
  }

  void BeginClosing() {
    closing_ = true;
    close_idle_.Set();
  }
  socket_address address() const { return options_.address; }

 private:
  static constexpr int kBacklog = 1024;
  static constexpr std::size_t kRequestsPerConnection = 1'000'000;

  HandlerResponse PreRoute(const httplib::Request& request,
                           httplib::Response& response) {
    if (current_call->refusal_status == 0) {
      // httplib routes CONNECT, TRACE and PRI to nothing; they are refused here
      // with a reason.
      if (request.method != "CONNECT" && request.method != "TRACE" &&
          request.method != "PRI") {
        return HandlerResponse::Unhandled;
      }
      RejectRecord(*current_call, 405, "the method is not supported");
    }
    Refuse(response);
    Decorate(response);
    return HandlerResponse::Handled;
  }

  // Writes the refusal of the current call.
  static void Refuse(httplib::Response& response) {
    response.status = current_call->refusal_status;
    response.body = current_call->refusal + "\n";
    response.set_header("Content-Type", "text/plain");
    if (response.status == 503)
      response.set_header("Retry-After", "1");
  }

  void Run(const httplib::Request& request, httplib::Response& response) {
    http_request call;
    call.method = request.method;
    call.target = request.target;
    call.headers = std::move(current_call->headers);
    call.body = std::move(current_call->early_body);
    if (call.body.empty())
      call.body = request.body;
    http_answer answer = handle_(
        call,
        socket_peer(current_call->socket, current_call->connection_number));
    current_call->answered = true;
    // A caller that does not read its answer holds this memory.
    if (!current_call->reservation.Add(answer.body.size())) {
      shutdown(current_call->socket, SHUT_RDWR);
      answer = {};
    }
    response.status = answer.status;
    for (const http_header& header : answer.headers) {
      if (request.method == "HEAD" || !IsContentLength(header.name))
        response.headers.emplace(header.name, header.value);
    }
    response.body = std::move(answer.body);
  }

  // Adds to httplib's own error answers what the owner of this listener wants
  // in each of them.
  void Decorate(httplib::Response& response) {
    if (current_call->answered)
      return;
    // A body that could not be taken; httplib calls it malformed.
    if (current_call->refusal_status != 0)
      Refuse(response);
    http_answer answer;
    answer.status = response.status;
    if (options_.decorate)
      options_.decorate(answer);
    for (const http_header& header : answer.headers)
      response.set_header(header.name, header.value);
    if (response.body.empty()) {
      response.body = "the request is malformed or exceeds a limit\n";
      response.set_header("Content-Type", "text/plain");
    }
    current_call->close_after = true;
  }

  bool ServeOne(socket_stream& stream, int socket, std::uint64_t number) {
    call_context call(budget_);
    call.socket = socket;
    call.connection_number = number;
    current_call = &call;
    bool connection_closed = false;
    stream.BeginHeaders();
    const bool ok = process_request(stream, closing_, connection_closed,
                                    [&](httplib::Request& request) {
                                      stream.BeginBody(options_.max_body);
                                      CheckFraming(request, options_, call);
                                      SettleBody(request, stream, call);
                                      TakeHeaders(request, call);
                                    });
    const bool sent = stream.Flush();
    current_call = nullptr;
    return ok && sent && !connection_closed && !call.close_after && !closing_;
  }

  bool process_and_close_socket(socket_t socket) override {
    if (refuses_connection) {
      constexpr std::string_view kAnswer =
          "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
          "Connection: close\r\nContent-Length: 0\r\n\r\n";
      // An answer that does not fit is not worth waiting for.
      (void)send(socket, kAnswer.data(), kAnswer.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
      close(socket);
      return true;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    socket_stream stream(socket, options_);
    const std::uint64_t number = next_connection_.fetch_add(1);
    const std::array<int, 2> events{
        close_idle_.descriptor(),
        options_.closes_idle_when_full ? full_.descriptor() : -1};
    while (stream.WaitReadable(options_.idle_timeout, events) &&
           ServeOne(stream, socket, number)) {
    }
    shutdown(socket, SHUT_RDWR);
    close(socket);
    return true;
  }

  http_listener_options options_;
  body_budget budget_{options_.body_budget};
  handler handle_;
  std::thread accepting_;
  std::atomic<bool> closing_{false};
  // Set with closing_.
  wake_event close_idle_;
  // Set while connections wait for a thread.
  wake_event full_;
  std::atomic<std::uint64_t> next_connection_{1};
};

http_listener::http_listener(http_listener_options options, handler handle)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handle))) {}

http_listener::~http_listener() {
  Stop();
}

void http_listener::Start() {
  impl_->Begin();
}

void http_listener::Stop() {
  impl_->End();
}

void http_listener::BeginClosing() {
  impl_->BeginClosing();
}

socket_address http_listener::address() const {
  return impl_->address();
}

}  // namespace dotterellead
