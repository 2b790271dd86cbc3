// Carries requests: reads them from callers, asks the dispatcher what to do
// with each, talks to backend servers, and writes the answers. One thread with
// an event loop; no decision is taken here.
#ifndef DOTTERELLEAD_TRAFFIC_H_
#define DOTTERELLEAD_TRAFFIC_H_

#include <functional>
#include <memory>
#include <string>

#include "dotterellead/catalog.h"
#include "dotterellead/core.h"
#include "dotterellead/dispatch.h"

namespace dotterellead::traffic {

// Names of the HTTP headers that carry what the product needs. Whoever runs the
// product on a platform fills them in.
struct header_names {
  // The caller's id of a request; servers echo it.
  std::string request_id;
  // Milliseconds that the sender will wait.
  std::string time_left;
  // Proof of the server that made an answer.
  std::string signature;
  // The server that alone may run the request.
  std::string expected_server;
  // The server that answered a health check.
  std::string server;
  // "running,waiting,slots[,pace]".
  std::string load;
  // The server has not run the request.
  std::string not_run;
  // Milliseconds that the server will still be cold.
  std::string cold_left;
};

struct traffic_settings {
  // Callers connect here.
  catalog::endpoint front;
  // Answers whether this host takes new callers.
  catalog::endpoint ready;
  // Gives the text of `metrics_text`; invalid: not served.
  catalog::endpoint metrics;
  // Called on the service's thread.
  std::function<std::string()> metrics_text;
  header_names headers;
};

// Counts since the start; any thread may read them.
struct traffic_counts {
  std::uint64_t requests = 0;
  std::uint64_t delivered = 0;
  std::uint64_t rejected = 0;
  std::uint64_t probes = 0;
  std::uint64_t server_connections = 0;
  std::uint64_t open_callers = 0;
  std::uint64_t open_calls = 0;
};

class traffic_service {
 public:
  // Takes what the dispatcher must know; false if it cannot take more now.
  using to_dispatcher = std::function<bool(dispatch::dispatcher::message)>;

  traffic_service(traffic_settings settings, to_dispatcher post);
  ~traffic_service();

  // Binds both addresses and starts the thread. Throws unavailable_error if an
  // address cannot be bound.
  void Start();
  // Ends the thread; what is still open is closed.
  void Stop();

  // Hands an effect over. Thread-safe. Effects that are not this service's are
  // ignored.
  void Carry(dispatch::dispatcher::effect effect);
  // Bounds on callers from the configuration. Thread-safe.
  void SetLimits(const catalog::caller_limits& limits);
  // What the ready address answers. Thread-safe.
  void SetReady(bool is_ready);
  // Answers from now on end their connection, and idle callers are let go.
  void StartDrain();
  // Stops accepting callers.
  void CloseFront();
  traffic_counts counts() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_H_
