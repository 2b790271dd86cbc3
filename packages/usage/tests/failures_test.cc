// One test for each failure that the single-leader task must survive. The fakes
// check at each call that tokens never go back, that no two hosts share one,
// and that a window never gets two bodies.
#include "usage_world.h"

using namespace dotterellead;
using namespace dotterellead::usage;

namespace {

constexpr milliseconds kWarmUp{40'000};

// Twenty hosts, with a as the root, that have reported for a while.
usage_world MakeWorld(bool is_fenced = true) {
  usage_world world(is_fenced);
  for (char name = 'a'; name <= 't'; ++name)
    world.AddHost(std::string(1, name));
  world.SetRoot("a", true);
  world.Run(kWarmUp);
  REQUIRE(world.service.calls.size() >= 4);
  return world;
}

// The window before the present one, which may not have been reported.
window_number LastWindow(const usage_world& world) {
  return window_number(world.Window().value() - 1);
}

std::size_t CallsOf(const usage_world& world, const std::string& host) {
  return static_cast<std::size_t>(std::count_if(
      world.service.calls.begin(), world.service.calls.end(),
      [&](const fake_service::call& c) { return c.host == host; }));
}

}  // namespace

// Guards against lost, wrong and too expensive reports without any failure.
TEST_CASE("each window is reported once, in time, with one append") {
  usage_world world = MakeWorld();
  const window_number first = world.Window();
  const std::size_t records = world.log.records.size();
  world.Run(milliseconds(100'000));
  CHECK(world.MissingSince(first) == 0);
  CHECK(world.log.records.size() - records <= 20);
  // 50 requests at each of 20 hosts.
  const std::string window = std::to_string(first.value());
  CHECK(world.service.bodies[window] == window + ":c=1000;");
}

// Guards against lost or changed windows at each time of the leader's end.
TEST_CASE("the leader is killed") {
  for (const bool is_fenced : {true, false}) {
    for (int tenths = 0; tenths < 50; tenths += 7) {
      CAPTURE(tenths);
      usage_world world = MakeWorld(is_fenced);
      world.Run(milliseconds(100 * tenths));
      const window_number first = LastWindow(world);
      world.Kill("a");
      world.Run(milliseconds(1'500));
      world.SetRoot("b", true);
      world.Run(milliseconds(60'000));
      CHECK(world.MissingSince(first) <= (is_fenced ? 0 : 1));
      CHECK(CallsOf(world, "b") >= 8);
    }
  }
}

// Guards against a window that is recorded but that nobody reports.
TEST_CASE("the leader is killed between the record and the call") {
  usage_world world = MakeWorld();
  const window_number first = LastWindow(world);
  world.hosts.at("a")->freezes_before_call = true;
  while (!world.hosts.at("a")->is_frozen)
    world.Run(milliseconds(100));
  world.Kill("a");
  world.SetRoot("b", true);
  world.Run(milliseconds(60'000));
  CHECK(world.MissingSince(first) == 0);
}

// Guards against a call of a leader that wakes after another took over.
TEST_CASE("the leader freezes and wakes") {
  for (const bool is_fenced : {true, false}) {
    usage_world world = MakeWorld(is_fenced);
    world.hosts.at("a")->freezes_before_call = true;
    while (!world.hosts.at("a")->is_frozen)
      world.Run(milliseconds(100));
    world.SetRoot("b", true);
    world.Run(milliseconds(30'000));
    const std::size_t calls = CallsOf(world, "a");
    CHECK(CallsOf(world, "b") >= 3);
    // Its clock counted on, so that it drops the call, and it learns from the
    // failed condition that it was replaced.
    world.hosts.at("a")->is_frozen = false;
    world.Run(milliseconds(30'000));
    CHECK(CallsOf(world, "a") == calls);
  }
}

// Guards against calls that no record precedes.
TEST_CASE("the leader is cut off from the store") {
  usage_world world = MakeWorld();
  world.hosts.at("a")->can_reach_store = false;
  const std::size_t calls = world.service.calls.size();
  world.Run(milliseconds(20'000));
  CHECK(world.service.calls.size() <= calls + 1);
  const std::size_t records = world.log.records.size();
  world.hosts.at("a")->can_reach_store = true;
  world.Run(milliseconds(2'000));
  const window_number first = world.Window();
  world.Run(milliseconds(40'000));
  CHECK(world.MissingSince(first) == 0);
  CHECK(world.log.records.size() > records);
}

// Guards against unbounded appends and lost windows after an outage.
TEST_CASE("the leader is cut off from the service") {
  usage_world world = MakeWorld();
  world.hosts.at("a")->can_reach_service = false;
  const std::size_t records = world.log.records.size();
  world.Run(milliseconds(20'000));
  CHECK(world.log.records.size() - records <= 20);
  world.hosts.at("a")->can_reach_service = true;
  const window_number first = world.Window();
  world.Run(milliseconds(40'000));
  CHECK(world.MissingSince(first) == 0);
}

// Guards against two leaders that replace each other in turn.
TEST_CASE("two hosts believe they are the leader") {
  for (const bool is_fenced : {true, false}) {
    usage_world world = MakeWorld(is_fenced);
    world.SetRoot("b", true);
    world.Run(milliseconds(15'000));
    const window_number first = world.Window();
    const std::size_t calls = CallsOf(world, "a");
    world.Run(milliseconds(60'000));
    CHECK(world.MissingSince(first) == 0);
    CHECK(CallsOf(world, "a") == calls);
    // The other host ends: two windows later the first one leads again.
    world.Kill("b");
    world.Run(milliseconds(40'000));
    CHECK(CallsOf(world, "a") > calls);
  }
}

// Guards against different counts, or a lower token, when a call executes after
// its answer was given up.
TEST_CASE("an answer is lost and the call takes effect later") {
  for (const bool is_fenced : {true, false}) {
    usage_world world = MakeWorld(is_fenced);
    const window_number first = LastWindow(world);
    world.service.lost_answers = 1;
    world.service.late_by = milliseconds(4'000);
    while (world.service.lost_answers > 0)
      world.Run(milliseconds(100));
    world.Kill("a");
    world.SetRoot("b", true);
    world.Run(milliseconds(60'000));
    CHECK(world.service.delayed.empty());
    CHECK(world.MissingSince(first) <= (is_fenced ? 0 : 1));
  }
}

// Guards against a second takeover, or another body, after an append whose
// answer was lost.
TEST_CASE("the answer to an append is lost") {
  usage_world world = MakeWorld();
  const window_number first = world.Window();
  world.log.lost_answers = 3;
  world.Run(milliseconds(60'000));
  CHECK(world.MissingSince(first) == 0);
  CHECK(CallsOf(world, "a") == world.service.calls.size());
}

// Guards against a token that is used twice and a window that is reported again
// with other counts, since the store no longer has the records.
TEST_CASE("the store comes back from an older copy") {
  for (const std::size_t lost : {0, 1, 2, 5, 100}) {
    for (const bool is_replaced : {false, true}) {
      CAPTURE(lost);
      CAPTURE(is_replaced);
      usage_world world = MakeWorld();
      const std::uint64_t token = world.service.highest;
      world.log.Restore(lost);
      if (is_replaced) {
        world.Kill("a");
        world.SetRoot("b", true);
      }
      world.Run(milliseconds(20'000));
      const window_number first = world.Window();
      world.Run(milliseconds(40'000));
      CHECK(world.MissingSince(first) == 0);
      CHECK(world.service.highest > token);
    }
  }
}

// Guards against a report of a window of which most counts are lost.
TEST_CASE("all hosts lose power in the middle of a window") {
  usage_world world = MakeWorld();
  world.Run(milliseconds(2'500));
  const window_number cut = world.Window();
  world.hosts.clear();
  for (char name = 'a'; name <= 't'; ++name)
    world.AddHost(std::string(1, name), true);
  world.SetRoot("a", true);
  world.Run(milliseconds(60'000));
  CHECK(world.service.reported_at.count(cut.value()) == 0);
  CHECK(world.MissingSince(cut.next()) == 0);
}

// Guards against counts in wrong windows and calls for windows that have not
// been.
TEST_CASE("the wall clock steps") {
  for (const int step_ms : {-20'000, 20'000}) {
    usage_world world = MakeWorld();
    const window_number first = world.Window();
    for (auto& [name, host] : world.hosts)
      host->wall_error = milliseconds(step_ms);
    world.Run(milliseconds(60'000));
    CHECK(world.MissingSince(first) == 0);
    const std::string window = std::to_string(first.next().value());
    CHECK(world.service.bodies[window] == window + ":c=1000;");
  }
}

// Guards against missing windows after the failure of a few hosts, and against
// wrong ones after that of many.
TEST_CASE(
    "a window is reported only if at most one host in twenty is missing") {
  usage_world world = MakeWorld();
  world.Run(milliseconds(2'500));
  const window_number first = world.Window();
  world.Kill("t");
  world.Run(milliseconds(20'000));
  CHECK(world.MissingSince(first) == 0);
  const window_number second = world.Window();
  world.Kill("s");
  world.Kill("r");
  world.Run(milliseconds(30'000));
  CHECK(world.service.reported_at.count(second.value()) == 0);
  CHECK(world.MissingSince(second.next()) == 0);
}
