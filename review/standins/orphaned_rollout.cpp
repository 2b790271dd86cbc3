// The five machines of one zone are lost for good during the trial of a bad
// version. Three machines remain in another zone.
#include <signal.h>

#include <algorithm>
#include <cstdio>

#include "load.hpp"

namespace {

using namespace standins;

constexpr int kLostHosts = 5;
constexpr int kRemainingHosts = 3;
constexpr double kRequestsPerS = 80;
// As in the site file's rollout_bad with how = "late".
constexpr double kDurationS = 16;
constexpr double kFailingShare = 0.5;
constexpr double kFailsAfterS = 3;
constexpr double kLossAfterS = 2.2;
constexpr double kPlayedS = 30;
// The rule's bounds.
constexpr std::size_t kBadAnswers = 50;
constexpr double kRollbackS = 5;

bool Run(const std::string& folder, const std::string& record_path) {
  deployment_settings settings;
  for (int i = 1; i <= kLostHosts; ++i)
    settings.hosts.push_back({"edge-zone-a-" + std::to_string(i), "zone-a"});
  for (int i = 1; i <= kRemainingHosts; ++i)
    settings.hosts.push_back({"edge-zone-b-" + std::to_string(i), "zone-b"});
  instance_settings one;
  one.zone = "zone-b";
  one.min_work_s = 0.05;
  one.max_work_s = 0.15;
  settings.instances.assign(12, one);
  deployment world(settings, folder);
  world.Start();
  int next = 0;
  steady_load load(world, kRequestsPerS, [&]() -> entry_host& {
    return *world.hosts[kLostHosts + next++ % kRemainingHosts];
  });
  SleepFor(2);

  const double ordered_at = Now();
  world.OrderMove("pay", "v2", kDurationS);
  std::vector<instance*> bad;
  one.version = "v2";
  for (int i = 0; i < 12; ++i)
    bad.push_back(&world.AddInstance(one));
  SleepFor(ordered_at + kLossAfterS - Now());
  if (HasTrouble()) {
    // A stopped process answers nothing, like a machine that is gone.
    for (int i = 0; i < kLostHosts; ++i)
      world.hosts[i]->Signal(SIGSTOP);
    world.record.Add("the machines of zone-a are lost for good");
  }
  SleepFor(ordered_at + kFailsAfterS - Now());
  for (instance* i : bad)
    i->failing_share = kFailingShare;
  world.record.Add("v2 begins to fail");
  SleepFor(ordered_at + kPlayedS - Now());
  load.Stop();

  const std::vector<double> failures = world.ledger.FailuresOf("v2");
  const std::vector<double> starts = world.ledger.StartsOf("v2");
  std::size_t late = 0;
  double bound = 0;
  if (failures.size() >= kBadAnswers) {
    bound = failures[kBadAnswers - 1] + kRollbackS;
    for (const attempt_result& r : load.results())
      late += r.sent_at > bound && world.ledger.Of(r.id).version == "v2";
  }
  const std::string state = world.MoveState("pay", "v2");
  const std::string summary =
      std::to_string(starts.size()) + " requests to v2, " +
      std::to_string(failures.size()) + " bad answers, " +
      std::to_string(late) +
      " sent later than 5 s after the 50th bad answer (EXPOSURE allows none); "
      "outcome: " +
      (state.empty() ? "none" : state);
  world.record.Add(summary);
  std::puts(summary.c_str());
  world.record.Write(record_path);
  return late == 0;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunCase(argc, argv, Run);
}
