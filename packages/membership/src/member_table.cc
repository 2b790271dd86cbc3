#include "member_table.h"

#include <algorithm>

namespace dotterellead {
namespace {

using std::chrono::seconds;

constexpr std::size_t kMaxMembers = 512;
// How long the list must have lacked an address before its host counts as
// gone: longer if the list never showed it, as the list lags behind starts.
constexpr milliseconds kDropConfirmation{3'000};
constexpr milliseconds kUnlistedConfirmation{30'000};
// Silent members are remembered this long, so that a stale entry does not
// bring them back.
constexpr seconds kForgetAfter{60};

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

known_member* member_table::Touch(const member_run& run, time_point now) {
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
  it->second = known_member{.run = run, .advanced = now};
  incarnation_id& newest =
      newest_at_.try_emplace(run.address, run.incarnation).first->second;
  newest = std::max(newest, run.incarnation);
  return &it->second;
}

void member_table::Advance(known_member& member,
                           std::uint64_t heartbeat,
                           bool leaving,
                           log_offset config_offset,
                           time_point now) {
  if (member.heard && heartbeat <= member.heartbeat)
    return;
  member.heard = true;
  member.heartbeat = heartbeat;
  member.advanced = now;
  member.leaving = leaving;
  member.config_offset = config_offset;
}

void member_table::HearDirect(const self_report& report, time_point now) {
  known_member* member = Touch(report.self, now);
  if (member == nullptr)
    return;
  Advance(*member, report.heartbeat, report.leaving, report.config_offset, now);
  member->reported = std::max(member->reported, report.epoch);
}

void member_table::HearEntry(const member_entry& entry, time_point now) {
  known_member* member = Touch(entry.run, now);
  if (member != nullptr)
    Advance(*member, entry.heartbeat, entry.leaving, entry.config_offset, now);
}

void member_table::HearShort(const member_run& run,
                             const short_entry& entry,
                             time_point now) {
  known_member* member = entry.heartbeat ? Touch(run, now) : nullptr;
  if (member == nullptr)
    return;
  const std::uint64_t ahead =
      (*entry.heartbeat - member->heartbeat) % kShortHeartbeats;
  // More than half the range ahead means behind.
  if (member->heard && ahead >= kShortHeartbeats / 2)
    return;
  Advance(*member, member->heartbeat + ahead, entry.leaving,
          entry.config_offset, now);
}

void member_table::Expect(const member_run& run, time_point now) {
  Touch(run, now);
}

void member_table::TakeHostList(const host_list& list) {
  // A list without this host is not complete enough to show departures.
  const bool complete = Contains(list.live, self_.address) ||
                        Contains(list.leaving, self_.address);
  listed_ = list;
  std::set<std::string> present(list.live.begin(), list.live.end());
  present.insert(list.leaving.begin(), list.leaving.end());
  for (const std::string& address : present) {
    absent_.erase(address);
    if (seen_listed_.size() < kMaxMembers)
      seen_listed_.insert(address);
  }
  if (!complete)
    return;
  std::set<std::string> wanted = seen_listed_;
  for (const auto& [id, member] : members_)
    wanted.insert(member.run.address);
  for (const std::string& address : wanted) {
    if (!present.contains(address) && absent_.size() < 2 * kMaxMembers)
      absent_.try_emplace(
          address, absence{list.fetched, seen_listed_.contains(address)});
  }
}

void member_table::SkipPause(milliseconds pause) {
  for (auto& [id, member] : members_)
    member.advanced += pause;
}

void member_table::Forget(const std::set<member_id>& keep, time_point now) {
  std::erase_if(members_, [&](const auto& entry) {
    return !keep.contains(entry.first) &&
           now - entry.second.advanced > kForgetAfter;
  });
  if (newest_at_.size() <= 2 * kMaxMembers)
    return;
  newest_at_.clear();
  for (const auto& [id, member] : members_)
    newest_at_.emplace(member.run.address, member.run.incarnation);
}

bool member_table::IsLive(const known_member& member, time_point now) const {
  return now - member.advanced <= SuspectTime(size());
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

bool member_table::IsGone(const member_run& run, time_point now) const {
  if (run.id == self_.id || run.address == self_.address)
    return run.incarnation < self_.incarnation;
  const known_member* known = Find(run.id);
  if (known != nullptr && known->run.incarnation > run.incarnation)
    return true;
  const auto newest = newest_at_.find(run.address);
  if (newest != newest_at_.end() && newest->second > run.incarnation)
    return true;
  const bool silent = known == nullptr || !IsLive(*known, now);
  return silent && IsDropped(run);
}

bool member_table::IsDropped(const member_run& run) const {
  const auto it = absent_.find(run.address);
  if (it == absent_.end())
    return false;
  const milliseconds needed =
      it->second.was_live ? kDropConfirmation : kUnlistedConfirmation;
  return listed_.fetched - it->second.since >= needed;
}

bool member_table::IsListedLeaving(const std::string& address) const {
  return Contains(listed_.leaving, address);
}

}  // namespace dotterellead
