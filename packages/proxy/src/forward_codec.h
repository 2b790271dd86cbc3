// The envelope of a forwarded request and of its answer: one header each, with
// key=value pairs.
#ifndef DOTTERELLEAD_FORWARD_CODEC_H_
#define DOTTERELLEAD_FORWARD_CODEC_H_

#include <optional>
#include <string>
#include <vector>

#include "dotterellead/proxy.h"

namespace dotterellead {

// What the host that the caller used asks of a home.
struct forward_request {
  pool_id pool;
  tenant_id tenant;
  // Invalid: any version.
  version_id version;
  // Servers that earlier attempts of the request used.
  std::vector<server_id> excluded;
  // Time until nobody waits for the answer any more.
  microseconds left{0};
  // Whether the request may wait for a slot at the home.
  bool may_wait = true;
  bool operator==(const forward_request&) const = default;
};

// How the home's attempt ended. With kDone the answer is the backend server's.
struct forward_answer {
  run_state run = run_state::kUnknown;
  // Why there is no backend server's answer. Empty with kDone.
  std::string reason;
  // The server that the home sent the request to. Invalid if it sent nothing.
  server_id server;
  version_id version;
  microseconds at_backend{0};
  home_load load;
  // After a cut, the server refused new connections.
  bool refuses_connections = false;
  bool operator==(const forward_answer&) const = default;
};

http_header EncodeForward(const forward_request& m);
http_header EncodeForward(const forward_answer& m);

// Return nullopt if the envelope is missing, repeated or malformed.
std::optional<forward_request> DecodeForwardRequest(
    const http_headers& headers);
std::optional<forward_answer> DecodeForwardAnswer(const http_headers& headers);

// Whether there is an envelope, well formed or not.
bool HasForwardEnvelope(const http_headers& headers);

// Removes all headers that only entry hosts may send each other.
void RemoveForwardHeaders(http_headers& headers);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_FORWARD_CODEC_H_
