// Slots of backend servers: which host may use them, which waiting request gets
// which.
#ifndef DOTTERELLEAD_BALANCE_H_
#define DOTTERELLEAD_BALANCE_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dotterellead/config.h"
#include "dotterellead/core.h"

namespace dotterellead {

// ---- Messages
// ---------------------------------------------------------------------------------

// Asks for a slot for one attempt of a request.
struct acquire {
  request_id request;
  pool_id pool;
  tenant_id tenant;
  // Invalid: any version.
  version_id version;
  // Servers that earlier attempts of the request used.
  std::vector<server_id> excluded;
  time_point deadline;
};

// Gives up waiting; a slot assigned meanwhile comes back.
struct withdraw {
  request_id request;
};

// How an attempt ended, as the server's side of it showed.
enum class attempt_result {
  kAnswered,
  // The server answered that it did not run the request.
  kShed,
  // No connection could be made.
  kConnectFailed,
  // The connection ended after bytes may have been sent.
  kCut,
  kTimedOut,
  kCancelled,
  // The holder did not send, for example because the lease had expired.
  kNotSent,
};

// Gives a slot back after an attempt.
struct release {
  request_id request;
  attempt_result result = attempt_result::kAnswered;
  // From the send to the whole answer.
  microseconds latency{0};
  // The answer was a 5xx other than a shed one.
  bool failed = false;
  // What the answer's headers said, if they did.
  std::optional<bool> cold;
  bool draining = false;
  // The server's start, to notice a restart. Empty if unknown.
  std::string boot;
  // An idle connection was found closed by the server, as after a restart.
  bool found_closed = false;
  server_id server;
  // After a cut, a timeout or a cancellation the server may still run the request until then: the
  // deadline that it was given, and a margin.
  time_point busy_until;
};

std::string_view to_string(attempt_result result);

struct config_changed {
  config_snapshot config;
};

// ---- Effects
// ----------------------------------------------------------------------------------

struct assigned {
  request_id request;
  server_id server;
  slot_index slot;
  version_id version;
  // The request must not be sent at or after this time.
  time_point send_before;
  // The longest time the server may run the request.
  milliseconds max_run;
};

enum class refusal_reason {
  kQueueFull,
  kDeadline,
  kNoServers,
  kUnknownPool,
};
std::string_view to_string(refusal_reason reason);

struct refused {
  request_id request;
  refusal_reason reason = refusal_reason::kQueueFull;
};

// ---- Machine
// ----------------------------------------------------------------------------------

// Assigns slots of the configured servers to waiting requests, oldest first
// within a tenant and tenants in turn.
class balance_machine {
 public:
  using message =
      std::variant<acquire, withdraw, release, config_changed, tick>;
  using effect = std::variant<assigned, refused>;

  void Step(const message& m, const moment& now, std::vector<effect>& out);

 private:
  struct slot_state {
    request_id user;
  };
  struct server_state {
    server_spec spec;
    std::vector<slot_state> slots;
    bool cold = false;
    bool draining = false;
    double latency_us = 0;
  };
  struct pool_state {
    milliseconds max_run{0};
    std::uint32_t queue_length = 0;
    std::map<server_id, server_state> servers;
    std::deque<acquire> waiting;
  };
  struct assignment {
    pool_id pool;
    server_id server;
    std::size_t slot = 0;
  };

  void On(const acquire& m, const moment& now, std::vector<effect>& out);
  void On(const withdraw& m, const moment& now, std::vector<effect>& out);
  void On(const release& m, const moment& now, std::vector<effect>& out);
  void On(const config_changed& m, const moment& now, std::vector<effect>& out);
  void On(const tick& m, const moment& now, std::vector<effect>& out);
  bool TryAssign(pool_state& pool,
                 const acquire& m,
                 const moment& now,
                 std::vector<effect>& out);
  void ServeWaiting(pool_state& pool,
                    const moment& now,
                    std::vector<effect>& out);

  config_snapshot config_;
  std::map<pool_id, pool_state> pools_;
  std::map<request_id, assignment> in_use_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_BALANCE_H_
