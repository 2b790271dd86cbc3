#include <algorithm>
#include <thread>

#include "attempt_outcome.h"
#include "attempt_watcher.h"
#include "dotterellead/proxy.h"

namespace dotterellead {
namespace {

// A connection with what is known of it. Generations order connections by when
// they were opened.
struct kept_connection {
  std::unique_ptr<http_connection> connection;
  time_point last_answer;
  std::uint64_t generation = 0;
};

struct server_connections {
  std::vector<kept_connection> idle;
  std::uint64_t next_generation = 1;
  // Connections opened before this one are not used again.
  std::uint64_t oldest_good = 0;
  // The newest generation that was silent until its deadline.
  std::uint64_t newest_silent = 0;
};

}  // namespace

class pooled_transport::impl {
 public:
  explicit impl(const clock_source& clock) : clock_(clock), watcher_(clock) {}

  attempt Send(const server_id& server,
               const http_request& request,
               const attempt_limits& limits,
               const http_peer& caller) {
    attempt sent;
    kept_connection used = Take(server, limits.needs_fresh, sent.found_closed);
    const time_point begin = clock_.Now().steady;
    // Checked last, so that a process that was paused meanwhile does not send
    // on an expired lease.
    if (begin >= limits.send_before || begin >= limits.deadline) {
      sent.not_sent = true;
      Keep(server, std::move(used));
      return sent;
    }
    {
      const attempt_watcher::guard watch(
          watcher_, {used.connection.get(), &caller, limits.deadline,
                     limits.cancel_with_caller});
      sent.result = used.connection->Send(
          request,
          std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(
                                        limits.deadline - begin)));
    }
    const time_point end = clock_.Now().steady;
    sent.latency = std::chrono::duration_cast<microseconds>(end - begin);
    if (sent.result.failure == send_failure::kCancelled &&
        end >= limits.deadline) {
      sent.result.failure = send_failure::kTimeout;
    }
    Settle(server, std::move(used), sent, end);
    return sent;
  }

 private:
  kept_connection Take(const server_id& server,
                       bool needs_fresh,
                       bool& found_closed) {
    const time_point now = clock_.Now().steady;
    std::lock_guard lock(mutex_);
    server_connections& known = servers_[server];
    while (!known.idle.empty()) {
      kept_connection candidate = std::move(known.idle.back());
      known.idle.pop_back();
      found_closed = found_closed || candidate.connection->WasClosedByRemote();
      const bool recent =
          now - candidate.last_answer < limits::kMaxReusableConnectionAge;
      if (candidate.generation >= known.oldest_good &&
          (recent || !needs_fresh) && candidate.connection->IsReusable()) {
        return candidate;
      }
    }
    return {
        std::make_unique<http_connection>(ParseSocketAddress(server.value())),
        now, known.next_generation++};
  }

  void Settle(const server_id& server,
              kept_connection used,
              attempt& sent,
              time_point end) {
    // Answers have no id: a copy of a rejection that the server writes later
    // would say "not run" of the next request on the connection.
    if (ResultOf(sent) == attempt_result::kNotRun)
      return;
    if (sent.result.ok()) {
      used.last_answer = end;
      Keep(server, std::move(used));
      return;
    }
    if (sent.result.failure == send_failure::kTimeout) {
      std::lock_guard lock(mutex_);
      server_connections& known = servers_[server];
      known.newest_silent = std::max(known.newest_silent, used.generation);
    }
    if (sent.result.failure == send_failure::kCut)
      sent.refuses_connections = HasCrashed(server);
  }

  void Keep(const server_id& server, kept_connection used) {
    std::lock_guard lock(mutex_);
    server_connections& known = servers_[server];
    // A newer connection works while an older one was silent: the path has lost
    // the older ones.
    if (known.newest_silent != 0 && used.generation > known.newest_silent) {
      known.oldest_good = used.generation;
      known.newest_silent = 0;
      std::erase_if(known.idle, [&](const kept_connection& idle) {
        return idle.generation < known.oldest_good;
      });
    }
    if (known.idle.size() < limits::kIdleConnectionsPerServer &&
        used.generation >= known.oldest_good && used.connection->IsReusable()) {
      known.idle.push_back(std::move(used));
    }
  }

  // Tells a crashed server from a cut connection. An exiting process may cut
  // its connections before it stops listening, so a connection that it still
  // accepts is watched for a while.
  bool HasCrashed(const server_id& server) const {
    const socket_address address = ParseSocketAddress(server.value());
    const time_point end = clock_.Now().steady + limits::kCrashDetectionTime;
    for (time_point now = clock_.Now().steady; now < end;
         now = clock_.Now().steady) {
      const connection_fate fate =
          WatchConnection(address, limits::kConnectTimeout,
                          std::chrono::duration_cast<milliseconds>(end - now));
      if (fate != connection_fate::kClosed)
        return fate != connection_fate::kOpen;
      std::this_thread::sleep_for(limits::kCrashRecheckInterval);
    }
    return false;
  }

  const clock_source& clock_;
  attempt_watcher watcher_;
  std::mutex mutex_;
  std::map<server_id, server_connections> servers_;
};

pooled_transport::pooled_transport(const clock_source& clock)
    : impl_(std::make_unique<impl>(clock)) {}

pooled_transport::~pooled_transport() = default;

attempt pooled_transport::Send(const server_id& server,
                               const http_request& request,
                               const attempt_limits& limits,
                               const http_peer& caller) {
  return impl_->Send(server, request, limits, caller);
}

}  // namespace dotterellead
