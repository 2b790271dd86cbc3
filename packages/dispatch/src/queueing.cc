#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Pause between two looks at the servers of a pool for which calls wait.
constexpr milliseconds kRoundPause{15};
// Longest pause while no server answers; servers that refuse connections are
// not asked more often, and one that is back is found within a fraction of a
// target.
constexpr milliseconds kLongestRoundPause{120};
// Longest predicted time, as a multiple of the work, for which a slot is given
// to a call that is late already.
constexpr double kLateFactor = 1.2;
// Pace, in percent of the usual one, from which a server is called slow.
constexpr std::uint32_t kSlowPace = 200;
// Servers asked in one round.
constexpr std::size_t kRoundSample = 12;
// Fewer are not worth a round; it waits until the budget has room for them.
constexpr std::size_t kLeastRound = 4;
// Near and far servers, each, among which the rounds of one host choose, so
// that it finds its connections to them open. Hosts prefer different ones.
constexpr std::size_t kRoundWindow = 18;
// Part of a caller's patience after which a call that found no slot is turned
// away, so that it may come back while an answer is still of use.
constexpr double kHoldPart = 0.25;

}  // namespace

void dispatcher::impl::Enqueue(request_id id,
                               call_state& call,
                               const moment& now,
                               effects& out) {
  const auto patience = call.patience_ends - call.arrived;
  call.hold_ends =
      std::min(call.give_up,
               call.arrived + std::chrono::duration_cast<time_point::duration>(
                                  patience * kHoldPart));
  if (now.steady >= call.hold_ends) {
    Reject(
        id, call,
        call.may_have_run() ? reject_reason::kTimedOut : reject_reason::kNoRoom,
        now, out);
    return;
  }
  call.now_in = phase::kWaiting;
  call.samples.clear();
  pool_queue& queue = queues_[call.pool];
  queue.calls.push_back(id);
  if (!queue.round.is_valid() && queue.next_round < now.steady)
    queue.next_round = now.steady + kRoundPause;
}

bool dispatcher::impl::IsLate(const call_state& call, const moment& now) {
  return now.steady + WorkOf(*call.route).value() > call.target_ends;
}

bool dispatcher::impl::AreAllSlow(
    const std::map<server_id, seen_sample>& samples) {
  return std::none_of(samples.begin(), samples.end(), [](const auto& entry) {
    const load_sample& sample = entry.second.sample;
    return sample.result == probe_result::kHealthy &&
           (!sample.load || sample.load->pace_percent <= kSlowPace);
  });
}

// Before its target a call waits for a server that meets it. After it, for one
// that is not slow, since a slow one would hold its slot for several times the
// work. Where all servers are slow, waiting finds no better one.
time_point dispatcher::impl::LatestAnswer(const call_state& call,
                                          milliseconds work,
                                          bool are_all_slow,
                                          const moment& now) {
  if (are_all_slow)
    return call.give_up;
  if (!IsLate(call, now))
    return call.target_ends;
  const auto not_slow =
      std::chrono::duration_cast<time_point::duration>(work * kLateFactor);
  return std::min(call.give_up, now.steady + not_slow);
}

std::vector<request_id> dispatcher::impl::InOrder(const pool_id& pool,
                                                  const moment& now) {
  // Of calls alike, the newest goes first: when there is not room for all, it
  // is the one that can still meet its target, and the others are told early.
  struct entry {
    bool is_late;
    int priority;
    time_point::duration age;
    request_id id;
    auto operator<=>(const entry&) const = default;
  };
  std::vector<entry> entries;
  for (const request_id id : queues_[pool].calls) {
    auto it = calls_.find(id);
    if (it == calls_.end() || it->second.now_in != phase::kWaiting)
      continue;
    const call_state& call = it->second;
    // Calls that can still meet their target go before those that cannot.
    entries.push_back({IsLate(call, now), call.route->priority,
                       now.steady - call.arrived, id});
  }
  std::sort(entries.begin(), entries.end());
  std::vector<request_id> ids;
  ids.reserve(entries.size());
  for (const entry& e : entries)
    ids.push_back(e.id);
  return ids;
}

std::vector<const catalog::backend_server*> dispatcher::impl::PickForRound(
    const pool_id& pool,
    const moment& now) {
  // All that some waiting call may use.
  std::set<server_id> usable;
  for (const request_id id : queues_[pool].calls)
    for (const catalog::backend_server* s : UsableServers(calls_.at(id), now))
      usable.insert(s->id);
  // The servers stand in this host's order of preference, near ones first.
  std::vector<const catalog::backend_server*> servers;
  std::size_t near = 0;
  std::size_t far = 0;
  for (const server_id& id : servers_by_pool_[pool]) {
    if (!usable.contains(id))
      continue;
    const catalog::backend_server& server = known_->servers.at(id);
    std::size_t& count =
        server.data_centre == settings_.data_centre ? near : far;
    if (++count <= kRoundWindow)
      servers.push_back(&server);
  }
  std::shuffle(servers.begin(), servers.end(), random_);
  // Connections to the others may be refused.
  std::stable_partition(
      servers.begin(), servers.end(),
      [this](const catalog::backend_server* s) { return IdleLinksTo(*s) > 0; });
  servers.resize(std::min(servers.size(), kRoundSample));
  return servers;
}

void dispatcher::impl::StartPoolRound(const pool_id& pool,
                                      const moment& now,
                                      effects& out) {
  pool_queue& queue = queues_[pool];
  queue.calls = InOrder(pool, now);
  if (queue.calls.empty())
    return;
  std::vector<const catalog::backend_server*> servers = PickForRound(pool, now);
  queue.next_round = now.steady + kRoundPause;
  if (servers.empty())
    return;
  const std::size_t least = std::min(servers.size(), kLeastRound);
  const std::size_t room = probes_.room(now.steady);
  if (room < least) {
    queue.next_round =
        now.steady + std::max(kRoundPause, probes_.WaitFor(least, now.steady));
    return;
  }
  servers.resize(std::min(servers.size(), room));
  probes_.Spend(servers.size(), now.steady);
  queue.round = NextRound();
  queue.asked = now.steady;
  rounds_[queue.round] = pool;
  out.emplace_back(AskFor(queue.round, servers, habits_[pool].limit()));
}

void dispatcher::impl::PlaceWaiting(
    const pool_id& pool,
    const std::map<server_id, seen_sample>& samples,
    const moment& now,
    effects& out) {
  const bool are_all_slow = AreAllSlow(samples);
  for (const request_id id : InOrder(pool, now)) {
    call_state& call = calls_.at(id);
    const milliseconds work = WorkOf(*call.route).value();
    const std::vector<candidate> warm = WarmCandidates(call, samples, now);
    const choice chosen = ChooseServer(warm, work);
    const time_point wanted = LatestAnswer(call, work, are_all_slow, now);
    if (chosen.best != nullptr && now.steady + chosen.predicted <= wanted)
      Send(id, call, *chosen.best, chosen.predicted, now, out);
    else
      TrySendCold(id, call, samples, now, out);
  }
  pool_queue& queue = queues_[pool];
  queue.calls = InOrder(pool, now);
  const bool is_any_healthy =
      std::any_of(samples.begin(), samples.end(), [](const auto& entry) {
        return entry.second.sample.result == probe_result::kHealthy;
      });
  queue.pause = is_any_healthy
                    ? kRoundPause
                    : std::min(std::max(queue.pause, kRoundPause) * 2,
                               kLongestRoundPause);
  queue.next_round = now.steady + queue.pause;
}

}  // namespace dotterellead::dispatch
