#include "member_table.h"

#include <algorithm>

namespace dotterellead {
namespace {

using std::chrono::seconds;

constexpr std::size_t kMaxMembers = 512;
// How long an address must be missing from the list before its host counts as
// ended: longer if it was never listed, since the list lags behind starts.
constexpr milliseconds kRemovalConfirmation{3'000};
constexpr milliseconds kUnlistedConfirmation{30'000};
// Silent members are kept this long, so that an outdated entry does not bring
// them back.
constexpr seconds kSilentMemberLifetime{60};

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

known_member* member_table::FindOrAdd(const member_run& run, time_point now) {
  if (run.id == self_.id)
    return nullptr;
  auto it = members_.find(run.id);
  if (it == members_.end() && members_.size() >= kMaxMembers)
    return nullptr;
  if (it == members_.end()) {
    it = members_.try_emplace(run.id).first;
  } else if (it->second.run.incarnation > run.incarnation) {
    return nullptr;
  } else if (it->second.run.incarnation == run.incarnation) {
    return &it->second;
  }
  it->second = known_member{.run = run, .last_advance = now};
  incarnation_id& newest =
      newest_incarnation_at_.try_emplace(run.address, run.incarnation)
          .first->second;
  newest = std::max(newest, run.incarnation);
  return &it->second;
}

void member_table::UpdateHeartbeat(known_member& member,
                                   std::uint64_t heartbeat,
                                   bool leaving,
                                   log_offset config_offset,
                                   time_point now) {
  if (member.has_been_heard && heartbeat <= member.heartbeat)
    return;
  member.has_been_heard = true;
  member.heartbeat = heartbeat;
  member.last_advance = now;
  member.leaving = leaving;
  member.config_offset = config_offset;
}

void member_table::UpdateFromReport(const self_report& report, time_point now) {
  known_member* member = FindOrAdd(report.self, now);
  if (member == nullptr)
    return;
  UpdateHeartbeat(*member, report.heartbeat, report.leaving,
                  report.config_offset, now);
  member->reported_epoch = std::max(member->reported_epoch, report.epoch);
}

void member_table::UpdateFromEntry(const member_entry& entry, time_point now) {
  known_member* member = FindOrAdd(entry.run, now);
  if (member != nullptr)
    UpdateHeartbeat(*member, entry.heartbeat, entry.leaving,
                    entry.config_offset, now);
}

void member_table::UpdateFromCompactEntry(const member_run& run,
                                          const compact_entry& entry,
                                          time_point now) {
  known_member* member = entry.heartbeat ? FindOrAdd(run, now) : nullptr;
  if (member == nullptr)
    return;
  const std::uint64_t ahead =
      (*entry.heartbeat - member->heartbeat) % kCompactHeartbeatRange;
  // More than half of the range ahead means behind.
  if (member->has_been_heard && ahead >= kCompactHeartbeatRange / 2)
    return;
  UpdateHeartbeat(*member, member->heartbeat + ahead, entry.leaving,
                  entry.config_offset, now);
}

void member_table::AddExpected(const member_run& run, time_point now) {
  FindOrAdd(run, now);
}

void member_table::SetHostList(const host_list& list) {
  // A list without this host is not complete enough to show departures.
  const bool complete = Contains(list.live, self_.address) ||
                        Contains(list.leaving, self_.address);
  listed_ = list;
  std::set<std::string> present(list.live.begin(), list.live.end());
  present.insert(list.leaving.begin(), list.leaving.end());
  for (const std::string& address : present) {
    missing_from_list_.erase(address);
    if (ever_listed_.size() < kMaxMembers)
      ever_listed_.insert(address);
  }
  if (!complete)
    return;
  std::set<std::string> wanted = ever_listed_;
  for (const auto& [id, member] : members_)
    wanted.insert(member.run.address);
  for (const std::string& address : wanted) {
    if (!present.contains(address) &&
        missing_from_list_.size() < 2 * kMaxMembers)
      missing_from_list_.try_emplace(
          address, absence{list.fetched, ever_listed_.contains(address)});
  }
}

void member_table::ExcludePause(milliseconds pause) {
  for (auto& [id, member] : members_)
    member.last_advance += pause;
}

void member_table::RemoveSilent(const std::set<member_id>& keep,
                                time_point now) {
  std::erase_if(members_, [&](const auto& entry) {
    return !keep.contains(entry.first) &&
           now - entry.second.last_advance > kSilentMemberLifetime;
  });
  if (newest_incarnation_at_.size() <= 2 * kMaxMembers)
    return;
  newest_incarnation_at_.clear();
  for (const auto& [id, member] : members_)
    newest_incarnation_at_.emplace(member.run.address, member.run.incarnation);
}

bool member_table::IsLive(const known_member& member, time_point now) const {
  return now - member.last_advance <= SuspectTimeout(size());
}

const known_member* member_table::FindLive(const member_id& id,
                                           time_point now) const {
  const known_member* member = Find(id);
  return member != nullptr && IsLive(*member, now) ? member : nullptr;
}

const known_member* member_table::Find(const member_id& id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second;
}

bool member_table::HasEnded(const member_run& run, time_point now) const {
  if (run.id == self_.id || run.address == self_.address)
    return run.incarnation < self_.incarnation;
  const known_member* known = Find(run.id);
  if (known != nullptr && known->run.incarnation > run.incarnation)
    return true;
  const auto newest = newest_incarnation_at_.find(run.address);
  if (newest != newest_incarnation_at_.end() &&
      newest->second > run.incarnation)
    return true;
  const bool silent = known == nullptr || !IsLive(*known, now);
  return silent && IsRemovedFromList(run);
}

bool member_table::IsRemovedFromList(const member_run& run) const {
  const auto it = missing_from_list_.find(run.address);
  if (it == missing_from_list_.end())
    return false;
  const milliseconds needed =
      it->second.was_listed_live ? kRemovalConfirmation : kUnlistedConfirmation;
  return listed_.fetched - it->second.missing_since >= needed;
}

bool member_table::IsListedLeaving(const std::string& address) const {
  return Contains(listed_.leaving, address);
}

}  // namespace dotterellead
