#include <algorithm>
#include <thread>

#include "scenarios.h"

namespace dotterellead::bench {
namespace {

constexpr double kProbeMs = 6;
constexpr double kBudgetPerMille = 10;
constexpr int kSlots = 2;

}  // namespace

tables MeasureProbing(const bench_options& options) {
  table t{.name = "probing",
          .title =
              "12 idle servers of 2 slots; budget 10 per mille of slot "
              "time, probe cost 6 ms",
          .columns = {"entry hosts", "probes per server and s",
                      "per mille of slot time", "worst server per mille",
                      "budget"}};
  const milliseconds duration(options.quick ? 3'000 : 5'000);
  for (const int entry_hosts : {4, 8, 16}) {
    if (options.quick && entry_hosts > 4)
      continue;
    harness::cluster c(ClusterOf(entry_hosts, 4, 5'000,
                                 "probing-" + std::to_string(entry_hosts)));
    c.Start();
    const auto begin = std::chrono::steady_clock::now();
    c.ControlAllBackends(R"({"reset_ledger":1})");
    std::this_thread::sleep_for(duration);
    int total = 0;
    int worst = 0;
    for (const harness::server_handle& server : c.servers()) {
      const int probes = c.Ledger(server).probes;
      total += probes;
      worst = std::max(worst, probes);
    }
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
            .count();
    const double rate =
        total / seconds / static_cast<double>(c.servers().size());
    t.rows.push_back({static_cast<double>(entry_hosts), rate,
                      rate * kProbeMs / kSlots,
                      worst / seconds * kProbeMs / kSlots, kBudgetPerMille});
  }
  return {t};
}

}  // namespace dotterellead::bench
