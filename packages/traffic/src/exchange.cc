#include "exchange.h"

#include <boost/asio/write.hpp>

namespace dotterellead::traffic {

namespace {

using dispatch::attempt_result;

// A connection with a response this recent is reused without a check; the probe
// for the same request has usually just used it.
constexpr milliseconds kRecentlyUsed{150};
// Connect timeout; within a region a connect takes a few milliseconds.
constexpr milliseconds kMaxConnectTimeout{250};
// Responses are buffered until they are known to be complete.
constexpr std::uint64_t kMaxResponseBytes = 16 << 20;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64 << 10;
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
  explicit pending_write(std::shared_ptr<const request_message> r)
      : request(std::move(r)) {}
  std::shared_ptr<const request_message> request;
  bool is_done = false;
  error_code ec;
};

task<> WriteRequest(connection_ptr connection,
                    std::shared_ptr<pending_write> write) {
  http::request_serializer<http::string_body, http::fields> serializer(
      *write->request);
  co_await http::async_write(connection->stream, serializer, Resume(write->ec));
  write->is_done = true;
}

// Reads responses until one belongs to the request with `id`. Others are late
// duplicates of responses to earlier requests.
task<response_message> ReadResponse(const connection_ptr& connection,
                                    const std::string& id_header,
                                    const std::string& id,
                                    bool is_head,
                                    bool& needs_eof,
                                    error_code& ec) {
  while (true) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxResponseBytes);
    parser.header_limit(kMaxResponseHeaderBytes);
    parser.skip(is_head);
    co_await http::async_read(connection->stream, connection->buffer, parser,
                              Resume(ec));
    if (ec)
      co_return response_message();
    needs_eof = parser.need_eof();
    response_message response = parser.release();
    if (response.result_int() < 200)
      continue;
    const std::string_view response_id = HeaderValue(response, id_header);
    if (response_id == id || response_id.empty())
      co_return response;
  }
}

}  // namespace

void exchange_handle::Cancel() {
  is_cancelled = true;
  if (connection)
    connection->stream.close();
}

task<exchange_result> ExchangeRequest(
    server_connections& connections,
    const header_names& names,
    const dispatch::server_ref& server,
    const std::shared_ptr<const request_message>& request,
    milliseconds timeout,
    const std::shared_ptr<exchange_handle>& handle) {
  exchange_result result;
  const time_point deadline = std::chrono::steady_clock::now() + timeout;
  error_code ec;
  connection_ptr connection =
      connections.AcquireIdle(server.address, kRecentlyUsed);
  if (!connection)
    connection = co_await connections.Connect(
        server.address, std::min(timeout, kMaxConnectTimeout), ec);
  if (!connection || handle->is_cancelled) {
    result.result = attempt_result::kNotConnected;
    co_return result;
  }
  handle->connection = connection;
  connection->stream.expires_at(deadline);
  auto write = std::make_shared<pending_write>(request);
  if (request->body().size() <= kSmallBodyBytes)
    co_await WriteRequest(connection, write);
  else
    asio::co_spawn(connection->stream.get_executor(),
                   WriteRequest(connection, write), asio::detached);
  std::string id;
  if (const auto it = request->find(names.request_id); it != request->end())
    id = std::string(it->value());
  const bool is_head = request->method() == http::verb::head;
  bool needs_eof = false;
  response_message response = co_await ReadResponse(
      connection, names.request_id, id, is_head, needs_eof, ec);
  handle->connection = nullptr;
  if (ec) {
    connection->stream.close();
    co_return result;
  }
  result.status = static_cast<int>(response.result_int());
  result.load = ParseLoad(HeaderValue(response, names.load));
  result.result = Classify(response, names);
  if (response.keep_alive() && !needs_eof && write->is_done && !write->ec &&
      connection->buffer.size() == 0)
    connections.Release(server, connection);
  else
    connection->stream.close();
  result.response = std::move(response);
  co_return result;
}

namespace {

task<bool> ProbeOnConnection(server_connections& connections,
                             const header_names& names,
                             const dispatch::server_ref& server,
                             const connection_ptr& connection,
                             milliseconds timeout,
                             dispatch::load_sample& sample) {
  error_code ec;
  connection->stream.expires_after(timeout);
  request_message request(http::verb::get, server.health_path, 11);
  request.set(http::field::host, to_string(server.address));
  request.set(names.expected_server, server.id.value());
  co_await http::async_write(connection->stream, request, Resume(ec));
  bool needs_eof = false;
  const std::string no_id;
  response_message response;
  if (!ec)
    response = co_await ReadResponse(connection, names.request_id, no_id, false,
                                     needs_eof, ec);
  if (ec) {
    connection->stream.close();
    co_return false;
  }
  const std::string_view responder = HeaderValue(response, names.server_id);
  if (response.result_int() == 421 ||
      (!responder.empty() && responder != server.id.value()))
    sample.result = dispatch::probe_result::kWrongServer;
  else if (response.result_int() == 200)
    sample.result = dispatch::probe_result::kHealthy;
  else
    sample.result = dispatch::probe_result::kUnhealthy;
  sample.load = ParseLoad(HeaderValue(response, names.load));
  sample.warmup_left = ParseMillis(HeaderValue(response, names.warmup_left))
                           .value_or(milliseconds(0));
  if (response.keep_alive() && !needs_eof && connection->buffer.size() == 0)
    connections.Release(server, connection);
  else
    connection->stream.close();
  co_return true;
}

}  // namespace

task<dispatch::load_sample> ProbeServer(server_connections& connections,
                                        const header_names& names,
                                        const dispatch::server_ref& server,
                                        milliseconds timeout) {
  dispatch::load_sample sample;
  sample.server = server.id;
  constexpr milliseconds kMaxIdleForProbe{10'000};
  const time_point started = std::chrono::steady_clock::now();
  const time_point deadline = started + timeout;
  if (connection_ptr connection =
          connections.AcquireIdle(server.address, kMaxIdleForProbe))
    if (co_await ProbeOnConnection(connections, names, server, connection,
                                   timeout / kReusedProbeTimeoutDivisor,
                                   sample))
      co_return sample;
  const auto time_left = std::chrono::duration_cast<milliseconds>(
      deadline - std::chrono::steady_clock::now());
  error_code ec;
  if (time_left > milliseconds(0))
    if (connection_ptr connection =
            co_await connections.Connect(server.address, time_left, ec))
      co_await ProbeOnConnection(connections, names, server, connection,
                                 time_left, sample);
  co_return sample;
}

}  // namespace dotterellead::traffic
