#include "dotterellead/access.h"

namespace dotterellead::access {

namespace {

// For the way of a request to its server, and the steps of the clocks.
constexpr milliseconds kRevocationMargin{500};
// The root tries again to reach a lost store after 0.7 s, and hosts pass on the
// new proof within milliseconds.
constexpr milliseconds kRetryAfter{1'000};

}  // namespace

void age_rule::Confirm(boot_time proven_at) {
  if (!proven_at_ || *proven_at_ < proven_at)
    proven_at_ = proven_at;
}

std::optional<boot_time> age_rule::keys_valid_until() const {
  if (!limits_.is_strict)
    return std::nullopt;
  if (!proven_at_)
    return boot_time::min();
  return *proven_at_ + limits_.revocation - kRevocationMargin;
}

bool age_rule::AcceptsKeys(boot_time now) const {
  const std::optional<boot_time> until = keys_valid_until();
  return !until || now < *until;
}

bool age_rule::MayBeOutdated(boot_time now) const {
  return !proven_at_ || now - *proven_at_ > limits_.config_delay;
}

milliseconds age_rule::retry_after() const {
  return kRetryAfter;
}

}  // namespace dotterellead::access
