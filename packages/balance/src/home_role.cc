#include "home_role.h"

#include <algorithm>

namespace dotterellead {
namespace {

// A holder repeats its request before this time if it still needs slots. The
// lease time left when a pending request is granted late must last until the
// next renewal.
constexpr milliseconds kPendingRequestTimeout{600};
// A lease is not recalled again within this time, unless a message must have
// been lost.
constexpr milliseconds kRecallInterval{100};
// Leases recalled per missing slot. A higher number moves slots that are not
// needed.
constexpr std::uint32_t kRecallsPerSlot = 1;
// Time within which every host has a new configuration, plus a margin. Until
// then the home by the former configuration may grant slots.
constexpr milliseconds kMaxConfigDelay{20'000};

time_point ReclaimTime(time_point expiry, milliseconds max_run) {
  return expiry + max_run + limits::kLeaseExpiryMargin;
}

}  // namespace

home_role::home_role(directory& servers, time_point started)
    : servers_(servers), started_(started) {
  if (servers_.options().standalone)
    grant_until_ = time_point::max();
}

bool home_role::MayGrant(time_point now) const {
  return now < std::max(grant_until_, carried_over_until_);
}

// ---- Ownership

home_role::table& home_role::TableFor(const server_id& server,
                                      const server_state& s) {
  table& t = tables_[server];
  t.next_serial =
      std::max(t.next_serial, servers_.options().incarnation.value());
  if (t.slots.size() < s.spec.slots)
    t.slots.resize(s.spec.slots);
  return t;
}

void home_role::TryTakeOwnership(const server_id& server,
                                 table& t,
                                 time_point now) {
  const server_state* s = servers_.Find(server);
  if (t.is_owned || s == nullptr)
    return;
  if (servers_.options().standalone) {
    t.is_owned = true;
    return;
  }
  if (!earlier_grants_end_at_ || now < t.own_not_before)
    return;
  // A former run of this process may have granted slots until it ended.
  const time_point granted_until =
      std::max(started_, *earlier_grants_end_at_) + limits::kLeaseDuration;
  const pool_info* pool = servers_.FindPool(s->pool);
  t.is_owned = now >= ReclaimTime(granted_until, pool->longest_max_run);
}

void home_role::OnConfig(step_context& step) {
  for (auto it = tables_.begin(); it != tables_.end();) {
    const server_state* s = servers_.Find(it->first);
    const bool moved = s != nullptr && !servers_.IsHome(*s);
    const bool unused =
        s == nullptr &&
        std::none_of(it->second.slots.begin(), it->second.slots.end(),
                     [](const auto& e) { return !!e; });
    it = moved || unused ? tables_.erase(it) : std::next(it);
  }
  for (const auto& [id, s] : servers_.servers()) {
    if (!servers_.IsHome(s))
      continue;
    table& t = TableFor(id, s);
    if (s.home_moved_at) {
      const time_point granted_until =
          *s.home_moved_at + kMaxConfigDelay + limits::kLeaseDuration;
      t.own_not_before = ReclaimTime(
          granted_until, servers_.FindPool(s.pool)->longest_max_run);
    }
    TryTakeOwnership(id, t, step.now);
    RecallUnsafe(id, step);
  }
}

void home_role::OnHomes(epoch_number before, step_context& step) {
  const bool is_next = before.is_valid() && before.next() == servers_.epoch() &&
                       MayGrant(step.now);
  const time_point right_ends =
      std::max(std::exchange(grant_until_, time_point()), carried_over_until_);
  carried_over_until_ = is_next ? right_ends : time_point();
  earlier_grants_end_at_.reset();
  outgoing_tables_.clear();
  pending_requests_.clear();
  std::erase_if(last_request_, [&](const auto& entry) {
    return !servers_.IsMember(std::get<member_id>(entry.first));
  });
  for (auto it = tables_.begin(); it != tables_.end();) {
    const server_state* s = servers_.Find(it->first);
    const bool stays = s == nullptr || servers_.IsHome(*s);
    it->second.is_owned = it->second.is_owned && is_next;
    if (!stays && it->second.is_owned)
      StartHandover(it->first, std::move(it->second), s->home, right_ends);
    it = stays ? std::next(it) : tables_.erase(it);
  }
  for (const auto& [id, s] : servers_.servers()) {
    if (servers_.IsHome(s))
      TableFor(id, s);
  }
  SendHandoverOffers(step);
}

void home_role::OnRight(const grant_right_changed& m, step_context& step) {
  if (servers_.options().standalone || m.epoch != servers_.epoch())
    return;
  grant_until_ = m.may_grant_until;
  if (m.earlier_grants_end_at)
    earlier_grants_end_at_ = m.earlier_grants_end_at;
  for (auto& [id, t] : tables_)
    TryTakeOwnership(id, t, step.now);
  for (const auto& [pool, info] : servers_.pools())
    ServePendingRequests(pool, step);
}

// ---- Granting slots

bool home_role::IsGrantable(const table& t, const server_state& s) const {
  return t.is_owned && servers_.IsHome(s) && s.accepts_work();
}

std::uint32_t home_role::CountFree(const table& t, const server_state& s) {
  const std::size_t usable =
      std::min<std::size_t>(s.usable_slots(), t.slots.size());
  return static_cast<std::uint32_t>(std::count(
      t.slots.begin(), t.slots.begin() + static_cast<std::ptrdiff_t>(usable),
      std::nullopt));
}

std::uint32_t home_role::CountSpare(const pool_id& pool) const {
  std::uint32_t spare = 0;
  for (const auto& [id, t] : tables_) {
    const server_state* s = servers_.Find(id);
    if (s != nullptr && s->pool == pool && IsGrantable(t, *s))
      spare += CountFree(t, *s);
  }
  return spare;
}

std::optional<server_id> home_role::ChooseServer(
    const pending_request& w) const {
  const data_centre_id near = servers_.DataCentreOf(w.holder);
  std::optional<server_id> best;
  std::pair<bool, std::uint32_t> best_rank;
  for (const auto& [id, t] : tables_) {
    const server_state* s = servers_.Find(id);
    if (s == nullptr || s->pool != w.request.pool || !IsGrantable(t, *s))
      continue;
    if (w.request.version.is_valid() && s->spec.version != w.request.version)
      continue;
    const std::pair rank(s->spec.data_centre == near, CountFree(t, *s));
    if (rank.second == 0 || (best && rank <= best_rank))
      continue;
    best = id;
    best_rank = rank;
  }
  return best;
}

std::optional<granted_lease> home_role::GrantSlot(const pending_request& w,
                                                  step_context& step) {
  const std::optional<server_id> id = ChooseServer(w);
  if (!id)
    return std::nullopt;
  table& t = tables_[*id];
  const server_state& s = *servers_.Find(*id);
  const auto free = std::find(t.slots.begin(), t.slots.end(), std::nullopt);
  const milliseconds max_run = servers_.FindPool(s.pool)->max_run;
  *free = lease_record{.holder = w.holder,
                       .serial = ++t.next_serial,
                       .expiry = step.now + limits::kLeaseDuration,
                       .max_run = max_run,
                       .in_use = true};
  const slot_index slot(
      static_cast<std::uint64_t>(std::distance(t.slots.begin(), free)));
  return granted_lease{{*id, slot, t.next_serial},
                       max_run,
                       s.is_cold_or_suspect(),
                       s.suspicion_serial};
}

// Grants the free slots and reports how many are still pending.
void home_role::GrantSlots(pending_request& w, step_context& step) {
  slot_grant grant{.incarnation = w.request.incarnation,
                   .sequence = w.request.sequence,
                   .term = servers_.epoch(),
                   .pool = w.request.pool,
                   .version = w.request.version};
  while (w.request.count > 0) {
    std::optional<granted_lease> lease = GrantSlot(w, step);
    if (!lease)
      break;
    grant.leases.push_back(std::move(*lease));
    --w.request.count;
    ++w.request.held;
  }
  grant.pending = w.request.count;
  grant.spare = grant.pending > 0 ? 0 : CountSpare(w.request.pool);
  step.Send(w.holder, std::move(grant));
}

void home_role::On(const member_id& from,
                   const slot_request& m,
                   step_context& step) {
  if (!MayGrant(step.now) || servers_.FindPool(m.pool) == nullptr)
    return;
  request_order& last = last_request_[{from, m.pool, m.version}];
  const request_order order{m.incarnation, m.sequence};
  // A duplicated or reordered request must not be granted twice.
  if (last.incarnation.is_valid() && order <= last)
    return;
  last = order;
  std::deque<pending_request>& requests = pending_requests_[m.pool];
  std::erase_if(requests, [&](const pending_request& w) {
    return w.holder == from && w.request.version == m.version;
  });
  pending_request w{from, m, step.now};
  w.request.count = std::min<std::uint32_t>(m.count, limits::kMaxQueuePerPool);
  GrantSlots(w, step);
  if (w.request.count == 0)
    return;
  RecallFor(w, step);
  requests.push_back(std::move(w));
}

void home_role::ServePendingRequests(const pool_id& pool, step_context& step) {
  const auto it = pending_requests_.find(pool);
  if (it == pending_requests_.end() || !MayGrant(step.now))
    return;
  std::deque<pending_request>& requests = it->second;
  std::erase_if(requests, [&](const pending_request& w) {
    return step.now - w.received_at >= kPendingRequestTimeout;
  });
  // The holder with the fewest slots comes first; among equals the oldest
  // request.
  std::stable_sort(requests.begin(), requests.end(),
                   [](const pending_request& a, const pending_request& b) {
                     return a.request.held < b.request.held;
                   });
  for (pending_request& w : requests) {
    if (ChooseServer(w))
      GrantSlots(w, step);
  }
  std::erase_if(requests,
                [](const pending_request& w) { return w.request.count == 0; });
}

// ---- Recall, return and renewal

void home_role::RecallFor(const pending_request& w, step_context& step) {
  std::map<member_id, slot_recall> recalls;
  std::size_t left = std::size_t{w.request.count} * kRecallsPerSlot;
  // Slots that were reported idle first.
  for (const bool in_use : {false, true}) {
    for (auto& [id, t] : tables_) {
      const server_state* s = servers_.Find(id);
      if (s == nullptr || s->pool != w.request.pool || !IsGrantable(t, *s))
        continue;
      for (std::size_t i = 0; i < t.slots.size() && left > 0; ++i) {
        std::optional<lease_record>& e = t.slots[i];
        if (!e || e->in_use != in_use || e->holder == w.holder ||
            step.now - e->recalled_at < kRecallInterval) {
          continue;
        }
        e->recalled_at = step.now;
        --left;
        slot_recall& recall = recalls[e->holder];
        recall.leases.push_back({id, slot_index(i), e->serial});
        recall.requester_held = w.request.held;
      }
    }
  }
  for (auto& [holder, recall] : recalls)
    step.Send(holder, std::move(recall));
}

// Recalls slots that a cold or suspect server must not use.
void home_role::RecallUnsafe(const server_id& server, step_context& step) {
  const server_state* s = servers_.Find(server);
  const auto it = tables_.find(server);
  if (s == nullptr || it == tables_.end())
    return;
  std::map<member_id, slot_recall> recalls;
  const std::size_t usable = s->accepts_work() ? s->usable_slots() : 0;
  for (std::size_t i = usable; i < it->second.slots.size(); ++i) {
    const std::optional<lease_record>& e = it->second.slots[i];
    if (!e)
      continue;
    slot_recall& recall = recalls[e->holder];
    recall.is_mandatory = true;
    recall.leases.push_back({server, slot_index(i), e->serial});
  }
  for (auto& [holder, recall] : recalls)
    step.Send(holder, std::move(recall));
}

home_role::lease_record* home_role::FindLease(const member_id& holder,
                                              const lease_ref& lease) {
  const auto it = tables_.find(lease.server);
  if (it == tables_.end() || lease.slot.value() >= it->second.slots.size())
    return nullptr;
  std::optional<lease_record>& e = it->second.slots[lease.slot.value()];
  if (!e || e->holder != holder || e->serial != lease.serial)
    return nullptr;
  return &*e;
}

void home_role::On(const member_id& from,
                   const slot_return& m,
                   step_context& step) {
  std::set<pool_id> pools;
  for (const lease_ref& lease : m.leases) {
    if (FindLease(from, lease) == nullptr) {
      StoreEarlyReturn(from, lease, step.now);
      continue;
    }
    tables_[lease.server].slots[lease.slot.value()].reset();
    if (const server_state* s = servers_.Find(lease.server))
      pools.insert(s->pool);
  }
  for (const pool_id& pool : pools)
    ServePendingRequests(pool, step);
}

bool home_role::RenewLease(const member_id& holder,
                           const renewed_lease& lease,
                           step_context& step) {
  const server_state* s = servers_.Find(lease.lease.server);
  lease_record* e = FindLease(holder, lease.lease);
  if (e == nullptr || s == nullptr || e->expiry <= step.now)
    return false;
  // A lease keeps its maximum run time, so a new setting needs a new lease.
  if (!tables_[lease.lease.server].is_owned ||
      e->max_run != servers_.FindPool(s->pool)->max_run) {
    return false;
  }
  e->expiry = step.now + limits::kLeaseDuration;
  e->in_use = lease.in_use;
  return true;
}

void home_role::On(const member_id& from,
                   const renewal& m,
                   step_context& step) {
  if (!MayGrant(step.now))
    return;
  renewed reply{.incarnation = m.incarnation, .sequence = m.sequence};
  for (const renewed_lease& lease : m.leases) {
    if (!RenewLease(from, lease, step))
      reply.lost.push_back(lease.lease);
  }
  AddStateUpdates(from, m, reply, step);
  step.Send(from, std::move(reply));
}

// Adds state updates and recalls that the holder may have missed, since
// messages can be lost.
void home_role::AddStateUpdates(const member_id& holder,
                                const renewal& m,
                                renewed& reply,
                                step_context& step) {
  std::set<server_id> named;
  std::set<pool_id> pools;
  slot_recall unsafe{.is_mandatory = true};
  for (const renewed_lease& lease : m.leases) {
    const server_id& id = lease.lease.server;
    const server_state* s = servers_.Find(id);
    if (s == nullptr)
      continue;
    pools.insert(s->pool);
    if (lease.lease.slot.value() >= s->usable_slots())
      unsafe.leases.push_back(lease.lease);
    if (!named.insert(id).second)
      continue;
    if (s->is_cold_or_suspect())
      reply.cold.push_back({id, s->suspicion_serial});
    if (s->draining)
      step.Send(holder, server_state_update{id, s->is_cold_or_suspect(),
                                            s->draining, s->suspicion_serial});
  }
  for (const pool_id& pool : pools) {
    if (const std::uint32_t spare = CountSpare(pool))
      reply.spare.push_back({pool, spare});
  }
  if (!unsafe.leases.empty())
    step.Send(holder, std::move(unsafe));
}

bool home_role::ReclaimExpired(table& t, time_point now) {
  bool any = false;
  for (std::optional<lease_record>& e : t.slots) {
    if (!e || now < ReclaimTime(e->expiry, e->max_run))
      continue;
    e.reset();
    ++slots_reclaimed_;
    any = true;
  }
  return any;
}

void home_role::OnTick(step_context& step) {
  std::set<pool_id> pools;
  for (auto& [id, t] : tables_) {
    const server_state* s = servers_.Find(id);
    const bool was_owned = t.is_owned;
    TryTakeOwnership(id, t, step.now);
    const bool gained = ReclaimExpired(t, step.now) || t.is_owned != was_owned;
    if (gained && s != nullptr)
      pools.insert(s->pool);
  }
  for (const pool_id& pool : pools)
    ServePendingRequests(pool, step);
  if (!outgoing_tables_.empty() && step.now >= next_offer_)
    SendHandoverOffers(step);
}

// ---- Server state

void home_role::OnServerChanged(const server_id& server, step_context& step) {
  SendStateUpdate(server, step);
  RecallUnsafe(server, step);
  if (const server_state* s = servers_.Find(server))
    ServePendingRequests(s->pool, step);
}

void home_role::SendStateUpdate(const server_id& server, step_context& step) {
  const server_state* s = servers_.Find(server);
  if (s == nullptr)
    return;
  // Sent to all members, since one without a lease may be about to get one.
  for (const home_candidate& member : servers_.members()) {
    if (member.id != servers_.options().self) {
      step.Send(member.id,
                server_state_update{server, s->is_cold_or_suspect(),
                                    s->draining, s->suspicion_serial});
    }
  }
}

bool home_role::IsGranting(const server_id& server, time_point now) const {
  const auto it = tables_.find(server);
  const server_state* s = servers_.Find(server);
  return it != tables_.end() && s != nullptr && MayGrant(now) &&
         IsGrantable(it->second, *s);
}

std::uint32_t home_role::GrantedToOthers(const server_id& server) const {
  const auto it = tables_.find(server);
  if (it == tables_.end())
    return 0;
  return static_cast<std::uint32_t>(std::count_if(
      it->second.slots.begin(), it->second.slots.end(), [&](const auto& e) {
        return e.has_value() && e->holder != servers_.options().self;
      }));
}

std::uint32_t home_role::GrantedCount(const server_id& server) const {
  const auto it = tables_.find(server);
  if (it == tables_.end())
    return 0;
  return static_cast<std::uint32_t>(
      std::count_if(it->second.slots.begin(), it->second.slots.end(),
                    [](const auto& e) { return e.has_value(); }));
}

}  // namespace dotterellead
