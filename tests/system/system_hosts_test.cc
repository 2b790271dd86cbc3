#include <doctest/doctest.h>

#include <fmt/core.h>

#include <algorithm>
#include <csignal>
#include <thread>

#include "dotterellead/json.h"
#include "system_load.h"

namespace dotterellead::harness {
namespace {

// The stated bound for new work at a server that leaves.
constexpr milliseconds kLeaveBound{3'000};

cluster_options Hosts(int count, const std::string& folder) {
  cluster_options options{
      .entry_hosts = count, .servers = {}, .log_folder = folder};
  for (const char* data_centre : {"a", "b", "c"}) {
    options.servers.push_back({.pool = "pay",
                               .data_centre = data_centre,
                               .count = 2,
                               .behaviour = R"({"service_us":20000})"});
  }
  return options;
}

Json::Value Body(const send_result& r) {
  return ParseJson(r.answer.body).value_or(Json::Value());
}

// Guards against new work for a server that the platform takes away, and
// against requests lost with it.
TEST_CASE("a server that leaves by the host list gets no new work") {
  cluster c(Hosts(3, "out-leaving"));
  c.Start();
  const server_handle& server = c.servers().front();
  std::int64_t left_ms = 0;
  const std::vector<bench::sample> samples = RunWithFault(Load(c, 300, 8), [&] {
    CHECK(c.Ledger(server).runs > 0);
    c.PublishHostList({server});
    left_ms = system_clock_source().Now().wall.value;
  });
  CHECK(std::ranges::all_of(samples, &bench::sample::ok));
  const std::int64_t last_ms = c.Ledger(server).last_arrival_ms - left_ms;
  MESSAGE("last arrival after " << last_ms << " ms");
  CHECK(last_ms < kLeaveBound.count());
  CHECK(c.TotalLedger().cancelled == 0);
  CHECK(c.TotalLedger().exceeded == 0);
}

// The index of the entry host that is the home of `server`.
std::optional<std::size_t> HomeOf(const cluster& c,
                                  const server_handle& server) {
  const std::string text =
      c.Operate(0, "GET", "/v1/explain?server=" + server.address.ToString())
          .answer.body;
  for (std::size_t i = 0; i < c.entry_host_count(); ++i) {
    if (text.find(fmt::format("home h{:02}", i)) != std::string::npos)
      return i;
  }
  return std::nullopt;
}

// Guards against probes by several hosts, and against probes made up for at
// once by a new home.
TEST_CASE("probe time stays in its budget through a home's death") {
  constexpr double kBudget = 0.01 * 2;  // 1% of the time of two slots
  constexpr double kProbeSeconds = 0.006;
  constexpr int kSeconds = 18;
  constexpr int kWindow = 3;
  cluster c(Hosts(8, "out-probes"));
  c.Start();
  const std::optional<std::size_t> home = HomeOf(c, c.servers().front());
  REQUIRE(home.has_value());
  struct reading {
    time_point at;
    std::vector<int> probes;
  };
  std::vector<reading> readings;
  for (int second = 0; second <= kSeconds; ++second) {
    if (second == 4)
      c.entry_host(*home).Signal(SIGKILL);
    reading r{system_clock_source().Now().steady, {}};
    for (const server_handle& server : c.servers())
      r.probes.push_back(c.Ledger(server).probes);
    readings.push_back(std::move(r));
    std::this_thread::sleep_for(milliseconds(1'000));
  }
  double largest = 0;
  for (std::size_t s = 0; s < c.servers().size(); ++s) {
    for (std::size_t i = 0; i + kWindow < readings.size(); ++i) {
      const reading& begin = readings[i];
      const reading& end = readings[i + kWindow];
      const double seconds =
          std::chrono::duration<double>(end.at - begin.at).count();
      const int probes = end.probes[s] - begin.probes[s];
      largest = std::max(largest, probes * kProbeSeconds / seconds);
      // A probe at the window's edge counts as a whole.
      CHECK(probes * kProbeSeconds <= kBudget * seconds + kProbeSeconds);
    }
    // The new home probes as well.
    CHECK(readings.back().probes[s] > readings[kSeconds - kWindow].probes[s]);
  }
  MESSAGE("at most " << 1'000 * largest << " ms of probes a second");
}

// Guards against requests to other hosts that are lost while a host is
// replaced, and against a slot that two homes lend.
TEST_CASE("entry hosts are replaced one after another under load") {
  cluster c(Hosts(4, "out-replace"));
  c.Start();
  for (std::size_t i = 0; i < c.entry_host_count(); ++i) {
    CAPTURE(i);
    bench::load_options load = Load(c, 420, 8);
    load.post_per_mille = 200;
    load.targets.erase(load.targets.begin() + static_cast<std::ptrdiff_t>(i));
    const std::vector<bench::sample> samples = RunWithFault(load, [&] {
      c.entry_host(i).Signal(SIGTERM);
      CHECK(c.entry_host(i).WaitForExit(milliseconds(15'000)) == 0);
      c.RestartEntryHost(i);
    });
    for (const auto& [result, count] : bench::CountResults(samples))
      MESSAGE(result << ": " << count);
    CHECK(std::ranges::all_of(samples, &bench::sample::ok));
    CHECK(WaitFor(milliseconds(10'000), [&] {
      return c.Call(i, "GET", "/pay/back").answer.status == 200;
    }));
  }
  const backend_ledger total = c.TotalLedger();
  CHECK(total.exceeded == 0);
  CHECK(total.cancelled == 0);
  for (const auto& [key, runs] : total.runs_by_key)
    CHECK(runs == 1);
}

// Guards against a change that is lost although its operator was told that it
// was accepted.
TEST_CASE("of two operators who change one resource at once exactly one wins") {
  constexpr int kRounds = 20;
  cluster c(Hosts(3, "out-race"));
  c.Start();
  std::string base = "none";
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    send_result results[2];
    std::vector<std::thread> operators;
    operators.reserve(2);
    for (int o = 0; o < 2; ++o) {
      operators.emplace_back([&, o] {
        results[o] = c.Operate(
            static_cast<std::size_t>(o), "PUT",
            "/v1/pool/race?revision=" + base,
            fmt::format(
                R"({{"kind":"pool","api_version":"v1","name":"race","spec":{{)"
                R"("tenant":"t","path_prefix":"/race","from_host_list":true,)"
                R"("routes":[{{"method":"GET","path_prefix":"/race",)"
                R"("idempotent":true}}],"max_run_ms":{}}}}})",
                1'000 + 2 * round + o));
      });
    }
    for (std::thread& o : operators)
      o.join();
    const int winner = results[0].answer.status == 200 ? 0 : 1;
    CAPTURE(results[0].answer.body);
    CAPTURE(results[1].answer.body);
    REQUIRE(results[winner].answer.status == 200);
    CHECK(results[1 - winner].answer.status == 409);
    const Json::Value revision = Body(results[winner])["revision"];
    CHECK(Body(results[1 - winner])["revision"] == revision);
    base = revision.asString();
    for (std::size_t i = 0; i < c.entry_host_count(); ++i) {
      Json::Value shown;
      CHECK(WaitFor(milliseconds(2'000), [&] {
        shown = Body(c.Operate(i, "GET", "/v1/pool/race"));
        return shown["revision"] == revision;
      }));
      CHECK(shown["spec"]["max_run_ms"] == 1'000 + 2 * round + winner);
    }
  }
}

}  // namespace
}  // namespace dotterellead::harness
