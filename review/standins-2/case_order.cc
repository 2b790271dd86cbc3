// A bad version is rolled back, and the operator orders the next version while
// the bad version's servers are still there.
#include <algorithm>
#include <cstdlib>

#include "world.h"

namespace review {
namespace {

constexpr int kHosts = 3;
constexpr int kServersPerVersion = 29;
constexpr int kCallers = 45;
constexpr milliseconds kWork{60};
constexpr milliseconds kPause{250};
constexpr std::chrono::seconds kCalm{4};
constexpr double kOrderSeconds = 8;
// The part of its requests, of 100, that the bad version fails.
constexpr int kFailedPercent = 20;
// From the verdict to the next order, and to the draining of the rolled back
// servers ("some seconds later").
constexpr milliseconds kNextOrderDelay{500};
constexpr milliseconds kDrainDelay{4'000};
// `drainS` of the settings: a draining server serves this long and a little.
constexpr milliseconds kDrainTime{2'300};
// `exposeShare` and `exposeSlack` of the settings.
constexpr double kExposeShare = 0.1;
constexpr double kExposeSlack = 50;
constexpr char kStatusKey[] = "rollout/core";

std::vector<backend*> AddVersion(world& w,
                                 const std::string& version,
                                 int failed_percent) {
  std::vector<backend*> added;
  added.reserve(kServersPerVersion);
  for (int i = 0; i < kServersPerVersion; ++i)
    added.push_back(&w.AddBackend({.id = version + "-" + std::to_string(i),
                                   .pool = "core",
                                   .zone = i % 2 == 0 ? "zone-a" : "zone-b",
                                   .version = version,
                                   .work = kWork,
                                   .failed_percent = failed_percent}));
  return added;
}

void Order(world& w, const std::string& version) {
  w.platform().Put("keyed.op", kStatusKey,
                   R"({"service":"core","targetVersion":")" + version +
                       R"(","durationS":)" + std::to_string(kOrderSeconds) +
                       "}");
  w.Note("the operator orders " + version);
}

// Waits for the verdict on `version`; empty if there is none in time.
std::string WaitForVerdict(world& w,
                           const std::string& version,
                           time_point end) {
  constexpr milliseconds kInterval{20};
  while (clock::now() < end) {
    const std::string status = w.platform().Newest("keyed.status", kStatusKey);
    if (status.find("\"" + version + "\"") != std::string::npos)
      for (const char* verdict : {"rolled_back", "completed"})
        if (status.find(verdict) != std::string::npos)
          return verdict;
    std::this_thread::sleep_for(kInterval);
  }
  return "";
}

void DrainAndRemove(world& w, const std::vector<backend*>& servers) {
  for (backend* server : servers) {
    server->Drain();
    w.Report(*server);
  }
  w.Note(servers.front()->settings().version + " drains");
  std::this_thread::sleep_for(kDrainTime);
  for (backend* server : servers)
    w.RemoveBackend(*server);
  w.Note(servers.front()->settings().version + " is gone");
}

int Main(const std::string& record, bool has_trouble) {
  world w(record);
  w.PutConfig({{"read", "/read/", "idempotent", 2, 0.6, 2, "core"},
               {"pay", "/pay/", "non_idempotent", 2, 0.6, 2, "core"}});
  AddVersion(w, "v1", 0);
  for (int i = 0; i < kHosts; ++i)
    w.AddHost("edge-" + std::to_string(i), i % 2 == 0 ? "zone-a" : "zone-b");
  if (!w.StartHosts())
    return 2;
  std::atomic<bool> is_over = false;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back([&, i] {
      const bool pays = i % 2 == 0;
      constexpr milliseconds kDeadline{2'000};
      for (int n = i; !is_over; ++n) {
        w.Call(w.hosts()[static_cast<std::size_t>(n % kHosts)]->front(),
               pays ? "POST" : "GET", pays ? "/pay/x" : "/read/x", kDeadline);
        std::this_thread::sleep_for(kPause);
      }
    });
  std::this_thread::sleep_for(kCalm);
  const std::vector<backend*> bad = AddVersion(w, "v2", kFailedPercent);
  const time_point ordered = clock::now();
  const time_point deadline =
      ordered + milliseconds(static_cast<std::int64_t>(kOrderSeconds * 1000));
  Order(w, "v2");
  const std::string verdict = WaitForVerdict(w, "v2", deadline);
  const time_point decided = clock::now();
  w.Note("status of v2: " + verdict);
  std::thread next([&] {
    std::this_thread::sleep_for(has_trouble ? kNextOrderDelay
                                            : kDrainDelay + kDrainTime +
                                                  milliseconds(1'000));
    AddVersion(w, "v3", 0);
    Order(w, "v3");
  });
  std::this_thread::sleep_for(kDrainDelay);
  DrainAndRemove(w, bad);
  next.join();
  std::this_thread::sleep_until(deadline + milliseconds(500));
  is_over = true;
  for (std::thread& caller : callers)
    caller.join();
  std::uint64_t all = 0;
  std::uint64_t at_bad = 0;
  std::uint64_t before_verdict = 0;
  std::uint64_t failed = 0;
  std::uint64_t failed_payments = 0;
  for (const run_record& run : w.runs()) {
    if (run.at < ordered || run.at > deadline)
      continue;
    ++all;
    if (run.version != "v2")
      continue;
    ++at_bad;
    before_verdict += run.at < decided ? 1 : 0;
    if (run.at >= decided)
      w.Note("after the verdict " + run.method + " " + run.target + " " +
             run.request + " ran at " + run.server + ", answer " +
             std::to_string(run.status));
    if (run.status != 200) {
      ++failed;
      failed_payments += run.method == "POST" ? 1 : 0;
    }
  }
  const double allowed = kExposeShare * static_cast<double>(all) + kExposeSlack;
  w.Note("from the order of v2 to its deadline: " + std::to_string(all) +
         " requests reached the service, " + std::to_string(at_bad) +
         " of them v2 (allowed " + std::to_string(allowed) + "), " +
         std::to_string(before_verdict) + " before the verdict; " +
         std::to_string(failed) + " failed, " +
         std::to_string(failed_payments) + " of them payments");
  if (verdict != "rolled_back")
    return 2;
  const bool is_broken = static_cast<double>(at_bad) > allowed;
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
