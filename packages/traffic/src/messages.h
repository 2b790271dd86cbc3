// HTTP messages: what is taken over from one side to the other, and answers of
// our own.
#ifndef DOTTERELLEAD_TRAFFIC_MESSAGES_H_
#define DOTTERELLEAD_TRAFFIC_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "dotterellead/dispatch.h"
#include "dotterellead/net.h"
#include "dotterellead/traffic.h"

namespace dotterellead::traffic {

using request_message = http::request<http::string_body>;
using answer_message = http::response<http::string_body>;

// Where a request wants to go. `problem` is empty if the request is proper.
struct request_target {
  std::string host;
  // In origin form.
  std::string path;
  std::string problem;
};

// Reads host and path from the target and the Host header; checks what the
// parser does not.
request_target ReadTarget(const request_message& request, bool is_chunked);

// Milliseconds in a header, or nullopt if absent or not a number.
std::optional<milliseconds> ReadMillis(std::string_view text);

// "running,waiting,slots[,pace]"; nullopt if it cannot be read.
std::optional<dispatch::load_report> ReadLoad(std::string_view text);

// Removes the headers that concern one connection only.
void RemoveHopHeaders(http::fields& headers);

// The request as a server gets it.
request_message ForServer(const request_message& from_caller,
                          const std::string& path,
                          const header_names& names,
                          const dispatch::send_attempt& attempt);

// The server's answer as the caller gets it: same status, reason, headers and
// body.
answer_message ForCaller(answer_message from_server,
                         bool is_head,
                         bool keep_alive);

// An answer of our own.
answer_message OwnAnswer(http::status status,
                         std::string_view reason,
                         std::optional<milliseconds> retry_after,
                         bool keep_alive);

http::status StatusOf(dispatch::reject_reason reason);

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_MESSAGES_H_
