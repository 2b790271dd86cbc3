// Counters and latency histograms of an entry host on the platform, in
// Prometheus text format. The standalone mode uses packages/metrics.
#ifndef DOTTERELLEAD_STATISTICS_H_
#define DOTTERELLEAD_STATISTICS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "dotterellead/core.h"

namespace dotterellead::statistics {

// Outcome of one request.
struct request_record {
  // Class of the request, that is, its route; empty without one.
  std::string request_class;
  // "delivered", or the reason for the rejection.
  std::string_view outcome;
  milliseconds total{0};
};

// Counts of one interval.
struct interval_counters {
  std::uint64_t requests = 0;
  std::uint64_t delivered = 0;
};

// Thread-safe. Classes beyond kMostClasses are counted as "other".
class request_statistics {
 public:
  static constexpr std::size_t kMaxClasses = 64;

  request_statistics();
  ~request_statistics();

  // Counts one completed request.
  void Record(const request_record& record);
  // Sets a value that another component counts, such as open connections.
  void SetGauge(std::string_view name, std::uint64_t value);
  // Lists a value of pools in the metrics, also while there is no pool with it.
  void DeclarePoolGauge(std::string_view name);
  // Sets a value of one pool.
  void SetPoolGauge(std::string_view name,
                    const std::string& pool,
                    std::uint64_t value);
  // Ends the current interval and starts the next.
  void StartInterval();
  // The last complete interval.
  interval_counters LastInterval() const;
  // All metrics in Prometheus text format 0.0.4.
  std::string FormatMetrics() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::statistics

#endif  // DOTTERELLEAD_STATISTICS_H_
