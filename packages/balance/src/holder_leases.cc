// The holder's leases: asking, renewing and giving back.
#include <algorithm>

#include "holder_role.h"

namespace dotterellead {
namespace {

// Homes asked at once.
constexpr std::size_t kAskFanOut = 2;
// A host with waiting requests asks no more often than this, however many
// calls arrive, so that messages follow the load's shifts. With 16 hosts and
// 72 slots at 80% load this gives 18 KB/s per host; asking the next home as
// soon as one had none gave 39 KB/s and waits only a fifth shorter.
constexpr milliseconds kAskInterval{30};
// The same if only requests that may not be forwarded ask. Each has a record in
// the platform's log, so that there are few.
constexpr milliseconds kDirectAskInterval{5};
// A home that owes slots is asked again after this time, before it forgets.
constexpr milliseconds kAskAgain{300};

}  // namespace

holder_role::held_lease* holder_role::FindLease(const lease_ref& ref) {
  const auto server = leases_.find(ref.server);
  if (server == leases_.end())
    return nullptr;
  const auto lease = server->second.find(ref.slot);
  if (lease == server->second.end() || lease->second.serial != ref.serial)
    return nullptr;
  return &lease->second;
}

std::uint32_t holder_role::Held(const pool_id& pool) const {
  std::size_t held = 0;
  for (const auto& [id, leases] : leases_) {
    const server_state* s = servers_.Find(id);
    if (s != nullptr && s->pool == pool)
      held += leases.size();
  }
  return static_cast<std::uint32_t>(held);
}

bool holder_role::HasIdle(const pool_id& pool, time_point now) const {
  const pool_info* info = servers_.FindPool(pool);
  return info != nullptr &&
         std::any_of(
             info->servers.begin(), info->servers.end(),
             [&](const server_id& id) { return FindIdle(id, now) != nullptr; });
}

// ---- Giving back

bool holder_role::MustReturn(const server_id& server,
                             slot_index slot,
                             const held_lease& lease,
                             time_point now) const {
  const server_state* s = servers_.Find(server);
  if (s == nullptr || !s->takes_work() || slot.value() >= s->usable_slots())
    return true;
  if (lease.must_return || lease.lost)
    return true;
  const auto pool = pools_.find(s->pool);
  const bool is_needed = pool != pools_.end() && !pool->second.queue.empty();
  // The home's queue may need it, and asking again costs one round trip.
  if (policy_->forwards() && !servers_.IsHome(*s) && !is_needed)
    return true;
  if (lease.recalled) {
    const std::uint32_t held = Held(s->pool);
    if (!is_needed || held >= lease.needy_held + 2)
      return true;
  }
  return now - lease.idle_since >= limits::kIdleLeaseTimeout;
}

// Returns whether the lease is to be dropped.
bool holder_role::ReviewLease(const server_id& server,
                              slot_index slot,
                              held_lease& lease,
                              time_point now) {
  if (lease.expiry <= now && !lease.lost) {
    lease.lost = true;
    ++leases_expired_;
  }
  if (lease.user.is_valid() || now < lease.usable_from)
    return false;
  if (!MustReturn(server, slot, lease, now)) {
    lease.recalled = false;
    return false;
  }
  Return(server, slot, lease.serial);
  return true;
}

void holder_role::Review(time_point now) {
  for (auto& [id, leases] : leases_) {
    for (auto it = leases.begin(); it != leases.end();) {
      const bool ends = ReviewLease(id, it->first, it->second, now);
      it = ends ? leases.erase(it) : std::next(it);
    }
  }
  std::erase_if(leases_,
                [](const auto& entry) { return entry.second.empty(); });
}

void holder_role::Return(const server_id& server,
                         slot_index slot,
                         std::uint64_t serial) {
  returns_[server].push_back({server, slot, serial});
}

void holder_role::SendReturns(step_context& step) {
  std::map<member_id, slot_return> messages;
  for (auto& [id, leases] : std::exchange(returns_, {})) {
    const server_state* s = servers_.Find(id);
    if (s == nullptr || !s->home.is_valid())
      continue;
    std::vector<lease_ref>& list = messages[s->home].leases;
    list.insert(list.end(), leases.begin(), leases.end());
  }
  for (auto& [home, message] : messages)
    step.Send(home, std::move(message));
}

void holder_role::On(const member_id&,
                     const slot_recall& m,
                     step_context& step) {
  for (const lease_ref& ref : m.leases) {
    // An unknown lease may be one of a former run, whose request may still be
    // running; it runs out by itself.
    held_lease* lease = FindLease(ref);
    if (lease == nullptr)
      continue;
    lease->recalled = true;
    const bool is_idle = !lease->user.is_valid();
    lease->must_return = lease->must_return || m.must || is_idle;
    lease->needy_held = m.needy_held;
    if (ReviewLease(ref.server, ref.slot, *lease, step.now))
      leases_[ref.server].erase(ref.slot);
  }
}

// ---- Asking

void holder_role::Ask(const pool_id& pool, step_context& step) {
  if (!policy_->uses_leases())
    return;
  const wait_queue& queue = pools_[pool].queue;
  const auto all = queue.CountByVersion([](const acquire&) { return true; });
  // Requests that this host serves as a home wait for its own slots only:
  // slots that other homes lent to them would lie idle here afterwards.
  const auto direct = queue.CountByVersion([this](const acquire& m) {
    return !policy_->forwards() || m.kind == acquire_kind::kDirect;
  });
  for (const auto& [version, count] : all) {
    const auto it = direct.find(version);
    AskFor(pool, version, {count, it == direct.end() ? 0 : it->second}, step);
  }
}

void holder_role::AskFor(const pool_id& pool,
                         const version_id& version,
                         const wanted_slots& wanted,
                         step_context& step) {
  ask_state& state = pools_[pool].asks[version];
  const std::vector<member_id> homes =
      HomesToAsk(pool, version, state, step.now);
  // Asking itself costs no message. If it has too few slots, its answer leads
  // here again.
  const member_id& self = servers_.options().self;
  if (std::find(homes.begin(), homes.end(), self) != homes.end()) {
    AskHome(pool, version, wanted.here, self, step);
    return;
  }
  if (homes.empty() || wanted.elsewhere == 0 || step.now < state.next_ask)
    return;
  state.next_ask =
      step.now + (policy_->forwards() ? kDirectAskInterval : kAskInterval);
  const std::size_t asked = std::min(kAskFanOut, homes.size());
  for (std::size_t i = 0; i < asked; ++i)
    AskHome(pool, version, wanted.elsewhere, homes[i], step);
}

// Spare slots elsewhere would otherwise keep requests away from a local server
// that has just returned, at the price of the way between data centres.
void holder_role::AskLocal(step_context& step) {
  for (auto& [name, pool] : pools_) {
    const pool_info* info = servers_.FindPool(name);
    if (!std::exchange(pool.used_other_data_centre, false) || info == nullptr)
      continue;
    for (const server_id& id : info->servers) {
      const server_state& s = *servers_.Find(id);
      if (s.takes_work() && s.home.is_valid() && !leases_.contains(id) &&
          s.spec.data_centre == servers_.options().data_centre) {
        AskHome(name, version_id(), 1, s.home, step);
        break;
      }
    }
  }
}

void holder_role::AskHome(const pool_id& pool,
                          const version_id& version,
                          std::uint32_t count,
                          const member_id& home,
                          step_context& step) {
  pools_[pool].asks[version].homes[home] = {step.now, true, 0};
  step.Send(home, slot_request{.incarnation = servers_.options().incarnation,
                               .sequence = NextSequence({step.now, {}}),
                               .pool = pool,
                               .version = version,
                               .count = count,
                               .held = Held(pool)});
}

// Homes that may have a slot: those with spare ones first, then those of the
// own data centre, then those asked longest ago.
std::vector<member_id> holder_role::HomesToAsk(const pool_id& pool,
                                               const version_id& version,
                                               const ask_state& state,
                                               time_point now) const {
  using rank = std::tuple<bool, bool, time_point, member_id>;
  std::vector<rank> ranks;
  for (const server_id& id : servers_.FindPool(pool)->servers) {
    const server_state& s = *servers_.Find(id);
    if (!s.takes_work() || !s.home.is_valid() ||
        (version.is_valid() && s.spec.version != version)) {
      continue;
    }
    const auto known = state.homes.find(s.home);
    const asked_home home =
        known == state.homes.end() ? asked_home() : known->second;
    if (home.is_owing && now - home.asked_at < kAskAgain)
      continue;
    ranks.emplace_back(
        home.spare == 0,
        servers_.DataCentreOf(s.home) != servers_.options().data_centre,
        home.asked_at, s.home);
  }
  std::sort(ranks.begin(), ranks.end());
  ranks.erase(std::unique(ranks.begin(), ranks.end()), ranks.end());
  std::vector<member_id> homes;
  homes.reserve(ranks.size());
  for (const rank& r : ranks)
    homes.push_back(std::get<member_id>(r));
  return homes;
}

void holder_role::On(const member_id& from,
                     const slot_grant& m,
                     step_context& step) {
  const sent_message* sent = FindSent(m.incarnation, m.sequence);
  if (sent == nullptr || servers_.FindPool(m.pool) == nullptr)
    return;
  const time_point sent_at = sent->at;
  ask_state& state = pools_[m.pool].asks[m.version];
  asked_home& home = state.homes[from];
  if (home.asked_at <= sent_at) {
    home.is_owing = m.owed > 0;
    home.spare = m.spare;
  }
  for (const granted_lease& granted : m.leases)
    Accept(m, granted, sent_at, step);
  ServeWaiting(m.pool, step);
}

// The lease time counts from when this host sent the request, so no delay on
// the way can lengthen it.
bool holder_role::Accept(const slot_grant& m,
                         const granted_lease& granted,
                         time_point sent_at,
                         step_context& step) {
  const lease_ref& ref = granted.lease;
  servers_.LearnFromHome(
      {ref.server, granted.cold, false, granted.state_serial}, sent_at,
      step.now);
  grant_order& newest = newest_grant_[{ref.server, ref.slot}];
  const grant_order order{m.term, ref.serial};
  if (newest.term.is_valid() && order <= newest)
    return false;
  newest = order;
  const time_point expiry = sent_at + limits::kLeaseDuration;
  if (expiry <= step.now)
    return false;
  held_lease lease{.serial = ref.serial,
                   .expiry = expiry,
                   .max_run = granted.max_run,
                   .idle_since = step.now,
                   .usable_from = step.now};
  const server_state* s = servers_.Find(ref.server);
  const bool is_surplus = s != nullptr && pools_[s->pool].queue.empty() &&
                          HasIdle(s->pool, step.now);
  if (is_surplus || MustReturn(ref.server, ref.slot, lease, step.now)) {
    Return(ref.server, ref.slot, ref.serial);
    return false;
  }
  leases_[ref.server][ref.slot] = lease;
  return true;
}

// ---- Renewal

void holder_role::Renew(step_context& step) {
  next_renewal_ = step.now + limits::kLeaseRenewalInterval;
  std::map<member_id, renewal> renewals;
  for (const auto& [id, leases] : leases_) {
    const server_state* s = servers_.Find(id);
    if (s == nullptr || !s->home.is_valid())
      continue;
    for (const auto& [slot, lease] : leases) {
      if (lease.lost)
        continue;
      renewals[s->home].leases.push_back(
          {{id, slot, lease.serial}, lease.user.is_valid()});
    }
  }
  for (auto& [home, message] : renewals) {
    sent_message sent{step.now, {}};
    for (const renewed_lease& lease : message.leases)
      sent.leases.push_back(lease.lease);
    message.incarnation = servers_.options().incarnation;
    message.sequence = NextSequence(std::move(sent));
    step.Send(home, std::move(message));
  }
  servers_.RepeatNews(step);
}

void holder_role::On(const member_id& from,
                     const renewed& m,
                     step_context& step) {
  const sent_message* sent = FindSent(m.incarnation, m.sequence);
  if (sent == nullptr)
    return;
  for (const lease_ref& ref : sent->leases) {
    held_lease* lease = FindLease(ref);
    const server_state* s = servers_.Find(ref.server);
    if (lease == nullptr || s == nullptr || lease->lost)
      continue;
    const bool is_lost =
        std::find(m.lost.begin(), m.lost.end(), ref) != m.lost.end();
    if (is_lost)
      lease->lost = true;
    else
      lease->expiry =
          std::max(lease->expiry, sent->at + limits::kLeaseDuration);
    const auto cold = std::find_if(
        m.cold.begin(), m.cold.end(),
        [&](const server_state_serial& c) { return c.server == ref.server; });
    const bool is_cold = cold != m.cold.end();
    if (s->home == from && !s->draining) {
      servers_.LearnFromHome(
          {ref.server, is_cold, false, is_cold ? cold->serial : s->serial},
          sent->at, step.now);
    }
  }
  for (const spare_slots& spare : m.spare) {
    for (auto& [version, state] : pools_[spare.pool].asks)
      state.homes[from].spare = spare.count;
  }
  Review(step.now);
}

const holder_role::sent_message* holder_role::FindSent(
    incarnation_id incarnation,
    std::uint64_t sequence) const {
  const auto it = sent_.find(sequence);
  if (incarnation != servers_.options().incarnation || it == sent_.end())
    return nullptr;
  return &it->second;
}

std::uint64_t holder_role::NextSequence(sent_message message) {
  sent_.emplace(++last_sequence_, std::move(message));
  return last_sequence_;
}

// What was sent longer ago than the lease time can no longer give a lease.
void holder_role::ForgetSent(time_point now) {
  while (!sent_.empty() &&
         now - sent_.begin()->second.at >= limits::kLeaseDuration) {
    sent_.erase(sent_.begin());
  }
}

}  // namespace dotterellead
