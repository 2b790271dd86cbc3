// What the claim streams say about each key, replayed in offset order. It
// depends on the records alone, so it is the same on every host.
#ifndef DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_TABLE_H_
#define DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_TABLE_H_

#include <map>

#include "dotterellead/idempotency.h"

namespace dotterellead {

// A key that a claim holds.
struct claim_entry {
  claim_writer holder;
  std::uint64_t fingerprint = 0;
  std::optional<saved_outcome> outcome;
  // When this host replayed the claim.
  time_point seen;
};

enum class claim_change {
  // The record has no effect, as a rejected claim.
  kNone,
  // The writer holds the key now.
  kHeld,
  // The holder gave the key back.
  kFreed,
  // The outcome is known.
  kSettled,
};

class claim_table {
 public:
  // Records must come in offset order, each once.
  claim_change Apply(const claim_log_record& record, time_point now);
  const claim_entry* Find(const idempotency_key& key) const;
  // When the oldest key was created; nullopt if there is none.
  std::optional<unix_millis> OldestCreation() const;
  // Forgets keys created before `oldest`.
  void DropCreatedBefore(unix_millis oldest);
  std::size_t size() const { return entries_.size(); }

 private:
  claim_change Apply(const claim_record& record, time_point now);
  claim_change Apply(const void_record& record);
  claim_change Apply(const outcome_record& record);

  // The order of version 7 UUIDs is that of their creation.
  std::map<idempotency_key, claim_entry> entries_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_TABLE_H_
