// The settings of a host change while it runs: graceS is 4 from then on, in
// place of 6. A planned stop follows 5 s later.
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>

#include "world.h"

using namespace world;

namespace {

constexpr long kDeadline = 1'200;
constexpr int kPerSecond = 20;

struct sent {
  answer a;
  long at = 0;
};

}  // namespace

int main(int, char** argv) {
  OpenRecord(std::string(argv[1]) + "/record.txt");
  const int grace = IsCalm() ? 6 : 4;
  store s(FreePort());
  s.Put("keyed.op", "config",
        Configuration(12, {{"pay", "alpha", "non_idempotent", 1.2, 0.4, 1}},
                      {"alpha"}));
  std::vector<std::unique_ptr<instance>> instances;
  instances.reserve(12);
  for (int i = 0; i < 9; ++i)
    instances.push_back(std::make_unique<instance>(
        s, instance_options{"i-" + std::to_string(i), "alpha",
                            std::string("z-") + "abc"[i % 3], "v1", 2, 300}));
  std::vector<host> hosts =
      MakeHosts(3, [](int i) { return std::string("z-") + "abc"[i]; });
  for (host& h : hosts)
    StartHost(h, hosts, s.port(), argv[2]);
  AwaitReady(hosts);
  SleepMs(1'000);
  const long traffic = Now();
  const long stop_at = traffic + 8'000;
  long killed_at = -1;
  std::thread operators([&] {
    SleepMs(3'000);
    if (!IsCalm()) {
      WriteSettings(hosts[0], hosts, s.port(), grace);
      kill(hosts[0].pid, SIGHUP);
      Record("graceS of edge-0 is 4 from now on; SIGHUP");
    }
    SleepMs(std::max(0L, stop_at - Now()));
    Record("SIGTERM to edge-0");
    kill(hosts[0].pid, SIGTERM);
    while (Now() < stop_at + 1'000L * grace) {
      if (waitpid(hosts[0].pid, nullptr, WNOHANG) == hosts[0].pid) {
        Record("edge-0 has ended");
        hosts[0].pid = -1;
        return;
      }
      SleepMs(5);
    }
    Record("graceS is over: SIGKILL to edge-0");
    killed_at = Now();
    kill(hosts[0].pid, SIGKILL);
  });
  // The zone has one machine. While it is not in rotation, that is fewer than
  // half, so the platform goes on to use it.
  std::mutex mutex;
  std::vector<sent> all;
  std::vector<std::thread> requesters;
  for (int n = 0; n < 15 * kPerSecond; ++n) {
    const long due = traffic + n * 1'000 / kPerSecond;
    if (due > Now())
      SleepMs(due - Now());
    requesters.emplace_back([&] {
      sent one;
      one.at = Now();
      one.a = Ask(hosts[0], "pay", kDeadline, "PUT", "amount=1");
      std::lock_guard lock(mutex);
      all.push_back(std::move(one));
    });
  }
  for (std::thread& t : requesters)
    t.join();
  operators.join();
  SleepMs(500);
  EndHosts(hosts);
  int lost = 0, served = 0;
  for (const sent& one : all) {
    served += one.a.status == 200 ? 1 : 0;
    const run_times run = RunsOf(one.a.id);
    const bool is_cut =
        one.a.status == 0 && run.runs > 0 && one.a.taken < kDeadline - 50;
    if (!is_cut || one.at > stop_at + 1'000L * (grace + 1) ||
        one.at + one.a.taken < stop_at)
      continue;
    // Not counted: the instance was still at work in the last sixth of graceS
    // on a request that was sent no later than 3 s after the SIGTERM.
    const bool is_excused =
        one.at <= stop_at + 3'000 && run.ended > stop_at + 5'000L * grace / 6;
    Record("cut " + one.a.id + " sent " + std::to_string(one.at - stop_at) +
           " ms after the SIGTERM, run from " +
           std::to_string(run.began - stop_at) + " to " +
           std::to_string(run.ended - stop_at) +
           (is_excused ? " excused" : " LOST"));
    lost += is_excused ? 0 : 1;
  }
  Record("result " + std::to_string(lost) + " lost, " + std::to_string(served) +
         " of " + std::to_string(all.size()) + " served");
  Record(lost > 0 ? "BROKEN LOST" : "held");
  std::_Exit(lost > 0 ? 1 : 0);
}
