// An instance is cut off from the store for 5 s, and the store removes its
// entry. Some two seconds before, the first host was started again after a
// planned stop.
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdlib>

#include "world.h"

using namespace world;

namespace {

constexpr int kPerSecond = 40;
constexpr long kDrain = 2'000;
constexpr long kHeartbeat = 1'500;

struct sent {
  std::string id, host;
};

}  // namespace

int main(int, char** argv) {
  OpenRecord(std::string(argv[1]) + "/record.txt");
  // Controls: TROUBLE=cut leaves out the restart, TROUBLE=restart the cut.
  const char* set = std::getenv("TROUBLE");
  const std::string trouble = set == nullptr ? "" : set;
  const bool restarts = trouble.empty() || trouble == "restart";
  const bool cuts = trouble.empty() || trouble == "cut";
  store s(FreePort());
  s.Put("keyed.op", "config",
        Configuration(12, {{"read", "alpha", "idempotent"}}, {"alpha"}));
  std::vector<std::unique_ptr<instance>> instances;
  instances.reserve(12);
  for (int i = 0; i < 6; ++i)
    instances.push_back(std::make_unique<instance>(
        s, instance_options{"i-" + std::to_string(i), "alpha", "z-a"}));
  std::vector<host> hosts = MakeHosts(4, [](int) { return "z-a"; });
  for (host& h : hosts)
    StartHost(h, hosts, s.port(), argv[2]);
  AwaitReady(hosts);
  const long traffic = Now();
  std::atomic<bool> is_over = false;
  std::mutex mutex;
  std::vector<sent> all;
  std::vector<std::thread> requesters;
  std::thread traffic_source([&] {
    for (int n = 0; !is_over; ++n) {
      const long due = traffic + n * 1'000 / kPerSecond;
      if (due > Now())
        SleepMs(due - Now());
      requesters.emplace_back([&, n] {
        // The first host is not asked: it is not in touch.
        const host& h = hosts[1 + static_cast<std::size_t>(n) % 3];
        const answer a = Ask(h, "read", 1'500);
        std::lock_guard lock(mutex);
        all.push_back({a.id, h.name});
      });
    }
  });
  SleepMs(5'000);
  // The instance that the hosts use most.
  instance& x = **std::max_element(
      instances.begin(), instances.end(),
      [](const auto& a, const auto& b) { return a->runs() < b->runs(); });
  const long before = x.reported_at();
  while (x.reported_at() == before)
    SleepMs(2);
  std::thread operators([&, at = x.reported_at() + 1'150] {
    if (!restarts)
      return;
    SleepMs(std::max(0L, at - Now()));
    Record("SIGTERM to " + hosts[0].name);
    kill(hosts[0].pid, SIGTERM);
    waitpid(hosts[0].pid, nullptr, 0);
    Record(hosts[0].name + " has ended");
    SleepMs(300);
    StartHost(hosts[0], hosts, s.port(), argv[2]);
  });
  const long first = x.reported_at();
  while (x.reported_at() == first)
    SleepMs(2);
  const long reported = x.reported_at();
  SleepMs(std::max(0L, reported + kHeartbeat - 300 - Now()));
  x.SetCutOff(cuts);
  const long cut_at = Now();
  Record((cuts ? "cut off from the store: " : "not cut off: ") + x.id());
  long removed = -1;
  while (Now() < cut_at + 5'000) {
    if (x.removed_at() >= 0)
      removed = x.removed_at();
    SleepMs(5);
  }
  x.SetCutOff(false);
  Record("the cut has healed");
  const long healed = Now();
  while (removed >= 0 && x.removed_at() >= 0 && Now() < healed + 3'000)
    SleepMs(2);
  const long back = Now();
  Record(x.id() + " has an entry again");
  SleepMs(1'000);
  is_over = true;
  operators.join();
  traffic_source.join();
  for (std::thread& t : requesters)
    t.join();
  EndHosts(hosts);
  int late = 0;
  for (const sent& one : all) {
    const run_times run = RunsOf(one.id);
    if (removed < 0 || run.runs == 0 || run.by != x.id() ||
        run.began <= removed + kDrain || run.began >= back)
      continue;
    ++late;
    Record("DRAIN: " + one.id + " reached " + x.id() + " from " + one.host +
           " " + std::to_string(run.began - removed) +
           " ms after the store had removed its entry");
  }
  Record("result " + std::to_string(late) + " requests reached " + x.id() +
         " later than drainS after its entry was removed");
  Record(late > 0 ? "BROKEN DRAIN" : "held");
  std::_Exit(late > 0 ? 1 : 0);
}
