// Lease tables on their way from the home of one epoch to that of the next.
//
// A table may be used only if no one has lent the server's slots since it was
// packed. Three rules give that: only the owner in the epoch before sends it;
// it is sent to one incarnation only, and that one drops it once it owns the
// server; and it is sent only while the sender's right of the epoch before
// still lasts, when no new home can have come to own the server by waiting.
#include <algorithm>
#include <chrono>

#include "home_role.h"

namespace dotterellead {
namespace {

constexpr milliseconds kOfferInterval{200};
// A table that has not arrived after this time will not come any more.
constexpr milliseconds kEarlyReturnTime{5'000};
constexpr std::size_t kMaxEarlyReturns = 4'096;

milliseconds TimeLeft(time_point until, time_point now) {
  return std::chrono::ceil<milliseconds>(until - now);
}

}  // namespace

void home_role::Depart(const server_id& server,
                       table t,
                       const member_id& to,
                       time_point until) {
  if (to.is_valid() && to != servers_.options().self)
    departing_[server] = {to, std::move(t), until, incarnation_id()};
}

void home_role::Offer(step_context& step) {
  next_offer_ = step.now + kOfferInterval;
  std::erase_if(departing_, [&](const auto& entry) {
    return entry.second.until <= step.now;
  });
  std::map<member_id, handover_offer> offers;
  for (const auto& [id, d] : departing_) {
    handover_offer& offer = offers[d.to];
    offer.epoch = servers_.epoch();
    offer.servers.push_back(id);
  }
  for (auto& [to, offer] : offers)
    step.Send(to, std::move(offer));
}

void home_role::On(const member_id& from,
                   const handover_offer& m,
                   step_context& step) {
  if (m.epoch != servers_.epoch())
    return;
  handover_accept accept{.epoch = m.epoch,
                         .incarnation = servers_.options().incarnation};
  for (const server_id& id : m.servers) {
    const auto it = tables_.find(id);
    if (it != tables_.end() && !it->second.owned)
      accept.servers.push_back(id);
  }
  step.Send(from, std::move(accept));
}

void home_role::On(const member_id& from,
                   const handover_accept& m,
                   step_context& step) {
  if (m.epoch != servers_.epoch())
    return;
  handover tables{.epoch = m.epoch, .to_incarnation = m.incarnation};
  for (auto it = departing_.begin(); it != departing_.end();) {
    departing& d = it->second;
    const bool wanted = std::find(m.servers.begin(), m.servers.end(),
                                  it->first) != m.servers.end();
    if (d.to != from || step.now >= d.until ||
        (d.bound.is_valid() && d.bound != m.incarnation)) {
      ++it;
      continue;
    }
    if (!wanted) {
      it = departing_.erase(it);
      continue;
    }
    d.bound = m.incarnation;
    tables.tables.push_back(Pack(it->first, d.slots, step.now));
    ++it;
  }
  if (!tables.tables.empty())
    step.Send(from, std::move(tables));
}

void home_role::On(const member_id&, const handover& m, step_context& step) {
  if (m.epoch != servers_.epoch() ||
      m.to_incarnation != servers_.options().incarnation) {
    return;
  }
  for (const lease_table& packed : m.tables) {
    const auto it = tables_.find(packed.server);
    const server_state* s = servers_.Find(packed.server);
    if (it == tables_.end() || it->second.owned || s == nullptr)
      continue;
    it->second = Unpack(packed, step.now);
    servers_.LearnFromEarlierHome(packed, step.now);
    TableFor(packed.server, *s).owned = true;
    TakeEarlyReturns(packed.server);
    RecallUnsafe(packed.server, step);
    ServeWants(s->pool, step);
  }
}

// A former home gives its own slots back to the new one as soon as it hears of
// it, which is before the table arrives. Without this the slots would be free
// only after their lease, longest run and margin.
void home_role::KeepEarlyReturn(const member_id& from,
                                const lease_ref& lease,
                                time_point now) {
  while (!early_returns_.empty() &&
         (early_returns_.size() >= kMaxEarlyReturns ||
          now - early_returns_.front().received >= kEarlyReturnTime)) {
    early_returns_.pop_front();
  }
  early_returns_.push_back({from, lease, now});
}

void home_role::TakeEarlyReturns(const server_id& server) {
  std::erase_if(early_returns_, [&](const early_return& r) {
    if (r.lease.server != server)
      return false;
    if (FindLent(r.from, r.lease) != nullptr)
      tables_[server].slots[r.lease.slot.value()].reset();
    return true;
  });
}

lease_table home_role::Pack(const server_id& server,
                            const table& t,
                            time_point now) const {
  lease_table packed{.server = server, .next_serial = t.next_serial};
  if (const server_state* s = servers_.Find(server)) {
    packed.cold = s->is_doubtful();
    packed.draining = s->draining;
    packed.state_serial = s->serial;
  }
  for (std::size_t i = 0; i < t.slots.size(); ++i) {
    const std::optional<lent>& e = t.slots[i];
    if (!e)
      continue;
    packed.lent.push_back({slot_index(i), e->holder, e->serial,
                           TimeLeft(e->expiry, now), e->max_run});
  }
  return packed;
}

home_role::table home_role::Unpack(const lease_table& packed,
                                   time_point now) const {
  table t;
  t.next_serial = packed.next_serial;
  for (const lent_slot& e : packed.lent) {
    const std::size_t i = e.slot.value();
    if (i >= limits::kMaxSlotsPerServer)
      continue;
    if (t.slots.size() <= i)
      t.slots.resize(i + 1);
    t.slots[i] = lent{.holder = e.holder,
                      .serial = e.serial,
                      .expiry = now + e.left,
                      .max_run = e.max_run,
                      .in_use = true};
  }
  return t;
}

}  // namespace dotterellead
