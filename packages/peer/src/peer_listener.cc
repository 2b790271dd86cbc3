#include <atomic>

#include "dotterellead/peer.h"
#include "peer_rpc.h"

namespace dotterellead {

class peer_listener::impl {
 public:
  impl(const peer_listener_options& options, peer_methods methods)
      : expected_(BearerValue(options.secret)),
        dispatcher_(std::move(methods)),
        listener_({.address = options.address, .threads = options.threads},
                  [this](const http_request& request, const http_peer&) {
                    return Answer(request);
                  }) {}

  void Start() { listener_.Start(); }
  void Stop() { listener_.Stop(); }
  socket_address address() const { return listener_.address(); }

  peer_stats stats() const {
    peer_stats stats;
    stats.calls_in = calls_;
    stats.bytes_in = bytes_in_;
    stats.bytes_out = bytes_out_;
    stats.unauthorized = unauthorized_;
    return stats;
  }

 private:
  http_answer Answer(const http_request& request) {
    bytes_in_ += request.body.size();
    http_answer answer;
    const std::string* proof = FindHeader(request.headers, "authorization");
    if (proof == nullptr || !EqualInConstantTime(*proof, expected_)) {
      ++unauthorized_;
      answer.status = 401;
      answer.headers.push_back({"WWW-Authenticate", "Bearer"});
      return answer;
    }
    if (request.method != "POST" || TargetPath(request.target) != kRpcPath) {
      answer.status = 404;
      return answer;
    }
    ++calls_;
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = dispatcher_.Handle(request.body);
    bytes_out_ += answer.body.size();
    return answer;
  }

  const std::string expected_;
  rpc_dispatcher dispatcher_;
  std::atomic<std::uint64_t> calls_{0};
  std::atomic<std::uint64_t> bytes_in_{0};
  std::atomic<std::uint64_t> bytes_out_{0};
  std::atomic<std::uint64_t> unauthorized_{0};
  http_listener listener_;
};

peer_listener::peer_listener(const peer_listener_options& options,
                             peer_methods methods) {
  if (options.secret.empty()) {
    throw invalid_setting_error(
        "the peer secret is empty",
        "set the same secret in the environment of all entry hosts");
  }
  impl_ = std::make_unique<impl>(options, std::move(methods));
}

peer_listener::~peer_listener() {
  Stop();
}

void peer_listener::Start() {
  impl_->Start();
}

void peer_listener::Stop() {
  impl_->Stop();
}

socket_address peer_listener::address() const {
  return impl_->address();
}

peer_stats peer_listener::stats() const {
  return impl_->stats();
}

}  // namespace dotterellead
