// Compares a new version with an old one over the same period.
#ifndef DOTTERELLEAD_ROLLOUT_COMPARISON_H_
#define DOTTERELLEAD_ROLLOUT_COMPARISON_H_

#include <string>
#include <utility>
#include <vector>

#include "dotterellead/rollout.h"

namespace dotterellead {

// Requests of both versions while the shares were constant; a hit is a failure
// or a slow answer.
struct stratum {
  std::uint64_t new_requests = 0;
  std::uint64_t new_hits = 0;
  std::uint64_t old_requests = 0;
  std::uint64_t old_hits = 0;
};

// The chance that the new version would have at least its number of hits if
// both versions were equally good. Exact for small numbers (sum of
// hypergeometric distributions), a normal approximation for large ones. Strata
// keep a fault of both versions apart from a change of shares.
double ChanceIfEqual(const std::vector<stratum>& strata);

// New and old version of one route in one step.
using version_pair = std::pair<attempt_tally, attempt_tally>;

struct comparison {
  // Names the fault; empty if the new version is not worse.
  std::string fault;
  // The smallest chance found; below kSuspectChance a move does not advance.
  double least_chance = 1;
};

inline constexpr double kSuspectChance = 0.01;
// Below this, 1% of the requests becomes 5%. It is higher, as on a route with
// 30 requests a second a second failure at 1% can take longer than the 5 s in
// which a fault is to be found.
inline constexpr double kGatherChance = 0.05;

// Compares failures only; a stratum may hold several routes.
comparison CompareFailures(const std::vector<version_pair>& strata);

// Compares failures and the latency quantiles 50% and 90%.
comparison Compare(const std::vector<version_pair>& steps);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ROLLOUT_COMPARISON_H_
