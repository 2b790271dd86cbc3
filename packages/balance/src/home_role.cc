#include "home_role.h"

#include <algorithm>

namespace dotterellead {
namespace {

// A holder asks again before this time if it still needs slots. What is left of
// the lease time when a want is met late must last until the next renewal.
constexpr milliseconds kWantTime{600};
// A lease is not recalled again within this time, unless a lost message is the
// only explanation.
constexpr milliseconds kRecallInterval{100};
// Leases recalled per missing slot. Recalling more moves slots that are not
// needed.
constexpr std::uint32_t kRecallsPerSlot = 1;
// The time in which every host has a new configuration, with a margin: until
// then the home by the earlier configuration may lend.
constexpr milliseconds kConfigSpread{20'000};

time_point ReclaimTime(time_point expiry, milliseconds max_run) {
  return expiry + max_run + limits::kLeaseExpiryMargin;
}

}  // namespace

home_role::home_role(directory& servers, time_point started)
    : servers_(servers), started_(started) {
  if (servers_.options().standalone)
    lend_before_ = time_point::max();
}

bool home_role::MayLend(time_point now) const {
  return now < std::max(lend_before_, carried_until_);
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

void home_role::TryOwn(const server_id& server, table& t, time_point now) {
  const server_state* s = servers_.Find(server);
  if (t.owned || s == nullptr)
    return;
  if (servers_.options().standalone) {
    t.owned = true;
    return;
  }
  if (!earlier_homes_end_ || now < t.not_before)
    return;
  // A former run of this process may have lent slots until it ended.
  const time_point lent_until =
      std::max(started_, *earlier_homes_end_) + limits::kLeaseDuration;
  const pool_info* pool = servers_.FindPool(s->pool);
  t.owned = now >= ReclaimTime(lent_until, pool->longest_max_run);
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
      const time_point lent_until =
          *s.home_moved_at + kConfigSpread + limits::kLeaseDuration;
      t.not_before =
          ReclaimTime(lent_until, servers_.FindPool(s.pool)->longest_max_run);
    }
    TryOwn(id, t, step.now);
    RecallUnsafe(id, step);
  }
}

void home_role::OnHomes(epoch_number before, step_context& step) {
  const bool is_next = before.is_valid() && before.next() == servers_.epoch() &&
                       MayLend(step.now);
  const time_point right_ends =
      std::max(std::exchange(lend_before_, time_point()), carried_until_);
  carried_until_ = is_next ? right_ends : time_point();
  earlier_homes_end_.reset();
  departing_.clear();
  wants_.clear();
  std::erase_if(last_request_, [&](const auto& entry) {
    return !servers_.IsMember(std::get<member_id>(entry.first));
  });
  for (auto it = tables_.begin(); it != tables_.end();) {
    const server_state* s = servers_.Find(it->first);
    const bool stays = s == nullptr || servers_.IsHome(*s);
    it->second.owned = it->second.owned && is_next;
    if (!stays && it->second.owned)
      Depart(it->first, std::move(it->second), s->home, right_ends);
    it = stays ? std::next(it) : tables_.erase(it);
  }
  for (const auto& [id, s] : servers_.servers()) {
    if (servers_.IsHome(s))
      TableFor(id, s);
  }
  Offer(step);
}

void home_role::OnRight(const home_right_changed& m, step_context& step) {
  if (servers_.options().standalone || m.epoch != servers_.epoch())
    return;
  lend_before_ = m.lend_before;
  if (m.earlier_homes_end)
    earlier_homes_end_ = m.earlier_homes_end;
  for (auto& [id, t] : tables_)
    TryOwn(id, t, step.now);
  for (const auto& [pool, info] : servers_.pools())
    ServeWants(pool, step);
}

// ---- Lending

bool home_role::IsLendable(const table& t, const server_state& s) const {
  return t.owned && servers_.IsHome(s) && s.takes_work();
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
    if (s != nullptr && s->pool == pool && IsLendable(t, *s))
      spare += CountFree(t, *s);
  }
  return spare;
}

std::optional<server_id> home_role::ChooseServer(const want& w) const {
  const data_centre_id near = servers_.DataCentreOf(w.holder);
  std::optional<server_id> best;
  std::pair<bool, std::uint32_t> best_rank;
  for (const auto& [id, t] : tables_) {
    const server_state* s = servers_.Find(id);
    if (s == nullptr || s->pool != w.request.pool || !IsLendable(t, *s))
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

std::optional<granted_lease> home_role::LendOne(const want& w,
                                                step_context& step) {
  const std::optional<server_id> id = ChooseServer(w);
  if (!id)
    return std::nullopt;
  table& t = tables_[*id];
  const server_state& s = *servers_.Find(*id);
  const auto free = std::find(t.slots.begin(), t.slots.end(), std::nullopt);
  const milliseconds max_run = servers_.FindPool(s.pool)->max_run;
  *free = lent{.holder = w.holder,
               .serial = ++t.next_serial,
               .expiry = step.now + limits::kLeaseDuration,
               .max_run = max_run,
               .in_use = true};
  const slot_index slot(
      static_cast<std::uint64_t>(std::distance(t.slots.begin(), free)));
  return granted_lease{
      {*id, slot, t.next_serial}, max_run, s.is_doubtful(), s.serial};
}

// Grants what it can and says how many slots are still owed.
void home_role::Fill(want& w, step_context& step) {
  slot_grant grant{.incarnation = w.request.incarnation,
                   .sequence = w.request.sequence,
                   .term = servers_.epoch(),
                   .pool = w.request.pool,
                   .version = w.request.version};
  while (w.request.count > 0) {
    std::optional<granted_lease> lease = LendOne(w, step);
    if (!lease)
      break;
    grant.leases.push_back(std::move(*lease));
    --w.request.count;
    ++w.request.held;
  }
  grant.owed = w.request.count;
  grant.spare = grant.owed > 0 ? 0 : CountSpare(w.request.pool);
  step.Send(w.holder, std::move(grant));
}

void home_role::On(const member_id& from,
                   const slot_request& m,
                   step_context& step) {
  if (!MayLend(step.now) || servers_.FindPool(m.pool) == nullptr)
    return;
  request_order& last = last_request_[{from, m.pool, m.version}];
  const request_order order{m.incarnation, m.sequence};
  // A repeated or overtaken request must not be granted twice.
  if (last.incarnation.is_valid() && order <= last)
    return;
  last = order;
  std::deque<want>& wants = wants_[m.pool];
  std::erase_if(wants, [&](const want& w) {
    return w.holder == from && w.request.version == m.version;
  });
  want w{from, m, step.now};
  w.request.count = std::min<std::uint32_t>(m.count, limits::kMaxQueuePerPool);
  Fill(w, step);
  if (w.request.count == 0)
    return;
  RecallFor(w, step);
  wants.push_back(std::move(w));
}

void home_role::ServeWants(const pool_id& pool, step_context& step) {
  const auto it = wants_.find(pool);
  if (it == wants_.end() || !MayLend(step.now))
    return;
  std::deque<want>& wants = it->second;
  std::erase_if(
      wants, [&](const want& w) { return step.now - w.received >= kWantTime; });
  // The holder with the fewest slots comes first; among equals the oldest.
  std::stable_sort(wants.begin(), wants.end(),
                   [](const want& a, const want& b) {
                     return a.request.held < b.request.held;
                   });
  for (want& w : wants) {
    if (ChooseServer(w))
      Fill(w, step);
  }
  std::erase_if(wants, [](const want& w) { return w.request.count == 0; });
}

// ---- Recall, return and renewal

void home_role::RecallFor(const want& w, step_context& step) {
  std::map<member_id, slot_recall> recalls;
  std::size_t left = std::size_t{w.request.count} * kRecallsPerSlot;
  // Slots reported idle first.
  for (const bool in_use : {false, true}) {
    for (auto& [id, t] : tables_) {
      const server_state* s = servers_.Find(id);
      if (s == nullptr || s->pool != w.request.pool || !IsLendable(t, *s))
        continue;
      for (std::size_t i = 0; i < t.slots.size() && left > 0; ++i) {
        std::optional<lent>& e = t.slots[i];
        if (!e || e->in_use != in_use || e->holder == w.holder ||
            step.now - e->recalled_at < kRecallInterval) {
          continue;
        }
        e->recalled_at = step.now;
        --left;
        slot_recall& recall = recalls[e->holder];
        recall.leases.push_back({id, slot_index(i), e->serial});
        recall.needy_held = w.request.held;
      }
    }
  }
  for (auto& [holder, recall] : recalls)
    step.Send(holder, std::move(recall));
}

// Calls back slots that a doubtful server must not use.
void home_role::RecallUnsafe(const server_id& server, step_context& step) {
  const server_state* s = servers_.Find(server);
  const auto it = tables_.find(server);
  if (s == nullptr || it == tables_.end())
    return;
  std::map<member_id, slot_recall> recalls;
  const std::size_t usable = s->takes_work() ? s->usable_slots() : 0;
  for (std::size_t i = usable; i < it->second.slots.size(); ++i) {
    const std::optional<lent>& e = it->second.slots[i];
    if (!e)
      continue;
    slot_recall& recall = recalls[e->holder];
    recall.must = true;
    recall.leases.push_back({server, slot_index(i), e->serial});
  }
  for (auto& [holder, recall] : recalls)
    step.Send(holder, std::move(recall));
}

home_role::lent* home_role::FindLent(const member_id& holder,
                                     const lease_ref& lease) {
  const auto it = tables_.find(lease.server);
  if (it == tables_.end() || lease.slot.value() >= it->second.slots.size())
    return nullptr;
  std::optional<lent>& e = it->second.slots[lease.slot.value()];
  if (!e || e->holder != holder || e->serial != lease.serial)
    return nullptr;
  return &*e;
}

void home_role::On(const member_id& from,
                   const slot_return& m,
                   step_context& step) {
  std::set<pool_id> pools;
  for (const lease_ref& lease : m.leases) {
    if (FindLent(from, lease) == nullptr) {
      KeepEarlyReturn(from, lease, step.now);
      continue;
    }
    tables_[lease.server].slots[lease.slot.value()].reset();
    if (const server_state* s = servers_.Find(lease.server))
      pools.insert(s->pool);
  }
  for (const pool_id& pool : pools)
    ServeWants(pool, step);
}

bool home_role::Renew(const member_id& holder,
                      const renewed_lease& lease,
                      step_context& step) {
  const server_state* s = servers_.Find(lease.lease.server);
  lent* e = FindLent(holder, lease.lease);
  if (e == nullptr || s == nullptr || e->expiry <= step.now)
    return false;
  // A lease keeps its longest run, so a new setting needs a new lease.
  if (!tables_[lease.lease.server].owned ||
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
  if (!MayLend(step.now))
    return;
  renewed reply{.incarnation = m.incarnation, .sequence = m.sequence};
  for (const renewed_lease& lease : m.leases) {
    if (!Renew(from, lease, step))
      reply.lost.push_back(lease.lease);
  }
  ReportTo(from, m, reply, step);
  step.Send(from, std::move(reply));
}

// Adds what the holder may have missed, as notices and recalls can be lost.
void home_role::ReportTo(const member_id& holder,
                         const renewal& m,
                         renewed& reply,
                         step_context& step) {
  std::set<server_id> named;
  std::set<pool_id> pools;
  slot_recall unsafe{.must = true};
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
    if (s->is_doubtful())
      reply.cold.push_back({id, s->serial});
    if (s->draining)
      step.Send(holder,
                server_notice{id, s->is_doubtful(), s->draining, s->serial});
  }
  for (const pool_id& pool : pools) {
    if (const std::uint32_t spare = CountSpare(pool))
      reply.spare.push_back({pool, spare});
  }
  if (!unsafe.leases.empty())
    step.Send(holder, std::move(unsafe));
}

bool home_role::Reclaim(table& t, time_point now) {
  bool any = false;
  for (std::optional<lent>& e : t.slots) {
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
    const bool was_owned = t.owned;
    TryOwn(id, t, step.now);
    const bool gained = Reclaim(t, step.now) || t.owned != was_owned;
    if (gained && s != nullptr)
      pools.insert(s->pool);
  }
  for (const pool_id& pool : pools)
    ServeWants(pool, step);
  if (!departing_.empty() && step.now >= next_offer_)
    Offer(step);
}

// ---- Server state

void home_role::OnServerChanged(const server_id& server, step_context& step) {
  Notify(server, step);
  RecallUnsafe(server, step);
  if (const server_state* s = servers_.Find(server))
    ServeWants(s->pool, step);
}

void home_role::Notify(const server_id& server, step_context& step) {
  const server_state* s = servers_.Find(server);
  if (s == nullptr)
    return;
  // All members, not only the holders: one that has no lease now may have one
  // on its way.
  for (const home_candidate& member : servers_.members()) {
    if (member.id != servers_.options().self) {
      step.Send(member.id, server_notice{server, s->is_doubtful(), s->draining,
                                         s->serial});
    }
  }
}

bool home_role::IsLending(const server_id& server, time_point now) const {
  const auto it = tables_.find(server);
  const server_state* s = servers_.Find(server);
  return it != tables_.end() && s != nullptr && MayLend(now) &&
         IsLendable(it->second, *s);
}

std::uint32_t home_role::LentToOthers(const server_id& server) const {
  const auto it = tables_.find(server);
  if (it == tables_.end())
    return 0;
  return static_cast<std::uint32_t>(std::count_if(
      it->second.slots.begin(), it->second.slots.end(), [&](const auto& e) {
        return e.has_value() && e->holder != servers_.options().self;
      }));
}

std::uint32_t home_role::Lent(const server_id& server) const {
  const auto it = tables_.find(server);
  if (it == tables_.end())
    return 0;
  return static_cast<std::uint32_t>(
      std::count_if(it->second.slots.begin(), it->second.slots.end(),
                    [](const auto& e) { return e.has_value(); }));
}

}  // namespace dotterellead
