// Two of the three hosts of a zone get SIGTERM, one second apart, while
// requesters go on sending; once more when both are back.
#include <signal.h>

#include <cstdio>

#include "world.hpp"

namespace {

using namespace standins;

constexpr double kRequestsPerS = 50;
constexpr double kTrafficS = 28;
// Half a second apart with regard to the readiness checks.
constexpr double kRollsAt[] = {4, 16.5};
// The smallest pause that the site file has for roll_term.
constexpr double kGapS = 1.0;
constexpr double kGraceS = 6;
// From the rule: requests later than this after the SIGTERM are not excused by
// an instance that is still at work.
constexpr double kExcusedS = 3;
constexpr double kDeadlineS = 2;

struct stop {
  std::string host;
  double at;
};

bool Run(const std::string& folder, const std::string& record_path) {
  deployment_settings settings;
  for (int i = 1; i <= 3; ++i)
    settings.hosts.push_back({"edge-zone-a-" + std::to_string(i), "zone-a"});
  instance_settings one;
  one.min_work_s = 0.2;
  one.max_work_s = 1.7;
  settings.instances.assign(36, one);
  settings.timeout_s = kDeadlineS;
  deployment world(settings, folder);
  world.Start();
  world.KeepHostsRunning();

  std::mutex mutex;
  std::vector<attempt_result> results;
  std::vector<stop> stops;
  std::atomic<int> open = 0;
  const double started = Now();
  std::size_t next_stop = HasTrouble() ? 0 : 4;
  std::mt19937 random(1);
  for (int sent = 0; Now() < started + kTrafficS; ++sent) {
    SleepFor(started + sent / kRequestsPerS - Now());
    if (next_stop < 4 &&
        Now() >= started + kRollsAt[next_stop / 2] +
                     kGapS * static_cast<double>(next_stop % 2)) {
      entry_host& host = *world.hosts[next_stop++ % 2];
      host.Signal(SIGTERM);
      stops.push_back({host.settings().name, Now()});
      world.record.Add("SIGTERM to " + host.settings().name);
    }
    entry_host& host = world.rotation->Choose("zone-a", random());
    ++open;
    std::thread([&, host = &host] {
      connection fresh;
      attempt_settings request;
      request.deadline_s = kDeadlineS;
      const attempt_result result = SendAttempt(*host, fresh, request);
      world.record.Add(result.text());
      std::lock_guard lock(mutex);
      results.push_back(result);
      --open;
    }).detach();
  }
  while (open > 0)
    SleepFor(0.05);

  int lost = 0;
  int answered = 0;
  for (const attempt_result& r : results) {
    answered += r.status == 200;
    if (!r.is_connected || !r.is_cut || world.ledger.Of(r.id).arrivals == 0)
      continue;
    for (const stop& s : stops)
      if (s.host == r.host && r.sent_at > s.at + kExcusedS &&
          r.ended_at < s.at + kGraceS + 1) {
        ++lost;
        world.record.Add("LOST " + r.id + ": sent " +
                         std::to_string(r.sent_at - s.at) +
                         " s after the SIGTERM of " + s.host +
                         ", passed on to an instance, not answered");
      }
  }
  const std::string summary = std::to_string(results.size()) + " requests, " +
                              std::to_string(answered) +
                              " answered with 200, " + std::to_string(lost) +
                              " lost (LOST allows none)";
  world.record.Add(summary);
  std::puts(summary.c_str());
  world.record.Write(record_path);
  return lost == 0;
}

}  // namespace

int main(int argc, char** argv) {
  return standins::RunCase(argc, argv, Run);
}
