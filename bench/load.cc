#include "load.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <memory>
#include <random>
#include <thread>

#include <fmt/core.h>

namespace dotterellead::bench {
namespace {

using steady = std::chrono::steady_clock;

struct planned {
  microseconds due{0};
  bool post = false;
};

std::vector<planned> Plan(const load_options& options) {
  std::mt19937_64 random(options.seed);
  std::uniform_int_distribution<int> per_mille(0, 999);
  const double gap_us = 1e6 / options.requests_per_second * options.burst;
  std::vector<planned> plan;
  for (double due = 0;
       due < 1e3 * static_cast<double>(options.duration.count());
       due += gap_us) {
    for (int i = 0; i < options.burst; ++i) {
      plan.push_back({microseconds(static_cast<std::int64_t>(due)),
                      per_mille(random) < options.post_per_mille});
    }
  }
  return plan;
}

// The reason in an answer that the system made itself.
std::string ReasonOf(const sample& s) {
  constexpr std::string_view kPrefix = "{\"reason\":\"";
  if (!s.body.starts_with(kPrefix))
    return "";
  const std::string rest = s.body.substr(kPrefix.size());
  return rest.substr(0, rest.find('"'));
}

std::string NewKey(std::uint64_t seed, std::size_t n) {
  const auto now =
      static_cast<std::uint64_t>(system_clock_source().Now().wall.value);
  const std::uint64_t low = StableHash(fmt::format("{}/{}/{}", now, seed, n));
  return fmt::format("{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}", now >> 16,
                     now & 0xffff, n & 0xfff, (low >> 48) & 0xfff,
                     low & 0xffffffffffffULL);
}

// Sends the requests of one thread; keeps a connection to each target.
class sender {
 public:
  explicit sender(const load_options& options)
      : options_(options), connections_(options.targets.size()) {}

  sample Send(std::size_t n, const planned& p, steady::time_point begin) {
    sample s{.due = p.due, .post = p.post};
    const std::size_t target = n % options_.targets.size();
    std::unique_ptr<http_connection>& connection = connections_[target];
    if (connection == nullptr || !connection->IsReusable())
      connection = std::make_unique<http_connection>(options_.targets[target]);
    http_request request{p.post ? "POST" : "GET", options_.path, {}, ""};
    request.headers.push_back(
        {"request-timeout-ms", std::to_string(options_.timeout.count())});
    if (p.post) {
      s.key = NewKey(options_.seed, n);
      request.headers.push_back({"Idempotency-Key", s.key});
      request.body = "amount=1";
    }
    const send_result result =
        connection->Send(request, options_.timeout + milliseconds(500));
    s.latency =
        std::chrono::duration_cast<microseconds>(steady::now() - begin - p.due);
    if (!result.ok()) {
      connection.reset();
      return s;
    }
    s.status = result.answer.status;
    s.body = result.answer.body.substr(0, result.answer.body.find('\n'));
    if (const std::string* run =
            FindHeader(result.answer.headers, "dotterellead-run"))
      s.run = *run;
    return s;
  }

 private:
  const load_options& options_;
  std::vector<std::unique_ptr<http_connection>> connections_;
};

}  // namespace

std::vector<sample> RunLoad(const load_options& options) {
  const std::vector<planned> plan = Plan(options);
  std::vector<sample> samples(plan.size());
  // A lane is a sequence of requests that its threads take in turn.
  const bool own_threads = options.threads_per_target > 0;
  const std::size_t stride = own_threads ? options.targets.size() : 1;
  const std::size_t lane_threads =
      own_threads ? options.threads_per_target : options.threads;
  std::vector<std::atomic<std::size_t>> next(stride);
  const auto begin = steady::now() + milliseconds(20);
  std::vector<std::thread> threads;
  for (std::size_t t = 0; t < stride * lane_threads; ++t) {
    threads.emplace_back([&, lane = t % stride] {
      sender s(options);
      for (std::size_t n;
           (n = lane + stride * next[lane].fetch_add(1)) < plan.size();) {
        std::this_thread::sleep_until(begin + plan[n].due);
        samples[n] = s.Send(n, plan[n], begin);
      }
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  return samples;
}

microseconds Quantile(std::vector<microseconds> latencies, double quantile) {
  if (latencies.empty())
    return microseconds(0);
  const auto at = static_cast<std::size_t>(
      std::lround(quantile * static_cast<double>(latencies.size() - 1)));
  std::nth_element(latencies.begin(),
                   latencies.begin() + static_cast<std::ptrdiff_t>(at),
                   latencies.end());
  return latencies[at];
}

std::vector<microseconds> Latencies(const std::vector<sample>& samples) {
  std::vector<microseconds> latencies;
  latencies.reserve(samples.size());
  for (const sample& s : samples)
    latencies.push_back(s.latency);
  return latencies;
}

std::map<std::string, int> CountResults(const std::vector<sample>& samples) {
  std::map<std::string, int> counts;
  for (const sample& s : samples) {
    std::string result = std::to_string(s.status);
    if (!s.run.empty())
      result += " " + s.run + " " + ReasonOf(s);
    ++counts[result];
  }
  return counts;
}

}  // namespace dotterellead::bench
