// Simulates overload of one pool and checks what callers get.
#include <doctest/doctest.h>

#include "dispatch_simulation.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

struct route_results {
  int requests = 0;
  int in_target = 0;
  int late = 0;
  int rejected = 0;
  double share_in_target() const {
    return requests == 0 ? 0 : static_cast<double>(in_target) / requests;
  }
};

// Sends `per_second` requests for `length`; a fifth of them use the route
// "pay".
std::map<std::string, route_results> SendLoad(dispatch_simulation& w,
                                              double per_second,
                                              milliseconds length) {
  std::minstd_rand random(3);
  std::exponential_distribution<double> gap(per_second);
  std::uniform_real_distribution<double> draw(0, 1);
  std::map<std::string, std::vector<request_id>> ids;
  const time_point ends = w.now() + length;
  while (w.now() < ends) {
    const std::string route = draw(random) < 0.2 ? "pay" : "read";
    ids[route].push_back(w.SendRequest(route));
    w.Run(milliseconds(1 + static_cast<std::int64_t>(gap(random) * 1000)));
  }
  w.Run(milliseconds(3'000));
  std::map<std::string, route_results> result;
  for (const auto& [route, requests] : ids)
    for (const request_id id : requests) {
      route_results& s = result[route];
      const request_result& r = w.results[id];
      ++s.requests;
      if (r.is_delivered)
        ++(r.latency <= milliseconds(600) ? s.in_target : s.late);
      else
        ++s.rejected;
      // A rejection comes well before the caller's timeout and has a
      // Retry-After.
      if (r.rejected && GuaranteesNotRun(*r.rejected)) {
        CHECK(r.latency <= milliseconds(700));
        CHECK(r.retry_after.has_value());
      }
    }
  return result;
}

dispatch_simulation TenServers(
    dispatch_settings settings = dispatch_simulation::DefaultSettings()) {
  dispatch_simulation w(std::move(settings));
  for (int i = 0; i < 10; ++i)
    w.AddServer("s" + std::to_string(i));
  w.service_time = milliseconds(220);
  w.Publish();
  return w;
}

// Each of ten servers completes one request in 220 ms, or two in 374 ms.
constexpr double kCapacity = 10 * 2 / 0.374;

}  // namespace

TEST_CASE("at two thirds of capacity nearly all requests meet their target") {
  dispatch_simulation w = TenServers();
  auto got = SendLoad(w, kCapacity * 0.66, milliseconds(10'000));
  CHECK(got["read"].share_in_target() > 0.97);
  CHECK(got["pay"].share_in_target() > 0.97);
}

TEST_CASE(
    "servers that do not report their load are chosen by own requests in "
    "flight") {
  dispatch_simulation w = TenServers();
  for (auto& [id, server] : w.servers)
    server.reports_load = false;
  auto got = SendLoad(w, kCapacity * 0.66, milliseconds(10'000));
  CHECK(got["read"].share_in_target() > 0.95);
  CHECK(got["pay"].share_in_target() > 0.95);
  // A server whose slots this host has filled itself gets no further request.
  CHECK(w.max_running == 2);
}

TEST_CASE("requests spread over idle servers that do not report their load") {
  dispatch_simulation w;
  for (const char* id : {"s0", "s1", "s2", "s3"})
    w.AddServer(id);
  for (auto& [id, server] : w.servers)
    server.reports_load = false;
  w.Publish();
  // No request completes, so that each idle server gets one.
  std::set<server_id> used;
  for (int i = 0; i < 4; ++i) {
    const request_id id = w.SendRequest("read");
    w.Run(milliseconds(200));
    REQUIRE(w.results[id].sent_to.size() == 1);
    used.insert(w.results[id].sent_to.front());
  }
  CHECK(used.size() == 4);
}

TEST_CASE("the probe rate drops while no server responds") {
  dispatch_simulation w = TenServers();
  for (auto& [id, server] : w.servers)
    server.is_reachable = false;
  for (int i = 0; i < 20; ++i) {
    w.SendRequest("read");
    w.Run(milliseconds(100));
  }
  // One round takes 60 ms or more, and the interval grows.
  CHECK(w.probes < 400);
  // A recovered server gets the next request within half of its target.
  for (auto& [id, server] : w.servers)
    server.is_reachable = true;
  const request_id id = w.SendRequest("pay");
  w.Run(milliseconds(300));
  CHECK(w.results[id].sent_to.size() == 1);
}

TEST_CASE(
    "a queued request is not sent to a server that would miss its target") {
  dispatch_simulation w;
  w.AddServer("slow");
  w.AddServer("full");
  w.servers[server_id("slow")].slowdown_percent = 800;
  w.servers[server_id("full")].running = 2;
  w.Publish();
  const request_id id = w.SendRequest("pay");
  w.Run(milliseconds(100));
  CHECK(w.results[id].sent_to.empty());
  w.servers[server_id("full")].running = 0;
  w.Run(milliseconds(100));
  CHECK(w.results[id].sent_to == std::vector{server_id("full")});
}

TEST_CASE(
    "a request without a free slot probes only some servers of a large pool") {
  dispatch_simulation w;
  for (int i = 0; i < 60; ++i)
    w.AddServer("s" + std::to_string(i));
  for (auto& [id, server] : w.servers)
    server.running = 2;
  w.Publish();
  w.SendRequest("read");
  // Before the first probe round of the queue, which all queued requests share.
  w.Run(milliseconds(20));
  CHECK(w.probes <= 12);
}

TEST_CASE("queued requests keep to the probe rate that the servers accept") {
  dispatch_settings settings = dispatch_simulation::DefaultSettings();
  settings.max_probe_rate = 60;
  dispatch_simulation w(settings);
  w.AddServer("s1");
  w.AddServer("s2");
  for (auto& [id, server] : w.servers)
    server.running = 2;
  w.Publish();
  // Twelve other hosts use their share of the probe rate.
  live_hosts_changed hosts;
  for (int i = 1; i <= 13; ++i)
    hosts.live.push_back(member_id("host-" + std::to_string(i)));
  w.Step(hosts);
  const int seconds = 40;
  for (int i = 0; i < seconds * 5; ++i) {
    w.SendRequest("read");
    w.Run(milliseconds(200));
  }
  const double bound = 60.0 * 2 / 13 * seconds;
  CHECK(w.probes <= bound);
  // The probes continue at that rate.
  CHECK(w.probes >= bound / 2);
}

TEST_CASE("a host shares the probe rate of its data centre only") {
  dispatch_settings settings = dispatch_simulation::DefaultSettings();
  settings.max_probe_rate = 60;
  dispatch_simulation w(settings);
  w.AddServer("s1");
  w.AddServer("s2");
  for (auto& [id, server] : w.servers)
    server.running = 2;
  w.Publish();
  // This host alone serves the callers of one of three data centres.
  live_hosts_changed hosts;
  for (int i = 1; i <= 13; ++i)
    hosts.live.push_back(member_id("host-" + std::to_string(i)));
  hosts.local_host_count = 1;
  hosts.data_centre_count = 3;
  w.Step(hosts);
  const int seconds = 40;
  for (int i = 0; i < seconds * 10; ++i) {
    w.SendRequest("read");
    w.Run(milliseconds(100));
  }
  const double bound = 60.0 * 2 / 3 * seconds;
  CHECK(w.probes <= bound);
  CHECK(w.probes >= bound / 2);
}

TEST_CASE("a host of a data centre with few hosts keeps the slots full") {
  // One of fourteen hosts, in a data centre of three, has all the load.
  dispatch_settings settings = dispatch_simulation::DefaultSettings();
  settings.max_probe_rate = 60;
  dispatch_simulation w = TenServers(settings);
  live_hosts_changed hosts;
  for (int i = 1; i <= 14; ++i)
    hosts.live.push_back(member_id("host-" + std::to_string(i)));
  hosts.local_host_count = 3;
  hosts.data_centre_count = 3;
  w.Step(hosts);
  auto got = SendLoad(w, kCapacity * 1.5, milliseconds(30'000));
  // Requests served within the target, relative to capacity.
  CHECK(got["read"].in_target + got["pay"].in_target > kCapacity * 30 * 0.75);
  CHECK(got["pay"].share_in_target() > 0.9);
}

TEST_CASE("above capacity the slots stay full and urgent requests go first") {
  dispatch_simulation w = TenServers();
  auto got = SendLoad(w, kCapacity * 1.5, milliseconds(10'000));
  const int served_calls = got["read"].in_target + got["pay"].in_target;
  // Requests served within the target per second, relative to capacity.
  CHECK(served_calls > kCapacity * 10 * 0.75);
  CHECK(got["pay"].share_in_target() > 0.9);
  // Less urgent requests are not starved: they get at least a quarter of the
  // average share.
  const double all = static_cast<double>(served_calls) /
                     (got["read"].requests + got["pay"].requests);
  CHECK(got["read"].share_in_target() > all / 4);
  // No server got more requests than it has slots.
  CHECK(w.max_running <= 2);
}

TEST_CASE(
    "if all servers are slow, requests are served late instead of rejected") {
  dispatch_simulation w;
  for (int i = 0; i < 4; ++i) {
    w.AddServer("s" + std::to_string(i));
    w.servers[server_id("s" + std::to_string(i))].slowdown_percent = 400;
  }
  w.service_time = milliseconds(220);
  w.Publish();
  auto got = SendLoad(w, 2, milliseconds(10'000));
  CHECK(got["read"].rejected + got["pay"].rejected <=
        (got["read"].requests + got["pay"].requests) / 20);
}

TEST_CASE("under overload late requests do not occupy slow servers") {
  // Guards against incident inc-f541: up to half of the late requests went to
  // servers four times slower, which occupied their slots.
  dispatch_simulation w = TenServers();
  for (const char* id : {"s1", "s4", "s7"})
    w.servers[server_id(id)].slowdown_percent = 400;
  const double fast_capacity = 7 * 2 / 0.374;
  auto got = SendLoad(w, fast_capacity * 1.3, milliseconds(10'000));
  const int in_target = got["read"].in_target + got["pay"].in_target;
  CHECK(in_target > fast_capacity * 10 * 0.75);
}

TEST_CASE("queued requests share probe rounds") {
  dispatch_simulation w = TenServers();
  SendLoad(w, kCapacity * 1.5, milliseconds(5'000));
  // One round of 12 servers per 15 ms and probe latency, rather than one per
  // request.
  CHECK(w.probes < 8.0 * 1000 / 15 * 12 + 5 * kCapacity * 1.5 * 4);
}

TEST_CASE(
    "requests find the fast servers when a quarter of the servers is slow") {
  dispatch_simulation w = TenServers();
  for (const char* id : {"s1", "s4", "s7"})
    w.servers[server_id(id)].slowdown_percent = 400;
  auto got = SendLoad(w, kCapacity * 0.5, milliseconds(10'000));
  CHECK(got["read"].share_in_target() > 0.95);
}

namespace {

// Many hosts with uneven callers send two kinds of work to the same servers.
// `burst` is the factor of the less urgent kind's usual rate, `unfair` the part
// of it that reaches one host.
struct shared_load {
  double burst = 1;
  double unfair = 0;
  bool is_shared = true;
};

struct kind_results {
  int requests = 0;
  int served = 0;
  double ratio() const { return static_cast<double>(served) / requests; }
};

struct shared_results {
  kind_results urgent;
  kind_results other;
  int in_favour = 0;
  int served() const { return urgent.served + other.served; }
  double ratio() const {
    return static_cast<double>(served()) / (urgent.requests + other.requests);
  }
};

constexpr std::size_t kHosts = 20;
constexpr int kSharedServers = 20;
constexpr milliseconds kUrgentTarget{250};
constexpr milliseconds kOtherTarget{3'000};

shared_results PlayShared(const shared_load& load) {
  dispatch_settings settings = dispatch_simulation::DefaultSettings();
  settings.has_shared_pools = load.is_shared;
  // The servers of other pools add to the probes that the hosts may send.
  settings.max_probe_rate = 240;
  dispatch_simulation w(settings);
  for (int i = 0; i < kSharedServers; ++i) {
    const std::string name = "s" + std::to_string(i);
    w.AddServer(name);
    w.servers[server_id(name)].entry.slots = 6;
  }
  auto config = std::make_shared<catalog::configuration>(*w.catalog.config);
  for (catalog::route& r : config->routes) {
    const bool is_urgent = r.name.value() == "pay";
    r.latency_target = is_urgent ? kUrgentTarget : kOtherTarget;
    r.timeout = r.latency_target * 2;
  }
  w.catalog.config = config;
  w.service_times = {{"pay", milliseconds(89)}, {"read", milliseconds(560)}};
  w.has_shared_view = load.is_shared;
  w.AddHosts(kHosts);
  w.Publish();
  constexpr double kUrgentRate = 80;
  constexpr double kOtherRate = 110;
  std::minstd_rand random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<request_id> ids;
  constexpr milliseconds kStart{8'000};
  constexpr milliseconds kEnd{28'000};
  const time_point began = w.now();
  while (w.now() < began + kEnd) {
    const bool is_burst = w.now() >= began + kStart;
    const double other = kOtherRate * (is_burst ? load.burst : 1);
    for (const bool is_urgent : {true, false}) {
      if (draw(random) >= (is_urgent ? kUrgentRate : other) / 1'000)
        continue;
      // The first hosts have more callers.
      const double place = draw(random) * draw(random);
      const bool is_unfair = !is_urgent && draw(random) < load.unfair;
      const request_id id = w.SendRequest(
          is_urgent ? "pay" : "read",
          (is_urgent ? kUrgentTarget : kOtherTarget) * 2, 1,
          is_unfair ? 0 : static_cast<std::size_t>(place * kHosts));
      if (is_burst)
        ids.push_back(id);
    }
    w.Run(milliseconds(1));
  }
  w.Run(milliseconds(6'000));
  shared_results got;
  for (const request_id id : ids) {
    const request_result& r = w.results[id];
    const bool is_urgent = r.route == "pay";
    kind_results& kind = is_urgent ? got.urgent : got.other;
    ++kind.requests;
    kind.served += r.is_delivered && r.latency <= (is_urgent ? kUrgentTarget
                                                             : kOtherTarget)
                       ? 1
                       : 0;
  }
  got.in_favour = w.in_favour;
  return got;
}

}  // namespace

TEST_CASE("a burst of long, less urgent work does not reject urgent work") {
  for (const double unfair : {0.0, 0.6}) {
    CAPTURE(unfair);
    const shared_results with = PlayShared({2.6, unfair, true});
    const shared_results without = PlayShared({2.6, unfair, false});
    CAPTURE(with.urgent.ratio());
    CAPTURE(with.other.ratio());
    CAPTURE(without.urgent.ratio());
    CAPTURE(without.other.ratio());
    CHECK(with.urgent.ratio() >= with.other.ratio());
    CHECK(with.other.ratio() >= 0.25 * with.ratio());
    CHECK(with.served() >= without.served());
    CHECK(with.in_favour > 0);
  }
}
