#include <doctest/doctest.h>

#include "flow_fakes.h"
#include "forward_codec.h"

namespace dotterellead {
namespace {

constexpr home_load kHomeLoad{5, 6};

// An answer of the home with the envelope `m`.
attempt FromHome(forward_answer m, int status = 200) {
  m.load = kHomeLoad;
  return Ok(status, {EncodeForward(m)});
}

attempt Answered(int status = 200) {
  return FromHome({.run = run_state::kDone,
                   .server = server_id("h1"),
                   .version = version_id("v2"),
                   .at_backend = microseconds(700)},
                  status);
}

attempt NotRun(const std::string& reason) {
  return FromHome({.run = run_state::kNotRun, .reason = reason}, 503);
}

attempt MayHaveRun(const std::string& reason, bool refuses = false) {
  return FromHome({.run = run_state::kUnknown,
                   .reason = reason,
                   .server = server_id("h1"),
                   .refuses_connections = refuses},
                  502);
}

attempt ListenerRefusal() {
  return Ok(431, {{"dotterellead-run", "not-run"}});
}

attempt WithEnvelope(const std::string& text) {
  return Ok(503,
            {{"dotterellead-forward", text}, {"dotterellead-run", "not-run"}});
}

std::string Without(std::string text, const std::string& part) {
  return text.erase(text.find(part), part.size());
}

// Guards against a lost idempotent request, a retry budget that is spent on
// requests no server saw, retries beyond the budget, a home that is not
// reported as ended, and a false "not run".
TEST_CASE("every way in which a forward ends") {
  using f = send_failure;
  const std::string whole =
      EncodeForward(forward_answer{.run = run_state::kNotRun, .reason = "r"})
          .value;
  struct row {
    std::string name;
    attempt at_home;
    // Attempts after the first forward go to a server here and answer 200.
    std::string outcome;
    bool has_load;
    // Of a request without retry budget.
    int status;
    std::string run;
    std::vector<std::string> crashed;
    int failures;
  };
  const row rows[] = {
      {"answered", Answered(), "answered", true, 200, "", {}, 0},
      {"server error", Answered(500), "answered", true, 500, "", {}, 1},
      {"home not ready", NotRun("not-home"), "not-run", true, 200, "", {}, 0},
      {"home full", NotRun("queue-full"), "not-run", true, 200, "", {}, 0},
      {"shed", NotRun("backend-shed"), "not-run", true, 503, "not-run", {}, 0},
      {"home refuses connections",
       Failed(f::kConnect),
       "connect-failed",
       false,
       200,
       "",
       {},
       0},
      {"home unknown", NotSent(), "not-sent", false, 200, "", {}, 0},
      {"refused by the listener",
       ListenerRefusal(),
       "refused-by-listener",
       false,
       200,
       "",
       {},
       0},
      {"cut", Failed(f::kCut), "cut", false, 502, "unknown", {}, 0},
      // Many requests are in flight at a home: its death tells nothing of one.
      {"crashed home", Crashed(), "cut", false, 502, "unknown", {}, 0},
      {"silent",
       Failed(f::kTimeout),
       "timed-out",
       false,
       504,
       "unknown",
       {},
       0},
      {"caller gone",
       Failed(f::kCancelled),
       "cancelled",
       false,
       502,
       "unknown",
       {},
       0},
      {"answer too large",
       Failed(f::kBadAnswer),
       "cut",
       false,
       502,
       "unknown",
       {},
       0},
      {"server cut",
       MayHaveRun("backend-cut"),
       "unknown",
       true,
       502,
       "unknown",
       {},
       1},
      {"server timeout",
       MayHaveRun("backend-timeout"),
       "unknown",
       true,
       504,
       "unknown",
       {},
       1},
      {"cancelled there",
       MayHaveRun("cancelled"),
       "unknown",
       true,
       502,
       "unknown",
       {},
       0},
      {"crashed server",
       MayHaveRun("backend-cut", true),
       "unknown",
       true,
       502,
       "unknown",
       {"h1"},
       1},
      {"no envelope", Ok(), "bad-envelope", false, 502, "unknown", {}, 0},
      {"no run state",
       WithEnvelope(Without(whole, "run=not-run;")),
       "bad-envelope",
       false,
       502,
       "unknown",
       {},
       0},
      {"no load",
       WithEnvelope(Without(whole, "busy=0;")),
       "bad-envelope",
       false,
       502,
       "unknown",
       {},
       0},
      {"bad escape",
       WithEnvelope(whole + ";version=%zz"),
       "bad-envelope",
       false,
       502,
       "unknown",
       {},
       0},
      {"repeated key",
       WithEnvelope(whole + ";run=done"),
       "bad-envelope",
       false,
       502,
       "unknown",
       {},
       0},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    for (const bool has_budget : {false, true}) {
      fixture fx;
      fx.slots.forwards = 1;
      fx.homes.script = {r.at_home};
      fx.admission.retries = has_budget ? 1 : 0;
      const http_answer answer = fx.Get();
      const bool retried = has_budget && r.run != "";
      CHECK(answer.status == (retried ? 200 : r.status));
      CHECK(RunHeader(answer) == (retried ? "" : r.run));
      CHECK(FindHeader(answer.headers, "dotterellead-forward") == nullptr);
      CHECK(fx.homes.sent == 1);
      CHECK(fx.backends.sent ==
            (retried || (r.status == 200 && r.outcome != "answered")));
      REQUIRE(fx.slots.ended.size() == 1);
      CHECK(fx.slots.ended[0].home == member_id("home"));
      CHECK(fx.slots.ended[0].load ==
            (r.has_load ? std::optional(kHomeLoad) : std::nullopt));
      CHECK(fx.observer.outcomes == std::vector{r.outcome});
      CHECK(fx.versions.failures == r.failures);
      std::vector<std::string> crashed;
      for (const server_id& server : fx.admission.crashed)
        crashed.push_back(server.value());
      CHECK(crashed == r.crashed);
      CHECK(fx.slots.out == 0);
      CHECK(fx.admission.open == 0);
    }
  }
}

// Guards against homes that cannot lend for a while, as after an epoch change,
// using up all attempts, and against a payment that leaves its host.
TEST_CASE("the last attempt waits here, and claimed requests always do") {
  fixture f;
  f.slots.forwards = 100;
  f.admission.retries = 0;
  f.homes.script = {NotRun("not-home")};
  CHECK(f.Get().status == 200);
  CHECK(f.homes.sent == 3);
  CHECK(f.slots.asked.back().kind == acquire_kind::kDirect);
  CHECK(f.Post().status == 200);
  CHECK(f.homes.sent == 3);
}

// Guards against a request that a home sees without the caller's deadline, its
// earlier servers, or a way to notice that the caller has gone; and against
// callers who write the envelope or the proof themselves.
TEST_CASE("what goes to a home") {
  fixture f;
  f.slots.forwards = 0;
  f.backends.script = {Failed(send_failure::kConnect)};
  const http_request request{"GET",
                             "/a?b",
                             {{"request-timeout-ms", "300"},
                              {"Dotterellead-Forward", "pool=other;left_us=1"},
                              {"dotterellead-proof", "Bearer x"},
                              {"Authorization", "mine"},
                              {"Connection", "dotterellead-forward"}},
                             ""};
  f.flow.Handle(request, f.caller);
  for (const char* name : {"dotterellead-forward", "dotterellead-proof"})
    CHECK(FindHeader(f.backends.last_request.headers, name) == nullptr);

  fixture g;
  g.slots.forwards = 1;
  g.homes.script = {Answered()};
  g.flow.Handle(request, g.caller);
  const http_headers& sent = g.homes.last_request.headers;
  CHECK(DecodeForwardRequest(sent) ==
        forward_request{.pool = pool_id("pay"),
                        .tenant = tenant_id("ninho"),
                        .version = version_id("v1"),
                        .left = microseconds(270'000)});
  CHECK(FindHeader(sent, "dotterellead-proof") == nullptr);
  CHECK(*FindHeader(sent, "authorization") == "mine");
  CHECK(g.homes.last_limits.deadline == g.clock.now + milliseconds(300));
  CHECK(g.homes.last_limits.cancel_with_caller);
}

// Guards against values that break the envelope's syntax.
TEST_CASE("envelopes survive any text") {
  const forward_request m{.pool = pool_id("a;b=c,%d \r\n\x80"),
                          .tenant = tenant_id("ação"),
                          .excluded = {server_id("1.2.3.4:5"), server_id("x,")},
                          .left = microseconds(1)};
  CHECK(DecodeForwardRequest({EncodeForward(m)}) == m);
  CHECK(EncodeForward(m).value.find_first_of(" \r\n") == std::string::npos);
  CHECK_FALSE(DecodeForwardRequest({EncodeForward(m), EncodeForward(m)}));
  for (const char* text :
       {"", "pool", "pool=", "pool=p", "pool=p;left_us=-1",
        "pool=p;left_us=999999999999", "pool=p;left_us=1;pool=q", "pool=%"})
    CHECK_FALSE(DecodeForwardRequest({{"dotterellead-forward", text}}));
}

struct home_fixture : fixture {
  http_answer Serve(http_headers headers) {
    return flow.HandleForwarded({"GET", "/a?b", std::move(headers), ""},
                                caller);
  }
  http_answer Serve() {
    return Serve({EncodeForward({.pool = pool_id("pay"),
                                 .tenant = tenant_id("t"),
                                 .excluded = {server_id("s9")},
                                 .left = microseconds(100'000)}),
                  {"dotterellead-proof", "Bearer x"}});
  }
};

// Guards against a home that retries, claims, records or forwards, keeps a
// slot, or lets a server write the envelope.
TEST_CASE("every way in which a home's attempt ends") {
  using f = send_failure;
  struct row {
    std::string name;
    attempt at_backend;
    run_state run;
    std::string reason;
    int status;
    bool refuses = false;
  };
  const row rows[] = {
      {"answered", Ok(), run_state::kDone, "", 200},
      {"server error", Ok(500), run_state::kDone, "", 500},
      {"server writes an envelope",
       Ok(200, {{"dotterellead-forward", "run=not-run"}}), run_state::kDone, "",
       200},
      {"shed", Shed(), run_state::kNotRun, "backend-shed", 503},
      {"refused", Failed(f::kConnect), run_state::kNotRun, "backend-connect",
       503},
      {"lease expired", NotSent(), run_state::kNotRun, "lease-expired", 503},
      {"cut", Failed(f::kCut), run_state::kUnknown, "backend-cut", 502},
      {"crash", Crashed(), run_state::kUnknown, "backend-cut", 502, true},
      {"silent", Failed(f::kTimeout), run_state::kUnknown, "backend-timeout",
       504},
      {"other host gone", Failed(f::kCancelled), run_state::kUnknown,
       "cancelled", 502},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    home_fixture home;
    home.backends.script = {r.at_backend};
    const http_answer answer = home.Serve();
    const auto ended = DecodeForwardAnswer(answer.headers);
    REQUIRE(ended);
    CHECK(ended->run == r.run);
    CHECK(ended->reason == r.reason);
    CHECK(ended->server == server_id("s1"));
    CHECK(ended->load == home.slots.load);
    CHECK(ended->refuses_connections == r.refuses);
    CHECK(answer.status == r.status);
    CHECK(home.backends.sent == 1);
    CHECK(FindHeader(home.backends.last_request.headers,
                     "dotterellead-forward") == nullptr);
    CHECK(FindHeader(home.backends.last_request.headers,
                     "dotterellead-proof") == nullptr);
    CHECK(home.backends.last_limits.deadline ==
          home.clock.now + milliseconds(100));
    CHECK(home.backends.last_limits.cancel_with_caller);
    CHECK(home.slots.asked[0].kind == acquire_kind::kForwarded);
    CHECK(home.slots.asked[0].excluded == std::vector{server_id("s9")});
    CHECK(home.slots.out == 0);
    CHECK(home.claims.begun + home.admission.crashes + home.versions.failures ==
          0);
    CHECK(home.homes.sent == 0);
  }
}

// Guards against a run for a host that has given up, as after this one was
// paused, and against requests without a valid envelope.
TEST_CASE("a home sends nothing without a slot, a waiting host, an envelope") {
  home_fixture full;
  full.slots.available = 0;
  CHECK(DecodeForwardAnswer(full.Serve().headers)->reason == "queue-full");
  home_fixture gone;
  gone.caller.gone = true;
  CHECK(DecodeForwardAnswer(gone.Serve().headers)->run == run_state::kNotRun);
  CHECK(gone.slots.out == 0);
  home_fixture bad;
  const http_answer answer = bad.Serve({{"dotterellead-forward", "pool=pay"}});
  CHECK(answer.status == 400);
  CHECK(RunHeader(answer) == "not-run");
  for (const home_fixture* f : {&full, &gone, &bad})
    CHECK(f->backends.sent == 0);
}

}  // namespace
}  // namespace dotterellead
