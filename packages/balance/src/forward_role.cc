#include "forward_role.h"

namespace dotterellead {
namespace {

// A home's load changes within a few request run times, so older reports are
// ignored.
constexpr milliseconds kMaxLoadAge{100};
// A home that did not respond is tried again after this time.
constexpr milliseconds kUnreachableBackoff{1'000};
// A home that cannot grant slots, as just after an epoch change, is tried again
// after this time.
constexpr milliseconds kNotGrantingBackoff{50};
// Rank of homes without a free slot; those with one rank lower.
constexpr int kFullRank = 3;

}  // namespace

std::map<member_id, std::uint32_t> forward_role::EligibleSlots(
    const acquire& m) const {
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
  const home_state& known = it->second;
  if (now < known.avoided_until)
    return std::nullopt;
  if (!known.reported_at || now - *known.reported_at >= kMaxLoadAge)
    return estimate{known.in_flight, slots};
  return estimate{
      std::max(known.load.busy + known.forwarded_since_report, known.in_flight),
      std::min(slots, known.load.usable)};
}

forward_role::rank forward_role::RankOf(const member_id& home,
                                        const estimate& e) const {
  const member_id& self = servers_.options().self;
  // Hosts with the same load reports must not all choose the same home.
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
  for (const auto& [home, slots] : EligibleSlots(m)) {
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

void forward_role::RecordForward(const pool_id& pool, const member_id& home) {
  home_state& known = homes_[{pool, home}];
  ++known.forwarded_since_report;
  ++known.in_flight;
}

void forward_role::On(const forward_ended& m, time_point now) {
  const auto it = homes_.find({m.pool, m.home});
  if (it == homes_.end())
    return;
  home_state& known = it->second;
  known.in_flight -= std::min(known.in_flight, 1U);
  if (!m.load) {
    if (!m.home_failed)
      return;
    known.reported_at.reset();
    known.avoided_until = now + kUnreachableBackoff;
    return;
  }
  known.load = *m.load;
  known.reported_at = now;
  known.forwarded_since_report = 0;
  if (m.load->usable == 0)
    known.avoided_until = now + kNotGrantingBackoff;
}

void forward_role::OnDirectoryChanged() {
  std::erase_if(homes_, [&](const auto& entry) {
    return servers_.FindPool(entry.first.first) == nullptr ||
           !servers_.IsMember(entry.first.second);
  });
}

}  // namespace dotterellead
