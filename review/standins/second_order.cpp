// A bad version is rolled back, and the operator orders the next one at once,
// while the instances of the bad one are still there.
#include <algorithm>
#include <cstdio>

#include "load.hpp"

namespace {

using namespace standins;

constexpr int kHosts = 12;
constexpr int kInstances = 24;
constexpr double kRequestsPerS = 60;
// As in the site file's rollout_bad and rollout_good.
constexpr double kDurationS = 14;
constexpr double kFailingShare = 0.35;
// "At rolled_back, the new instances drain some seconds later."
constexpr double kDrainAfterS = 7;
constexpr double kDrainTimeS = 2.5;
// The rule's bounds, exposeShare and exposeSlack.
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;

std::vector<instance*> StartVersion(deployment& world,
                                    instance_settings settings,
                                    const std::string& version) {
  std::vector<instance*> started;
  settings.version = version;
  for (int i = 0; i < kInstances; ++i)
    started.push_back(&world.AddInstance(settings));
  return started;
}

bool Run(const std::string& folder, const std::string& record_path) {
  deployment_settings settings;
  for (int i = 1; i <= kHosts; ++i)
    settings.hosts.push_back({"edge-zone-a-" + std::to_string(i), "zone-a"});
  instance_settings one;
  one.min_work_s = 0.1;
  one.max_work_s = 0.3;
  settings.instances.assign(kInstances, one);
  deployment world(settings, folder);
  world.Start();
  int next = 0;
  steady_load load(world, kRequestsPerS, [&]() -> entry_host& {
    return *world.hosts[next++ % kHosts];
  });
  SleepFor(2);

  const double ordered_at = Now();
  world.OrderMove("pay", "v2", kDurationS);
  std::vector<instance*> bad = StartVersion(world, one, "v2");
  for (instance* i : bad)
    i->failing_share = kFailingShare;
  while (world.MoveState("pay", "v2") != "rolled_back") {
    if (Now() > ordered_at + kDurationS)
      throw std::runtime_error("the bad version was not rolled back");
    SleepFor(0.05);
  }
  const double rolled_back_at = Now();
  world.record.Add("rolled_back is written for v2");
  if (HasTrouble()) {
    world.OrderMove("pay", "v3", kDurationS);
    StartVersion(world, one, "v3");
  }
  SleepFor(rolled_back_at + kDrainAfterS - Now());
  for (instance* i : bad)
    i->StartDraining();
  SleepFor(kDrainTimeS);
  for (instance* i : bad)
    i->Stop();
  SleepFor(ordered_at + kDurationS - Now());
  load.Stop();

  int all = 0;
  int exposed = 0;
  int after = 0;
  for (const attempt_result& r : load.results()) {
    if (r.sent_at < ordered_at || r.sent_at > ordered_at + kDurationS)
      continue;
    const attempt_runs runs = world.ledger.Of(r.id);
    all += runs.arrivals > 0;
    exposed += runs.version == "v2";
    after += runs.version == "v2" && r.sent_at > rolled_back_at + 1;
  }
  const int allowed = static_cast<int>(kExposeShare * all + kExposeSlack);
  const std::string summary =
      std::to_string(exposed) + " of " + std::to_string(all) +
      " requests ran on the bad version between its order and its deadline, "
      "allowed " +
      std::to_string(allowed) + "; " + std::to_string(after) +
      " of them later than 1 s after its roll-back";
  world.record.Add(summary);
  std::puts(summary.c_str());
  world.record.Write(record_path);
  return exposed <= allowed;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunCase(argc, argv, Run);
}
