// Sends requests to entry hosts at a fixed rate and prints what came of them.
#include <fmt/core.h>

#include <CLI/CLI.hpp>
#include <csignal>

#include "load.h"

namespace {

using namespace dotterellead;

double Millis(microseconds value) {
  return static_cast<double>(value.count()) / 1e3;
}

void Print(const std::vector<bench::sample>& samples) {
  for (const auto& [result, count] : bench::CountResults(samples))
    fmt::print("  {:<16} {}\n", result, count);
  std::map<std::string, int> places;
  for (const bench::sample& s : samples)
    ++places[s.ok() ? s.body.substr(s.body.rfind(' ') + 1) : "nowhere"];
  for (const auto& [place, count] : places)
    fmt::print("  ran on {:<9} {}\n", place, count);
  const std::vector<microseconds> latencies = bench::Latencies(samples);
  fmt::print("  latency ms       p50 {:.2f}  p99 {:.2f}  p99.9 {:.2f}\n",
             Millis(bench::Quantile(latencies, 0.5)),
             Millis(bench::Quantile(latencies, 0.99)),
             Millis(bench::Quantile(latencies, 0.999)));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Sends requests to entry hosts and prints what came of them");
  std::vector<std::string> targets;
  bench::load_options options;
  std::int64_t duration_ms = options.duration.count();
  app.add_option("--targets", targets, "Caller addresses, comma separated")
      ->delimiter(',')
      ->required();
  app.add_option("--path", options.path, "Path of the requests");
  app.add_option("--rate", options.requests_per_second, "Requests per second");
  app.add_option("--duration-ms", duration_ms, "How long to send, in ms");
  app.add_option("--post-per-mille", options.post_per_mille,
                 "Share of non-idempotent requests");
  app.add_option("--seed", options.seed, "Seed of the mix");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    for (const std::string& target : targets)
      options.targets.push_back(ParseSocketAddress(target));
  } catch (const error& e) {
    fmt::print(stderr, "{}\n", e.what());
    return 2;
  }
  options.duration = milliseconds(duration_ms);
  const std::vector<bench::sample> samples = bench::RunLoad(options);
  Print(samples);
  const bool all_ok =
      std::all_of(samples.begin(), samples.end(),
                  [](const bench::sample& s) { return s.ok(); });
  return all_ok ? 0 : 1;
}
