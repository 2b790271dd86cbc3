#include "dotterellead/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <set>
#include <unordered_map>

#include "metric_totals.h"

namespace dotterellead {
namespace {

constexpr std::size_t kShards = 8;
constexpr char kOther[] = "other";

std::size_t OwnShard() {
  // Threads take shards in turn.
  static std::atomic<std::size_t> next_shard{0};
  thread_local const std::size_t own = next_shard.fetch_add(1) % kShards;
  return own;
}

// Labels by reference, to look a class up without copies.
struct labels_view {
  std::string_view tenant;
  std::string_view pool;
  route_id route;
  labels_view(const tenant_id& t, const pool_id& p, route_id r)
      : tenant(t.value()), pool(p.value()), route(r) {}
  // The conversion lets one hash and one comparison serve both forms.
  // NOLINTNEXTLINE(google-explicit-constructor)
  labels_view(const metric_labels& l)
      : labels_view(l.tenant, l.pool, l.route) {}
  bool operator==(const labels_view&) const = default;
};

struct labels_hash {
  using is_transparent = void;
  std::size_t operator()(const labels_view& v) const {
    const std::hash<std::string_view> text;
    return (text(v.tenant) * 31 + text(v.pool)) * 31 +
           static_cast<std::size_t>(v.route.value());
  }
};

struct labels_equal {
  using is_transparent = void;
  bool operator()(const labels_view& a, const labels_view& b) const {
    return a == b;
  }
};

struct counter_view {
  int family;
  std::string_view tenant;
  std::string_view label;
};

struct counter_less {
  using is_transparent = void;
  template <class A, class B>
  bool operator()(const A& a, const B& b) const {
    const auto tie = [](const auto& k) {
      return std::tuple<int, std::string_view, std::string_view>(
          k.family, k.tenant, k.label);
    };
    return tie(a) < tie(b);
  }
};

struct class_series {
  latency_histogram total;
  latency_histogram added;
  std::uint64_t failures = 0;
};

// Which label sets have their own series, over all shards.
class label_registry {
 public:
  // The labels to count under: those given, or "other" once there are too many.
  metric_labels Admit(const metric_labels& labels) {
    std::lock_guard lock(mutex_);
    if (classes_.contains(labels))
      return labels;
    if (classes_.size() >= limits::kMaxRequestClasses)
      return {tenant_id(kOther), pool_id(kOther), route_id()};
    classes_.insert(labels);
    return labels;
  }

  counter_key Admit(const counter_key& key) {
    std::lock_guard lock(mutex_);
    std::set<counter_key>& family = counters_[key.family];
    if (family.contains(key))
      return key;
    if (family.size() >= limits::kMaxCounterLabels)
      return {key.family, key.tenant.empty() ? "" : kOther, kOther};
    family.insert(key);
    return key;
  }

 private:
  std::mutex mutex_;
  std::set<metric_labels> classes_;
  std::array<std::set<counter_key>, kFamilies> counters_;
};

struct alignas(64) shard {
  std::mutex mutex;
  std::unordered_map<metric_labels, class_series, labels_hash, labels_equal>
      classes;
  std::map<counter_key, std::uint64_t, counter_less> counters;
};

latency_summary Summarize(const latency_counts& counts) {
  return {counts.Quantile(0.5), counts.Quantile(0.99), counts.Quantile(0.999)};
}

void AddRows(const class_map& classes, std::vector<interval_row>& rows) {
  for (const auto& [labels, totals] : classes) {
    const std::uint64_t requests = totals.total.Count();
    if (requests == 0)
      continue;
    rows.push_back({.labels = labels,
                    .requests = requests,
                    .failures = totals.failures,
                    .total = Summarize(totals.total),
                    .added = Summarize(totals.added)});
  }
}

std::uint64_t SumRefusals(const metric_totals& totals) {
  std::uint64_t sum = 0;
  for (const auto& [key, value] : totals.counters)
    sum += key.family == kRefusalFamily ? value : 0;
  return sum;
}

}  // namespace

class_totals& class_totals::operator+=(const class_totals& other) {
  total += other.total;
  added += other.added;
  failures += other.failures;
  return *this;
}

class_totals& class_totals::operator-=(const class_totals& other) {
  total -= other.total;
  added -= other.added;
  failures -= other.failures;
  return *this;
}

class_map SumByTenant(const class_map& classes) {
  class_map tenants;
  for (const auto& [labels, totals] : classes)
    tenants[{.tenant = labels.tenant}] += totals;
  return tenants;
}

class request_metrics::impl {
 public:
  void Answered(const labels_view& view,
                int status,
                microseconds total,
                microseconds added) {
    shard& own = shards_[OwnShard()];
    std::lock_guard lock(own.mutex);
    auto it = own.classes.find(view);
    if (it == own.classes.end())
      it = own.classes.try_emplace(Admitted(view)).first;
    class_series& series = it->second;
    series.total.Add(total);
    series.added.Add(std::max(added, microseconds(0)));
    series.failures += status >= 500 ? 1 : 0;
  }

  void Count(const counter_view& view, std::uint64_t amount) {
    shard& own = shards_[OwnShard()];
    std::lock_guard lock(own.mutex);
    auto it = own.counters.find(view);
    if (it == own.counters.end()) {
      const counter_key key{view.family, std::string(view.tenant),
                            std::string(view.label)};
      it = own.counters.try_emplace(registry_.Admit(key), 0).first;
    }
    it->second += amount;
  }

  metric_totals Read() {
    metric_totals totals;
    for (shard& s : shards_) {
      std::lock_guard lock(s.mutex);
      for (const auto& [labels, series] : s.classes) {
        totals.classes[labels] +=
            {series.total.Read(), series.added.Read(), series.failures};
      }
      for (const auto& [key, value] : s.counters)
        totals.counters[key] += value;
    }
    return totals;
  }

  void RollInterval(const timestamp& now) {
    metric_totals totals = Read();
    std::lock_guard lock(interval_mutex_);
    class_map difference = totals.classes;
    for (const auto& [labels, before] : previous_.classes)
      difference[labels] -= before;
    interval_statistics latest{.begin = previous_end_.value_or(now),
                               .end = now};
    AddRows(difference, latest.rows);
    AddRows(SumByTenant(difference), latest.rows);
    latest.refusals = SumRefusals(totals) - SumRefusals(previous_);
    latest_ = std::move(latest);
    previous_ = std::move(totals);
    previous_end_ = now;
  }

  interval_statistics LastInterval() {
    std::lock_guard lock(interval_mutex_);
    return latest_;
  }

 private:
  metric_labels Admitted(const labels_view& view) {
    return registry_.Admit({.tenant = tenant_id(std::string(view.tenant)),
                            .pool = pool_id(std::string(view.pool)),
                            .route = view.route});
  }

  label_registry registry_;
  std::array<shard, kShards> shards_;
  std::mutex interval_mutex_;
  metric_totals previous_;
  std::optional<timestamp> previous_end_;
  interval_statistics latest_;
};

request_metrics::request_metrics() : impl_(std::make_unique<impl>()) {}

request_metrics::~request_metrics() = default;

void request_metrics::Answered(const tenant_id& tenant,
                               const pool_id& pool,
                               const route_id& route,
                               int status,
                               microseconds total,
                               microseconds added) {
  impl_->Answered({tenant, pool, route}, status, total, added);
}

void request_metrics::Refused(const tenant_id& tenant,
                              std::string_view reason) {
  impl_->Count({kRefusalFamily, tenant.value(), reason}, 1);
}

void request_metrics::Forwarded(std::string_view outcome) {
  Count(counter_family::kForwards, outcome);
}

void request_metrics::Count(counter_family family,
                            std::string_view label,
                            std::uint64_t amount) {
  impl_->Count({static_cast<int>(family), "", label}, amount);
}

void request_metrics::RollInterval(const timestamp& now) {
  impl_->RollInterval(now);
}

interval_statistics request_metrics::LastInterval() const {
  return impl_->LastInterval();
}

std::string request_metrics::Expose() const {
  return FormatExposition(impl_->Read());
}

byte_count request_metrics::BytesPerClass() {
  constexpr std::size_t kCounts =
      std::size_t{2} * (kLatencyBuckets + 2) * sizeof(std::uint64_t);
  return {kShards * (sizeof(metric_labels) + sizeof(class_series) + kCounts)};
}

}  // namespace dotterellead
