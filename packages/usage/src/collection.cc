#include "dotterellead/usage.h"

namespace dotterellead::usage {

namespace {

// Windows before and after the present one that are kept. A host whose clock
// differs by more cannot report.
constexpr std::uint64_t kKeptWindows = 8;
// A window is reported if at most one host in this many is missing.
constexpr std::size_t kMinHostsPerMissing = 20;

}  // namespace

void collection::SetLiveHosts(std::vector<member_id> live) {
  live_ = std::make_shared<const std::vector<member_id>>(std::move(live));
}

void collection::Add(const std::vector<host_report>& reports, unix_millis now) {
  const std::uint64_t present = WindowAt(now, settings_.period).value();
  for (const host_report& report : reports) {
    const std::uint64_t window = report.window.value();
    if (window + kKeptWindows < present || window > present + kKeptWindows)
      continue;
    windows_[report.window].reports.try_emplace(
        {report.host, report.incarnation}, report.counts);
  }
}

void collection::Advance(unix_millis now) {
  const window_number present = WindowAt(now, settings_.period);
  std::erase_if(windows_, [&](const auto& entry) {
    return entry.first.value() + kKeptWindows < present.value() ||
           entry.first.value() > present.value() + kKeptWindows;
  });
  if (!live_)
    return;
  std::vector<host_list>& expected = windows_[present].expected;
  if (std::find(expected.begin(), expected.end(), live_) == expected.end())
    expected.push_back(live_);
}

window_state collection::StateOf(window_number window, unix_millis now) const {
  const auto known = windows_.find(window);
  if (known == windows_.end() || known->second.expected.empty())
    return window_state::kIncomplete;
  const window_reports& reports = known->second;
  // The incarnation is the time of the start. A host that started during the
  // window may have lost the counts of its earlier run.
  const auto begin =
      static_cast<std::uint64_t>(BeginOf(window, settings_.period).value);
  std::set<member_id> whole;
  for (const auto& [key, counts] : reports.reports)
    if (key.second.value() <= begin)
      whole.insert(key.first);
  std::set<member_id> expected;
  std::size_t missing = 0;
  for (const host_list& list : reports.expected)
    for (const member_id& host : *list)
      if (expected.insert(host).second && whole.count(host) == 0)
        ++missing;
  const milliseconds age(now.value - settings_.EndOf(window).value);
  if (age >= settings_.report_delay() && missing == 0)
    return window_state::kReady;
  return age >= settings_.incomplete_delay() &&
                 missing * kMinHostsPerMissing <= expected.size()
             ? window_state::kReady
             : window_state::kIncomplete;
}

count_table collection::CountsOf(window_number window) const {
  count_table total;
  const auto known = windows_.find(window);
  if (known == windows_.end())
    return total;
  for (const auto& [key, counts] : known->second.reports)
    for (const auto& [customer, count] : counts)
      total[customer] += count;
  return total;
}

}  // namespace dotterellead::usage
