#include "claim_table.h"

namespace dotterellead {

claim_change claim_table::Apply(const claim_log_record& record,
                                time_point now) {
  return std::visit(
      overloaded{[&](const claim_record& r) { return Apply(r, now); },
                 [&](const void_record& r) { return Apply(r); },
                 [&](const outcome_record& r) { return Apply(r); }},
      record);
}

const claim_entry* claim_table::Find(const idempotency_key& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

std::optional<unix_millis> claim_table::OldestCreation() const {
  if (entries_.empty())
    return std::nullopt;
  return KeyCreation(entries_.begin()->first);
}

void claim_table::RemoveCreatedBefore(unix_millis oldest) {
  while (!entries_.empty() && *KeyCreation(entries_.begin()->first) < oldest) {
    entries_.erase(entries_.begin());
  }
}

// A claim on a held key is rejected permanently, even if the holder releases
// the key later.
claim_change claim_table::Apply(const claim_record& record, time_point now) {
  const auto [it, free] = entries_.try_emplace(
      record.key, claim_entry{.holder = record.writer,
                              .fingerprint = record.fingerprint,
                              .replayed_at = now});
  return free ? claim_change::kAcquired : claim_change::kNone;
}

claim_change claim_table::Apply(const void_record& record) {
  const auto it = entries_.find(record.key);
  if (it == entries_.end() || it->second.holder != record.writer ||
      it->second.outcome) {
    return claim_change::kNone;
  }
  entries_.erase(it);
  return claim_change::kReleased;
}

claim_change claim_table::Apply(const outcome_record& record) {
  const auto it = entries_.find(record.key);
  if (it == entries_.end() || it->second.holder != record.writer ||
      it->second.outcome) {
    return claim_change::kNone;
  }
  it->second.outcome = record.outcome;
  return claim_change::kCompleted;
}

}  // namespace dotterellead
