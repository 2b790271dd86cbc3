// Callers flood two hosts with requests on routes that don't exist, on as many
// connections as the hosts accept, and leave. Afterwards one kind of ordinary
// request must still be served.
#include <algorithm>
#include <cstdlib>

#include "flood.h"
#include "world.h"

namespace review {
namespace {

constexpr int kHosts = 2;
constexpr int kCoreServers = 29;
constexpr int kPayServers = 6;
constexpr int kFloodThreads = 4;
constexpr int kConnectionsPerThread = 700;
// One connection of so many asks for the ordinary route.
constexpr int kOrdinaryEvery = 4;
constexpr std::chrono::seconds kFloodLength{12};
constexpr std::chrono::seconds kCalmBefore{4};
// `recoverS` of the settings.
constexpr std::chrono::seconds kRecover{15};
constexpr std::chrono::seconds kJudged{6};
constexpr int kCallersPerKind = 6;
// RULES.md, "Starved".
constexpr double kStarvedShare = 0.25;

struct kind_counts {
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  double share() const {
    return asked == 0
               ? 1
               : static_cast<double>(served) / static_cast<double>(asked);
  }
};

struct request_kind {
  const char* name;
  const char* method;
  const char* path;
};
constexpr request_kind kKinds[] = {{"read", "GET", "/read/x"},
                                   {"pay", "POST", "/pay/x"}};
enum phase { kBefore, kDuring, kRecovering, kAfter, kPhases };
constexpr const char* kPhaseNames[] = {"before", "during the floods",
                                       "in the 15 s after them", "later"};

class ordinary_callers {
 public:
  explicit ordinary_callers(world& w) : world_(w) {
    for (std::size_t kind = 0; kind < std::size(kKinds); ++kind)
      for (int i = 0; i < kCallersPerKind; ++i)
        threads_.emplace_back([this, kind, i] { Run(kind, i); });
  }
  void SetPhase(phase p) { phase_ = p; }
  void Stop() {
    is_stopped_ = true;
    for (std::thread& t : threads_)
      t.join();
  }
  const kind_counts& counts(phase p, std::size_t kind) const {
    return counts_[p][kind];
  }

 private:
  void Run(std::size_t kind, int number) {
    constexpr milliseconds kPause{150};
    std::size_t host = static_cast<std::size_t>(number);
    while (!is_stopped_) {
      const phase at = phase_;
      const bool is_served = Ask(kKinds[kind], host);
      {
        const std::lock_guard lock(mutex_);
        ++counts_[at][kind].asked;
        counts_[at][kind].served += is_served ? 1 : 0;
      }
      ++host;
      std::this_thread::sleep_for(kPause);
    }
  }
  // Asks one host, and after a refusal the other one.
  bool Ask(const request_kind& kind, std::size_t host) {
    constexpr milliseconds kDeadline{1'500};
    constexpr milliseconds kPauseAfterRefusal{150};
    for (std::size_t attempt = 0; attempt < 2; ++attempt) {
      const call_result r =
          world_.Call(world_.hosts()[(host + attempt) % kHosts]->front(),
                      kind.method, kind.path, kDeadline, "");
      if (r.status == 200)
        return true;
      if (phase_ == kAfter)
        world_.Note(std::string(kind.name) + " " + r.request + " at " +
                    world_.hosts()[(host + attempt) % kHosts]->name() +
                    " got " + std::to_string(r.status) + " " +
                    r.body.substr(0, r.body.find('\n')));
      if (r.status != 503)
        return false;
      std::this_thread::sleep_for(kPauseAfterRefusal);
    }
    return false;
  }

  world& world_;
  std::atomic<phase> phase_ = kBefore;
  std::atomic<bool> is_stopped_ = false;
  std::mutex mutex_;
  kind_counts counts_[kPhases][std::size(kKinds)];
  std::vector<std::thread> threads_;
};

std::string MakeRequest(int thread, int caller, std::uint64_t n) {
  const bool is_ordinary = caller % kOrdinaryEvery == 0;
  return std::string("GET /") + (is_ordinary ? "read" : "none") +
         "/f HTTP/1.1\r\nHost: h.example\r\nRequest-Deadline-Ms: 1500\r\n"
         "Attempt-Id: f" +
         std::to_string(thread) + "." + std::to_string(caller) + "." +
         std::to_string(n) + "\r\n\r\n";
}

void FloodHost(world& w, const host& h) {
  const time_point end = clock::now() + kFloodLength;
  std::mutex mutex;
  flood_result total;
  std::vector<std::thread> threads;
  threads.reserve(kFloodThreads);
  for (int i = 0; i < kFloodThreads; ++i)
    threads.emplace_back([&, i] {
      const flood_result part = Flood(h.front(), kConnectionsPerThread, end,
                                      [i](int caller, std::uint64_t n) {
                                        return MakeRequest(i, caller, n);
                                      });
      const std::lock_guard lock(mutex);
      total.Add(part);
    });
  for (std::thread& t : threads)
    t.join();
  std::string answers;
  for (const auto& [status, count] : total.answers)
    answers += " " + std::to_string(status) + ": " + std::to_string(count);
  w.Note("flood of " + h.name() + ": " + std::to_string(total.sent) +
         " requests on " +
         std::to_string(kFloodThreads * kConnectionsPerThread) +
         " connections, answers by status:" + answers);
}

int Main(const std::string& record, bool has_trouble) {
  world w(record);
  w.PutConfig({{"read", "/read/", "idempotent", 2, 0.6, 2, "core"},
               {"pay", "/pay/", "non_idempotent", 2, 0.4, 2, "pay"}});
  for (int i = 0; i < kCoreServers; ++i)
    w.AddBackend({.id = "i-" + std::to_string(i),
                  .pool = "core",
                  .zone = i % 2 == 0 ? "zone-a" : "zone-b",
                  .work = milliseconds(200)});
  for (int i = 0; i < kPayServers; ++i)
    w.AddBackend({.id = "p-" + std::to_string(i),
                  .pool = "pay",
                  .zone = i % 2 == 0 ? "zone-a" : "zone-b",
                  .work = milliseconds(100)});
  for (int i = 0; i < kHosts; ++i)
    w.AddHost("edge-" + std::to_string(i), i % 2 == 0 ? "zone-a" : "zone-b");
  if (!w.StartHosts())
    return 2;
  ordinary_callers callers(w);
  std::this_thread::sleep_for(kCalmBefore);
  callers.SetPhase(kDuring);
  for (const auto& h : w.hosts()) {
    if (has_trouble)
      FloodHost(w, *h);
    else
      std::this_thread::sleep_for(kFloodLength);
  }
  callers.SetPhase(kRecovering);
  std::this_thread::sleep_for(kRecover);
  callers.SetPhase(kAfter);
  std::this_thread::sleep_for(kJudged);
  callers.Stop();
  for (std::size_t p = 0; p < kPhases; ++p)
    for (std::size_t k = 0; k < std::size(kKinds); ++k) {
      const kind_counts& c = callers.counts(static_cast<phase>(p), k);
      w.Note(std::string(kPhaseNames[p]) + ": " + kKinds[k].name + " asked " +
             std::to_string(c.asked) + ", served " + std::to_string(c.served));
    }
  for (const auto& h : w.hosts())
    w.Note(h->name() + (h->IsReady() ? " says that it is ready"
                                     : " says that it is not ready"));
  kind_counts all;
  double least = 1;
  for (std::size_t k = 0; k < std::size(kKinds); ++k) {
    const kind_counts& c = callers.counts(kAfter, k);
    all.asked += c.asked;
    all.served += c.served;
    least = std::min(least, c.share());
  }
  const bool is_broken = least < kStarvedShare * all.share();
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
