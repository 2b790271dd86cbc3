#include "comparison.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace dotterellead {
namespace {

// A test is repeated about 10^5 times in a long move, on overlapping windows;
// this keeps false verdicts rare.
constexpr double kFaultChance = 1e-6;
// Applies if every request of the new version is a hit, so that a total failure
// is found from a few requests.
constexpr double kTotalFaultChance = 1e-4;
constexpr std::uint64_t kMinHits = 3;
constexpr std::uint64_t kMinTotalHits = 2;
// The normal approximation underestimates probabilities far from the mean
// unless the variance is large. Below this variance the exact sum is used.
constexpr double kMaxExactVariance = 400;
// Far below kFaultChance, even summed over a thousand outcomes.
constexpr double kNegligibleChance = 1e-15;
// Fewer responses do not determine a quantile of the old version.
constexpr std::uint64_t kMinResponsesForQuantile = 8;
// Two buckets are a factor of 2; given the width of a bucket, a slowdown by 2.8
// is always detected.
constexpr std::size_t kSlowBuckets = 2;

// Minimum difference that counts as a fault.
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
  // std::lgamma is not thread-safe: it writes the global variable signgam.
  const auto of = [](std::uint64_t v) {
    int sign = 0;
    return lgamma_r(static_cast<double>(v) + 1, &sign);
  };
  return of(n) - of(k) - of(n - k);
}

struct hit_range {
  std::uint64_t least;
  std::uint64_t most;
};

// Range of a stratum's hits that the new version can have.
hit_range PossibleHits(const stratum& s) {
  const std::uint64_t hits = s.new_hits + s.old_hits;
  const std::uint64_t least = hits > s.old_requests ? hits - s.old_requests : 0;
  return {least, std::min(s.new_requests, hits)};
}

// Probabilities of consecutive numbers of hits, starting at `first`. Negligible
// ones are left out.
struct distribution {
  std::uint64_t first = 0;
  std::vector<double> chances;
};

// Hypergeometric probabilities, computed from the most likely outcome to both
// sides.
distribution NewVersionHits(const stratum& s) {
  const std::uint64_t hits = s.new_hits + s.old_hits;
  const std::uint64_t all = s.new_requests + s.old_requests;
  const hit_range range = PossibleHits(s);
  const auto ratio_to_next = [&](std::uint64_t x) {
    return static_cast<double>(hits - x) *
           static_cast<double>(s.new_requests - x) /
           (static_cast<double>(x + 1) *
            static_cast<double>(s.old_requests + x + 1 - hits));
  };
  const auto likely = static_cast<std::uint64_t>(
      static_cast<double>(hits) * static_cast<double>(s.new_requests) /
      static_cast<double>(all));
  const std::uint64_t mode = std::clamp(likely, range.least, range.most);
  const double top = std::exp(LogChoose(hits, mode) +
                              LogChoose(all - hits, s.new_requests - mode) -
                              LogChoose(all, s.new_requests));
  distribution d;
  double chance = top;
  d.first = mode;
  for (; d.first > range.least && chance > kNegligibleChance; --d.first) {
    d.chances.push_back(chance);
    chance /= ratio_to_next(d.first - 1);
  }
  d.chances.push_back(chance);
  std::reverse(d.chances.begin(), d.chances.end());
  chance = top;
  for (std::uint64_t x = mode; x < range.most && chance > kNegligibleChance;
       ++x) {
    chance *= ratio_to_next(x);
    d.chances.push_back(chance);
  }
  return d;
}

distribution SumOf(const distribution& a, const distribution& b) {
  distribution sum{a.first + b.first, {}};
  sum.chances.resize(a.chances.size() + b.chances.size() - 1);
  for (std::size_t i = 0; i < a.chances.size(); ++i) {
    for (std::size_t j = 0; j < b.chances.size(); ++j)
      sum.chances[i + j] += a.chances[i] * b.chances[j];
  }
  return sum;
}

double ExactChance(const std::vector<stratum>& strata) {
  distribution all{0, {1}};
  std::uint64_t seen = 0;
  for (const stratum& s : strata) {
    all = SumOf(all, NewVersionHits(s));
    seen += s.new_hits;
  }
  double tail = 0;
  for (std::size_t i = 0; i < all.chances.size(); ++i) {
    if (all.first + i >= seen)
      tail += all.chances[i];
  }
  return std::min(tail, 1.0);
}

// Variance of the new version's hits over all strata.
double Variance(const std::vector<stratum>& strata) {
  double variance = 0;
  for (const stratum& s : strata) {
    const auto n = static_cast<double>(s.new_requests);
    const auto all = n + static_cast<double>(s.old_requests);
    const auto hits = static_cast<double>(s.new_hits + s.old_hits);
    if (all > 1) {
      variance += n * hits * (all - n) * (all - hits) / (all * all * (all - 1));
    }
  }
  return variance;
}

double NormalChance(const std::vector<stratum>& strata, double variance) {
  double excess = -0.5;
  for (const stratum& s : strata) {
    const auto n = static_cast<double>(s.new_requests);
    const auto all = n + static_cast<double>(s.old_requests);
    const auto hits = static_cast<double>(s.new_hits + s.old_hits);
    excess += static_cast<double>(s.new_hits) - n * hits / all;
  }
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

// Removes strata with only one version, which say nothing about a difference.
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
  result.min_chance = std::min(result.min_chance, chance);
  const bool total = sum.new_hits == sum.new_requests;
  const bool found =
      total ? chance < kTotalFaultChance && sum.new_hits >= kMinTotalHits
            : chance < kFaultChance && sum.new_hits >= kMinHits;
  if (found && result.fault.empty())
    result.fault = Describe(what, sum);
}

std::optional<std::size_t> QuantileBucket(
    const std::vector<version_pair>& steps,
    double quantile) {
  attempt_counters old_sum;
  for (const auto& [new_counters, old_counters] : steps)
    old_sum.Add(old_counters);
  if (old_sum.successes() < kMinResponsesForQuantile)
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

std::uint64_t CountAbove(const attempt_counters& counters, std::size_t bucket) {
  std::uint64_t count = 0;
  for (std::size_t i = bucket + 1; i < kLatencyBuckets; ++i)
    count += counters.latency[i];
  return count;
}

std::vector<stratum> FailureStrata(const std::vector<version_pair>& steps) {
  std::vector<stratum> strata;
  strata.reserve(steps.size());
  for (const auto& [n, o] : steps)
    strata.push_back({n.requests, n.failures, o.requests, o.failures});
  return strata;
}

std::vector<stratum> SlowStrata(const std::vector<version_pair>& steps,
                                std::size_t bucket) {
  std::vector<stratum> strata;
  strata.reserve(steps.size());
  for (const auto& [n, o] : steps) {
    strata.push_back({n.successes(), CountAbove(n, bucket), o.successes(),
                      CountAbove(o, bucket)});
  }
  return strata;
}

}  // namespace

double ChanceIfEqual(const std::vector<stratum>& strata) {
  const double variance = Variance(strata);
  return variance > kMaxExactVariance ? NormalChance(strata, variance)
                                      : ExactChance(strata);
}

comparison CompareFailures(const std::vector<version_pair>& strata) {
  comparison result;
  Test(FailureStrata(strata), kFailureMargin, "failures", result);
  return result;
}

comparison Compare(const std::vector<version_pair>& steps) {
  comparison result = CompareFailures(steps);
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
