#include <fmt/core.h>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// First HTTP status that tells a failure of the server.
constexpr int kServerError = 500;
// An answer that took this many times the predicted time counts against its
// server's version: a machine that turns slow meanwhile stays below it.
constexpr int kSlowFactor = 3;
// A server that lives answers a probe in some ms.
constexpr milliseconds kCrashCheckLimit{60};

std::string_view to_string(attempt_result result) {
  switch (result) {
    case attempt_result::kAnswered:
      return "answered";
    case attempt_result::kNotRun:
      return "not-run";
    case attempt_result::kWrongServer:
      return "wrong-server";
    case attempt_result::kNotConnected:
      return "not-connected";
    case attempt_result::kBroken:
      return "broken";
    case attempt_result::kBadAnswer:
      return "bad-answer";
  }
  return "unknown";
}

bool DidNotRun(attempt_result result) {
  return result == attempt_result::kNotRun ||
         result == attempt_result::kWrongServer ||
         result == attempt_result::kNotConnected;
}

bool IsGoodAnswer(const attempt_ended& m) {
  return m.result == attempt_result::kAnswered && m.status < kServerError;
}

}  // namespace

void dispatcher::impl::RecordOutcome(const call_state& call,
                                     const attempt_ended& m,
                                     const moment& now,
                                     effects& out) {
  if (IsGoodAnswer(m)) {
    health_.Succeeded(m.server);
    WorkOf(*call.route).Add(m.taken, call.load_at_send);
  } else if (m.result == attempt_result::kNotConnected ||
             m.result == attempt_result::kWrongServer) {
    health_.Unreachable(m.server, now.steady);
  } else if (m.result != attempt_result::kNotRun) {
    health_.Failed(m.server, now.steady);
  }
  if (m.result == attempt_result::kBroken)
    StartCrashCheck(call, out);
  if (!DidNotRun(m.result))
    ObserveVersion(call, !IsGoodAnswer(m), now, out);
}

void dispatcher::impl::StartCrashCheck(const call_state& call, effects& out) {
  const auto server = known_->servers.find(call.server);
  if (server == known_->servers.end())
    return;
  const request_id id = NextRound();
  crash_checks_[id] = call.fingerprint;
  out.emplace_back(AskFor(id, {&server->second}, kCrashCheckLimit));
}

void dispatcher::impl::ObserveVersion(const call_state& call,
                                      bool is_failure,
                                      const moment& now,
                                      effects& out) {
  const auto order = known_->moves.find(call.pool);
  if (order == known_->moves.end())
    return;
  const bool is_slow = now.steady - call.sent > call.predicted * kSlowFactor;
  out.emplace_back(version_observed{call.pool, order->second.revision,
                                    call.server_version == order->second.target,
                                    call.route->name, is_failure || is_slow});
}

bool dispatcher::impl::MayRepeat(call_state& call,
                                 const attempt_ended& m,
                                 const moment& now) {
  if (call.caller_is_gone || call.sends >= call.route->max_servers)
    return false;
  if (!DidNotRun(m.result) &&
      call.route->repeat != catalog::repeat_rule::kIdempotent)
    return false;
  // A connect that failed brought nothing to a server.
  if (m.result == attempt_result::kNotConnected)
    return true;
  return budgets_.at(call.pool).TryTake(now.steady, SlackShare());
}

void dispatcher::impl::On(const attempt_ended& m,
                          const moment& now,
                          effects& out) {
  auto it = calls_.find(m.call);
  if (it == calls_.end() || it->second.now_in != phase::kSending ||
      it->second.server != m.server)
    return;
  call_state& call = it->second;
  RecordOutcome(call, m, now, out);
  Log(out, "attempt-ended",
      {{"request", call.caller_request},
       {"server", m.server.value()},
       {"result", std::string(to_string(m.result))},
       {"status", fmt::format("{}", m.status)},
       {"taken_ms", fmt::format("{}", m.taken.count() / 1000)}});
  call.now_in = phase::kSampling;
  if (!DidNotRun(m.result))
    call.earlier_may_have_run = true;
  if (m.result == attempt_result::kNotConnected)
    --call.sends;
  const bool is_final_answer =
      m.result == attempt_result::kAnswered &&
      (m.status < kServerError ||
       call.route->repeat != catalog::repeat_rule::kIdempotent);
  if (!is_final_answer && MayRepeat(call, m, now)) {
    call.samples.clear();
    call.rounds = 0;
    StartSampling(m.call, call, now, out);
    return;
  }
  if (m.result == attempt_result::kAnswered) {
    const auto total =
        std::chrono::duration_cast<milliseconds>(now.steady - call.arrived);
    out.emplace_back(call_finished{call.route->name, true, {}, total});
    Finish(m.call, deliver_answer{m.call}, out);
    return;
  }
  Reject(m.call, call,
         call.may_have_run() ? reject_reason::kServerFailed
                             : reject_reason::kNoRoom,
         now, out);
}

void dispatcher::impl::On(const caller_left& m, const moment&, effects& out) {
  std::erase_if(early_, [&](const early_call& early) {
    return early.message.call == m.call;
  });
  auto it = calls_.find(m.call);
  if (it == calls_.end()) {
    out.emplace_back(drop_call{m.call});
    return;
  }
  call_state& call = it->second;
  Log(out, "caller-left",
      {{"request", call.caller_request},
       {"sent", call.may_have_run() ? "yes" : "no"}});
  // A request that must not run twice is let run to its end: its effect is
  // wanted even if nobody waits for the answer.
  if (call.now_in == phase::kSending &&
      call.route->repeat == catalog::repeat_rule::kAtMostOnce) {
    call.caller_is_gone = true;
    return;
  }
  Finish(m.call, drop_call{m.call}, out);
}

void dispatcher::impl::Reject(request_id id,
                              call_state& call,
                              reject_reason reason,
                              const moment& now,
                              effects& out) {
  reject_call answer{id, reason, std::nullopt};
  if (IsNotRun(reason) && reason != reject_reason::kNoRoute)
    answer.retry_after = RetryAfter(call, now);
  const auto held =
      std::chrono::duration_cast<milliseconds>(now.steady - call.arrived);
  Log(out, "rejected",
      {{"request", call.caller_request},
       {"route", call.route == nullptr ? "" : call.route->name.value()},
       {"reason", std::string(to_string(reason))},
       {"held_ms", fmt::format("{}", held.count())},
       {"sends", fmt::format("{}", call.sends)},
       {"sampled", fmt::format("{}", call.samples.size())},
       {"server", call.server.value()},
       {"retry_after_ms",
        fmt::format("{}",
                    answer.retry_after.value_or(milliseconds(0)).count())}});
  out.emplace_back(call_finished{
      call.route == nullptr ? catalog::route_name() : call.route->name, false,
      reason, held});
  Finish(id, answer, out);
}

void dispatcher::impl::Finish(request_id id, effect answer, effects& out) {
  calls_.erase(id);
  out.push_back(std::move(answer));
}

}  // namespace dotterellead::dispatch
