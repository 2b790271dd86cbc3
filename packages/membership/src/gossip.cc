#include <algorithm>

#include "membership_impl.h"

namespace dotterellead {
namespace {

// In a new epoch the quorum is asked at once instead of in turn, for this long
// and with this many digests per interval at most.
constexpr milliseconds kCatchUpTime{2'000};
constexpr std::size_t kCatchUpFanOut = 16;

}  // namespace

self_report membership_machine::impl::Report() const {
  return {.self = settings_.self,
          .heartbeat = heartbeat_,
          .epoch = log_.current().name,
          .ended = open_.ended(),
          .leaving = leaving_,
          .config_offset = config_offset_};
}

short_entry membership_machine::impl::ShortEntry(const member_run& run) const {
  short_entry entry;
  if (run == settings_.self) {
    entry.heartbeat = heartbeat_ % kShortHeartbeats;
    entry.leaving = leaving_;
    entry.config_offset = config_offset_;
    return entry;
  }
  const known_member* member = table_.FindLive(run.id, now_);
  if (member == nullptr || !member->heard || member->run != run)
    return entry;
  entry.heartbeat = member->heartbeat % kShortHeartbeats;
  entry.leaving = member->leaving;
  entry.config_offset = member->config_offset;
  return entry;
}

// Silent members are left out, so that gossip never brings one back.
gossip_digest membership_machine::impl::DigestFor(
    const known_member* receiver) const {
  const epoch& current = log_.current();
  gossip_digest digest;
  digest.from = Report();
  const bool same_epoch =
      receiver != nullptr && receiver->reported == current.name;
  if (same_epoch) {
    for (const member_run& run : current.members)
      digest.epoch_members.push_back(ShortEntry(run));
  }
  for (const auto& [id, member] : table_.members()) {
    if (!member.heard || !table_.IsLive(member, now_))
      continue;
    if (same_epoch && current.Has(member.run))
      continue;
    digest.members.push_back(
        {member.run, member.heartbeat, member.leaving, member.config_offset});
  }
  return digest;
}

void membership_machine::impl::TakeDigest(const gossip_digest& digest) {
  HearReport(digest.from);
  const epoch& current = log_.current();
  const bool same_epoch = digest.from.epoch == current.name &&
                          digest.epoch_members.size() == current.members.size();
  for (std::size_t i = 0; same_epoch && i < current.members.size(); ++i)
    table_.HearShort(current.members[i], digest.epoch_members[i], now_);
  for (const member_entry& entry : digest.members)
    table_.HearEntry(entry, now_);
}

std::set<std::string> membership_machine::impl::MemberAddresses() const {
  std::set<std::string> addresses;
  for (const member_run& run : log_.current().members)
    addresses.insert(run.address);
  for (const auto& [id, member] : table_.members()) {
    if (table_.IsLive(member, now_))
      addresses.insert(member.run.address);
  }
  addresses.erase(settings_.self.address);
  return addresses;
}

std::set<std::string> membership_machine::impl::OtherAddresses(
    const std::set<std::string>& members) const {
  std::set<std::string> addresses(settings_.seeds.begin(),
                                  settings_.seeds.end());
  const host_list& list = table_.listed();
  addresses.insert(list.live.begin(), list.live.end());
  addresses.insert(list.leaving.begin(), list.leaving.end());
  for (const auto& [id, member] : table_.members())
    addresses.insert(member.run.address);
  addresses.erase(settings_.self.address);
  std::erase_if(addresses,
                [&](const std::string& a) { return members.contains(a); });
  return addresses;
}

void membership_machine::impl::Gossip(effects& out) {
  const std::set<std::string> members = MemberAddresses();
  std::vector<std::string> chosen =
      schedule_.Next(members, OtherAddresses(members));
  for (std::string& address : CatchUp(chosen))
    chosen.push_back(std::move(address));
  for (const std::string& address : chosen)
    SendTo(address, out);
}

void membership_machine::impl::SendTo(const std::string& address,
                                      effects& out) {
  const auto& known = table_.members();
  const auto receiver = std::find_if(
      known.begin(), known.end(),
      [&](const auto& entry) { return entry.second.run.address == address; });
  const known_member* member =
      receiver == known.end() ? nullptr : &receiver->second;
  out.emplace_back(send_gossip{address, DigestFor(member), now_});
}

std::vector<std::string> membership_machine::impl::CatchUp(
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
        run == settings_.self || quorum_.HasAnswered(run) ||
        table_.FindLive(run.id, now_) == nullptr || waits ||
        std::find(chosen.begin(), chosen.end(), run.address) != chosen.end();
    if (skip)
      continue;
    sent = now_;
    extra.push_back(run.address);
  }
  return extra;
}

// A host whose calls get no answers stops its heartbeat, so that the others
// replace it although they still hear it.
bool membership_machine::impl::IsDeaf() const {
  return now_ - answered_ > SuspectTime(table_.size()) &&
         !(table_.members().empty() && settings_.seeds.empty());
}

}  // namespace dotterellead
