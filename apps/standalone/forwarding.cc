#include "forwarding.h"

namespace dotterellead {
namespace {

std::string ProofOf(const std::string& secret) {
  return "Bearer " + secret;
}

// The caller of a forwarded request. Seems gone as well once the home is no
// longer live, so that a paused home does not hold the request until its
// deadline.
class caller_and_home : public http_peer {
 public:
  caller_and_home(const http_peer& caller,
                  const peer_directory& directory,
                  const member_id& home)
      : caller_(caller), directory_(directory), home_(home) {}
  bool IsGone() const override {
    return caller_.IsGone() || !directory_.AddressOf(home_);
  }
  void Abort() const override { caller_.Abort(); }
  std::uint64_t connection_number() const override {
    return caller_.connection_number();
  }

 private:
  const http_peer& caller_;
  const peer_directory& directory_;
  const member_id& home_;
};

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

attempt home_sender::Send(const member_id& home,
                          http_request request,
                          const attempt_limits& limits,
                          const http_peer& caller) {
  const std::optional<std::string> peer = directory_.AddressOf(home);
  if (!peer)
    return {.result = {}, .not_sent = true};
  const server_id address(
      ForwardAddressOf(ParseSocketAddress(*peer)).ToString());
  request.headers.push_back({kForwardProofHeader, proof_});
  attempt at_home = transport_.Send(address, request, limits,
                                    caller_and_home(caller, directory_, home));
  send_failure& failure = at_home.result.failure;
  if (failure == send_failure::kCancelled && !caller.IsGone())
    failure = send_failure::kTimeout;
  return at_home;
}

forward_listener::forward_listener(forward_listener_options options,
                                   http_listener::handler handle)
    : expected_(ProofOf(options.secret)),
      handle_(std::move(handle)),
      listener_({.address = ForwardAddressOf(options.peer_address),
                 .threads = limits::kForwardThreads,
                 .closes_idle_when_full = true,
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
