// Callers send many small header fields, within the operators' limits. The
// platform kills a process that exceeds its machine's memory.
#include <signal.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

#include "flood.h"
#include "world.h"

namespace review {
namespace {

constexpr int kHosts = 4;
constexpr int kServers = 6;
constexpr int kMemoryMb = 260;
constexpr int kMaxHeaderBytes = 16'384;
constexpr int kHeaderBytes = 16'000;
constexpr int kConnections = 1'500;
constexpr int kRounds = 4;
constexpr milliseconds kRoundLength{6'000};
constexpr milliseconds kRestartDelay{500};
constexpr milliseconds kPollInterval{10};
// RULES.md, "Fault": three ends, on a tenth of the machines and two at least.
constexpr int kEndsPerHost = 3;
constexpr int kBadHosts = 2;

// The platform's part: kills what exceeds its memory, and restarts it.
class memory_guard {
 public:
  explicit memory_guard(world& w) : world_(w), ends_(kHosts), peak_kb_(kHosts) {
    thread_ = std::thread([this] { Watch(); });
  }
  ~memory_guard() {
    is_stopped_ = true;
    thread_.join();
  }
  int ends(std::size_t i) const { return ends_[i]; }
  long peak_kb(std::size_t i) const { return peak_kb_[i]; }

 private:
  void Watch() {
    std::vector<time_point> restarts(kHosts, time_point::max());
    while (!is_stopped_) {
      for (std::size_t i = 0; i < kHosts; ++i)
        Check(*world_.hosts()[i], i, restarts[i]);
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  void Check(host& h, std::size_t i, time_point& restart_at) {
    if (clock::now() >= restart_at) {
      restart_at = time_point::max();
      h.Start();
    }
    if (restart_at != time_point::max())
      return;
    const long used = h.ResidentKb();
    peak_kb_[i] = std::max(peak_kb_[i].load(), used);
    const bool is_over = used > kMemoryMb * 1024L;
    if (is_over)
      h.Signal(SIGKILL);
    if (!is_over && h.IsRunning())
      return;
    while (h.IsRunning())
      std::this_thread::sleep_for(kPollInterval);
    ++ends_[i];
    world_.Note(h.name() +
                (is_over ? " had " + std::to_string(used) + " kB of " +
                               std::to_string(kMemoryMb) + " MB and was killed"
                         : " ended by itself"));
    restart_at = clock::now() + kRestartDelay;
  }

  world& world_;
  std::vector<std::atomic<int>> ends_;
  std::vector<std::atomic<long>> peak_kb_;
  std::atomic<bool> is_stopped_ = false;
  std::thread thread_;
};

// A request of kHeaderBytes bytes, in fields without a value or in one field.
std::string MakeRequest(bool has_many_fields, int caller, std::uint64_t n) {
  std::string head =
      "GET /read/crowd HTTP/1.1\r\nHost: h.example\r\n"
      "Request-Deadline-Ms: 2000\r\nAttempt-Id: c" +
      std::to_string(caller) + "." + std::to_string(n) + "\r\n";
  const std::size_t rest = kHeaderBytes - head.size() - 2;
  if (has_many_fields)
    for (std::size_t i = 0; i < rest / 4; ++i)
      head += "a:\r\n";
  else
    head += "a: " + std::string(rest - 5, 'x') + "\r\n";
  return head + "\r\n";
}

std::string Describe(const std::map<int, std::uint64_t>& answers) {
  std::string text;
  for (const auto& [status, count] : answers)
    text += " " + std::to_string(status) + ": " + std::to_string(count);
  return text;
}

int Main(const std::string& record, bool has_trouble) {
  world w(record);
  w.PutConfig({{"read", "/read/", "idempotent", 2, 0.6, 2, "core"},
               {"pay", "/pay/", "non_idempotent", 2, 0.6, 2, "core"}},
              kMaxHeaderBytes);
  for (int i = 0; i < kServers; ++i)
    w.AddBackend({.id = "i-" + std::to_string(i),
                  .pool = "core",
                  .zone = i % 2 == 0 ? "zone-a" : "zone-b",
                  .work = milliseconds(200)});
  for (int i = 0; i < kHosts; ++i)
    w.AddHost("edge-" + std::to_string(i), i % 2 == 0 ? "zone-a" : "zone-b",
              kMemoryMb);
  if (!w.StartHosts())
    return 2;
  int bad_hosts = 0;
  {
    memory_guard guard(w);
    std::mutex mutex;
    std::map<int, std::uint64_t> paid;
    std::atomic<bool> is_over = false;
    std::vector<std::thread> ordinary;
    for (std::size_t i = 0; i < kHosts; ++i)
      ordinary.emplace_back([&, i] {
        constexpr milliseconds kDeadline{2'000};
        constexpr milliseconds kPause{300};
        while (!is_over) {
          const call_result r =
              w.Call(w.hosts()[i]->front(), "POST", "/pay/x", kDeadline, "1");
          const std::lock_guard lock(mutex);
          ++paid[r.status];
          if (r.status == 0)
            w.Note("payment " + r.request + " at " + w.hosts()[i]->name() +
                   " got no answer");
          std::this_thread::sleep_for(kPause);
        }
      });
    for (int round = 0; round < kRounds; ++round) {
      const time_point next = clock::now() + kRoundLength;
      std::vector<std::thread> crowds;
      for (std::size_t i = 0; i < kBadHosts; ++i)
        crowds.emplace_back([&, i] {
          const flood_result r =
              SendAtOnce(w.hosts()[i]->front(), kConnections,
                         milliseconds(3'000), [&](int caller, std::uint64_t n) {
                           return MakeRequest(has_trouble, caller, n);
                         });
          w.Note("round " + std::to_string(round) + ": " +
                 std::to_string(r.sent) + " requests of " +
                 std::to_string(kHeaderBytes) + " bytes to " +
                 w.hosts()[i]->name() + ", answers" + Describe(r.answers));
        });
      for (std::thread& crowd : crowds)
        crowd.join();
      std::this_thread::sleep_until(next);
    }
    is_over = true;
    for (std::thread& caller : ordinary)
      caller.join();
    w.Note("payments by status (0: no answer):" + Describe(paid));
    for (std::size_t i = 0; i < kHosts; ++i) {
      w.Note(w.hosts()[i]->name() + ": " + std::to_string(guard.ends(i)) +
             " ends, most memory " + std::to_string(guard.peak_kb(i)) + " kB");
      bad_hosts += guard.ends(i) >= kEndsPerHost ? 1 : 0;
    }
  }
  w.Note(bad_hosts >= kBadHosts ? "broken" : "held");
  return bad_hosts >= kBadHosts ? 1 : 0;
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
