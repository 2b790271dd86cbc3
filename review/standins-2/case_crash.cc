// Servers crash for reasons of their own while they run an ordinary request
// that its callers send again and again.
#include <algorithm>
#include <cstdlib>

#include "world.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kServers = 20;
// srv_crash: the share .14 of a service's servers, down for 4.5 s.
constexpr std::size_t kCrashed = 2;
constexpr std::size_t kCrashes = 3;
constexpr milliseconds kDownTime{4'500};
constexpr milliseconds kBetweenCrashes{6'000};
constexpr int kReaders = 36;
constexpr int kPayers = 4;
constexpr std::chrono::seconds kCalmBefore{4};
// `recoverS` of the settings.
constexpr std::chrono::seconds kRecover{15};
constexpr std::chrono::seconds kJudged{6};
// RULES.md, "Starved".
constexpr double kStarvedShare = 0.25;

enum phase { kBefore, kDuring, kRecovering, kAfter, kPhases };
constexpr const char* kPhaseNames[] = {"before", "from the first crash on",
                                       "in the 15 s after the last return",
                                       "later"};

struct kind_counts {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  double share() const {
    return asked == 0
               ? 1
               : static_cast<double>(served) / static_cast<double>(asked);
  }
};

int Main(const std::string& record, bool has_trouble) {
  world w(record);
  w.PutConfig({{"read", "/read/", "idempotent", 2, 0.6, 2, "core"},
               {"pay", "/pay/", "non_idempotent", 2, 0.6, 2, "core"}});
  std::vector<backend*> servers;
  servers.reserve(kServers);
  for (int i = 0; i < kServers; ++i)
    servers.push_back(&w.AddBackend({.id = "i-" + std::to_string(i),
                                     .pool = "core",
                                     .zone = i % 2 == 0 ? "zone-a" : "zone-b",
                                     .work = milliseconds(220)}));
  for (int i = 0; i < kHosts; ++i)
    w.AddHost("edge-" + std::to_string(i), i % 2 == 0 ? "zone-a" : "zone-b");
  if (!w.StartHosts())
    return 2;
  std::atomic<phase> at = kBefore;
  std::atomic<bool> is_over = false;
  std::mutex mutex;
  kind_counts counts[kPhases][2];
  std::vector<std::thread> callers;
  callers.reserve(kReaders + kPayers);
  for (int i = 0; i < kReaders + kPayers; ++i)
    callers.emplace_back([&, i] {
      const bool pays = i >= kReaders;
      constexpr milliseconds kDeadline{1'500};
      constexpr milliseconds kPause{100};
      for (int n = i; !is_over; ++n) {
        const phase began = at;
        const call_result r = w.Call(
            w.hosts()[static_cast<std::size_t>(n % kHosts)]->front(),
            pays ? "POST" : "GET", pays ? "/pay/x" : "/read/balance", kDeadline,
            pays ? "order " + std::to_string(n * 100 + i) : "");
        if (r.status != 200)
          w.Note(std::string(pays ? "pay " : "read ") + r.request + " got " +
                 std::to_string(r.status) + " " +
                 r.body.substr(0, r.body.find('\n')));
        {
          const std::lock_guard lock(mutex);
          kind_counts& c = counts[began][pays ? 1 : 0];
          ++c.asked;
          c.served += r.status == 200 ? 1 : 0;
        }
        std::this_thread::sleep_for(kPause);
      }
    });
  std::this_thread::sleep_for(kCalmBefore);
  at = kDuring;
  for (std::size_t crash = 0; crash < kCrashes; ++crash) {
    const time_point next = clock::now() + kBetweenCrashes;
    for (std::size_t i = 0; has_trouble && i < kCrashed; ++i) {
      backend& server = *servers.at(crash * kCrashed + i);
      w.Note(server.settings().id + " crashes, runs " +
             std::to_string(server.Crash()) + " requests");
    }
    std::this_thread::sleep_for(kDownTime);
    for (std::size_t i = 0; has_trouble && i < kCrashed; ++i) {
      backend& server = *servers.at(crash * kCrashed + i);
      server.Restart();
      w.Report(server);
      w.Note(server.settings().id + " is back");
    }
    std::this_thread::sleep_until(next);
  }
  at = kRecovering;
  std::this_thread::sleep_for(kRecover);
  at = kAfter;
  std::this_thread::sleep_for(kJudged);
  is_over = true;
  for (std::thread& caller : callers)
    caller.join();
  for (std::size_t p = 0; p < kPhases; ++p)
    w.Note(std::string(kPhaseNames[p]) + ": read asked " +
           std::to_string(counts[p][0].asked) + ", served " +
           std::to_string(counts[p][0].served) + "; pay asked " +
           std::to_string(counts[p][1].asked) + ", served " +
           std::to_string(counts[p][1].served));
  const kind_counts& read = counts[kAfter][0];
  const kind_counts& pay = counts[kAfter][1];
  const kind_counts all{read.asked + pay.asked, read.served + pay.served};
  const bool is_broken =
      std::min(read.share(), pay.share()) < kStarvedShare * all.share();
  w.Note(is_broken ? "broken" : "held");
  return is_broken ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  try {
    return argc == 2 ? review::Main(argv[1], trouble == nullptr ||
                                                 std::string(trouble) != "0")
                     : 2;
  } catch (const std::exception&) {
    return 2;
  }
}
