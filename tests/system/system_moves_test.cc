#include <doctest/doctest.h>

#include <fmt/core.h>

#include <thread>

#include "harness.h"
#include "load.h"

namespace dotterellead::harness {
namespace {

// The stated bounds for a bad version: its share of requests, and the time to
// its last request.
constexpr double kBadShare = 0.05;
constexpr std::int64_t kBadEndsMs = 5'000;

cluster_options TwoVersions(const std::string& folder,
                            const std::string& new_behaviour) {
  cluster_options options{
      .entry_hosts = 3, .servers = {}, .log_folder = folder};
  for (const char* data_centre : {"a", "b", "c"}) {
    options.servers.push_back({.pool = "pay",
                               .data_centre = data_centre,
                               .count = 2,
                               .behaviour = R"({"service_us":5000})"});
    options.servers.push_back({.pool = "pay",
                               .data_centre = data_centre,
                               .version = "v2",
                               .count = 2,
                               .behaviour = new_behaviour});
  }
  return options;
}

void StartMove(const cluster& c, int deadline_s) {
  const std::int64_t now = system_clock_source().Now().wall.value;
  c.Apply(
      "move", "pay-v2",
      fmt::format(
          R"({{"pool":"pay","from_version":"v1","to_version":"v2","deadline_unix_ms":{}}})",
          now + std::int64_t{1'000} * deadline_s));
}

std::vector<bench::sample> RunLoad(const cluster& c, int seconds) {
  bench::load_options load;
  for (std::size_t i = 0; i < c.entry_host_count(); ++i)
    load.targets.push_back(c.caller_address(i));
  load.requests_per_second = 300;
  load.duration = std::chrono::seconds(seconds);
  return bench::RunLoad(load);
}

bool HasVerdict(const cluster& c, const std::string& verdict) {
  return c.Operate(0, "GET", "/v1/status")
             .answer.body.find("\"" + verdict + "\"") != std::string::npos;
}

// Runs and last arrival of the new version's servers.
backend_ledger NewVersion(const cluster& c) {
  backend_ledger sum;
  for (const server_handle& server : c.servers()) {
    if (server.version != "v2")
      continue;
    const backend_ledger l = c.Ledger(server);
    sum.runs += l.runs;
    sum.last_arrival_ms = std::max(sum.last_arrival_ms, l.last_arrival_ms);
  }
  return sum;
}

// Guards against a bad version that keeps getting traffic with nobody watching.
TEST_CASE("bad versions are rolled back with little traffic") {
  struct row {
    const char* name;
    const char* behaviour;
  };
  const row rows[] = {
      {"fails", R"({"service_us":5000,"fail_per_mille":500})"},
      {"fails-fast",
       R"({"service_us":5000,"fail_per_mille":1000,"fail_fast":true})"},
      {"slow", R"({"service_us":5000,"slow_factor":6})"},
  };
  for (const row& r : rows) {
    CAPTURE(std::string(r.name));
    cluster c(TwoVersions(std::string("out-move-") + r.name, r.behaviour));
    c.Start();
    StartMove(c, 600);
    c.ControlAllBackends(R"({"reset_ledger":1})");
    const std::int64_t begin = system_clock_source().Now().wall.value;
    const std::vector<bench::sample> samples = RunLoad(c, 10);
    const backend_ledger bad = NewVersion(c);
    MESSAGE(std::string(r.name)
            << ": " << bad.runs << " of " << samples.size()
            << " requests, the last " << bad.last_arrival_ms - begin
            << " ms after the start");
    CHECK(HasVerdict(c, "rolled-back"));
    CHECK(bad.runs <= kBadShare * static_cast<double>(samples.size()));
    CHECK(bad.last_arrival_ms < begin + kBadEndsMs);
    CHECK(c.TotalLedger().exceeded == 0);
  }
}

// Guards against a good version that is not done in time although nobody
// watches.
TEST_CASE("a good version is done before its deadline") {
  cluster c(TwoVersions("out-move-good", R"({"service_us":5000})"));
  c.Start();
  constexpr int kDeadlineS = 70;
  StartMove(c, kDeadlineS);
  const std::vector<bench::sample> samples = RunLoad(c, kDeadlineS);
  CHECK(HasVerdict(c, "done"));
  CHECK(samples.back().body.ends_with("v2"));
  for (const bench::sample& s : samples)
    CHECK(s.ok());
  CHECK(c.TotalLedger().exceeded == 0);
}

}  // namespace
}  // namespace dotterellead::harness
