// Decides which versions of a pool's servers may receive requests.
#ifndef DOTTERELLEAD_DISPATCH_VERSION_FILTER_H_
#define DOTTERELLEAD_DISPATCH_VERSION_FILTER_H_

#include <map>

#include "dotterellead/catalog.h"

namespace dotterellead::dispatch {

// Versions permitted in one pool. While a move is in progress,
// `trial_per_mille` of the requests go to the version `trial` and the others to
// any other version.
struct version_rule {
  // Target of the move in progress; invalid without one.
  version_id trial;
  std::uint32_t trial_per_mille = 0;
  // A version that was rolled back.
  version_id excluded;
  // If set, the only permitted version.
  version_id required;
};

// Derives the rule for `pool` from its move order and the order's outcome.
// Without an order only the version of the oldest servers is permitted, so that
// a version which appears before its order gets no requests.
version_rule VersionRuleFor(const catalog::snapshot& catalog,
                            const pool_id& pool,
                            std::uint32_t trial_per_mille);

// Whether a server of `version` may receive a request. `is_trial` tells whether
// the request belongs to the trial's share.
bool IsVersionAllowed(const version_rule& rule,
                      const version_id& version,
                      bool is_trial);

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_VERSION_FILTER_H_
