#include "gossip_schedule.h"

#include <algorithm>

#include "dotterellead/core.h"

namespace dotterellead {
namespace {

// One address without a known host is tried once per this many intervals.
constexpr std::uint64_t kOthersInterval = 4;

}  // namespace

std::vector<std::string> address_rotation::Next(
    const std::set<std::string>& addresses,
    std::size_t count) {
  std::vector<std::pair<std::uint64_t, const std::string*>> order;
  order.reserve(addresses.size());
  for (const std::string& address : addresses)
    order.emplace_back(StableHash(salt_ + address), &address);
  std::sort(order.begin(), order.end());
  auto at = std::find_if(order.begin(), order.end(),
                         [&](const auto& e) { return e.first > last_; });
  std::vector<std::string> next;
  while (next.size() < std::min(count, order.size())) {
    if (at == order.end())
      at = order.begin();
    next.push_back(*at->second);
    last_ = at->first;
    ++at;
  }
  return next;
}

std::vector<std::string> gossip_schedule::Next(
    const std::set<std::string>& members,
    const std::set<std::string>& others) {
  const bool try_others = rounds_++ % kOthersInterval == 0 && !others.empty();
  const std::size_t reserved = try_others ? 1 : 0;
  std::vector<std::string> next =
      members_.Next(members, limits::kGossipFanOut - reserved);
  const std::size_t rest = limits::kGossipFanOut - next.size();
  for (std::string& address : others_.Next(others, rest))
    next.push_back(std::move(address));
  return next;
}

}  // namespace dotterellead
