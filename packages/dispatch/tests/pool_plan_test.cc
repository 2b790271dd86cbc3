#include "pool_plan.h"

#include <doctest/doctest.h>

#include "shared_pools.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

// 20 servers with 6 slots.
constexpr pool_size kSize{20, 120};

// Urgent work of 89 ms and less urgent work of 560 ms, all of it served.
pools::pool_load Load(double urgent, double less_urgent) {
  pools::pool_load load;
  load.by_priority[0] = {urgent, urgent, 0, urgent * 0.089, urgent * 0.089};
  load.by_priority[2] = {less_urgent, less_urgent, 0, less_urgent * 0.56,
                         less_urgent * 0.56};
  load.free_slots = 0;
  load.probed_slots = 100;
  load.host_count = 1;
  return load;
}

}  // namespace

TEST_CASE("the reserve follows the urgent demand and the length of the work") {
  const double some =
      MakePoolPlan(Load(50, 100), kSize, true).by_priority[2].reserve;
  CHECK(some > 0);
  CHECK(MakePoolPlan(Load(150, 100), kSize, true).by_priority[2].reserve >
        some);
  pools::pool_load longer = Load(50, 100);
  longer.by_priority[2].offered_work *= 2;
  CHECK(MakePoolPlan(longer, kSize, true).by_priority[2].reserve > some);
  CHECK(MakePoolPlan(Load(50, 100), kSize, true).by_priority[0].reserve == 0);
  // It is never more than half of the slots.
  CHECK(MakePoolPlan(Load(5'000, 100), kSize, true).by_priority[2].reserve <=
        3);
}

// Guards against idle slots where waiting for the running work costs little.
TEST_CASE("work of the same length leaves nothing free") {
  pools::pool_load load = Load(50, 100);
  load.by_priority[2].offered_work = load.by_priority[0].offered_work * 2;
  CHECK(MakePoolPlan(load, kSize, true).by_priority[2].reserve == 0);
}

// Guards against slots that stay empty after the urgent demand has ended.
TEST_CASE("without urgent demand nothing is reserved") {
  CHECK(MakePoolPlan(Load(0, 100), kSize, true).by_priority[2].reserve == 0);
}

// Guards against starving the less urgent priority.
TEST_CASE("a priority near the floor leaves nothing free and goes first") {
  pools::pool_load load = Load(300, 300);
  load.by_priority[2].completed = 40;
  const priority_plan plan = MakePoolPlan(load, kSize, true).by_priority[2];
  CHECK(plan.reserve == 0);
  CHECK(plan.goes_first);
  CHECK(plan.admitted_share == 1);
}

TEST_CASE("only with a shared view are requests rejected on arrival") {
  const pools::pool_load load = Load(50, 400);
  const priority_plan plan = MakePoolPlan(load, kSize, true).by_priority[2];
  CHECK(plan.is_full);
  CHECK(plan.admitted_share < 1);
  CHECK(plan.admitted_share >= 0.25);
  CHECK(MakePoolPlan(load, kSize, true).by_priority[0].admitted_share == 1);
  CHECK(MakePoolPlan(load, kSize, true).retry_factor > 1);
  CHECK(MakePoolPlan(load, kSize, false).by_priority[2].admitted_share == 1);
  CHECK(MakePoolPlan(load, kSize, false).by_priority[2].reserve ==
        doctest::Approx(plan.reserve));
}

TEST_CASE("a fraction of a slot is reserved on that fraction of the servers") {
  std::uint32_t reserved = 0;
  for (int i = 0; i < 1'000; ++i)
    reserved += SlotsToLeave(1.3, server_id("s" + std::to_string(i)), 6);
  CHECK(reserved > 1'200);
  CHECK(reserved < 1'400);
  CHECK(SlotsToLeave(9, server_id("s"), 6) == 3);
}

// Guards against acting on totals of a lost root or of a part of the fleet.
TEST_CASE("old totals and those of few hosts are not used") {
  const time_point start{milliseconds(100'000)};
  pool_view view;
  view.RecordHostCount(10, start);
  pools::pool_load load = Load(50, 100);
  load.host_count = 8;
  const pool_id pool("p");
  view.SetTotals({{{pool, data_centre_id("a")}, load}}, start);
  REQUIRE(view.LoadOf(pool, start));
  // Hosts that did not report count like the others.
  CHECK(view.LoadOf(pool, start)->by_priority[0].offered ==
        doctest::Approx(50 * 10 / 8.0));
  CHECK(view.LoadOf(pool, start + milliseconds(4'000)));
  CHECK_FALSE(view.LoadOf(pool, start + milliseconds(6'000)));
  // A new root that few hosts have reached.
  load.host_count = 4;
  view.RecordHostCount(4, start);
  view.SetTotals({{{pool, data_centre_id("a")}, load}}, start);
  CHECK_FALSE(view.LoadOf(pool, start));
  CHECK_FALSE(view.LoadOf(pool_id("q"), start));
}

// Guards against a reserve for many times the demand on a host that has all
// the callers.
TEST_CASE("without totals the busy slots show the work of the other hosts") {
  const time_point start{milliseconds(100'000)};
  pool_view view;
  view.RecordHostCount(10, start);
  pools::pool_load own = Load(10, 20);
  own.free_slots = 50;
  const double work = own.Total().completed_work;
  const double busy = 0.5 * 120;
  CHECK(view.Extrapolate(own, 120, start).by_priority[0].offered ==
        doctest::Approx(10 * busy / work));
  // The other hosts run nothing.
  own.free_slots = 95;
  CHECK(view.Extrapolate(own, 120, start).by_priority[0].offered ==
        doctest::Approx(10));
  // No more than if all hosts had the same callers.
  own.free_slots = 0;
  CHECK(view.Extrapolate(own, 100'000, start).by_priority[0].offered ==
        doctest::Approx(100));
}

TEST_CASE("rates fade when nothing arrives") {
  const time_point start{milliseconds(100'000)};
  pool_load_meter meter;
  for (int i = 0; i < 800; ++i)
    meter.RecordOffered(0, milliseconds(100), start + milliseconds(i * 10));
  const time_point end = start + milliseconds(8'000);
  const pools::pool_load load = meter.LoadAt(end);
  CHECK(load.by_priority.at(0).offered == doctest::Approx(100).epsilon(0.05));
  CHECK(load.by_priority.at(0).offered_work ==
        doctest::Approx(10).epsilon(0.05));
  CHECK(meter.LoadAt(end + milliseconds(14'000)).Total().offered < 0.2);
}

// Guards against messages and other decisions for pools of one priority.
TEST_CASE("a pool with routes of one priority is left alone") {
  const time_point start{milliseconds(100'000)};
  auto config = std::make_shared<catalog::configuration>();
  catalog::route route;
  route.pools = {{pool_id("p"), 1}};
  config->routes = {route, route};
  catalog::snapshot catalog;
  catalog.config = config;
  shared_pools pools(data_centre_id("a"), true);
  pools.SetCatalog(catalog, start);
  CHECK_FALSE(pools.NextReport());
  pools.RecordOffered(pool_id("p"), 0, milliseconds(10), start);
  std::vector<dispatcher::effect> out;
  pools.Report(start + milliseconds(5'000), out);
  CHECK(out.empty());
  CHECK(pools.PlanFor(pool_id("p"), 0).reserve == 0);
  config->routes[1].priority = 1;
  pools.SetCatalog(catalog, start);
  CHECK(pools.NextReport() == start + milliseconds(500));
}
