// The three machines that the settings name as seeds are lost for good. The
// others are restarted in turn; then an empty instance is added under load.
#include <signal.h>

#include <algorithm>
#include <cstdio>

#include "load.hpp"

namespace {

using namespace standins;

constexpr std::size_t kSeeds = 3;
constexpr std::size_t kOthers = 8;
// As in the site file's roll_term.
constexpr double kGapS = 1.0;
constexpr double kRequestsPerS = 70;
constexpr int kWarmInstances = 4;
// As in the site file: cold_s and cold_per_s.
constexpr double kWarmupS = 3;
constexpr double kWarmupPerS = 2.7;
// The rule's bounds, coldOver and coldSlack.
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;

bool Run(const std::string& folder, const std::string& record_path) {
  deployment_settings settings;
  for (std::size_t i = 1; i <= kSeeds + kOthers; ++i)
    settings.hosts.push_back(
        {(i < 10 ? "edge-zone-a-0" : "edge-zone-a-") + std::to_string(i),
         "zone-a"});
  settings.are_seeds_first = true;
  instance_settings one;
  one.min_work_s = 0.1;
  one.max_work_s = 0.2;
  settings.instances.assign(kWarmInstances, one);
  deployment world(settings, folder);
  world.Start();
  if (HasTrouble()) {
    // A stopped process answers nothing, like a machine that is gone.
    for (std::size_t i = 0; i < kSeeds; ++i) {
      world.gone.insert(world.hosts[i]->settings().name);
      world.hosts[i]->Signal(SIGSTOP);
    }
    world.record.Add("the three machines named as seeds are lost for good");
  }
  world.KeepHostsRunning();
  SleepFor(3);
  for (std::size_t i = kSeeds; i < kSeeds + kOthers; ++i) {
    world.hosts[i]->Signal(SIGTERM);
    world.record.Add("SIGTERM to " + world.hosts[i]->settings().name);
    SleepFor(kGapS);
  }
  SleepFor(8);
  for (std::size_t i = kSeeds; i < kSeeds + kOthers; ++i)
    if (!world.rotation->IsInRotation(i))
      throw std::runtime_error("a host is not back");

  std::size_t next = 0;
  steady_load load(world, kRequestsPerS, [&]() -> entry_host& {
    return *world.hosts[kSeeds + next++ % kOthers];
  });
  SleepFor(3);
  one.warmup_s = kWarmupS;
  instance& added = world.AddInstance(one);
  world.record.Add("instance " + added.id() + " is added, cold");
  SleepFor(kWarmupS + 1);
  load.Stop();

  // Requests that reached the cold instance, by the time of their arrival.
  std::vector<std::pair<double, double>> arrivals;
  for (const attempt_result& r : load.results()) {
    const attempt_runs runs = world.ledger.Of(r.id);
    if (runs.instance == added.id() && added.IsColdAt(runs.arrived_at))
      arrivals.emplace_back(runs.arrived_at, r.sent_at);
  }
  std::sort(arrivals.begin(), arrivals.end());
  int most = 0;
  for (const auto& [from, unused] : arrivals) {
    const int count = static_cast<int>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& a) {
          return a.second >= from - 0.02 && a.first < from + 0.98;
        }));
    most = std::max(most, count);
  }
  const double allowed = kWarmupPerS * kColdOver + kColdSlack;
  char summary[200];
  std::snprintf(summary, sizeof summary,
                "%zu requests reached the cold instance, at most %d in one "
                "second; allowed %.1f",
                arrivals.size(), most, allowed);
  world.record.Add(summary);
  std::puts(summary);
  world.record.Write(record_path);
  return most <= allowed;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunCase(argc, argv, Run);
}
