// HTTP I/O for requests: reads them from callers, passes them to the
// dispatcher, executes its effects on backend servers, and writes the
// responses. Runs on one thread with an event loop and makes no decisions.
#ifndef DOTTERELLEAD_TRAFFIC_H_
#define DOTTERELLEAD_TRAFFIC_H_

#include <functional>
#include <memory>
#include <string>

#include "dotterellead/catalog.h"
#include "dotterellead/core.h"
#include "dotterellead/dispatch.h"
#include "dotterellead/limits.h"

namespace dotterellead::traffic {

// Names of the HTTP headers of the product's protocol with callers and backend
// servers. The platform adapter fills them in.
struct header_names {
  // The caller's id of a request; servers echo it in the response.
  std::string request_id;
  // Milliseconds that the sender waits for the response.
  std::string timeout;
  // Signature of the server that generated the response.
  std::string signature;
  // Id of the only server that may run the request.
  std::string expected_server;
  // Id of the server that responded to a probe.
  std::string server_id;
  // "running,waiting,slots[,pace]".
  std::string load;
  // Present if the server did not run the request.
  std::string not_run;
  // Remaining warm-up time of the server in milliseconds.
  std::string warmup_left;
  // "1" in the responses of a server that leaves.
  std::string leaving;
  // In a response with status 503: seconds, with fractions, in which the server
  // accepts nothing from this host.
  std::string retry_after;
  // The caller's credential, and the name of the customer that it belongs to,
  // for servers.
  std::string credential;
  std::string customer;
};

struct traffic_settings {
  // Listen address for callers.
  catalog::endpoint front_address;
  // Listen address of the readiness check.
  catalog::endpoint ready_address;
  // Listen address for `metrics_text`; not served if invalid.
  catalog::endpoint metrics_address;
  // Called on the service's thread.
  std::function<std::string()> metrics_text;
  header_names headers;
  // Limit of the responses that are buffered at one time. A response beyond it
  // counts as invalid.
  byte_count max_buffered_responses{limits::kMaxBufferedResponseBytes};
  // What callers and servers can make this host hold: headers, bodies, buffers
  // and responses.
  byte_count memory{(limits::kDefaultMemoryMb << 20) * limits::kBudgetPercent /
                    100};
  // Callers' connections that may be open. Idle ones are closed to make room.
  std::uint64_t max_caller_connections = UINT64_MAX;
  // Connections to servers that may be open; further ones wait.
  std::uint64_t max_server_connections = UINT64_MAX;
};

// Counters since the start and current numbers of open connections and
// requests.
struct traffic_counters {
  std::uint64_t requests = 0;
  std::uint64_t delivered = 0;
  std::uint64_t rejected = 0;
  std::uint64_t probes = 0;
  std::uint64_t server_connections = 0;
  // Bytes of responses that are buffered now.
  std::uint64_t buffered_response_bytes = 0;
  std::uint64_t open_caller_connections = 0;
  std::uint64_t open_requests = 0;
  // Whether callers can open connections.
  bool is_accepting = false;
  // Bytes that are held now for callers and servers.
  std::uint64_t held_bytes = 0;
  // Requests that were rejected before they ran, or while their body arrived,
  // for lack of memory; and of the latter those that gave way to others.
  std::uint64_t rejected_for_memory = 0;
  std::uint64_t evicted_requests = 0;
  // Callers' connections that were refused or closed for lack of descriptors.
  std::uint64_t closed_callers = 0;
};

// All methods but Start and Stop are thread-safe.
class traffic_service {
 public:
  // Posts a message to the dispatcher. Returns false if its queue is full.
  using to_dispatcher = std::function<bool(dispatch::dispatcher::message)>;

  traffic_service(traffic_settings settings, to_dispatcher post);
  ~traffic_service();

  // Listens on the configured addresses and starts the thread. Throws
  // unavailable_error if an address cannot be used.
  void Start();
  // Ends the thread and closes all connections.
  void Stop();

  // Executes an effect of the dispatcher on the service's thread. Effects that
  // involve no I/O are ignored.
  void Execute(dispatch::dispatcher::effect effect);
  // Sets the limits for callers.
  void SetLimits(const catalog::caller_limits& limits);
  // Sets the result of the readiness check.
  void SetReady(bool is_ready);
  // Closes idle caller connections, and the others after their current
  // response.
  void StartDrain();
  // Closes the listening socket. Connections that callers have opened by then
  // are served; `is_accepting` turns false once all of them are counted. Those
  // that stay silent are closed after a short time. Call StartDrain first.
  void StopAccepting();
  traffic_counters counters() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_H_
