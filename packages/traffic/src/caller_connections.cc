#include <netinet/tcp.h>
#include <sys/socket.h>

#include "dotterellead/read_message.h"
#include "service_impl.h"

namespace dotterellead::traffic {

namespace {

constexpr int kBacklog = 1024;
// Idle timeout of connections for readiness checks and metrics.
constexpr milliseconds kAuxiliaryIdleTimeout{2'000};
// Timeout for sending a response to a caller.
constexpr milliseconds kWriteTimeout{10'000};
// Delay before accepting again after a shortage of descriptors or memory.
constexpr milliseconds kAcceptRetryDelay{20};

// Keeps the kernel from taking a whole response of a caller that reads slowly:
// that memory is not in the budget.
void LimitUnsentBytes(tcp::socket& socket) {
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
             &limits::kMaxUnsentBytes, sizeof(limits::kMaxUnsentBytes));
}

// Answers a connection for which there is no descriptor to spare.
void RefuseConnection(beast::tcp_stream& stream) {
  constexpr std::string_view kAnswer =
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n";
  // An answer that does not fit is not worth waiting for.
  (void)::send(stream.socket().native_handle(), kAnswer.data(), kAnswer.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
  stream.close();
}

// Equal for requests with the same caller, method, target and body.
request_fingerprint FingerprintOf(beast::tcp_stream& stream,
                                  const request_message& request,
                                  const request_target& target) {
  error_code ignored;  // Fails if the caller has disconnected.
  std::string text =
      stream.socket().remote_endpoint(ignored).address().to_string();
  text += ' ';
  text += std::string(request.method_string());
  text += ' ' + target.host + ' ' + target.path + ' ';
  stable_hasher hasher;
  hasher.Add(text);
  const body_blocks& body = *request.body().blocks;
  for (std::size_t i = 0; i < body.block_count(); ++i)
    hasher.Add(body.BlockAt(i));
  return request_fingerprint(hasher.Hash());
}

}  // namespace

tcp::acceptor traffic_service::impl::Listen(const catalog::endpoint& address,
                                            const std::string& setting) {
  try {
    tcp::acceptor acceptor(io_);
    acceptor.open(tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(ToTcp(address));
    acceptor.listen(kBacklog);
    return acceptor;
  } catch (const boost::system::system_error& e) {
    throw unavailable_error(
        "cannot listen on " + to_string(address) + ": " + e.what(),
        "free the address or change the setting " + setting);
  }
}

task<> traffic_service::impl::AcceptCallers() {
  while (front_acceptor_.is_open()) {
    error_code ec;
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    co_await front_acceptor_.async_accept(stream->socket(), Resume(ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      LogEvent(log_level::kWarning, "accept-failed",
               {{"problem", ec.message()}});
      asio::steady_timer pause(io_, kAcceptRetryDelay);
      co_await pause.async_wait(Resume(ec));
      continue;
    }
    StartServing(std::move(stream));
  }
}

void traffic_service::impl::StartServing(
    std::shared_ptr<beast::tcp_stream> stream) {
  if (!MakeRoomForCaller()) {
    ++closed_caller_count_;
    RefuseConnection(*stream);
    return;
  }
  error_code ignored;  // Optional: only affects latency.
  stream->socket().set_option(tcp::no_delay(true), ignored);
  LimitUnsentBytes(stream->socket());
  auto counted = std::make_shared<open_caller>(open_caller_count_);
  Spawn(io_, "traffic-caller",
        ServeCaller(std::move(stream), std::move(counted)));
}

void traffic_service::impl::StopAccepting() {
  // Connections in the listening socket's queue may carry requests already.
  error_code ec;
  front_acceptor_.non_blocking(true, ec);
  while (!ec) {
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    front_acceptor_.accept(stream->socket(), ec);
    if (!ec)
      StartServing(std::move(stream));
  }
  front_acceptor_.close(ec);
  // Runs after an accept that had completed before the socket was closed.
  asio::post(io_, [this] { is_accepting_ = false; });
  Spawn(io_, "traffic-closing", CloseSilentCallers());
}

task<> traffic_service::impl::ServeCaller(
    std::shared_ptr<beast::tcp_stream> stream,
    std::shared_ptr<open_caller>) {
  beast::flat_buffer buffer;
  memory_account account(budget_, account_kind::kConnection);
  bool is_first = true;
  while (co_await ServeOneRequest(stream, buffer, account, is_first))
    is_first = false;
  buffer.clear();
  buffer.shrink_to_fit();
  error_code ignored;  // The connection may already be closed.
  stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
  // Discards what the caller still sends, so that closing does not reset the
  // connection before the response has arrived.
  constexpr milliseconds kLinger{300};
  const time_point end = std::chrono::steady_clock::now() + kLinger;
  stream->expires_at(end);
  std::array<char, 512> discarded;
  error_code ec;
  // The stream's own timeout does not interrupt a caller that always has more
  // bytes ready.
  while (!ec && std::chrono::steady_clock::now() < end)
    co_await stream->async_read_some(asio::buffer(discarded), Resume(ec));
  stream->close();
}

task<bool> traffic_service::impl::ServeOneRequest(
    const std::shared_ptr<beast::tcp_stream>& stream,
    beast::flat_buffer& buffer,
    memory_account& account,
    bool is_first) {
  if (buffer.size() == 0) {
    if (is_draining_ && !is_first)
      co_return false;
    if (!co_await AwaitRequest(stream, buffer, account))
      co_return false;
  }
  std::optional<caller_parser> parser(std::in_place);
  if (const auto unread =
          co_await ReadRequest(stream, buffer, account, *parser)) {
    // The header's memory is free before the rejection is written.
    parser.reset();
    if (!unread->status)
      co_return false;
    LogEvent(log_level::kInfo, "caller-request-unreadable",
             {{"problem", unread->reason},
              {"status", std::to_string(static_cast<int>(*unread->status))}});
    std::optional<milliseconds> retry_after;
    if (*unread->status == http::status::service_unavailable)
      retry_after = limits::kUnreadRetryAfter;
    // GCC 12 destroys a temporary argument of co_await twice.
    caller_response rejection;
    rejection.message =
        MakeOwnResponse(*unread->status, unread->reason, retry_after, false);
    co_await WriteToCaller(stream, std::move(rejection), false, false);
    co_return false;
  }
  const bool is_chunked = parser->chunked();
  auto request = std::make_shared<request_message>(parser->release());
  const bool caller_keep_alive = request->keep_alive();
  const bool is_head = request->method() == http::verb::head;
  std::optional<caller_response> outcome =
      co_await HandleRequest(stream, request, is_chunked);
  // The body is not needed while the response is written.
  request.reset();
  if (!outcome)
    co_return false;
  const bool keep_alive =
      caller_keep_alive && !is_draining_ && !outcome->must_close;
  const bool is_written =
      co_await WriteToCaller(stream, std::move(*outcome), is_head, keep_alive);
  const bool is_reusable = is_written && keep_alive;
  co_return is_reusable;
}

task<bool> traffic_service::impl::WriteToCaller(
    const std::shared_ptr<beast::tcp_stream>& stream,
    caller_response outcome,
    bool is_head,
    bool keep_alive) {
  response_message response =
      MakeCallerResponse(std::move(outcome.message), is_head, keep_alive);
  // A caller that does not read loses its response when memory is short.
  outcome.reservation.SetEvict([stream] { stream->close(); },
                               std::chrono::steady_clock::now());
  stream->expires_after(kWriteTimeout);
  http::response_serializer<http::string_body> serializer(response);
  error_code ec;
  if (is_head) {
    co_await http::async_write_header(*stream, serializer, Resume(ec));
    co_return !ec;
  }
  while (!ec && !serializer.is_done()) {
    co_await http::async_write_some(*stream, serializer, Resume(ec));
    outcome.reservation.NoteProgress(std::chrono::steady_clock::now());
  }
  co_return !ec;
}

task<std::optional<caller_response>> traffic_service::impl::HandleRequest(
    const std::shared_ptr<beast::tcp_stream>& stream,
    const std::shared_ptr<request_message>& request,
    bool is_chunked) {
  const request_target target = ParseTarget(*request, is_chunked);
  if (!target.problem.empty()) {
    LogEvent(log_level::kInfo, "caller-request-unreadable",
             {{"problem", target.problem}, {"status", "400"}});
    co_return caller_response{
        MakeOwnResponse(http::status::bad_request, target.problem, {}, false),
        {},
        true};
  }
  const auto caller_id = request->find(settings_.headers.request_id);
  // The caller may have left while the response to an earlier request was
  // awaited.
  if (CallerStateOf(stream->socket()) == caller_state::kLeft) {
    LogEvent(log_level::kInfo, "caller-left",
             {{"request", caller_id == request->end()
                              ? std::string()
                              : std::string(caller_id->value())},
              {"sent", "no"}});
    co_return std::nullopt;
  }
  ++request_count_;
  auto open = std::make_shared<open_request>(io_);
  open->request = request;
  open->path = target.path;
  const request_id id(next_request_++);
  dispatch::request_arrived arrived;
  arrived.request = id;
  arrived.host = target.host;
  arrived.path = target.path;
  if (caller_id != request->end())
    arrived.caller_request_id = std::string(caller_id->value());
  const auto timeout = request->find(settings_.headers.timeout);
  if (timeout != request->end())
    arrived.caller_timeout =
        ParseMillis({timeout->value().data(), timeout->value().size()});
  arrived.credential = ReadCredential(*request, settings_.headers);
  arrived.fingerprint = FingerprintOf(*stream, *request, target);
  open_requests_[id] = open;
  open_request_count_ = open_requests_.size();
  if (!post_(arrived)) {
    open_requests_.erase(id);
    constexpr milliseconds kFullPause{200};
    co_return caller_response{MakeOwnResponse(http::status::service_unavailable,
                                              "overloaded", kFullPause, true)};
  }
  const auto recheck = std::make_shared<asio::steady_timer>(io_);
  Spawn(io_, "traffic-watch", WatchCaller(stream, id, open, recheck));
  error_code ec;
  while (!open->is_finished)
    co_await open->finished.async_wait(Resume(ec));
  // Ends WatchCaller, so that it does not see bytes of the next request.
  stream->socket().cancel(ec);
  recheck->cancel();
  co_return std::move(open->response);
}

response_message traffic_service::impl::ReadyResponse() const {
  const bool is_ready = is_ready_;
  return MakeOwnResponse(
      is_ready ? http::status::ok : http::status::service_unavailable,
      is_ready ? "ready" : "not ready", {}, true);
}

task<> traffic_service::impl::AcceptAuxiliary(
    tcp::acceptor& acceptor,
    std::function<response_message()> make_response) {
  while (true) {
    error_code ec;
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    co_await acceptor.async_accept(stream->socket(), Resume(ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      asio::steady_timer pause(io_, kAcceptRetryDelay);
      co_await pause.async_wait(Resume(ec));
      continue;
    }
    Spawn(io_, "traffic-auxiliary",
          ServeAuxiliary(std::move(stream), make_response));
  }
}

task<> traffic_service::impl::ServeAuxiliary(
    std::shared_ptr<beast::tcp_stream> stream,
    std::function<response_message()> make_response) {
  beast::flat_buffer buffer(limits::kMaxUnparsedBytes);
  error_code ec;
  bool keep_alive = true;
  while (keep_alive) {
    http::request_parser<http::empty_body> parser;
    stream->expires_after(kAuxiliaryIdleTimeout);
    co_await ReadMessage(*stream, buffer, parser, ec);
    if (ec)
      break;
    response_message response = make_response();
    keep_alive = parser.get().keep_alive();
    response.keep_alive(keep_alive);
    co_await http::async_write(*stream, response, Resume(ec));
    keep_alive = keep_alive && !ec;
  }
  stream->close();
}

}  // namespace dotterellead::traffic
