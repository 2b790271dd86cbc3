// All metrics, summed over the shards, as they are exposed.
#ifndef DOTTERELLEAD_METRIC_TOTALS_H_
#define DOTTERELLEAD_METRIC_TOTALS_H_

#include <cstdint>
#include <map>
#include <string>

#include "dotterellead/metrics.h"
#include "latency_histogram.h"

namespace dotterellead {

struct class_totals {
  latency_counts total;
  latency_counts added;
  std::uint64_t failures = 0;

  class_totals& operator+=(const class_totals& other);
  class_totals& operator-=(const class_totals& other);
};

// Refusals are a family of their own, with the tenant as a second label.
inline constexpr int kRefusalFamily = 6;
inline constexpr int kFamilies = 7;

struct counter_key {
  int family = 0;
  std::string tenant;
  std::string label;
  auto operator<=>(const counter_key&) const = default;
};

using class_map = std::map<metric_labels, class_totals>;

struct metric_totals {
  class_map classes;
  std::map<counter_key, std::uint64_t> counters;
};

// Sums the classes of each tenant.
class_map SumByTenant(const class_map& classes);

// Prometheus text format 0.0.4.
std::string FormatExposition(const metric_totals& totals);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_METRIC_TOTALS_H_
