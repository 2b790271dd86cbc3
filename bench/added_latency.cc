#include <fmt/core.h>

#include "scenarios.h"

namespace dotterellead::bench {
namespace {

constexpr double kTargetMs = 1.4;
constexpr int kServersPerDataCentre = 2;
constexpr double kSlots = 3 * kServersPerDataCentre * 2;
constexpr int kServiceUs = 5'000;
// New connections are opened in this time, so it is left out.
constexpr milliseconds kWarmUp{500};

void Append(std::vector<sample>& to, const std::vector<sample>& part) {
  for (const sample& s : part) {
    if (s.due >= kWarmUp)
      to.push_back(s);
  }
}

struct paired_samples {
  std::vector<sample> direct;
  std::vector<sample> through;
};

// Sends the same load in turn both ways, so that noise meets both alike.
paired_samples RunPairs(const harness::cluster& c,
                        load_options load,
                        int rounds) {
  load_options direct = load;
  direct.targets.clear();
  for (const harness::server_handle& server : c.servers())
    direct.targets.push_back(server.address);
  paired_samples samples;
  for (int round = 0; round < rounds; ++round) {
    Append(samples.direct, RunLoad(direct));
    Append(samples.through, RunLoad(load));
    direct.seed = ++load.seed;
  }
  return samples;
}

void AddRows(table& t, int percent, const paired_samples& samples) {
  const std::vector<microseconds> direct = Latencies(samples.direct);
  const std::vector<microseconds> through = Latencies(samples.through);
  for (const double quantile : {0.5, 0.99, 0.999}) {
    const double a = Millis(Quantile(direct, quantile));
    const double b = Millis(Quantile(through, quantile));
    t.rows.push_back(
        {fmt::format("{}%", percent), fmt::format("p{:g}", quantile * 100), a,
         b, b - a, b / a,
         quantile == 0.99
             ? cell(std::string(b - a <= kTargetMs ? "met" : "missed"))
             : cell(std::string("-")),
         static_cast<double>(through.size()),
         static_cast<double>(CountFailures(samples.direct)),
         static_cast<double>(CountFailures(samples.through))});
  }
}

}  // namespace

tables MeasureAddedLatency(const bench_options& options) {
  harness::cluster c(
      ClusterOf(4, kServersPerDataCentre, kServiceUs, "added-latency"));
  c.Start();
  table t{.name = "added_latency",
          .title = fmt::format("4 entry hosts, {:.0f} slots, service 5 ms, in "
                               "ms; target {} ms added at p99",
                               kSlots, kTargetMs),
          .columns = {"load", "quantile", "direct", "through", "added", "ratio",
                      "target", "samples", "failed direct", "failed through"}};
  const double full_rate = kSlots * 1e6 / kServiceUs;
  for (const int percent : {30, 80}) {
    load_options load =
        LoadOn(c, full_rate * percent / 100, milliseconds(2'000), options.seed);
    load.threads = 32;
    AddRows(t, percent, RunPairs(c, load, options.quick ? 1 : 3));
  }
  return {t};
}

}  // namespace dotterellead::bench
