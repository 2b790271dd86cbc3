#include "scenarios.h"

#include <fmt/core.h>

#include <algorithm>

namespace dotterellead::bench {

harness::cluster_options ClusterOf(int entry_hosts,
                                   int servers_per_data_centre,
                                   int service_us,
                                   const std::string& name) {
  harness::cluster_options options{.entry_hosts = entry_hosts,
                                   .log_folder = "out/" + name};
  for (const char* data_centre : {"a", "b", "c"}) {
    options.servers.push_back(
        {.pool = "pay",
         .data_centre = data_centre,
         .count = servers_per_data_centre,
         .behaviour = fmt::format(R"({{"service_us":{}}})", service_us),
         .threads = 128});
  }
  return options;
}

load_options LoadOn(const harness::cluster& c,
                    double requests_per_second,
                    milliseconds duration,
                    std::uint64_t seed) {
  load_options load;
  for (std::size_t i = 0; i < c.entry_host_count(); ++i)
    load.targets.push_back(c.caller_address(i));
  load.requests_per_second = requests_per_second;
  load.duration = duration;
  load.seed = seed;
  return load;
}

double Millis(microseconds value) {
  return static_cast<double>(value.count()) / 1e3;
}

int CountFailures(const std::vector<sample>& samples) {
  return static_cast<int>(std::count_if(
      samples.begin(), samples.end(), [](const sample& s) { return !s.ok(); }));
}

std::vector<microseconds> ServedLatencies(const std::vector<sample>& samples) {
  std::vector<microseconds> latencies;
  for (const sample& s : samples) {
    if (s.ok())
      latencies.push_back(s.latency);
  }
  return latencies;
}

std::vector<cell> QuantileCells(const std::vector<sample>& samples) {
  const std::vector<microseconds> latencies = ServedLatencies(samples);
  std::vector<cell> cells;
  for (const double quantile : {0.5, 0.99, 0.999})
    cells.emplace_back(Millis(Quantile(latencies, quantile)));
  return cells;
}

std::string FailureText(const std::vector<sample>& samples) {
  std::string text;
  for (const auto& [result, count] : CountResults(samples)) {
    if (result != "200")
      text += fmt::format("{}{}: {}", text.empty() ? "" : ", ", result, count);
  }
  return text.empty() ? "none" : text;
}

}  // namespace dotterellead::bench
