#include "forward_result.h"

#include <algorithm>

#include "attempt_outcome.h"

namespace dotterellead {
namespace {

// The home stops waiting a little earlier than this host, so that its answer,
// which carries its load, still arrives. A home's duties are up to 20 ms late.
constexpr milliseconds kResponseMargin{30};

// How a forwarded request ended for which the home gave no whole answer.
forward_result WithoutAnswer(const attempt& at_home) {
  switch (ResultOf(at_home)) {
    case attempt_result::kNotSent:
      return {{.run = run_state::kNotRun, .reason = "home-unknown"},
              false,
              "not-sent"};
    case attempt_result::kNotConnected:
      return {{.run = run_state::kNotRun, .reason = "home-connect"},
              false,
              "connect-failed"};
    case attempt_result::kTimedOut:
      return {{.reason = std::string(kHomeTimeoutReason)}, false, "timed-out"};
    case attempt_result::kCancelled:
      return {{.reason = std::string(kCancelledReason)}, false, "cancelled"};
    default:
      return {{.reason = "home-cut"}, false, "cut"};
  }
}

// Only a home's listener answers without an envelope that nothing ran, and only
// before it has passed the request on.
forward_result WithoutEnvelope(const http_headers& headers) {
  const std::string* run = FindHeader(headers, "dotterellead-run");
  if (!HasForwardEnvelope(headers) && run != nullptr && *run == "not-run") {
    return {{.run = run_state::kNotRun, .reason = "home-refused"},
            false,
            "refused-by-listener"};
  }
  return {{.reason = "home-answer"}, false, "bad-envelope"};
}

}  // namespace

forward_result ResultAtHome(const attempt& at_home) {
  if (at_home.not_sent || !at_home.result.ok())
    return WithoutAnswer(at_home);
  const http_headers& headers = at_home.result.answer.headers;
  std::optional<forward_answer> ended = DecodeForwardAnswer(headers);
  if (!ended)
    return WithoutEnvelope(headers);
  const std::string_view outcome = ended->run == run_state::kDone ? "answered"
                                   : ended->run == run_state::kNotRun
                                       ? "not-run"
                                       : "unknown";
  return {std::move(*ended), true, outcome};
}

microseconds TimeLeftForHome(time_point now, time_point deadline) {
  const auto left =
      std::max(microseconds(0),
               std::chrono::duration_cast<microseconds>(deadline - now));
  return left - std::min<microseconds>(kResponseMargin, left / 10);
}

}  // namespace dotterellead
