#include "directory.h"

#include <algorithm>

namespace dotterellead {
namespace {

// Weights of a new observation in the moving averages.
constexpr double kLatencyWeight = 0.2;
constexpr double kFailureWeight = 0.1;
// Cost of a failure ratio of 1, so that fast failures do not attract requests.
constexpr double kFailureCostUs = 1e6;
// A response is slow above kSlowFactor times the smoothed latency plus
// kSlowOffsetUs. Several in a row are an abrupt slowdown; single ones are
// normal in a latency tail.
constexpr double kSlowFactor = 4;
constexpr double kSlowOffsetUs = 20'000;
constexpr std::uint32_t kSlowResponsesToSuspect = 3;
// Decay per second, so that a server that was slow or failing is eventually
// tried again.
constexpr double kLatencyDecay = 0.97;
constexpr double kFailureDecay = 0.8;

bool IsFailure(const release& m) {
  switch (m.result) {
    case attempt_result::kResponded:
      return m.is_error_status;
    case attempt_result::kNotRun:
    case attempt_result::kNotConnected:
    case attempt_result::kConnectionLost:
    case attempt_result::kTimedOut:
      return true;
    case attempt_result::kCancelled:
    case attempt_result::kNotSent:
      return false;
  }
  return false;
}

bool HasResponse(const release& m) {
  return m.result == attempt_result::kResponded ||
         m.result == attempt_result::kNotRun;
}

}  // namespace

double server_state::cost_us() const {
  return latency_us + failure_ratio * kFailureCostUs;
}

bool server_state::CanServe(const acquire& m, const server_id& id) const {
  return accepts_work() &&
         (!m.version.is_valid() || spec.version == m.version) &&
         std::find(m.excluded.begin(), m.excluded.end(), id) ==
             m.excluded.end();
}

member_id ChooseHome(const std::vector<home_candidate>& members,
                     const pool_id& pool,
                     const data_centre_id& data_centre) {
  const std::string suffix = "/" + pool.value() + "/" + data_centre.value();
  const home_candidate* best = nullptr;
  std::tuple<bool, std::uint64_t, member_id> best_rank;
  for (const home_candidate& member : members) {
    std::tuple rank(member.data_centre == data_centre,
                    StableHash(member.id.value() + suffix), member.id);
    if (best != nullptr && rank < best_rank)
      continue;
    best = &member;
    best_rank = std::move(rank);
  }
  return best == nullptr ? member_id() : best->id;
}

directory::directory(const balance_options& options) : options_(options) {
  if (!options_.standalone)
    return;
  epoch_ = epoch_number(0);
  members_ = {{options_.self, options_.data_centre}};
}

void directory::SetConfig(const config_view& config, time_point now) {
  std::set<server_id> declared;
  std::map<pool_id, pool_info> pools;
  for (const auto& [name, stored_pool] : config.pools) {
    const pool_spec& spec = stored_pool.spec;
    pool_info& pool = pools[name];
    pool.max_run = spec.max_run;
    pool.queue_length = spec.queue_length;
    pool.longest_max_run = spec.max_run;
    if (const pool_info* before = FindPool(name)) {
      pool.longest_max_run =
          std::max(pool.longest_max_run, before->longest_max_run);
    }
    for (const server_spec& server : spec.servers) {
      // A server that is listed in two pools belongs to the first one.
      if (!declared.insert(server.address).second)
        continue;
      pool.servers.push_back(server.address);
      SetServer(name, server, config.IsOutOfService(server.data_centre), now);
    }
    std::sort(pool.servers.begin(), pool.servers.end());
  }
  pools_ = std::move(pools);
  std::erase_if(servers_, [&](const auto& entry) {
    return !declared.contains(entry.first);
  });
}

void directory::SetServer(const pool_id& pool,
                          const server_spec& spec,
                          bool out,
                          time_point now) {
  const auto [it, is_new] = servers_.try_emplace(spec.address);
  server_state& s = it->second;
  const bool returned = s.is_out_of_service && !out;
  const bool replaced = !is_new && (s.spec.version != spec.version ||
                                    s.spec.data_centre != spec.data_centre);
  s.pool = pool;
  s.spec = spec;
  s.is_out_of_service = out;
  const member_id home_before = s.home;
  SetHome(s, spec.address);
  if (!is_new && s.home != home_before)
    s.home_moved_at = now;
  if (is_new) {
    s.cold = true;
    s.suspected_at = now;
  } else if (returned || replaced) {
    s.cold = true;
    StartSuspicion(spec.address, s, now);
  }
}

bool directory::SetHomes(const homes_changed& m) {
  if (options_.standalone)
    return false;
  if (epoch_.is_valid() && m.epoch <= epoch_)
    return false;
  epoch_ = m.epoch;
  members_ = m.members;
  for (auto& [id, s] : servers_)
    SetHome(s, id);
  return true;
}

void directory::SetHome(server_state& s, const server_id& id) {
  member_id home = ChooseHome(members_, s.pool, s.spec.data_centre);
  if (home == s.home)
    return;
  s.home = std::move(home);
  // Serials of different homes are not comparable. This host's own begin above
  // those of its former runs.
  s.suspicion_serial = IsHome(s) ? options_.incarnation.value() : 0;
  s.cleared_serial = 0;
  s.is_observation_pending = s.is_cold_or_suspect() && s.is_suspicion_observed;
  if (s.is_observation_pending)
    changed_servers_.insert(id);
}

void directory::Update(const server_id& server,
                       const release& m,
                       time_point sent_at,
                       time_point now) {
  server_state* s = Find(server);
  if (s == nullptr)
    return;
  UpdateBoot(server, *s, m.server_boot, now);
  UpdateLatency(server, *s, m, now);
  if (m.draining && !s->draining) {
    s->draining = true;
    StartSuspicion(server, *s, now);
  }
  if (m.cold.value_or(false) && !s->cold) {
    s->cold = true;
    StartSuspicion(server, *s, now);
  }
  const bool says_warm = HasResponse(m) && m.cold.has_value() && !*m.cold;
  const bool lost = m.result == attempt_result::kNotConnected ||
                    m.result == attempt_result::kConnectionLost;
  if (lost || (m.idle_connection_closed && !says_warm))
    MarkSuspect(server, now);
  if (says_warm && !s->draining && s->slow_responses == 0)
    ClearSuspicion(server, *s, sent_at);
}

void directory::Update(const load_report& m, time_point now) {
  server_state* s = Find(m.server);
  if (s == nullptr)
    return;
  s->reported_in_flight = m.in_flight;
  const time_point measured = now - m.age;
  UpdateBoot(m.server, *s, m.server_boot, now);
  if (measured < s->suspected_at)
    return;
  const bool is_change = (m.cold && !s->cold) || (m.draining && !s->draining);
  if (m.cold)
    s->cold = true;
  if (m.draining || m.weight >= kMinReportWeight) {
    if (s->draining && !m.draining)
      changed_servers_.insert(m.server);
    s->draining = m.draining;
  }
  if (is_change)
    StartSuspicion(m.server, *s, now);
  else if (!m.cold && !m.draining && m.weight >= kMinReportWeight)
    ClearSuspicion(m.server, *s, measured);
}

void directory::UpdateBoot(const server_id& id,
                           server_state& s,
                           const std::string& boot,
                           time_point now) {
  if (boot.empty() || boot == s.boot)
    return;
  const bool restarted = !s.boot.empty();
  s.boot = boot;
  if (!restarted)
    return;
  s.cold = true;
  StartSuspicion(id, s, now);
}

void directory::UpdateLatency(const server_id& id,
                              server_state& s,
                              const release& m,
                              time_point now) {
  if (m.result == attempt_result::kNotSent)
    return;
  const double failed = IsFailure(m) ? 1 : 0;
  s.failure_ratio += kFailureWeight * (failed - s.failure_ratio);
  const bool timed_out = m.result == attempt_result::kTimedOut;
  if (failed > 0 && !timed_out)
    return;
  if (m.result == attempt_result::kCancelled)
    return;
  const double latency = static_cast<double>(m.latency.count());
  const bool slow =
      s.latency_us > 0 && latency > kSlowFactor * s.latency_us + kSlowOffsetUs;
  s.slow_responses = slow || timed_out ? s.slow_responses + 1 : 0;
  if (s.slow_responses == kSlowResponsesToSuspect)
    MarkSuspect(id, now);
  const double weight = s.latency_us > 0 ? kLatencyWeight : 1;
  s.latency_us += weight * (latency - s.latency_us);
}

void directory::MarkSuspect(const server_id& server, time_point now) {
  server_state* s = Find(server);
  if (s == nullptr)
    return;
  s->suspect = true;
  StartSuspicion(server, *s, now);
}

void directory::StartSuspicion(const server_id& id,
                               server_state& s,
                               time_point now) {
  s.suspect = true;
  s.suspected_at = now;
  s.is_suspicion_observed = true;
  s.is_observation_pending = true;
  changed_servers_.insert(id);
}

void directory::ClearSuspicion(const server_id& id,
                               server_state& s,
                               time_point evidence_time) {
  // A response to a request that was sent before the suspicion does not clear
  // it: it may come from before a restart.
  if (!s.is_cold_or_suspect() || evidence_time < s.suspected_at)
    return;
  s.cold = false;
  s.suspect = false;
  s.is_suspicion_observed = false;
  s.is_observation_pending = false;
  s.cleared_serial = s.suspicion_serial;
  changed_servers_.insert(id);
}

void directory::ApplyStateUpdate(const server_state_update& m,
                                 time_point requested_at,
                                 time_point now) {
  server_state* s = Find(m.server);
  if (s == nullptr || IsHome(*s) || m.serial < s->suspicion_serial)
    return;
  const bool is_newer = m.serial > s->suspicion_serial;
  if (m.cold || m.draining) {
    s->suspicion_serial = m.serial;
    s->draining = m.draining || (s->draining && s->is_observation_pending);
    if (m.serial == s->cleared_serial && !m.draining) {
      changed_servers_.insert(m.server);
      return;
    }
    if (is_newer || !s->is_cold_or_suspect())
      s->suspected_at = now;
    s->suspect = true;
    s->is_suspicion_observed = true;
    s->is_observation_pending = false;
    return;
  }
  if (s->is_observation_pending ||
      (!is_newer && requested_at < s->suspected_at))
    return;
  s->suspicion_serial = m.serial;
  s->cleared_serial = m.serial;
  s->cold = false;
  s->suspect = false;
  s->draining = false;
  s->is_suspicion_observed = false;
}

void directory::ApplyLeaseTable(const lease_table& table, time_point now) {
  server_state* s = Find(table.server);
  if (s == nullptr)
    return;
  s->suspicion_serial = std::max(s->suspicion_serial, table.state_serial + 1);
  if (table.cold || table.draining) {
    s->draining = s->draining || table.draining;
    StartSuspicion(table.server, *s, now);
  } else if (!s->is_suspicion_observed) {
    s->cold = false;
    s->suspect = false;
  }
}

void directory::ApplyObservation(const member_id& from,
                                 const server_observation& m,
                                 step_context& step) {
  server_state* s = Find(m.server);
  if (s == nullptr || !IsHome(*s))
    return;
  if (!m.warm) {
    s->draining = s->draining || m.draining;
    StartSuspicion(m.server, *s, step.now);
    return;
  }
  if (m.serial == s->suspicion_serial && !s->draining) {
    ClearSuspicion(m.server, *s, s->suspected_at);
    return;
  }
  step.Send(from, server_state_update{m.server, s->is_cold_or_suspect(),
                                      s->draining, s->suspicion_serial});
}

std::set<server_id> directory::SendObservations(step_context& step) {
  std::set<server_id> own;
  for (const server_id& id : std::exchange(changed_servers_, {})) {
    server_state* s = Find(id);
    if (s == nullptr || !s->home.is_valid())
      continue;
    if (!IsHome(*s)) {
      step.Send(s->home, ObservationOf(id, *s));
      continue;
    }
    if (std::exchange(s->is_observation_pending, false))
      ++s->suspicion_serial;
    own.insert(id);
  }
  return own;
}

void directory::ResendObservations(step_context& step) {
  for (const auto& [id, s] : servers_) {
    if (s.is_observation_pending && s.home.is_valid() && !IsHome(s))
      step.Send(s.home, ObservationOf(id, s));
  }
}

server_observation directory::ObservationOf(const server_id& id,
                                            const server_state& s) const {
  return {id, !s.is_cold_or_suspect(), s.draining, s.suspicion_serial};
}

void directory::DecayAverages() {
  for (auto& [id, s] : servers_) {
    s.latency_us *= kLatencyDecay;
    s.failure_ratio *= kFailureDecay;
  }
}

server_state* directory::Find(const server_id& id) {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

const server_state* directory::Find(const server_id& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

const pool_info* directory::FindPool(const pool_id& id) const {
  const auto it = pools_.find(id);
  return it == pools_.end() ? nullptr : &it->second;
}

bool directory::IsMember(const member_id& member) const {
  return std::any_of(members_.begin(), members_.end(),
                     [&](const home_candidate& c) { return c.id == member; });
}

data_centre_id directory::DataCentreOf(const member_id& member) const {
  for (const home_candidate& candidate : members_) {
    if (candidate.id == member)
      return candidate.data_centre;
  }
  return data_centre_id();
}

}  // namespace dotterellead
