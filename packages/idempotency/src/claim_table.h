// State of each key from the replay of the claim streams in offset order. It
// depends on the records alone, so it is equal on every host.
#ifndef DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_TABLE_H_
#define DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_TABLE_H_

#include <map>

#include "dotterellead/idempotency.h"

namespace dotterellead {

// A key held by a claim.
struct claim_entry {
  claim_writer holder;
  std::uint64_t fingerprint = 0;
  std::optional<saved_outcome> outcome;
  // When this host replayed the claim.
  time_point replayed_at;
};

// Effect of a record on its key.
enum class claim_change {
  // None, as for a rejected claim.
  kNone,
  // The writer acquired the key.
  kAcquired,
  // The holder released the key.
  kReleased,
  // The outcome is known.
  kCompleted,
};

// Not thread-safe.
class claim_table {
 public:
  // Applies a record. Records must be applied in offset order, each once.
  claim_change Apply(const claim_log_record& record, time_point now);
  const claim_entry* Find(const idempotency_key& key) const;
  // Creation time of the oldest key; nullopt if there is none.
  std::optional<unix_millis> OldestCreation() const;
  // Removes keys created before `oldest`.
  void RemoveCreatedBefore(unix_millis oldest);
  std::size_t size() const { return entries_.size(); }

 private:
  claim_change Apply(const claim_record& record, time_point now);
  claim_change Apply(const void_record& record);
  claim_change Apply(const outcome_record& record);

  // Version 7 UUIDs sort by creation time.
  std::map<idempotency_key, claim_entry> entries_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_TABLE_H_
