#include <doctest/doctest.h>
#include <fmt/core.h>

#include "admission_simulation.h"

namespace dotterellead {
namespace {

constexpr unsigned kSeeds = 30;

struct row {
  const char* name;
  std::size_t hosts = 16;
  network_faults faults;
  // Number of callers, time between their starts, and requests per caller.
  int callers = 1;
  int stagger_ms = 0;
  int sends = 30;
  int kill_at_crash = 0;
  bool kill_owner = false;
  std::size_t partition = 0;
  // Servers that may be lost in addition to the runs in flight at the first
  // crash.
  int most_lost = 2;
};

const row fault_matrix[] = {
    {.name = "one caller, calm network"},
    {.name = "one host alone", .hosts = 1},
    {.name = "a third of messages lost", .faults = {.lost_per_mille = 300}},
    {.name = "half of messages twice, late and out of order",
     .faults = {.duplicated_per_mille = 500, .longest_delay_ms = 60}},
    {.name = "lost, twice and late",
     .faults = {.lost_per_mille = 200,
                .duplicated_per_mille = 300,
                .longest_delay_ms = 40}},
    {.name = "8 callers at once", .callers = 8},
    {.name = "40 callers, one each 25 ms", .callers = 40, .stagger_ms = 25},
    {.name = "40 callers, one each 25 ms, lost, twice and late",
     .faults = {.lost_per_mille = 200,
                .duplicated_per_mille = 300,
                .longest_delay_ms = 10},
     .callers = 40,
     .stagger_ms = 25},
    // No other host knows of the first crash, which costs one more server.
    {.name = "host killed between the first crash and its strike",
     .kill_at_crash = 1,
     .most_lost = 3},
    {.name = "host killed between a granted run's crash and its strike",
     .kill_at_crash = 2},
    {.name = "the same on 3 hosts, where it is often the owner's own run",
     .hosts = 3,
     .kill_at_crash = 2},
    {.name = "the same with 8 staggered callers and losses",
     .faults = {.lost_per_mille = 200},
     .callers = 8,
     .stagger_ms = 250,
     .kill_at_crash = 2},
    {.name = "owner killed while it grants", .kill_owner = true},
    {.name = "owner killed while it grants, losses, 8 callers",
     .faults = {.lost_per_mille = 200},
     .callers = 8,
     .stagger_ms = 250,
     .kill_owner = true},
    // The smaller side loses one server before its strike, and grants no run.
    {.name = "partition 11 to 5, callers on both sides",
     .callers = 10,
     .stagger_ms = 300,
     .partition = 11,
     .most_lost = 3},
};

// Servers lost in addition to the runs in flight at the first crash, each of
// which may crash one.
int LostBeyondFirst(const row& r, unsigned seed) {
  admission_simulation sim(r.hosts, r.faults, seed);
  for (int i = 0; i < r.callers; ++i)
    sim.AddCaller(1 + i * r.stagger_ms, r.sends);
  sim.KillAtCrash(r.kill_at_crash);
  if (r.partition != 0)
    sim.Partition(r.partition);
  sim.Run(14);
  if (r.kill_owner)
    sim.KillHost(sim.OwnerIndex());
  sim.Run(8'000);
  CHECK(sim.most_at_once_after_strike() <= 1);
  return sim.servers_lost() - std::max(0, sim.runs_at_first_crash() - 2);
}

// Guards against one request that crashes server after server when its caller
// retries, regardless of message loss and host failures.
TEST_CASE("a fingerprint loses two servers at most over all hosts") {
  for (const row& r : fault_matrix) {
    CAPTURE(r.name);
    int worst = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(seed);
      const int lost = LostBeyondFirst(r, seed);
      CHECK(lost <= r.most_lost);
      worst = std::max(worst, lost);
    }
    fmt::print("quarantine: {}: servers lost {} (bound {}) over {} seeds\n",
               r.name, worst, r.most_lost, kSeeds);
  }
}

// Guards against a harmless request that is slowed down for long because a
// server happened to crash while running it.
TEST_CASE("clean granted runs clear a strike on all hosts") {
  admission_simulation sim(8, {.lost_per_mille = 100}, 3);
  sim.Step(2, record_crash{request_id(1'000), kPoison, server_id("s")});
  sim.Run(300);
  for (int i = 0; i < 8; ++i)
    sim.AddCaller(400, 30, true);
  sim.Run(3'000);
  CHECK(sim.answered() > 8 * 5);
  for (std::size_t i = 0; i < 8; ++i) {
    CAPTURE(i);
    CHECK(sim.machine(i).struck_count() == 0);
    CHECK(sim.table(i).TryBegin(pool_id("p"), kPoison));
  }
}

// Guards against hosts that reject for different times, or forever because they
// keep informing each other.
TEST_CASE("quarantine ends on every host after its time") {
  admission_simulation sim(5, {}, 1);
  sim.AddCaller(1, 3);
  sim.Run(1'000);
  CHECK(sim.servers_lost() == 2);
  sim.Run(58'000);
  for (std::size_t i = 0; i < 5; ++i)
    CHECK(sim.machine(i).struck_count() == 1);
  sim.Run(3'000);
  for (std::size_t i = 0; i < 5; ++i)
    CHECK(sim.machine(i).struck_count() == 0);
}

// ---- Single machine

constexpr timestamp At(std::int64_t ms) {
  return {time_point(milliseconds(1'000'000 + ms)), unix_millis{0}};
}

struct single_host {
  admission_machine machine;
  std::vector<admission_machine::effect> out;
  std::uint64_t next = 1;

  single_host() { Send(admission_peers_changed{member_id("h"), {}, true}, 0); }

  void Send(const admission_machine::message& m, std::int64_t ms) {
    out.clear();
    machine.Step(m, At(ms), out);
    for (const auto& e : std::vector(out)) {
      if (const auto* mark = std::get_if<mark_struck>(&e))
        machine.Step(runs_counted{mark->fingerprint, 1}, At(ms), out);
    }
  }
  template <class Answer>
  const Answer* Find() const {
    for (const auto& e : out) {
      if (const auto* a = std::get_if<Answer>(&e))
        return a;
    }
    return nullptr;
  }
  // Whether the fingerprint may be retried after a crash of `server`.
  bool Crash(std::uint64_t fp, const char* server, std::int64_t ms) {
    Send(record_crash{request_id(next++), request_fingerprint(fp),
                      server_id(server)},
         ms);
    return Find<crash_decision>()->may_retry;
  }
};

// Guards against a server that crashes by itself and makes all its requests
// rejected.
TEST_CASE("one server's crashes quarantine no fingerprint") {
  single_host h;
  for (std::int64_t round = 0; round < 5; ++round) {
    for (std::uint64_t fp = 1; fp <= 20; ++fp)
      CHECK(h.Crash(fp, "server-a", round * 100));
    for (std::uint64_t fp = 1; fp <= 20; ++fp)
      h.Send(end_run{request_fingerprint(fp), true}, round * 100 + 10);
  }
  // Others run as before; only the one with a second lost server is rejected.
  CHECK_FALSE(h.Crash(3, "server-b", 600));
  h.Send(begin_run{request_id(900), pool_id("p"), request_fingerprint(3),
                   At(9'000).steady},
         601);
  CHECK_FALSE(h.Find<begin_decision>()->allowed);
  for (const std::uint64_t fp : {4, 99}) {
    h.Send(begin_run{request_id(901 + fp), pool_id("p"),
                     request_fingerprint(fp), At(9'000).steady},
           602);
    CHECK(h.Find<begin_decision>()->allowed);
  }
}

// Guards against a caller that is informed of the crash and retries before the
// other hosts know of it, and against one that waits forever for a dead host.
TEST_CASE("a crash is decided once the peers know, or after a limited time") {
  const member_id a("a");
  const member_id b("b");
  for (const bool peers_answer : {true, false}) {
    CAPTURE(peers_answer);
    single_host h;
    h.Send(admission_peers_changed{member_id("h"), {a, b}, true}, 0);
    // A second server, so that the decision needs no grant.
    h.Send(admission_received{a, peer_strike{{kPoison, {server_id("s1")}}}}, 1);
    h.Send(record_crash{request_id(1), kPoison, server_id("s2")}, 2);
    CHECK(h.Find<crash_decision>() == nullptr);
    const peer_strike_acknowledged known{kPoison,
                                         {server_id("s1"), server_id("s2")}};
    const peer_strike_acknowledged outdated{kPoison, {server_id("s1")}};
    h.Send(admission_received{a, known}, 3);
    h.Send(admission_received{b, outdated}, 4);
    CHECK(h.Find<crash_decision>() == nullptr);
    h.Send(tick{}, 2 + limits::kStrikeAckTimeout.count() - 1);
    CHECK(h.Find<crash_decision>() == nullptr);
    if (peers_answer)
      h.Send(admission_received{b, known}, 202);
    else
      h.Send(tick{}, 2 + limits::kStrikeAckTimeout.count());
    REQUIRE(h.Find<crash_decision>() != nullptr);
    CHECK_FALSE(h.Find<crash_decision>()->may_retry);
  }
}

// Guards against two owners, one on each side of a partition, that both grant.
TEST_CASE("a host without a majority runs no struck fingerprint") {
  single_host h;
  h.Send(admission_peers_changed{member_id("h"), {}, false}, 0);
  CHECK_FALSE(h.Crash(1, "s", 1));
  h.Send(end_run{request_fingerprint(1)}, 2);
  const request_fingerprint struck(1);
  const time_point deadline = At(9'000).steady;
  h.Send(begin_run{request_id(9), pool_id("p"), struck, deadline}, 3);
  CHECK_FALSE(h.Find<begin_decision>()->allowed);
  h.Send(admission_peers_changed{member_id("h"), {}, true}, 4);
  h.Send(begin_run{request_id(10), pool_id("p"), struck, deadline}, 5);
  CHECK(h.Find<begin_decision>()->allowed);
}

// Guards against memory that grows with the number of crashing requests.
TEST_CASE("the number of fingerprints with strikes is limited") {
  single_host h;
  for (std::uint64_t fp = 0; fp < limits::kMaxStruckFingerprints + 100; ++fp)
    h.Crash(fp, "s", static_cast<std::int64_t>(fp));
  CHECK(h.machine.struck_count() == limits::kMaxStruckFingerprints);
}

// Guards against decoding to a different message, and against malformed input
// that is accepted.
TEST_CASE(
    "decoding an encoded message gives the same message; malformed text is "
    "rejected") {
  const strike_record record{
      kPoison, {server_id("127.0.0.1:1"), server_id("b")}, milliseconds(9)};
  const admission_peer_message messages[] = {
      peer_strike{record},
      peer_strike_acknowledged{kPoison, record.servers},
      run_request{record, 3},
      run_grant{record, 3, true},
      run_poll{record, 4, {member_id("h")}},
      run_poll_response{record, 4, true, 5, 6},
      strikes_cleared{record, 8}};
  for (const admission_peer_message& m : messages) {
    const std::string text = EncodeAdmissionMessage(m);
    CHECK(DecodeAdmissionMessage(text) == m);
    CHECK_THROWS_AS(DecodeAdmissionMessage(text.substr(1)), protocol_error);
    std::string other = text;
    other.replace(other.find("fingerprint"), 4, "xxxx");
    CHECK_THROWS_AS(DecodeAdmissionMessage(other), protocol_error);
  }
  for (const char* text : {"", "[]", "{}", R"({"kind":"run"})", R"({"kind":1})",
                           R"({"kind":"run_poll","fingerprint":-1})"})
    CHECK_THROWS_AS(DecodeAdmissionMessage(text), protocol_error);
}

}  // namespace
}  // namespace dotterellead
