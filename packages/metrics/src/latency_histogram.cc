#include "latency_histogram.h"

#include <numeric>

namespace dotterellead {

std::uint64_t latency_counts::Count() const {
  return std::accumulate(buckets.begin(), buckets.end(), std::uint64_t{0});
}

microseconds latency_counts::Quantile(double q) const {
  const double wanted = q * static_cast<double>(Count());
  double below = 0;
  for (int i = -1; i <= kLatencyBuckets; ++i) {
    const auto here = static_cast<double>(buckets[i + 1]);
    if (here > 0 && below + here >= wanted) {
      const double low = i < 0 ? 0 : LatencyBoundUs(i - 1);
      const double high = LatencyBoundUs(std::min(i, kLatencyBuckets - 1));
      const double us = low + (high - low) * (wanted - below) / here;
      return microseconds(static_cast<std::int64_t>(us));
    }
    below += here;
  }
  return microseconds(0);
}

latency_counts& latency_counts::operator+=(const latency_counts& other) {
  for (std::size_t i = 0; i < buckets.size(); ++i)
    buckets[i] += other.buckets[i];
  sum_us += other.sum_us;
  return *this;
}

latency_counts& latency_counts::operator-=(const latency_counts& other) {
  for (std::size_t i = 0; i < buckets.size(); ++i)
    buckets[i] -= other.buckets[i];
  sum_us -= other.sum_us;
  return *this;
}

latency_counts latency_histogram::Read() const {
  latency_counts counts;
  for (int i = -1; i <= kLatencyBuckets; ++i)
    counts.buckets[i + 1] = histogram_.at(i);
  counts.sum_us = sum_us_;
  return counts;
}

}  // namespace dotterellead
