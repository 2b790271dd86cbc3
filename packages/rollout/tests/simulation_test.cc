#include "simulation.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <cstdlib>
#include <thread>

namespace dotterellead {
namespace {

const pool_id pool_name("pool");
const move_id move_name("move");
const version_id old_version("v1");
const version_id new_version("v2");
constexpr std::int64_t kWallStart = 1'700'000'000'000;
constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kTickMs = 250;
// Simulated time after the verdict, to detect late requests to the new version.
constexpr double kTail = 8;

}  // namespace

simulation::simulation(const scenario& s, std::size_t hosts, std::uint64_t seed)
    : scenario_(s), random_(seed), hosts_(hosts) {
  stored_move& move = view_.moves[move_name];
  move.revision = log_offset(7);
  move.spec = {
      pool_name, old_version, new_version,
      unix_millis{kWallStart + static_cast<std::int64_t>(s.deadline * 1000)}};
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    Start(i);
}

void simulation::After(std::int64_t ms, std::function<void()> run) {
  events_.push({now_ms_ + ms, order_++, std::move(run)});
}

void simulation::Start(std::size_t i) {
  host& h = hosts_[i];
  h.counters = std::make_unique<version_counters>();
  h.machine = std::make_unique<rollout_with_counters>(
      rollout_machine(member_id(fmt::format("host{:02}", i)),
                      incarnation_id(static_cast<std::uint64_t>(now_ms_))),
      *h.counters);
  h.shares = {{old_version, 1000}};
  Deliver(i, rollout_config_changed{std::make_shared<config_view>(view_)});
  Deliver(i, rollout_log_changed{!log_was_down_});
  TellPeers();
}

void simulation::Deliver(std::size_t i, const rollout_machine::message& m) {
  if (!hosts_[i].machine)
    return;
  std::vector<rollout_machine::effect> effects;
  const timestamp now{time_point(milliseconds(1'000'000 + now_ms_)),
                      unix_millis{kWallStart + now_ms_}};
  hosts_[i].machine->Step(m, now, effects);
  for (const auto& e : effects)
    Execute(i, e);
}

void simulation::Execute(std::size_t from, const rollout_machine::effect& e) {
  if (const auto* shares = std::get_if<share_changed>(&e))
    hosts_[from].shares = shares->shares;
  if (const auto* evidence = std::get_if<evidence_to_peers>(&e)) {
    const std::string text = EncodePeerEvidence(evidence->evidence);
    SendToPeers(from, DecodePeerEvidence(text));
  }
  if (const auto* back = std::get_if<rolled_back_to_peers>(&e))
    SendToPeers(from, back->rollback);
  if (const auto* proposal = std::get_if<propose_step>(&e)) {
    // Some appends are duplicated.
    const int copies = random_() % 20 == 0 ? 2 : 1;
    for (int i = 0; i < copies; ++i)
      After(15 + i, [this, from, p = *proposal] { Append(from, p); });
  }
}

void simulation::SendToPeers(std::size_t from,
                             const rollout_machine::message& m) {
  const bool cut = scenario_.partition.Contains(Seconds());
  for (std::size_t to = 0; to < hosts_.size(); ++to) {
    const bool same_side = (from % 2) == (to % 2);
    if (to == from || (cut && !same_side))
      continue;
    // One message in 50 is lost.
    if (random_() % 50 != 0)
      After(1 + static_cast<std::int64_t>(random_() % 5),
            [this, to, m] { Deliver(to, m); });
  }
}

// The same rule as in the configuration's replay of move_step records.
void simulation::Append(std::size_t from, const propose_step& p) {
  stored_move& move = view_.moves[move_name];
  step_result result{p.move, p.revision, p.from_step, step_outcome::kAccepted};
  const bool matches = move.revision == p.revision &&
                       move.progress.verdict == move_verdict::kMoving &&
                       move.progress.step == p.from_step;
  if (scenario_.log_down.Contains(Seconds())) {
    result.outcome = step_outcome::kUnavailable;
  } else if (!matches) {
    result.outcome = step_outcome::kConflict;
  } else {
    move.progress = p.progress;
    result_.trace.push_back(
        fmt::format("{:.1f} s: step {} share {} {} ({})", Seconds(),
                    p.progress.step, p.progress.share_per_mille,
                    to_string(p.progress.verdict), p.progress.reason));
    PublishConfig();
  }
  // Some replies are lost.
  if (random_() % 20 != 0)
    After(5, [this, from, result] { Deliver(from, result); });
}

void simulation::PublishConfig() {
  const stored_move& move = view_.moves[move_name];
  if (move.progress.verdict != move_verdict::kMoving) {
    result_.verdict = move.progress.verdict;
    result_.reason = move.progress.reason;
    result_.verdict_at = Seconds();
  }
  const auto snapshot = std::make_shared<config_view>(view_);
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    After(10, [this, i, snapshot] {
      Deliver(i, rollout_config_changed{snapshot});
    });
}

void simulation::TellPeers() {
  rollout_peers_changed peers;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].machine)
      peers.live.emplace_back(fmt::format("host{:02}", i));
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    Deliver(i, peers);
}

void simulation::TellLogState() {
  const bool down = scenario_.log_down.Contains(Seconds());
  if (down == log_was_down_)
    return;
  log_was_down_ = down;
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    After(500, [this, i, down] { Deliver(i, rollout_log_changed{!down}); });
}

void simulation::MakeRequests() {
  owed_requests_ += scenario_.rate * static_cast<double>(kStepMs) / 1000;
  for (; owed_requests_ >= 1; owed_requests_ -= 1) {
    const std::size_t i = random_() % hosts_.size();
    if (hosts_[i].machine)
      MakeRequest(hosts_[i], i);
  }
}

void simulation::MakeRequest(host& h, std::size_t index) {
  const request_id id((static_cast<std::uint64_t>(index) << 40) + h.requests++);
  const std::uint64_t dice = random_() % 100;
  sim_request r;
  r.time = Seconds();
  r.is_new = ChooseVersion(h.shares, id) == new_version;
  r.route = dice < 3 ? 2 : dice < 30 ? 1 : 0;
  r.share_per_mille = view_.moves[move_name].progress.share_per_mille;
  r.in_failed_zone = random_() % 3 == 0;
  sim_outcome outcome = scenario_.behave(r);
  // Both versions fail occasionally.
  outcome.failed = outcome.failed || random_() % 1000 == 0;
  const double spread = static_cast<double>(random_() % 10'000);
  const microseconds latency(
      static_cast<std::int64_t>((10'000 + spread) * outcome.latency_factor));
  h.counters->Record(pool_name, route_id(r.route),
                     r.is_new ? new_version : old_version, outcome.failed,
                     latency);
  if (result_.verdict == move_verdict::kMoving)
    ++result_.requests;
  if (!r.is_new)
    return;
  ++result_.new_requests;
  result_.last_new = r.time;
  result_.failed_new_requests += outcome.failed ? 1 : 0;
  if (outcome.is_fault && result_.first_fault < 0)
    result_.first_fault = r.time;
}

bool simulation::IsOver() const {
  const double end =
      result_.verdict_at >= 0 ? result_.verdict_at : scenario_.deadline + kTail;
  return Seconds() > end + kTail;
}

sim_result simulation::Run() {
  while (!IsOver()) {
    while (!events_.empty() && events_.top().at <= now_ms_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    TellLogState();
    const auto kill_ms = static_cast<std::int64_t>(scenario_.kill_at * 1000);
    if (scenario_.kill_at >= 0 && now_ms_ == kill_ms) {
      hosts_[0].machine.reset();
      After(3'000, [this] { Start(0); });
      TellPeers();
    }
    MakeRequests();
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const auto offset = static_cast<std::int64_t>(i) * kStepMs;
      if ((now_ms_ + offset) % kTickMs == 0)
        Deliver(i, tick{});
    }
    now_ms_ += kStepMs;
  }
  return result_;
}

namespace {

sim_outcome Good(const sim_request&) {
  return {};
}
sim_outcome ZoneOutage(const sim_request& r) {
  return {.failed = r.in_failed_zone && r.time > 100 && r.time < 300};
}
sim_outcome NoisyNeighbour(const sim_request& r) {
  return {.latency_factor = r.time > 90 && r.time < 350 ? 4.0 : 1.0};
}
sim_outcome FailIf(bool fault) {
  return {.failed = fault, .is_fault = fault};
}
sim_outcome BadAtOnce(const sim_request& r) {
  return FailIf(r.is_new);
}
sim_outcome BadAfter60(const sim_request& r) {
  return FailIf(r.is_new && r.time > 60);
}
sim_outcome BadUnderLoad(const sim_request& r) {
  return FailIf(r.is_new && r.share_per_mille >= 250 && r.route == 0);
}
sim_outcome BadAtLastStep(const sim_request& r) {
  return FailIf(r.is_new && r.share_per_mille > 500 && r.time > 450);
}
sim_outcome SlowAtLastStep(const sim_request& r) {
  const bool fault = r.is_new && r.share_per_mille > 500 && r.time > 450;
  return {.latency_factor = fault ? 3.0 : 1.0, .is_fault = fault};
}
sim_outcome LateZoneOutage(const sim_request& r) {
  return {.failed = r.in_failed_zone && r.time > 450 && r.time < 480};
}
sim_outcome LateNoisyNeighbour(const sim_request& r) {
  return {.latency_factor = r.time > 450 && r.time < 480 ? 4.0 : 1.0};
}
sim_outcome LateOutage(const sim_request& r) {
  return {.failed = r.time > 450 && r.time < 480};
}
sim_outcome BadRoute(const sim_request& r) {
  return FailIf(r.is_new && r.route == 2);
}
sim_outcome Slow(const sim_request& r) {
  return {.latency_factor = r.is_new ? 3.0 : 1.0, .is_fault = r.is_new};
}
// Fails for 3 s in every 20 s.
sim_outcome Flapping(const sim_request& r) {
  const auto second = static_cast<std::int64_t>(r.time);
  return FailIf(r.is_new && second % 20 >= 17);
}

const scenario scenarios[] = {
    {"good", false, Good},
    {"good, 1 request per 2 s", false, Good, 0.5},
    {"good, zone outage hits both", false, ZoneOutage},
    {"good, noisy neighbour slows both", false, NoisyNeighbour},
    {"good, log down before start", false, Good, 1000, {0, 60}},
    {"good, log down 200-300 s", false, Good, 1000, {200, 300}},
    {"good, log down 480-560 s", false, Good, 1000, {480, 560}},
    {"good, host killed", false, Good, 1000, {}, {}, 200},
    {"good, peers partitioned", false, Good, 1000, {}, {100, 300}},
    {"good, zone outage at the last step", false, LateZoneOutage},
    {"good, noisy neighbour at the last step", false, LateNoisyNeighbour},
    {"good, outage at the last step, 1 per 2 s", false, LateOutage, 0.5},
    {"good, no request", false, Good, 0},
    {"bad at once", true, BadAtOnce},
    {"bad at once, 1 request per 2 s", true, BadAtOnce, 0.5},
    {"bad after 60 s", true, BadAfter60},
    {"bad under load", true, BadUnderLoad, 1000, {}, {}, -1, true},
    {"bad at the last step", true, BadAtLastStep, 1000, {}, {}, -1, true},
    {"slow x3 at the last step", true, SlowAtLastStep, 1000, {}, {}, -1, true},
    {"bad at the last step, 1 request per 2 s",
     true,
     BadAtLastStep,
     0.5,
     {},
     {},
     -1,
     true},
    {.name = "bad on a 3% route",
     .is_bad = true,
     .behave = BadRoute,
     .seeds = 16},
    {"slow x3", true, Slow},
    {"flapping", true, Flapping},
    {"bad at once, log down after 1 s", true, BadAtOnce, 1000, {1, 100}},
    {"bad after 60 s, log down", true, BadAfter60, 1000, {30, 200}},
    {"bad after 60 s, host killed", true, BadAfter60, 1000, {}, {}, 61},
    {"bad after 60 s, peers partitioned", true, BadAfter60, 1000, {}, {50, 99}},
    {"bad after 60 s, log down and partitioned",
     true,
     BadAfter60,
     1000,
     {50, 200},
     {50, 200}},
};

std::string Row(const scenario& s,
                std::size_t hosts,
                std::uint64_t seed,
                const sim_result& r) {
  const double share =
      100.0 * static_cast<double>(r.new_requests) /
      static_cast<double>(std::max<std::uint64_t>(1, r.requests));
  const double shown = r.first_fault < 0 ? 0 : r.last_new - r.first_fault;
  return fmt::format(
      "{:<42} {:>2} hosts seed {:>2}: {:<11} at {:6.1f} s, new {:6.2f}%, last "
      "new request {:5.2f} s after the fault ({})",
      s.name, hosts, seed, to_string(r.verdict), r.verdict_at, share, shown,
      r.reason);
}

void CheckBounds(const scenario& s, const sim_result& r) {
  if (s.rate == 0) {
    // Never done without a successful request.
    CHECK(r.verdict == move_verdict::kRolledBack);
    CHECK(r.verdict_at < s.deadline + 1);
    return;
  }
  if (s.is_bad && s.rate < 1) {
    // In 5 s there are 2 requests to both versions together, so the limit is a
    // few requests plus 5% of those until the deadline.
    CHECK(r.verdict == move_verdict::kRolledBack);
    if (s.only_above_5)
      return;
    CHECK(r.new_requests <= 6);
    CHECK(static_cast<double>(r.new_requests) <= 0.05 * s.rate * s.deadline);
    return;
  }
  if (!s.is_bad) {
    CHECK(r.verdict == move_verdict::kDone);
    CHECK(r.verdict_at < s.deadline);
    return;
  }
  CHECK(r.verdict == move_verdict::kRolledBack);
  CHECK(r.last_new - r.first_fault <= 5.0);
  if (!s.only_above_5)
    CHECK(r.new_requests * 20 <= r.requests);
}

// Runs with few requests depend most on chance and are the fastest; those of
// good versions are the slowest.
std::uint64_t SeedCount(const scenario& s) {
  const char* text = std::getenv("ROLLOUT_SEEDS");
  if (text != nullptr)
    return std::strtoull(text, nullptr, 10);
  if (s.rate < 1)
    return 16;
  return std::max<std::uint64_t>(s.is_bad ? 2 : 1, s.seeds);
}

struct run {
  const scenario* of = nullptr;
  std::size_t hosts = 0;
  std::uint64_t seed = 0;
  sim_result result;
};

std::vector<run> AllRuns() {
  std::vector<run> runs;
  for (const scenario& s : scenarios) {
    for (const std::size_t hosts : {1, 13}) {
      for (std::uint64_t seed = 1; seed <= SeedCount(s); ++seed)
        runs.push_back({&s, hosts, seed, {}});
    }
  }
  return runs;
}

// Each run is deterministic by itself; threads only shorten the test.
void RunAll(std::vector<run>& runs) {
  constexpr std::size_t kThreads = 4;
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (std::size_t t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      for (std::size_t i = next++; i < runs.size(); i = next++) {
        run& r = runs[i];
        r.result = simulation(*r.of, r.hosts, r.seed).Run();
      }
    });
  }
  for (std::thread& t : threads)
    t.join();
}

// Guards the main guarantee: faulty versions get a small share, and no requests
// soon after the fault shows; good versions complete in time.
TEST_CASE("moves end with the right verdict within the bounds") {
  std::vector<run> runs = AllRuns();
  RunAll(runs);
  for (const run& r : runs) {
    const std::string row = Row(*r.of, r.hosts, r.seed, r.result);
    fmt::print("{}\n", row);
    CAPTURE(row);
    const std::string trace =
        fmt::format("{}", fmt::join(r.result.trace, "\n"));
    CAPTURE(trace);
    CheckBounds(*r.of, r.result);
  }
}

}  // namespace
}  // namespace dotterellead
