// Statistical comparison of a new version with an old one over the same period.
#ifndef DOTTERELLEAD_ROLLOUT_COMPARISON_H_
#define DOTTERELLEAD_ROLLOUT_COMPARISON_H_

#include <string>
#include <utility>
#include <vector>

#include "dotterellead/rollout.h"

namespace dotterellead {

// A stratum in the sense of statistics: requests of both versions while the
// shares were constant. A hit is a failure or a slow response.
struct stratum {
  std::uint64_t new_requests = 0;
  std::uint64_t new_hits = 0;
  std::uint64_t old_requests = 0;
  std::uint64_t old_hits = 0;
};

// Returns the probability that the new version has at least its number of hits
// if both versions are equally good. Exact for small numbers (sum of
// hypergeometric distributions), a normal approximation for large ones. Strata
// keep a fault of both versions apart from a change of shares.
double ChanceIfEqual(const std::vector<stratum>& strata);

// Counters of the new and the old version on one route in one step.
using version_pair = std::pair<attempt_counters, attempt_counters>;

// Result of a comparison.
struct comparison {
  // Describes the fault; empty if the new version is not worse.
  std::string fault;
  // The smallest probability found. Below kSuspectChance a move does not
  // advance.
  double min_chance = 1;
};

inline constexpr double kSuspectChance = 0.01;
// Below this the share is raised from 1% to 5%. It is higher than
// kSuspectChance, since on a route with 30 requests per second a second failure
// at 1% can take longer than the 5 s in which a fault must be found.
inline constexpr double kMoreEvidenceChance = 0.05;

// Compares failures only; a stratum may include several routes.
comparison CompareFailures(const std::vector<version_pair>& strata);

// Compares failures and the latency quantiles 50% and 90%.
comparison Compare(const std::vector<version_pair>& steps);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ROLLOUT_COMPARISON_H_
