#include <fmt/core.h>

#include <algorithm>
#include <thread>

#include "scenarios.h"

namespace dotterellead::bench {
namespace {

constexpr int kServersPerDataCentre = 4;
constexpr double kSlots = 3 * kServersPerDataCentre * 2;
constexpr int kServiceUs = 5'000;
constexpr int kLoadPercent = 50;
constexpr microseconds kSlow{5 * kServiceUs};
constexpr milliseconds kBucket{100};
constexpr milliseconds kOutAt{2'000};

// Times in ms on the wall clock, which all processes share.
struct change_times {
  std::int64_t out_accepted = 0;
  std::int64_t last_arrival = 0;
  std::int64_t back_accepted = 0;
  // -1: none until the deadline.
  std::int64_t first_arrival_after = -1;
};

std::int64_t WallMillis() {
  return system_clock_source().Now().wall.value;
}

struct arrivals {
  int count = 0;
  std::int64_t last_ms = 0;
};

arrivals ArrivalsAt(const harness::cluster& c, const std::string& data_centre) {
  arrivals a;
  for (const harness::server_handle& server : c.servers()) {
    if (server.data_centre != data_centre)
      continue;
    const harness::backend_ledger ledger = c.Ledger(server);
    a.count += ledger.arrivals;
    a.last_ms = std::max(a.last_ms, ledger.last_arrival_ms);
  }
  return a;
}

change_times TakeOutAndBack(const harness::cluster& c, milliseconds out_for) {
  change_times times;
  std::this_thread::sleep_for(kOutAt);
  c.SetDataCentreOut("a", true);
  times.out_accepted = WallMillis();
  std::this_thread::sleep_for(out_for);
  const arrivals before = ArrivalsAt(c, "a");
  times.last_arrival = before.last_ms;
  c.SetDataCentreOut("a", false);
  times.back_accepted = WallMillis();
  if (harness::WaitFor(milliseconds(5'000), [&] {
        return ArrivalsAt(c, "a").count > before.count;
      })) {
    times.first_arrival_after = WallMillis() - times.back_accepted;
  }
  return times;
}

table Timeline(const std::vector<sample>& samples, milliseconds duration) {
  table t{.name = "data_centre_timeline",
          .title =
              "failures and slow requests (over 25 ms) per 100 ms, from "
              "the start of the load; all rows are in the JSON",
          .columns = {"ms", "requests", "failed", "slow"},
          .prints_events_only = true};
  for (milliseconds at{0}; at < duration; at += kBucket) {
    double requests = 0;
    double failed = 0;
    double slow = 0;
    for (const sample& s : samples) {
      if (s.due < at || s.due >= at + kBucket)
        continue;
      ++requests;
      failed += s.ok() ? 0 : 1;
      slow += s.ok() && s.latency > kSlow ? 1 : 0;
    }
    t.rows.push_back({static_cast<double>(at.count()), requests, failed, slow});
  }
  return t;
}

}  // namespace

tables MoveDataCentre(const bench_options& options) {
  const milliseconds out_for(options.quick ? 3'000 : 4'000);
  const milliseconds duration =
      kOutAt + out_for + milliseconds(options.quick ? 2'000 : 4'000);
  harness::cluster c(
      ClusterOf(6, kServersPerDataCentre, kServiceUs, "data-centre"));
  c.Start();
  c.ControlAllBackends(R"({"reset_ledger":1})");
  load_options load = LoadOn(c, kSlots * 1e6 / kServiceUs * kLoadPercent / 100,
                             duration, options.seed);
  load.threads_per_target = 16;
  change_times times;
  std::exception_ptr problem;
  std::thread operators([&] {
    try {
      times = TakeOutAndBack(c, out_for);
    } catch (...) {
      problem = std::current_exception();
    }
  });
  const std::vector<sample> samples = RunLoad(load);
  operators.join();
  if (problem)
    std::rethrow_exception(problem);
  const harness::backend_ledger total = c.TotalLedger();
  table t{.name = "data_centre",
          .title = fmt::format("6 entry hosts, {:.0f} slots in 3 data centres, "
                               "service 5 ms, {}% load; a out at 2 s for {} ms",
                               kSlots, kLoadPercent, out_for.count()),
          .columns = {"last arrival after out, ms", "bound, ms",
                      "first arrival after back, ms", "slots exceeded", "p50",
                      "p99", "p99.9", "samples", "failures"}};
  t.rows.push_back(
      {static_cast<double>(times.last_arrival - times.out_accepted), 3'000.0,
       static_cast<double>(times.first_arrival_after),
       static_cast<double>(total.exceeded)});
  for (const cell& quantile : QuantileCells(samples))
    t.rows[0].push_back(quantile);
  t.rows[0].emplace_back(static_cast<double>(samples.size()));
  t.rows[0].emplace_back(FailureText(samples));
  return {t, Timeline(samples, duration)};
}

}  // namespace dotterellead::bench
