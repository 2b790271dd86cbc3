// The benchmark's scenarios. Each starts real processes, runs its load and
// returns what it measured.
#ifndef DOTTERELLEAD_BENCH_SCENARIOS_H_
#define DOTTERELLEAD_BENCH_SCENARIOS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "harness.h"
#include "load.h"
#include "report.h"

namespace dotterellead::bench {

struct bench_options {
  std::uint64_t seed = 1;
  // Shorter loads and fewer cases.
  bool quick = false;
};

using tables = std::vector<table>;

// Latency through the entry hosts against the same load sent directly.
tables MeasureAddedLatency(const bench_options& options);
// Slots exceeded and tail latency of each choice policy.
tables ComparePolicies(const bench_options& options);
// Probe time on the backend servers by number of entry hosts.
tables MeasureProbing(const bench_options& options);
// Service while a data centre is taken out and brought back.
tables MoveDataCentre(const bench_options& options);
// What a claim adds to a non-idempotent request, and its appends.
tables MeasureClaims(const bench_options& options);
// Processor time, memory and peer traffic of the entry hosts by members,
// servers and calls.
tables MeasureCapacity(const bench_options& options);

// Servers in each of the data centres a, b and c, in one process each.
harness::cluster_options ClusterOf(int entry_hosts,
                                   int servers_per_data_centre,
                                   int service_us,
                                   const std::string& name);
// A load over all entry hosts of `c`.
load_options LoadOn(const harness::cluster& c,
                    double requests_per_second,
                    milliseconds duration,
                    std::uint64_t seed);
double Millis(microseconds value);
int CountFailures(const std::vector<sample>& samples);
// Latencies of the requests that were served: refusals are quick and would hide
// the tail.
std::vector<microseconds> ServedLatencies(const std::vector<sample>& samples);
// Quantiles 0.5, 0.99 and 0.999 of the served requests in ms.
std::vector<cell> QuantileCells(const std::vector<sample>& samples);
// Failures by status and run state, such as "503 not-run: 3".
std::string FailureText(const std::vector<sample>& samples);

}  // namespace dotterellead::bench

#endif  // DOTTERELLEAD_BENCH_SCENARIOS_H_
