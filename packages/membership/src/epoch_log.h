// Replay of the stream `members`, which determines the current epoch.
#ifndef DOTTERELLEAD_EPOCH_LOG_H_
#define DOTTERELLEAD_EPOCH_LOG_H_

#include <string>
#include <vector>

#include "dotterellead/membership.h"

namespace dotterellead {

// An epoch that the log has accepted.
struct epoch {
  epoch_name name;
  // Sorted by id.
  std::vector<member_run> members;
  bool Has(const member_run& run) const;
  // Position of `run` in members, or nullopt.
  std::optional<std::size_t> IndexOf(const member_run& run) const;
};

// Applies records in log order. All hosts that read the same records reach the
// same epochs.
class epoch_log {
 public:
  // Effect of one record.
  struct change {
    bool is_adopted = false;
    bool is_refreshed = false;
    // Whether epochs between the former and the adopted one were not seen.
    bool has_skipped_epochs = false;
    // As stated by the record.
    epoch_number ended{0};
  };

  // Sets the range of a batch before its records are applied. A gap means that
  // the log has dropped records that this host has not read.
  void BeginBatch(log_offset first_kept, log_offset first_in_batch);
  // Applies one record. Records before next_offset() and malformed ones have no
  // effect.
  change Apply(const log_record& record);

  const epoch& current() const { return current_; }
  log_offset next_offset() const { return next_offset_; }
  // Whether records may have been lost before any epoch was read.
  bool is_truncated() const { return is_truncated_; }

 private:
  change ApplyRefresh(const epoch_record& record);
  change ApplyChange(const epoch_record& record, log_offset offset);
  change Adopt(const epoch_record& record, epoch_name name);

  epoch current_;
  log_offset next_offset_{0};
  // The current epoch is from a log that has lost its beginning, and is
  // unconfirmed: its record may have lost against one that is no longer kept.
  bool is_tentative_ = false;
  bool is_truncated_ = false;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_EPOCH_LOG_H_
