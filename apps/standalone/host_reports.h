// What the duties last reported, for the threads that answer operators and
// requests.
#ifndef DOTTERELLEAD_HOST_REPORTS_H_
#define DOTTERELLEAD_HOST_REPORTS_H_

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

#include "dotterellead/balance.h"
#include "dotterellead/config.h"
#include "dotterellead/membership.h"

namespace dotterellead {

class host_reports {
 public:
  void SetServing(config_snapshot config) {
    std::lock_guard lock(mutex_);
    serving_ = std::move(config);
  }
  // The resources to serve by; an empty table until there are any.
  config_snapshot Serving() const {
    std::lock_guard lock(mutex_);
    return serving_;
  }

  void SetEpoch(const epoch_changed& epoch) {
    std::lock_guard lock(mutex_);
    epoch_ = epoch;
  }
  epoch_changed Epoch() const {
    std::lock_guard lock(mutex_);
    return epoch_;
  }

  void SetBalance(balance_report report) {
    std::lock_guard lock(mutex_);
    balance_ = std::move(report);
  }
  balance_report Balance() const {
    std::lock_guard lock(mutex_);
    return balance_;
  }

  std::atomic<bool> has_config{false};
  std::atomic<bool> log_readable{false};
  std::atomic<bool> leaving{false};
  // No request runs longer; a limit only while this host is stopping.
  std::atomic<time_point> ends_at{time_point::max()};
  std::atomic<std::size_t> in_flight{0};

 private:
  mutable std::mutex mutex_;
  config_snapshot serving_ = std::make_shared<const config_view>();
  epoch_changed epoch_;
  balance_report balance_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_HOST_REPORTS_H_
