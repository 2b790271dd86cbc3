#include <fmt/core.h>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

constexpr int kFirstServerErrorStatus = 500;
// A response that took this many times the predicted latency counts against its
// server's version. A machine that becomes slow during the request stays below
// it.
constexpr int kSlowLatencyFactor = 3;
// A retry on a new connection reaches another host, which may have room now.
constexpr milliseconds kRetryAtAnotherHost{0};
// A live server responds to a probe within a few milliseconds.
constexpr milliseconds kCrashCheckTimeout{60};

std::string_view to_string(attempt_result result) {
  switch (result) {
    case attempt_result::kResponded:
      return "answered";
    case attempt_result::kNotRun:
      return "not-run";
    case attempt_result::kWrongServer:
      return "wrong-server";
    case attempt_result::kNotConnected:
      return "not-connected";
    case attempt_result::kNotSent:
      return "not-sent";
    case attempt_result::kConnectionLost:
      return "broken";
    case attempt_result::kInvalidResponse:
      return "bad-answer";
  }
  return "unknown";
}

bool DidNotRun(attempt_result result) {
  return result == attempt_result::kNotRun ||
         result == attempt_result::kWrongServer ||
         result == attempt_result::kNotConnected ||
         result == attempt_result::kNotSent;
}

bool IsSuccess(const attempt_ended& m) {
  return m.result == attempt_result::kResponded &&
         m.status < kFirstServerErrorStatus;
}

}  // namespace

void dispatcher::impl::RecordOutcome(const request_state& request,
                                     const attempt_ended& m,
                                     const timestamp& now,
                                     effects& out) {
  if (IsSuccess(m)) {
    availability_.RecordSuccess(request.run());
    ServiceTimeOf(*request.route).AddSample(m.latency, request.load_at_send);
    shared_pools_.RecordCompleted(request.pool, request.priority,
                                  ServiceTimeOf(*request.route).value(),
                                  now.steady);
  } else if (m.result == attempt_result::kNotConnected ||
             m.result == attempt_result::kWrongServer) {
    availability_.RecordUnreachable(request.run(), now.steady);
  } else if (!DidNotRun(m.result)) {
    availability_.RecordFailure(request.run(), now.steady);
  }
  if (m.result == attempt_result::kConnectionLost)
    StartCrashCheck(request, now, out);
  if (!DidNotRun(m.result))
    ObserveVersion(request, !IsSuccess(m), now, out);
}

void dispatcher::impl::StartCrashCheck(const request_state& request,
                                       const timestamp& now,
                                       effects& out) {
  const auto server = catalog_->servers.find(request.server);
  if (server == catalog_->servers.end() ||
      !availability_.IsUsable(server->second, now.steady))
    return;
  const request_id id = NextProbeId();
  crash_checks_[id] = request.fingerprint;
  out.emplace_back(MakeProbe(id, {&server->second}, kCrashCheckTimeout));
}

void dispatcher::impl::ObserveVersion(const request_state& request,
                                      bool is_failure,
                                      const timestamp& now,
                                      effects& out) {
  const auto order = catalog_->moves.find(request.pool);
  if (order == catalog_->moves.end())
    return;
  const bool is_slow = now.steady - request.sent_at >
                       request.predicted_latency * kSlowLatencyFactor;
  out.emplace_back(
      version_observed{request.pool, order->second.revision,
                       request.server_version == order->second.target,
                       request.route->name, is_failure || is_slow});
}

bool dispatcher::impl::TryAcquireRetry(request_state& request,
                                       const attempt_ended& m,
                                       const timestamp& now) {
  if (request.is_caller_disconnected ||
      request.attempts >= request.route->max_attempts)
    return false;
  if (!DidNotRun(m.result) &&
      request.route->retry != catalog::retry_policy::kIdempotent)
    return false;
  // Neither put load on a server.
  if (m.result == attempt_result::kNotConnected ||
      m.result == attempt_result::kNotSent)
    return true;
  return retry_budgets_.at(request.pool)
      .TryAcquire(now.steady, retry_allowance_.ShareAt(now.steady));
}

void dispatcher::impl::On(const attempt_ended& m,
                          const timestamp& now,
                          effects& out) {
  auto it = requests_.find(m.request);
  if (it == requests_.end() || it->second.phase != request_phase::kSent ||
      it->second.server != m.server)
    return;
  request_state& request = it->second;
  RecordOutcome(request, m, now, out);
  Log(out, "attempt-ended",
      {{"request", request.caller_request_id},
       {"server", m.server.value()},
       {"result", std::string(to_string(m.result))},
       {"status", fmt::format("{}", m.status)},
       {"taken_ms", fmt::format("{}", m.latency.count() / 1000)}});
  request.phase = request_phase::kProbing;
  if (!DidNotRun(m.result))
    request.earlier_attempt_may_have_run = true;
  else if (!request.earlier_attempt_may_have_run)
    if (const auto count = request.counted.RecordNotRun())
      out.emplace_back(*count);
  if (m.result == attempt_result::kNotConnected ||
      m.result == attempt_result::kNotSent)
    --request.attempts;
  const bool is_final_answer =
      m.result == attempt_result::kResponded &&
      (m.status < kFirstServerErrorStatus ||
       request.route->retry != catalog::retry_policy::kIdempotent);
  if (!is_final_answer && TryAcquireRetry(request, m, now)) {
    request.samples.clear();
    request.probe_rounds = 0;
    StartProbing(m.request, request, now, out);
    return;
  }
  if (m.result == attempt_result::kResponded) {
    const auto total = std::chrono::duration_cast<milliseconds>(
        now.steady - request.arrived_at);
    out.emplace_back(request_completed{request.route->name, true, {}, total});
    Finish(m.request, deliver_response{m.request}, out);
    return;
  }
  Reject(m.request, request,
         request.may_have_run() ? reject_reason::kServerFailed
                                : reject_reason::kNoCapacity,
         now, out);
}

void dispatcher::impl::On(const caller_disconnected& m,
                          const timestamp&,
                          effects& out) {
  std::erase_if(deferred_requests_, [&](const deferred_request& early) {
    return early.message.request == m.request;
  });
  auto it = requests_.find(m.request);
  if (it == requests_.end()) {
    out.emplace_back(cancel_request{m.request});
    return;
  }
  request_state& request = it->second;
  Log(out, "caller-left",
      {{"request", request.caller_request_id},
       {"sent", request.may_have_run() ? "yes" : "no"}});
  // A non-idempotent request runs to its end: its effect is wanted even if
  // nobody receives the response.
  if (request.phase == request_phase::kSent &&
      request.route->retry == catalog::retry_policy::kAtMostOnce) {
    request.is_caller_disconnected = true;
    return;
  }
  Finish(m.request, cancel_request{m.request}, out);
}

void dispatcher::impl::Reject(request_id id,
                              request_state& request,
                              reject_reason reason,
                              const timestamp& now,
                              effects& out) {
  reject_request rejection{id, reason, std::nullopt};
  if (reason == reject_reason::kHostStopping)
    rejection.retry_after = kRetryAtAnotherHost;
  else if (reason == reject_reason::kConfigurationOutdated)
    rejection.retry_after = access_.retry_after();
  else if (GuaranteesNotRun(reason) && reason != reject_reason::kNoRoute &&
           reason != reject_reason::kUnknownKey)
    rejection.retry_after = RetryAfter(request, now);
  ReportFavoured(request, reason, now, out);
  const auto time_held =
      std::chrono::duration_cast<milliseconds>(now.steady - request.arrived_at);
  Log(out, "rejected",
      {{"request", request.caller_request_id},
       {"route", request.route == nullptr ? "" : request.route->name.value()},
       {"reason", std::string(to_string(reason))},
       {"held_ms", fmt::format("{}", time_held.count())},
       {"sends", fmt::format("{}", request.attempts)},
       {"sampled", fmt::format("{}", request.samples.size())},
       {"server", request.server.value()},
       {"retry_after_ms",
        fmt::format("{}",
                    rejection.retry_after.value_or(milliseconds(0)).count())}});
  out.emplace_back(request_completed{
      request.route == nullptr ? catalog::route_name() : request.route->name,
      false, reason, time_held});
  Finish(id, rejection, out);
}

void dispatcher::impl::ReportFavoured(const request_state& request,
                                      reject_reason reason,
                                      const timestamp& now,
                                      effects& out) {
  if (request.route == nullptr || reason != reject_reason::kNoCapacity)
    return;
  const int priority = request.priority;
  shared_pools_.RecordRejected(request.pool, priority, now.steady);
  const std::optional<int> favoured =
      shared_pools_.PlanFor(request.pool, priority).favoured;
  if (!request.is_held_back || !favoured)
    return;
  Log(out, "rejected-in-favour",
      {{"request", request.caller_request_id},
       {"pool", request.pool.value()},
       {"priority", fmt::format("{}", priority)},
       {"favoured", fmt::format("{}", *favoured)}});
  out.emplace_back(rejected_in_favour{request.pool, priority, *favoured});
}

void dispatcher::impl::Finish(request_id id, effect outcome, effects& out) {
  requests_.erase(id);
  out.push_back(std::move(outcome));
}

}  // namespace dotterellead::dispatch
