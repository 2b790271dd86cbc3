#include <doctest/doctest.h>

#include "fake_cluster.h"

namespace dotterellead {
namespace {

template <class Outcome>
std::size_t Count(const fake_cluster& c) {
  return static_cast<std::size_t>(
      std::count_if(c.writes.begin(), c.writes.end(),
                    [](const issued_write& w) { return w.Is<Outcome>(); }));
}

constexpr std::size_t kHosts = 4;

// All hosts write one pool concurrently, each with a different spec.
void Race(fake_cluster& c, const std::string& pool) {
  for (std::size_t i = 0; i < kHosts; ++i)
    c.Write(i, Pool(pool, "t" + std::to_string(c.writes.size())));
}

// Guards against two winners, wrong responses, diverging replicas and states
// that go back, with each fault starting at each tick of racing writes.
TEST_CASE("every log fault at every step of racing writes") {
  struct row {
    log_fault fault;
    bool unknown_allowed;
  };
  const row rows[] = {
      {log_fault::kNone, false},           {log_fault::kDown, true},
      {log_fault::kRefusesAppends, false}, {log_fault::kLosesReplies, false},
      {log_fault::kLosesAppends, false},   {log_fault::kLateAppends, false},
      {log_fault::kSlow, false},           {log_fault::kLaggingReads, false},
  };
  for (const row& r : rows) {
    for (int start = 0; start < 14; ++start) {
      for (const int length : {3, 20, 90}) {
        CAPTURE(static_cast<int>(r.fault));
        CAPTURE(start);
        CAPTURE(length);
        fake_cluster c(kHosts);
        for (int t = 0; t < 30; ++t) {
          if (t == start)
            c.log.fault = r.fault;
          if (t == start + length)
            c.log.fault = log_fault::kNone;
          if (t % 5 == 4)
            Race(c, t < 15 ? "a" : "b");
          if (t == 11)
            c.Write(1, Pool("a", ""), std::nullopt, true);
          c.Tick();
        }
        c.Run(start + length);
        c.log.fault = log_fault::kNone;
        c.Run(100);
        // Without any response until the deadline, the outcome is unknown.
        const bool mute = r.fault == log_fault::kLosesAppends && length == 90;
        c.CheckAnswers(r.unknown_allowed || mute);
        c.CheckConverged();
      }
    }
  }
}

// Guards against the outcome "unknown" while the log works, and against two
// winners of one revision.
TEST_CASE("one write of a race wins and the others get its revision") {
  fake_cluster c(kHosts);
  c.Run(3);
  Race(c, "a");
  c.Run(10);
  CHECK(Count<write_accepted>(c) == 1);
  CHECK(Count<write_conflict>(c) == kHosts - 1);
  for (const issued_write& w : c.writes) {
    if (w.Is<write_conflict>()) {
      CHECK(std::get<write_conflict>(*w.outcome).current ==
            c.hosts[0].view->pools.at(pool_id("a")).revision);
    }
  }
  c.CheckAnswers(false);
}

// Guards against losing state or ordering when hosts restart or are replaced at
// any point of a write, with the log available or not.
TEST_CASE("hosts restart at every step") {
  for (const bool outage : {false, true}) {
    for (int at = 0; at < 16; ++at) {
      CAPTURE(outage);
      CAPTURE(at);
      fake_cluster c(kHosts);
      for (int t = 0; t < 16; ++t) {
        if (t == 8 && outage)
          c.log.fault = log_fault::kDown;
        if (t % 4 == 3)
          Race(c, "a");
        if (t == at)
          c.Restart(2);
        if (t == at + 1)
          c.Restart(0);
        c.Tick();
      }
      c.Run(30);
      c.log.fault = log_fault::kNone;
      c.Run(80);
      c.CheckAnswers(outage);
      c.CheckConverged();
    }
  }
}

// Guards against hosts that start with an empty or outdated state while the log
// is unavailable.
TEST_CASE("all hosts but one start during an outage") {
  fake_cluster c(kHosts);
  c.Run(3);
  Race(c, "a");
  c.Run(10);
  const config_view before = *c.hosts[3].view;
  c.log.fault = log_fault::kDown;
  c.Run(2);
  for (std::size_t i = 0; i < 3; ++i)
    c.Restart(i);
  c.peers_on = false;
  c.Run(20);
  CHECK(c.hosts[0].view == nullptr);
  const std::size_t early = c.Write(0, Pool("b", "early"));
  CHECK(std::get<write_rejected>(*c.writes[early].outcome).kind ==
        error_kind::kUnavailable);
  c.peers_on = true;
  c.Run(10);
  for (const fake_cluster::host& h : c.hosts) {
    REQUIRE(h.view != nullptr);
    CHECK(*h.view == before);
  }
  c.log.fault = log_fault::kNone;
  Race(c, "b");
  c.Run(10);
  Race(c, "b");
  c.Run(10);
  CHECK(Count<write_accepted>(c) == 2);
  c.CheckAnswers(false);
  c.CheckConverged();
}

// Guards against records that reach only the hosts that can read the log.
TEST_CASE("a host that is cut off from the log follows its peers") {
  fake_cluster c(kHosts);
  c.Run(3);
  c.hosts[2].cut_from_log = true;
  for (int n = 0; n < 8; ++n) {
    c.Write(0, Pool("a", "t" + std::to_string(n)));
    c.Run(5);
  }
  CHECK(c.hosts[2].view->through == c.hosts[0].view->through);
  const std::size_t cut = c.Write(2, Pool("a", "cut"));
  CHECK(c.writes[cut].Is<write_rejected>());
  c.hosts[2].cut_from_log = false;
  c.Run(3);
  Race(c, "a");
  c.Run(10);
  c.CheckAnswers(false);
  c.CheckConverged();
}

// Guards against a truncated log that is treated as complete, and against
// snapshots that come too late.
TEST_CASE("hosts start from a truncated log") {
  for (const bool peers : {false, true}) {
    CAPTURE(peers);
    fake_cluster c(kHosts);
    c.log.retention_ticks = 80;
    c.peers_on = peers;
    c.Run(3);
    for (int n = 0; n < 40; ++n) {
      if (n % 7 == 0)
        c.Write(1, Pool("p" + std::to_string(n), "t" + std::to_string(n)));
      if (n == 20)
        c.Kill(0);
      c.Run(10);
    }
    CHECK(c.log.first > 6);
    c.Restart(0);
    c.Restart(3);
    c.Run(20);
    c.CheckAnswers(false);
    c.CheckConverged();
    CHECK(c.hosts[0].view->pools.size() == 6);
  }
}

// Guards against a log without a snapshot, and against too many snapshots,
// while the lowest member changes and appends fail.
TEST_CASE("snapshots are at most a quarter of the retention apart") {
  fake_cluster c(kHosts);
  c.log.retention_ticks = 160;
  c.Run(3);
  c.Write(1, Pool("a", "t"));
  for (int t = 0; t < 400; ++t) {
    if (t == 150)
      c.Kill(0);
    if (t == 250)
      c.Restart(0);
    c.log.fault = t % 100 < 12 ? log_fault::kRefusesAppends : log_fault::kNone;
    c.Tick();
  }
  std::vector<int> written;
  for (const fake_log::entry& e : c.log.entries) {
    if (e.text.find("\"snapshot\"") != std::string::npos)
      written.push_back(e.tick);
  }
  REQUIRE(written.size() >= 10);
  CHECK(written.size() <= 2 + 400 / 20);
  for (std::size_t i = 1; i < written.size(); ++i)
    CHECK(written[i] - written[i - 1] <= 40);
}

}  // namespace
}  // namespace dotterellead
