#include "dotterellead/fleet.h"

namespace dotterellead::fleet {

std::vector<update> update_cache::Apply(const update_batch& batch) {
  stream_state& state = streams_[static_cast<std::size_t>(batch.source)];
  std::vector<update> applied;
  for (const update& update : batch.updates) {
    auto existing = state.updates.find(update.key);
    if (existing != state.updates.end() &&
        existing->second.offset >= update.offset)
      continue;
    state.updates.insert_or_assign(update.key, update);
    applied.push_back(update);
  }
  if (batch.end_offset.is_valid() &&
      (!state.end_offset.is_valid() || batch.end_offset > state.end_offset))
    state.end_offset = batch.end_offset;
  // A sender that lacks records before the known end, such as one that has not
  // seen a change of era, proves nothing about the data up to that end.
  const bool is_behind = state.end_offset.is_valid() &&
                         batch.end_offset.is_valid() &&
                         batch.end_offset < state.end_offset;
  if (!is_behind) {
    state.complete_at = std::max(state.complete_at, batch.complete_at);
    // An absent time is the least one.
    state.proven_at = std::max(state.proven_at, batch.proven_at);
  }
  return applied;
}

std::vector<update> update_cache::UpdatesSince(stream source,
                                               log_offset offset) const {
  std::vector<update> updates;
  for (const auto& [key, item] : StateOf(source).updates)
    if (!offset.is_valid() || item.offset >= offset)
      updates.push_back(item);
  return updates;
}

bool Precedes(const host_info& a, const host_info& b) {
  return std::tie(a.data_centre, a.name) < std::tie(b.data_centre, b.name);
}

std::vector<host_info> ParentCandidates(const host_info& self,
                                        const std::vector<host_info>& known) {
  std::vector<host_info> local;
  std::vector<host_info> remote;
  for (const host_info& host : known)
    if (Precedes(host, self))
      (host.data_centre == self.data_centre ? local : remote).push_back(host);
  std::sort(local.begin(), local.end(), Precedes);
  std::sort(remote.begin(), remote.end(), Precedes);
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

}  // namespace dotterellead::fleet
