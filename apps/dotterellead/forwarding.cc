#include "forwarding.h"

namespace dotterellead {
namespace {

std::string ProofOf(const std::string& secret) {
  return "Bearer " + secret;
}

http_answer Unauthorized() {
  return MakeOwnAnswer(
      401, run_state::kNotRun, "unauthorized",
      "the request does not prove that it comes from an entry host",
      "set the same DOTTERELLEAD_PEER_SECRET on all entry hosts");
}

}  // namespace

socket_address ForwardAddressOf(socket_address peer_address) {
  ++peer_address.port;
  return peer_address;
}

home_sender::home_sender(const clock_source& clock,
                         const peer_directory& directory,
                         const std::string& secret)
    : directory_(directory), proof_(ProofOf(secret)), transport_(clock) {}

home_attempt home_sender::Send(const member_id& home,
                               http_request request,
                               const attempt_limits& limits,
                               const http_peer& caller) {
  const std::optional<std::string> peer = directory_.AddressOf(home);
  if (!peer)
    return {.sent = {.result = {}, .not_sent = true}, .address = {}};
  const server_id address(
      ForwardAddressOf(ParseSocketAddress(*peer)).ToString());
  request.headers.push_back({kForwardProofHeader, proof_});
  return {.sent = transport_.Send(address, request, limits, caller),
          .address = address};
}

forward_listener::forward_listener(forward_listener_options options,
                                   http_listener::handler handle)
    : expected_(ProofOf(options.secret)),
      handle_(std::move(handle)),
      listener_({.address = ForwardAddressOf(options.peer_address),
                 .threads = limits::kForwardThreads,
                 .max_headers = limits::kMaxHeaders + limits::kForwardHeaders,
                 .max_header_bytes = byte_count{limits::kMaxHeaderBytes +
                                                limits::kForwardHeaderBytes},
                 .decorate = std::move(options.decorate)},
                [this](const http_request& request, const http_peer& peer) {
                  return Answer(request, peer);
                }) {}

http_answer forward_listener::Answer(const http_request& request,
                                     const http_peer& peer) const {
  const std::string* proof = FindHeader(request.headers, kForwardProofHeader);
  if (proof == nullptr || !EqualInConstantTime(*proof, expected_))
    return Unauthorized();
  return handle_(request, peer);
}

}  // namespace dotterellead
