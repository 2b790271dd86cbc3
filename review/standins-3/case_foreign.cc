// Another writer leaves one odd entry under the id of an instance: it lacks the
// fields "warmupLeftS" and "born", and names another service.
#include "world.h"

using namespace world;

namespace {

constexpr int kSeconds = 10;
constexpr int kPerSecond = 30;  // Of each kind of request.
constexpr long kDeadline = 1'200;

}  // namespace

int main(int, char** argv) {
  OpenRecord(std::string(argv[1]) + "/record.txt");
  store s(FreePort());
  s.Put("keyed.op", "config",
        Configuration(12,
                      {{"listing", "alpha", "idempotent"},
                       {"lease", "beta", "non_idempotent"}},
                      {"alpha", "beta"}));
  std::vector<std::unique_ptr<instance>> instances;
  for (const std::string service : {"alpha", "beta"})
    for (int i = 0; i < 4; ++i)
      instances.push_back(std::make_unique<instance>(
          s, instance_options{"i-" + service + std::to_string(i), service,
                              i % 2 == 0 ? "z-a" : "z-b", "v1", 2, 200}));
  std::vector<host> hosts =
      MakeHosts(3, [](int i) { return i % 2 == 0 ? "z-a" : "z-b"; });
  for (host& h : hosts)
    StartHost(h, hosts, s.port(), argv[2]);
  AwaitReady(hosts);
  // Longer than contactWindowS: the machines are in touch.
  SleepMs(4'000);
  const long traffic = Now();
  std::thread writer([&] {
    SleepMs(3'000);
    if (IsCalm())
      return;
    // Just after a report of the instance; its next one, 1.5 s later, replaces
    // the odd entry.
    const auto reported = s.Newest("keyed.servers", instances[0]->id());
    while (s.Newest("keyed.servers", instances[0]->id()) == reported)
      SleepMs(5);
    const std::string odd =
        "{\"service\":\"beta\",\"address\":\"127.0.0.1:" +
        std::to_string(instances[0]->port()) +
        "\",\"zone\":\"z-a\",\"version\":\"v1\",\"slots\":2,"
        "\"state\":\"ready\",\"sequence\":1}";
    s.Put("keyed.servers", instances[0]->id(), odd);
    Record("odd entry " + instances[0]->id() + " " + odd);
  });
  std::vector<std::thread> requesters;
  std::mutex mutex;
  std::vector<std::string> leases;
  std::atomic<int> served = 0;
  for (int n = 0; n < kSeconds * kPerSecond; ++n) {
    const long due = traffic + n * 1'000 / kPerSecond;
    if (due > Now())
      SleepMs(due - Now());
    for (const bool is_lease : {false, true})
      requesters.emplace_back([&, n, is_lease] {
        const host& h = hosts[static_cast<std::size_t>(n) % hosts.size()];
        const answer a = is_lease
                             ? Ask(h, "lease", kDeadline, "PUT", "deposit=1")
                             : Ask(h, "listing", kDeadline);
        served += a.status == 200 ? 1 : 0;
        if (!is_lease)
          return;
        std::lock_guard lock(mutex);
        leases.push_back(a.id);
        const std::string by = a.message.Header("Response-Signature");
        if (by.starts_with("s-i-alpha"))
          Record("the requester of " + a.id + " gets status " +
                 std::to_string(a.status) + " with the signature " + by);
      });
  }
  for (std::thread& t : requesters)
    t.join();
  writer.join();
  EndHosts(hosts);
  int foreign = 0;
  for (const std::string& id : leases) {
    const run_times run = RunsOf(id);
    if (run.runs > 0 && run.by.starts_with("i-alpha")) {
      ++foreign;
      Record("ROUTE: " + id + " of the service beta was run by " + run.by);
    }
  }
  Record("result " + std::to_string(foreign) + " of " +
         std::to_string(leases.size()) +
         " requests for beta run by an instance of alpha; " +
         std::to_string(served) + " of " +
         std::to_string(2 * kSeconds * kPerSecond) + " served");
  Record(foreign > 0 ? "BROKEN ROUTE" : "held");
  std::_Exit(foreign > 0 ? 1 : 0);
}
