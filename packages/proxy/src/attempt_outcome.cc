#include "attempt_outcome.h"

namespace dotterellead {
namespace {

bool SaysNotRun(const http_answer& answer) {
  const std::string* run = FindHeader(answer.headers, "request-run");
  return answer.status == 503 && run != nullptr && *run == "not-run";
}

bool IsTimeout(std::string_view reason) {
  return reason == kTimeoutReason || reason == kHomeTimeoutReason ||
         reason == to_string(rejection_reason::kDeadline);
}

}  // namespace

attempt_result ResultOf(const attempt& sent) {
  if (sent.not_sent)
    return attempt_result::kNotSent;
  switch (sent.result.failure) {
    case send_failure::kNone:
      return SaysNotRun(sent.result.answer) ? attempt_result::kNotRun
                                            : attempt_result::kResponded;
    case send_failure::kConnect:
      return attempt_result::kNotConnected;
    case send_failure::kTimeout:
      return attempt_result::kTimedOut;
    case send_failure::kCancelled:
      return attempt_result::kCancelled;
    case send_failure::kCut:
    case send_failure::kBadAnswer:
      return attempt_result::kConnectionLost;
  }
  return attempt_result::kConnectionLost;
}

run_state RunOf(attempt_result result) {
  switch (result) {
    case attempt_result::kResponded:
      return run_state::kDone;
    case attempt_result::kNotRun:
    case attempt_result::kNotConnected:
    case attempt_result::kNotSent:
      return run_state::kNotRun;
    case attempt_result::kConnectionLost:
    case attempt_result::kTimedOut:
    case attempt_result::kCancelled:
      return run_state::kUnknown;
  }
  return run_state::kUnknown;
}

std::string_view ReasonOf(attempt_result result) {
  switch (result) {
    case attempt_result::kNotRun:
      return kShedReason;
    case attempt_result::kNotConnected:
      return "backend-connect";
    case attempt_result::kNotSent:
      return "lease-expired";
    case attempt_result::kTimedOut:
      return kTimeoutReason;
    case attempt_result::kCancelled:
      return kCancelledReason;
    default:
      return "backend-cut";
  }
}

http_answer MakeFailedAnswer(std::string_view reason, run_state run) {
  const int status = IsTimeout(reason)           ? 504
                     : run == run_state::kNotRun ? 503
                                                 : 502;
  const char* remedy =
      run == run_state::kNotRun
          ? "it did not run; send it again later"
          : "it may have run; resend with the same Idempotency-Key to learn "
            "the outcome";
  return MakeOwnAnswer(status, run, reason,
                       "no backend server gave a whole answer", remedy);
}

bool IsFailure(const http_answer& answer) {
  return answer.status >= 500 && !SaysNotRun(answer);
}

release MakeRelease(request_id request,
                    const assigned& slot,
                    const attempt& sent,
                    time_point deadline) {
  release r{.request = request,
            .result = ResultOf(sent),
            .latency = sent.latency,
            .idle_connection_closed = sent.found_closed,
            .server = slot.server,
            .server_busy_until = deadline + limits::kLeaseExpiryMargin};
  if (sent.not_sent || !sent.result.ok())
    return r;
  const http_headers& headers = sent.result.answer.headers;
  r.is_error_status = IsFailure(sent.result.answer);
  if (const std::string* state = FindHeader(headers, "server-state"))
    r.cold = *state == "cold";
  if (const std::string* draining = FindHeader(headers, "server-draining"))
    r.draining = *draining == "1";
  if (const std::string* boot = FindHeader(headers, "server-boot"))
    r.server_boot = *boot;
  return r;
}

}  // namespace dotterellead
