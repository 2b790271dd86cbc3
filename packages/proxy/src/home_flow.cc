#include "home_flow.h"

#include "attempt_outcome.h"

namespace dotterellead {
namespace {

forward_answer NotRun(std::string_view reason) {
  return {.run = run_state::kNotRun, .reason = std::string(reason)};
}

}  // namespace

http_answer home_flow::Handle(request_id id,
                              const http_request& request,
                              const http_peer& caller) {
  const std::optional<forward_request> wanted =
      DecodeForwardRequest(request.headers);
  if (!wanted) {
    return MakeOwnAnswer(400, run_state::kNotRun, "bad-envelope",
                         "the forwarding header is missing or malformed",
                         "run the same release on all entry hosts");
  }
  http_answer answer;
  forward_answer ended = Run(id, *wanted, request, caller, answer);
  ended.load = slots_.LoadOf(wanted->pool);
  if (ended.run != run_state::kDone)
    answer = MakeFailedAnswer(ended.reason, ended.run);
  answer.headers.push_back(EncodeForward(ended));
  return answer;
}

forward_answer home_flow::Run(request_id id,
                              const forward_request& wanted,
                              const http_request& request,
                              const http_peer& caller,
                              http_answer& answer) {
  const time_point deadline = clock_.Now().steady + wanted.left;
  const auto where = slots_.Acquire({.request = id,
                                     .pool = wanted.pool,
                                     .tenant = wanted.tenant,
                                     .version = wanted.version,
                                     .excluded = wanted.excluded,
                                     .deadline = deadline,
                                     .kind = acquire_kind::kForwarded,
                                     .may_wait = wanted.may_wait});
  if (const auto* no = std::get_if<acquire_rejected>(&where))
    return NotRun(to_string(no->reason));
  // A forwarded request is never forwarded again.
  const auto* slot = std::get_if<assigned>(&where);
  if (slot == nullptr)
    return NotRun(to_string(rejection_reason::kNotHome));
  if (sender_.ReleaseIfGone(id, *slot, caller))
    return NotRun(kCancelledReason);
  slot_attempt done = sender_.Send(id, *slot, request, true, deadline, caller);
  const attempt_result result = done.result.result;
  answer = std::move(done.sent.result.answer);
  return {.run = RunOf(result),
          .reason = result == attempt_result::kResponded
                        ? std::string()
                        : std::string(ReasonOf(result)),
          .server = slot->server,
          .version = slot->version,
          .at_backend = done.sent.latency,
          .refuses_connections = done.sent.refuses_connections};
}

}  // namespace dotterellead
