// Parsing and conversion of HTTP messages between callers and servers.
#ifndef DOTTERELLEAD_TRAFFIC_MESSAGES_H_
#define DOTTERELLEAD_TRAFFIC_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>

#include "dotterellead/dispatch.h"
#include "dotterellead/net.h"
#include "dotterellead/traffic.h"
#include "request_body.h"

namespace dotterellead::traffic {

using request_message = http::request<block_body>;
using response_message = http::response<http::string_body>;

// Host and path of a request; `problem` is empty if the request is valid.
struct request_target {
  std::string host;
  // In origin form.
  std::string path;
  std::string problem;
};

// Reads host and path from the request target and the Host header, and checks
// what the parser does not.
request_target ParseTarget(const request_message& request, bool is_chunked);

// Parses a number of milliseconds; nullopt if the text is not one.
std::optional<milliseconds> ParseMillis(std::string_view text);

// Parses "running,waiting,slots[,pace]"; nullopt if the text has another form.
std::optional<dispatch::load_report> ParseLoad(std::string_view text);

// Removes the headers that concern one connection only.
void RemoveHopByHopHeaders(http::fields& headers);

// Reads the credential of a caller's request. Several header lines are
// malformed.
access::credential ReadCredential(const request_message& request,
                                  const header_names& names);

// Converts a caller's request into the request for a server.
request_message MakeServerRequest(const request_message& from_caller,
                                  const std::string& path,
                                  const header_names& names,
                                  const dispatch::send_attempt& attempt);

// Converts a server's response into the response for the caller, with the same
// status, reason, headers and body.
response_message MakeCallerResponse(response_message from_server,
                                    bool is_head,
                                    bool keep_alive);

// Makes a response of the entry host itself; `reason` is its body.
response_message MakeOwnResponse(http::status status,
                                 std::string_view reason,
                                 std::optional<milliseconds> retry_after,
                                 bool keep_alive);

// The status of a rejection.
http::status StatusOf(dispatch::reject_reason reason);

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_MESSAGES_H_
