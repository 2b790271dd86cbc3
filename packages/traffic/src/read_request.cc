#include "service_impl.h"

namespace dotterellead::traffic {

namespace {

// Returns the status to send for a request that could not be read; nullopt if
// the connection just ended.
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

// What a request's header takes while the request is open. A short field takes
// many times its size on the connection.
std::size_t HeaderBytes(const caller_parser& parser) {
  std::size_t fields = 0;
  for (const auto& field : parser.get())
    fields += limits::kHeaderFieldBytes + field.name_string().size() +
              field.value().size();
  const std::size_t start_line =
      parser.get().method_string().size() + parser.get().target().size();
  return limits::kHeaderCopies * fields + limits::kStartLineCopies * start_line;
}

// Timeout for reading that cancels the read without closing the connection,
// unlike the stream's own timeout, so that a response can still be sent.
class read_timeout {
 public:
  explicit read_timeout(std::shared_ptr<beast::tcp_stream> stream)
      : stream_(std::move(stream)), timer_(stream_->get_executor()) {
    stream_->expires_never();
  }
  void Start(milliseconds timeout) {
    state_ = std::make_shared<shared_state>();
    timer_.expires_after(timeout);
    timer_.async_wait([stream = stream_, state = state_](error_code ec) {
      if (ec || state->is_stopped)
        return;
      state->is_expired = true;
      stream->cancel();
    });
  }
  // Returns whether the timeout had expired.
  bool Stop() {
    state_->is_stopped = true;
    timer_.cancel();
    return state_->is_expired;
  }

 private:
  struct shared_state {
    bool is_expired = false;
    bool is_stopped = false;
  };
  std::shared_ptr<beast::tcp_stream> stream_;
  asio::steady_timer timer_;
  // Of the latest start; an earlier wait may still complete.
  std::shared_ptr<shared_state> state_ = std::make_shared<shared_state>();
};

// The caller's IPv4 address; 0 if it has disconnected.
std::uint32_t AddressOf(beast::tcp_stream& stream) {
  error_code ec;
  const tcp::endpoint remote = stream.socket().remote_endpoint(ec);
  return ec || !remote.address().is_v4() ? 0
                                         : remote.address().to_v4().to_uint();
}

}  // namespace

unread_request traffic_service::impl::NoMemory() {
  ++memory_reject_count_;
  UpdateBudgetCounters();
  return {http::status::service_unavailable, "no memory for the request"};
}

task<std::optional<unread_request>> traffic_service::impl::ReadRequest(
    const std::shared_ptr<beast::tcp_stream>& stream,
    beast::flat_buffer& buffer,
    memory_account& account,
    caller_parser& parser) {
  const std::uint32_t address = AddressOf(*stream);
  const auto blocks = std::make_shared<body_blocks>(
      memory_account(budget_, account_kind::kRequest, address));
  parser.get().body().blocks = blocks;
  // The limits of now, whenever the connection was opened. What is buffered
  // already may be more.
  buffer.max_size(std::max<std::size_t>(
      buffer.size(),
      limits_.header_size.value + limits::kMaxCallerUnparsedBytes));
  parser.header_limit(static_cast<std::uint32_t>(limits_.header_size.value));
  parser.body_limit(limits_.body_size.value);
  // The buffer grows up to its limit while the header is read.
  if (!account.Resize({limits::kCallerConnectionBytes + buffer.max_size()},
                      std::chrono::steady_clock::now()))
    co_return NoMemory();
  error_code ec;
  read_timeout timer(stream);
  timer.Start(limits_.header_timeout);
  co_await http::async_read_header(*stream, buffer, parser, Resume(ec));
  if (timer.Stop())
    ec = beast::error::timeout;
  if (!ec) {
    // What can be refused is refused before the body is asked for or read.
    const std::uint64_t length = parser.content_length().value_or(0);
    if (length > limits_.body_size.value)
      ec = http::error::body_limit;
    else if (!budget_.HasRoom(address, {length},
                              std::chrono::steady_clock::now()) ||
             !blocks->ReserveHeader(HeaderBytes(parser)))
      co_return NoMemory();
  }
  if (!ec && !parser.is_done()) {
    blocks->account().SetEvict(
        [weak = std::weak_ptr(blocks), stream, &parser] {
          if (const auto held = weak.lock()) {
            held->Release();
            parser.get().clear();
          }
          stream->cancel();
        },
        std::chrono::steady_clock::now());
    ec = co_await ReadBody(stream, buffer, parser);
    if (blocks->account().is_evicted() || blocks->has_no_room()) {
      blocks->Release();
      co_return NoMemory();
    }
    blocks->account().SetEvict({}, std::chrono::steady_clock::now());
    // A chunked body may end with further fields.
    if (!ec && parser.chunked() && !blocks->ReserveHeader(HeaderBytes(parser)))
      co_return NoMemory();
  }
  if (!has_limits_ &&
      (ec == http::error::header_limit || ec == http::error::body_limit))
    co_return unread_request{http::status::service_unavailable,
                             "no configuration yet"};
  if (ec)
    co_return unread_request{StatusOfReadError(ec, true), ec.message()};
  account.Resize({limits::kCallerConnectionBytes + buffer.capacity()},
                 std::chrono::steady_clock::now());
  co_return std::nullopt;
}

task<error_code> traffic_service::impl::ReadBody(
    const std::shared_ptr<beast::tcp_stream>& stream,
    beast::flat_buffer& buffer,
    caller_parser& parser) {
  error_code ec;
  if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
      parser.get().version() >= 11) {
    http::response<http::empty_body> continue_response(http::status::continue_,
                                                       11);
    co_await http::async_write(*stream, continue_response, Resume(ec));
  }
  // The buffer's whole size is reserved; long bodies are read in large pieces.
  if (parser.content_length().value_or(UINT64_MAX) >
      limits::kMaxCallerUnparsedBytes)
    buffer.reserve(buffer.max_size());
  const time_point started = std::chrono::steady_clock::now();
  std::uint64_t received = 0;
  read_timeout timer(stream);
  // Parses all that has been received at once; a body of small chunks would
  // take one pass of the event loop for each otherwise.
  parser.eager(true);
  while (!ec && !parser.is_done()) {
    const time_point now = std::chrono::steady_clock::now();
    // A body arrives at the minimum rate, and never stops for longer than the
    // idle timeout.
    const time_point deadline =
        std::min(now, started + milliseconds(1'000 * received /
                                             limits::kMinBodyBytesPerSecond)) +
        limits_.idle_timeout;
    if (now >= deadline) {
      ec = beast::error::timeout;
      break;
    }
    timer.Start(std::chrono::ceil<milliseconds>(deadline - now));
    received +=
        co_await http::async_read_some(*stream, buffer, parser, Resume(ec));
    if (timer.Stop())
      ec = beast::error::timeout;
    // What frames chunks is limited, too.
    if (!ec &&
        received > limits_.body_size.value + limits::kMaxRequestFramingBytes)
      ec = http::error::body_limit;
  }
  co_return ec;
}

}  // namespace dotterellead::traffic
