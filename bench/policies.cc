#include <fmt/core.h>

#include "scenarios.h"

namespace dotterellead::bench {
namespace {

constexpr int kEntryHosts = 13;
constexpr int kServersPerDataCentre = 10;
constexpr double kSlots = 3 * kServersPerDataCentre * 2;
constexpr int kServiceUs = 10'000;
constexpr int kBurst = 10;

std::vector<cell> RunPolicy(const harness::cluster& c,
                            const std::string& policy,
                            int percent,
                            const bench_options& options) {
  c.ControlAllBackends(R"({"reset_ledger":1})");
  load_options load =
      LoadOn(c, kSlots * 1e6 / kServiceUs * percent / 100,
             milliseconds(options.quick ? 2'000 : 4'000), options.seed);
  load.burst = kBurst;
  load.threads_per_target = 24;
  const std::vector<sample> samples = RunLoad(load);
  const harness::backend_ledger total = c.TotalLedger();
  std::vector<cell> row = {policy, fmt::format("{}%", percent)};
  row.emplace_back(static_cast<double>(total.exceeded));
  row.emplace_back(static_cast<double>(total.max_in_flight));
  for (const cell& quantile : QuantileCells(samples))
    row.push_back(quantile);
  row.emplace_back(static_cast<double>(samples.size()));
  row.emplace_back(FailureText(samples));
  return row;
}

}  // namespace

tables ComparePolicies(const bench_options& options) {
  table t{.name = "policies",
          .title = fmt::format("{} entry hosts, {:.0f} slots, service 10 ms, "
                               "bursts of {}, served requests in ms",
                               kEntryHosts, kSlots, kBurst),
          .columns = {"policy", "load", "slots exceeded", "max in flight",
                      "p50", "p99", "p99.9", "samples", "failures"}};
  for (const char* policy :
       {"forwarded", "leased", "round_robin", "two_choices"}) {
    if (options.quick && policy != std::string_view("forwarded"))
      continue;
    harness::cluster_options cluster =
        ClusterOf(kEntryHosts, kServersPerDataCentre, kServiceUs,
                  std::string("policy-") + policy);
    cluster.entry_flags = {"--choice-policy", policy};
    harness::cluster c(cluster);
    c.Start();
    for (const int percent : {60, 80}) {
      if (!options.quick || percent == 80)
        t.rows.push_back(RunPolicy(c, policy, percent, options));
    }
  }
  return {t};
}

}  // namespace dotterellead::bench
