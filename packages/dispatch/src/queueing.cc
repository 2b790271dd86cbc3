#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Time between probe rounds for a pool's queue.
constexpr milliseconds kQueueProbeInterval{15};
// Maximum time between rounds while no server responds. Limits the load on
// servers that refuse connections, and still finds a recovered server within a
// fraction of a latency target.
constexpr milliseconds kMaxQueueProbeInterval{120};
// A request that will miss its target gets a slot only if the predicted latency
// is at most this multiple of the service time.
constexpr double kMaxLateLatencyFactor = 1.2;
// Servers above this slowdown, in percent, count as slow.
constexpr std::uint32_t kSlowServerPercent = 200;
// Servers probed in one round.
constexpr std::size_t kMaxQueueProbes = 12;
// A round waits until the probe budget permits at least this many probes.
constexpr std::size_t kMinQueueProbes = 4;
// Number of local and of remote servers among which the rounds of one host
// choose, which lets it reuse open connections. Hosts prefer different servers.
constexpr std::size_t kQueueProbeWindow = 18;
// A queued request is rejected after this fraction of the caller's timeout,
// while a retry can still succeed.
constexpr double kMaxQueueFraction = 0.25;

}  // namespace

void dispatcher::impl::Enqueue(request_id id,
                               request_state& request,
                               const timestamp& now,
                               effects& out) {
  const auto caller_timeout = request.caller_deadline - request.arrived_at;
  request.queue_deadline = std::min(
      request.deadline,
      request.arrived_at + std::chrono::duration_cast<time_point::duration>(
                               caller_timeout * kMaxQueueFraction));
  if (now.steady >= request.queue_deadline ||
      IsReturnTooLate(request,
                      EarliestReturn(request.pool, request.is_trial, now))) {
    Reject(id, request,
           request.may_have_run() ? reject_reason::kTimedOut
                                  : reject_reason::kNoCapacity,
           now, out);
    return;
  }
  request.phase = request_phase::kQueued;
  request.samples.clear();
  pool_queue& queue = queues_[request.pool];
  queue.requests.push_back(id);
  if (!queue.probe_id.is_valid() && queue.next_probe_at < now.steady)
    queue.next_probe_at = now.steady + kQueueProbeInterval;
}

bool dispatcher::impl::IsReturnTooLate(const request_state& request,
                                       std::optional<time_point> returns_at) {
  return returns_at && (*returns_at >= request.queue_deadline ||
                        *returns_at + ServiceTimeOf(*request.route).value() >
                            request.deadline);
}

void dispatcher::impl::RejectUnservable(const pool_id& pool,
                                        const timestamp& now,
                                        effects& out) {
  const std::optional<time_point> returns_at[] = {
      EarliestReturn(pool, false, now), EarliestReturn(pool, true, now)};
  for (const request_id id : queues_[pool].requests) {
    auto it = requests_.find(id);
    if (it == requests_.end() || it->second.phase != request_phase::kQueued ||
        !IsReturnTooLate(it->second, returns_at[it->second.is_trial ? 1 : 0]))
      continue;
    Reject(id, it->second,
           it->second.may_have_run() ? reject_reason::kTimedOut
                                     : reject_reason::kNoCapacity,
           now, out);
  }
}

bool dispatcher::impl::WillMissTarget(const request_state& request,
                                      const timestamp& now) {
  return now.steady + ServiceTimeOf(*request.route).value() >
         request.target_deadline;
}

bool dispatcher::impl::AreAllSlow(
    const std::map<server_id, timed_sample>& samples) {
  return std::none_of(samples.begin(), samples.end(), [](const auto& entry) {
    const load_sample& sample = entry.second.sample;
    return sample.result == probe_result::kHealthy &&
           (!sample.load ||
            sample.load->slowdown_percent <= kSlowServerPercent);
  });
}

// Before its target deadline a request waits for a server that meets the
// target. After it, it waits for one that is not slow, since a slow server
// would occupy the slot for several service times. If all servers are slow,
// waiting finds no better one.
time_point dispatcher::impl::LatestUsefulCompletion(
    const request_state& request,
    milliseconds service_time,
    bool are_all_slow,
    const timestamp& now) {
  if (are_all_slow)
    return request.deadline;
  if (!WillMissTarget(request, now))
    return request.target_deadline;
  const auto not_slow = std::chrono::duration_cast<time_point::duration>(
      service_time * kMaxLateLatencyFactor);
  return std::min(request.deadline, now.steady + not_slow);
}

std::vector<request_id> dispatcher::impl::QueuedInServiceOrder(
    const pool_id& pool,
    const timestamp& now) {
  // Newest first among equals: if there is no capacity for all, the newest can
  // still meet its target, and the others are rejected early.
  struct entry {
    bool is_late;
    int priority;
    // Customers that got less than their share go first.
    customer_shares::rank rank;
    time_point::duration age;
    request_id id;
    auto operator<=>(const entry&) const = default;
  };
  std::vector<entry> entries;
  for (const request_id id : queues_[pool].requests) {
    auto it = requests_.find(id);
    if (it == requests_.end() || it->second.phase != request_phase::kQueued)
      continue;
    const request_state& request = it->second;
    // Requests that can still meet their target go first.
    entries.push_back({WillMissTarget(request, now),
                       shared_pools_.QueuePriority(pool, request.priority),
                       shares_.RankOf(request.customer, now.steady),
                       now.steady - request.arrived_at, id});
  }
  std::sort(entries.begin(), entries.end());
  std::vector<request_id> ids;
  ids.reserve(entries.size());
  for (const entry& e : entries)
    ids.push_back(e.id);
  return ids;
}

std::vector<const catalog::backend_server*>
dispatcher::impl::SelectServersToProbe(const pool_id& pool,
                                       const timestamp& now) {
  std::vector<std::pair<const request_state*, bool>> queued;
  for (const request_id id : queues_[pool].requests) {
    const request_state& request = requests_.at(id);
    queued.emplace_back(&request, UsesAvoidedServers(request, now));
  }
  // The servers are in this host's order of preference, local ones first.
  std::vector<const catalog::backend_server*> servers;
  std::size_t near = 0;
  std::size_t far = 0;
  for (const catalog::backend_server* server : servers_by_pool_[pool]) {
    std::size_t& count =
        server->data_centre == settings_.data_centre ? near : far;
    if (count == kQueueProbeWindow)
      continue;
    const bool is_eligible =
        std::any_of(queued.begin(), queued.end(), [&](const auto& entry) {
          return IsEligible(*entry.first, *server, entry.second, now);
        });
    if (!is_eligible)
      continue;
    ++count;
    servers.push_back(server);
  }
  std::shuffle(servers.begin(), servers.end(), random_);
  // Servers without room for idle connections may refuse to connect.
  std::stable_partition(servers.begin(), servers.end(),
                        [this](const catalog::backend_server* s) {
                          return MaxIdleConnectionsTo(*s) > 0;
                        });
  servers.resize(std::min(servers.size(), kMaxQueueProbes));
  return servers;
}

void dispatcher::impl::ProbeForQueue(const pool_id& pool,
                                     const timestamp& now,
                                     effects& out) {
  RejectUnservable(pool, now, out);
  pool_queue& queue = queues_[pool];
  queue.requests = QueuedInServiceOrder(pool, now);
  if (queue.requests.empty())
    return;
  std::vector<const catalog::backend_server*> servers =
      SelectServersToProbe(pool, now);
  queue.next_probe_at = now.steady + kQueueProbeInterval;
  if (servers.empty())
    return;
  const std::size_t min_probes = std::min(servers.size(), kMinQueueProbes);
  const std::size_t available = probe_budget_.available(now.steady);
  if (available < min_probes) {
    queue.next_probe_at =
        now.steady +
        std::max(kQueueProbeInterval,
                 probe_budget_.TimeUntilAvailable(min_probes, now.steady));
    return;
  }
  servers.resize(std::min(servers.size(), available));
  probe_budget_.Consume(servers.size(), now.steady);
  queue.probe_id = NextProbeId();
  queue.probed_at = now.steady;
  queue_probes_[queue.probe_id] = pool;
  out.emplace_back(
      MakeProbe(queue.probe_id, servers, probe_statistics_[pool].timeout()));
}

void dispatcher::impl::PlaceQueuedRequests(
    const pool_id& pool,
    const std::map<server_id, timed_sample>& samples,
    const timestamp& now,
    effects& out) {
  const bool are_all_slow = AreAllSlow(samples);
  for (const request_id id : QueuedInServiceOrder(pool, now)) {
    request_state& request = requests_.at(id);
    const milliseconds service_time = ServiceTimeOf(*request.route).value();
    const std::vector<candidate> warm = WarmCandidates(request, samples, now);
    const placement_choice chosen = ChooseServer(warm, service_time);
    const time_point latest_completion =
        LatestUsefulCompletion(request, service_time, are_all_slow, now);
    if (chosen.best != nullptr &&
        now.steady + chosen.predicted_latency <= latest_completion)
      SendAttempt(id, request, *chosen.best, chosen.predicted_latency, now,
                  out);
    else
      TrySendToColdServer(id, request, samples, now, out);
  }
  pool_queue& queue = queues_[pool];
  queue.requests = QueuedInServiceOrder(pool, now);
  const bool is_any_healthy =
      std::any_of(samples.begin(), samples.end(), [](const auto& entry) {
        return entry.second.sample.result == probe_result::kHealthy;
      });
  queue.probe_interval =
      is_any_healthy
          ? kQueueProbeInterval
          : std::min(std::max(queue.probe_interval, kQueueProbeInterval) * 2,
                     kMaxQueueProbeInterval);
  queue.next_probe_at = now.steady + queue.probe_interval;
}

milliseconds dispatcher::impl::RetryAfter(const request_state& request,
                                          const timestamp& now) {
  // A slot becomes free after about one service time. Retries are spread over
  // that time, and come within a third of the caller's remaining time.
  constexpr milliseconds kMinRetryAfter{50};
  constexpr milliseconds kDefaultServiceTime{200};
  const milliseconds service_time = request.route == nullptr
                                        ? kDefaultServiceTime
                                        : ServiceTimeOf(*request.route).value();
  std::uniform_real_distribution<double> spread(0.5, 1.0);
  const milliseconds pause(static_cast<std::int64_t>(
      spread(random_) * shared_pools_.RetryFactor(request.pool) *
      static_cast<double>(service_time.count())));
  if (request.route == nullptr)
    return std::max(kMinRetryAfter, pause);
  // While all servers are backing off, an earlier retry would be rejected too.
  if (const auto returns_at =
          EarliestReturn(request.pool, request.is_trial, now))
    return AfterReturn(*returns_at, now) + pause;
  const auto left = std::chrono::duration_cast<milliseconds>(
      request.caller_deadline - now.steady);
  return std::max(kMinRetryAfter, std::min(pause, left / 3));
}

// The callers of the whole time until `returns_at` come back after it. They are
// spread over half of that time, so that their rate is at most three times the
// usual one.
milliseconds dispatcher::impl::AfterReturn(time_point returns_at,
                                           const timestamp& now) {
  constexpr double kMaxSpreadFraction = 0.5;
  std::uniform_real_distribution<double> spread(0, kMaxSpreadFraction);
  const auto wait = std::chrono::ceil<milliseconds>(returns_at - now.steady);
  return wait + milliseconds(static_cast<std::int64_t>(
                    spread(random_) * static_cast<double>(wait.count())));
}

}  // namespace dotterellead::dispatch
