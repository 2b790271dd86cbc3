#include <fmt/core.h>

#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Servers asked for their load at first, all in this host's data centre where
// it has as many.
constexpr std::size_t kFirstSample = 4;
// Servers asked when none of the first is good enough.
constexpr std::size_t kNextSample = 4;
// Rounds of one call, after which it takes the best that was found or waits
// with the others of its pool.
constexpr int kMostRounds = 3;
// Servers from which a sample is drawn, as a multiple of it. A host that comes
// back to the same servers finds its connections to them open.
constexpr std::size_t kSpreadOfSample = 3;
// Own sends that are kept to correct samples; no round takes longer.
constexpr milliseconds kSendsKept{500};
// A predicted answer within this part of what is left of the target is good
// enough to stop asking further servers.
constexpr double kGoodPart = 0.9;
// Least time that a server should get for a request.
constexpr milliseconds kLeastTimeLeft{5};

}  // namespace

std::vector<const catalog::backend_server*> dispatcher::impl::UsableServers(
    const call_state& call,
    const moment& now) const {
  std::vector<const catalog::backend_server*> usable;
  std::vector<const catalog::backend_server*> avoided;
  auto pool = servers_by_pool_.find(call.pool);
  if (pool == servers_by_pool_.end())
    return usable;
  const version_rule rule = RuleOf(call.pool);
  // Once its trial ended, a call goes where the rest goes.
  const bool is_trial =
      call.is_trial && rule.trial.is_valid() && rule.trial_per_mille > 0;
  for (const server_id& id : pool->second) {
    const catalog::backend_server& server = known_->servers.at(id);
    if (server.is_leaving || call.tried.contains(id) ||
        known_->closed_data_centres.contains(server.data_centre) ||
        !Allows(rule, server.version, is_trial))
      continue;
    (health_.IsAvoided(id, now.steady) ? avoided : usable).push_back(&server);
  }
  // When most servers seem faulty, the judgement is more likely wrong.
  if (usable.size() < avoided.size())
    usable.insert(usable.end(), avoided.begin(), avoided.end());
  return usable;
}

take_samples dispatcher::impl::AskFor(
    request_id id,
    const std::vector<const catalog::backend_server*>& from,
    milliseconds limit) const {
  take_samples ask;
  ask.call = id;
  ask.limit = limit;
  for (const catalog::backend_server* s : from)
    ask.servers.push_back(RefTo(*s));
  return ask;
}

std::uint32_t dispatcher::impl::IdleLinksTo(
    const catalog::backend_server& server) const {
  if (!known_->config)
    return kMostIdleLinks;
  const auto pool = known_->config->pools.find(server.pool);
  if (pool == known_->config->pools.end())
    return kMostIdleLinks;
  return IdleLinks(
      pool->second.connection_limit, cold_.host_count(),
      StableHash(settings_.self.value() + '/' + server.id.value()));
}

server_ref dispatcher::impl::RefTo(
    const catalog::backend_server& server) const {
  const auto pool = known_->config->pools.find(server.pool);
  return {server.id, server.address,
          pool == known_->config->pools.end() ? "/" : pool->second.health_path,
          IdleLinksTo(server)};
}

void dispatcher::impl::StartSampling(request_id id,
                                     call_state& call,
                                     const moment& now,
                                     effects& out) {
  // Calls that wait already have a better claim to the next free slot.
  if (call.rounds == 0 && !queues_[call.pool].calls.empty()) {
    Enqueue(id, call, now, out);
    return;
  }
  std::vector<const catalog::backend_server*> servers =
      UsableServers(call, now);
  // A host that has just started hears of the servers after the configuration.
  const bool knows_servers = !known_->servers.empty();
  if (servers.empty() && call.tried.empty() && knows_servers) {
    Reject(id, call, reject_reason::kNoServer, now, out);
    return;
  }
  std::erase_if(servers, [&](const catalog::backend_server* s) {
    return call.samples.contains(s->id);
  });
  if (servers.empty()) {
    Enqueue(id, call, now, out);
    return;
  }
  // The servers stand in this host's order of preference.
  const std::size_t count = call.rounds == 0 ? kFirstSample : kNextSample;
  servers.resize(std::min(servers.size(), count * kSpreadOfSample));
  std::shuffle(servers.begin(), servers.end(), random_);
  if (call.rounds == 0)
    std::stable_partition(servers.begin(), servers.end(),
                          [&](const catalog::backend_server* s) {
                            return s->data_centre == settings_.data_centre;
                          });
  servers.resize(std::min(servers.size(), count));
  call.now_in = phase::kSampling;
  call.asked = now.steady;
  ++call.rounds;
  probes_.Spend(servers.size(), now.steady);
  const auto left =
      std::chrono::duration_cast<milliseconds>(call.give_up - now.steady);
  out.emplace_back(
      AskFor(id, servers, std::min(left, habits_[call.pool].limit())));
}

void dispatcher::impl::On(const samples_taken& m,
                          const moment& now,
                          effects& out) {
  if (auto round = rounds_.find(m.call); round != rounds_.end()) {
    const pool_id pool = round->second;
    rounds_.erase(round);
    TakeRound(pool, m, now, out);
    return;
  }
  if (auto check = crash_checks_.find(m.call); check != crash_checks_.end()) {
    const request_fingerprint fingerprint = check->second;
    crash_checks_.erase(check);
    TakeCrashCheck(fingerprint, m, now, out);
    return;
  }
  auto it = calls_.find(m.call);
  if (it == calls_.end() || it->second.now_in != phase::kSampling)
    return;
  LearnFrom(it->second.pool, m.samples, now);
  for (const load_sample& sample : m.samples)
    it->second.samples[sample.server] = {sample, it->second.asked};
  Place(m.call, it->second, now, out);
}

void dispatcher::impl::TakeRound(const pool_id& pool,
                                 const samples_taken& m,
                                 const moment& now,
                                 effects& out) {
  LearnFrom(pool, m.samples, now);
  pool_queue& queue = queues_[pool];
  std::map<server_id, seen_sample> samples;
  for (const load_sample& sample : m.samples)
    samples[sample.server] = {sample, queue.asked};
  queue.round = request_id();
  PlaceWaiting(pool, samples, now, out);
}

void dispatcher::impl::TakeCrashCheck(request_fingerprint fingerprint,
                                      const samples_taken& m,
                                      const moment& now,
                                      effects& out) {
  if (m.samples.empty() ||
      m.samples.front().result != probe_result::kUnreachable)
    return;
  crashes_.Count(fingerprint, now.steady);
  Log(out, "server-crashed",
      {{"server", m.samples.front().server.value()},
       {"fingerprint", fmt::format("{:016x}", fingerprint.value())},
       {"crashes", fmt::format("{}", crashes_.count(fingerprint))}});
  out.emplace_back(crash_seen{fingerprint});
}

void dispatcher::impl::LearnFrom(const pool_id& pool,
                                 const std::vector<load_sample>& samples,
                                 const moment& now) {
  probe_habits& habits = habits_[pool];
  habits.Learn(samples);
  for (const load_sample& sample : samples) {
    const bool is_silent =
        sample.result == probe_result::kUnreachable && habits.tells_load();
    if (is_silent || sample.result == probe_result::kWrongServer)
      health_.Unreachable(sample.server, now.steady);
  }
}

bool dispatcher::impl::MayUse(const call_state& call,
                              const load_sample& sample,
                              const catalog::backend_server& server,
                              const moment& now,
                              bool is_cold_allowed) {
  if (sample.result != probe_result::kHealthy)
    return false;
  if (sample.cold_left <= milliseconds(0))
    return true;
  if (!is_cold_allowed)
    return false;
  auto pool = known_->config->pools.find(call.pool);
  return pool != known_->config->pools.end() &&
         cold_.TryTake(server.id, pool->second.cold_rate, now.steady);
}

std::uint32_t dispatcher::impl::SendsSince(const server_id& server,
                                           time_point sampled) const {
  auto sends = own_sends_.find(server);
  if (sends == own_sends_.end())
    return 0;
  return static_cast<std::uint32_t>(
      std::count_if(sends->second.begin(), sends->second.end(),
                    [&](time_point t) { return t >= sampled; }));
}

std::uint32_t dispatcher::impl::OwnRunning(const server_id& server) const {
  return static_cast<std::uint32_t>(
      std::count_if(calls_.begin(), calls_.end(), [&](const auto& entry) {
        return entry.second.now_in == phase::kSending &&
               entry.second.server == server;
      }));
}

candidate dispatcher::impl::MakeCandidate(const catalog::backend_server& server,
                                          const seen_sample& seen) const {
  candidate c{RefTo(server), seen.sample.load.value_or(load_report()),
              server.data_centre != settings_.data_centre};
  if (seen.sample.load) {
    c.load.running += SendsSince(server.id, seen.asked);
  } else {
    // The answer itself shows that one slot was free.
    c.load.slots = server.slots;
    c.load.running = OwnRunning(server.id);
  }
  return c;
}

std::vector<candidate> dispatcher::impl::WarmCandidates(
    const call_state& call,
    const std::map<server_id, seen_sample>& samples,
    const moment& now) {
  std::vector<candidate> warm;
  for (const catalog::backend_server* s : UsableServers(call, now)) {
    auto seen = samples.find(s->id);
    if (seen == samples.end() ||
        !MayUse(call, seen->second.sample, *s, now, false))
      continue;
    candidate c = MakeCandidate(*s, seen->second);
    if (HasFreeSlot(c.load))
      warm.push_back(std::move(c));
  }
  return warm;
}

bool dispatcher::impl::TrySendCold(
    request_id id,
    call_state& call,
    const std::map<server_id, seen_sample>& samples,
    const moment& now,
    effects& out) {
  for (const catalog::backend_server* s : UsableServers(call, now)) {
    auto seen = samples.find(s->id);
    if (seen == samples.end() ||
        seen->second.sample.cold_left <= milliseconds(0))
      continue;
    const candidate c = MakeCandidate(*s, seen->second);
    const milliseconds predicted =
        PredictAnswer(c.load, WorkOf(*call.route).value());
    if (!HasFreeSlot(c.load) || now.steady + predicted > call.give_up ||
        !MayUse(call, seen->second.sample, *s, now, true))
      continue;
    Send(id, call, c, predicted, now, out);
    return true;
  }
  return false;
}

void dispatcher::impl::Place(request_id id,
                             call_state& call,
                             const moment& now,
                             effects& out) {
  const milliseconds work = WorkOf(*call.route).value();
  const std::vector<candidate> warm = WarmCandidates(call, call.samples, now);
  const choice chosen = ChooseServer(warm, work);
  const auto left = call.target_ends - now.steady;
  if (chosen.best != nullptr && chosen.predicted <= left * kGoodPart) {
    Send(id, call, *chosen.best, chosen.predicted, now, out);
    return;
  }
  const std::vector<const catalog::backend_server*> usable =
      UsableServers(call, now);
  const bool has_more = call.rounds < kMostRounds &&
                        std::any_of(usable.begin(), usable.end(),
                                    [&](const catalog::backend_server* s) {
                                      return !call.samples.contains(s->id);
                                    });
  if (has_more)
    StartSampling(id, call, now, out);
  else if (chosen.best != nullptr &&
           (chosen.predicted <= left ||
            (AreAllSlow(call.samples) &&
             now.steady + chosen.predicted <= call.give_up)))
    Send(id, call, *chosen.best, chosen.predicted, now, out);
  else if (!TrySendCold(id, call, call.samples, now, out))
    Enqueue(id, call, now, out);
}

void dispatcher::impl::Send(request_id id,
                            call_state& call,
                            const candidate& to,
                            milliseconds predicted,
                            const moment& now,
                            effects& out) {
  const auto time_left =
      std::chrono::duration_cast<milliseconds>(call.give_up - now.steady);
  if (time_left < kLeastTimeLeft) {
    Reject(
        id, call,
        call.may_have_run() ? reject_reason::kTimedOut : reject_reason::kNoRoom,
        now, out);
    return;
  }
  call.now_in = phase::kSending;
  call.server = to.server.id;
  call.server_version = known_->servers.at(to.server.id).version;
  call.load_at_send = to.load;
  call.sent = now.steady;
  call.predicted = predicted;
  call.tried.insert(to.server.id);
  std::deque<time_point>& sends = own_sends_[to.server.id];
  while (!sends.empty() && sends.front() + kSendsKept < now.steady)
    sends.pop_front();
  sends.push_back(now.steady);
  ++call.sends;
  Log(out, "placed",
      {{"request", call.caller_request},
       {"route", call.route->name.value()},
       {"server", to.server.id.value()},
       {"remote", to.is_remote ? "yes" : "no"},
       {"attempt", fmt::format("{}", call.sends)},
       {"running", fmt::format("{}/{}", to.load.running, to.load.slots)},
       {"waiting", fmt::format("{}", to.load.waiting)},
       {"pace", fmt::format("{}", to.load.pace_percent)},
       {"sampled", fmt::format("{}", call.samples.size())},
       {"predicted_ms", fmt::format("{}", predicted.count())},
       {"left_ms", fmt::format("{}", time_left.count())},
       {"config", fmt::format("{}", call.config->version.value())}});
  out.emplace_back(send_attempt{id, to.server, time_left, call.sends});
}

milliseconds dispatcher::impl::RetryAfter(const call_state& call,
                                          const moment& now) {
  // A slot is free after about one request's work; callers come back spread
  // over that time, and not later than a third of what is left to them.
  constexpr milliseconds kShortest{50};
  constexpr milliseconds kUnknownWork{200};
  const milliseconds work =
      call.route == nullptr ? kUnknownWork : WorkOf(*call.route).value();
  const auto left =
      std::chrono::duration_cast<milliseconds>(call.patience_ends - now.steady);
  std::uniform_real_distribution<double> spread(0.5, 1.0);
  const milliseconds pause(static_cast<std::int64_t>(
      spread(random_) * static_cast<double>(work.count())));
  return std::max(kShortest,
                  call.route == nullptr ? pause : std::min(pause, left / 3));
}

}  // namespace dotterellead::dispatch
