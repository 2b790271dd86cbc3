#include "chores.h"

#include <doctest/doctest.h>

#include <array>

namespace dotterellead {
namespace {

// Guards against chores that come late or too often, and against a leaving
// host whose requests nobody counts.
TEST_CASE("chores are done at their times, and requests counted once leaving") {
  constexpr milliseconds kTick{100};
  constexpr int kRunMs = 30'000;
  for (const int leaves_ms : {0, 12'000, kRunMs}) {
    CAPTURE(leaves_ms);
    chore_machine machine;
    // Of each effect, by its index.
    std::array<int, 4> done{};
    std::vector<chore_machine::effect> out;
    int ticks = 0;
    for (int ms = 0; ms < kRunMs; ms += static_cast<int>(kTick.count())) {
      const timestamp now{time_point(milliseconds(1'000'000 + ms)), {}};
      if (ms == leaves_ms)
        machine.Step(draining_started{}, now, out);
      const auto due = machine.NextDeadline();
      REQUIRE(due.has_value());
      if (*due > now.steady)
        continue;
      machine.Step(tick{}, now, out);
      ++ticks;
    }
    for (const auto& e : out)
      ++done.at(e.index());
    // Once when the host begins to leave, and at each tick from then on.
    const int counted = (kRunMs - leaves_ms) / static_cast<int>(kTick.count());
    CHECK(done ==
          std::array<int, 4>{0, counted + (counted > 0 ? 1 : 0), 30, 3});
    CHECK(ticks == counted + (leaves_ms + 999) / 1'000);
  }
}

}  // namespace
}  // namespace dotterellead
