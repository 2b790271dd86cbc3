// Passes requests on to the homes of servers, and takes those of other entry
// hosts.
#ifndef DOTTERELLEAD_FORWARDING_H_
#define DOTTERELLEAD_FORWARDING_H_

#include "dotterellead/proxy.h"
#include "peer_directory.h"

namespace dotterellead {

// Where an entry host takes forwarded requests: on the port after its peer
// address's.
socket_address ForwardAddressOf(socket_address peer_address);

// Sends to homes over connections of its own.
class home_sender : public home_transport {
 public:
  home_sender(const clock_source& clock,
              const peer_directory& directory,
              const std::string& secret);
  attempt Send(const member_id& home,
               http_request request,
               const attempt_limits& limits,
               const http_peer& caller) override;

 private:
  const peer_directory& directory_;
  const std::string proof_;
  pooled_transport transport_;
};

struct forward_listener_options {
  socket_address peer_address;
  std::string secret;
  std::function<void(http_answer&)> decorate;
};

// Hands requests that carry the peers' secret to its handler, on threads of its
// own. The flow removes the proof with the envelope.
class forward_listener {
 public:
  forward_listener(forward_listener_options options,
                   http_listener::handler handle);

  void Start() { listener_.Start(); }
  void Stop() { listener_.Stop(); }
  void BeginClosing() { listener_.BeginClosing(); }

 private:
  http_answer Answer(const http_request& request, const http_peer& peer) const;

  const std::string expected_;
  const http_listener::handler handle_;
  http_listener listener_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_FORWARDING_H_
