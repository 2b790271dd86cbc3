// Serves requests that other entry hosts forward to this one as a home.
#ifndef DOTTERELLEAD_HOME_FLOW_H_
#define DOTTERELLEAD_HOME_FLOW_H_

#include "forward_codec.h"
#include "slot_sender.h"

namespace dotterellead {

class home_flow {
 public:
  // The arguments outlive this.
  home_flow(slot_source& slots, slot_sender& sender, const clock_source& clock)
      : slots_(slots), sender_(sender), clock_(clock) {}

  // See request_flow::HandleForwarded. `id` is new.
  http_answer Handle(request_id id,
                     const http_request& request,
                     const http_peer& caller);

 private:
  forward_answer Run(request_id id,
                     const forward_request& wanted,
                     const http_request& request,
                     const http_peer& caller,
                     http_answer& answer);

  slot_source& slots_;
  slot_sender& sender_;
  const clock_source& clock_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_HOME_FLOW_H_
