#include <doctest/doctest.h>

#include <deque>

#include "dotterellead/proxy.h"

namespace dotterellead {
namespace {

class fake_clock : public clock_source {
 public:
  moment Now() const override { return {now, unix_millis{1'000'000}}; }
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
  std::variant<assigned, refused> Acquire(const acquire& wanted) override {
    if (available == 0)
      return refused{wanted.request, refusal_reason::kQueueFull};
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
  int available = 100;
  int given = 0;
  int out = 0;
  std::vector<attempt_result> results;
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
  bool RecordCrash(request_fingerprint, const server_id&) override {
    return ++crashes < 2;
  }
  void End(request_fingerprint, bool) override { --open; }
  bool allowed = true;
  int retries = 10;
  int crashes = 0;
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
  std::string last_reason;
};

attempt Ok(int status = 200, http_headers headers = {}) {
  attempt a;
  a.result.answer = {status, std::move(headers), "body"};
  return a;
}

attempt Shed() {
  return Ok(503, {{"request-run", "not-run"}});
}

attempt Failed(send_failure failure) {
  attempt a;
  a.result.failure = failure;
  return a;
}

attempt Crashed() {
  attempt a = Failed(send_failure::kCut);
  a.refuses_connections = true;
  return a;
}

attempt NotSent() {
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
  fake_slots slots;
  fake_claims claims;
  fake_admission admission;
  fake_versions versions;
  fake_backends backends;
  fake_observer observer;
  request_flow flow{{slots, claims, admission, versions, backends, observer,
                     clock, [this] { return view; }}};
};

std::string RunHeader(const http_answer& answer) {
  const std::string* run = FindHeader(answer.headers, "dotterellead-run");
  return run == nullptr ? "" : *run;
}

// Guards against a non-idempotent request sent again after it may have run, a
// false "not run", and a claim that is voided although the request may have
// run.
TEST_CASE("every way in which attempts end, for both kinds of request") {
  using f = send_failure;
  struct row {
    std::string name;
    std::deque<attempt> script;
    // Expected for an idempotent request.
    int get_sent, get_status;
    std::string get_run;
    // Expected for a claimed request.
    int post_sent, post_status;
    std::string post_run;
    int finished, voided;
  };
  const row rows[] = {
      {"answered", {Ok()}, 1, 200, "", 1, 200, "", 1, 0},
      {"server error", {Ok(500)}, 1, 500, "", 1, 500, "", 1, 0},
      {"shed once", {Shed(), Ok()}, 2, 200, "", 2, 200, "", 1, 0},
      {"shed always", {Shed()}, 4, 503, "not-run", 4, 503, "not-run", 0, 1},
      {"refused once",
       {Failed(f::kConnect), Ok()},
       2,
       200,
       "",
       2,
       200,
       "",
       1,
       0},
      {"refused always",
       {Failed(f::kConnect)},
       4,
       503,
       "not-run",
       4,
       503,
       "not-run",
       0,
       1},
      {"cut once",
       {Failed(f::kCut), Ok()},
       2,
       200,
       "",
       1,
       502,
       "unknown",
       0,
       0},
      {"cut always",
       {Failed(f::kCut)},
       4,
       502,
       "unknown",
       1,
       502,
       "unknown",
       0,
       0},
      {"silent once",
       {Failed(f::kTimeout), Ok()},
       2,
       200,
       "",
       1,
       504,
       "unknown",
       0,
       0},
      {"bad answer",
       {Failed(f::kBadAnswer)},
       4,
       502,
       "unknown",
       1,
       502,
       "unknown",
       0,
       0},
      {"crash twice", {Crashed()}, 2, 502, "unknown", 1, 502, "unknown", 0, 0},
      {"refused, cut",
       {Failed(f::kConnect), Failed(f::kCut), Failed(f::kConnect)},
       4,
       502,
       "unknown",
       2,
       502,
       "unknown",
       0,
       0},
      {"lease expired", {NotSent(), Ok()}, 2, 200, "", 2, 200, "", 1, 0},
      {"shed, then no body of 503",
       {Shed(), Ok(503)},
       2,
       503,
       "",
       2,
       503,
       "",
       1,
       0},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    fixture get;
    get.backends.script = r.script;
    const http_answer got = get.Get();
    CHECK(get.backends.sent == r.get_sent);
    CHECK(got.status == r.get_status);
    CHECK(RunHeader(got) == r.get_run);
    CHECK(get.slots.out == 0);
    CHECK(get.admission.open == 0);
    fixture post;
    post.backends.script = r.script;
    const http_answer posted = post.Post();
    CHECK(post.backends.sent == r.post_sent);
    CHECK(posted.status == r.post_status);
    CHECK(RunHeader(posted) == r.post_run);
    CHECK(post.claims.finished == r.finished);
    CHECK(post.claims.voided == r.voided);
    // Each claim that was won ends in exactly one way.
    CHECK(post.claims.finished + post.claims.voided + post.claims.unknown == 1);
    CHECK((post.claims.unknown == 1) == (r.post_run == "unknown"));
    CHECK(post.slots.out == 0);
    CHECK(post.admission.open == 0);
  }
}

// Guards against retries beyond the budget.
TEST_CASE("without retry budget there is one attempt") {
  fixture f;
  f.admission.retries = 0;
  f.backends.script = {Failed(send_failure::kConnect)};
  CHECK(f.Get().status == 503);
  CHECK(f.backends.sent == 1);
}

// Guards against a refusal that costs a slot or a claim, or reaches a server.
TEST_CASE("refusals before the send reach no server") {
  fixture no_slots;
  no_slots.slots.available = 0;
  CHECK(RunHeader(no_slots.Post()) == "not-run");
  CHECK(no_slots.claims.voided == 1);
  CHECK(no_slots.observer.last_reason == "queue-full");

  fixture quarantined;
  quarantined.admission.allowed = false;
  CHECK(RunHeader(quarantined.Get()) == "not-run");
  CHECK(RunHeader(quarantined.Post()) == "not-run");
  CHECK(quarantined.claims.voided == 1);

  fixture unclaimed;
  unclaimed.claims.decision = claim_refusal{504, run_state::kUnknown, "p", "r"};
  const http_answer answer = unclaimed.Post();
  CHECK(answer.status == 504);
  CHECK(RunHeader(answer) == "unknown");

  fixture bad;
  const http_request no_key{"POST", "/a", {}, ""};
  CHECK(bad.flow.Handle(no_key, bad.caller).status == 400);
  const http_request bad_timeout{
      "GET", "/a", {{"Request-Timeout-Ms", "5s"}}, ""};
  CHECK(bad.flow.Handle(bad_timeout, bad.caller).status == 400);
  for (const fixture* f : {&no_slots, &quarantined, &unclaimed, &bad})
    CHECK(f->backends.sent == 0);
}

// Guards against a resend that runs instead of getting the first run's answer.
TEST_CASE("a saved answer is returned without a run") {
  fixture f;
  f.claims.decision = saved_answer{{201, {{"a", "b"}}, "first"}, false};
  const http_answer answer = f.Post();
  CHECK(answer.status == 201);
  CHECK(answer.body == "first");
  CHECK(f.backends.sent == 0);
}

// Guards against a deadline that grows on its way, and hop-by-hop headers that
// are passed on.
TEST_CASE("the deadline goes on with the time that is left") {
  fixture f;
  f.flow.Handle(
      {"GET",
       "/a",
       {{"request-timeout-ms", "300"}, {"Connection", "x-a"}, {"x-a", "1"}},
       ""},
      f.caller);
  CHECK(*FindHeader(f.backends.last_request.headers, "request-timeout-ms") ==
        "300");
  CHECK(FindHeader(f.backends.last_request.headers, "x-a") == nullptr);
  CHECK(f.backends.last_limits.deadline == f.clock.now + milliseconds(300));
  CHECK(f.backends.last_limits.cancel_with_caller);
  f.Post();
  // Bounded by the pool's max_run, not by the caller's 10 s default.
  CHECK(*FindHeader(f.backends.last_request.headers, "request-timeout-ms") ==
        "500");
  CHECK(f.backends.last_limits.needs_fresh);
  CHECK_FALSE(f.backends.last_limits.cancel_with_caller);
}

// Guards against attempts for a caller who has gone away.
TEST_CASE("a caller who has gone gets no further attempts") {
  fixture f;
  f.caller.gone = true;
  f.backends.script = {Failed(send_failure::kConnect)};
  f.Get();
  CHECK(f.backends.sent == 1);
}

}  // namespace
}  // namespace dotterellead
