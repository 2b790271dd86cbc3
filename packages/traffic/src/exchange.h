// Exchange of one request and its response with a backend server, and probes.
#ifndef DOTTERELLEAD_TRAFFIC_EXCHANGE_H_
#define DOTTERELLEAD_TRAFFIC_EXCHANGE_H_

#include <optional>

#include "dotterellead/dispatch.h"
#include "dotterellead/traffic.h"
#include "host_budget.h"
#include "messages.h"
#include "server_connections.h"
#include "server_notices.h"

namespace dotterellead::traffic {

// What all exchanges of a host share.
struct exchange_context {
  server_connections& connections;
  const header_names& names;
  host_budget& memory;
  // Receives what servers say of themselves, before the exchange returns.
  notice_sink notify;
};

// Outcome of one attempt.
struct exchange_result {
  dispatch::attempt_result result = dispatch::attempt_result::kConnectionLost;
  int status = 0;
  std::optional<dispatch::load_report> load;
  // Set if `result` is kResponded.
  response_message response;
  // The memory of `response`.
  memory_account reservation;
};

// Lets the owner of a request cancel the exchange in progress.
struct exchange_handle {
  connection_ptr connection;
  bool is_cancelled = false;
  void Cancel();
};

// Sends `request` to `server` on a recently used or new connection and reads
// the complete response. Fails with kConnectionLost after `timeout`, and with
// kInvalidResponse if the server sends bytes that are no response, or more than
// the limits for a server's response.
task<exchange_result> ExchangeRequest(
    exchange_context& context,
    const dispatch::server_ref& server,
    const std::shared_ptr<const request_message>& request,
    milliseconds timeout,
    const std::shared_ptr<exchange_handle>& handle);

// Probes the health and load of `server`; kUnreachable if it does not respond
// within `timeout`.
task<dispatch::load_sample> ProbeServer(exchange_context& context,
                                        const dispatch::server_ref& server,
                                        milliseconds timeout);

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_EXCHANGE_H_
