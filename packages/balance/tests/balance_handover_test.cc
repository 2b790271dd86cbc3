#include <doctest/doctest.h>

#include "dotterellead/balance.h"

namespace dotterellead {
namespace {

using std::chrono::seconds;

const member_id self_member("a");
const member_id other_member("b");
const member_id holder_member("x");
const server_id only_server("s");

// One entry host that may be a home; the test acts for all others.
struct single_home {
  single_home()
      : machine({.self = self_member,
                 .incarnation = incarnation_id(5),
                 .standalone = false}) {
    auto view = std::make_shared<config_view>();
    view->pools[pool_id("p")].spec.servers = {
        {.address = only_server, .slots = 3, .cold_slots = 3}};
    Step(config_changed{view});
    now += seconds(10);
  }
  std::vector<balance_peer_message> Step(const balance_machine::message& m) {
    std::vector<balance_machine::effect> effects;
    machine.Step(m, {now, {}}, effects);
    std::vector<balance_peer_message> sent;
    for (const balance_machine::effect& e : effects)
      if (const auto* message = std::get_if<send_to_peer>(&e))
        sent.push_back(message->body);
    for (const balance_peer_message& message : sent)
      if (const auto* grant = std::get_if<slot_grant>(&message))
        granted += grant->leases.size();
    return sent;
  }
  void EnterEpoch(std::uint64_t epoch, const member_id& home) {
    offers = Step(homes_changed{epoch_number(epoch), {{home, {}}}});
  }
  void GrantRight(std::uint64_t epoch, std::optional<time_point> earlier_end) {
    Step(grant_right_changed{epoch_number(epoch), now + seconds(3),
                             earlier_end});
  }
  // Requests `count` slots and returns the number granted at once; the others
  // are pending.
  std::size_t Request(std::uint32_t count) {
    const std::size_t before = granted;
    Step(balance_received{
        holder_member, slot_request{incarnation_id(1), ++sequence, pool_id("p"),
                                    version_id(), count, 0}});
    return granted - before;
  }
  // Leased slots in the table sent for an acceptance, if any.
  std::optional<std::size_t> Accept(std::uint64_t epoch,
                                    std::uint64_t incarnation) {
    const auto sent = Step(balance_received{
        other_member,
        handover_accept{
            epoch_number(epoch), incarnation_id(incarnation), {only_server}}});
    if (sent.empty())
      return std::nullopt;
    return std::get<handover>(sent.at(0)).tables.at(0).leased.size();
  }
  balance_machine machine;
  time_point now{seconds(100)};
  std::uint64_t sequence = 0;
  std::size_t granted = 0;
  std::vector<balance_peer_message> offers;
};

// Guards against two homes that both use the newest table.
TEST_CASE(
    "a lease table is sent to one incarnation only, while the right lasts") {
  single_home h;
  h.EnterEpoch(1, self_member);
  h.GrantRight(1, h.now - seconds(60));
  CHECK(h.Request(2) == 2);
  h.EnterEpoch(2, other_member);
  REQUIRE(h.offers.size() == 1);
  CHECK(std::get<handover_offer>(h.offers[0]).servers.size() == 1);
  CHECK(h.Request(1) == 0);
  CHECK(h.Accept(2, 7) == 2);
  CHECK_FALSE(h.Accept(2, 8));
  CHECK(h.Accept(2, 7) == 2);
  h.now += seconds(3);
  CHECK_FALSE(h.Accept(2, 7));
}

// Guards against a table that is outdated by another home's grants.
TEST_CASE("a home that missed an epoch neither keeps nor hands over tables") {
  for (const std::uint64_t next : {2, 3}) {
    for (const member_id& home : {self_member, other_member}) {
      CAPTURE(next);
      single_home h;
      h.EnterEpoch(1, self_member);
      h.GrantRight(1, h.now - seconds(60));
      CHECK(h.Request(1) == 1);
      h.EnterEpoch(next, home);
      h.GrantRight(next, std::nullopt);
      const bool keeps = next == 2;
      CHECK(h.offers.empty() == !(keeps && home == other_member));
      CHECK(h.Request(1) == (keeps && home == self_member ? 1 : 0));
    }
  }
}

// Guards against a home that uses a table meant for its former run or for
// another epoch, or after it has granted slots itself.
TEST_CASE("a home accepts only the table sent to it in this epoch") {
  single_home h;
  h.EnterEpoch(2, self_member);
  h.GrantRight(2, std::nullopt);
  CHECK(h.Request(1) == 0);
  const lease_table table{only_server,
                          9,
                          false,
                          false,
                          0,
                          {{slot_index(0), other_member, 9, milliseconds(900),
                            milliseconds(2'000)}}};
  const auto send_handover = [&](std::uint64_t epoch,
                                 std::uint64_t incarnation) {
    h.Step(balance_received{
        other_member,
        handover{epoch_number(epoch), incarnation_id(incarnation), {table}}});
  };
  send_handover(2, 4);
  send_handover(1, 5);
  CHECK(h.Request(3) == 0);
  send_handover(2, 5);
  CHECK(h.granted == 2);
  send_handover(2, 5);
  CHECK(h.Request(3) == 0);
  // The lease in the table expires 900 ms, 2 s and the margin from now.
  h.now += milliseconds(900) + milliseconds(2'000);
  h.GrantRight(2, std::nullopt);
  CHECK(h.Request(1) == 0);
  h.Step(tick{});
  CHECK(h.granted == 2);
  h.now += limits::kLeaseExpiryMargin;
  h.Step(tick{});
  CHECK(h.granted == 3);
}

// Guards against duplicated requests that lease unused slots.
TEST_CASE("a duplicated request is granted once") {
  single_home h;
  h.EnterEpoch(1, self_member);
  h.GrantRight(1, h.now - seconds(60));
  CHECK(h.Request(1) == 1);
  --h.sequence;
  CHECK(h.Request(1) == 0);
  CHECK(h.Request(3) == 2);
}

}  // namespace
}  // namespace dotterellead
