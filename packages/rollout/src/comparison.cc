#include "comparison.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace dotterellead {
namespace {

// A test is repeated about 10^5 times in a long move, on windows that overlap;
// this keeps false verdicts rare.
constexpr double kFaultChance = 1e-6;
// Applies if every request of the new version is hit, so that a total failure
// is found from a handful of requests.
constexpr double kTotalFaultChance = 1e-4;
constexpr std::uint64_t kFewestHits = 3;
constexpr std::uint64_t kFewestTotalHits = 2;
// Above this many possible outcomes the normal approximation is used.
constexpr std::uint64_t kMostExactOutcomes = 200;
// The quantile of the old version is not known from fewer answers.
constexpr std::uint64_t kFewestAnswersForQuantile = 8;
// Two buckets are a factor of 2; with the width of a bucket, a slowdown by 2.8
// is always above.
constexpr std::size_t kSlowBuckets = 2;

// What makes a difference large enough to act on.
struct margin {
  double factor = 1;
  double added = 0;
};
// Half a percent of additional failures.
constexpr margin kFailureMargin{1.5, 0.005};

struct latency_rule {
  double quantile;
  margin slow_margin;
  std::string_view name;
};
constexpr latency_rule kLatencyRules[] = {
    {0.5, {1, 0.25}, "median latency"},
    {0.9, {1, 0.1}, "90% latency"},
};

double LogChoose(std::uint64_t n, std::uint64_t k) {
  const auto of = [](std::uint64_t v) {
    return std::lgamma(static_cast<double>(v) + 1);
  };
  return of(n) - of(k) - of(n - k);
}

struct hit_range {
  std::uint64_t least;
  std::uint64_t most;
};

// How many of a stratum's hits the new version can have.
hit_range PossibleHits(const stratum& s) {
  const std::uint64_t hits = s.new_hits + s.old_hits;
  const std::uint64_t least = hits > s.old_requests ? hits - s.old_requests : 0;
  return {least, std::min(s.new_requests, hits)};
}

std::vector<double> Distribution(const stratum& s, const hit_range& range) {
  const std::uint64_t hits = s.new_hits + s.old_hits;
  const std::uint64_t all = s.new_requests + s.old_requests;
  const double total = LogChoose(all, s.new_requests);
  std::vector<double> chances;
  for (std::uint64_t x = range.least; x <= range.most; ++x) {
    chances.push_back(std::exp(LogChoose(hits, x) +
                               LogChoose(all - hits, s.new_requests - x) -
                               total));
  }
  return chances;
}

std::vector<double> Convolve(const std::vector<double>& a,
                             const std::vector<double>& b) {
  std::vector<double> sum(a.size() + b.size() - 1);
  for (std::size_t i = 0; i < a.size(); ++i) {
    for (std::size_t j = 0; j < b.size(); ++j)
      sum[i + j] += a[i] * b[j];
  }
  return sum;
}

double ExactChance(const std::vector<stratum>& strata) {
  std::vector<double> chances{1};
  std::uint64_t index = 0;
  for (const stratum& s : strata) {
    const hit_range range = PossibleHits(s);
    chances = Convolve(chances, Distribution(s, range));
    index += s.new_hits - range.least;
  }
  double tail = 0;
  for (std::size_t i = chances.size(); i > index; --i)
    tail += chances[i - 1];
  return std::min(tail, 1.0);
}

double NormalChance(const std::vector<stratum>& strata) {
  double excess = -0.5;
  double variance = 0;
  for (const stratum& s : strata) {
    const auto n = static_cast<double>(s.new_requests);
    const auto all = n + static_cast<double>(s.old_requests);
    const auto hits = static_cast<double>(s.new_hits + s.old_hits);
    excess += static_cast<double>(s.new_hits) - n * hits / all;
    if (all > 1) {
      variance += n * hits * (all - n) * (all - hits) / (all * all * (all - 1));
    }
  }
  if (variance <= 0)
    return 1;
  return 0.5 * std::erfc(excess / std::sqrt(2 * variance));
}

bool IsLarge(const stratum& sum, const margin& m) {
  const double new_rate =
      static_cast<double>(sum.new_hits) / static_cast<double>(sum.new_requests);
  const double old_rate =
      static_cast<double>(sum.old_hits) / static_cast<double>(sum.old_requests);
  return new_rate >= m.factor * old_rate + m.added;
}

stratum Sum(const std::vector<stratum>& strata) {
  stratum sum;
  for (const stratum& s : strata) {
    sum.new_requests += s.new_requests;
    sum.new_hits += s.new_hits;
    sum.old_requests += s.old_requests;
    sum.old_hits += s.old_hits;
  }
  return sum;
}

// Drops strata with one version only: they say nothing about a difference.
void KeepComparable(std::vector<stratum>& strata) {
  std::erase_if(strata, [](const stratum& s) {
    return s.new_requests == 0 || s.old_requests == 0;
  });
}

std::string Describe(std::string_view what, const stratum& sum) {
  return std::string(what) + " worse: " + std::to_string(sum.new_hits) +
         " of " + std::to_string(sum.new_requests) + " against " +
         std::to_string(sum.old_hits) + " of " +
         std::to_string(sum.old_requests);
}

void Test(std::vector<stratum> strata,
          const margin& m,
          std::string_view what,
          comparison& result) {
  KeepComparable(strata);
  const stratum sum = Sum(strata);
  if (sum.new_hits == 0 || !IsLarge(sum, m))
    return;
  const double chance = ChanceIfEqual(strata);
  result.least_chance = std::min(result.least_chance, chance);
  const bool total = sum.new_hits == sum.new_requests;
  const bool found =
      total ? chance < kTotalFaultChance && sum.new_hits >= kFewestTotalHits
            : chance < kFaultChance && sum.new_hits >= kFewestHits;
  if (found && result.fault.empty())
    result.fault = Describe(what, sum);
}

std::optional<std::size_t> QuantileBucket(
    const std::vector<version_pair>& steps,
    double quantile) {
  attempt_tally old_sum;
  for (const auto& [new_tally, old_tally] : steps)
    old_sum.Add(old_tally);
  if (old_sum.successes() < kFewestAnswersForQuantile)
    return std::nullopt;
  const double wanted = quantile * static_cast<double>(old_sum.successes());
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    seen += old_sum.latency[i];
    if (static_cast<double>(seen) >= wanted)
      return i;
  }
  return kLatencyBuckets - 1;
}

std::uint64_t CountAbove(const attempt_tally& tally, std::size_t bucket) {
  std::uint64_t count = 0;
  for (std::size_t i = bucket + 1; i < kLatencyBuckets; ++i)
    count += tally.latency[i];
  return count;
}

std::vector<stratum> FailureStrata(const std::vector<version_pair>& steps) {
  std::vector<stratum> strata;
  for (const auto& [n, o] : steps)
    strata.push_back({n.requests, n.failures, o.requests, o.failures});
  return strata;
}

std::vector<stratum> SlowStrata(const std::vector<version_pair>& steps,
                                std::size_t bucket) {
  std::vector<stratum> strata;
  for (const auto& [n, o] : steps) {
    strata.push_back({n.successes(), CountAbove(n, bucket), o.successes(),
                      CountAbove(o, bucket)});
  }
  return strata;
}

}  // namespace

double ChanceIfEqual(const std::vector<stratum>& strata) {
  std::uint64_t outcomes = 0;
  for (const stratum& s : strata) {
    const hit_range range = PossibleHits(s);
    outcomes += range.most - range.least;
  }
  return outcomes > kMostExactOutcomes ? NormalChance(strata)
                                       : ExactChance(strata);
}

comparison Compare(const std::vector<version_pair>& steps) {
  comparison result;
  Test(FailureStrata(steps), kFailureMargin, "failures", result);
  for (const latency_rule& rule : kLatencyRules) {
    const std::optional<std::size_t> bucket =
        QuantileBucket(steps, rule.quantile);
    if (bucket) {
      Test(SlowStrata(steps, *bucket + kSlowBuckets), rule.slow_margin,
           rule.name, result);
    }
  }
  return result;
}

}  // namespace dotterellead
