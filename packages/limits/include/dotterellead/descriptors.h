// How many descriptors callers' connections may use.
#ifndef DOTTERELLEAD_DESCRIPTORS_H_
#define DOTTERELLEAD_DESCRIPTORS_H_

#include <sys/resource.h>

#include <algorithm>
#include <cstdint>

#include "dotterellead/limits.h"

namespace dotterellead {

// Leaves a quarter of `all` to servers, the store and other hosts.
constexpr std::uint64_t CallerShareOfDescriptors(std::uint64_t all) {
  const std::uint64_t reserved =
      std::max(limits::kMinReservedDescriptors, all / 4);
  return all > reserved ? all - reserved : 1;
}
static_assert(CallerShareOfDescriptors(4'100) == 3'075);
static_assert(CallerShareOfDescriptors(limits::kMinDescriptors) == 48);

// Of what callers leave, the connections to servers; 32 are kept for the store,
// other hosts and the process's own files.
constexpr std::uint64_t ServerShareOfDescriptors(std::uint64_t all) {
  constexpr std::uint64_t kOwn = 32;
  return all - CallerShareOfDescriptors(all) - kOwn;
}
static_assert(ServerShareOfDescriptors(limits::kMinDescriptors) == 16);

// `max` is the setting; 0 stands for the process's limit of open files, which
// also applies if it is lower.
inline std::uint64_t AllDescriptors(std::uint64_t max) {
  rlimit limit{};
  std::uint64_t all = UINT64_MAX;
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0)
    all = limit.rlim_cur;
  return std::max(limits::kMinDescriptors, max == 0 ? all : std::min(all, max));
}

}  // namespace dotterellead

#endif  // DOTTERELLEAD_DESCRIPTORS_H_
