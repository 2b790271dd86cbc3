// Open-loop load: requests are due at times that do not depend on earlier
// answers, and latency counts from when a request was due, so that a stall is
// not hidden.
#ifndef DOTTERELLEAD_BENCH_LOAD_H_
#define DOTTERELLEAD_BENCH_LOAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "dotterellead/http.h"

namespace dotterellead::bench {

struct load_options {
  // Requests go to these in turn.
  std::vector<socket_address> targets;
  double requests_per_second = 100;
  milliseconds duration{5'000};
  // Requests that are due together; 1 spreads them evenly.
  int burst = 1;
  // Share of non-idempotent requests, which get a new key each.
  int post_per_mille = 0;
  std::string path = "/pay/item";
  std::size_t threads = 64;
  // Over 0: each target has as many threads of its own instead, so that it gets
  // no more connections than that.
  std::size_t threads_per_target = 0;
  milliseconds timeout{2'000};
  std::uint64_t seed = 1;
};

// One request as its caller saw it.
struct sample {
  // From the start of the run.
  microseconds due{0};
  // From due to the whole answer.
  microseconds latency{0};
  // 0: no whole answer.
  int status = 0;
  bool post = false;
  // The header dotterellead-run, empty on a backend server's answer.
  std::string run;
  std::string key;
  // The first line of the body, which names the server's version.
  std::string body;
  bool ok() const { return status == 200; }
};

// Runs the load and returns all samples in order of their due times.
std::vector<sample> RunLoad(const load_options& options);

// The value below which `quantile` (0 to 1) of the samples' latencies lie.
microseconds Quantile(std::vector<microseconds> latencies, double quantile);
std::vector<microseconds> Latencies(const std::vector<sample>& samples);
// Samples by status, run state and reason, such as "200" or "503 not-run
// queue-full".
std::map<std::string, int> CountResults(const std::vector<sample>& samples);

}  // namespace dotterellead::bench

#endif  // DOTTERELLEAD_BENCH_LOAD_H_
