// Handover of lease tables from the home of one epoch to that of the next. A
// table may be used only if nobody has granted the server's slots since it was
// made. Three rules ensure this: only the owner in the previous epoch sends it;
// it is sent to one incarnation only, which drops it once it owns the server;
// and it is sent only while the sender's right of the previous epoch lasts,
// during which no new home can own the server by waiting.
#include <algorithm>
#include <chrono>

#include "home_role.h"

namespace dotterellead {
namespace {

constexpr milliseconds kOfferInterval{200};
// A table that has not arrived after this time is not expected any more.
constexpr milliseconds kEarlyReturnTimeout{5'000};
constexpr std::size_t kMaxEarlyReturns = 4'096;

milliseconds TimeLeft(time_point until, time_point now) {
  return std::chrono::ceil<milliseconds>(until - now);
}

}  // namespace

void home_role::StartHandover(const server_id& server,
                              table t,
                              const member_id& to,
                              time_point until) {
  if (to.is_valid() && to != servers_.options().self)
    outgoing_tables_[server] = {to, std::move(t), until, incarnation_id()};
}

void home_role::SendHandoverOffers(step_context& step) {
  next_offer_ = step.now + kOfferInterval;
  std::erase_if(outgoing_tables_, [&](const auto& entry) {
    return entry.second.send_until <= step.now;
  });
  std::map<member_id, handover_offer> offers;
  for (const auto& [id, d] : outgoing_tables_) {
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
    if (it != tables_.end() && !it->second.is_owned)
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
  for (auto it = outgoing_tables_.begin(); it != outgoing_tables_.end();) {
    outgoing_table& d = it->second;
    const bool wanted = std::find(m.servers.begin(), m.servers.end(),
                                  it->first) != m.servers.end();
    if (d.to != from || step.now >= d.send_until ||
        (d.receiver.is_valid() && d.receiver != m.incarnation)) {
      ++it;
      continue;
    }
    if (!wanted) {
      it = outgoing_tables_.erase(it);
      continue;
    }
    d.receiver = m.incarnation;
    tables.tables.push_back(Pack(it->first, d.leases, step.now));
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
    if (it == tables_.end() || it->second.is_owned || s == nullptr)
      continue;
    it->second = Unpack(packed, step.now);
    servers_.ApplyLeaseTable(packed, step.now);
    TableFor(packed.server, *s).is_owned = true;
    ApplyEarlyReturns(packed.server);
    RecallUnsafe(packed.server, step);
    ServePendingRequests(s->pool, step);
  }
}

// A former home returns its own slots to the new one as soon as it learns of
// it, before the table arrives. Without this the slots would be free only after
// the lease time, the maximum run time and the margin.
void home_role::StoreEarlyReturn(const member_id& from,
                                 const lease_ref& lease,
                                 time_point now) {
  while (!early_returns_.empty() &&
         (early_returns_.size() >= kMaxEarlyReturns ||
          now - early_returns_.front().received_at >= kEarlyReturnTimeout)) {
    early_returns_.pop_front();
  }
  early_returns_.push_back({from, lease, now});
}

void home_role::ApplyEarlyReturns(const server_id& server) {
  std::erase_if(early_returns_, [&](const early_return& r) {
    if (r.lease.server != server)
      return false;
    if (FindLease(r.from, r.lease) != nullptr)
      tables_[server].slots[r.lease.slot.value()].reset();
    return true;
  });
}

lease_table home_role::Pack(const server_id& server,
                            const table& t,
                            time_point now) const {
  lease_table packed{.server = server, .next_serial = t.next_serial};
  if (const server_state* s = servers_.Find(server)) {
    packed.cold = s->is_cold_or_suspect();
    packed.draining = s->draining;
    packed.state_serial = s->suspicion_serial;
  }
  for (std::size_t i = 0; i < t.slots.size(); ++i) {
    const std::optional<lease_record>& e = t.slots[i];
    if (!e)
      continue;
    packed.leased.push_back({slot_index(i), e->holder, e->serial,
                             TimeLeft(e->expiry, now), e->max_run});
  }
  return packed;
}

home_role::table home_role::Unpack(const lease_table& packed,
                                   time_point now) const {
  table t;
  t.next_serial = packed.next_serial;
  for (const leased_slot& e : packed.leased) {
    const std::size_t i = e.slot.value();
    if (i >= limits::kMaxSlotsPerServer)
      continue;
    if (t.slots.size() <= i)
      t.slots.resize(i + 1);
    t.slots[i] = lease_record{.holder = e.holder,
                              .serial = e.serial,
                              .expiry = now + e.time_left,
                              .max_run = e.max_run,
                              .in_use = true};
  }
  return t;
}

}  // namespace dotterellead
