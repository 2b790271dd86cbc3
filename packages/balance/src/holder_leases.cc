// The holder's leases: requesting, renewing and returning slots.
#include <algorithm>

#include "holder_role.h"

namespace dotterellead {
namespace {

// Homes that are sent a request concurrently.
constexpr std::size_t kRequestFanOut = 2;
// Minimum time between requests of a host for slots, however many requests
// wait, so that messages follow shifts of the load. With 16 hosts and 72 slots
// at 80% load this gives 18 KB/s per host; requesting from the next home as
// soon as one had none gave 39 KB/s for only a fifth less waiting time.
constexpr milliseconds kRequestInterval{30};
// The same if only non-forwardable requests wait. There are few of them, since
// each has a record in the platform's log.
constexpr milliseconds kDirectRequestInterval{5};
// A request to a home with pending slots is repeated after this time, before
// the home drops it.
constexpr milliseconds kRepeatedRequestInterval{300};

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

// ---- Returning slots

bool holder_role::MustReturn(const server_id& server,
                             slot_index slot,
                             const held_lease& lease,
                             time_point now) const {
  const server_state* s = servers_.Find(server);
  if (s == nullptr || !s->accepts_work() || slot.value() >= s->usable_slots())
    return true;
  if (lease.is_return_mandatory || lease.is_lost)
    return true;
  const auto pool = pools_.find(s->pool);
  const bool is_needed = pool != pools_.end() && !pool->second.queue.empty();
  // The home's queue may need it, and requesting it again costs one round trip.
  if (policy_->forwards() && !servers_.IsHome(*s) && !is_needed)
    return true;
  if (lease.is_recalled) {
    const std::uint32_t held = Held(s->pool);
    if (!is_needed || held >= lease.requester_held + 2)
      return true;
  }
  return now - lease.idle_since >= limits::kIdleLeaseTimeout;
}

// Returns whether the lease is to be removed.
bool holder_role::ReviewLease(const server_id& server,
                              slot_index slot,
                              held_lease& lease,
                              time_point now) {
  if (lease.expiry <= now && !lease.is_lost) {
    lease.is_lost = true;
    ++leases_expired_;
  }
  if (lease.request.is_valid() || now < lease.usable_from)
    return false;
  if (!MustReturn(server, slot, lease, now)) {
    lease.is_recalled = false;
    return false;
  }
  ReturnSlot(server, slot, lease.serial);
  return true;
}

void holder_role::ReviewLeases(time_point now) {
  for (auto& [id, leases] : leases_) {
    for (auto it = leases.begin(); it != leases.end();) {
      const bool ends = ReviewLease(id, it->first, it->second, now);
      it = ends ? leases.erase(it) : std::next(it);
    }
  }
  std::erase_if(leases_,
                [](const auto& entry) { return entry.second.empty(); });
}

void holder_role::ReturnSlot(const server_id& server,
                             slot_index slot,
                             std::uint64_t serial) {
  pending_returns_[server].push_back({server, slot, serial});
}

void holder_role::SendReturns(step_context& step) {
  std::map<member_id, slot_return> messages;
  for (auto& [id, leases] : std::exchange(pending_returns_, {})) {
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
    // An unknown lease may be one of a former run whose request is still
    // running; it expires by itself.
    held_lease* lease = FindLease(ref);
    if (lease == nullptr)
      continue;
    lease->is_recalled = true;
    const bool is_idle = !lease->request.is_valid();
    lease->is_return_mandatory =
        lease->is_return_mandatory || m.is_mandatory || is_idle;
    lease->requester_held = m.requester_held;
    if (ReviewLease(ref.server, ref.slot, *lease, step.now))
      leases_[ref.server].erase(ref.slot);
  }
}

// ---- Requesting slots

void holder_role::RequestSlots(const pool_id& pool, step_context& step) {
  if (!policy_->uses_leases())
    return;
  const wait_queue& queue = pools_[pool].queue;
  const auto all = queue.CountByVersion([](const acquire&) { return true; });
  // Requests that this host serves as a home wait for its own slots only: slots
  // granted by other homes for them would be idle here afterwards.
  const auto direct = queue.CountByVersion([this](const acquire& m) {
    return !policy_->forwards() || m.kind == acquire_kind::kDirect;
  });
  for (const auto& [version, count] : all) {
    const auto it = direct.find(version);
    RequestSlotsForVersion(pool, version,
                           {count, it == direct.end() ? 0 : it->second}, step);
  }
}

void holder_role::RequestSlotsForVersion(const pool_id& pool,
                                         const version_id& version,
                                         const needed_slots& needed,
                                         step_context& step) {
  version_requests& state = pools_[pool].requests[version];
  const std::vector<member_id> homes =
      HomesToRequestFrom(pool, version, state, step.now);
  // A request to this host itself costs no message. If it has too few slots,
  // its response leads here again.
  const member_id& self = servers_.options().self;
  if (std::find(homes.begin(), homes.end(), self) != homes.end()) {
    SendSlotRequest(pool, version, needed.local, self, step);
    return;
  }
  if (homes.empty() || needed.remote == 0 || step.now < state.next_request_at)
    return;
  state.next_request_at =
      step.now +
      (policy_->forwards() ? kDirectRequestInterval : kRequestInterval);
  const std::size_t request_count = std::min(kRequestFanOut, homes.size());
  for (std::size_t i = 0; i < request_count; ++i)
    SendSlotRequest(pool, version, needed.remote, homes[i], step);
}

// Otherwise free remote slots would keep requests away from a local server that
// has just recovered, at the cost of the way between data centres.
void holder_role::RequestLocalSlots(step_context& step) {
  for (auto& [name, pool] : pools_) {
    const pool_info* info = servers_.FindPool(name);
    if (!std::exchange(pool.used_other_data_centre, false) || info == nullptr)
      continue;
    for (const server_id& id : info->servers) {
      const server_state& s = *servers_.Find(id);
      if (s.accepts_work() && s.home.is_valid() && !leases_.contains(id) &&
          s.spec.data_centre == servers_.options().data_centre) {
        SendSlotRequest(name, version_id(), 1, s.home, step);
        break;
      }
    }
  }
}

void holder_role::SendSlotRequest(const pool_id& pool,
                                  const version_id& version,
                                  std::uint32_t count,
                                  const member_id& home,
                                  step_context& step) {
  pools_[pool].requests[version].homes[home] = {step.now, true, 0};
  step.Send(home, slot_request{.incarnation = servers_.options().incarnation,
                               .sequence = NextSequence({step.now, {}}),
                               .pool = pool,
                               .version = version,
                               .count = count,
                               .held = Held(pool)});
}

// Returns the homes that may have a slot: those with spare slots first, then
// local ones, then those requested from longest ago.
std::vector<member_id> holder_role::HomesToRequestFrom(
    const pool_id& pool,
    const version_id& version,
    const version_requests& state,
    time_point now) const {
  using rank = std::tuple<bool, bool, time_point, member_id>;
  std::vector<rank> ranks;
  for (const server_id& id : servers_.FindPool(pool)->servers) {
    const server_state& s = *servers_.Find(id);
    if (!s.accepts_work() || !s.home.is_valid() ||
        (version.is_valid() && s.spec.version != version)) {
      continue;
    }
    const auto known = state.homes.find(s.home);
    const home_request home =
        known == state.homes.end() ? home_request() : known->second;
    if (home.has_pending_slots &&
        now - home.requested_at < kRepeatedRequestInterval)
      continue;
    ranks.emplace_back(
        home.spare == 0,
        servers_.DataCentreOf(s.home) != servers_.options().data_centre,
        home.requested_at, s.home);
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
  const time_point sent_at = sent->sent_at;
  version_requests& state = pools_[m.pool].requests[m.version];
  home_request& home = state.homes[from];
  if (home.requested_at <= sent_at) {
    home.has_pending_slots = m.pending > 0;
    home.spare = m.spare;
  }
  for (const granted_lease& granted : m.leases)
    AcceptLease(m, granted, sent_at, step);
  ServeWaiting(m.pool, step);
}

// The lease time counts from the sending of the request, so delays of messages
// cannot extend it.
bool holder_role::AcceptLease(const slot_grant& m,
                              const granted_lease& granted,
                              time_point sent_at,
                              step_context& step) {
  const lease_ref& ref = granted.lease;
  servers_.ApplyStateUpdate(
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
    ReturnSlot(ref.server, ref.slot, ref.serial);
    return false;
  }
  leases_[ref.server][ref.slot] = lease;
  return true;
}

// ---- Renewal

void holder_role::SendRenewals(step_context& step) {
  next_renewal_ = step.now + limits::kLeaseRenewalInterval;
  std::map<member_id, renewal> renewals;
  for (const auto& [id, leases] : leases_) {
    const server_state* s = servers_.Find(id);
    if (s == nullptr || !s->home.is_valid())
      continue;
    for (const auto& [slot, lease] : leases) {
      if (lease.is_lost)
        continue;
      renewals[s->home].leases.push_back(
          {{id, slot, lease.serial}, lease.request.is_valid()});
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
  servers_.ResendObservations(step);
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
    if (lease == nullptr || s == nullptr || lease->is_lost)
      continue;
    const bool is_lost =
        std::find(m.lost.begin(), m.lost.end(), ref) != m.lost.end();
    if (is_lost)
      lease->is_lost = true;
    else
      lease->expiry =
          std::max(lease->expiry, sent->sent_at + limits::kLeaseDuration);
    const auto cold = std::find_if(
        m.cold.begin(), m.cold.end(),
        [&](const server_state_serial& c) { return c.server == ref.server; });
    const bool is_cold = cold != m.cold.end();
    if (s->home == from && !s->draining) {
      servers_.ApplyStateUpdate({ref.server, is_cold, false,
                                 is_cold ? cold->serial : s->suspicion_serial},
                                sent->sent_at, step.now);
    }
  }
  for (const spare_slots& spare : m.spare) {
    for (auto& [version, state] : pools_[spare.pool].requests)
      state.homes[from].spare = spare.count;
  }
  ReviewLeases(step.now);
}

const holder_role::sent_message* holder_role::FindSent(
    incarnation_id incarnation,
    std::uint64_t sequence) const {
  const auto it = sent_messages_.find(sequence);
  if (incarnation != servers_.options().incarnation ||
      it == sent_messages_.end())
    return nullptr;
  return &it->second;
}

std::uint64_t holder_role::NextSequence(sent_message message) {
  sent_messages_.emplace(++last_sequence_, std::move(message));
  return last_sequence_;
}

// Messages sent longer ago than the lease time can no longer lead to a lease.
void holder_role::RemoveExpiredMessages(time_point now) {
  while (!sent_messages_.empty() &&
         now - sent_messages_.begin()->second.sent_at >=
             limits::kLeaseDuration) {
    sent_messages_.erase(sent_messages_.begin());
  }
}

}  // namespace dotterellead
