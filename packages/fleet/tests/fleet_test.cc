#include "dotterellead/fleet.h"

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <thread>

#include "dotterellead/control_client.h"
#include "dotterellead/event_loop.h"

using namespace dotterellead;
using namespace dotterellead::fleet;

namespace {

update Item(const std::string& key, const char* value, std::uint64_t at) {
  return {stream::kServers, key,
          value == nullptr ? std::nullopt : std::optional<std::string>(value),
          log_offset(at)};
}

host_info Host(const std::string& name, const std::string& dc, int port) {
  return {member_id(name),
          data_centre_id(dc),
          {0x7f000001, static_cast<std::uint16_t>(port)}};
}

// One host of a fleet on loopback, with what it received.
struct fleet_host {
  fleet_host(const std::string& name,
             const std::string& dc,
             int port,
             std::vector<catalog::endpoint> seeds) {
    fleet_settings settings{Host(name, dc, port), incarnation_id(1),
                            std::move(seeds)};
    fleet_callbacks callbacks;
    callbacks.on_updates = [this](const update_batch& b) {
      std::lock_guard lock(mutex);
      for (const update& item : b.updates)
        values[item.key] = item.value.value_or("");
      complete_at = std::max(complete_at, b.complete_at);
    };
    callbacks.on_hosts_changed = [this](const std::vector<host_info>& live) {
      live_count = live.size();
    };
    callbacks.on_role_changed = [this](bool root) { is_root = root; };
    callbacks.on_stages = [this](const std::vector<moves::stage>& s) {
      stage_count = s.size();
    };
    callbacks.on_counters = [this](const moves::counter_table& t) {
      for (const auto& [key, counters] : t)
        attempts += counters.attempts;
    };
    callbacks.on_crash = [this](request_fingerprint f) {
      crash_fingerprint = f.value();
    };
    callbacks.on_usage = [this](const std::vector<usage::host_report>& r) {
      std::lock_guard lock(mutex);
      usage.insert(usage.end(), r.begin(), r.end());
    };
    callbacks.on_leader_token = [this](usage::fencing_token t) {
      token = t.value();
    };
    callbacks.on_pools = [this](const pools::pool_table& totals) {
      std::size_t hosts = 0;
      for (const auto& [key, load] : totals)
        hosts += load.host_count;
      reporting = hosts;
    };
    duty = std::make_unique<fleet_duty>(settings, std::move(callbacks));
    duty->Start();
  }
  std::string ValueOf(const std::string& key) {
    std::lock_guard lock(mutex);
    auto it = values.find(key);
    return it == values.end() ? "" : it->second;
  }

  std::vector<usage::host_report> Usage() {
    std::lock_guard lock(mutex);
    return usage;
  }

  time_point CompleteAt() {
    std::lock_guard lock(mutex);
    return complete_at;
  }

  std::mutex mutex;
  std::map<std::string, std::string> values;
  std::vector<usage::host_report> usage;
  // Completeness time of the newest batch received.
  time_point complete_at{};
  std::atomic<std::size_t> live_count = 0;
  std::atomic<std::size_t> stage_count = 0;
  std::atomic<std::uint64_t> attempts = 0;
  std::atomic<std::uint64_t> crash_fingerprint = 0;
  std::atomic<std::uint64_t> token = 0;
  std::atomic<bool> is_root = false;
  // Hosts in the totals of shared pools.
  std::atomic<std::size_t> reporting = 0;
  std::unique_ptr<fleet_duty> duty;
};

// A host that answers each message with a list of hosts, until it falls silent.
class fake_host {
 public:
  static constexpr milliseconds kUsualDelay{20};

  // Its responses are on their way for `delay`. Their data is complete.
  fake_host(host_info self,
            std::vector<host_info> hosts,
            milliseconds delay = kUsualDelay)
      : delay_(delay), acceptor_(loop_.io(), ToTcp(self.address)) {
    sync_response response;
    response.self = std::move(self);
    response.hosts = std::move(hosts);
    response.hosts_version = 7;
    for (stream_updates& stream : response.updates)
      stream.age = milliseconds(0);
    response.held = milliseconds(0);
    body_ = EncodeResponse(response);
    asio::co_spawn(loop_.io(), Accept(), asio::detached);
    loop_.Start("fake-host");
  }
  ~fake_host() { loop_.Stop(); }
  void SetSilent() { is_silent_ = true; }

 private:
  task<> Accept() {
    while (true) {
      error_code ec;
      auto stream = std::make_shared<beast::tcp_stream>(loop_.io());
      co_await acceptor_.async_accept(stream->socket(), Resume(ec));
      asio::co_spawn(loop_.io(), Serve(stream), asio::detached);
    }
  }
  task<> Serve(std::shared_ptr<beast::tcp_stream> stream) {
    beast::flat_buffer buffer;
    error_code ec;
    while (!ec) {
      http::request<http::string_body> request;
      co_await http::async_read(*stream, buffer, request, Resume(ec));
      asio::steady_timer pause(loop_.io(), delay_);
      co_await pause.async_wait(Resume(ec));
      while (is_silent_ && !ec) {
        pause.expires_after(milliseconds(20));
        co_await pause.async_wait(Resume(ec));
      }
      http::response<http::string_body> response(http::status::ok, 11);
      response.body() = body_;
      response.prepare_payload();
      co_await http::async_write(*stream, response, Resume(ec));
    }
  }

  const milliseconds delay_;
  event_loop loop_;
  tcp::acceptor acceptor_;
  std::string body_;
  std::atomic<bool> is_silent_ = false;
};

template <class Condition>
bool Within(milliseconds timeout, Condition condition) {
  const time_point deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline)
      return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

constexpr milliseconds kTimeout{8'000};

}  // namespace

TEST_CASE("the cache keeps the newest update of each key, removals included") {
  update_cache cache;
  CHECK(cache.Apply({stream::kServers, {Item("a", "1", 5)}, log_offset(6), {}})
            .size() == 1);
  // An older update, from a reader that lags behind.
  CHECK(cache.Apply({stream::kServers, {Item("a", "0", 3)}, log_offset(4), {}})
            .empty());
  cache.Apply({stream::kServers, {Item("a", nullptr, 9)}, log_offset(10), {}});
  const auto items = cache.UpdatesSince(stream::kServers, log_offset(6));
  REQUIRE(items.size() == 1);
  CHECK_FALSE(items[0].value);
  CHECK(cache.end_offset(stream::kServers) == log_offset(10));
  CHECK(cache.UpdatesSince(stream::kServers, log_offset(10)).empty());
  CHECK(cache.UpdatesSince(stream::kOperators, log_offset()).empty());
}

// A store that came back from an older copy: its positions are all higher than
// those of the former log. Failure: a parent that had not seen this yet made
// the data of a host look complete, so that the host read the store too late.
TEST_CASE("updates of a new era prevail over a sender of the former one") {
  constexpr std::uint64_t kNewEra = std::uint64_t{1} << 40;
  const time_point now{std::chrono::hours(1)};
  update_cache cache;
  cache.Apply({stream::kServers,
               {Item("a", "1", 5), Item("b", "1", 8)},
               log_offset(9),
               now});
  // From the store; "b" is not in the copy.
  cache.Apply({stream::kServers,
               {Item("a", "2", kNewEra + 4)},
               log_offset(kNewEra + 5),
               now + milliseconds(10)});
  CHECK(cache
            .Apply({stream::kServers,
                    {Item("a", "0", 20)},
                    log_offset(21),
                    now + milliseconds(900)})
            .empty());
  CHECK(cache.end_offset(stream::kServers) == log_offset(kNewEra + 5));
  CHECK(cache.complete_at(stream::kServers) == now + milliseconds(10));
  // A child of the former era gets what is new to it; "b" holds.
  const auto changed = cache.UpdatesSince(stream::kServers, log_offset(9));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].value == "2");
  CHECK(cache.UpdatesSince(stream::kServers, log_offset()).size() == 2);
  // Another parent in the new era extends the data's completeness.
  cache.Apply(
      {stream::kServers, {}, log_offset(kNewEra + 5), now + milliseconds(950)});
  CHECK(cache.complete_at(stream::kServers) == now + milliseconds(950));
}

TEST_CASE("parent candidates precede the host, its own data centre first") {
  const std::vector<host_info> all = {Host("c", "z1", 1), Host("a", "z2", 2),
                                      Host("b", "z2", 3), Host("d", "z2", 4),
                                      Host("e", "z3", 5)};
  const auto parents = ParentCandidates(all[3], all);
  REQUIRE(parents.size() == 3);
  CHECK(parents[0].name.value() == "a");
  CHECK(parents[1].name.value() == "b");
  CHECK(parents[2].name.value() == "c");
  CHECK(ParentCandidates(all[0], all).empty());
}

TEST_CASE("decoding an encoded message gives the same message") {
  sync_request request;
  request.self = Host("a", "z", 1);
  request.descendants = {Host("b", "z", 2)};
  request.end_offsets = {log_offset(), log_offset(3), log_offset(0)};
  request.updates[1] = {{Item("k", "v\n\x01", 4), Item("gone", nullptr, 5)},
                        log_offset(6),
                        milliseconds(12)};
  request.counters[{pool_id("p"), log_offset(9), true,
                    catalog::route_name("r")}] = {10, 3};
  request.crash_events = {{member_id("x"), 4, incarnation_id(77),
                           request_fingerprint(0xfedcba9876543210)}};
  request.usage = {{member_id("x"),
                    incarnation_id(4),
                    usage::window_number(5),
                    {{customer_id("c"), 2}, {customer_id("d"), 3}}},
                   {member_id("y"),
                    incarnation_id(4),
                    usage::window_number(5),
                    {{customer_id("d"), 1}}}};
  request.max_wait = milliseconds(400);
  const sync_request got = DecodeRequest(EncodeRequest(request));
  CHECK(got.self == request.self);
  CHECK(got.descendants == request.descendants);
  CHECK(got.end_offsets == request.end_offsets);
  REQUIRE(got.updates[1].updates.size() == 2);
  CHECK(got.updates[1].updates[0].value == request.updates[1].updates[0].value);
  CHECK_FALSE(got.updates[1].updates[1].value);
  CHECK(got.updates[1].age == milliseconds(12));
  CHECK(got.counters == request.counters);
  CHECK(got.usage == request.usage);
  CHECK(got.crash_events[0].fingerprint == request.crash_events[0].fingerprint);

  sync_response response;
  response.self = request.self;
  moves::stage s;
  s.pool = pool_id("p");
  s.target = version_id("v2");
  s.order = log_offset(9);
  s.per_mille = 300;
  s.state = catalog::move_state::kRolledBack;
  s.age = milliseconds(1'234);
  s.step = 3;
  response.stages = {s};
  response.hosts = request.descendants;
  response.leader_token = usage::fencing_token(0);
  const sync_response decoded = DecodeResponse(EncodeResponse(response));
  CHECK(decoded.stages == response.stages);
  CHECK(decoded.hosts == response.hosts);
  CHECK(decoded.leader_token == response.leader_token);
}

TEST_CASE("malformed messages are rejected as a whole") {
  for (const char* bad :
       {"", "[]", "{}", R"({"self":["a","z"]})",
        R"({"self":["a","z","127.0.0.1:1"],"have":[1]})",
        R"({"self":["a","z","127.0.0.1:1"],"have":[1,2,-3]})",
        R"({"self":["a","z","127.0.0.1:1"],"have":[1,2,3],"events":[[1]]})"})
    CHECK_THROWS_AS(DecodeRequest(bad), protocol_error);
  CHECK_THROWS_AS(DecodeResponse("{}"), protocol_error);
}

TEST_CASE(
    "updates and crashes reach all hosts, counters the root, stages the "
    "others") {
  const std::vector<catalog::endpoint> seeds = {{0x7f000001, 23401},
                                                {0x7f000001, 23403}};
  fleet_host root("a1", "a", 23401, seeds);
  fleet_host near("a2", "a", 23402, seeds);
  fleet_host far("b1", "b", 23403, seeds);
  fleet_host leaf("b2", "b", 23404, seeds);
  CHECK(Within(kTimeout, [&] { return leaf.live_count == 4; }));
  CHECK(Within(kTimeout, [&] { return root.is_root.load(); }));
  CHECK_FALSE(leaf.is_root);

  root.duty->PublishUpdates({stream::kServers,
                             {Item("s", "1", 1)},
                             log_offset(2),
                             std::chrono::steady_clock::now()});
  CHECK(Within(kTimeout, [&] { return leaf.ValueOf("s") == "1"; }));
  // Only a leaf reaches the store.
  std::this_thread::sleep_for(milliseconds(700));
  leaf.duty->PublishUpdates({stream::kServers,
                             {Item("t", "2", 2)},
                             log_offset(3),
                             std::chrono::steady_clock::now()});
  CHECK(Within(kTimeout, [&] { return root.ValueOf("t") == "2"; }));
  CHECK(Within(kTimeout, [&] { return near.ValueOf("t") == "2"; }));

  moves::counter_table counts;
  counts[{pool_id("p"), log_offset(1), true, catalog::route_name("r")}] = {5,
                                                                           0};
  near.duty->ReportCounters(counts);
  CHECK(Within(kTimeout, [&] { return root.attempts == 5; }));
  root.duty->PublishStages({moves::stage{}});
  CHECK(Within(kTimeout, [&] { return far.stage_count == 1; }));
  leaf.duty->ReportCrash(request_fingerprint(42));
  CHECK(Within(kTimeout, [&] { return near.crash_fingerprint == 42; }));
}

// Guards against reports that end at the head of a data centre, and against
// hosts that do not learn of a new leader.
TEST_CASE("usage reports reach the root, and its token all hosts") {
  const std::vector<catalog::endpoint> seeds = {{0x7f000001, 23405},
                                                {0x7f000001, 23406}};
  fleet_host root("a1", "a", 23405, seeds);
  fleet_host head("b1", "b", 23406, seeds);
  fleet_host leaf("b2", "b", 23407, seeds);
  CHECK(Within(kTimeout, [&] { return leaf.live_count == 3; }));
  const usage::host_report report{member_id("b2"),
                                  incarnation_id(7),
                                  usage::window_number(9),
                                  {{customer_id("c"), 3}}};
  leaf.duty->ReportUsage({report});
  CHECK(Within(kTimeout, [&] { return !root.Usage().empty(); }));
  CHECK(root.Usage() == std::vector<usage::host_report>{report});
  CHECK(head.Usage().empty());
  root.duty->PublishLeaderToken(usage::fencing_token(5));
  CHECK(Within(kTimeout, [&] { return leaf.token == 5; }));
}

// Guards against messages that a host of the previous release would not expect.
TEST_CASE("messages of a fleet without usage reports have no further fields") {
  sync_request request;
  request.self = Host("a", "z", 1);
  CHECK(EncodeRequest(request).find("usage") == std::string::npos);
  sync_response response;
  response.self = request.self;
  CHECK(EncodeResponse(response).find("token") == std::string::npos);
}

TEST_CASE("when the root stops, the next host becomes the root") {
  const std::vector<catalog::endpoint> seeds = {{0x7f000001, 23411}};
  auto root = std::make_unique<fleet_host>("a1", "a", 23411, seeds);
  fleet_host second("a2", "a", 23412, seeds);
  fleet_host third("b1", "b", 23413, seeds);
  CHECK(Within(kTimeout, [&] { return third.live_count == 3; }));
  root.reset();
  CHECK(Within(kTimeout, [&] { return second.is_root.load(); }));
  CHECK(Within(kTimeout, [&] { return third.live_count == 2; }));
  second.duty->PublishUpdates({stream::kServers,
                               {Item("s", "1", 1)},
                               log_offset(2),
                               std::chrono::steady_clock::now()});
  CHECK(Within(kTimeout, [&] { return third.ValueOf("s") == "1"; }));
}

// Guards against a fleet without a root after the loss of a data centre: lost
// machines accept nothing and refuse nothing.
TEST_CASE("hosts elect a root behind five silent hosts") {
  std::vector<host_info> lost;
  lost.reserve(5);
  for (int i = 0; i < 5; ++i)
    lost.push_back(Host("a" + std::to_string(i), "a", 23451 + i));
  std::vector<host_info> all = lost;
  all.push_back(Host("b1", "b", 23456));
  all.push_back(Host("b2", "b", 23457));
  fake_host parent(lost[0], all);
  asio::io_context io;
  std::vector<tcp::acceptor> silent;
  for (std::size_t i = 1; i < lost.size(); ++i)
    silent.emplace_back(io, ToTcp(lost[i].address));
  const std::vector<catalog::endpoint> seeds = {lost[0].address};
  fleet_host first("b1", "b", 23456, seeds);
  fleet_host second("b2", "b", 23457, seeds);
  CHECK(Within(kTimeout, [&] { return second.live_count == 7; }));
  CHECK_FALSE(first.is_root);
  parent.SetSilent();
  // The goal for the whole fleet, from the loss on.
  constexpr milliseconds kOneRootTime{3'000};
  CHECK(Within(kOneRootTime, [&] { return first.is_root.load(); }));
  CHECK(Within(kTimeout, [&] { return second.live_count == 2; }));
  CHECK_FALSE(second.is_root);
}

TEST_CASE("a sync request with is_inquiry set gets no updates") {
  const catalog::endpoint address{0x7f000001, 23421};
  fleet_host root("a1", "a", 23421, {});
  root.duty->PublishUpdates({stream::kServers,
                             {Item("server-of-some-name", "its long entry", 1)},
                             log_offset(2),
                             std::chrono::steady_clock::now()});
  std::this_thread::sleep_for(milliseconds(100));
  sync_request request;
  request.self = Host("a2", "a", 23422);
  const auto query = [&](bool is_inquiry) {
    request.is_inquiry = is_inquiry;
    const std::string path = "/sync";
    const std::string body = EncodeRequest(request);
    asio::io_context io;
    control_client link(io, address);
    control_response answer;
    const auto call = [&]() -> task<> {
      answer =
          co_await link.Send(http::verb::post, path, body, milliseconds(1'000));
    };
    asio::co_spawn(io, call(), asio::detached);
    io.run();
    return answer.body;
  };
  CHECK(query(false).find("its long entry") != std::string::npos);
  CHECK(query(true).find("its long entry") == std::string::npos);
  CHECK(DecodeResponse(query(true)).self == Host("a1", "a", 23421));
}

TEST_CASE("a new completeness time is passed on at once after a gap") {
  const std::vector<catalog::endpoint> seeds = {{0x7f000001, 23431},
                                                {0x7f000001, 23433}};
  fleet_host root("a1", "a", 23431, seeds);
  fleet_host near("a2", "a", 23432, seeds);
  fleet_host far("b1", "b", 23433, seeds);
  fleet_host leaf("b2", "b", 23434, seeds);
  CHECK(Within(kTimeout, [&] { return leaf.live_count == 4; }));
  const auto publish = [](fleet_host& host) {
    const time_point now = std::chrono::steady_clock::now();
    host.duty->PublishUpdates({stream::kServers, {}, log_offset(2), now});
    return now;
  };
  publish(root);
  CHECK(Within(kTimeout, [&] { return near.CompleteAt() != time_point(); }));
  // The root is cut off from the store, and a leaf finds that nothing has
  // changed. Sync requests wait for 400 ms at each host.
  std::this_thread::sleep_for(milliseconds(1'500));
  const time_point now = publish(leaf);
  constexpr milliseconds kAtOnce{300};
  CHECK(Within(kAtOnce, [&] { return root.CompleteAt() >= now; }));
  // Older by the way to the host, and far newer than what it had.
  constexpr milliseconds kWay{50};
  CHECK(Within(kAtOnce, [&] { return near.CompleteAt() >= now - kWay; }));
}

TEST_CASE("data from a slow parent is as old as its way was long") {
  const host_info parent = Host("a0", "a", 23461);
  constexpr milliseconds kDelay{80};
  const fake_host slow(parent, {parent}, kDelay);
  fleet_host child("a1", "a", 23462, {parent.address});
  CHECK(Within(kTimeout, [&] { return child.CompleteAt() != time_point(); }));
  const time_point received = std::chrono::steady_clock::now();
  CHECK(child.CompleteAt() <= received - kDelay);
}

TEST_CASE("unresponsive seeds do not delay the others") {
  // Accepts connections and does not respond.
  asio::io_context io;
  const catalog::endpoint silent{0x7f000001, 23441};
  const catalog::endpoint good{0x7f000001, 23442};
  tcp::acceptor acceptor(io, ToTcp(silent));
  fleet_host root("a1", "a", good.port, {});
  CHECK(Within(kTimeout, [&] { return root.is_root.load(); }));
  const time_point started = std::chrono::steady_clock::now();
  fleet_host late("a2", "a", 23443,
                  {silent, silent, silent, silent, silent, silent, good});
  CHECK(Within(kTimeout, [&] { return root.live_count == 2; }));
  // Each unresponsive seed times out after 100 ms.
  constexpr milliseconds kSequentialTime{600};
  CHECK(std::chrono::steady_clock::now() - started < kSequentialTime);
}

// Guards against totals that miss a data centre or do not reach its hosts.
TEST_CASE("each host gets the loads of shared pools of all hosts") {
  const std::vector<catalog::endpoint> seeds = {{0x7f000001, 23451},
                                                {0x7f000001, 23452}};
  fleet_host root("a1", "a", 23451, seeds);
  fleet_host head("b1", "b", 23452, seeds);
  fleet_host leaf("b2", "b", 23453, seeds);
  pools::pool_load load;
  load.by_priority[0].offered = 5;
  load.host_count = 1;
  const auto report = [&](fleet_host& host, const char* dc) {
    host.duty->ReportPools({{{pool_id("p"), data_centre_id(dc)}, load}});
  };
  CHECK(Within(kTimeout, [&] {
    report(root, "a");
    report(head, "b");
    report(leaf, "b");
    return root.reporting == 3 && head.reporting == 3 && leaf.reporting == 3;
  }));
}
