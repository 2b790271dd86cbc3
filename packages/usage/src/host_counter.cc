#include "dotterellead/usage.h"

namespace dotterellead::usage {

namespace {

unix_millis Before(unix_millis time, milliseconds interval) {
  return {time.value - interval.count()};
}

}  // namespace

host_counter::host_counter(window_settings settings,
                           member_id self,
                           incarnation_id incarnation)
    : settings_(settings), self_(std::move(self)), incarnation_(incarnation) {}

void host_counter::Count(const customer_id& customer,
                         int change,
                         window_number window) {
  if (next_.is_valid() && window < next_)
    return;
  count_table& counts = windows_[window];
  if (change > 0) {
    ++counts[customer];
    return;
  }
  const auto entry = counts.find(customer);
  if (entry != counts.end() && --entry->second == 0)
    counts.erase(entry);
}

std::vector<host_report> host_counter::TakeDue(unix_millis now) {
  const window_number due =
      WindowAt(Before(now, settings_.send_delay()), settings_.period);
  // A report of an older window would come too late.
  oldest_ = WindowAt(Before(now, settings_.max_delay + settings_.period),
                     settings_.period);
  if (!next_.is_valid()) {
    const auto start = WindowAt(
        {static_cast<std::int64_t>(incarnation_.value())}, settings_.period);
    next_ = std::max(start, oldest_);
  }
  // Windows before the start of this run have no report of it.
  window_number from = std::max(next_, oldest_);
  if (resent_after_.is_valid()) {
    const window_number start = WindowAt(
        {static_cast<std::int64_t>(incarnation_.value())}, settings_.period);
    from = std::min(from, std::max({resent_after_, oldest_, start}));
    resent_after_ = window_number();
  }
  std::vector<host_report> reports;
  for (window_number window = from; window < due; window = window.next()) {
    const auto counts = windows_.find(window);
    reports.push_back(
        {self_, incarnation_, window,
         counts == windows_.end() ? count_table() : counts->second});
  }
  next_ = std::max(next_, due);
  windows_.erase(windows_.begin(), windows_.lower_bound(oldest_));
  return reports;
}

}  // namespace dotterellead::usage
