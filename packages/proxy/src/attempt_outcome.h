// What one attempt at a backend server means for its slot and for the request.
#ifndef DOTTERELLEAD_ATTEMPT_OUTCOME_H_
#define DOTTERELLEAD_ATTEMPT_OUTCOME_H_

#include <string_view>

#include "dotterellead/proxy.h"

namespace dotterellead {

attempt_result ResultOf(const attempt& sent);

// Whether the request ran: kDone if a backend server answered it.
run_state RunOf(attempt_result result);

inline constexpr std::string_view kCancelledReason = "cancelled";
inline constexpr std::string_view kShedReason = "backend-shed";
inline constexpr std::string_view kTimeoutReason = "backend-timeout";
inline constexpr std::string_view kHomeTimeoutReason = "home-timeout";

// The reason that callers and metrics get for an attempt without an answer.
std::string_view ReasonOf(attempt_result result);

// Gives back `slot`, which the attempt `sent` of `request` used. The server was
// told to end by `deadline`.
release MakeRelease(request_id request,
                    const assigned& slot,
                    const attempt& sent,
                    time_point deadline);

// The answer to a caller whose request got none from a backend server.
http_answer MakeFailedAnswer(std::string_view reason, run_state run);

// A 5xx counts against the server's version.
bool IsFailure(const http_answer& answer);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ATTEMPT_OUTCOME_H_
