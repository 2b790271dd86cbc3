// How a host proves the age of its data to its children. Times of the two hosts
// are never compared with each other, only differences on one clock.
#ifndef DOTTERELLEAD_FLEET_PROOF_H_
#define DOTTERELLEAD_FLEET_PROOF_H_

#include <algorithm>
#include <optional>

#include "dotterellead/core.h"

namespace dotterellead::fleet {

// On the parent: its proof relative to the arrival of the child's request,
// rounded to the earlier time.
inline std::optional<milliseconds> ProofDifference(
    std::optional<boot_time> proven_at,
    boot_time arrived_at) {
  if (!proven_at)
    return std::nullopt;
  return std::chrono::floor<milliseconds>(*proven_at - arrived_at);
}

// On the child: the request cannot have arrived before it was sent, so this is
// at most the parent's proof, however long the messages took.
inline std::optional<boot_time> ProvenAt(
    std::optional<boot_time> requested_at,
    std::optional<milliseconds> difference) {
  if (!requested_at || !difference)
    return std::nullopt;
  return *requested_at + *difference;
}

// On the child: the time that a response and its request spent on the way, or
// waiting for a slow host. 0 if the parent does not say how long it held the
// request.
inline milliseconds TimeOnTheWay(boot_time requested_at,
                                 boot_time received_at,
                                 std::optional<milliseconds> held) {
  if (!held)
    return milliseconds(0);
  return std::max(
      milliseconds(0),
      std::chrono::ceil<milliseconds>(received_at - requested_at) - *held);
}

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_PROOF_H_
