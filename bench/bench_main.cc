// Runs the benchmark's scenarios over real processes and writes out/bench.json
// and the data of its plot.
#include <fmt/core.h>
#include <sys/stat.h>

#include <CLI/CLI.hpp>
#include <csignal>

#include "scenarios.h"

namespace {

using namespace dotterellead;

struct scenario {
  const char* name;
  bench::tables (*run)(const bench::bench_options&);
  bool by_default;
};

constexpr scenario kScenarios[] = {
    {"added_latency", bench::MeasureAddedLatency, true},
    {"policies", bench::ComparePolicies, true},
    {"probing", bench::MeasureProbing, true},
    {"data_centre", bench::MoveDataCentre, true},
    {"claims", bench::MeasureClaims, true},
    // Takes a further minute and a half.
    {"capacity", bench::MeasureCapacity, false},
};

// Runs one scenario; false if it could not be carried out.
bool Run(const scenario& s,
         const bench::bench_options& options,
         bench::tables& all) {
  try {
    for (const bench::table& t : s.run(options)) {
      bench::Print(t);
      all.push_back(t);
    }
    return true;
  } catch (const std::exception& e) {
    fmt::print("\n{}: failed: {}\n", s.name, e.what());
    return false;
  }
}

bool IsChosen(const scenario& s, const std::vector<std::string>& names) {
  if (names.empty())
    return s.by_default;
  return std::find(names.begin(), names.end(), s.name) != names.end();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Measures dotterellead over real processes");
  bench::bench_options options;
  std::vector<std::string> names;
  std::vector<std::string> known;
  for (const scenario& s : kScenarios)
    known.emplace_back(s.name);
  app.add_option("scenarios", names,
                 "Scenarios to run; default: all but capacity")
      ->check(CLI::IsMember(known));
  app.add_option("--seed", options.seed, "Seed of the loads")
      ->capture_default_str();
  app.add_flag("--quick", options.quick, "Shorter loads and fewer cases");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  mkdir("out", 0755);
  fmt::print("seed {}{}\n", options.seed, options.quick ? ", quick" : "");
  bench::tables all;
  bool complete = true;
  for (const scenario& s : kScenarios) {
    if (IsChosen(s, names))
      complete = Run(s, options, all) && complete;
  }
  try {
    bench::WriteJson(all, options.seed, "out/bench.json");
    bench::WriteData(all, "out/bench.dat");
  } catch (const error& e) {
    fmt::print(stderr, "{}\n", e.what());
    return 2;
  }
  return complete ? 0 : 1;
}
