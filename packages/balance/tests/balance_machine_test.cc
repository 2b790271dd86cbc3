#include <doctest/doctest.h>

#include <set>

#include "directory.h"
#include "wait_queue.h"

namespace dotterellead {
namespace {

using std::chrono::seconds;

// A single host without the platform's log.
struct single_host {
  explicit single_host(std::uint32_t slots = 2,
                       std::uint32_t queue_length = 4,
                       const balance_options& options = {})
      : machine(options) {
    auto view = std::make_shared<config_view>();
    pool_spec& pool = view->pools[pool_id("p")].spec;
    pool.queue_length = queue_length;
    pool.servers = {{.address = server_id("s"),
                     .version = version_id("v1"),
                     .slots = slots,
                     .cold_slots = 1}};
    Step(config_changed{view});
  }
  std::vector<balance_machine::effect> Step(const balance_machine::message& m) {
    std::vector<balance_machine::effect> effects;
    machine.Step(m, {now, {}}, effects);
    return effects;
  }
  std::vector<balance_machine::effect> Acquire(int request,
                                               const char* tenant = "t") {
    return Step(acquire{.request = request_id(request),
                        .pool = pool_id("p"),
                        .tenant = tenant_id(tenant),
                        .deadline = now + seconds(1)});
  }
  std::vector<balance_machine::effect> Answer(int request, bool cold) {
    return Step(release{.request = request_id(request),
                        .latency = microseconds(1'000),
                        .cold = cold,
                        .server_boot = "b"});
  }
  balance_machine machine;
  time_point now{seconds(100)};
};

template <class T>
std::vector<T> Only(const std::vector<balance_machine::effect>& effects) {
  std::vector<T> found;
  for (const balance_machine::effect& e : effects)
    if (const T* match = std::get_if<T>(&e))
      found.push_back(*match);
  return found;
}

// Guards against full load on a server that is not known to be warm.
TEST_CASE(
    "a single host uses the cold slots until a response shows a warm server") {
  single_host h;
  CHECK(Only<assigned>(h.Acquire(1)).size() == 1);
  CHECK(Only<assigned>(h.Acquire(2)).empty());
  const auto after = Only<assigned>(h.Answer(1, false));
  REQUIRE(after.size() == 1);
  CHECK(after[0].request == request_id(2));
  CHECK(Only<assigned>(h.Acquire(3)).size() == 1);
  CHECK(Only<send_to_peer>(h.Step(tick{})).empty());
}

// Guards against clearing a suspicion by evidence from before a restart.
TEST_CASE("only responses to later requests clear a suspicion") {
  struct row {
    const char* name;
    release shows;
  };
  const row rows[] = {
      {"refused", {.result = attempt_result::kNotConnected}},
      {"cut", {.result = attempt_result::kConnectionLost}},
      {"closed", {.idle_connection_closed = true}},
      {"cold", {.cold = true}},
      {"new boot", {.cold = false, .server_boot = "c"}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    single_host h(3);
    h.Acquire(1);
    h.Answer(1, false);
    for (const int request : {2, 3, 4})
      CHECK(Only<assigned>(h.Acquire(request)).size() == 1);
    h.now += milliseconds(1);
    release shows = r.shows;
    shows.request = request_id(2);
    h.Step(shows);
    h.now += milliseconds(30);
    h.Answer(3, false);
    h.Step(tick{});
    h.Acquire(5);
    CHECK(Only<assigned>(h.Acquire(6)).empty());
    h.Step(load_report{.server = server_id("s"),
                       .server_boot = r.shows.server_boot,
                       .age = milliseconds(500)});
    CHECK(Only<assigned>(h.Acquire(7)).empty());
    CHECK(
        Only<assigned>(h.Step(load_report{.server = server_id("s"),
                                          .server_boot = r.shows.server_boot}))
            .size() > 0);
  }
}

// Guards against use of a slot after its lease, when a pause kept the holder
// from renewing it.
TEST_CASE("an idle lease is not assigned once it has expired") {
  single_host h(1);
  h.Acquire(1);
  h.Answer(1, false);
  h.now += limits::kLeaseDuration;
  CHECK(Only<assigned>(h.Acquire(2)).empty());
  const auto after = Only<assigned>(h.Step(tick{}));
  REQUIRE(after.size() == 1);
  CHECK(after[0].send_before > h.now);
}

// Guards against waiting for an unlimited time or in an unlimited queue.
TEST_CASE("requests that cannot be served are rejected with the reason") {
  single_host h(1, 2);
  h.Acquire(1);
  h.Acquire(2);
  h.Acquire(3);
  CHECK(Only<acquire_rejected>(h.Acquire(4)).at(0).reason ==
        rejection_reason::kQueueFull);
  CHECK(Only<acquire_rejected>(h.Step(acquire{.request = request_id(5),
                                              .pool = pool_id("q"),
                                              .deadline = h.now + seconds(1)}))
            .at(0)
            .reason == rejection_reason::kUnknownPool);
  CHECK(Only<acquire_rejected>(h.Step(acquire{.request = request_id(6),
                                              .pool = pool_id("p"),
                                              .version = version_id("v2"),
                                              .deadline = h.now + seconds(1)}))
            .at(0)
            .reason == rejection_reason::kNoServers);
  h.Step(cancel_acquire{request_id(2)});
  h.now += seconds(1);
  const auto late = Only<acquire_rejected>(h.Step(tick{}));
  REQUIRE(late.size() == 1);
  CHECK(late[0].request == request_id(3));
  CHECK(late[0].reason == rejection_reason::kDeadline);
}

// Guards against a host that grants slots before it knows an epoch.
TEST_CASE("without an epoch requests wait until their deadline") {
  single_host h(2, 4, {.standalone = false});
  CHECK(h.Acquire(1).empty());
  h.now += seconds(1);
  CHECK(Only<acquire_rejected>(h.Step(tick{})).at(0).reason ==
        rejection_reason::kDeadline);
  const auto report = Only<balance_report>(h.Step(tick{}));
  CHECK(report.empty());
}

// Guards against a burst of one tenant that blocks the others.
TEST_CASE("tenants are served in turn and the longest queue drops requests") {
  wait_queue queue;
  const auto make = [](int request, const char* tenant) {
    return acquire{.request = request_id(request), .tenant = tenant_id(tenant)};
  };
  for (const int request : {1, 2, 3, 4})
    CHECK_FALSE(queue.Add(make(request, "noisy"), 4));
  CHECK(queue.Add(make(5, "quiet"), 4)->request == request_id(4));
  CHECK(queue.Add(make(6, "noisy"), 4)->request == request_id(6));
  std::vector<std::uint64_t> served;
  queue.Serve([&](const acquire& m) {
    served.push_back(m.request.value());
    return true;
  });
  CHECK(served == std::vector<std::uint64_t>{1, 5, 2, 3});
}

// Guards against homes far from their servers, and against epoch changes that
// move homes unnecessarily.
TEST_CASE("homes are local, spread, and unchanged when another member leaves") {
  std::vector<home_candidate> members;
  members.reserve(12);
  for (int i = 0; i < 12; ++i)
    members.push_back({member_id("h" + std::to_string(i)),
                       data_centre_id(i % 2 == 0 ? "a" : "b")});
  std::vector<home_candidate> fewer(members.begin() + 2, members.end());
  std::set<member_id> homes;
  for (int i = 0; i < 200; ++i) {
    const pool_id pool("pool" + std::to_string(i));
    const member_id home = ChooseHome(members, pool, data_centre_id("a"));
    const member_id next = ChooseHome(fewer, pool, data_centre_id("a"));
    CHECK((home == members[0].id || home == next));
    homes.insert(home);
    CHECK(ChooseHome(members, pool, data_centre_id("c")).is_valid());
  }
  CHECK(homes.size() == 6);
  CHECK_FALSE(homes.contains(members[1].id));
}

}  // namespace
}  // namespace dotterellead
