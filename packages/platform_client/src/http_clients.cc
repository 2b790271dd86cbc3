#include "dotterellead/platform_client.h"

namespace dotterellead {
namespace {

// Time for a read beyond its long poll.
constexpr milliseconds kReadTimeoutMargin{500};
constexpr std::size_t kMaxIdleConnections = 8;
// A batch of 1000 records with outcomes of up to
// limits::kMaxSavedResponseBytes.
constexpr byte_count kMaxReadResponse{64 << 20};

std::string RecordsTarget(const stream_id& stream) {
  return "/streams/" + stream.value() + "/records";
}

append_status StatusOf(const send_result& sent) {
  if (sent.failure == send_failure::kConnect)
    return append_status::kRejected;
  if (!sent.ok())
    return append_status::kUnknown;
  // These two statuses guarantee that the log appended nothing.
  if (sent.answer.status == 429 || sent.answer.status == 503)
    return append_status::kRejected;
  return sent.answer.status == 200 ? append_status::kAppended
                                   : append_status::kUnknown;
}

}  // namespace

http_connection_pool::http_connection_pool(const socket_address& remote)
    : remote_(remote) {}

send_result http_connection_pool::Send(const http_request& request,
                                       milliseconds timeout) {
  std::unique_ptr<http_connection> connection = Acquire();
  send_result sent = connection->Send(request, timeout, kMaxReadResponse);
  if (sent.ok())
    Release(std::move(connection));
  return sent;
}

std::unique_ptr<http_connection> http_connection_pool::Acquire() {
  std::lock_guard lock(mutex_);
  while (!idle_.empty()) {
    std::unique_ptr<http_connection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->IsReusable())
      return connection;
  }
  return std::make_unique<http_connection>(remote_);
}

void http_connection_pool::Release(
    std::unique_ptr<http_connection> connection) {
  std::lock_guard lock(mutex_);
  if (idle_.size() < kMaxIdleConnections)
    idle_.push_back(std::move(connection));
}

http_log_client::http_log_client(const socket_address& remote)
    : connections_(remote) {}

append_result http_log_client::Append(const append_request& request,
                                      milliseconds timeout) {
  append_result result{.stream = request.stream, .token = request.token};
  const http_request call{.method = "POST",
                          .target = RecordsTarget(request.stream),
                          .headers = {{"Content-Type", "application/json"}},
                          .body = EncodeAppendBody(request)};
  const send_result sent = connections_.Send(call, timeout);
  result.status = StatusOf(sent);
  if (result.status != append_status::kAppended)
    return result;
  try {
    result.first = DecodeAppendReply(sent.answer.body, request.records.size());
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "log-append-malformed",
             {{"stream", request.stream.value()}, {"error", e.what()}});
    result.status = append_status::kUnknown;
  }
  return result;
}

std::variant<log_batch, log_unavailable> http_log_client::Read(
    const stream_id& stream,
    log_offset from,
    std::size_t max,
    milliseconds wait) {
  const http_request call{.method = "GET",
                          .target = RecordsTarget(stream) +
                                    "?from=" + std::to_string(from.value()) +
                                    "&max=" + std::to_string(max) +
                                    "&wait_ms=" + std::to_string(wait.count())};
  const send_result sent = connections_.Send(call, wait + kReadTimeoutMargin);
  if (!sent.ok() || sent.answer.status != 200)
    return log_unavailable{stream};
  try {
    return DecodeReadReply(sent.answer.body, stream);
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "log-read-malformed",
             {{"stream", stream.value()}, {"error", e.what()}});
    return log_unavailable{stream};
  }
}

http_host_list_client::http_host_list_client(const socket_address& remote)
    : connections_(remote) {}

std::optional<std::vector<listed_host>> http_host_list_client::List(
    milliseconds timeout) {
  const http_request call{.method = "GET", .target = "/hosts"};
  const send_result sent = connections_.Send(call, timeout);
  if (!sent.ok() || sent.answer.status != 200)
    return std::nullopt;
  try {
    return DecodeHostList(sent.answer.body);
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "host-list-malformed", {{"error", e.what()}});
    return std::nullopt;
  }
}

}  // namespace dotterellead
