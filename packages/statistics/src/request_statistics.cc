#include <fmt/core.h>

#include <boost/histogram.hpp>

#include "dotterellead/statistics.h"

namespace dotterellead::statistics {

namespace {

namespace histogram = boost::histogram;

// Logarithmic bins of the total time, from 1 ms to the longest route timeout,
// each about 40% wider than the one before.
constexpr unsigned kBins = 30;
constexpr double kMinMillis = 1;
constexpr double kMaxMillis = 30'000;

auto MakeHistogram() {
  using axis =
      histogram::axis::regular<double, histogram::axis::transform::log>;
  return histogram::make_histogram(axis(kBins, kMinMillis, kMaxMillis));
}
using latency_histogram = decltype(MakeHistogram());

struct class_counters {
  std::map<std::string, std::uint64_t, std::less<>> by_outcome;
  latency_histogram latency = MakeHistogram();
  double sum_millis = 0;
  std::uint64_t delivered = 0;
};

}  // namespace

class request_statistics::impl {
 public:
  using by_pool = std::map<std::string, std::uint64_t>;

  void Record(const request_record& record) {
    std::lock_guard lock(mutex_);
    const bool is_known = classes_.contains(record.request_class);
    class_counters& counts = classes_[is_known || classes_.size() < kMaxClasses
                                          ? record.request_class
                                          : "other"];
    auto it = counts.by_outcome.find(record.outcome);
    if (it == counts.by_outcome.end())
      it = counts.by_outcome.emplace(std::string(record.outcome), 0).first;
    ++it->second;
    ++current_.requests;
    if (record.outcome != "delivered")
      return;
    ++current_.delivered;
    ++counts.delivered;
    const double millis = static_cast<double>(record.total.count());
    counts.sum_millis += millis;
    counts.latency(std::max(millis, kMinMillis));
  }

  void SetGauge(std::string_view name, std::uint64_t value) {
    std::lock_guard lock(mutex_);
    gauges_[std::string(name)] = value;
  }

  void DeclarePoolGauge(std::string_view name) {
    std::lock_guard lock(mutex_);
    pool_gauges_.try_emplace(std::string(name));
  }

  void SetPoolGauge(std::string_view name,
                    const std::string& pool,
                    std::uint64_t value) {
    std::lock_guard lock(mutex_);
    auto gauge = pool_gauges_.find(name);
    if (gauge == pool_gauges_.end())
      gauge = pool_gauges_.emplace(std::string(name), by_pool()).first;
    if (gauge->second.contains(pool) || gauge->second.size() < kMaxClasses)
      gauge->second[pool] = value;
  }

  void StartInterval() {
    std::lock_guard lock(mutex_);
    last_ = std::exchange(current_, {});
  }

  interval_counters LastInterval() const {
    std::lock_guard lock(mutex_);
    return last_;
  }

  std::string FormatMetrics() const {
    std::lock_guard lock(mutex_);
    std::string text = "# TYPE dotterellead_calls_total counter\n";
    for (const auto& [name, counts] : classes_)
      for (const auto& [outcome, count] : counts.by_outcome)
        text += fmt::format(
            "dotterellead_calls_total{{class=\"{}\",outcome=\"{}\"}} {}\n",
            name, outcome, count);
    text += "# TYPE dotterellead_call_seconds histogram\n";
    for (const auto& [name, counts] : classes_)
      FormatLatency(name, counts, text);
    text += fmt::format(
        "# TYPE dotterellead_interval_calls gauge\n"
        "dotterellead_interval_calls {}\n"
        "# TYPE dotterellead_interval_delivered gauge\n"
        "dotterellead_interval_delivered {}\n",
        last_.requests, last_.delivered);
    for (const auto& [name, value] : gauges_)
      text += fmt::format(
          "# TYPE dotterellead_{0} gauge\ndotterellead_{0} {1}\n", name, value);
    for (const auto& [name, values] : pool_gauges_) {
      text += fmt::format("# TYPE dotterellead_{} gauge\n", name);
      for (const auto& [pool, value] : values)
        text += fmt::format("dotterellead_{}{{pool=\"{}\"}} {}\n", name, pool,
                            value);
    }
    return text;
  }

 private:
  static void FormatLatency(const std::string& name,
                            const class_counters& counts,
                            std::string& text) {
    constexpr double kMillis = 1000;
    double cumulative = 0;
    for (auto&& bin : histogram::indexed(counts.latency)) {
      cumulative += static_cast<double>(*bin);
      text += fmt::format(
          "dotterellead_call_seconds_bucket{{class=\"{}\",le=\"{:.4g}\"}} "
          "{}\n",
          name, bin.bin().upper() / kMillis, cumulative);
    }
    text += fmt::format(
        "dotterellead_call_seconds_bucket{{class=\"{0}\",le=\"+Inf\"}} {1}\n"
        "dotterellead_call_seconds_sum{{class=\"{0}\"}} {2:.3f}\n"
        "dotterellead_call_seconds_count{{class=\"{0}\"}} {1}\n",
        name, counts.delivered, counts.sum_millis / kMillis);
  }

  mutable std::mutex mutex_;
  std::map<std::string, class_counters> classes_;
  std::map<std::string, std::uint64_t> gauges_;
  std::map<std::string, by_pool, std::less<>> pool_gauges_;
  interval_counters current_;
  interval_counters last_;
};

request_statistics::request_statistics() : impl_(std::make_unique<impl>()) {}
request_statistics::~request_statistics() = default;

void request_statistics::Record(const request_record& record) {
  impl_->Record(record);
}
void request_statistics::SetGauge(std::string_view name, std::uint64_t value) {
  impl_->SetGauge(name, value);
}
void request_statistics::DeclarePoolGauge(std::string_view name) {
  impl_->DeclarePoolGauge(name);
}
void request_statistics::SetPoolGauge(std::string_view name,
                                      const std::string& pool,
                                      std::uint64_t value) {
  impl_->SetPoolGauge(name, pool, value);
}
void request_statistics::StartInterval() {
  impl_->StartInterval();
}
interval_counters request_statistics::LastInterval() const {
  return impl_->LastInterval();
}
std::string request_statistics::FormatMetrics() const {
  return impl_->FormatMetrics();
}

}  // namespace dotterellead::statistics
