#include <algorithm>
#include <cmath>

#include "dotterellead/pools.h"

namespace dotterellead::pools {

namespace {

// Relative difference of two similar values, and the difference that is always
// similar, in requests or slot-seconds per second.
constexpr double kMaxRelativeDifference = 0.1;
constexpr double kMinDifference = 0.2;

constexpr double priority_load::*kValues[] = {
    &priority_load::offered, &priority_load::completed,
    &priority_load::rejected, &priority_load::offered_work,
    &priority_load::completed_work};

bool AreClose(double a, double b) {
  return std::abs(a - b) <=
         std::max(kMinDifference, kMaxRelativeDifference * std::max(a, b));
}

}  // namespace

void priority_load::Add(const priority_load& other) {
  for (double priority_load::*value : kValues)
    this->*value += other.*value;
}

void pool_load::Add(const pool_load& other) {
  for (const auto& [priority, load] : other.by_priority)
    by_priority[priority].Add(load);
  free_slots += other.free_slots;
  probed_slots += other.probed_slots;
  host_count += other.host_count;
  age = std::max(age, other.age);
}

priority_load pool_load::Total() const {
  priority_load total;
  for (const auto& [priority, load] : by_priority)
    total.Add(load);
  return total;
}

bool IsSimilar(const pool_load& a, const pool_load& b) {
  if (a.host_count != b.host_count ||
      a.by_priority.size() != b.by_priority.size())
    return false;
  for (const auto& [priority, load] : a.by_priority) {
    const auto other = b.by_priority.find(priority);
    if (other == b.by_priority.end())
      return false;
    for (double priority_load::*value : kValues)
      if (!AreClose(load.*value, other->second.*value))
        return false;
  }
  return AreClose(a.free_slots, b.free_slots) &&
         AreClose(a.probed_slots, b.probed_slots);
}

}  // namespace dotterellead::pools
