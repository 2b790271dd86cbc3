// The path of a request from a caller to a backend server and back. What may
// run, where and whether it ran already is decided behind the interfaces below.
#ifndef DOTTERELLEAD_PROXY_H_
#define DOTTERELLEAD_PROXY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "dotterellead/balance.h"
#include "dotterellead/config.h"
#include "dotterellead/core.h"
#include "dotterellead/http.h"

namespace dotterellead {

// ---- What the flow asks of other duties

// Slots of backend servers.
class slot_source {
 public:
  virtual ~slot_source() = default;
  // Waits for a slot, until the deadline in `wanted` at most. Pair each
  // `assigned` with one Release(), and each `forwarded` with one EndForward().
  virtual std::variant<assigned, forwarded, acquire_rejected> Acquire(
      const acquire& wanted) = 0;
  virtual void Release(const release& result) = 0;
  virtual void EndForward(const forward_ended& ended) = 0;
  // The load of the pool's servers whose home is this host.
  virtual home_load LoadOf(const pool_id& pool) = 0;
};

// A whole answer that an earlier run of the same key produced, or what is known
// of that run.
struct saved_answer {
  http_answer answer;
  // True if the body was too large to keep; then the answer has status and
  // digest only.
  bool truncated = false;
};

// Why a claim does not let a request run.
struct claim_refusal {
  int status = 503;
  run_state run = run_state::kNotRun;
  std::string problem;
  std::string remedy;
};

// The claim was won: the request may be sent, once.
struct claim_won {};

using claim_decision = std::variant<claim_won, saved_answer, claim_refusal>;

// At-most-once execution of requests that carry an idempotency key.
class claim_gate {
 public:
  virtual ~claim_gate() = default;
  // Claims `key` for a request whose method, target and body have the digest
  // `fingerprint`. Waits for an earlier run in progress, until `deadline` at
  // most.
  virtual claim_decision Begin(const idempotency_key& key,
                               std::uint64_t fingerprint,
                               time_point deadline) = 0;
  // Records how the run of a won claim ended: kDone with the backend server's
  // answer, or kUnknown with the answer that the caller gets. Returns once it
  // is kept, or after limits::kOutcomeWait.
  virtual void Finish(const idempotency_key& key,
                      const http_answer& answer,
                      run_state run) = 0;
  // Gives a won claim back. Only for a request that certainly did not run.
  virtual void Void(const idempotency_key& key) = 0;
};

// Retry budgets and the quarantine of requests that crash servers.
class admission_gate {
 public:
  virtual ~admission_gate() = default;
  // Counts a first try and asks whether the fingerprint may run. May wait for
  // another run of a fingerprint that has already crashed a server. Pair each
  // true answer with End().
  virtual bool Begin(const pool_id& pool,
                     request_fingerprint fingerprint,
                     time_point deadline) = 0;
  // Asks for one retry out of the pool's budget.
  virtual bool TakeRetry(const pool_id& pool) = 0;
  // Records that `server` crashed while running the fingerprint. Returns once
  // the peers know, or after a bounded wait; false if the fingerprint must not
  // be tried again.
  virtual bool RecordCrash(request_fingerprint fingerprint,
                           const server_id& server) = 0;
  // `answered` tells whether a backend server gave a whole answer.
  virtual void End(request_fingerprint fingerprint, bool answered) = 0;
};

// Which version gets a request, and what became of it.
class version_chooser {
 public:
  virtual ~version_chooser() = default;
  // Invalid: any version.
  virtual version_id Choose(const pool_id& pool,
                            const route_id& route,
                            request_id request) = 0;
  virtual void Record(const pool_id& pool,
                      const route_id& route,
                      const version_id& version,
                      bool failed,
                      microseconds latency) = 0;
};

// One attempt as the transport saw it.
struct attempt {
  send_result result;
  microseconds latency{0};
  // An idle connection was found closed by the server.
  bool found_closed = false;
  // Nothing was sent because the lease or the deadline had passed.
  bool not_sent = false;
  // After a cut: the server refuses new connections, or resets them, because it
  // has crashed.
  bool refuses_connections = false;
};

// Limits of one attempt.
struct attempt_limits {
  time_point send_before;
  time_point deadline;
  // Only a connection that answered recently, or a new one.
  bool needs_fresh = false;
  // Cancel when the caller goes away.
  bool cancel_with_caller = false;
};

// Sends requests to backend servers.
class backend_transport {
 public:
  virtual ~backend_transport() = default;
  virtual attempt Send(const server_id& server,
                       const http_request& request,
                       const attempt_limits& limits,
                       const http_peer& caller) = 0;
};

// Sends requests to the homes of servers, which are other entry hosts.
class home_transport {
 public:
  virtual ~home_transport() = default;
  // The failures of the attempt are those of the connection to the home. A home
  // whose address is not known is sent nothing.
  virtual attempt Send(const member_id& home,
                       http_request request,
                       const attempt_limits& limits,
                       const http_peer& caller) = 0;
};

// Carries the proof that a forwarded request comes from an entry host. Callers'
// headers of this name are removed.
inline constexpr char kForwardProofHeader[] = "dotterellead-proof";

// Counts what happens to requests. Called on the caller listener's threads.
class request_observer {
 public:
  virtual ~request_observer() = default;
  virtual void Answered(const tenant_id& tenant,
                        const pool_id& pool,
                        const route_id& route,
                        int status,
                        microseconds total,
                        microseconds added) = 0;
  virtual void Refused(const tenant_id& tenant, std::string_view reason) = 0;
  // A request that this host forwarded has ended: "answered", or why not.
  virtual void Forwarded(std::string_view outcome) = 0;
};

// ---- The flow

// All that a flow works with; each outlives it.
struct flow_parts {
  slot_source& slots;
  claim_gate& claims;
  admission_gate& admission;
  version_chooser& versions;
  backend_transport& backends;
  home_transport& homes;
  request_observer& observer;
  const clock_source& clock;
  std::function<config_snapshot()> config;
  // No request runs longer; a limit only while this host is stopping.
  std::function<time_point()> ends_at = [] { return time_point::max(); };
};

// An answer that the system makes itself: status, header dotterellead-run, and
// a JSON body with the problem and the remedy.
http_answer MakeOwnAnswer(int status,
                          run_state run,
                          std::string_view reason,
                          std::string_view problem,
                          std::string_view remedy);

// Serves one request at a time for each calling thread.
class request_flow {
 public:
  explicit request_flow(flow_parts parts);
  ~request_flow();

  http_answer Handle(const http_request& request, const http_peer& caller);
  // Serves a request that another entry host forwarded to this one as a home:
  // sends it once at most, on a slot of this home, and tells the other host how
  // that ended. Claims, retries, strikes, evidence for moves and the caller's
  // metrics are up to the other host.
  http_answer HandleForwarded(const http_request& request,
                              const http_peer& caller);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// Sends over kept connections. Whole answers only; a connection that was late,
// cancelled, cut or has surplus bytes is never used again. When a new
// connection answers while an older one was silent, all older ones to that
// server are closed.
class pooled_transport : public backend_transport {
 public:
  explicit pooled_transport(const clock_source& clock);
  ~pooled_transport() override;
  attempt Send(const server_id& server,
               const http_request& request,
               const attempt_limits& limits,
               const http_peer& caller) override;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PROXY_H_
