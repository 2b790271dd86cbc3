// The store is down for some seconds. Later one of two zones loses power, and a
// configuration that moves the route to another service is written.
#include <signal.h>

#include <cstdio>

#include "world.hpp"

namespace {

using namespace standins;

constexpr int kLostHosts = 3;
constexpr int kOtherHosts = 2;
// As in the site file's zone_loss.
constexpr double kZoneLossS = 5.5;
// As in the site file's platform_down with how = "busy".
constexpr double kStoreDownS = 4.5;
constexpr double kStoreIdleTimeoutS = 10;
// Calm time after the outage, in which the store closes idle connections.
constexpr double kCalmS = 16;
constexpr double kConfigAfterS = 0.2;
// The rule's bound, configApplyS.
constexpr double kBoundS = 2;
constexpr double kRequestsPerS = 40;

// A stopped process answers nothing, like a machine without power; killed, it
// is started again.
void Signal(deployment& world, int signal) {
  if (!HasTrouble())
    return;
  for (std::size_t i = 0; i < kLostHosts; ++i)
    world.hosts[i]->Signal(signal);
  world.record.Add(signal == SIGSTOP ? "zone-a loses power"
                                     : "zone-a has power again");
}

bool Run(const std::string& folder, const std::string& record_path) {
  deployment_settings settings;
  for (int i = 1; i <= kLostHosts; ++i)
    settings.hosts.push_back({"edge-zone-a-" + std::to_string(i), "zone-a"});
  for (int i = 1; i <= kOtherHosts; ++i)
    settings.hosts.push_back({"edge-zone-b-" + std::to_string(i), "zone-b"});
  instance_settings one;
  one.zone = "zone-b";
  one.service = "old";
  settings.instances.assign(6, one);
  one.service = "new";
  one.version = "v1-new";
  settings.instances.insert(settings.instances.end(), 6, one);
  deployment world(settings, folder);
  world.registry.idle_timeout_s = kStoreIdleTimeoutS;
  world.Start();
  world.KeepHostsRunning();
  if (HasTrouble()) {
    world.registry.is_down = true;
    world.record.Add("the store answers 503");
  }
  SleepFor(kStoreDownS);
  world.registry.is_down = false;
  world.record.Add("the store is up");
  SleepFor(kCalmS);

  Signal(world, SIGSTOP);
  const double lost_at = Now();
  SleepFor(kConfigAfterS);
  world.PutConfiguration(2, "new");
  const double acked_at = Now();
  world.record.Add("configuration 2 acknowledged: the route moves to new");

  std::mutex mutex;
  std::vector<attempt_result> results;
  std::atomic<int> open = 0;
  bool is_lost = true;
  const double started = Now();
  for (int sent = 0; Now() < acked_at + 8; ++sent) {
    SleepFor(started + sent / kRequestsPerS - Now());
    if (is_lost && Now() > lost_at + kZoneLossS) {
      Signal(world, SIGKILL);
      is_lost = false;
    }
    // Only hosts without any disruption.
    entry_host& host = *world.hosts[kLostHosts + sent % kOtherHosts];
    ++open;
    std::thread([&, host = &host] {
      connection fresh;
      const attempt_result result = SendAttempt(*host, fresh, {});
      world.record.Add(result.text());
      std::lock_guard lock(mutex);
      results.push_back(result);
      --open;
    }).detach();
  }
  while (open > 0)
    SleepFor(0.05);

  int stale = 0;
  double latest = 0;
  for (const attempt_result& r : results)
    if (r.sent_at > acked_at + kBoundS &&
        world.ledger.Of(r.id).version == "v1") {
      ++stale;
      latest = std::max(latest, r.sent_at - acked_at);
      world.record.Add("STALE " + r.id + " at " + r.host + ": sent " +
                       std::to_string(r.sent_at - acked_at) +
                       " s after the ack, run by the old service");
    }
  const std::string summary =
      std::to_string(results.size()) + " requests, " + std::to_string(stale) +
      " run by the old service later than 2 s after the ack, the last sent " +
      std::to_string(latest) + " s after it";
  world.record.Add(summary);
  std::puts(summary.c_str());
  world.record.Write(record_path);
  return stale == 0;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunCase(argc, argv, Run);
}
