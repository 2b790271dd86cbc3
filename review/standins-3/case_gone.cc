// Requesters send further idempotent requests before the first has been
// answered, and leave before their deadline.
#include <sys/socket.h>

#include "world.h"

using namespace world;

namespace {

// Three of ten requesters leave.
constexpr int kConnections = 80;
constexpr bool Leaves(int n) {
  return n % 10 < 3;
}
constexpr int kRequests = 3;  // On each connection.
constexpr long kDeadline = 4'000;
constexpr long kLeaveAfter = 150;
constexpr long kWork = 800;
// "More than a few."
constexpr int kFew = 5;

}  // namespace

int main(int, char** argv) {
  OpenRecord(std::string(argv[1]) + "/record.txt");
  store s(FreePort());
  s.Put("keyed.op", "config",
        Configuration(12, {{"archive", "alpha", "idempotent", 4, 3, 2}},
                      {"alpha"}));
  std::vector<std::unique_ptr<instance>> instances;
  instances.reserve(12);
  for (int i = 0; i < 12; ++i)
    instances.push_back(std::make_unique<instance>(
        s, instance_options{"i-" + std::to_string(i), "alpha",
                            i % 2 == 0 ? "z-a" : "z-b", "v1", 6, kWork}));
  std::vector<host> hosts =
      MakeHosts(3, [](int i) { return i % 2 == 0 ? "z-a" : "z-b"; });
  for (host& h : hosts)
    StartHost(h, hosts, s.port(), argv[2]);
  AwaitReady(hosts);
  // Longer than contactWindowS: the machines are in touch.
  SleepMs(4'000);
  std::atomic<int> served = 0, began_after = 0, at_work = 0, would_last = 0,
                   left = 0;
  std::vector<std::thread> requesters;
  for (int n = 0; n < kConnections; ++n) {
    SleepMs(125);
    requesters.emplace_back([&, n] {
      const host& h = hosts[static_cast<std::size_t>(n) % hosts.size()];
      const auto c = Connect(h.front, 1'000);
      if (!c)
        return;
      std::string bytes;
      std::vector<std::string> ids;
      for (int i = 0; i < kRequests; ++i) {
        ids.push_back("p" + std::to_string(n) + "-" + std::to_string(i));
        bytes += "GET /archive/" + ids.back() +
                 " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + ids.back() +
                 "\r\nRequest-Deadline-Ms: " + std::to_string(kDeadline) +
                 "\r\n\r\n";
      }
      c->Write(bytes);
      Record("sent " + ids.front() + " and " + std::to_string(kRequests - 1) +
             " more at " + h.name);
      if (IsCalm() || !Leaves(n)) {
        for (const std::string& id : ids) {
          http_message m;
          if (!c->Read(m, kDeadline, true))
            break;
          served += m.status() == 200 && m.Header("Attempt-Id") == id ? 1 : 0;
          Record("answer " + std::to_string(m.status()) + " to " +
                 m.Header("Attempt-Id"));
        }
        return;
      }
      SleepMs(kLeaveAfter);
      shutdown(c->fd(), SHUT_RDWR);
      const long closed = Now();
      Record("the requester of " + ids.front() + " has closed its connection");
      ++left;
      SleepMs(5'000);
      for (const std::string& id : ids) {
        const run_times run = RunsOf(id);
        if (run.runs == 0)
          continue;
        const bool is_after = run.began > closed + 500;
        const bool is_at_work =
            run.began <= closed + 500 && run.ended > closed + 500;
        began_after += is_after ? 1 : 0;
        at_work += is_at_work ? 1 : 0;
        // Those that were at an instance at the close.
        would_last +=
            run.began <= closed && run.began + kWork > closed + 500 ? 1 : 0;
        Record("run of " + id + " from " + std::to_string(run.began - closed) +
               " to " + std::to_string(run.ended - closed) +
               " ms after the close" +
               (is_after ? ": reached an instance after the requester had left"
                         : ""));
      }
    });
  }
  for (std::thread& t : requesters)
    t.join();
  EndHosts(hosts);
  const int staying = kConnections - left;
  Record("result " + std::to_string(served) + " of " +
         std::to_string(staying * kRequests) +
         " requests of those that stayed served; " + std::to_string(left) +
         " requesters left; " + std::to_string(began_after) +
         " requests reached an instance over 0.5 s later; instances were still "
         "at work on " +
         std::to_string(at_work) + " of " + std::to_string(would_last));
  const bool is_broken = began_after > kFew || at_work * 4 > would_last;
  Record(is_broken ? "BROKEN GONE" : "held");
  std::_Exit(is_broken ? 1 : 0);
}
