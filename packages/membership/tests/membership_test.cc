#include "dotterellead/membership.h"

#include <doctest/doctest.h>

#include <cstdio>

#include "fake_region.h"

namespace dotterellead {
namespace {

using std::chrono::seconds;

constexpr std::size_t kHosts = 7;
// Hosts 0 to 2 are the minority that faults cut off.
constexpr std::size_t kMinority = 3;
constexpr seconds kConvergence{15};

bool IsMinority(std::size_t host) {
  return host < kMinority;
}

// Blocks the links for which `cut` is true.
void Cut(fake_region& region,
         const std::function<bool(std::size_t, std::size_t)>& cut) {
  for (std::size_t from = 0; from < region.hosts().size(); ++from) {
    for (std::size_t to = 0; to < region.hosts().size(); ++to) {
      if (from != to && cut(from, to))
        region.blocked.insert({from, to});
    }
  }
}

void ForEach(fake_region& region,
             std::size_t begin,
             std::size_t end,
             void (fake_region::*act)(fake_host&)) {
  for (std::size_t i = begin; i < end; ++i)
    (region.*act)(region.hosts()[i]);
}

struct fault {
  const char* name;
  void (*begin)(fake_region&);
  void (*end)(fake_region&);
};

void Nothing(fake_region&) {}
void Heal(fake_region& region) {
  region.blocked.clear();
  region.no_log.clear();
}
void ResumeAll(fake_region& region) {
  ForEach(region, 0, region.hosts().size(), &fake_region::Resume);
}

constexpr fault kFaults[] = {
    {"the proposer is killed", [](fake_region& r) { r.Kill(r.hosts()[0]); },
     Nothing},
    {"a minority is killed",
     [](fake_region& r) { ForEach(r, 4, 7, &fake_region::Kill); }, Nothing},
    {"a majority is killed",
     [](fake_region& r) { ForEach(r, 2, 6, &fake_region::Kill); }, Nothing},
    {"a minority is paused",
     [](fake_region& r) { ForEach(r, 0, 3, &fake_region::Pause); }, ResumeAll},
    {"a majority is paused",
     [](fake_region& r) { ForEach(r, 1, 6, &fake_region::Pause); }, ResumeAll},
    {"a minority is partitioned, all reach the log",
     [](fake_region& r) {
       Cut(r, [](auto a, auto b) { return IsMinority(a) != IsMinority(b); });
     },
     Heal},
    {"the proposer sends but receives nothing",
     [](fake_region& r) { Cut(r, [](auto, auto b) { return b == 0; }); }, Heal},
    {"a minority receives but sends nothing",
     [](fake_region& r) {
       Cut(r, [](auto a, auto b) { return IsMinority(a) && !IsMinority(b); });
     },
     Heal},
    {"a data centre is cut off, also from the log",
     [](fake_region& r) {
       Cut(r, [](auto a, auto b) { return (a % 3 == 0) != (b % 3 == 0); });
       for (std::size_t i = 0; i < r.hosts().size(); i += 3)
         r.no_log.insert(i);
     },
     Heal},
    {"only the minority of a partition reaches the log",
     [](fake_region& r) {
       Cut(r, [](auto a, auto b) { return IsMinority(a) != IsMinority(b); });
       for (std::size_t i = kMinority; i < r.hosts().size(); ++i)
         r.no_log.insert(i);
     },
     Heal},
    {"the proposer does not reach the log",
     [](fake_region& r) { r.no_log.insert(0); }, Heal},
    {"the log is down", [](fake_region& r) { r.log_down = true; },
     [](fake_region& r) { r.log_down = false; }},
    {"append replies are lost and appends late",
     [](fake_region& r) {
       r.lost_replies = 50;
       r.late_appends = 50;
     },
     [](fake_region& r) { r.lost_replies = r.late_appends = 0; }},
    {"all hosts restart at once",
     [](fake_region& r) {
       ForEach(r, 0, r.hosts().size(), &fake_region::Restart);
     },
     Nothing},
    {"hosts join in a burst",
     [](fake_region& r) {
       for (int i = 0; i < 5; ++i)
         r.AddHost();
       ForEach(r, r.hosts().size() - 5, r.hosts().size(), &fake_region::Start);
     },
     Nothing},
};

void CheckNoViolation(const fake_region& region) {
  for (const std::string& violation : region.violations())
    FAIL_CHECK(violation);
}

// Guards against two homes at the same time and against hosts that stay
// divided, for each pair of faults, the second beginning during the first.
TEST_CASE("no two hosts hold overlapping rights and all converge again") {
  milliseconds slowest{0};
  for (const fault& first : kFaults) {
    for (const fault& second : kFaults) {
      CAPTURE(first.name);
      CAPTURE(second.name);
      const auto seed = static_cast<std::uint32_t>(&first - kFaults) * 100 +
                        static_cast<std::uint32_t>(&second - kFaults);
      fake_region region(kHosts, seed);
      REQUIRE(region.RunUntilConverged(kConvergence));
      first.begin(region);
      region.Run(milliseconds(1'700));
      second.begin(region);
      region.Run(seconds(7));
      first.end(region);
      region.Run(milliseconds(900));
      second.end(region);
      const time_point ended = region.Now();
      CHECK(region.RunUntilConverged(kConvergence));
      slowest = std::max(slowest, std::chrono::duration_cast<milliseconds>(
                                      region.Now() - ended));
      CheckNoViolation(region);
    }
  }
  std::printf("slowest convergence after the faults: %lld ms\n",
              static_cast<long long>(slowest.count()));
}

}  // namespace
}  // namespace dotterellead
