#include "slot_sender.h"

#include <algorithm>

#include "attempt_outcome.h"
#include "forward_codec.h"

namespace dotterellead {

http_request OutgoingRequest(const http_request& request,
                             time_point now,
                             time_point deadline) {
  http_request out = request;
  RemoveHopByHopHeaders(out.headers);
  RemoveForwardHeaders(out.headers);
  std::erase_if(out.headers, [](const http_header& header) {
    return FindHeader({header}, kTimeoutHeader) != nullptr ||
           FindHeader({header}, "expect") != nullptr;
  });
  const auto left = std::chrono::duration_cast<milliseconds>(deadline - now);
  out.headers.push_back(
      {std::string(kTimeoutHeader),
       std::to_string(std::max<std::int64_t>(1, left.count()))});
  return out;
}

bool slot_sender::ReleaseIfGone(request_id id,
                                const assigned& slot,
                                const http_peer& caller) {
  if (!caller.IsGone())
    return false;
  slots_.Release({.request = id,
                  .result = attempt_result::kNotSent,
                  .server = slot.server});
  return true;
}

slot_attempt slot_sender::Send(request_id id,
                               const assigned& slot,
                               const http_request& request,
                               bool idempotent,
                               time_point request_deadline,
                               const http_peer& caller) {
  const time_point now = clock_.Now().steady;
  const time_point deadline = std::min(request_deadline, now + slot.max_run);
  const attempt_limits limits{.send_before = slot.send_before,
                              .deadline = deadline,
                              .needs_fresh = !idempotent,
                              .cancel_with_caller = idempotent};
  slot_attempt done;
  done.sent = backends_.Send(
      slot.server, OutgoingRequest(request, now, deadline), limits, caller);
  done.result = MakeRelease(id, slot, done.sent, deadline);
  slots_.Release(done.result);
  RemoveHopByHopHeaders(done.sent.result.answer.headers);
  RemoveForwardHeaders(done.sent.result.answer.headers);
  return done;
}

}  // namespace dotterellead
