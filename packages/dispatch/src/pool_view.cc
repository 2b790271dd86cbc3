#include "pool_view.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// Totals take up to 2 s through the tree; older ones miss a burst that has
// begun since.
constexpr milliseconds kMaxAge{5'000};
// As long as the retry allowance counts a longer list.
constexpr milliseconds kListMemory{10'000};
// Fraction of the hosts that must have reported.
constexpr double kMinReporting = 0.5;

pools::pool_load Scaled(const pools::pool_load& load, double factor) {
  pools::pool_load scaled = load;
  for (auto& [priority, l] : scaled.by_priority) {
    l.offered *= factor;
    l.completed *= factor;
    l.rejected *= factor;
    l.offered_work *= factor;
    l.completed_work *= factor;
  }
  return scaled;
}

}  // namespace

void pool_view::SetTotals(pools::pool_table totals, time_point now) {
  totals_ = std::move(totals);
  received_at_ = now;
}

void pool_view::RecordHostCount(std::size_t count, time_point now) {
  std::erase_if(counts_, [&](const host_count& c) {
    return c.replaced_at && *c.replaced_at + kListMemory < now;
  });
  if (!counts_.empty() && !counts_.back().replaced_at) {
    if (counts_.back().count == count)
      return;
    counts_.back().replaced_at = now;
  }
  counts_.push_back({count, std::nullopt});
}

std::size_t pool_view::HostCount(time_point now) const {
  std::size_t hosts = 1;
  for (const host_count& c : counts_)
    if (!c.replaced_at || now <= *c.replaced_at + kListMemory)
      hosts = std::max(hosts, c.count);
  return hosts;
}

std::optional<pools::pool_load> pool_view::LoadOf(const pool_id& pool,
                                                  time_point now) const {
  pools::pool_load sum;
  for (auto row = totals_.lower_bound({pool, data_centre_id()});
       row != totals_.end() && row->first.pool == pool; ++row)
    sum.Add(row->second);
  const auto hosts = static_cast<double>(HostCount(now));
  const auto reporting = static_cast<double>(sum.host_count);
  sum.age += std::chrono::duration_cast<milliseconds>(now - received_at_);
  if (sum.host_count == 0 || reporting < hosts * kMinReporting ||
      sum.age > kMaxAge)
    return std::nullopt;
  return Scaled(sum, std::max(1.0, hosts / reporting));
}

pools::pool_load pool_view::Extrapolate(const pools::pool_load& own,
                                        std::size_t slots,
                                        time_point now) const {
  const double own_work = own.Total().completed_work;
  if (own.probed_slots <= 0 || own_work <= 0)
    return own;
  const double busy =
      (1 - own.free_slots / own.probed_slots) * static_cast<double>(slots);
  return Scaled(own, std::clamp(busy / own_work, 1.0,
                                static_cast<double>(HostCount(now))));
}

}  // namespace dotterellead::dispatch
