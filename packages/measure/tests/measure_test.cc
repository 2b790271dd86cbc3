#include <doctest/doctest.h>

#include "dotterellead/measure.h"

namespace dotterellead {
namespace {

const server_id probed("127.0.0.1:9");

timestamp At(std::int64_t ms) {
  return {time_point(milliseconds(1'000'000 + ms)), unix_millis{0}};
}

struct home {
  measure_machine machine;
  std::vector<measure_machine::effect> out;

  explicit home(std::uint32_t budget_per_mille = 10) {
    Send(servers_homed_here{{{.server = probed,
                              .pool = pool_id("p"),
                              .slots = 2,
                              .budget_per_mille = budget_per_mille,
                              .homed_since = At(0).steady}}},
         0);
  }
  void Send(const measure_machine::message& m, std::int64_t ms) {
    out.clear();
    machine.Step(m, At(ms), out);
  }
  // Like the duty, which sleeps while no tick is due.
  void TickIfDue(std::int64_t ms) {
    out.clear();
    const auto due = machine.NextDeadline();
    if (due && *due <= At(ms).steady)
      Send(tick{}, ms);
  }
  template <class Effect>
  const Effect* Find() const {
    for (const auto& e : out) {
      if (const auto* found = std::get_if<Effect>(&e))
        return found;
    }
    return nullptr;
  }
  // Returns when the next probe is sent, checking every 10 ms from `from`.
  std::int64_t NextProbe(std::int64_t from) {
    for (std::int64_t ms = from; ms < from + 60'000; ms += 10) {
      TickIfDue(ms);
      if (Find<send_probe>() != nullptr)
        return ms;
    }
    return -1;
  }
  void Report(std::int64_t ms, probe_report report = {.slots = 2}) {
    Send(probe_completed{probed, probe_result::kReport, std::move(report),
                         milliseconds(6)},
         ms);
  }
};

// Guards against a new home that probes at once, in addition to the former one.
TEST_CASE("a new home waits one interval, then one probe at a time") {
  home h;
  CHECK(h.NextProbe(0) == limits::kProbeInterval.count());
  // No outcome yet: no second probe until the first is abandoned.
  CHECK(h.NextProbe(610) >= 1'200);
}

// Guards against an interval that ignores the budget or the real cost.
TEST_CASE("the interval follows cost and budget") {
  struct row {
    std::uint32_t budget_per_mille;
    int cost_ms;
    std::int64_t interval;
  };
  const row rows[] = {{10, 6, 600}, {2, 6, 1'500}, {10, 20, 1'000}};
  for (const row& r : rows) {
    CAPTURE(r.cost_ms);
    CAPTURE(r.budget_per_mille);
    home h(r.budget_per_mille);
    std::int64_t last = 0;
    std::int64_t now = 0;
    for (int i = 0; i < 40; ++i) {
      last = now;
      now = h.NextProbe(now);
      h.Send(
          probe_completed{
              probed, probe_result::kReport, {}, milliseconds(r.cost_ms)},
          now);
    }
    CHECK(now - last >= r.interval - 10);
    CHECK(now - last <= r.interval + 20);
  }
}

// Guards against old reports that still affect requests.
TEST_CASE("the weight of a report decays to zero with its age") {
  home h;
  h.NextProbe(0);
  h.Report(600, {.slots = 2, .age = milliseconds(500)});
  CHECK(h.Find<load_estimate>()->weight_per_mille == 750);
  std::uint32_t last = 750;
  for (std::int64_t ms = 600; ms <= 2'100; ms += 50) {
    h.TickIfDue(ms);
    if (const auto* e = h.Find<load_estimate>()) {
      CHECK(e->weight_per_mille < last);
      last = e->weight_per_mille;
    }
  }
  CHECK(last == 0);
}

// Guards against a load report that requests contradict.
TEST_CASE("the weight of a report that requests contradict falls to zero") {
  const attempt_observed contradictions[] = {
      {.server = probed, .in_flight = 5},
      {.server = probed, .cold = true},
      {.server = probed, .failed = true},
  };
  for (const attempt_observed& seen : contradictions) {
    home h;
    h.NextProbe(0);
    h.Report(600);
    CHECK(h.Find<load_estimate>()->weight_per_mille == 1'000);
    for (int i = 0; i < 4; ++i)
      h.Send(seen, 601);
    CHECK(h.Find<load_estimate>()->weight_per_mille == 0);
    // Requests that agree restore the trust gradually.
    for (int i = 0; i < 8; ++i)
      h.Send(attempt_observed{.server = probed, .in_flight = 1}, 602);
    h.Report(602);
    CHECK(h.Find<load_estimate>() == nullptr);
    h.Report(h.NextProbe(610));
    CHECK(h.Find<load_estimate>()->weight_per_mille == 1'000);
  }
}

// Guards against an unresponsive or failing server that is not suspected, and
// against one slow probe that makes it suspect.
TEST_CASE("failing and unresponsive servers are suspected") {
  home h;
  std::int64_t ms = h.NextProbe(0);
  h.Send(probe_completed{probed, probe_result::kFailed, {}, milliseconds(1)},
         ms);
  CHECK(h.Find<probe_suspected>()->reason == suspicion_reason::kProbeFailed);
  for (std::uint32_t i = 1; i <= limits::kProbeTimeoutsBeforeSuspect; ++i) {
    ms = h.NextProbe(ms);
    const microseconds limit = h.Find<send_probe>()->time_limit;
    CHECK(limit <= limits::kMaxProbeTimeout);
    h.Send(probe_completed{probed, probe_result::kTimedOut, {}, limit}, ms);
    CHECK((h.Find<probe_suspected>() != nullptr) ==
          (i == limits::kProbeTimeoutsBeforeSuspect));
  }
}

// Guards against a malformed report that is accepted.
TEST_CASE(
    "decoding an encoded report gives the same report; malformed text is "
    "rejected") {
  const probe_report report{3, 4, true, false, "b1", milliseconds(7)};
  const std::string text = EncodeProbeReport(report);
  CHECK(DecodeProbeReport(text) == report);
  for (const char* field :
       {"in_flight", "slots", "cold", "draining", "boot", "age_ms"}) {
    std::string missing = text;
    missing.replace(missing.find(field), 3, "xxx");
    CHECK_THROWS_AS(DecodeProbeReport(missing), protocol_error);
  }
  for (const char* bad : {"", "[1]", "{", "null"})
    CHECK_THROWS_AS(DecodeProbeReport(bad), protocol_error);
}

}  // namespace
}  // namespace dotterellead
