// Replay of the stream `members`: which epoch is current.
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

// Applies records in log order. All hosts that read the same records come to
// the same epochs.
class epoch_log {
 public:
  // What one record changed.
  struct change {
    bool adopted = false;
    bool refreshed = false;
    // Epochs between the former one and the adopted one were not seen.
    bool skipped = false;
    // As stated by the record.
    epoch_number ended{0};
  };

  // Tells the replay about the range of a batch before its records. A gap
  // means that the log has dropped records that this host has not read.
  void BeginBatch(log_offset first_kept, log_offset first_in_batch);
  // Applies one record; records before next_offset() have no effect. A
  // malformed record changes nothing.
  change Apply(const log_record& record);

  const epoch& current() const { return current_; }
  log_offset next_offset() const { return next_; }
  // Records may have been lost before any epoch was read.
  bool is_truncated() const { return truncated_; }

 private:
  change ApplyRefresh(const epoch_record& record);
  change ApplyChange(const epoch_record& record, log_offset offset);
  change Adopt(const epoch_record& record, epoch_name name);

  epoch current_;
  log_offset next_{0};
  // The current epoch was taken from a log that has lost its beginning, and
  // nothing has confirmed it: its record may have lost against one that is no
  // longer kept.
  bool tentative_ = false;
  bool truncated_ = false;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_EPOCH_LOG_H_
