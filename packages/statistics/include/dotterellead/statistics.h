// Counters and latency histograms of an entry host, as Prometheus text.
#ifndef DOTTERELLEAD_STATISTICS_H_
#define DOTTERELLEAD_STATISTICS_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "dotterellead/core.h"

namespace dotterellead::statistics {

// How a call ended, for one class of calls.
struct call_record {
  // The class, such as a route's name; empty: no class was found.
  std::string call_class;
  // "delivered", or the reason of a rejection.
  std::string_view outcome;
  milliseconds total{0};
};

// What happened since the last interval began, and in the one before.
struct interval_counts {
  std::uint64_t calls = 0;
  std::uint64_t delivered = 0;
};

// Thread-safe. Classes beyond kMostClasses are counted as "other".
class call_statistics {
 public:
  static constexpr std::size_t kMostClasses = 64;

  call_statistics();
  ~call_statistics();

  void Count(const call_record& record);
  // Sets a value that another part counts, such as its open connections.
  void SetGauge(std::string_view name, std::uint64_t value);
  // Ends the current interval.
  void RollInterval();
  interval_counts LastInterval() const;
  // All in Prometheus text format 0.0.4.
  std::string Expose() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::statistics

#endif  // DOTTERELLEAD_STATISTICS_H_
