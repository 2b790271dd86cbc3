#include "dotterellead/dispatch.h"

#include <doctest/doctest.h>

#include "dispatch_simulation.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

constexpr milliseconds kShort{20};

dispatch_simulation WithServers(int count) {
  dispatch_simulation w;
  for (int i = 0; i < count; ++i)
    w.AddServer("s" + std::to_string(i));
  w.Publish();
  return w;
}

}  // namespace

TEST_CASE("a request before the first configuration is sent once it arrives") {
  dispatch_simulation w;
  w.AddServer("s0");
  const request_id id = w.SendRequest("read");
  w.Run(kShort);
  CHECK(w.results[id].sent_to.empty());
  w.Publish();
  w.Run(kShort);
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE(
    "a request without a configuration is rejected as not run after 300 ms") {
  dispatch_simulation w;
  const request_id id = w.SendRequest("read");
  w.Run(milliseconds(310));
  CHECK(w.results[id].rejected == reject_reason::kNoConfiguration);
  CHECK(w.results[id].retry_after.has_value());
  CHECK(GuaranteesNotRun(*w.results[id].rejected));
}

TEST_CASE("a request with an unknown path is rejected without Retry-After") {
  dispatch_simulation w = WithServers(1);
  const request_id id = w.SendRequest("nothing");
  CHECK(w.results[id].rejected == reject_reason::kNoRoute);
  CHECK_FALSE(w.results[id].retry_after.has_value());
}

TEST_CASE("a request goes to the idle and fast server among those probed") {
  dispatch_simulation w = WithServers(3);
  w.servers[server_id("s0")].running = 1;
  w.servers[server_id("s1")].slowdown_percent = 400;
  const request_id id = w.SendRequest("read");
  w.Run(kShort);
  REQUIRE(w.results[id].sent_to.size() == 1);
  CHECK(w.results[id].sent_to[0].value() == "s2");
  w.EndAttempt(id, attempt_result::kResponded);
  CHECK(w.results[id].is_delivered);
}

TEST_CASE("requests that probe concurrently are sent to different servers") {
  dispatch_simulation w = WithServers(4);
  for (int i = 0; i < 4; ++i)
    w.SendRequest("read");
  w.Run(kShort);
  CHECK(w.max_running == 1);
}

TEST_CASE("draining servers and closed data centres get no requests") {
  dispatch_simulation w;
  w.AddServer("leaving");
  w.AddServer("closed", "dc-b");
  w.AddServer("open", "dc-c");
  w.servers[server_id("leaving")].entry.is_draining = true;
  w.catalog.closed_data_centres.insert(data_centre_id("dc-b"));
  w.Publish();
  for (int i = 0; i < 4; ++i) {
    const request_id id = w.SendRequest("read");
    w.Run(kShort);
    REQUIRE(w.results[id].sent_to.size() == 1);
    CHECK(w.results[id].sent_to[0].value() == "open");
    w.EndAttempt(id, attempt_result::kResponded);
  }
}

TEST_CASE("a non-idempotent request is not retried after a lost connection") {
  for (const attempt_result result :
       {attempt_result::kConnectionLost, attempt_result::kInvalidResponse}) {
    dispatch_simulation w = WithServers(3);
    const request_id id = w.SendRequest("pay");
    w.Run(kShort);
    w.EndAttempt(id, result);
    w.Run(milliseconds(100));
    CHECK(w.results[id].sent_to.size() == 1);
    CHECK(w.results[id].rejected == reject_reason::kServerFailed);
    CHECK_FALSE(GuaranteesNotRun(*w.results[id].rejected));
  }
}

TEST_CASE("a request that a server did not run is retried, idempotent or not") {
  for (const char* route : {"pay", "read"}) {
    dispatch_simulation w = WithServers(3);
    const request_id id = w.SendRequest(route);
    w.Run(kShort);
    w.EndAttempt(id, attempt_result::kNotRun, 503);
    w.Run(kShort);
    REQUIRE(w.results[id].sent_to.size() == 2);
    CHECK(w.results[id].sent_to[0] != w.results[id].sent_to[1]);
    w.EndAttempt(id, attempt_result::kNotRun, 503);
    // The route allows two servers; neither ran the request, and the rejection
    // says so.
    REQUIRE(w.results[id].rejected.has_value());
    CHECK(GuaranteesNotRun(*w.results[id].rejected));
  }
}

TEST_CASE(
    "after an attempt that may have run the rejection does not say not run") {
  dispatch_simulation w = WithServers(3);
  const request_id id = w.SendRequest("read");
  w.Run(kShort);
  w.EndAttempt(id, attempt_result::kConnectionLost);
  w.Run(kShort);
  w.EndAttempt(id, attempt_result::kNotRun, 503);
  REQUIRE(w.results[id].rejected.has_value());
  CHECK_FALSE(GuaranteesNotRun(*w.results[id].rejected));
}

TEST_CASE("a server's error is delivered unchanged if it must not be retried") {
  dispatch_simulation w = WithServers(3);
  const request_id id = w.SendRequest("pay");
  w.Run(kShort);
  w.EndAttempt(id, attempt_result::kResponded, 500);
  CHECK(w.results[id].is_delivered);
}

TEST_CASE(
    "a request to an unresponsive server is rejected at the route's timeout") {
  dispatch_simulation w = WithServers(2);
  const request_id id = w.SendRequest("pay", milliseconds(5'000));
  w.Run(milliseconds(1'300));
  CHECK(w.results[id].rejected == reject_reason::kTimedOut);
  CHECK(w.results[id].latency >= milliseconds(1'190));
  CHECK(w.results[id].latency <= milliseconds(1'210));
  CHECK(w.open_requests() == 0);
}

namespace {

// Sends `requests` requests, which every server rejects as not run. Returns the
// number of retries.
int RetriesOfRejected(dispatch_simulation& w, int requests) {
  int retries = 0;
  for (int i = 0; i < requests; ++i) {
    const request_id id = w.SendRequest("read");
    w.Run(kShort);
    while (!w.results[id].is_delivered && !w.results[id].rejected) {
      w.EndAttempt(id, attempt_result::kNotRun, 503);
      w.Run(kShort);
    }
    retries += static_cast<int>(w.results[id].sent_to.size()) - 1;
  }
  return retries;
}

}  // namespace

TEST_CASE("retries in one window stay within this host's share of the budget") {
  dispatch_settings settings = dispatch_simulation::DefaultSettings();
  settings.retry_ratio = 0.2;
  settings.retry_allowance = 20;
  dispatch_simulation w(settings);
  for (int i = 0; i < 6; ++i)
    w.AddServer("s" + std::to_string(i));
  w.Publish();
  std::vector<member_id> hosts;
  hosts.reserve(10);
  for (int i = 1; i <= 10; ++i)
    hosts.emplace_back("host-" + std::to_string(i));
  w.Step(live_hosts_changed{hosts});
  constexpr int kRequests = 50;
  const int retries = RetriesOfRejected(w, kRequests);
  CHECK(retries > 0);
  CHECK(retries <= 0.2 * kRequests + 20.0 / 10);
}

// Guards against retries beyond what all hosts may make, while each host
// believes itself alone: after all were restarted, or without a root.
TEST_CASE("hosts that do not list each other share one retry allowance") {
  constexpr int kHosts = 13;
  constexpr int kRequests = 20;
  for (const bool was_restarted : {true, false}) {
    CAPTURE(was_restarted);
    std::vector<member_id> hosts;
    hosts.reserve(kHosts);
    for (int i = 0; i < kHosts; ++i)
      hosts.emplace_back("host-" + std::to_string(i));
    int retries = 0;
    for (const member_id& host : hosts) {
      dispatch_settings settings = dispatch_simulation::DefaultSettings();
      settings.self = host;
      settings.retry_ratio = 0.2;
      settings.retry_allowance = 20;
      settings.min_host_count = was_restarted ? kHosts : 1;
      dispatch_simulation w(settings);
      for (int i = 0; i < 6; ++i)
        w.AddServer("s" + std::to_string(i));
      w.Publish();
      if (!was_restarted)
        w.Step(live_hosts_changed{hosts});
      w.Step(live_hosts_changed{{host}});
      retries += RetriesOfRejected(w, kRequests);
    }
    CHECK(retries > 0);
    CHECK(retries <= 0.2 * kRequests * kHosts + 20.0);
  }
}

TEST_CASE(
    "a disconnect cancels an idempotent request; others run to their end") {
  dispatch_simulation w = WithServers(2);
  const request_id read = w.SendRequest("read");
  const request_id pay = w.SendRequest("pay");
  w.Run(kShort);
  w.Disconnect(read);
  w.Disconnect(pay);
  CHECK(w.open_requests() == 1);
  w.EndAttempt(pay, attempt_result::kResponded);
  CHECK(w.open_requests() == 0);
  CHECK(w.results[pay].sent_to.size() == 1);
}

TEST_CASE("a cold server gets requests only from its owner, at its rate") {
  int sent = 0;
  constexpr int kHosts = 10;
  std::vector<member_id> hosts;
  hosts.reserve(10);
  for (int i = 0; i < kHosts; ++i)
    hosts.emplace_back("host-" + std::to_string(i));
  for (int i = 0; i < kHosts; ++i) {
    dispatch_settings settings = dispatch_simulation::DefaultSettings();
    settings.self = hosts[static_cast<std::size_t>(i)];
    dispatch_simulation w(settings);
    w.AddServer("cold");
    w.servers[server_id("cold")].warmup_left = milliseconds(3'000);
    w.service_time = milliseconds(10);
    w.Publish();
    w.Step(live_hosts_changed{hosts});
    for (int n = 0; n < 20; ++n) {
      const request_id id = w.SendRequest("read");
      w.Run(milliseconds(50));
      sent += static_cast<int>(w.results[id].sent_to.size());
    }
  }
  CHECK(sent >= 1);
  // One second at two requests per second. The operators' limit is 1.5 times
  // that plus 5.
  CHECK(sent <= 2 * 1.5 + 5);
}

TEST_CASE("a request that crashed three servers is rejected") {
  dispatch_simulation w = WithServers(8);
  for (int i = 0; i < 3; ++i) {
    const request_id id = w.SendRequest("pay", milliseconds(1'500), 99);
    w.Run(kShort);
    REQUIRE(w.results[id].sent_to.size() == 1);
    w.servers[w.results[id].sent_to[0]].is_reachable = false;
    w.EndAttempt(id, attempt_result::kConnectionLost);
    w.Run(milliseconds(100));
  }
  CHECK(w.crashes_reported == 3);
  const request_id again = w.SendRequest("pay", milliseconds(1'500), 99);
  CHECK(w.results[again].rejected == reject_reason::kCrashesServers);
  const request_id other = w.SendRequest("pay", milliseconds(1'500), 98);
  w.Run(kShort);
  CHECK(w.results[other].sent_to.size() == 1);
}

TEST_CASE("a lost connection to a live server does not count as a crash") {
  dispatch_simulation w = WithServers(4);
  for (int i = 0; i < 3; ++i) {
    const request_id id = w.SendRequest("pay", milliseconds(1'500), 99);
    w.Run(kShort);
    w.EndAttempt(id, attempt_result::kConnectionLost);
    w.Run(milliseconds(100));
  }
  CHECK(w.crashes_reported == 0);
}

TEST_CASE("only the trial's share of requests goes to the target of a move") {
  dispatch_simulation w;
  for (int i = 0; i < 4; ++i) {
    w.AddServer("old" + std::to_string(i), "dc-a", "v1");
    w.AddServer("new" + std::to_string(i), "dc-a", "v2");
  }
  w.service_time = milliseconds(5);
  catalog::move_order order;
  order.pool = test_pool;
  order.target = version_id("v2");
  order.revision = log_offset(3);
  auto to_new = [&](int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      const request_id id = w.SendRequest("read");
      w.Run(kShort);
      REQUIRE(w.results[id].sent_to.size() == 1);
      count += w.results[id].sent_to[0].value().starts_with("new") ? 1 : 0;
    }
    return count;
  };
  w.catalog.moves[test_pool] = order;
  w.Publish();
  CHECK(to_new(50) == 0);
  w.Step(move_share_changed{test_pool, version_id("v2"), 200});
  const int trial = to_new(300);
  CHECK(trial > 30);
  CHECK(trial < 100);
  w.catalog.move_statuses[test_pool] = {
      version_id("v2"), catalog::move_state::kRolledBack, log_offset(3), {}};
  w.Publish();
  CHECK(to_new(50) == 0);
  w.catalog.move_statuses[test_pool].state = catalog::move_state::kCompleted;
  w.Publish();
  CHECK(to_new(50) == 50);
  // The outcome of an earlier order does not apply to a new one.
  w.catalog.moves[test_pool].revision = log_offset(9);
  w.catalog.has_all_outcomes = false;
  w.Publish();
  CHECK(to_new(50) == 0);
}

TEST_CASE("requests of a pool without servers are not sent to other pools") {
  dispatch_simulation w = WithServers(2);
  auto config = std::make_shared<catalog::configuration>(*w.catalog.config);
  config->version = catalog::config_version(2);
  config->routes[0].pools = {{test_pool, 90}, {pool_id("empty"), 10}};
  w.catalog.config = config;
  w.service_time = milliseconds(5);
  w.Publish();
  int rejected = 0;
  constexpr int kRequests = 200;
  for (int i = 0; i < kRequests; ++i) {
    const request_id id = w.SendRequest("read");
    w.Run(kShort);
    if (w.results[id].sent_to.empty())
      ++rejected;
  }
  CHECK(rejected >= kRequests / 10 - 1);
  CHECK(rejected <= kRequests / 10 + 1);
}

TEST_CASE("a request without an eligible server is rejected at once") {
  dispatch_simulation w;
  w.AddServer("s1");
  w.catalog.closed_data_centres = {data_centre_id("dc-a")};
  w.Publish();
  const request_id id = w.SendRequest("pay");
  CHECK(w.results[id].rejected == reject_reason::kNoServer);
  CHECK(w.results[id].retry_after.has_value());
}

TEST_CASE("a request that arrives before the server list waits for it") {
  dispatch_simulation w;
  w.Publish();
  const request_id id = w.SendRequest("pay");
  w.Run(milliseconds(50));
  CHECK_FALSE(w.results[id].rejected);
  w.AddServer("s1");
  w.Publish();
  w.Run(milliseconds(50));
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE("a retry without capacity is not reported as not run") {
  dispatch_simulation w;
  w.AddServer("s1");
  w.AddServer("s2");
  w.Publish();
  const request_id id = w.SendRequest("read");
  w.Run(milliseconds(700));
  REQUIRE(w.results[id].sent_to.size() == 1);
  for (auto& [id, server] : w.servers)
    server.running = 2;
  w.EndAttempt(id, attempt_result::kConnectionLost, 0);
  w.Run(milliseconds(100));
  REQUIRE(w.results[id].rejected);
  CHECK_FALSE(GuaranteesNotRun(*w.results[id].rejected));
}

// Guards against requests lost at a planned stop: those that came late were
// sent to a server, and cut when the process ended.
TEST_CASE("a request that may outlast a stopping host is rejected as not run") {
  dispatch_simulation w = WithServers(2);
  constexpr milliseconds kStopTime{5'000};
  w.Step(shutdown_started{w.now() + kStopTime});
  // The route's timeout is 1.2 s.
  w.Run(milliseconds(3'700));
  const request_id in_time = w.SendRequest("pay", milliseconds(1'500));
  w.Run(kShort);
  CHECK(w.results[in_time].sent_to.size() == 1);
  w.Run(milliseconds(180));
  const request_id late = w.SendRequest("pay", milliseconds(1'500));
  const request_id hasty = w.SendRequest("read", milliseconds(500));
  w.Run(kShort);
  CHECK(w.results[late].rejected == reject_reason::kHostStopping);
  CHECK(w.results[late].latency == milliseconds(0));
  CHECK(GuaranteesNotRun(*w.results[late].rejected));
  // Another host may serve it at once.
  CHECK(w.results[late].retry_after == milliseconds(0));
  CHECK(w.results[hasty].sent_to.size() == 1);
  w.EndAttempt(in_time, attempt_result::kResponded);
  w.EndAttempt(hasty, attempt_result::kResponded);
  CHECK(w.results[in_time].is_delivered);
  CHECK(w.results[hasty].is_delivered);
}

TEST_CASE("requests in progress when a host stops end before its connections") {
  dispatch_simulation w = WithServers(1);
  w.servers[server_id("s0")].running = 1;
  const request_id sent = w.SendRequest("pay");
  w.Run(kShort);
  REQUIRE(w.results[sent].sent_to.size() == 1);
  const request_id queued = w.SendRequest("pay");
  w.Run(kShort);
  CHECK(w.results[queued].sent_to.empty());
  w.Step(shutdown_started{w.now() + milliseconds(400)});
  // One has reached no server, and is told so. The other may yet be answered.
  CHECK(w.results[queued].rejected == reject_reason::kHostStopping);
  CHECK_FALSE(w.results[sent].rejected);
  w.Run(milliseconds(399));
  CHECK_FALSE(w.results[sent].rejected);
  w.Run(milliseconds(2));
  CHECK(w.results[sent].rejected == reject_reason::kTimedOut);
  CHECK(w.open_requests() == 0);
}
