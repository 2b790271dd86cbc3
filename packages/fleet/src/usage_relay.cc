#include "usage_relay.h"

namespace dotterellead::fleet {

namespace {

// Eight windows of a hundred hosts. Without a parent the oldest are dropped
// first; they would be late.
constexpr std::size_t kMaxReports = 1'024;

}  // namespace

void usage_relay::Add(std::vector<usage::host_report> reports) {
  // clang-tidy does not see that the elements are moved.
  std::vector<usage::host_report> added = std::move(reports);
  for (usage::host_report& report : added) {
    key k{report.window, report.host, report.incarnation};
    reports_.try_emplace(std::move(k), std::move(report));
  }
  while (reports_.size() > kMaxReports)
    reports_.erase(reports_.begin());
}

std::vector<usage::host_report> usage_relay::Take() {
  std::vector<usage::host_report> taken;
  taken.reserve(reports_.size());
  for (auto& [k, report] : reports_)
    taken.push_back(std::move(report));
  reports_.clear();
  return taken;
}

}  // namespace dotterellead::fleet
