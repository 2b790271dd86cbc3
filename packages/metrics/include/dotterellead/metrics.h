// Counts of what happens to requests, and their Prometheus text.
#ifndef DOTTERELLEAD_METRICS_H_
#define DOTTERELLEAD_METRICS_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/proxy.h"

namespace dotterellead {

// Families of event counters; each has one label.
enum class counter_family {
  // By result, as to_string(attempt_result) or any short text.
  kAttempts,
  // By event: assigned, expired, recalled, ...
  kSlots,
  // By result.
  kProbes,
  // "allowed" or "denied".
  kRetries,
  // By event: strike, quarantined, cleared, refused.
  kStrikes,
  // Requests that this host forwarded to a home, by outcome.
  kForwards,
};

// A tenant, or a class of requests if pool and route are set.
struct metric_labels {
  tenant_id tenant;
  pool_id pool;
  route_id route;
  auto operator<=>(const metric_labels&) const = default;
};

struct latency_summary {
  microseconds p50{0};
  microseconds p99{0};
  microseconds p999{0};
};

// What happened to one tenant or class in an interval.
struct interval_row {
  metric_labels labels;
  std::uint64_t requests = 0;
  // Answers with a status of 500 or more.
  std::uint64_t failures = 0;
  latency_summary total;
  latency_summary added;
};

struct interval_statistics {
  timestamp begin;
  timestamp end;
  // Classes first, then tenants.
  std::vector<interval_row> rows;
  std::uint64_t refusals = 0;
};

// Thread-safe. Recording takes one short lock of the calling thread's shard.
class request_metrics : public request_observer {
 public:
  request_metrics();
  ~request_metrics() override;

  void Answered(const tenant_id& tenant,
                const pool_id& pool,
                const route_id& route,
                int status,
                microseconds total,
                microseconds added) override;
  void Refused(const tenant_id& tenant, std::string_view reason) override;
  void Forwarded(std::string_view outcome) override;
  void Count(counter_family family,
             std::string_view label,
             std::uint64_t amount = 1);

  // Ends the current interval; call at the interval's length, from one thread.
  void RollInterval(const timestamp& now);
  // The latest interval that has ended.
  interval_statistics LastInterval() const;
  // All counters and histograms in Prometheus text format 0.0.4.
  std::string Expose() const;
  // Memory that one class takes, over all shards.
  static byte_count BytesPerClass();

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_METRICS_H_
