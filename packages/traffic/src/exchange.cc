#include "exchange.h"

#include <boost/asio/write.hpp>

#include "dotterellead/limits.h"
#include "dotterellead/unsent_bytes.h"

namespace dotterellead::traffic {

namespace {

using dispatch::attempt_result;

// A connection with a response this recent is reused without a check; the probe
// for the same request has usually just used it.
constexpr milliseconds kRecentlyUsed{150};
// Connect timeout; within a region a connect takes a few milliseconds.
constexpr milliseconds kMaxConnectTimeout{250};
// Bodies up to this size fit into the socket's send buffer, so writing them
// completes even if the server does not read.
constexpr std::size_t kSmallBodyBytes = 8 << 10;
// An idle connection may be dead: a probe on it times out after the timeout
// divided by this, and is repeated on a new connection.
constexpr int kReusedProbeTimeoutDivisor = 2;

std::string_view HeaderValue(const response_message& response,
                             const std::string& name) {
  const auto it = response.find(name);
  if (it == response.end())
    return {};
  return {it->value().data(), it->value().size()};
}

bool ImpliesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

attempt_result Classify(const response_message& response,
                        const header_names& names) {
  const int status = static_cast<int>(response.result_int());
  if (response.count(names.not_run) > 0)
    return attempt_result::kNotRun;
  if (status == 421)
    return attempt_result::kWrongServer;
  // These statuses imply that the request did not run, but the server did not
  // confirm it.
  if (ImpliesNotRun(status))
    return attempt_result::kInvalidResponse;
  const bool is_success = status >= 200 && status < 300;
  if (is_success && (HeaderValue(response, names.signature).empty() ||
                     HeaderValue(response, names.request_id).empty()))
    return attempt_result::kInvalidResponse;
  if (response.count(http::field::content_encoding) > 0)
    return attempt_result::kInvalidResponse;
  return attempt_result::kResponded;
}

// State of a request that is written concurrently, so that an early response
// can be read while the body is still being sent.
struct pending_write {
  pending_write(std::shared_ptr<const request_message> r,
                const asio::any_io_executor& executor)
      : request(std::move(r)),
        done(executor, asio::steady_timer::time_point::max()) {}
  std::shared_ptr<const request_message> request;
  // The rest of the request is not to be written.
  bool is_abandoned = false;
  bool is_done = false;
  error_code ec;
  // Cancelled once `is_done` is set.
  asio::steady_timer done;
};

task<> WriteRequest(connection_ptr connection,
                    std::shared_ptr<pending_write> write) {
  http::request_serializer<block_body, http::fields> serializer(
      *write->request);
  while (!write->ec && !serializer.is_done() && !write->is_abandoned)
    co_await http::async_write_some(connection->stream, serializer,
                                    Resume(write->ec));
  if (!write->ec && !serializer.is_done())
    write->ec = asio::error::operation_aborted;
  write->is_done = true;
  write->done.cancel();
}

// Whether the server ended the connection in order, given that a read has found
// its end. A socket reports a reset only once. If the write got it, the next
// read finds an ordinary end. Stops the write if it is still in progress.
task<bool> IsOrderlyEnd(connection_ptr connection,
                        std::shared_ptr<pending_write> write) {
  // A write that has failed may not have been resumed yet.
  write->is_abandoned = true;
  connection->stream.cancel();
  error_code ec;
  while (!write->is_done)
    co_await write->done.async_wait(Resume(ec));
  // A reset after the server's orderly end is reported as a broken pipe.
  co_return !write->ec || write->ec == asio::error::operation_aborted ||
      write->ec == asio::error::broken_pipe;
}

// A response as it was read.
struct received_response {
  response_message message;
  // The response ends with the connection.
  bool needs_eof = false;
  // A part of it, or of what preceded it, exceeded a limit or was no HTTP.
  bool is_invalid = false;
  memory_account reservation;
};

// Whether a read failed because of what the server sent, rather than because
// the connection ended.
bool IsInvalidInput(const error_code& ec) {
  return ec.category() ==
             http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

// What a response may take.
struct response_bounds {
  std::uint64_t max_body = 0;
  time_point deadline;
};

// The capacity that the body of a response may have after the next read.
std::uint64_t NextCapacity(
    const http::response_parser<http::string_body>& parser,
    const beast::flat_buffer& buffer,
    bool is_head) {
  constexpr std::uint64_t kSmallestRead = 512;
  const std::string& body = parser.get().body();
  if (!parser.is_header_done() || is_head)
    return 0;
  if (const auto length = parser.content_length())
    return std::max<std::uint64_t>(body.capacity(), *length);
  const std::uint64_t next = buffer.capacity() + kSmallestRead;
  return body.size() + next <= body.capacity() ? body.capacity()
                                               : 2 * body.capacity() + next;
}

// Waits for room for a response, which others may be giving up; false if there
// is none.
task<bool> ReserveResponse(beast::tcp_stream& stream,
                           memory_account& account,
                           byte_count size,
                           time_point deadline) {
  constexpr milliseconds kMaxWait{300};
  constexpr milliseconds kRetryInterval{10};
  const time_point end =
      std::min(deadline, std::chrono::steady_clock::now() + kMaxWait);
  while (!account.Resize(size, std::chrono::steady_clock::now())) {
    if (std::chrono::steady_clock::now() >= end)
      co_return false;
    asio::steady_timer timer(stream.get_executor(), kRetryInterval);
    error_code ec;
    co_await timer.async_wait(Resume(ec));
  }
  co_return true;
}

// Reads one response, interim or final, and adds its size on the connection to
// `size`. Sets `ec` if it is not read completely.
task<received_response> ReadOneResponse(connection_ptr connection,
                                        host_budget& memory,
                                        response_bounds bounds,
                                        bool is_head,
                                        std::uint64_t& size,
                                        error_code& ec) {
  received_response result;
  result.reservation = memory_account(memory, account_kind::kResponse);
  http::response_parser<http::string_body> parser;
  parser.body_limit(bounds.max_body);
  parser.header_limit(limits::kMaxServerHeaderBytes);
  parser.skip(is_head);
  // The parser is not eager: it stops after the header, before it allocates the
  // body (see ReadMessage), and after each part of a chunk, so that the limit
  // includes what frames the chunks.
  while (!ec && !parser.is_done()) {
    const byte_count next{NextCapacity(parser, connection->buffer, is_head)};
    if (next.value > 2 * bounds.max_body + limits::kMaxUnparsedBytes) {
      ec = http::error::body_limit;
      break;
    }
    if (!co_await ReserveResponse(connection->stream, result.reservation, next,
                                  bounds.deadline)) {
      ec = http::error::buffer_overflow;
      break;
    }
    const std::size_t parsed = co_await http::async_read_some(
        connection->stream, connection->buffer, parser, Resume(ec));
    size += parsed;
    // The parser takes any three digits. Others are no status, and below 100
    // they would pass for interim responses.
    const unsigned status = parser.get().result_int();
    if (!ec && parser.is_header_done() && (status < 100 || status > 599))
      ec = http::error::bad_status;
    if (!ec && size > bounds.max_body + limits::kMaxServerFramingBytes)
      ec = http::error::body_limit;
    // The stream's own timeout does not interrupt a peer that always has more
    // bytes ready.
    if (!ec && std::chrono::steady_clock::now() >= bounds.deadline)
      ec = beast::error::timeout;
  }
  if (!ec)
    result.reservation.Resize({parser.get().body().capacity()},
                              std::chrono::steady_clock::now());
  result.is_invalid = ec && IsInvalidInput(ec);
  result.needs_eof = parser.need_eof();
  result.message = parser.release();
  co_return result;
}

// Reads responses until one belongs to the request with `id`. Others are
// interim responses and late duplicates of responses to earlier requests. A
// response without an id is accepted only on a new connection, where no earlier
// one can have a duplicate.
task<received_response> ReadResponse(connection_ptr connection,
                                     exchange_context& context,
                                     const std::string& id,
                                     response_bounds bounds,
                                     bool is_head,
                                     error_code& ec) {
  std::uint64_t size = 0;
  for (int extra = 0; extra <= limits::kMaxExtraResponses; ++extra) {
    received_response received = co_await ReadOneResponse(
        connection, context.memory, bounds, is_head, size, ec);
    if (ec)
      co_return received;
    if (received.message.result_int() < 200)
      continue;
    const std::string_view response_id =
        HeaderValue(received.message, context.names.request_id);
    if (response_id == id)
      co_return received;
    if (response_id.empty()) {
      received.is_invalid = connection->is_reused();
      co_return received;
    }
  }
  received_response too_many;
  too_many.is_invalid = true;
  ec = http::error::unexpected_body;
  co_return too_many;
}

// Logs that a server exceeded a limit or sent bytes that are no response.
void LogInvalidResponse(const dispatch::server_ref& server,
                        const error_code& ec) {
  LogEvent(log_level::kWarning, "server-response-invalid",
           {{"server", server.id.value()},
            {"problem", ec ? ec.message() : "the response has no request id"}});
}

// Returns the connection to the pool if another request may use it.
void ReleaseOrClose(server_connections& connections,
                    const dispatch::server_ref& server,
                    const connection_ptr& connection,
                    bool is_complete,
                    const received_response& received) {
  if (is_complete && !received.is_invalid && !received.needs_eof &&
      received.message.keep_alive() && connection->buffer.size() == 0)
    connections.Release(server, connection);
  else
    connection->stream.close();
}

}  // namespace

void exchange_handle::Cancel() {
  is_cancelled = true;
  if (!connection)
    return;
  DiscardUnsentOnClose(connection->stream.socket().native_handle());
  connection->stream.close();
}

task<exchange_result> ExchangeRequest(
    exchange_context& context,
    const dispatch::server_ref& server,
    const std::shared_ptr<const request_message>& request,
    milliseconds timeout,
    const std::shared_ptr<exchange_handle>& handle) {
  exchange_result result;
  const time_point deadline = std::chrono::steady_clock::now() + timeout;
  error_code ec;
  connection_ptr connection =
      context.connections.AcquireIdle(server.address, kRecentlyUsed);
  if (!connection)
    connection = co_await context.connections.Connect(
        server.address, std::min(timeout, kMaxConnectTimeout), ec);
  if (!connection || handle->is_cancelled) {
    result.result = attempt_result::kNotConnected;
    co_return result;
  }
  handle->connection = connection;
  connection->stream.expires_at(deadline);
  auto write = std::make_shared<pending_write>(
      request, connection->stream.get_executor());
  if (request->body().size() <= kSmallBodyBytes)
    co_await WriteRequest(connection, write);
  else
    asio::co_spawn(connection->stream.get_executor(),
                   WriteRequest(connection, write), asio::detached);
  std::string id;
  if (const auto it = request->find(context.names.request_id);
      it != request->end())
    id = std::string(it->value());
  const bool is_head = request->method() == http::verb::head;
  const response_bounds bounds{limits::kMaxServerBodyBytes, deadline};
  received_response received =
      co_await ReadResponse(connection, context, id, bounds, is_head, ec);
  if (!ec && received.needs_eof && !co_await IsOrderlyEnd(connection, write))
    ec = asio::error::connection_reset;
  handle->connection = nullptr;
  if (received.is_invalid)
    LogInvalidResponse(server, ec);
  if (ec) {
    connection->stream.close();
    if (received.is_invalid)
      result.result = attempt_result::kInvalidResponse;
    co_return result;
  }
  const response_message& response = received.message;
  result.status = static_cast<int>(response.result_int());
  result.load = ParseLoad(HeaderValue(response, context.names.load));
  const attempt_result classified = Classify(response, context.names);
  result.result =
      received.is_invalid ? attempt_result::kInvalidResponse : classified;
  // A notice counts whichever request the response is to: it is of the server.
  if (classified != attempt_result::kWrongServer)
    if (const auto notice = ReadNotice(response, context.names, server))
      context.notify(*notice);
  ReleaseOrClose(context.connections, server, connection,
                 write->is_done && !write->ec, received);
  result.response = std::move(received.message);
  result.reservation = std::move(received.reservation);
  co_return result;
}

namespace {

task<bool> ProbeOnConnection(exchange_context& context,
                             const dispatch::server_ref& server,
                             const connection_ptr& connection,
                             milliseconds timeout,
                             dispatch::load_sample& sample) {
  error_code ec;
  const time_point deadline = std::chrono::steady_clock::now() + timeout;
  connection->stream.expires_at(deadline);
  request_message request(http::verb::get, server.health_path, 11);
  request.set(http::field::host, to_string(server.address));
  request.set(context.names.expected_server, server.id.value());
  co_await http::async_write(connection->stream, request, Resume(ec));
  const std::string no_id;
  const response_bounds bounds{limits::kMaxProbeBodyBytes, deadline};
  received_response received;
  if (!ec)
    received =
        co_await ReadResponse(connection, context, no_id, bounds, false, ec);
  if (ec) {
    connection->stream.close();
    co_return false;
  }
  const response_message& response = received.message;
  const std::string_view responder =
      HeaderValue(response, context.names.server_id);
  if (response.result_int() == 421 ||
      (!responder.empty() && responder != server.id.value()))
    sample.result = dispatch::probe_result::kWrongServer;
  else if (response.result_int() == 200)
    sample.result = dispatch::probe_result::kHealthy;
  else
    sample.result = dispatch::probe_result::kUnhealthy;
  sample.load = ParseLoad(HeaderValue(response, context.names.load));
  sample.warmup_left =
      ParseMillis(HeaderValue(response, context.names.warmup_left))
          .value_or(milliseconds(0));
  if (sample.result != dispatch::probe_result::kWrongServer)
    if (const auto notice = ReadNotice(response, context.names, server))
      context.notify(*notice);
  ReleaseOrClose(context.connections, server, connection, true, received);
  co_return true;
}

}  // namespace

task<dispatch::load_sample> ProbeServer(exchange_context& context,
                                        const dispatch::server_ref& server,
                                        milliseconds timeout) {
  dispatch::load_sample sample;
  sample.server = server.id;
  constexpr milliseconds kMaxIdleForProbe{10'000};
  const time_point started = std::chrono::steady_clock::now();
  const time_point deadline = started + timeout;
  if (connection_ptr connection =
          context.connections.AcquireIdle(server.address, kMaxIdleForProbe))
    if (co_await ProbeOnConnection(context, server, connection,
                                   timeout / kReusedProbeTimeoutDivisor,
                                   sample))
      co_return sample;
  const auto time_left = std::chrono::duration_cast<milliseconds>(
      deadline - std::chrono::steady_clock::now());
  error_code ec;
  if (time_left > milliseconds(0))
    if (connection_ptr connection =
            co_await context.connections.Connect(server.address, time_left, ec))
      co_await ProbeOnConnection(context, server, connection, time_left,
                                 sample);
  co_return sample;
}

}  // namespace dotterellead::traffic
