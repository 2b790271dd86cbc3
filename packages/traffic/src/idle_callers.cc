#include <algorithm>

#include "service_impl.h"

namespace dotterellead::traffic {

namespace {

// How long the last connections may stay silent once the listening socket is
// closed; their requests may be on their way.
constexpr milliseconds kLastRequestWait{100};
constexpr std::size_t kFirstReadBytes = 2 << 10;

}  // namespace

task<bool> traffic_service::impl::AwaitRequest(
    const std::shared_ptr<beast::tcp_stream>& stream,
    beast::flat_buffer& buffer,
    memory_account& account) {
  // An idle connection holds no buffer.
  buffer.shrink_to_fit();
  buffer.max_size(kFirstReadBytes);
  const time_point since = std::chrono::steady_clock::now();
  account.Resize({limits::kCallerConnectionBytes}, since);
  idle_callers_[stream.get()] = {stream, since};
  while (true) {
    stream->expires_at(since + limits_.idle_timeout);
    error_code ec;
    const std::size_t received = co_await stream->async_read_some(
        buffer.prepare(kFirstReadBytes), Resume(ec));
    const auto idle = idle_callers_.find(stream.get());
    if (ec == asio::error::operation_aborted && idle != idle_callers_.end() &&
        std::exchange(idle->second.restarts_timeout, false))
      continue;
    idle_callers_.erase(stream.get());
    buffer.commit(received);
    co_return !ec;
  }
}

void traffic_service::impl::ApplyLimits(const catalog::caller_limits& limits) {
  const bool extends_idle_timeout = limits.idle_timeout > limits_.idle_timeout;
  limits_ = limits;
  has_limits_ = true;
  if (!extends_idle_timeout)
    return;
  for (auto& [stream, caller] : idle_callers_) {
    caller.restarts_timeout = true;
    if (auto idle = caller.stream.lock())
      idle->cancel();
  }
}

bool traffic_service::impl::MakeRoomForCaller() {
  if (open_caller_count_ < settings_.max_caller_connections)
    return true;
  const auto oldest =
      std::min_element(idle_callers_.begin(), idle_callers_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.since < b.second.since;
                       });
  if (oldest == idle_callers_.end())
    return false;
  const auto stream = oldest->second.stream.lock();
  idle_callers_.erase(oldest);
  ++closed_caller_count_;
  if (stream)
    stream->close();
  return true;
}

void traffic_service::impl::CloseIdleCallers() {
  for (auto& [stream, caller] : idle_callers_) {
    caller.restarts_timeout = false;
    if (auto idle = caller.stream.lock())
      idle->cancel();
  }
}

task<> traffic_service::impl::CloseSilentCallers() {
  asio::steady_timer wait(io_, kLastRequestWait);
  error_code ec;
  co_await wait.async_wait(Resume(ec));
  CloseIdleCallers();
}

}  // namespace dotterellead::traffic
