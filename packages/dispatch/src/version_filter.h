// Which versions of a pool's servers may get requests.
#ifndef DOTTERELLEAD_DISPATCH_VERSION_FILTER_H_
#define DOTTERELLEAD_DISPATCH_VERSION_FILTER_H_

#include <map>

#include "dotterellead/catalog.h"

namespace dotterellead::dispatch {

// Versions for one pool. While a move runs, `trial_per_mille` of the requests
// go to `trial`; the rest go to any other version than `trial`.
struct version_rule {
  // Invalid: every version but `excluded` may be used.
  version_id trial;
  std::uint32_t trial_per_mille = 0;
  // A version that was rolled back, or that no move has brought in yet.
  version_id excluded;
  // Set once a move is done: only this version.
  version_id only;
};

// The rule for `pool` from its orders and their outcome. A version that shows
// up before its order is known is excluded: the version of the oldest servers
// stays in use.
version_rule RuleFor(const catalog::snapshot& known,
                     const pool_id& pool,
                     std::uint32_t trial_per_mille);

// Whether a server of `version` may get a request; `is_trial` says that the
// request is one of the trial's share.
bool Allows(const version_rule& rule, const version_id& version, bool is_trial);

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_VERSION_FILTER_H_
