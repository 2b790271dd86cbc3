#include <fmt/core.h>

#include "scenarios.h"

namespace dotterellead::bench {
namespace {

constexpr double kTargetMs = 1.4;
constexpr int kServiceUs = 5'000;
// New connections are opened in this time, so it is left out.
constexpr milliseconds kWarmUp{500};

struct latency_case {
  int servers_per_data_centre;
  int load_percent;
};

// Fewer slots for each entry host leave less room for uneven load.
constexpr latency_case kCases[] = {{2, 30}, {2, 80}, {4, 80}};

double SlotsOf(const latency_case& l) {
  return 3.0 * l.servers_per_data_centre * 2;
}

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

void AddRows(table& t, const latency_case& l, const paired_samples& samples) {
  const std::vector<microseconds> direct = ServedLatencies(samples.direct);
  const std::vector<microseconds> through = ServedLatencies(samples.through);
  for (const double quantile : {0.5, 0.99, 0.999}) {
    const double a = Millis(Quantile(direct, quantile));
    const double b = Millis(Quantile(through, quantile));
    const std::string verdict = b - a <= kTargetMs ? "met" : "missed";
    t.rows.push_back({SlotsOf(l), fmt::format("{}%", l.load_percent),
                      fmt::format("p{:g}", quantile * 100), a, b, b - a, b / a,
                      quantile == 0.99 ? verdict : "-",
                      static_cast<double>(samples.through.size()),
                      static_cast<double>(CountFailures(samples.direct)),
                      static_cast<double>(CountFailures(samples.through))});
  }
}

void RunCase(table& t, const latency_case& l, const bench_options& options) {
  harness::cluster c(
      ClusterOf(4, l.servers_per_data_centre, kServiceUs, "added-latency"));
  c.Start();
  load_options load =
      LoadOn(c, SlotsOf(l) * 1e6 / kServiceUs * l.load_percent / 100,
             milliseconds(2'000), options.seed);
  load.threads_per_target = 16;
  AddRows(t, l, RunPairs(c, load, options.quick ? 1 : 3));
}

}  // namespace

tables MeasureAddedLatency(const bench_options& options) {
  table t{.name = "added_latency",
          .title = fmt::format("4 entry hosts, service 5 ms, served requests "
                               "in ms; target {} ms added at p99",
                               kTargetMs),
          .columns = {"slots", "load", "quantile", "direct", "through", "added",
                      "ratio", "target", "samples", "failed direct",
                      "failed through"}};
  for (const latency_case& l : kCases) {
    if (!options.quick || l.load_percent == 30)
      RunCase(t, l, options);
  }
  return {t};
}

}  // namespace dotterellead::bench
