#include "forward_role.h"

namespace dotterellead {
namespace {

// A home's load changes within a few runs of its requests; an older report says
// nothing.
constexpr milliseconds kLoadValidity{100};
// A home that gave no answer is tried again after this time.
constexpr milliseconds kUnreachableTime{1'000};
// A home that cannot lend now, as right after an epoch change, is asked again
// after this time.
constexpr milliseconds kNotLendingTime{50};
// Rank of homes without a free slot; those with one rank lower.
constexpr int kFullRank = 3;

}  // namespace

std::map<member_id, std::uint32_t> forward_role::Slots(const acquire& m) const {
  std::map<member_id, std::uint32_t> slots;
  for (const server_id& id : servers_.FindPool(m.pool)->servers) {
    const server_state& s = *servers_.Find(id);
    if (s.home.is_valid() && s.CanServe(m, id))
      slots[s.home] += s.spec.slots;
  }
  return slots;
}

std::optional<forward_role::estimate> forward_role::Estimate(
    const home_key& key,
    std::uint32_t slots,
    const home_load& own,
    time_point now) const {
  if (key.second == servers_.options().self) {
    if (own.usable == 0)
      return std::nullopt;
    return estimate{own.busy, std::min(slots, own.usable)};
  }
  const auto it = homes_.find(key);
  if (it == homes_.end())
    return estimate{0, slots};
  const known_home& known = it->second;
  if (now < known.avoided_until)
    return std::nullopt;
  if (!known.reported_at || now - *known.reported_at >= kLoadValidity)
    return estimate{known.unanswered, slots};
  return estimate{
      std::max(known.load.busy + known.sent_since, known.unanswered),
      std::min(slots, known.load.usable)};
}

forward_role::rank forward_role::RankOf(const member_id& home,
                                        const estimate& e) const {
  const member_id& self = servers_.options().self;
  // Hosts that know the same loads must not all choose the same home.
  const std::uint64_t spread = StableHash(self.value() + "/" + home.value());
  if (e.busy >= e.usable) {
    const double per_slot =
        (e.busy + 1.0) / std::max<std::uint32_t>(e.usable, 1);
    return {kFullRank, per_slot, spread};
  }
  if (home == self)
    return {0, 0, 0};
  const double free = e.usable - e.busy;
  const bool is_near =
      servers_.DataCentreOf(home) == servers_.options().data_centre;
  return {is_near ? 1 : 2, -free, spread};
}

std::optional<forward_role::choice> forward_role::Choose(const acquire& m,
                                                         const home_load& own,
                                                         time_point now) const {
  std::optional<std::pair<rank, member_id>> best;
  for (const auto& [home, slots] : Slots(m)) {
    const std::optional<estimate> e = Estimate({m.pool, home}, slots, own, now);
    if (!e)
      continue;
    std::pair candidate(RankOf(home, *e), home);
    if (!best || candidate < *best)
      best = std::move(candidate);
  }
  if (!best)
    return std::nullopt;
  return choice{best->second, std::get<int>(best->first) < kFullRank};
}

void forward_role::Begin(const pool_id& pool, const member_id& home) {
  known_home& known = homes_[{pool, home}];
  ++known.sent_since;
  ++known.unanswered;
}

void forward_role::On(const forward_ended& m, time_point now) {
  const auto it = homes_.find({m.pool, m.home});
  if (it == homes_.end())
    return;
  known_home& known = it->second;
  known.unanswered -= std::min(known.unanswered, 1U);
  if (!m.load) {
    if (!m.home_failed)
      return;
    known.reported_at.reset();
    known.avoided_until = now + kUnreachableTime;
    return;
  }
  known.load = *m.load;
  known.reported_at = now;
  known.sent_since = 0;
  if (m.load->usable == 0)
    known.avoided_until = now + kNotLendingTime;
}

void forward_role::OnDirectoryChanged() {
  std::erase_if(homes_, [&](const auto& entry) {
    return servers_.FindPool(entry.first.first) == nullptr ||
           !servers_.IsMember(entry.first.second);
  });
}

}  // namespace dotterellead
