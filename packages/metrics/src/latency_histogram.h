// Histogram of latencies with logarithmic buckets.
#ifndef DOTTERELLEAD_LATENCY_HISTOGRAM_H_
#define DOTTERELLEAD_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cmath>
#include <cstdint>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead {

// Buckets from 10 us to 100 s, eight per factor of ten, so that a quantile is
// known to about a third of its value or better.
inline constexpr int kLatencyBuckets = 56;
inline constexpr double kShortestLatencyUs = 10;
inline constexpr double kLongestLatencyUs = 100e6;

// Upper bound of bucket `i`, where bucket -1 holds all shorter latencies.
inline double LatencyBoundUs(int i) {
  return kShortestLatencyUs * std::pow(10.0, (i + 1) / 8.0);
}

// Counts per bucket as they are read out: [0] is below the shortest bound, the
// last is at or above the longest.
struct latency_counts {
  std::vector<std::uint64_t> buckets =
      std::vector<std::uint64_t>(kLatencyBuckets + 2);
  std::uint64_t sum_us = 0;

  std::uint64_t Count() const;
  // The latency that the share `q` of all is below; interpolated in a bucket.
  microseconds Quantile(double q) const;
  latency_counts& operator+=(const latency_counts& other);
  latency_counts& operator-=(const latency_counts& other);
};

class latency_histogram {
 public:
  void Add(microseconds latency) {
    const auto us = static_cast<double>(latency.count());
    histogram_(us);
    sum_us_ += static_cast<std::uint64_t>(us);
  }
  latency_counts Read() const;

 private:
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using storage = boost::histogram::dense_storage<std::uint64_t>;
  boost::histogram::histogram<std::tuple<axis>, storage> histogram_{
      std::tuple(axis(kLatencyBuckets, kShortestLatencyUs, kLongestLatencyUs)),
      storage()};
  std::uint64_t sum_us_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_LATENCY_HISTOGRAM_H_
