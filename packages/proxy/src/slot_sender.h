// Sends requests to backend servers on slots, and gives the slots back.
#ifndef DOTTERELLEAD_SLOT_SENDER_H_
#define DOTTERELLEAD_SLOT_SENDER_H_

#include "dotterellead/proxy.h"

namespace dotterellead {

// The caller's header with the time that it waits.
inline constexpr std::string_view kTimeoutHeader = "request-timeout-ms";

// `request` as it goes on: without the headers that end here, and with the time
// left until `deadline`.
http_request OutgoingRequest(const http_request& request,
                             time_point now,
                             time_point deadline);

// One attempt on a slot, and how the slot was given back.
struct slot_attempt {
  attempt sent;
  release result;
};

class slot_sender {
 public:
  // The arguments outlive this.
  slot_sender(slot_source& slots,
              backend_transport& backends,
              const clock_source& clock)
      : slots_(slots), backends_(backends), clock_(clock) {}

  // Gives the slot back unused if the caller has gone, as it may have while the
  // request waited or this host was paused. Returns whether it has.
  bool ReleaseIfGone(request_id id,
                     const assigned& slot,
                     const http_peer& caller);

  // Sends once. The answer comes without headers that are for one connection
  // only or for entry hosts only.
  slot_attempt Send(request_id id,
                    const assigned& slot,
                    const http_request& request,
                    bool idempotent,
                    time_point request_deadline,
                    const http_peer& caller);

 private:
  slot_source& slots_;
  backend_transport& backends_;
  const clock_source& clock_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SLOT_SENDER_H_
