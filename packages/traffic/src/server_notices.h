// Reads what a server says of itself in the headers of its responses.
#ifndef DOTTERELLEAD_TRAFFIC_SERVER_NOTICES_H_
#define DOTTERELLEAD_TRAFFIC_SERVER_NOTICES_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterellead/dispatch.h"
#include "dotterellead/traffic.h"
#include "messages.h"

namespace dotterellead::traffic {

// Receives the notices of all servers.
using notice_sink = std::function<void(dispatch::server_notice)>;

// The backoff that the values of a Retry-After header request, at most
// limits::kMaxServerBackoff. Of several valid values the longest counts;
// `problem` says what was wrong with the others and is empty if nothing was.
struct parsed_backoff {
  std::optional<milliseconds> time;
  std::string_view problem;
};
parsed_backoff ParseBackoff(const std::vector<std::string_view>& values);

// Whether the values of the leaving header say that the server leaves: "1"
// does, alone or among others, and any other value says nothing.
struct parsed_leaving {
  bool is_leaving = false;
  std::string_view problem;
};
parsed_leaving ParseLeaving(const std::vector<std::string_view>& values);

// Returns what `server` says of itself in a response of its own; nullopt if it
// says nothing. Logs the event "server-header-invalid" for a value that cannot
// be used.
std::optional<dispatch::server_notice> ReadNotice(
    const response_message& response,
    const header_names& names,
    const dispatch::server_ref& server);

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_SERVER_NOTICES_H_
