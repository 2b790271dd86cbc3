// A request that crashes each instance that runs it comes again at each host
// after that host's restart.
#include <signal.h>

#include <cstdio>

#include "world.hpp"

namespace {

using namespace standins;

constexpr std::size_t kHosts = 3;
constexpr double kBetweenRetriesS = 0.7;
constexpr int kRetriesAtHost = 4;
// The rule's bounds.
constexpr double kContactWindowS = 3;
constexpr int kAllowed = 3;

bool Run(const std::string& folder, const std::string& record_path) {
  deployment_settings settings;
  for (std::size_t i = 1; i <= kHosts; ++i)
    settings.hosts.push_back({"edge-zone-a-" + std::to_string(i), "zone-a"});
  settings.instances.assign(16, instance_settings());
  deployment world(settings, folder);
  world.Start();
  world.KeepHostsRunning();
  for (auto& i : world.instances)
    i->crashing_path = "/pay/crash";

  attempt_settings crashing;
  crashing.path = "/pay/crash";
  // Returns how many instances the retry reached.
  const auto retry = [&](std::size_t host) {
    connection fresh;
    const attempt_result result =
        SendAttempt(*world.hosts[host], fresh, crashing);
    world.record.Add(result.text());
    return world.ledger.Of(result.id).arrivals;
  };

  int crashes = 0;
  for (std::size_t i = 0; crashes < 3 && i < 12; ++i) {
    crashes += retry(i % kHosts);
    SleepFor(kBetweenRetriesS);
  }
  if (crashes < 3)
    throw std::runtime_error("the request did not crash three instances");
  world.record.Add("the request has crashed the third instance");
  SleepFor(kContactWindowS + 0.5);

  int reached = 0;
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (HasTrouble()) {
      world.hosts[i]->Signal(SIGTERM);
      world.record.Add("SIGTERM to " + world.hosts[i]->settings().name);
      while (world.rotation->IsInRotation(i))
        SleepFor(0.05);
      while (!world.rotation->IsInRotation(i))
        SleepFor(0.05);
      SleepFor(kContactWindowS + 0.5);
    }
    for (int k = 0; k < kRetriesAtHost; ++k) {
      const bool has_reached = retry(i) > 0;
      reached += has_reached;
      if (has_reached)
        world.record.Add("a retry reached an instance again");
      SleepFor(kBetweenRetriesS);
    }
  }
  const std::string summary = std::to_string(reached) +
                              " retries reached instances later than 3 s after "
                              "the third crash, allowed 3";
  world.record.Add(summary);
  std::puts(summary.c_str());
  world.record.Write(record_path);
  return reached <= kAllowed;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunCase(argc, argv, Run);
}
