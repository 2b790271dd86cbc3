#include "dotterellead/dispatch.h"

#include <doctest/doctest.h>

#include "dispatch_world.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

constexpr milliseconds kShort{20};

dispatch_world WithServers(int count) {
  dispatch_world w;
  for (int i = 0; i < count; ++i)
    w.AddServer("s" + std::to_string(i));
  w.Publish();
  return w;
}

}  // namespace

TEST_CASE("a call before the first configuration waits for it a moment") {
  dispatch_world w;
  w.AddServer("s0");
  const request_id id = w.Call("read");
  w.Run(kShort);
  CHECK(w.results[id].sent_to.empty());
  w.Publish();
  w.Run(kShort);
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE("without a configuration a call is rejected soon, not run") {
  dispatch_world w;
  const request_id id = w.Call("read");
  w.Run(milliseconds(310));
  CHECK(w.results[id].rejected == reject_reason::kNoConfiguration);
  CHECK(w.results[id].retry_after.has_value());
  CHECK(IsNotRun(*w.results[id].rejected));
}

TEST_CASE("an unknown path has no route and is told no time to come back") {
  dispatch_world w = WithServers(1);
  const request_id id = w.Call("nothing");
  CHECK(w.results[id].rejected == reject_reason::kNoRoute);
  CHECK_FALSE(w.results[id].retry_after.has_value());
}

TEST_CASE("a call goes to the idle and fast server among those asked") {
  dispatch_world w = WithServers(3);
  w.servers[server_id("s0")].running = 1;
  w.servers[server_id("s1")].pace_percent = 400;
  const request_id id = w.Call("read");
  w.Run(kShort);
  REQUIRE(w.results[id].sent_to.size() == 1);
  CHECK(w.results[id].sent_to[0].value() == "s2");
  w.End(id, attempt_result::kAnswered);
  CHECK(w.results[id].is_delivered);
}

TEST_CASE("calls that sample at the same moment do not meet on one server") {
  dispatch_world w = WithServers(4);
  for (int i = 0; i < 4; ++i)
    w.Call("read");
  w.Run(kShort);
  CHECK(w.most_running == 1);
}

TEST_CASE("servers that leave or stand in a closed data centre get nothing") {
  dispatch_world w;
  w.AddServer("leaving");
  w.AddServer("closed", "dc-b");
  w.AddServer("open", "dc-c");
  w.servers[server_id("leaving")].entry.is_leaving = true;
  w.known.closed_data_centres.insert(data_centre_id("dc-b"));
  w.Publish();
  for (int i = 0; i < 4; ++i) {
    const request_id id = w.Call("read");
    w.Run(kShort);
    REQUIRE(w.results[id].sent_to.size() == 1);
    CHECK(w.results[id].sent_to[0].value() == "open");
    w.End(id, attempt_result::kAnswered);
  }
}

TEST_CASE("a call that must not run twice is not sent again after a break") {
  for (const attempt_result result :
       {attempt_result::kBroken, attempt_result::kBadAnswer}) {
    dispatch_world w = WithServers(3);
    const request_id id = w.Call("pay");
    w.Run(kShort);
    w.End(id, result);
    w.Run(milliseconds(100));
    CHECK(w.results[id].sent_to.size() == 1);
    CHECK(w.results[id].rejected == reject_reason::kServerFailed);
    CHECK_FALSE(IsNotRun(*w.results[id].rejected));
  }
}

TEST_CASE("a call that a server did not run may go to another, of any kind") {
  for (const char* route : {"pay", "read"}) {
    dispatch_world w = WithServers(3);
    const request_id id = w.Call(route);
    w.Run(kShort);
    w.End(id, attempt_result::kNotRun, 503);
    w.Run(kShort);
    REQUIRE(w.results[id].sent_to.size() == 2);
    CHECK(w.results[id].sent_to[0] != w.results[id].sent_to[1]);
    w.End(id, attempt_result::kNotRun, 503);
    // The route allows two servers; nothing ran, and the answer says so.
    REQUIRE(w.results[id].rejected.has_value());
    CHECK(IsNotRun(*w.results[id].rejected));
  }
}

TEST_CASE("after one attempt that may have run no answer says not run") {
  dispatch_world w = WithServers(3);
  const request_id id = w.Call("read");
  w.Run(kShort);
  w.End(id, attempt_result::kBroken);
  w.Run(kShort);
  w.End(id, attempt_result::kNotRun, 503);
  REQUIRE(w.results[id].rejected.has_value());
  CHECK_FALSE(IsNotRun(*w.results[id].rejected));
}

TEST_CASE(
    "a server's own failure is delivered unchanged if it may not repeat") {
  dispatch_world w = WithServers(3);
  const request_id id = w.Call("pay");
  w.Run(kShort);
  w.End(id, attempt_result::kAnswered, 500);
  CHECK(w.results[id].is_delivered);
}

TEST_CASE("a silent server: the caller is answered at the route's timeout") {
  dispatch_world w = WithServers(2);
  const request_id id = w.Call("pay", milliseconds(5'000));
  w.Run(milliseconds(1'300));
  CHECK(w.results[id].rejected == reject_reason::kTimedOut);
  CHECK(w.results[id].after >= milliseconds(1'190));
  CHECK(w.results[id].after <= milliseconds(1'210));
  CHECK(w.open_calls() == 0);
}

TEST_CASE("repeats over one window stay within this host's part") {
  dispatch_settings settings = dispatch_world::DefaultSettings();
  settings.repeat_ratio = 0.2;
  settings.repeat_slack = 20;
  dispatch_world w(settings);
  for (int i = 0; i < 6; ++i)
    w.AddServer("s" + std::to_string(i));
  w.Publish();
  std::vector<member_id> hosts;
  hosts.reserve(10);
  for (int i = 1; i <= 10; ++i)
    hosts.emplace_back("host-" + std::to_string(i));
  w.Step(hosts_changed{hosts});
  int repeats = 0;
  constexpr int kCalls = 50;
  for (int i = 0; i < kCalls; ++i) {
    const request_id id = w.Call("read");
    w.Run(kShort);
    while (!w.results[id].is_delivered && !w.results[id].rejected) {
      w.End(id, attempt_result::kNotRun, 503);
      w.Run(kShort);
    }
    repeats += static_cast<int>(w.results[id].sent_to.size()) - 1;
  }
  CHECK(repeats > 0);
  CHECK(repeats <= 0.2 * kCalls + 20.0 / 10);
}

TEST_CASE("a caller that leaves: safe work is dropped, other work ends") {
  dispatch_world w = WithServers(2);
  const request_id read = w.Call("read");
  const request_id pay = w.Call("pay");
  w.Run(kShort);
  w.Leave(read);
  w.Leave(pay);
  CHECK(w.open_calls() == 1);
  w.End(pay, attempt_result::kAnswered);
  CHECK(w.open_calls() == 0);
  CHECK(w.results[pay].sent_to.size() == 1);
}

TEST_CASE("a cold server gets requests from its home only, at its rate") {
  int sent = 0;
  constexpr int kHosts = 10;
  std::vector<member_id> hosts;
  hosts.reserve(10);
  for (int i = 0; i < kHosts; ++i)
    hosts.emplace_back("host-" + std::to_string(i));
  for (int i = 0; i < kHosts; ++i) {
    dispatch_settings settings = dispatch_world::DefaultSettings();
    settings.self = hosts[static_cast<std::size_t>(i)];
    dispatch_world w(settings);
    w.AddServer("cold");
    w.servers[server_id("cold")].cold_left = milliseconds(3'000);
    w.work = milliseconds(10);
    w.Publish();
    w.Step(hosts_changed{hosts});
    for (int n = 0; n < 20; ++n) {
      const request_id id = w.Call("read");
      w.Run(milliseconds(50));
      sent += static_cast<int>(w.results[id].sent_to.size());
    }
  }
  CHECK(sent >= 1);
  // One second at two requests a second; the operators' bound is 1.5 times
  // that plus 5.
  CHECK(sent <= 2 * 1.5 + 5);
}

TEST_CASE("a request that crashed three servers is not sent again") {
  dispatch_world w = WithServers(8);
  for (int i = 0; i < 3; ++i) {
    const request_id id = w.Call("pay", milliseconds(1'500), 99);
    w.Run(kShort);
    REQUIRE(w.results[id].sent_to.size() == 1);
    w.servers[w.results[id].sent_to[0]].is_reachable = false;
    w.End(id, attempt_result::kBroken);
    w.Run(milliseconds(100));
  }
  CHECK(w.crashes_told == 3);
  const request_id again = w.Call("pay", milliseconds(1'500), 99);
  CHECK(w.results[again].rejected == reject_reason::kCrashesServers);
  const request_id other = w.Call("pay", milliseconds(1'500), 98);
  w.Run(kShort);
  CHECK(w.results[other].sent_to.size() == 1);
}

TEST_CASE("a broken connection to a server that lives is no crash") {
  dispatch_world w = WithServers(4);
  for (int i = 0; i < 3; ++i) {
    const request_id id = w.Call("pay", milliseconds(1'500), 99);
    w.Run(kShort);
    w.End(id, attempt_result::kBroken);
    w.Run(milliseconds(100));
  }
  CHECK(w.crashes_told == 0);
}

TEST_CASE("a moving pool: the trial's share goes to the target, no more") {
  dispatch_world w;
  for (int i = 0; i < 4; ++i) {
    w.AddServer("old" + std::to_string(i), "dc-a", "v1");
    w.AddServer("new" + std::to_string(i), "dc-a", "v2");
  }
  w.work = milliseconds(5);
  catalog::move_order order;
  order.pool = test_pool;
  order.target = version_id("v2");
  order.revision = log_offset(3);
  auto to_new = [&](int calls) {
    int count = 0;
    for (int i = 0; i < calls; ++i) {
      const request_id id = w.Call("read");
      w.Run(kShort);
      REQUIRE(w.results[id].sent_to.size() == 1);
      count += w.results[id].sent_to[0].value().starts_with("new") ? 1 : 0;
    }
    return count;
  };
  w.known.moves[test_pool] = order;
  w.Publish();
  CHECK(to_new(50) == 0);
  w.Step(move_share_changed{test_pool, version_id("v2"), 200});
  const int trial = to_new(300);
  CHECK(trial > 30);
  CHECK(trial < 100);
  w.known.move_statuses[test_pool] = {
      version_id("v2"), catalog::move_state::kRolledBack, log_offset(3), {}};
  w.Publish();
  CHECK(to_new(50) == 0);
  w.known.move_statuses[test_pool].state = catalog::move_state::kCompleted;
  w.Publish();
  CHECK(to_new(50) == 50);
  // The outcome of an earlier order says nothing about a new one.
  w.known.moves[test_pool].revision = log_offset(9);
  w.known.has_outcomes = false;
  w.Publish();
  CHECK(to_new(50) == 0);
}

TEST_CASE("weights are kept, and a full pool's part goes to no other") {
  dispatch_world w = WithServers(2);
  auto config = std::make_shared<catalog::configuration>(*w.known.config);
  config->version = catalog::config_version(2);
  config->routes[0].pools = {{test_pool, 90}, {pool_id("empty"), 10}};
  w.known.config = config;
  w.work = milliseconds(5);
  w.Publish();
  int refused = 0;
  constexpr int kCalls = 200;
  for (int i = 0; i < kCalls; ++i) {
    const request_id id = w.Call("read");
    w.Run(kShort);
    if (w.results[id].sent_to.empty())
      ++refused;
  }
  CHECK(refused >= kCalls / 10 - 1);
  CHECK(refused <= kCalls / 10 + 1);
}

TEST_CASE("a call that no server may take is turned away at once") {
  dispatch_world w;
  w.AddServer("s1");
  w.known.closed_data_centres = {data_centre_id("dc-a")};
  w.Publish();
  const request_id call = w.Call("pay");
  CHECK(w.results[call].rejected == reject_reason::kNoServer);
  CHECK(w.results[call].retry_after.has_value());
}

TEST_CASE("a call that comes before the list of servers waits for it") {
  dispatch_world w;
  w.Publish();
  const request_id call = w.Call("pay");
  w.Run(milliseconds(50));
  CHECK_FALSE(w.results[call].rejected);
  w.AddServer("s1");
  w.Publish();
  w.Run(milliseconds(50));
  CHECK(w.results[call].sent_to.size() == 1);
}

TEST_CASE(
    "a repeat that finds no room is not called a request that never ran") {
  dispatch_world w;
  w.AddServer("s1");
  w.AddServer("s2");
  w.Publish();
  const request_id call = w.Call("read");
  w.Run(milliseconds(700));
  REQUIRE(w.results[call].sent_to.size() == 1);
  for (auto& [id, server] : w.servers)
    server.running = 2;
  w.End(call, attempt_result::kBroken, 0);
  w.Run(milliseconds(100));
  REQUIRE(w.results[call].rejected);
  CHECK_FALSE(IsNotRun(*w.results[call].rejected));
}
