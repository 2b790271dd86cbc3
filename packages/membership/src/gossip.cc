#include <algorithm>

#include "membership_impl.h"

namespace dotterellead {
namespace {

// In a new epoch the members are contacted at once instead of in turn, for this
// long and with at most this many digests per interval.
constexpr milliseconds kCatchUpTime{2'000};
constexpr std::size_t kCatchUpFanOut = 16;

}  // namespace

self_report membership_machine::impl::MakeReport() const {
  return {.self = settings_.self,
          .heartbeat = heartbeat_,
          .epoch = log_.current().name,
          .ended = former_epochs_.ended(),
          .leaving = is_leaving_,
          .config_offset = config_offset_};
}

compact_entry membership_machine::impl::MakeCompactEntry(
    const member_run& run) const {
  compact_entry entry;
  if (run == settings_.self) {
    entry.heartbeat = heartbeat_ % kCompactHeartbeatRange;
    entry.leaving = is_leaving_;
    entry.config_offset = config_offset_;
    return entry;
  }
  const known_member* member = members_.FindLive(run.id, now_);
  if (member == nullptr || !member->has_been_heard || member->run != run)
    return entry;
  entry.heartbeat = member->heartbeat % kCompactHeartbeatRange;
  entry.leaving = member->leaving;
  entry.config_offset = member->config_offset;
  return entry;
}

// Silent members are left out, so that gossip never brings one back.
gossip_digest membership_machine::impl::MakeDigest(
    const known_member* receiver) const {
  const epoch& current = log_.current();
  gossip_digest digest;
  digest.from = MakeReport();
  const bool same_epoch =
      receiver != nullptr && receiver->reported_epoch == current.name;
  if (same_epoch) {
    for (const member_run& run : current.members)
      digest.epoch_members.push_back(MakeCompactEntry(run));
  }
  for (const auto& [id, member] : members_.members()) {
    if (!member.has_been_heard || !members_.IsLive(member, now_))
      continue;
    if (same_epoch && current.Has(member.run))
      continue;
    digest.members.push_back(
        {member.run, member.heartbeat, member.leaving, member.config_offset});
  }
  return digest;
}

void membership_machine::impl::ApplyDigest(const gossip_digest& digest) {
  HandleReport(digest.from);
  const epoch& current = log_.current();
  const bool same_epoch = digest.from.epoch == current.name &&
                          digest.epoch_members.size() == current.members.size();
  for (std::size_t i = 0; same_epoch && i < current.members.size(); ++i)
    members_.UpdateFromCompactEntry(current.members[i], digest.epoch_members[i],
                                    now_);
  for (const member_entry& entry : digest.members)
    members_.UpdateFromEntry(entry, now_);
}

std::set<std::string> membership_machine::impl::MemberAddresses() const {
  std::set<std::string> addresses;
  for (const member_run& run : log_.current().members)
    addresses.insert(run.address);
  for (const auto& [id, member] : members_.members()) {
    if (members_.IsLive(member, now_))
      addresses.insert(member.run.address);
  }
  addresses.erase(settings_.self.address);
  return addresses;
}

std::set<std::string> membership_machine::impl::OtherAddresses(
    const std::set<std::string>& members) const {
  std::set<std::string> addresses(settings_.seeds.begin(),
                                  settings_.seeds.end());
  const host_list& list = members_.listed();
  addresses.insert(list.live.begin(), list.live.end());
  addresses.insert(list.leaving.begin(), list.leaving.end());
  for (const auto& [id, member] : members_.members())
    addresses.insert(member.run.address);
  addresses.erase(settings_.self.address);
  std::erase_if(addresses,
                [&](const std::string& a) { return members.contains(a); });
  return addresses;
}

void membership_machine::impl::SendGossip(effects& out) {
  const std::set<std::string> members = MemberAddresses();
  std::vector<std::string> chosen =
      schedule_.Next(members, OtherAddresses(members));
  for (std::string& address : SelectCatchUp(chosen))
    chosen.push_back(std::move(address));
  for (const std::string& address : chosen)
    SendTo(address, out);
}

void membership_machine::impl::SendTo(const std::string& address,
                                      effects& out) {
  const auto& known = members_.members();
  const auto receiver = std::find_if(
      known.begin(), known.end(),
      [&](const auto& entry) { return entry.second.run.address == address; });
  const known_member* member =
      receiver == known.end() ? nullptr : &receiver->second;
  out.emplace_back(send_gossip{address, MakeDigest(member), now_});
}

std::vector<std::string> membership_machine::impl::SelectCatchUp(
    const std::vector<std::string>& chosen) {
  std::vector<std::string> extra;
  const epoch& current = log_.current();
  const bool needed = now_ - adopted_at_ < kCatchUpTime && !HasQuorum() &&
                      current.Has(settings_.self);
  if (!needed)
    return extra;
  for (const member_run& run : current.members) {
    if (extra.size() == kCatchUpFanOut)
      break;
    time_point& sent = catch_up_sent_[run.address];
    const bool waits = now_ - sent < 2 * limits::kGossipInterval;
    const bool skip =
        run == settings_.self || quorum_.HasResponded(run) ||
        members_.FindLive(run.id, now_) == nullptr || waits ||
        std::find(chosen.begin(), chosen.end(), run.address) != chosen.end();
    if (skip)
      continue;
    sent = now_;
    extra.push_back(run.address);
  }
  return extra;
}

// A host whose messages get no responses stops its heartbeat, so that the
// others replace it although they still hear from it.
bool membership_machine::impl::IsIsolated() const {
  return now_ - last_response_at_ > SuspectTimeout(members_.size()) &&
         !(members_.members().empty() && settings_.seeds.empty());
}

}  // namespace dotterellead
