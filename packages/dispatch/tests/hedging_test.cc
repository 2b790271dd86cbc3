#include <doctest/doctest.h>

#include "../src/hedge_limiter.h"
#include "dispatch_simulation.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

constexpr milliseconds kServiceTime{100};
constexpr milliseconds kLong{1'000};

dispatch_settings WithShare(double share) {
  dispatch_settings s = dispatch_simulation::DefaultSettings();
  s.hedging.all = share;
  s.retry_allowance = 1'000;
  return s;
}

// Four servers and a history of `count` usual latencies.
dispatch_simulation Warmed(double share, int count = 40) {
  dispatch_simulation w(WithShare(share));
  for (int i = 0; i < 4; ++i)
    w.AddServer("s" + std::to_string(i));
  w.Publish();
  w.service_time = kServiceTime;
  for (int i = 0; i < count; ++i) {
    w.SendRequest("read");
    w.Run(kServiceTime + milliseconds(10));
  }
  return w;
}

// Sends a request whose server stalls; the others then do not.
request_id SendToStalledServer(dispatch_simulation& w,
                               const std::string& route = "read") {
  for (auto& [id, server] : w.servers)
    server.stall = milliseconds(900);
  const request_id id = w.SendRequest(route);
  w.Run(milliseconds(10));
  for (auto& [id, server] : w.servers)
    server.stall = milliseconds(0);
  return id;
}

}  // namespace

// Guards against a stalled server holding a request that another one would
// answer in a fraction of the time.
TEST_CASE("a request that takes longer than most gets a second attempt") {
  dispatch_simulation w = Warmed(0.1);
  const request_id id = SendToStalledServer(w);
  w.Run(kLong);
  const request_result& result = w.results[id];
  REQUIRE(result.sent_to.size() == 2);
  CHECK(result.sent_to[0] != result.sent_to[1]);
  CHECK(result.is_delivered);
  CHECK(result.latency < milliseconds(400));
  REQUIRE(w.cancelled.size() == 1);
  CHECK(w.cancelled[0] == result.sent_to[0]);
  CHECK(w.hedge_events[hedge_event::kSent] == 1);
  CHECK(w.hedge_events[hedge_event::kWon] == 1);
  CHECK(w.open_requests() == 0);
}

TEST_CASE("hedging is off by default, and for the pools and routes set to 0") {
  dispatch_settings settings = WithShare(0.1);
  SUBCASE("default") {
    settings.hedging.all = 0;
  }
  SUBCASE("pool") {
    settings.hedging.by_pool[test_pool] = 0;
  }
  SUBCASE("route") {
    settings.hedging.by_route[catalog::route_name("read")] = 0;
  }
  dispatch_simulation w(settings);
  for (int i = 0; i < 4; ++i)
    w.AddServer("s" + std::to_string(i));
  w.Publish();
  w.service_time = kServiceTime;
  for (int i = 0; i < 40; ++i) {
    w.SendRequest("read");
    w.Run(kServiceTime + milliseconds(10));
  }
  const request_id id = SendToStalledServer(w);
  w.Run(kLong);
  CHECK(w.results[id].sent_to.size() == 1);
}

// Guards against a second run of a request that must not be repeated.
TEST_CASE("a request that runs at most once is never hedged") {
  dispatch_simulation w = Warmed(0.5);
  for (int i = 0; i < 40; ++i) {
    w.SendRequest("pay");
    w.Run(kServiceTime + milliseconds(10));
  }
  const request_id id = SendToStalledServer(w, "pay");
  w.Run(kLong);
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE("the share of requests bounds the hedges") {
  dispatch_simulation w = Warmed(0.05, 100);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    const request_id id = SendToStalledServer(w);
    w.Run(milliseconds(1'100));
    sent += w.results[id].sent_to.size() > 1 ? 1 : 0;
  }
  // Within a window of 10 s lie at most 20 of these requests and 91 of the
  // first ones.
  CHECK(sent >= 1);
  CHECK(w.hedge_events[hedge_event::kSent] <= 5 + 10);
}

TEST_CASE("hedges consume the retry budget") {
  dispatch_settings settings = WithShare(1);
  settings.retry_ratio = 0;
  settings.retry_allowance = 0;
  dispatch_simulation w(settings);
  for (int i = 0; i < 4; ++i)
    w.AddServer("s" + std::to_string(i));
  w.Publish();
  w.service_time = kServiceTime;
  for (int i = 0; i < 40; ++i) {
    w.SendRequest("read");
    w.Run(kServiceTime + milliseconds(10));
  }
  const request_id id = SendToStalledServer(w);
  w.Run(kLong);
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE("no hedge goes to a busy, cold, leaving or remote server") {
  dispatch_simulation w = Warmed(0.5);
  const request_id id = SendToStalledServer(w);
  REQUIRE(w.results[id].sent_to.size() == 1);
  int others = 0;
  for (auto& [server, state] : w.servers) {
    if (server == w.results[id].sent_to[0])
      continue;
    switch (others++) {
      case 0:
        state.running = 1;  // Its last free slot.
        break;
      case 1:
        state.warmup_left = milliseconds(3'000);
        break;
      default:
        state.entry.data_centre = data_centre_id("dc-b");
    }
  }
  w.AddServer("leaving");
  w.servers[server_id("leaving")].entry.is_draining = true;
  w.Publish();
  w.Run(milliseconds(400));
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE("no hedge is sent while requests wait for the pool") {
  dispatch_simulation w = Warmed(0.5);
  const request_id id = SendToStalledServer(w);
  for (auto& [server, state] : w.servers)
    state.running += 2;
  w.SendRequest("read");
  w.Run(milliseconds(60));
  for (auto& [server, state] : w.servers)
    state.running -= 2;
  for (auto& [server, state] : w.servers)
    state.warmup_left = milliseconds(9'000);
  w.Run(milliseconds(200));
  CHECK(w.results[id].sent_to.size() == 1);
}

// Guards against the good version of a pool being judged by attempts that were
// cancelled.
TEST_CASE("no request is hedged during a move of its pool") {
  dispatch_simulation w = Warmed(0.5);
  w.AddServer("new", "dc-a", "v2");
  w.catalog.moves[test_pool] = {test_pool, version_id("v2"), kLong,
                                log_offset(5)};
  w.Publish();
  const request_id id = SendToStalledServer(w);
  w.Run(kLong);
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE("if one of two attempts fails, the other one is awaited") {
  dispatch_simulation w = Warmed(0.5);
  w.service_time = milliseconds(0);
  const request_id id = w.SendRequest("read");
  w.Run(milliseconds(400));
  REQUIRE(w.results[id].sent_to.size() == 2);
  const server_id first = w.results[id].sent_to[0];
  const server_id second = w.results[id].sent_to[1];
  SUBCASE("the first fails") {
    w.EndAttempt(id, attempt_result::kConnectionLost, 0, first);
    CHECK_FALSE(w.results[id].is_delivered);
    w.EndAttempt(id, attempt_result::kResponded, 200, second);
  }
  SUBCASE("the hedge is not run") {
    w.EndAttempt(id, attempt_result::kNotRun, 503, second);
    CHECK_FALSE(w.results[id].is_delivered);
    w.EndAttempt(id, attempt_result::kResponded, 200, first);
  }
  SUBCASE("the first responds with a failure") {
    w.EndAttempt(id, attempt_result::kResponded, 500, first);
    CHECK_FALSE(w.results[id].is_delivered);
    w.EndAttempt(id, attempt_result::kResponded, 200, second);
  }
  CHECK(w.results[id].is_delivered);
  CHECK(w.cancelled.empty());
  CHECK(w.open_requests() == 0);
}

TEST_CASE("two failed attempts end the request as one that may have run") {
  dispatch_simulation w = Warmed(0.5);
  w.service_time = milliseconds(0);
  const request_id id = w.SendRequest("read");
  w.Run(milliseconds(400));
  REQUIRE(w.results[id].sent_to.size() == 2);
  w.EndAttempt(id, attempt_result::kConnectionLost, 0,
               w.results[id].sent_to[0]);
  w.EndAttempt(id, attempt_result::kNotRun, 503, w.results[id].sent_to[1]);
  REQUIRE(w.results[id].rejected.has_value());
  CHECK_FALSE(GuaranteesNotRun(*w.results[id].rejected));
}

TEST_CASE("cancelled attempts do not make the history look fast") {
  hedge_limiter limiter({0.1, {}, {}}, milliseconds(10'000));
  const catalog::route_name route("read");
  const time_point now{std::chrono::hours(1)};
  for (int i = 0; i < 19; ++i)
    limiter.RecordLatency(test_pool, route, milliseconds(100));
  CHECK_FALSE(limiter.HedgeTime(test_pool, route, now).has_value());
  for (int i = 0; i < 200; ++i)
    limiter.RecordLatency(test_pool, route,
                          milliseconds(i % 10 == 0 ? 300 : 100));
  CHECK(limiter.HedgeTime(test_pool, route, now) == now + milliseconds(300));
}
