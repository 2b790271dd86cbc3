#include <fmt/core.h>

#include "fleet_impl.h"

namespace dotterellead::fleet {

std::uint64_t VersionOf(const std::vector<host_info>& hosts) {
  std::string text;
  for (const host_info& host : hosts)
    text += host.name.value() + ' ' + to_string(host.address) + '\n';
  return StableHash(text) & kVersionMask;
}

std::uint64_t VersionOf(const std::vector<moves::stage>& stages) {
  std::string text;
  for (const moves::stage& s : stages)
    text += fmt::format("{} {} {} {} {}\n", s.pool.value(), s.order.value(),
                        s.per_mille, static_cast<int>(s.state), s.step);
  return StableHash(text) & kVersionMask;
}

}  // namespace dotterellead::fleet
