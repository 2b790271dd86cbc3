#include "slot_adapter.h"

namespace dotterellead {
namespace {

// Time for the duty's own deadline refusal to arrive before this thread gives
// up.
constexpr milliseconds kReplyMargin{100};
// A release must reach the duty, or the slot stays taken; the ring drains
// within milliseconds.
constexpr milliseconds kReleaseWait{5'000};

}  // namespace

std::variant<assigned, forwarded, acquire_rejected> slot_adapter::Acquire(
    const acquire& wanted) {
  replies_.Expect(wanted.request);
  if (!balance_->Post(wanted)) {
    replies_.Await(wanted.request, time_point());
    return acquire_rejected{wanted.request, rejection_reason::kQueueFull};
  }
  std::optional<reply> answer =
      replies_.Await(wanted.request, wanted.deadline + kReplyMargin);
  if (answer)
    return *answer;
  Return(wanted.request);
  return acquire_rejected{wanted.request, rejection_reason::kDeadline};
}

void slot_adapter::Release(const release& result) {
  metrics_.Count(counter_family::kAttempts, to_string(result.result));
  TellMeasure(result);
  if (!balance_->PostUntil(result, clock_.Now().steady + kReleaseWait)) {
    LogEvent(log_level::kError, "slot-release-lost",
             {{"request", std::to_string(result.request.value())}});
  }
}

void slot_adapter::EndForward(const forward_ended& ended) {
  if (!balance_->PostUntil(ended, clock_.Now().steady + kReleaseWait)) {
    LogEvent(log_level::kError, "forward-end-lost",
             {{"request", std::to_string(ended.request.value())}});
  }
}

home_load slot_adapter::LoadOf(const pool_id& pool) {
  std::lock_guard lock(mutex_);
  const auto it = loads_.find(pool);
  return it == loads_.end() ? home_load{} : it->second;
}

void slot_adapter::SetLoad(const home_load_changed& changed) {
  std::lock_guard lock(mutex_);
  loads_[changed.pool] = changed.load;
}

void slot_adapter::SetLent(const balance_report& report) {
  std::lock_guard lock(mutex_);
  lent_.clear();
  for (const server_balance& server : report.servers) {
    if (server.is_granting)
      lent_[server.server] = server.granted;
  }
}

// Only a server's home measures it, so attempts on other servers are not
// reported.
void slot_adapter::TellMeasure(const release& result) {
  std::uint32_t in_flight = 0;
  {
    std::lock_guard lock(mutex_);
    const auto it = lent_.find(result.server);
    if (it == lent_.end())
      return;
    in_flight = it->second;
  }
  measure_->Post(attempt_observed{.server = result.server,
                                  .in_flight = in_flight,
                                  .latency = result.latency,
                                  .cold = result.cold,
                                  .failed = result.is_error_status});
}

void slot_adapter::Deliver(const assigned& answer) {
  // Runs on the duty's thread, which must not wait for room in its own ring.
  if (!replies_.Complete(answer.request, answer))
    balance_->Post(cancel_acquire{answer.request});
}

void slot_adapter::Deliver(const forwarded& answer) {
  // A decision to forward is made at once, so its request waits for it unless
  // this duty is later than the request's deadline.
  if (!replies_.Complete(answer.request, answer)) {
    LogEvent(log_level::kWarning, "forward-not-taken",
             {{"home", answer.home.value()}});
  }
}

void slot_adapter::Deliver(const acquire_rejected& answer) {
  replies_.Complete(answer.request, answer);
}

void slot_adapter::Return(request_id request) {
  balance_->PostUntil(cancel_acquire{request},
                      clock_.Now().steady + kReleaseWait);
}

}  // namespace dotterellead
