#include "holder_role.h"

#include <algorithm>

namespace dotterellead {
namespace {

// A lease with less time left is not assigned, since the request would not
// reach the server in time.
constexpr milliseconds kMinLeaseTimeLeft{20};
// Time in which a server detects that a request was cancelled or its connection
// lost.
constexpr milliseconds kCancelDelay{50};
// A slot without a release is freed this long after the server must have ended
// the run.
constexpr milliseconds kReleaseMargin{1'000};

// When the server has certainly ended the run. After a lost connection it may
// not know that nobody waits, so only the deadline it was given ends the run.
time_point ServerFreeAt(const release& m, time_point now) {
  switch (m.result) {
    case attempt_result::kConnectionLost:
      return std::max(now, m.server_busy_until);
    case attempt_result::kCancelled:
    case attempt_result::kTimedOut:
      return now + kCancelDelay;
    case attempt_result::kResponded:
    case attempt_result::kNotRun:
    case attempt_result::kNotConnected:
    case attempt_result::kNotSent:
      return now;
  }
  return now;
}

}  // namespace

holder_role::holder_role(directory& servers)
    : servers_(servers),
      forwarding_(servers),
      policy_(
          MakeChoicePolicy(servers.options().policy, servers.options().seed)) {}

void holder_role::On(const acquire& wanted,
                     const home_load& own,
                     step_context& step) {
  acquire m = wanted;
  const pool_info* info = servers_.FindPool(m.pool);
  if (info == nullptr)
    return Reject(m, rejection_reason::kUnknownPool, step);
  if (m.deadline <= step.now)
    return Reject(m, rejection_reason::kDeadline, step);
  if (!HasEligibleServer(m))
    return Reject(m, rejection_reason::kNoServers, step);
  pool_state& pool = pools_[m.pool];
  if (pool.queue.empty() && TryAssign(m, step))
    return;
  if (ForwardOrReject(m, own, step))
    return;
  // A queue holds at least one request, since requesting a slot takes a
  // message.
  const std::size_t capacity = std::max<std::size_t>(info->queue_length, 1);
  if (const std::optional<acquire> dropped = pool.queue.Add(m, capacity))
    Reject(*dropped, rejection_reason::kQueueFull, step);
  ServeWaiting(m.pool, step);
}

bool holder_role::IsHomeFor(const acquire& m) const {
  const pool_info* pool = servers_.FindPool(m.pool);
  return std::any_of(pool->servers.begin(), pool->servers.end(),
                     [&](const server_id& id) {
                       const server_state& s = *servers_.Find(id);
                       return servers_.IsHome(s) && s.CanServe(m, id);
                     });
}

bool holder_role::ForwardOrReject(acquire& m,
                                  const home_load& own,
                                  step_context& step) {
  if (m.kind == acquire_kind::kForwarded) {
    if (own.usable == 0 || !IsHomeFor(m))
      Reject(m, rejection_reason::kNotHome, step);
    else if (!m.may_wait && own.busy >= own.usable)
      Reject(m, rejection_reason::kHomeFull, step);
    else
      return false;
    return true;
  }
  if (m.kind != acquire_kind::kForwardable || !policy_->forwards())
    return false;
  const auto choice = forwarding_.Choose(m, own, step.now);
  if (!choice) {
    m.kind = acquire_kind::kDirect;
    return false;
  }
  if (choice->home == servers_.options().self)
    return false;
  forwarding_.RecordForward(m.pool, choice->home);
  const bool may_wait =
      !choice->has_free_slot || m.home_rejections >= limits::kMaxHomeRejections;
  step.effects.emplace_back(forwarded{m.request, choice->home, may_wait});
  return true;
}

void holder_role::On(const forward_ended& m, step_context& step) {
  forwarding_.On(m, step.now);
}

void holder_role::On(const cancel_acquire& m, step_context& step) {
  for (auto& [name, pool] : pools_) {
    pool.queue.RemoveIf(
        [&](const acquire& waiting) { return waiting.request == m.request; });
  }
  On(release{.request = m.request, .result = attempt_result::kNotSent}, step);
}

void holder_role::On(const release& m, step_context& step) {
  const auto it = in_use_.find(m.request);
  if (it == in_use_.end())
    return;
  const slot_use used = it->second;
  if (m.result != attempt_result::kNotSent)
    servers_.Update(used.server, m, used.assigned_at, step.now);
  EndUse(m, step);
  ServeWaiting(used.pool, step);
}

void holder_role::EndUse(const release& m, step_context& step) {
  const auto it = in_use_.find(m.request);
  const slot_use used = it->second;
  in_use_.erase(it);
  if (server_state* s = servers_.Find(used.server))
    s->own_in_flight -= std::min(s->own_in_flight, 1U);
  held_lease* lease = FindLease({used.server, used.slot, used.serial});
  if (lease == nullptr)
    return;
  lease->request = request_id();
  lease->idle_since = step.now;
  lease->usable_from = ServerFreeAt(m, step.now);
  if (ReviewLease(used.server, used.slot, *lease, step.now))
    leases_[used.server].erase(used.slot);
}

// Frees slots whose caller thread never releases them.
void holder_role::EndOverdueUses(step_context& step) {
  std::vector<request_id> overdue;
  for (const auto& [request, used] : in_use_) {
    if (step.now >= used.ends_at + kReleaseMargin)
      overdue.push_back(request);
  }
  for (const request_id request : overdue)
    EndUse({.request = request, .result = attempt_result::kNotSent}, step);
}

void holder_role::OnDirectoryChanged(step_context& step) {
  forwarding_.OnDirectoryChanged();
  // Responses of homes are obsolete when servers have new homes.
  for (auto& [name, pool] : pools_)
    pool.requests.clear();
  OnServersChanged(step);
  std::erase_if(pools_, [&](const auto& entry) {
    return servers_.FindPool(entry.first) == nullptr;
  });
}

void holder_role::OnServersChanged(step_context& step) {
  ReviewLeases(step.now);
  for (auto& [name, pool] : pools_) {
    RejectUnservable(pool, step);
    RecheckHomeRequests(pool, step);
  }
  for (const auto& [name, info] : servers_.pools())
    ServeWaiting(name, step);
}

void holder_role::RejectUnservable(pool_state& pool, step_context& step) {
  pool.queue.RemoveIf([&](const acquire& m) {
    const bool known = servers_.FindPool(m.pool) != nullptr;
    if (known && HasEligibleServer(m))
      return false;
    Reject(
        m,
        known ? rejection_reason::kNoServers : rejection_reason::kUnknownPool,
        step);
    return true;
  });
}

void holder_role::RecheckHomeRequests(pool_state& pool, step_context& step) {
  pool.queue.RemoveIf([&](const acquire& m) {
    if (m.kind != acquire_kind::kForwarded || IsHomeFor(m))
      return false;
    Reject(m, rejection_reason::kNotHome, step);
    return true;
  });
  pool.queue.ForEach([&](acquire& m) {
    if (m.kind == acquire_kind::kForwardable && !IsHomeFor(m))
      m.kind = acquire_kind::kDirect;
  });
}

void holder_role::OnTick(step_context& step) {
  EndOverdueUses(step);
  ReviewLeases(step.now);
  for (auto& [name, pool] : pools_) {
    pool.queue.RemoveIf([&](const acquire& m) {
      if (m.deadline > step.now)
        return false;
      Reject(m, rejection_reason::kDeadline, step);
      return true;
    });
    ServeWaiting(name, step);
  }
  RemoveExpiredMessages(step.now);
  if (policy_->uses_leases() && step.now >= next_renewal_) {
    RequestLocalSlots(step);
    SendRenewals(step);
  }
}

// ---- Assignment

bool holder_role::HasEligibleServer(const acquire& m) const {
  const pool_info* pool = servers_.FindPool(m.pool);
  return std::any_of(
      pool->servers.begin(), pool->servers.end(),
      [&](const server_id& id) { return servers_.Find(id)->CanServe(m, id); });
}

bool holder_role::IsUsable(const held_lease& lease, time_point now) {
  return !lease.request.is_valid() && !lease.is_lost &&
         !lease.is_return_mandatory && lease.usable_from <= now &&
         lease.expiry > now + kMinLeaseTimeLeft;
}

const holder_role::held_lease* holder_role::FindIdle(const server_id& server,
                                                     time_point now) const {
  const auto it = leases_.find(server);
  if (it == leases_.end())
    return nullptr;
  const server_state& s = *servers_.Find(server);
  for (const auto& [slot, lease] : it->second) {
    if (slot.value() >= s.usable_slots())
      return nullptr;
    if (IsUsable(lease, now))
      return &lease;
  }
  return nullptr;
}

std::vector<choice_candidate> holder_role::Candidates(const acquire& m,
                                                      time_point now) const {
  std::vector<choice_candidate> candidates;
  const pool_info* pool = servers_.FindPool(m.pool);
  if (pool == nullptr)
    return candidates;
  for (const server_id& id : pool->servers) {
    const server_state& s = *servers_.Find(id);
    if (!s.CanServe(m, id) ||
        (policy_->uses_leases() && FindIdle(id, now) == nullptr)) {
      continue;
    }
    candidates.push_back(
        {.server = id,
         .is_local = s.spec.data_centre == servers_.options().data_centre,
         .slots = s.spec.slots,
         .cost_us = s.cost_us(),
         .own_in_flight = s.own_in_flight,
         .reported_in_flight = s.reported_in_flight});
  }
  return candidates;
}

bool holder_role::TryAssign(const acquire& m, step_context& step) {
  const std::vector<choice_candidate> candidates = Candidates(m, step.now);
  if (candidates.empty())
    return false;
  Assign(m, candidates[policy_->Choose(candidates)].server, step);
  return true;
}

void holder_role::Assign(const acquire& m,
                         const server_id& server,
                         step_context& step) {
  server_state& s = *servers_.Find(server);
  assigned a{.request = m.request,
             .server = server,
             .slot = slot_index(s.own_in_flight),
             .version = s.spec.version,
             .send_before = step.now + limits::kLeaseDuration,
             .max_run = servers_.FindPool(m.pool)->max_run};
  std::uint64_t serial = 0;
  if (policy_->uses_leases()) {
    for (auto& [slot, lease] : leases_[server]) {
      if (!IsUsable(lease, step.now))
        continue;
      lease.request = m.request;
      a.slot = slot;
      a.send_before = lease.expiry;
      a.max_run = lease.max_run;
      serial = lease.serial;
      break;
    }
  }
  if (s.spec.data_centre != servers_.options().data_centre)
    pools_[m.pool].used_other_data_centre = true;
  ++s.own_in_flight;
  in_use_[m.request] = {m.pool, server,   a.slot,
                        serial, step.now, a.send_before + a.max_run};
  step.effects.emplace_back(std::move(a));
}

void holder_role::ServeWaiting(const pool_id& name, step_context& step) {
  pool_state& pool = pools_[name];
  if (pool.queue.empty())
    return;
  // Avoids searching a long queue when there is nothing to assign.
  bool has_idle = HasIdle(name, step.now);
  pool.queue.Serve([&](const acquire& m) {
    if (!has_idle || !TryAssign(m, step))
      return false;
    has_idle = HasIdle(name, step.now);
    return true;
  });
  RequestSlots(name, step);
}

void holder_role::Reject(const acquire& m,
                         rejection_reason reason,
                         step_context& step) {
  step.effects.emplace_back(acquire_rejected{m.request, reason});
}

void holder_role::CountLeases(const server_id& server,
                              server_balance& counts) const {
  const auto it = leases_.find(server);
  if (it != leases_.end()) {
    for (const auto& [slot, lease] : it->second) {
      ++counts.held;
      counts.idle += lease.request.is_valid() ? 0 : 1;
    }
  }
  if (const server_state* s = servers_.Find(server))
    counts.in_use = s->own_in_flight;
}

std::uint32_t holder_role::InFlightOrWaiting(const pool_id& name) const {
  std::uint32_t busy = Waiting(name);
  for (const server_id& id : servers_.FindPool(name)->servers) {
    const server_state& s = *servers_.Find(id);
    busy += servers_.IsHome(s) ? s.own_in_flight : 0;
  }
  return busy;
}

std::uint32_t holder_role::UsableHeld(const server_id& server,
                                      time_point now) const {
  const auto it = leases_.find(server);
  if (it == leases_.end())
    return 0;
  const std::uint32_t usable = servers_.Find(server)->usable_slots();
  return static_cast<std::uint32_t>(
      std::count_if(it->second.begin(), it->second.end(), [&](const auto& e) {
        return e.first.value() < usable && !e.second.is_lost &&
               e.second.expiry > now + kMinLeaseTimeLeft;
      }));
}

std::uint32_t holder_role::Waiting(const pool_id& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end()
             ? 0
             : static_cast<std::uint32_t>(it->second.queue.size());
}

}  // namespace dotterellead
