#include <doctest/doctest.h>

#include "dotterellead/balance.h"

namespace dotterellead {
namespace {

using std::chrono::seconds;

const member_id near_home("near");
const member_id far_home("far");
const member_id this_host("self");

// One host and two other homes, with two servers of 2 slots in each data
// centre.
struct forwarding_host {
  explicit forwarding_host(const char* data_centre = "a")
      : machine({.self = this_host,
                 .data_centre = data_centre_id(data_centre),
                 .policy = choice_policy_kind::kForwarded,
                 .standalone = false}) {
    auto view = std::make_shared<config_view>();
    pool_spec& pool = view->pools[pool_id("p")].spec;
    pool.queue_length = 8;
    for (const char* name : {"a1", "a2", "b1", "b2"}) {
      pool.servers.push_back(
          {.address = server_id(name),
           .data_centre = data_centre_id(std::string(1, name[0])),
           .version = version_id("v1"),
           .slots = 2,
           .cold_slots = 2});
    }
    Step(config_changed{view});
  }
  void Join(std::vector<home_candidate> members) {
    Step(homes_changed{epoch_number(1), std::move(members)});
  }
  void GrantRight() {
    Step(grant_right_changed{epoch_number(1), now + seconds(60),
                             now - seconds(60)});
    now += seconds(10);
    Step(tick{});
  }
  std::vector<balance_machine::effect> Step(const balance_machine::message& m) {
    std::vector<balance_machine::effect> effects;
    machine.Step(m, {now, {}}, effects);
    return effects;
  }
  std::vector<balance_machine::effect> Acquire(int request,
                                               acquire_kind kind,
                                               bool may_wait = true,
                                               std::uint32_t full_homes = 0) {
    return Step(acquire{.request = request_id(request),
                        .pool = pool_id("p"),
                        .tenant = tenant_id("t"),
                        .deadline = now + seconds(30),
                        .kind = kind,
                        .home_rejections = full_homes,
                        .may_wait = may_wait});
  }
  void End(int request, const member_id& home, std::optional<home_load> load) {
    Step(forward_ended{request_id(request), pool_id("p"), home, load});
  }
  balance_machine machine;
  time_point now{seconds(100)};
};

template <class T>
std::optional<T> First(const std::vector<balance_machine::effect>& effects) {
  for (const balance_machine::effect& e : effects)
    if (const T* match = std::get_if<T>(&e))
      return *match;
  return std::nullopt;
}

forwarding_host BetweenTwoHomes() {
  forwarding_host h;
  h.Join({{near_home, data_centre_id("a")}, {far_home, data_centre_id("b")}});
  return h;
}

// Guards against requests that queue at one home while another has free slots,
// and against loads that are used for too long.
TEST_CASE("requests go to the home that reports a free slot") {
  struct row {
    const char* name;
    std::optional<home_load> near;
    std::optional<home_load> far;
    milliseconds later;
    member_id home;
    bool may_wait;
  };
  const row rows[] = {
      {"both free", home_load{1, 4}, home_load{0, 4}, {}, near_home, false},
      {"near full", home_load{4, 4}, home_load{1, 4}, {}, far_home, false},
      {"both full", home_load{9, 4}, home_load{6, 4}, {}, far_home, true},
      {"near gave no answer", {}, home_load{9, 4}, {}, far_home, true},
      {"near lends none", home_load{0, 0}, home_load{9, 4}, {}, far_home, true},
      {"far partly cold",
       home_load{4, 4},
       home_load{2, 2},
       {},
       near_home,
       true},
      {"load is old", home_load{4, 4}, home_load{0, 4}, seconds(1), near_home,
       false},
      {"no answer long ago", {}, home_load{0, 4}, seconds(1), near_home, false},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    forwarding_host h = BetweenTwoHomes();
    for (int n = 1; n <= 5; ++n)
      h.Acquire(n, acquire_kind::kForwardable);
    for (int n = 1; n <= 4; ++n)
      h.End(n, near_home, r.near);
    h.End(5, far_home, r.far);
    h.now += r.later;
    const auto sent =
        First<forwarded>(h.Acquire(6, acquire_kind::kForwardable));
    REQUIRE(sent);
    CHECK(sent->home == r.home);
    CHECK(sent->may_wait == r.may_wait);
  }
}

// Guards against a burst that is forwarded to one home before its next
// response, and against a request that is rejected forever.
TEST_CASE("requests forwarded since the last response count as load") {
  forwarding_host h = BetweenTwoHomes();
  std::map<member_id, int> sent;
  for (int n = 1; n <= 8; ++n) {
    const auto f = First<forwarded>(h.Acquire(n, acquire_kind::kForwardable));
    REQUIRE(f);
    ++sent[f->home];
  }
  CHECK(sent == std::map<member_id, int>{{near_home, 4}, {far_home, 4}});
  h.End(1, near_home, home_load{0, 4});
  const auto last = First<forwarded>(h.Acquire(
      9, acquire_kind::kForwardable, true, limits::kMaxHomeRejections));
  REQUIRE(last);
  CHECK(last->may_wait);
}

// Guards against disconnecting callers that make a host avoid a healthy home.
TEST_CASE("a caller's disconnect does not count against the home") {
  for (const bool home_failed : {false, true}) {
    forwarding_host h = BetweenTwoHomes();
    h.Acquire(1, acquire_kind::kForwardable);
    h.Step(forward_ended{request_id(1), pool_id("p"), near_home, std::nullopt,
                         home_failed});
    CHECK(First<forwarded>(h.Acquire(2, acquire_kind::kForwardable))->home ==
          (home_failed ? far_home : near_home));
  }
}

// Guards against non-idempotent requests that depend on another home, and
// against requests that are forwarded in a circle.
TEST_CASE("only forwardable requests are forwarded") {
  forwarding_host h = BetweenTwoHomes();
  CHECK_FALSE(First<forwarded>(h.Acquire(1, acquire_kind::kDirect)));
  const auto no =
      First<acquire_rejected>(h.Acquire(2, acquire_kind::kForwarded));
  REQUIRE(no);
  CHECK(no->reason == rejection_reason::kNotHome);
}

// Guards against a home that accepts requests it cannot serve, and against a
// queue at an overloaded home while others have free slots.
TEST_CASE("a home serves, queues or rejects forwarded requests") {
  forwarding_host h;
  h.Join({{this_host, data_centre_id("a")}, {far_home, data_centre_id("b")}});
  CHECK(
      First<acquire_rejected>(h.Acquire(1, acquire_kind::kForwarded))->reason ==
      rejection_reason::kNotHome);
  h.GrantRight();
  for (int n = 2; n <= 5; ++n)
    CHECK(First<assigned>(h.Acquire(n, acquire_kind::kForwarded, false)));
  CHECK(First<acquire_rejected>(h.Acquire(6, acquire_kind::kForwarded, false))
            ->reason == rejection_reason::kHomeFull);
  const auto queued = h.Acquire(7, acquire_kind::kForwarded);
  CHECK_FALSE(First<assigned>(queued));
  CHECK(First<home_load_changed>(queued)->load == home_load{5, 4});
  // A request of its own callers goes to the home with a free slot.
  CHECK(First<forwarded>(h.Acquire(8, acquire_kind::kForwardable))->home ==
        far_home);
  const auto after = h.Step(release{.request = request_id(2),
                                    .latency = microseconds(1'000),
                                    .server = server_id("a1")});
  REQUIRE(First<assigned>(after));
  CHECK(First<assigned>(after)->request == request_id(7));
  // Once the servers have another home, requests that wait here are rejected.
  h.Acquire(9, acquire_kind::kForwarded);
  const auto moved = h.Step(homes_changed{
      epoch_number(2),
      {{near_home, data_centre_id("a")}, {far_home, data_centre_id("b")}}});
  REQUIRE(First<acquire_rejected>(moved));
  CHECK(First<acquire_rejected>(moved)->request == request_id(9));
  CHECK(First<acquire_rejected>(moved)->reason == rejection_reason::kNotHome);
}

}  // namespace
}  // namespace dotterellead
