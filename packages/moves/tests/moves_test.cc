#include "dotterellead/moves.h"

#include <doctest/doctest.h>

#include <random>

using namespace dotterellead;
using namespace dotterellead::moves;

namespace {

constexpr milliseconds kTick{200};
const pool_id test_pool("pool");
const version_id new_version("v2");
const version_id old_version("v1");

// Drives a move of one pool with servers of two versions.
class move_simulation {
 public:
  move_simulation(int new_servers, int old_servers, bool has_outcomes = true) {
    auto catalog = std::make_shared<catalog::snapshot>();
    AddServers(*catalog, new_version, new_servers);
    AddServers(*catalog, old_version, old_servers);
    catalog->has_all_outcomes = has_outcomes;
    catalog::move_order order;
    order.pool = test_pool;
    order.target = new_version;
    order.duration = milliseconds(16'000);
    order.revision = log_offset(7);
    catalog->moves[test_pool] = order;
    catalog_ = catalog;
    Step(role_changed{true});
    Step(catalog_changed{catalog_});
  }

  void Step(const move_machine::message& m) {
    std::vector<move_machine::effect> out;
    machine_.Step(m, now_, out);
    for (move_machine::effect& e : out) {
      if (auto* changed = std::get_if<stages_changed>(&e))
        stages = changed->stages;
      if (auto* write = std::get_if<write_status>(&e))
        written.push_back(write->status.state);
    }
  }

  // Runs one tick with `requests` requests, of which each version fails a
  // share.
  void Tick(int requests, double target_fault_rate, double old_fault_rate) {
    counter_table counters;
    for (int i = 0; i < requests; ++i) {
      const bool is_target = draw_(random_) * 1000 < share();
      const bool is_bad =
          draw_(random_) < (is_target ? target_fault_rate : old_fault_rate);
      counters[{test_pool, log_offset(7), is_target, catalog::route_name("r")}]
          .Add({1, is_bad ? 1U : 0U});
      to_target += is_target ? 1 : 0;
      faulty += is_target && is_bad ? 1 : 0;
    }
    Step(attempts_counted{counters});
    now_.steady += kTick;
    now_.wall.value += kTick.count();
    Step(tick{});
  }

  std::uint32_t share() const {
    return stages.empty() ? 0 : stages.front().per_mille;
  }
  catalog::move_state state() const { return stages.front().state; }

  std::vector<stage> stages;
  std::vector<catalog::move_state> written;
  int to_target = 0;
  int faulty = 0;

 private:
  static void AddServers(catalog::snapshot& catalog,
                         const version_id& v,
                         int count) {
    for (int i = 0; i < count; ++i) {
      catalog::backend_server s;
      s.id = server_id(v.value() + std::to_string(i));
      s.pool = test_pool;
      s.version = v;
      s.slots = 2;
      catalog.servers[s.id] = s;
    }
  }

  std::minstd_rand random_{5};
  std::uniform_real_distribution<double> draw_{0, 1};
  timestamp now_{time_point(std::chrono::hours(1)), {1'000'000}};
  catalog::snapshot_ptr catalog_;
  move_machine machine_{move_settings{}};
};

constexpr int kTicks = 80;  // 16 s

}  // namespace

TEST_CASE("a good version gets all traffic and completes before its deadline") {
  move_simulation w(20, 20);
  for (int i = 0; i < kTicks && w.state() == catalog::move_state::kRunning; ++i)
    w.Tick(10, 0.02, 0.02);
  CHECK(w.state() == catalog::move_state::kCompleted);
  CHECK(w.share() == 1000);
  for (int i = 0; i < 5; ++i)
    w.Tick(10, 0.02, 0.02);
  CHECK(w.written.back() == catalog::move_state::kCompleted);
}

TEST_CASE("a version that fails half of its requests is rolled back early") {
  move_simulation w(20, 20);
  for (int i = 0; i < kTicks && w.state() == catalog::move_state::kRunning; ++i)
    w.Tick(10, 0.5, 0.02);
  CHECK(w.state() == catalog::move_state::kRolledBack);
  CHECK(w.share() == 0);
  // The operators' limit on exposure: a tenth of all requests plus 50.
  CHECK(w.to_target < 10 * kTicks / 10 + 50);
  CHECK(w.faulty < 50);
}

TEST_CASE(
    "a version that becomes faulty under load stays within the exposure "
    "limit") {
  move_simulation w(20, 20);
  for (int i = 0; i < kTicks && w.state() == catalog::move_state::kRunning; ++i)
    w.Tick(10, w.share() >= 300 ? 0.5 : 0.02, 0.02);
  CHECK(w.state() == catalog::move_state::kRolledBack);
  CHECK(w.to_target < 10 * kTicks / 10 + 50);
}

TEST_CASE("a fault that affects both versions does not cause a rollback") {
  move_simulation w(20, 20);
  for (int i = 0; i < kTicks && w.state() == catalog::move_state::kRunning;
       ++i) {
    const double fails = i > 35 && i < 50 ? 0.3 : 0.02;
    w.Tick(10, fails, fails);
  }
  CHECK(w.state() == catalog::move_state::kCompleted);
}

TEST_CASE("a target with a third of the slots does not get all traffic") {
  // Guards against an overload seen when the old servers stopped and 18 slots
  // had to carry the load of 54.
  move_simulation w(9, 27);
  for (int i = 0; i < 2 * kTicks; ++i)
    w.Tick(10, 0.02, 0.02);
  CHECK(w.state() == catalog::move_state::kRunning);
  CHECK(w.share() <= 330);
}

TEST_CASE("nothing is decided before the outcomes are known") {
  move_simulation w(20, 20, false);
  for (int i = 0; i < 20; ++i)
    w.Tick(10, 0, 0);
  CHECK(w.share() == 0);
  CHECK(w.written.empty());
}

TEST_CASE("a member writes the root's verdict if the root does not write it") {
  move_simulation w(20, 20);
  w.Step(role_changed{false});
  stage verdict = w.stages.front();
  verdict.state = catalog::move_state::kRolledBack;
  verdict.per_mille = 0;
  ++verdict.step;
  w.Step(stages_received{{verdict}});
  CHECK(w.share() == 0);
  for (int i = 0; i < 3; ++i)
    w.Tick(0, 0, 0);
  CHECK(w.written.empty());
  for (int i = 0; i < 10; ++i)
    w.Tick(0, 0, 0);
  CHECK(w.written.back() == catalog::move_state::kRolledBack);
}

TEST_CASE("a good version is rarely judged worse by chance") {
  std::minstd_rand random(11);
  std::uniform_real_distribution<double> draw(0, 1);
  int judged_worse = 0;
  constexpr int kTrials = 2'000;
  for (int t = 0; t < kTrials; ++t) {
    step_evidence e;
    for (int i = 0; i < 40; ++i)
      e.target.Add({1, draw(random) < 0.08 ? 1U : 0U});
    for (int i = 0; i < 300; ++i)
      e.old.Add({1, draw(random) < 0.08 ? 1U : 0U});
    judged_worse += IsWorse({e}) ? 1 : 0;
  }
  // Three standard deviations, one-sided.
  CHECK(judged_worse < kTrials / 100);
}

// A store that came back from an older copy: an order that was lost is written
// again under another revision, or another order gets its revision.
TEST_CASE("a move goes on when its order is written again") {
  move_machine machine{move_settings{}};
  const timestamp now{time_point(std::chrono::hours(1)), {1'000'000}};
  std::vector<stage> stages;
  const auto step = [&](const move_machine::message& m) {
    std::vector<move_machine::effect> out;
    machine.Step(m, now, out);
    for (move_machine::effect& e : out)
      if (auto* changed = std::get_if<stages_changed>(&e))
        stages = changed->stages;
  };
  const auto show = [&](const version_id& target, std::uint64_t revision) {
    auto catalog = std::make_shared<catalog::snapshot>();
    catalog->has_all_outcomes = true;
    catalog->moves[test_pool] = {test_pool, target, milliseconds(16'000),
                                 log_offset(revision)};
    catalog->move_statuses[test_pool] = {new_version,
                                         catalog::move_state::kRunning,
                                         log_offset(revision), now.wall};
    step(catalog_changed{catalog});
  };
  step(role_changed{true});
  show(new_version, 7);
  step(tick{});
  REQUIRE(stages.size() == 1);
  const std::uint32_t share = stages[0].per_mille;
  REQUIRE(share > 0);
  show(new_version, 3);
  REQUIRE(stages.size() == 1);
  CHECK(stages[0].order == log_offset(3));
  CHECK(stages[0].per_mille == share);
  show(old_version, 3);
  REQUIRE(stages.size() == 1);
  CHECK(stages[0].target == old_version);
  CHECK(stages[0].per_mille == 0);
}
