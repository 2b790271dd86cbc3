#include "retry_allowance.h"

#include <algorithm>

namespace dotterellead::dispatch {

namespace {

// How long a longer list counts after a shorter one replaced it.
constexpr milliseconds kListMemory{10'000};
// The rest is for hosts that restart with an empty window and for hosts that
// no list names.
constexpr double kSharedPart = 0.5;

}  // namespace

retry_allowance::retry_allowance(double total, std::size_t min_hosts)
    : total_(total), min_hosts_(std::max<std::size_t>(min_hosts, 1)) {}

void retry_allowance::RecordHostCount(std::size_t count, time_point now) {
  while (!counts_.empty() && !IsRecent(counts_.front(), now))
    counts_.pop_front();
  if (!counts_.empty()) {
    if (counts_.back().count == count)
      return;
    counts_.back().replaced_at = now;
  }
  counts_.push_back({count});
}

bool retry_allowance::IsRecent(const host_count& count, time_point now) {
  return !count.replaced_at || now <= *count.replaced_at + kListMemory;
}

double retry_allowance::ShareAt(time_point now) const {
  std::size_t hosts = min_hosts_;
  for (const host_count& c : counts_)
    if (IsRecent(c, now))
      hosts = std::max(hosts, c.count);
  return total_ * kSharedPart / static_cast<double>(hosts);
}

}  // namespace dotterellead::dispatch
