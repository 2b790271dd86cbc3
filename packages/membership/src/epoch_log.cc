#include "epoch_log.h"

#include <algorithm>

namespace dotterellead {

bool epoch::Has(const member_run& run) const {
  return IndexOf(run).has_value();
}

std::optional<std::size_t> epoch::IndexOf(const member_run& run) const {
  const auto at = std::lower_bound(members.begin(), members.end(), run);
  if (at == members.end() || *at != run)
    return std::nullopt;
  return static_cast<std::size_t>(at - members.begin());
}

void epoch_log::BeginBatch(log_offset first_kept, log_offset first_in_batch) {
  const log_offset begin = std::max(first_kept, first_in_batch);
  if (!begin.is_valid() || begin <= next_offset_)
    return;
  next_offset_ = begin;
  is_truncated_ = true;
  is_tentative_ = true;
}

epoch_log::change epoch_log::Apply(const log_record& record) {
  if (record.offset < next_offset_)
    return {};
  next_offset_ = record.offset.next();
  try {
    epoch_record decoded = DecodeEpochRecord(record.data);
    std::sort(decoded.members.begin(), decoded.members.end());
    return decoded.refresh ? ApplyRefresh(decoded)
                           : ApplyChange(decoded, record.offset);
  } catch (const protocol_error&) {
    return {};  // Nobody can act on it, so all hosts pass over it alike.
  }
}

// A refresh is written by a host that has accepted the epoch, so it confirms
// the epoch even if this host has not read the record that made it.
epoch_log::change epoch_log::ApplyRefresh(const epoch_record& record) {
  if (record.number != record.base.number)
    return {};
  if (record.base == current_.name) {
    is_tentative_ = false;
    return {.is_refreshed = true, .ended = record.ended};
  }
  const bool newer = record.number > current_.name.number;
  if (!newer && !(is_tentative_ && record.number == current_.name.number))
    return {};
  const change result = Adopt(record, record.base);
  is_tentative_ = false;
  return result;
}

epoch_log::change epoch_log::ApplyChange(const epoch_record& record,
                                         log_offset offset) {
  if (record.number != record.base.number.next())
    return {};
  const epoch_name name{record.number, offset};
  if (record.base == current_.name) {
    const change result = Adopt(record, name);
    is_tentative_ = false;
    return result;
  }
  // The writer had accepted a base that this host does not know, so a tentative
  // epoch that is not newer than this base is wrong.
  if (is_tentative_ && record.base.number >= current_.name.number)
    return Adopt(record, name);
  return {};
}

epoch_log::change epoch_log::Adopt(const epoch_record& record,
                                   epoch_name name) {
  const bool skipped = record.base != current_.name;
  current_.name = name;
  current_.members = record.members;
  return {
      .is_adopted = true, .has_skipped_epochs = skipped, .ended = record.ended};
}

}  // namespace dotterellead
