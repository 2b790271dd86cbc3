// Hand-written fakes of all that a request flow works with.
#ifndef DOTTERELLEAD_TESTS_FLOW_FAKES_H_
#define DOTTERELLEAD_TESTS_FLOW_FAKES_H_

#include <deque>
#include <functional>

#include "dotterellead/proxy.h"

namespace dotterellead {

class fake_clock : public clock_source {
 public:
  timestamp Now() const override { return {now, unix_millis{1'000'000}}; }
  time_point now = time_point(milliseconds(1'000));
};

class fake_caller : public http_peer {
 public:
  bool IsGone() const override { return gone; }
  void Abort() const override {}
  std::uint64_t connection_number() const override { return 1; }
  bool gone = false;
};

// Gives each attempt a new server, and checks that every slot comes back.
class fake_slots : public slot_source {
 public:
  std::variant<assigned, forwarded, acquire_rejected> Acquire(
      const acquire& wanted) override {
    asked.push_back(wanted);
    if (on_acquire)
      on_acquire();
    if (wanted.kind == acquire_kind::kForwardable && forwards-- > 0)
      return forwarded{wanted.request, member_id("home")};
    if (available == 0)
      return acquire_rejected{wanted.request, rejection_reason::kQueueFull};
    --available;
    ++out;
    return assigned{.request = wanted.request,
                    .server = server_id("s" + std::to_string(++given)),
                    .slot = slot_index(0),
                    .version = wanted.version,
                    .send_before = time_point::max(),
                    .max_run = milliseconds(500)};
  }
  void Release(const release& r) override {
    --out;
    results.push_back(r.result);
  }
  void EndForward(const forward_ended& m) override { ended.push_back(m); }
  home_load LoadOf(const pool_id&) override { return load; }
  int available = 100;
  int given = 0;
  int out = 0;
  // So many forwardable requests are forwarded; then they get slots.
  int forwards = 0;
  home_load load{3, 4};
  std::vector<attempt_result> results;
  std::vector<acquire> asked;
  std::vector<forward_ended> ended;
  // Called while a request waits for its slot.
  std::function<void()> on_acquire;
};

class fake_claims : public claim_gate {
 public:
  claim_decision Begin(const idempotency_key&,
                       std::uint64_t,
                       time_point) override {
    ++begun;
    return decision;
  }
  void Finish(const idempotency_key&,
              const http_answer&,
              run_state run) override {
    ++(run == run_state::kDone ? finished : unknown);
  }
  void Void(const idempotency_key&) override { ++voided; }
  claim_decision decision = claim_won{};
  int begun = 0;
  int finished = 0;
  int unknown = 0;
  int voided = 0;
};

class fake_admission : public admission_gate {
 public:
  bool Begin(const pool_id&, request_fingerprint, time_point) override {
    ++open;
    open -= allowed ? 0 : 1;
    return allowed;
  }
  bool TakeRetry(const pool_id&) override { return retries-- > 0; }
  bool RecordCrash(request_fingerprint, const server_id& server) override {
    crashed.push_back(server);
    return ++crashes < 2;
  }
  void End(request_fingerprint, bool) override { --open; }
  bool allowed = true;
  int retries = 10;
  int crashes = 0;
  std::vector<server_id> crashed;
  int open = 0;
};

class fake_versions : public version_chooser {
 public:
  version_id Choose(const pool_id&, const route_id&, request_id) override {
    return version_id("v1");
  }
  void Record(const pool_id&,
              const route_id&,
              const version_id&,
              bool failed,
              microseconds) override {
    failures += failed ? 1 : 0;
  }
  int failures = 0;
};

class fake_observer : public request_observer {
 public:
  void Answered(const tenant_id&,
                const pool_id&,
                const route_id&,
                int,
                microseconds,
                microseconds) override {}
  void Refused(const tenant_id&, std::string_view reason) override {
    last_reason = reason;
  }
  void Forwarded(std::string_view outcome) override {
    outcomes.emplace_back(outcome);
  }
  std::string last_reason;
  std::vector<std::string> outcomes;
};

inline attempt Ok(int status = 200, http_headers headers = {}) {
  attempt a;
  a.result.answer = {status, std::move(headers), "body"};
  return a;
}

inline attempt Shed() {
  return Ok(503, {{"request-run", "not-run"}});
}

inline attempt Failed(send_failure failure) {
  attempt a;
  a.result.failure = failure;
  return a;
}

inline attempt Crashed() {
  attempt a = Failed(send_failure::kCut);
  a.refuses_connections = true;
  return a;
}

inline attempt NotSent() {
  attempt a;
  a.not_sent = true;
  return a;
}

// Plays a script of attempts; the last one repeats.
class fake_backends : public backend_transport {
 public:
  attempt Send(const server_id&,
               const http_request& request,
               const attempt_limits& limits,
               const http_peer&) override {
    ++sent;
    if (on_send)
      on_send();
    last_request = request;
    last_limits = limits;
    attempt next = script.front();
    if (script.size() > 1)
      script.pop_front();
    return next;
  }
  std::deque<attempt> script = {Ok()};
  int sent = 0;
  http_request last_request;
  attempt_limits last_limits;
  // Called while the server works on a request.
  std::function<void()> on_send;
};

// Plays a script of attempts at homes; the last one repeats.
class fake_homes : public home_transport {
 public:
  attempt Send(const member_id&,
               http_request request,
               const attempt_limits& limits,
               const http_peer&) override {
    ++sent;
    last_request = std::move(request);
    last_limits = limits;
    attempt next = script.front();
    if (script.size() > 1)
      script.pop_front();
    return next;
  }
  std::deque<attempt> script = {Ok()};
  int sent = 0;
  http_request last_request;
  attempt_limits last_limits;
};

struct fixture {
  fixture() {
    auto config = std::make_shared<config_view>();
    config->pools[pool_id("pay")].spec = {
        .tenant = tenant_id("ninho"),
        .routes = {{"GET", "/", true}, {"POST", "/", false}}};
    view = config;
  }
  http_answer Get() { return flow.Handle({"GET", "/a?b", {}, ""}, caller); }
  http_answer Post() {
    return flow.Handle({"POST", "/a", {{"Idempotency-Key", "k"}}, "x"}, caller);
  }
  config_snapshot view;
  fake_clock clock;
  fake_caller caller;
  time_point ends_at = time_point::max();
  fake_slots slots;
  fake_claims claims;
  fake_admission admission;
  fake_versions versions;
  fake_backends backends;
  fake_homes homes;
  fake_observer observer;
  request_flow flow{{slots, claims, admission, versions, backends, homes,
                     observer, clock, [this] { return view; },
                     [this] { return ends_at; }}};
};

inline std::string RunHeader(const http_answer& answer) {
  const std::string* run = FindHeader(answer.headers, "dotterellead-run");
  return run == nullptr ? "" : *run;
}

}  // namespace dotterellead

#endif  // DOTTERELLEAD_TESTS_FLOW_FAKES_H_
