#include <doctest/doctest.h>
#include <fmt/core.h>

#include <algorithm>
#include <random>

#include "dotterellead/measure.h"

namespace dotterellead {
namespace {

constexpr int kStepMs = 10;
constexpr int kRunMs = 180'000;

timestamp At(std::int64_t ms) {
  return {time_point(milliseconds(1'000'000 + ms)), unix_millis{0}};
}

struct backend {
  const char* name;
  std::uint32_t slots;
  std::uint32_t budget_per_mille;
  int probe_ms;
  bool fails = false;
};

const backend backends_under_test[] = {
    {"usual, 6 ms", 2, 10, 6},         {"one slot, 6 ms", 1, 10, 6},
    {"small budget, 6 ms", 2, 2, 6},   {"slow, 30 ms", 2, 10, 30},
    {"very slow, 250 ms", 2, 10, 250}, {"never answers", 2, 10, 1'000'000},
    {"fails at once", 2, 10, 1, true},
};

// Probes of one backend server by all hosts.
struct probed_server {
  std::size_t home = 0;
  int homed_at = 0;
  double spent_ms = 0;
  int probes = 0;
  int at_once = 0;
  int most_at_once = 0;
};

struct running_probe {
  int ends_ms;
  std::size_t host;
  std::size_t server;
  probe_completed outcome;
};

// Hosts that become home of each other's servers at random times, and the
// probes that they send.
class home_changes {
 public:
  home_changes(std::size_t hosts, unsigned seed)
      : machines_(hosts),
        servers_(std::size(backends_under_test)),
        random_(seed) {
    for (std::size_t host = 0; host < hosts; ++host)
      TellHomes(host, 0);
  }

  void Run(bool change_homes) {
    for (int ms = 0; ms < kRunMs; ms += kStepMs) {
      if (change_homes && random_() % 30 == 0)
        MoveOne(ms);
      FinishProbes(ms);
      // Like the duty, which sleeps while no tick is due.
      for (std::size_t host = 0; host < machines_.size(); ++host) {
        const auto due = machines_[host].NextDeadline();
        if (due && *due <= At(ms).steady)
          Step(host, tick{}, ms);
      }
    }
  }

  const std::vector<probed_server>& servers() const { return servers_; }

 private:
  void MoveOne(int ms) {
    probed_server& server = servers_[random_() % servers_.size()];
    const std::size_t before = server.home;
    server.home = random_() % machines_.size();
    if (server.home == before)
      return;
    server.homed_at = ms;
    TellHomes(before, ms);
    TellHomes(server.home, ms);
  }

  void TellHomes(std::size_t host, int ms) {
    servers_homed_here homes;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      if (servers_[i].home != host)
        continue;
      homes.servers.push_back(
          {.server = server_id(std::to_string(i)),
           .pool = pool_id("p"),
           .slots = backends_under_test[i].slots,
           .budget_per_mille = backends_under_test[i].budget_per_mille,
           .homed_since = At(servers_[i].homed_at).steady});
    }
    Step(host, homes, ms);
  }

  void FinishProbes(int ms) {
    std::vector<running_probe> ended;
    std::erase_if(probes_, [&](const running_probe& p) {
      if (p.ends_ms > ms)
        return false;
      ended.push_back(p);
      return true;
    });
    for (const running_probe& p : ended) {
      --servers_[p.server].at_once;
      Step(p.host, p.outcome, ms);
    }
  }

  void Step(std::size_t host, const measure_machine::message& m, int ms) {
    std::vector<measure_machine::effect> out;
    machines_[host].Step(m, At(ms), out);
    for (const auto& e : out) {
      if (const auto* probe = std::get_if<send_probe>(&e))
        StartProbe(host, *probe, ms);
    }
  }

  void StartProbe(std::size_t host, const send_probe& probe, int ms) {
    const std::size_t i = std::stoul(probe.server.value());
    const backend& b = backends_under_test[i];
    const microseconds needed = milliseconds(b.probe_ms);
    const microseconds cost = std::min(needed, probe.time_limit);
    probe_completed outcome{.server = probe.server, .cost = cost};
    outcome.result = b.fails                     ? probe_result::kFailed
                     : needed > probe.time_limit ? probe_result::kTimedOut
                                                 : probe_result::kReport;
    probed_server& server = servers_[i];
    server.spent_ms += static_cast<double>(cost.count()) / 1'000;
    ++server.probes;
    server.most_at_once = std::max(server.most_at_once, ++server.at_once);
    const int ends = ms + static_cast<int>(cost.count() / 1'000) + 1;
    probes_.push_back({ends, host, i, outcome});
  }

  std::vector<measure_machine> machines_;
  std::vector<probed_server> servers_;
  std::vector<running_probe> probes_;
  std::mt19937 random_;
};

void CheckBudgets(std::size_t hosts, bool change_homes) {
  home_changes run(hosts, 17);
  run.Run(change_homes);
  for (std::size_t i = 0; i < std::size(backends_under_test); ++i) {
    const backend& b = backends_under_test[i];
    const probed_server& server = run.servers()[i];
    CAPTURE(b.name);
    const double per_second = server.spent_ms / (kRunMs / 1'000.0);
    const double budget = 1.0 * b.slots * b.budget_per_mille;
    fmt::print(
        "probes: {:2} hosts, homes {}, {}: {:.2f} ms of slot time per s of "
        "{:.0f}, {} probes\n",
        hosts, change_homes ? "change" : "stay", b.name, per_second, budget,
        server.probes);
    CHECK(per_second <= budget);
    CHECK(server.most_at_once == 1);
    CHECK(server.probes > 0);
  }
}

// Guards against probes that occupy a slot: one prober per host, probes at each
// change of home, or slow probes.
TEST_CASE("probes of all hosts together stay within the budget") {
  for (const std::size_t hosts : {4, 8, 16}) {
    CheckBudgets(hosts, true);
    CheckBudgets(hosts, false);
  }
}

}  // namespace
}  // namespace dotterellead
