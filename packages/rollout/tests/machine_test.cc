#include <doctest/doctest.h>

#include <thread>

#include "comparison.h"
#include "dotterellead/rollout.h"

namespace dotterellead {
namespace {

const move_id move_name("move");
const version_id old_version("v1");
const version_id new_version("v2");
const log_offset move_revision(3);
const member_id peer_name("b");

// One machine with its configuration and a manual clock.
struct fixture {
  rollout_machine machine{member_id("a"), incarnation_id(1)};
  config_view view;
  std::vector<rollout_machine::effect> effects;
  timestamp now{time_point(milliseconds(50'000)), unix_millis{1'000'000}};

  explicit fixture(move_progress progress = {}) {
    stored_move& move = view.moves[move_name];
    move.revision = move_revision;
    move.spec = {pool_id("pool"), old_version, new_version,
                 unix_millis{1'000'000 + 100'000}};
    SetProgress(std::move(progress));
  }
  void Step(const rollout_machine::message& m) {
    machine.Step(m, now, effects);
  }
  void SetProgress(move_progress progress) {
    view.moves[move_name].progress = std::move(progress);
    Step(rollout_config_changed{std::make_shared<config_view>(view)});
  }
  void Wait(milliseconds time) {
    now.steady += time;
    now.wall.value += time.count();
    Step(tick{});
  }
  void AddAttempts(const version_id& version, int good, int bad) {
    attempt_counters attempts;
    for (int i = 0; i < good + bad; ++i)
      attempts.Add(i >= good, microseconds(2'000));
    Step(attempts_recorded{
        {{{pool_id("pool"), route_id(0), version}, attempts}}});
  }
  template <class Effect>
  std::vector<Effect> ExtractEffects() {
    std::vector<Effect> extracted;
    for (const auto& e : effects) {
      if (const auto* wanted = std::get_if<Effect>(&e))
        extracted.push_back(*wanted);
    }
    effects.clear();
    return extracted;
  }
};

move_progress At(std::uint32_t share, std::uint32_t step = 2) {
  return {share, step, move_verdict::kMoving, "earned"};
}

// Guards against a rolled back move that gets traffic again by a later step
// record, and against a rollback that is lost while the log is unavailable.
TEST_CASE("a rollback holds and spreads at every share without the log") {
  for (const std::uint32_t share : {10, 50, 250, 500, 1000}) {
    CAPTURE(share);
    fixture f(At(share));
    f.Step(rollout_log_changed{false});
    f.Wait(milliseconds(2'000));
    CHECK(f.ExtractEffects<share_changed>().back().shares.at(new_version) ==
          share);
    f.Step(peer_rollback{move_name, move_revision, "worse"});
    const auto changes = f.ExtractEffects<share_changed>();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].shares == version_shares{{old_version, 1000}});
    f.SetProgress(At(share, 3));
    CHECK(f.ExtractEffects<share_changed>().empty());
    f.Wait(milliseconds(1'000));
    CHECK(f.ExtractEffects<rolled_back_to_peers>().size() == 1);
    f.Step(rollout_log_changed{true});
    f.Wait(milliseconds(250));
    const auto proposals = f.ExtractEffects<propose_step>();
    REQUIRE(proposals.size() == 1);
    CHECK(proposals[0].progress.verdict == move_verdict::kRolledBack);
    CHECK(proposals[0].from_step == 3);
  }
}

// Guards against a host whose verdict differs from the log's.
TEST_CASE("a verdict in the log overrides the host's own") {
  fixture f(At(1000));
  f.Step(peer_rollback{move_name, move_revision, "worse"});
  f.SetProgress({1000, 3, move_verdict::kDone, "earned"});
  CHECK(f.ExtractEffects<share_changed>().back().shares ==
        version_shares{{new_version, 1000}});
  f.Step(peer_rollback{move_name, move_revision, "late"});
  f.Wait(milliseconds(200'000));
  CHECK(f.effects.empty());
}

// Guards against a new host that sends requests to a version that its peers
// have rolled back.
TEST_CASE("a host that starts during a move waits for its peers") {
  fixture f(At(500));
  CHECK(f.ExtractEffects<share_changed>().back().shares ==
        version_shares{{old_version, 1000}});
  f.Wait(milliseconds(1'600));
  CHECK(f.ExtractEffects<share_changed>().back().shares.at(new_version) == 500);
}

// Guards against messages for an earlier move of the same name.
TEST_CASE("messages with another revision are ignored") {
  fixture f(At(50));
  f.Wait(milliseconds(2'000));
  f.effects.clear();
  f.Step(peer_rollback{move_name, log_offset(2), "worse"});
  peer_evidence evidence{peer_name, incarnation_id(1), {}, {}};
  attempt_counters failures;
  for (int i = 0; i < 50; ++i)
    failures.Add(true, microseconds(1));
  evidence.counters[{move_name, log_offset(2), 2, new_version, route_id(0)}] =
      failures;
  f.Step(evidence);
  f.AddAttempts(old_version, 500, 0);
  f.Wait(milliseconds(250));
  CHECK(f.ExtractEffects<share_changed>().empty());
}

// Guards against failures that are lost when a host restarts with counters at
// zero, and against old messages that arrive late.
TEST_CASE("evidence of a restarted host is added") {
  fixture f(At(50));
  f.AddAttempts(old_version, 100, 0);
  const evidence_key key{move_name, move_revision, 2, new_version, route_id(0)};
  attempt_counters one_failure;
  one_failure.Add(true, microseconds(1));
  for (std::uint64_t run = 1; run <= 3; ++run) {
    f.Step(peer_evidence{
        peer_name, incarnation_id(run), {}, {{key, one_failure}}});
    f.Step(peer_evidence{
        peer_name, incarnation_id(run), {}, {{key, one_failure}}});
    f.Step(peer_evidence{peer_name, incarnation_id(run), {}, {{key, {}}}});
  }
  f.Wait(milliseconds(250));
  const auto back = f.ExtractEffects<rolled_back_to_peers>();
  REQUIRE(back.size() == 1);
  CHECK(back[0].rollback.reason.find("3 of 3") != std::string::npos);
}

// Guards against a rollback for a fault of both versions that begins after the
// share was raised: over both steps together the new version failed more often.
TEST_CASE("a fault of both versions in one step does not cause a rollback") {
  fixture f(At(50, 2));
  f.AddAttempts(old_version, 950, 0);
  f.AddAttempts(new_version, 50, 0);
  f.Wait(milliseconds(250));
  f.SetProgress(At(500, 3));
  f.AddAttempts(old_version, 250, 250);
  f.AddAttempts(new_version, 250, 250);
  f.Wait(milliseconds(250));
  CHECK(f.ExtractEffects<rolled_back_to_peers>().empty());
}

// Guards against completing a move without successes or without the observation
// time at the last step.
TEST_CASE("done needs successes and the observation time") {
  struct row {
    int good_new;
    int wait_ms;
    bool done;
  };
  for (const row& r : {row{0, 40'000, false}, row{400, 9'000, false},
                       row{400, 40'000, true}}) {
    CAPTURE(r.good_new);
    CAPTURE(r.wait_ms);
    fixture f(At(1000));
    for (int waited = 0; waited < r.wait_ms; waited += 250) {
      f.AddAttempts(new_version, r.good_new / 40, 0);
      f.Wait(milliseconds(250));
    }
    bool done = false;
    for (const propose_step& p : f.ExtractEffects<propose_step>())
      done = done || p.progress.verdict == move_verdict::kDone;
    CHECK(done == r.done);
  }
}

// Guards against a share that exceeds the new version's warm slots.
TEST_CASE("the share is limited by the new version's slots") {
  fixture f(At(500));
  f.Wait(milliseconds(2'000));
  // 10 slots busy for 10 s.
  attempt_counters busy;
  busy.requests = 1000;
  busy.busy_us = 100'000'000;
  f.Step(
      attempts_recorded{{{{pool_id("pool"), route_id(0), old_version}, busy}}});
  f.effects.clear();
  f.Step(version_capacity{pool_id("pool"), {{new_version, 4}}});
  CHECK(f.ExtractEffects<share_changed>().back().shares.at(new_version) == 320);
  f.Step(version_capacity{pool_id("pool"), {{new_version, 0}}});
  CHECK(f.ExtractEffects<share_changed>().back().shares ==
        version_shares{{old_version, 1000}});
}

// Guards against messages without changes.
TEST_CASE("evidence is sent when it has changed, at most every 500 ms") {
  fixture f(At(50));
  f.Wait(milliseconds(1'000));
  f.effects.clear();
  for (int i = 0; i < 8; ++i) {
    f.AddAttempts(old_version, 1, 0);
    f.Wait(milliseconds(250));
  }
  CHECK(f.ExtractEffects<evidence_to_peers>().size() == 4);
  for (int i = 0; i < 8; ++i)
    f.Wait(milliseconds(250));
  CHECK(f.ExtractEffects<evidence_to_peers>().size() <= 1);
}

// Guards against a wrong tail of the distribution: the probability that all 3
// hits among 63 requests fall on the 3 new ones is 1 in 39711.
TEST_CASE("probabilities are exact for small numbers") {
  CHECK(ChanceIfEqual({{3, 3, 60, 0}}) == doctest::Approx(1 / 39711.0));
  CHECK(ChanceIfEqual({{3, 0, 60, 9}}) == doctest::Approx(1));
  CHECK(ChanceIfEqual({{2, 1, 2, 1}}) == doctest::Approx(5 / 6.0));
  CHECK(ChanceIfEqual({{1, 1, 1, 0}, {1, 1, 1, 0}}) == doctest::Approx(0.25));
}

// Guards against a version that gets more than its share, or gets it in bursts.
TEST_CASE("versions are chosen evenly and equally on all hosts") {
  for (const std::uint32_t share : {10, 50, 250, 500}) {
    const version_shares shares{{old_version, 1000 - share},
                                {new_version, share}};
    std::uint32_t chosen = 0;
    for (std::uint64_t i = 0; i < 10'000; ++i) {
      const request_id id((std::uint64_t{7} << 40) + i);
      chosen += ChooseVersion(shares, id) == new_version ? 1 : 0;
      CHECK(ChooseVersion(shares, id) == ChooseVersion(shares, id));
    }
    CHECK(chosen >= share * 10 - 5);
    CHECK(chosen <= share * 10 + 5);
  }
  CHECK_FALSE(ChooseVersion({}, request_id(1)).is_valid());
}

// Guards against lost updates of counters under concurrent requests.
TEST_CASE("counters of several threads add up") {
  version_counters counters;
  std::vector<std::thread> threads;
  threads.reserve(4);
  std::uint64_t counted = 0;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 2'000; ++i)
        counters.Record(pool_id("pool"), route_id(0), new_version, i % 2 == 0,
                        microseconds(i));
    });
  }
  const auto exchange = [&] {
    for (const auto& [key, attempts] : counters.ExchangeCounters())
      counted += attempts.requests;
  };
  exchange();
  for (std::thread& t : threads)
    t.join();
  exchange();
  CHECK(counted == 8'000);
}

// Guards against a peer's message that crashes the host or corrupts its totals.
TEST_CASE(
    "decoding an encoded message gives the same message; malformed ones are "
    "rejected") {
  attempt_counters attempts;
  attempts.Add(false, microseconds(70'000));
  attempts.Add(true, microseconds(9));
  const peer_evidence evidence{
      peer_name,
      incarnation_id(5),
      {{move_name, {move_revision, unix_millis{12}}}},
      {{{move_name, move_revision, 2, new_version, route_id(1)}, attempts}}};
  const std::string text = EncodePeerEvidence(evidence);
  CHECK(DecodePeerEvidence(text) == evidence);
  const peer_rollback back{move_name, move_revision, "route 0: \"worse\""};
  CHECK(DecodePeerRollback(EncodePeerRollback(back)) == back);
  const std::pair<std::string, std::string> changes[] = {
      {"\"failures\":1", "\"failures\":3"},
      {"\"step\":2", "\"step\":-2"},
      {"\"move\":", "\"mov\":"},
      {"[15,1]", "[15]"},
      {"[15,1]", "[99,1]"},
      {"[15,1]", "[15,2]"},
      {"\"incarnation\":5", "\"incarnation\":\"5\""},
      {"}", ""}};
  for (const auto& change : changes) {
    CAPTURE(change.second);
    std::string broken = text;
    const std::size_t at = broken.find(change.first);
    REQUIRE(at != std::string::npos);
    broken.replace(at, change.first.size(), change.second);
    CHECK_THROWS_AS(DecodePeerEvidence(broken), protocol_error);
  }
  CHECK_THROWS_AS(DecodePeerRollback("[]"), protocol_error);
}

}  // namespace
}  // namespace dotterellead
