#include <sys/socket.h>

#include "service_impl.h"

namespace dotterellead::traffic {

namespace {

constexpr int kBacklog = 1024;
// A check's connection that is idle for longer than this is let go.
constexpr milliseconds kCheckLimit{2'000};
// Time for a caller to take an answer.
constexpr milliseconds kWriteLimit{10'000};
// After a shortage of descriptors or memory, pause before accepting again.
constexpr milliseconds kAcceptPause{20};

// The status for a request that could not be read; nullopt if the connection
// just ended.
std::optional<http::status> StatusOfReadError(const error_code& ec,
                                              bool has_started) {
  if (ec == http::error::header_limit)
    return http::status::request_header_fields_too_large;
  if (ec == http::error::body_limit)
    return http::status::payload_too_large;
  if (ec == beast::error::timeout)
    return has_started ? std::optional(http::status::request_timeout)
                       : std::nullopt;
  if (ec.category() == make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message)
    return http::status::bad_request;
  return std::nullopt;
}

// Ends reading after a time without closing the connection, as the stream's own
// timeout would, so that the caller can still be answered.
class read_limit {
 public:
  explicit read_limit(std::shared_ptr<beast::tcp_stream> stream)
      : stream_(std::move(stream)), timer_(stream_->get_executor()) {
    stream_->expires_never();
  }
  void Set(milliseconds length) {
    timer_.expires_after(length);
    timer_.async_wait([stream = stream_, state = state_](error_code ec) {
      if (ec || state->is_ended)
        return;
      state->is_over = true;
      stream->cancel();
    });
  }
  // Returns whether the time was over.
  bool End() {
    state_->is_ended = true;
    timer_.cancel();
    return state_->is_over;
  }

 private:
  struct shared_state {
    bool is_over = false;
    bool is_ended = false;
  };
  std::shared_ptr<beast::tcp_stream> stream_;
  asio::steady_timer timer_;
  std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

// The same for requests with the same caller, method, target and body.
request_fingerprint FingerprintOf(beast::tcp_stream& stream,
                                  const request_message& request,
                                  const request_target& target) {
  error_code ignored;  // A caller that is gone is no caller to tell apart.
  std::string text =
      stream.socket().remote_endpoint(ignored).address().to_string();
  text += ' ';
  text += std::string(request.method_string());
  text += ' ' + target.host + ' ' + target.path + ' ' + request.body();
  return request_fingerprint(StableHash(text));
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
  while (front_.is_open()) {
    error_code ec;
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    co_await front_.async_accept(stream->socket(), Resume(ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      LogEvent(log_level::kWarning, "accept-failed",
               {{"problem", ec.message()}});
      asio::steady_timer pause(io_, kAcceptPause);
      co_await pause.async_wait(Resume(ec));
      continue;
    }
    error_code ignored;  // Without the option answers are slower, not wrong.
    stream->socket().set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(io_, ServeCaller(std::move(stream)), asio::detached);
  }
}

task<> traffic_service::impl::ServeCaller(
    std::shared_ptr<beast::tcp_stream> stream) {
  ++open_callers_;
  beast::flat_buffer buffer;
  bool is_first = true;
  while (co_await ServeOneRequest(stream, buffer, is_first))
    is_first = false;
  error_code ignored;  // The connection may have ended already.
  stream->socket().shutdown(tcp::socket::shutdown_send, ignored);
  // Reads what the caller still sends, so that closing does not reset the
  // connection before the answer has arrived.
  constexpr milliseconds kLinger{300};
  stream->expires_after(kLinger);
  std::array<char, 512> rest;
  error_code ec;
  while (!ec)
    co_await stream->async_read_some(asio::buffer(rest), Resume(ec));
  stream->close();
  --open_callers_;
}

task<bool> traffic_service::impl::ServeOneRequest(
    const std::shared_ptr<beast::tcp_stream>& stream,
    beast::flat_buffer& buffer,
    bool is_first) {
  error_code ec;
  // Waits for the first byte as an idle caller, without holding a buffer.
  if (buffer.size() == 0) {
    if (is_draining_ && !is_first)
      co_return false;
    buffer.shrink_to_fit();
    idle_callers_[stream.get()] = stream;
    stream->expires_after(limits_.idle_timeout);
    const std::size_t got =
        co_await stream->async_read_some(buffer.prepare(2048), Resume(ec));
    idle_callers_.erase(stream.get());
    if (ec)
      co_return false;
    buffer.commit(got);
  }
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(limits_.header.value));
  parser.body_limit(limits_.body.value);
  read_limit limit(stream);
  limit.Set(limits_.header_timeout);
  co_await http::async_read_header(*stream, buffer, parser, Resume(ec));
  if (!ec) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
        parser.get().version() >= 11) {
      http::response<http::empty_body> go_on(http::status::continue_, 11);
      co_await http::async_write(*stream, go_on, Resume(ec));
    }
    limit.Set(limits_.idle_timeout);
    co_await http::async_read(*stream, buffer, parser, Resume(ec));
  }
  if (limit.End())
    ec = beast::error::timeout;
  if (ec) {
    const std::optional<http::status> status = StatusOfReadError(ec, true);
    if (!status)
      co_return false;
    LogEvent(log_level::kInfo, "caller-request-unreadable",
             {{"problem", ec.message()},
              {"status", std::to_string(static_cast<int>(*status))}});
    answer_message answer = OwnAnswer(*status, ec.message(), {}, false);
    stream->expires_after(kWriteLimit);
    co_await http::async_write(*stream, answer, Resume(ec));
    co_return false;
  }
  const bool is_chunked = parser.chunked();
  auto request = std::make_shared<request_message>(parser.release());
  const bool wants_more = request->keep_alive();
  const bool is_head = request->method() == http::verb::head;
  bool caller_is_gone = false;
  answer_message answer = co_await Answer(stream, request, is_chunked,
                                          buffer.size() == 0, caller_is_gone);
  if (caller_is_gone)
    co_return false;
  const bool keep_alive = wants_more && !is_draining_;
  answer = ForCaller(std::move(answer), is_head, keep_alive);
  stream->expires_after(kWriteLimit);
  http::response_serializer<http::string_body> serializer(answer);
  if (is_head)
    co_await http::async_write_header(*stream, serializer, Resume(ec));
  else
    co_await http::async_write(*stream, serializer, Resume(ec));
  co_return !ec && keep_alive;
}

task<answer_message> traffic_service::impl::Answer(
    const std::shared_ptr<beast::tcp_stream>& stream,
    const std::shared_ptr<request_message>& request,
    bool is_chunked,
    bool may_watch,
    bool& caller_is_gone) {
  const request_target target = ReadTarget(*request, is_chunked);
  if (!target.problem.empty())
    co_return OwnAnswer(http::status::bad_request, target.problem, {}, false);
  ++requests_;
  auto call = std::make_shared<open_call>(io_);
  call->request = request;
  call->path = target.path;
  const request_id id(next_call_++);
  dispatch::request_arrived arrived;
  arrived.request = id;
  arrived.host = target.host;
  arrived.path = target.path;
  const auto caller_id = request->find(settings_.headers.request_id);
  if (caller_id != request->end())
    arrived.caller_request_id = std::string(caller_id->value());
  const auto patience = request->find(settings_.headers.time_left);
  if (patience != request->end())
    arrived.caller_timeout =
        ReadMillis({patience->value().data(), patience->value().size()});
  arrived.fingerprint = FingerprintOf(*stream, *request, target);
  calls_[id] = call;
  open_calls_ = calls_.size();
  if (!post_(arrived)) {
    calls_.erase(id);
    constexpr milliseconds kFullPause{200};
    co_return OwnAnswer(http::status::service_unavailable, "overloaded",
                        kFullPause, true);
  }
  if (may_watch)
    asio::co_spawn(io_, WatchCaller(stream, id, call), asio::detached);
  error_code ec;
  while (!call->is_over)
    co_await call->is_finished.async_wait(Resume(ec));
  // Ends the watch, so that it does not meet the next request's bytes.
  stream->socket().cancel(ec);
  if (!call->answer) {
    caller_is_gone = true;
    co_return answer_message();
  }
  co_return std::move(*call->answer);
}

task<> traffic_service::impl::WatchCaller(
    std::shared_ptr<beast::tcp_stream> stream,
    request_id id,
    std::weak_ptr<open_call> weak) {
  error_code ec;
  co_await stream->socket().async_wait(tcp::socket::wait_read, Resume(ec));
  call_ptr call = weak.lock();
  if (ec || !call || call->is_over)
    co_return;
  char byte = 0;
  const ssize_t got = ::recv(stream->socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
  // Bytes of a next request: the caller is still there.
  if (got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
    co_return;
  call->is_over = true;
  call->is_finished.cancel();
  post_(dispatch::caller_disconnected{id});
}

answer_message traffic_service::impl::ReadyAnswer() const {
  const bool is_ready = is_ready_;
  return OwnAnswer(
      is_ready ? http::status::ok : http::status::service_unavailable,
      is_ready ? "ready" : "not ready", {}, true);
}

task<> traffic_service::impl::AcceptChecks(
    tcp::acceptor& acceptor,
    std::function<answer_message()> answer) {
  while (true) {
    error_code ec;
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    co_await acceptor.async_accept(stream->socket(), Resume(ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      asio::steady_timer pause(io_, kAcceptPause);
      co_await pause.async_wait(Resume(ec));
      continue;
    }
    asio::co_spawn(io_, AnswerChecks(std::move(stream), answer),
                   asio::detached);
  }
}

task<> traffic_service::impl::AnswerChecks(
    std::shared_ptr<beast::tcp_stream> stream,
    std::function<answer_message()> answer) {
  beast::flat_buffer buffer;
  error_code ec;
  bool is_kept = true;
  while (is_kept) {
    request_message request;
    stream->expires_after(kCheckLimit);
    co_await http::async_read(*stream, buffer, request, Resume(ec));
    if (ec)
      break;
    answer_message reply = answer();
    is_kept = request.keep_alive();
    reply.keep_alive(is_kept);
    co_await http::async_write(*stream, reply, Resume(ec));
    is_kept = is_kept && !ec;
  }
  stream->close();
}

}  // namespace dotterellead::traffic
