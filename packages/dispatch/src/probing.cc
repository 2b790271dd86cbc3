#include <fmt/core.h>

#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Servers probed in the first round, all in this host's data centre if it has
// as many.
constexpr std::size_t kInitialProbes = 4;
// Servers probed in each further round.
constexpr std::size_t kFurtherProbes = 4;
// After this many probe rounds a request goes to the best server found or joins
// its pool's queue.
constexpr int kMaxProbeRounds = 3;
// The probed servers are drawn from this many times their number, in the order
// of preference. Probing the same servers repeatedly reuses open connections.
constexpr std::size_t kProbeCandidateFactor = 3;
// How long own attempts are remembered to correct samples; longer than any
// probe round.
constexpr milliseconds kAttemptHistory{500};
// A predicted latency within this fraction of the time left to the target ends
// the search for a better server.
constexpr double kGoodTargetFraction = 0.9;
// An attempt is sent only if the server has at least this long to respond.
constexpr milliseconds kMinAttemptTimeout{5};

}  // namespace

bool dispatcher::impl::IsOpen(const catalog::backend_server& server,
                              const version_rule& rule,
                              bool is_trial) const {
  // After the trial has ended its requests follow the rule for all others.
  const bool is_in_trial =
      is_trial && rule.trial.is_valid() && rule.trial_per_mille > 0;
  return !catalog_->closed_data_centres.contains(server.data_centre) &&
         IsVersionAllowed(rule, server.version, is_in_trial);
}

bool dispatcher::impl::UsesAvoidedServers(const request_state& request,
                                          const timestamp& now) const {
  const auto pool = servers_by_pool_.find(request.pool);
  if (!availability_.IsAnyAvoided(now.steady) || pool == servers_by_pool_.end())
    return false;
  const version_rule& rule = VersionRuleOf(request.pool);
  std::size_t available = 0;
  std::size_t avoided = 0;
  for (const catalog::backend_server* server : pool->second) {
    if (request.tried_servers.contains(server->id) ||
        !IsOpen(*server, rule, request.is_trial))
      continue;
    const availability state = availability_.StateOf(*server, now.steady);
    available += state == availability::kAvailable ? 1 : 0;
    avoided += state == availability::kAvoided ? 1 : 0;
  }
  return available < avoided;
}

bool dispatcher::impl::IsEligible(const request_state& request,
                                  const catalog::backend_server& server,
                                  bool uses_avoided,
                                  const timestamp& now) const {
  if (request.tried_servers.contains(server.id) ||
      !IsOpen(server, VersionRuleOf(request.pool), request.is_trial))
    return false;
  const availability state = availability_.StateOf(server, now.steady);
  return state == availability::kAvailable ||
         (state == availability::kAvoided && uses_avoided);
}

std::vector<const catalog::backend_server*> dispatcher::impl::UnsampledServers(
    const request_state& request,
    std::size_t max,
    const timestamp& now) const {
  std::vector<const catalog::backend_server*> eligible;
  const auto pool = servers_by_pool_.find(request.pool);
  if (pool == servers_by_pool_.end())
    return eligible;
  const bool uses_avoided = UsesAvoidedServers(request, now);
  std::vector<const catalog::backend_server*> avoided;
  for (const catalog::backend_server* server : pool->second) {
    if (eligible.size() == max)
      return eligible;
    if (!IsEligible(request, *server, uses_avoided, now) ||
        request.samples.contains(server->id))
      continue;
    const bool is_available =
        availability_.StateOf(*server, now.steady) == availability::kAvailable;
    (is_available ? eligible : avoided).push_back(server);
  }
  avoided.resize(std::min(avoided.size(), max - eligible.size()));
  eligible.insert(eligible.end(), avoided.begin(), avoided.end());
  return eligible;
}

std::vector<const catalog::backend_server*> dispatcher::impl::SampledServers(
    const request_state& request,
    const std::map<server_id, timed_sample>& samples,
    const timestamp& now) const {
  const bool uses_avoided = UsesAvoidedServers(request, now);
  std::vector<std::pair<std::size_t, const catalog::backend_server*>> ranked;
  for (const auto& [id, sample] : samples) {
    const auto server = catalog_->servers.find(id);
    if (server != catalog_->servers.end() &&
        server->second.pool == request.pool &&
        IsEligible(request, server->second, uses_avoided, now))
      ranked.emplace_back(preference_.at(id), &server->second);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const catalog::backend_server*> servers;
  servers.reserve(ranked.size());
  for (const auto& [rank, server] : ranked)
    servers.push_back(server);
  return servers;
}

std::optional<time_point> dispatcher::impl::EarliestReturn(
    const pool_id& pool,
    bool is_trial,
    const timestamp& now) const {
  std::optional<time_point> earliest;
  const auto servers = servers_by_pool_.find(pool);
  if (servers == servers_by_pool_.end())
    return earliest;
  const version_rule& rule = VersionRuleOf(pool);
  for (const catalog::backend_server* server : servers->second) {
    const availability state = availability_.StateOf(*server, now.steady);
    if (state == availability::kLeaving || !IsOpen(*server, rule, is_trial))
      continue;
    if (state != availability::kBackingOff)
      return std::nullopt;
    const time_point end = availability_.BackoffEnd(*server);
    earliest = std::min(earliest.value_or(end), end);
  }
  return earliest;
}

probe_servers dispatcher::impl::MakeProbe(
    request_id id,
    const std::vector<const catalog::backend_server*>& servers,
    milliseconds timeout) const {
  probe_servers probe;
  probe.request = id;
  probe.timeout = timeout;
  for (const catalog::backend_server* s : servers)
    probe.servers.push_back(MakeServerRef(*s));
  return probe;
}

std::uint32_t dispatcher::impl::MaxIdleConnectionsTo(
    const catalog::backend_server& server) const {
  if (!catalog_->config)
    return kMaxIdleConnections;
  const auto pool = catalog_->config->pools.find(server.pool);
  if (pool == catalog_->config->pools.end())
    return kMaxIdleConnections;
  return MaxIdleConnections(
      pool->second.connection_limit, cold_starts_.host_count(),
      StableHash(settings_.self.value() + '/' + server.id.value()));
}

server_ref dispatcher::impl::MakeServerRef(
    const catalog::backend_server& server) const {
  const auto pool = catalog_->config->pools.find(server.pool);
  return {
      server.id, server.address,
      pool == catalog_->config->pools.end() ? "/" : pool->second.health_path,
      MaxIdleConnectionsTo(server), server.started_at};
}

void dispatcher::impl::StartProbing(request_id id,
                                    request_state& request,
                                    const timestamp& now,
                                    effects& out) {
  // Queued requests have priority for the next free slot.
  if (request.probe_rounds == 0 && !queues_[request.pool].requests.empty()) {
    Enqueue(id, request, now, out);
    return;
  }
  const std::size_t count =
      request.probe_rounds == 0 ? kInitialProbes : kFurtherProbes;
  std::vector<const catalog::backend_server*> servers =
      UnsampledServers(request, count * kProbeCandidateFactor, now);
  // On a host that has just started the configuration arrives before the server
  // list.
  const bool knows_servers = !catalog_->servers.empty();
  if (servers.empty()) {
    const bool is_any_left =
        !request.tried_servers.empty() || !knows_servers ||
        !SampledServers(request, request.samples, now).empty() ||
        EarliestReturn(request.pool, request.is_trial, now);
    if (is_any_left)
      Enqueue(id, request, now, out);
    else
      Reject(id, request, reject_reason::kNoServer, now, out);
    return;
  }
  std::shuffle(servers.begin(), servers.end(), random_);
  if (request.probe_rounds == 0)
    std::stable_partition(servers.begin(), servers.end(),
                          [&](const catalog::backend_server* s) {
                            return s->data_centre == settings_.data_centre;
                          });
  servers.resize(std::min(servers.size(), count));
  request.phase = request_phase::kProbing;
  request.probed_at = now.steady;
  ++request.probe_rounds;
  probe_budget_.Consume(servers.size(), now.steady);
  const auto left =
      std::chrono::duration_cast<milliseconds>(request.deadline - now.steady);
  out.emplace_back(MakeProbe(
      id, servers, std::min(left, probe_statistics_[request.pool].timeout())));
}

void dispatcher::impl::On(const probes_completed& m,
                          const timestamp& now,
                          effects& out) {
  if (auto queue_probe = queue_probes_.find(m.request);
      queue_probe != queue_probes_.end()) {
    const pool_id pool = queue_probe->second;
    queue_probes_.erase(queue_probe);
    HandleQueueProbes(pool, m, now, out);
    return;
  }
  if (auto check = crash_checks_.find(m.request);
      check != crash_checks_.end()) {
    const request_fingerprint fingerprint = check->second;
    crash_checks_.erase(check);
    HandleCrashCheck(fingerprint, m, now, out);
    return;
  }
  auto it = requests_.find(m.request);
  if (it == requests_.end() || it->second.phase != request_phase::kProbing)
    return;
  RecordProbes(it->second.pool, m.samples, now);
  for (const load_sample& sample : m.samples)
    it->second.samples[sample.server] = {sample, it->second.probed_at};
  PlaceRequest(m.request, it->second, now, out);
}

void dispatcher::impl::HandleQueueProbes(const pool_id& pool,
                                         const probes_completed& m,
                                         const timestamp& now,
                                         effects& out) {
  RecordProbes(pool, m.samples, now);
  pool_queue& queue = queues_[pool];
  std::map<server_id, timed_sample> samples;
  for (const load_sample& sample : m.samples)
    samples[sample.server] = {sample, queue.probed_at};
  queue.probe_id = request_id();
  PlaceQueuedRequests(pool, samples, now, out);
}

void dispatcher::impl::HandleCrashCheck(request_fingerprint fingerprint,
                                        const probes_completed& m,
                                        const timestamp& now,
                                        effects& out) {
  if (m.samples.empty() ||
      m.samples.front().result != probe_result::kUnreachable)
    return;
  poison_requests_.RecordCrash(fingerprint, now.steady);
  Log(out, "server-crashed",
      {{"server", m.samples.front().server.value()},
       {"fingerprint", fmt::format("{:016x}", fingerprint.value())},
       {"crashes",
        fmt::format("{}", poison_requests_.crash_count(fingerprint))}});
  out.emplace_back(crash_detected{fingerprint});
}

void dispatcher::impl::RecordProbes(const pool_id& pool,
                                    const std::vector<load_sample>& samples,
                                    const timestamp& now) {
  probe_statistics& statistics = probe_statistics_[pool];
  statistics.Update(samples);
  shared_pools_.RecordProbes(pool, samples, now.steady);
  for (const load_sample& sample : samples) {
    const bool is_unreachable = sample.result == probe_result::kUnreachable &&
                                statistics.reports_load();
    const auto server = catalog_->servers.find(sample.server);
    if (server != catalog_->servers.end() &&
        (is_unreachable || sample.result == probe_result::kWrongServer))
      availability_.RecordUnreachable(RunOf(server->second), now.steady);
  }
}

bool dispatcher::impl::TryAcquireServer(const request_state& request,
                                        const load_sample& sample,
                                        const catalog::backend_server& server,
                                        const timestamp& now,
                                        bool is_cold_allowed) {
  if (sample.result != probe_result::kHealthy)
    return false;
  if (sample.warmup_left <= milliseconds(0))
    return true;
  if (!is_cold_allowed)
    return false;
  auto pool = catalog_->config->pools.find(request.pool);
  return pool != catalog_->config->pools.end() &&
         cold_starts_.TryAcquire(server.id, pool->second.warmup_rate,
                                 now.steady);
}

std::uint32_t dispatcher::impl::OwnAttemptsSince(const server_id& server,
                                                 time_point probed_at) const {
  auto attempts = own_attempts_.find(server);
  if (attempts == own_attempts_.end())
    return 0;
  return static_cast<std::uint32_t>(
      std::count_if(attempts->second.begin(), attempts->second.end(),
                    [&](time_point t) { return t >= probed_at; }));
}

std::uint32_t dispatcher::impl::OwnRequestsOn(const server_id& server) const {
  return static_cast<std::uint32_t>(
      std::count_if(requests_.begin(), requests_.end(), [&](const auto& entry) {
        return entry.second.phase == request_phase::kSent &&
               entry.second.server == server;
      }));
}

candidate dispatcher::impl::MakeCandidate(const catalog::backend_server& server,
                                          const timed_sample& sample) const {
  candidate c{MakeServerRef(server), sample.sample.load.value_or(load_report()),
              server.data_centre != settings_.data_centre};
  if (sample.sample.load) {
    c.load.running += OwnAttemptsSince(server.id, sample.probed_at);
  } else {
    // The response itself shows that one slot was free.
    c.load.slots = server.slots;
    c.load.running = OwnRequestsOn(server.id);
  }
  return c;
}

std::vector<candidate> dispatcher::impl::WarmCandidates(
    request_state& request,
    const std::map<server_id, timed_sample>& samples,
    const timestamp& now) {
  std::vector<candidate> warm;
  for (const catalog::backend_server* s :
       SampledServers(request, samples, now)) {
    const timed_sample& sample = samples.at(s->id);
    if (!TryAcquireServer(request, sample.sample, *s, now, false))
      continue;
    candidate c = MakeCandidate(*s, sample);
    if (HasSlotFor(request, *s, c.load))
      warm.push_back(std::move(c));
  }
  return warm;
}

bool dispatcher::impl::HasSlotFor(request_state& request,
                                  const catalog::backend_server& server,
                                  const load_report& load) const {
  if (!HasFreeSlot(load))
    return false;
  const bool leaves_reserve =
      shared_pools_.LeavesReserve(server, request.priority, load);
  request.is_held_back = request.is_held_back || !leaves_reserve;
  return leaves_reserve;
}

bool dispatcher::impl::TrySendToColdServer(
    request_id id,
    request_state& request,
    const std::map<server_id, timed_sample>& samples,
    const timestamp& now,
    effects& out) {
  for (const catalog::backend_server* s :
       SampledServers(request, samples, now)) {
    const timed_sample& sample = samples.at(s->id);
    if (sample.sample.warmup_left <= milliseconds(0))
      continue;
    const candidate c = MakeCandidate(*s, sample);
    const milliseconds predicted =
        PredictLatency(c.load, ServiceTimeOf(*request.route).value());
    if (!HasSlotFor(request, *s, c.load) ||
        now.steady + predicted > request.deadline ||
        !TryAcquireServer(request, sample.sample, *s, now, true))
      continue;
    SendAttempt(id, request, c, predicted, now, out);
    return true;
  }
  return false;
}

void dispatcher::impl::PlaceRequest(request_id id,
                                    request_state& request,
                                    const timestamp& now,
                                    effects& out) {
  const milliseconds service_time = ServiceTimeOf(*request.route).value();
  const std::vector<candidate> warm =
      WarmCandidates(request, request.samples, now);
  const placement_choice chosen = ChooseServer(warm, service_time);
  const auto left = request.target_deadline - now.steady;
  if (chosen.best != nullptr &&
      chosen.predicted_latency <= left * kGoodTargetFraction) {
    SendAttempt(id, request, *chosen.best, chosen.predicted_latency, now, out);
    return;
  }
  const int max_rounds =
      shared_pools_.PlanFor(request.pool, request.priority).is_full
          ? 1
          : kMaxProbeRounds;
  const bool has_unprobed_server = request.probe_rounds < max_rounds &&
                                   !UnsampledServers(request, 1, now).empty();
  if (has_unprobed_server)
    StartProbing(id, request, now, out);
  else if (chosen.best != nullptr &&
           (chosen.predicted_latency <= left ||
            (AreAllSlow(request.samples) &&
             now.steady + chosen.predicted_latency <= request.deadline)))
    SendAttempt(id, request, *chosen.best, chosen.predicted_latency, now, out);
  else if (!TrySendToColdServer(id, request, request.samples, now, out))
    Enqueue(id, request, now, out);
}

void dispatcher::impl::SendAttempt(request_id id,
                                   request_state& request,
                                   const candidate& to,
                                   milliseconds predicted,
                                   const timestamp& now,
                                   effects& out) {
  const auto timeout =
      std::chrono::duration_cast<milliseconds>(request.deadline - now.steady);
  if (timeout < kMinAttemptTimeout) {
    Reject(id, request,
           request.may_have_run() ? reject_reason::kTimedOut
                                  : reject_reason::kNoCapacity,
           now, out);
    return;
  }
  const std::optional<customer_access::decision> access =
      CheckAccess(id, request, now, out);
  if (!access)
    return;
  request.phase = request_phase::kSent;
  request.server = to.server.id;
  request.server_started_at = to.server.started_at;
  request.server_version = catalog_->servers.at(to.server.id).version;
  request.load_at_send = to.load;
  request.sent_at = now.steady;
  request.predicted_latency = predicted;
  request.tried_servers.insert(to.server.id);
  std::deque<time_point>& attempts = own_attempts_[to.server.id];
  while (!attempts.empty() && attempts.front() + kAttemptHistory < now.steady)
    attempts.pop_front();
  attempts.push_back(now.steady);
  ++request.attempts;
  if (request.attempts == 1)
    shares_.RecordSend(request.customer, now.steady);
  Log(out, "placed",
      {{"request", request.caller_request_id},
       {"route", request.route->name.value()},
       {"server", to.server.id.value()},
       {"remote", to.is_remote ? "yes" : "no"},
       {"attempt", fmt::format("{}", request.attempts)},
       {"running", fmt::format("{}/{}", to.load.running, to.load.slots)},
       {"waiting", fmt::format("{}", to.load.waiting)},
       {"pace", fmt::format("{}", to.load.slowdown_percent)},
       {"sampled", fmt::format("{}", request.samples.size())},
       {"predicted_ms", fmt::format("{}", predicted.count())},
       {"left_ms", fmt::format("{}", timeout.count())},
       {"config", fmt::format("{}", request.config->version.value())}});
  if (const auto count =
          request.counted.RecordSend(request.customer, now.steady))
    out.emplace_back(*count);
  out.emplace_back(send_attempt{id, to.server, timeout, request.attempts,
                                access->header, access->valid_until});
}

}  // namespace dotterellead::dispatch
