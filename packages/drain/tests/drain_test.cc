#include "dotterellead/drain.h"

#include <doctest/doctest.h>

namespace dotterellead {
namespace {

timestamp At(int ms) {
  return {time_point(milliseconds(ms)), unix_millis{ms}};
}

config_snapshot TwoServers() {
  auto view = std::make_shared<config_view>();
  view->pools[pool_id("pay")].spec = {
      .servers = {{.address = server_id("127.0.0.1:1")},
                  {.address = server_id("127.0.0.1:2")}},
      .from_host_list = true,
      .default_slots = 3};
  return view;
}

listed_host Backend(const std::string& address, host_state state) {
  return {.address = address, .state = state, .pool = pool_id("pay")};
}

// Guards against requests to a server that the platform lists as leaving, and
// against a server that is lost or changed because the list contains it too.
TEST_CASE("the host list adds servers and removes leaving ones") {
  drain_machine machine({});
  std::vector<drain_machine::effect> out;
  machine.Step(declared_config{TwoServers()}, At(0), out);
  REQUIRE(out.size() == 1);
  machine.Step(listed_hosts{{Backend("127.0.0.1:1", host_state::kLeaving),
                             Backend("127.0.0.1:2", host_state::kLive),
                             Backend("127.0.0.1:3", host_state::kLive)}},
               At(1), out);
  REQUIRE(out.size() == 2);
  const auto& servers = std::get<effective_config>(out[1])
                            .config->pools.at(pool_id("pay"))
                            .spec.servers;
  REQUIRE(servers.size() == 2);
  CHECK(servers[0].address == server_id("127.0.0.1:2"));
  CHECK(servers[0].slots == 1);
  CHECK(servers[1].address == server_id("127.0.0.1:3"));
  CHECK(servers[1].slots == 3);
}

// Guards against unnecessary publication, which would make servers count as
// newly declared.
TEST_CASE("an unchanged list publishes nothing") {
  drain_machine machine({});
  std::vector<drain_machine::effect> out;
  machine.Step(declared_config{TwoServers()}, At(0), out);
  machine.Step(listed_hosts{{Backend("127.0.0.1:2", host_state::kLive)}}, At(1),
               out);
  CHECK(out.size() == 1);
}

// Guards against a planned stop that cuts off requests or never ends.
TEST_CASE(
    "a stop waits for the unready time and for requests, up to the maximum") {
  struct row {
    int requests_end_ms;
    int stop_ms;
    std::size_t cut;
  };
  for (const row& r :
       {row{0, 1'000, 0}, row{4'000, 4'000, 0}, row{60'000, 10'000, 5}}) {
    drain_machine machine({});
    std::vector<drain_machine::effect> out;
    machine.Step(requests_in_flight{5}, At(0), out);
    machine.Step(stop_requested{}, At(0), out);
    REQUIRE(std::holds_alternative<draining_started>(out.at(0)));
    CHECK(std::get<draining_started>(out.at(0)).ends_at ==
          At(0).steady + limits::kShutdownGrace - limits::kShutdownAnswerTime);
    int stopped_at = -1;
    for (int ms = 0; ms <= 20'000 && stopped_at < 0; ms += 100) {
      if (ms >= r.requests_end_ms)
        machine.Step(requests_in_flight{0}, At(ms), out);
      REQUIRE(machine.NextDeadline() == time_point());
      machine.Step(tick{}, At(ms), out);
      if (out.size() == 2)
        stopped_at = ms;
    }
    CHECK(stopped_at == r.stop_ms);
    CHECK(std::get<drained>(out.at(1)).cut_requests == r.cut);
  }
}

}  // namespace
}  // namespace dotterellead
