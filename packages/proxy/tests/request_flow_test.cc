#include <doctest/doctest.h>

#include "flow_fakes.h"

namespace dotterellead {
namespace {

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

// Guards against requests that are taken by a stopping host and cut at its end.
TEST_CASE("a stopping host takes only requests that end before it does") {
  // A request runs for 2 s at most, the pool's max_run.
  for (const int left_ms : {1'999, 2'000, 3'000}) {
    CAPTURE(left_ms);
    fixture f;
    f.ends_at = f.clock.now + milliseconds(left_ms);
    const bool is_accepted = left_ms >= 2'000;
    for (const http_answer& answer : {f.Get(), f.Post()}) {
      CHECK(answer.status == (is_accepted ? 200 : 503));
      CHECK(RunHeader(answer) == (is_accepted ? "" : "not-run"));
    }
    CHECK(f.backends.sent == (is_accepted ? 2 : 0));
    CHECK(f.observer.last_reason == (is_accepted ? "" : "host-stopping"));
    if (is_accepted)
      CHECK(f.backends.last_limits.deadline <= f.ends_at);
  }
  fixture soon;
  soon.ends_at = soon.clock.now + milliseconds(400);
  const http_request brief{"GET", "/a", {{"request-timeout-ms", "300"}}, ""};
  CHECK(soon.flow.Handle(brief, soon.caller).status == 200);
}

// Guards against attempts for a caller who has gone away.
TEST_CASE("a caller who has gone gets no further attempts") {
  fixture f;
  f.backends.on_send = [&] { f.caller.gone = true; };
  f.backends.script = {Failed(send_failure::kConnect)};
  f.Get();
  CHECK(f.backends.sent == 1);
}

// Guards against servers that work for a caller who left before its request was
// passed on: its close was looked at only after the first attempt.
TEST_CASE("a request whose caller has gone reaches no server") {
  for (const bool is_gone_at_once : {true, false}) {
    for (const bool is_claimed : {false, true}) {
      CAPTURE(is_gone_at_once);
      CAPTURE(is_claimed);
      fixture f;
      f.caller.gone = is_gone_at_once;
      f.slots.on_acquire = [&] { f.caller.gone = true; };
      const http_answer answer = is_claimed ? f.Post() : f.Get();
      CHECK(f.backends.sent == 0);
      const std::string* run = FindHeader(answer.headers, "dotterellead-run");
      REQUIRE(run != nullptr);
      CHECK(*run == "not-run");
      CHECK(f.observer.last_reason == "cancelled");
      // The same request, sent again, runs.
      CHECK(f.claims.begun == f.claims.voided);
      CHECK(f.slots.out == 0);
      CHECK(f.admission.open == 0);
    }
  }
}

// Guards against a home that receives, and sends, a request whose caller had
// disconnected while it waited at this host.
TEST_CASE("a request of a disconnected caller reaches no home") {
  fixture f;
  f.slots.forwards = 1;
  f.slots.on_acquire = [&] { f.caller.gone = true; };
  const http_answer answer = f.Get();
  CHECK(f.homes.sent == 0);
  CHECK(f.backends.sent == 0);
  CHECK(RunHeader(answer) == "not-run");
  CHECK(f.observer.last_reason == "cancelled");
  REQUIRE(f.slots.ended.size() == 1);
  CHECK(f.slots.ended[0].home == member_id("home"));
  CHECK_FALSE(f.slots.ended[0].home_failed);
  CHECK_FALSE(f.slots.ended[0].load.has_value());
  CHECK(f.admission.open == 0);
}

}  // namespace
}  // namespace dotterellead
