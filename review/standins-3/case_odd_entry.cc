// One odd entry stands among those of the instances: its field "born" is
// missing, and its version is not that of the others.
#include <sys/stat.h>

#include "world.h"

using namespace world;

namespace {

constexpr int kSeconds = 24;
constexpr int kPerSecond = 8;  // Of each kind of request.

struct kind {
  std::string name;
  std::atomic<int> sent = 0, served = 0;
};

}  // namespace

int main(int, char** argv) {
  OpenRecord(std::string(argv[1]) + "/record.txt");
  const std::string folder = argv[2];
  store s(FreePort());
  s.Put("keyed.op", "config",
        Configuration(12,
                      {{"listing", "alpha", "idempotent"},
                       {"lease", "beta", "idempotent"}},
                      {"alpha", "beta"}));
  std::vector<std::unique_ptr<instance>> instances;
  for (const std::string service : {"alpha", "beta"})
    for (int i = 0; i < 4; ++i)
      instances.push_back(std::make_unique<instance>(
          s, instance_options{"i-" + service + std::to_string(i), service,
                              i % 2 == 0 ? "z-a" : "z-b"}));
  std::vector<host> hosts =
      MakeHosts(3, [](int i) { return i % 2 == 0 ? "z-a" : "z-b"; });
  for (host& h : hosts)
    StartHost(h, hosts, s.port(), folder);
  AwaitReady(hosts);
  SleepMs(1'000);
  kind listing{"listing"}, lease{"lease"};
  const long traffic = Now();
  // Another writer reports the odd entry as often as instances do theirs.
  std::thread writer([&] {
    const int nobody = FreePort();
    while (!IsCalm() && Now() < traffic + 1'000L * kSeconds) {
      if (Now() >= traffic + 2'000) {
        const std::string odd =
            "{\"service\":\"alpha\",\"address\":\"127.0.0.1:" +
            std::to_string(nobody) +
            "\",\"zone\":\"z-a\",\"version\":\"v0\",\"slots\":2,"
            "\"state\":\"ready\",\"sequence\":1}";
        s.Put("keyed.servers", "i-odd", odd);
        Record("odd entry i-odd " + odd);
      }
      SleepMs(1'500);
    }
  });
  std::vector<std::thread> requesters;
  for (int n = 0; n < kSeconds * kPerSecond; ++n) {
    const long due = traffic + n * 1'000 / kPerSecond;
    if (due > Now())
      SleepMs(due - Now());
    for (kind* k : {&listing, &lease})
      requesters.emplace_back([&, k, n] {
        ++k->sent;
        const long end = Now() + 1'500;
        // The first attempt, and one retry at another host after the time that
        // the first answer names.
        for (int attempt = 0; attempt < 2 && Now() < end; ++attempt) {
          const answer a =
              Ask(hosts[static_cast<std::size_t>(n + attempt) % hosts.size()],
                  k->name, end - Now());
          if (a.status == 200) {
            ++k->served;
            return;
          }
          const std::string after = a.message.Header("Retry-After");
          if (!after.empty())
            SleepMs(
                std::min(static_cast<long>(std::atof(after.c_str()) * 1'000),
                         std::max(0L, (end - Now()) / 3)));
        }
      });
  }
  for (std::thread& t : requesters)
    t.join();
  writer.join();
  EndHosts(hosts);
  const double all = static_cast<double>(listing.served + lease.served) /
                     static_cast<double>(listing.sent + lease.sent);
  int result = 0;
  for (kind* k : {&listing, &lease}) {
    const double share =
        static_cast<double>(k->served) / static_cast<double>(k->sent);
    Record("result " + k->name + ": " + std::to_string(k->served) + " of " +
           std::to_string(k->sent) + " served; all kinds " +
           std::to_string(all));
    if (share < all / 4)
      result = 1;
  }
  Record(result == 1 ? "BROKEN Starved" : "held");
  std::_Exit(result);
}
