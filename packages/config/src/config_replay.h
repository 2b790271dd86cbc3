// Rules for records, shared by the replay and the checks before a write.
#ifndef DOTTERELLEAD_CONFIG_REPLAY_H_
#define DOTTERELLEAD_CONFIG_REPLAY_H_

#include "dotterellead/config.h"

namespace dotterellead {

// Another resource that prevents a write.
struct conflicting_resource {
  resource_key key;
  std::string reason;
};

// Returns a move in progress on `pool` other than `except`.
std::optional<conflicting_resource> FindMoveInProgress(const config_view& table,
                                                       const pool_id& pool,
                                                       const move_id& except);

// Sets a resource without checks. A move keeps its progress if only its
// deadline differs and it is in progress.
void StoreResource(config_view& table, const resource& r, log_offset revision);

// The nonce of a record; empty for a snapshot.
const std::string& NonceOfRecord(const config_record& record);

// The change made by an accepted record; nullopt for a snapshot.
std::optional<config_change> ChangeOf(const config_record& record,
                                      log_offset offset);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_CONFIG_REPLAY_H_
