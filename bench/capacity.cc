#include <fmt/core.h>
#include <unistd.h>

#include <array>
#include <cmath>
#include <fstream>
#include <sstream>
#include <thread>

#include "scenarios.h"

namespace dotterellead::bench {
namespace {

struct capacity_case {
  int members;
  int servers;
  int pools;
  // Over all entry hosts.
  double calls_per_second;
};

constexpr capacity_case kCases[] = {
    {2, 36, 1, 0},     {4, 36, 1, 0},      {8, 36, 1, 0},   {16, 36, 1, 0},
    {8, 200, 1, 0},    {8, 36, 8, 0},      {2, 36, 1, 600}, {4, 36, 1, 600},
    {8, 36, 1, 1'200}, {16, 36, 1, 1'200},
};

// What the entry hosts used, as counted from their start.
struct usage {
  double cpu_seconds = 0;
  double resident_mb = 0;
  double peer_bytes_sent = 0;
  double peer_bytes_received = 0;
  double peer_calls = 0;
};

usage ReadProcess(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string text;
  std::getline(file, text);
  // Fields are counted from the state, which follows the name in parentheses.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> values;
  for (std::string value; fields >> value;)
    values.push_back(value);
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const auto page = static_cast<double>(sysconf(_SC_PAGESIZE));
  return {.cpu_seconds =
              (std::stod(values.at(11)) + std::stod(values.at(12))) / ticks,
          .resident_mb = std::stod(values.at(21)) * page / 1e6};
}

// The value of a metric without labels; throws protocol_error if missing.
double MetricValue(const std::string& text, const std::string& name) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name + " "))
      return std::stod(line.substr(name.size() + 1));
  }
  throw protocol_error("no metric " + name, "check GET /metrics");
}

// Mean over the entry hosts.
usage ReadUsage(harness::cluster& c) {
  usage mean;
  const auto hosts = static_cast<double>(c.entry_host_count());
  for (std::size_t i = 0; i < c.entry_host_count(); ++i) {
    const usage u = ReadProcess(c.entry_host(i).pid());
    const std::string text = c.Operate(i, "GET", "/metrics").answer.body;
    mean.cpu_seconds += u.cpu_seconds / hosts;
    mean.resident_mb += u.resident_mb / hosts;
    mean.peer_bytes_sent +=
        MetricValue(text, "dotterellead_peer_bytes_sent") / hosts;
    mean.peer_bytes_received +=
        MetricValue(text, "dotterellead_peer_bytes_received") / hosts;
    mean.peer_calls +=
        MetricValue(text, "dotterellead_peer_calls_sent") / hosts;
  }
  return mean;
}

harness::cluster_options ClusterFor(const capacity_case& k) {
  harness::cluster_options options{
      .entry_hosts = k.members, .pools = {}, .log_folder = "out/capacity"};
  for (int pool = 0; pool < k.pools; ++pool) {
    const std::string name = fmt::format("pool{}", pool);
    options.pools.push_back({.name = name});
    // Servers are shared out evenly; the last pool takes the rest.
    const int share = k.servers / k.pools;
    const int count =
        pool + 1 == k.pools ? k.servers - share * (k.pools - 1) : share;
    options.servers.push_back({.pool = name,
                               .data_centre = "a",
                               .count = count,
                               .behaviour = R"({"service_us":5000})",
                               .threads = k.calls_per_second > 0 ? 64U : 8U});
  }
  return options;
}

struct measured {
  capacity_case shape;
  double cpu_percent = 0;
  double resident_mb = 0;
  double sent_kb = 0;
  double received_kb = 0;
  double peer_calls = 0;
  int failures = 0;
};

measured RunCase(const capacity_case& k, const bench_options& options) {
  harness::cluster c(ClusterFor(k));
  c.Start();
  const milliseconds duration(options.quick ? 3'000 : 4'000);
  std::this_thread::sleep_for(milliseconds(1'000));
  const auto begin = std::chrono::steady_clock::now();
  const usage before = ReadUsage(c);
  int failures = 0;
  if (k.calls_per_second > 0) {
    load_options load = LoadOn(c, k.calls_per_second, duration, options.seed);
    load.path = "/pool0/item";
    load.threads_per_target = 16;
    failures = CountFailures(RunLoad(load));
  } else {
    std::this_thread::sleep_for(duration);
  }
  const usage after = ReadUsage(c);
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  return {
      k,
      (after.cpu_seconds - before.cpu_seconds) / seconds * 100,
      after.resident_mb,
      (after.peer_bytes_sent - before.peer_bytes_sent) / seconds / 1e3,
      (after.peer_bytes_received - before.peer_bytes_received) / seconds / 1e3,
      (after.peer_calls - before.peer_calls) / seconds,
      failures};
}

constexpr std::size_t kTerms = 5;
constexpr std::array<const char*, kTerms> kTermNames = {
    "base", "per member", "per server", "per pool", "per call/s and host"};
using terms = std::array<double, kTerms>;

terms TermsOf(const capacity_case& k) {
  return {1, static_cast<double>(k.members), static_cast<double>(k.servers),
          static_cast<double>(k.pools), k.calls_per_second / k.members};
}

// Solves a linear system by elimination with pivots; singular terms become 0.
terms Solve(std::array<terms, kTerms> a, terms b) {
  for (std::size_t i = 0; i < kTerms; ++i) {
    std::size_t pivot = i;
    for (std::size_t r = i + 1; r < kTerms; ++r)
      pivot = std::abs(a[r][i]) > std::abs(a[pivot][i]) ? r : pivot;
    std::swap(a[i], a[pivot]);
    std::swap(b[i], b[pivot]);
    if (std::abs(a[i][i]) < 1e-9)
      continue;
    for (std::size_t r = 0; r < kTerms; ++r) {
      const double factor = r == i ? 0 : a[r][i] / a[i][i];
      for (std::size_t column = 0; column < kTerms; ++column)
        a[r][column] -= factor * a[i][column];
      b[r] -= factor * b[i];
    }
  }
  terms x{};
  for (std::size_t i = 0; i < kTerms; ++i)
    x[i] = std::abs(a[i][i]) < 1e-9 ? 0 : b[i] / a[i][i];
  return x;
}

// Least squares over all cases.
terms Fit(const std::vector<measured>& all, double measured::*value) {
  std::array<terms, kTerms> a{};
  terms b{};
  for (const measured& m : all) {
    const terms t = TermsOf(m.shape);
    for (std::size_t i = 0; i < kTerms; ++i) {
      for (std::size_t j = 0; j < kTerms; ++j)
        a[i][j] += t[i] * t[j];
      b[i] += t[i] * m.*value;
    }
  }
  return Solve(a, b);
}

struct fitted_value {
  const char* name;
  double measured::*member;
};

constexpr fitted_value kFitted[] = {
    {"CPU % of a core", &measured::cpu_percent},
    {"resident MB", &measured::resident_mb},
    {"peer KB/s sent", &measured::sent_kb},
    {"peer KB/s received", &measured::received_kb},
    {"peer calls/s sent", &measured::peer_calls},
};

table Slopes(const std::vector<measured>& all) {
  table t{.name = "capacity_slopes",
          .title = "least squares over the cases of capacity",
          .columns = {"value"}};
  for (const char* name : kTermNames)
    t.columns.emplace_back(name);
  for (const fitted_value& f : kFitted) {
    std::vector<cell> row = {f.name};
    for (const double slope : Fit(all, f.member))
      row.emplace_back(slope);
    t.rows.push_back(row);
  }
  return t;
}

}  // namespace

tables MeasureCapacity(const bench_options& options) {
  table t{.name = "capacity",
          .title =
              "per entry host (mean); calls/s over all entry hosts; peer bytes "
              "are bodies without headers",
          .columns = {"members", "servers", "pools", "calls/s", "CPU %",
                      "resident MB", "peer KB/s sent", "peer KB/s received",
                      "peer calls/s", "failures"}};
  std::vector<measured> all;
  for (const capacity_case& k : kCases) {
    all.push_back(RunCase(k, options));
    const measured& m = all.back();
    t.rows.push_back({static_cast<double>(k.members),
                      static_cast<double>(k.servers),
                      static_cast<double>(k.pools), k.calls_per_second,
                      m.cpu_percent, m.resident_mb, m.sent_kb, m.received_kb,
                      m.peer_calls, static_cast<double>(m.failures)});
  }
  tables both = {t, Slopes(all)};
  WriteJson(both, options.seed, "out/capacity.json");
  return both;
}

}  // namespace dotterellead::bench
