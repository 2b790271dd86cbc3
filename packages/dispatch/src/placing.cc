#include <fmt/core.h>

#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Servers asked for their load at first, all in this host's data centre where
// it has as many.
constexpr std::size_t kFirstSample = 4;
// Servers asked when none of the first is good enough.
constexpr std::size_t kNextSample = 8;
// How long to wait for samples. A probe takes one slot-free answer time of the
// server plus a round trip, a few ms.
constexpr milliseconds kSampleLimit{60};
// Pause before servers are asked again when all are busy.
constexpr milliseconds kWaitStep{25};
// Part of the target that a call may wait for a slot. It leaves the rest for
// the work, and tells callers early that there is no room.
constexpr double kWaitPart = 0.5;
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
  const bool is_trial = call.is_trial && rule.trial.is_valid() &&
                        rule.trial_per_mille > 0;
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

void dispatcher::impl::StartSampling(request_id id,
                                     call_state& call,
                                     const moment& now,
                                     effects& out) {
  std::vector<const catalog::backend_server*> servers =
      UsableServers(call, now);
  std::erase_if(servers, [&](const catalog::backend_server* s) {
    return call.samples.contains(s->id);
  });
  if (servers.empty()) {
    WaitOrReject(id, call, std::nullopt, now, out);
    return;
  }
  std::shuffle(servers.begin(), servers.end(), random_);
  std::stable_partition(
      servers.begin(), servers.end(), [&](const catalog::backend_server* s) {
        return s->data_centre == settings_.data_centre;
      });
  const std::size_t count = call.rounds == 0 ? kFirstSample : kNextSample;
  servers.resize(std::min(servers.size(), count));
  const auto pool = known_->config->pools.find(call.pool);
  take_samples ask;
  ask.call = id;
  ask.limit = std::min(
      kSampleLimit,
      std::chrono::duration_cast<milliseconds>(call.give_up - now.steady));
  for (const catalog::backend_server* s : servers)
    ask.servers.push_back({s->id, s->address,
                           pool == known_->config->pools.end()
                               ? std::string("/")
                               : pool->second.health_path});
  call.now_in = phase::kSampling;
  ++call.rounds;
  out.emplace_back(std::move(ask));
}

void dispatcher::impl::On(const samples_taken& m,
                          const moment& now,
                          effects& out) {
  auto it = calls_.find(m.call);
  if (it == calls_.end() || it->second.now_in != phase::kSampling)
    return;
  for (const load_sample& sample : m.samples) {
    if (sample.result == probe_result::kUnreachable ||
        sample.result == probe_result::kWrongServer)
      health_.Unreachable(sample.server, now.steady);
    it->second.samples[sample.server] = sample;
  }
  Place(m.call, it->second, now, out);
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

void dispatcher::impl::Place(request_id id,
                             call_state& call,
                             const moment& now,
                             effects& out) {
  const std::vector<const catalog::backend_server*> usable =
      UsableServers(call, now);
  const milliseconds work = WorkOf(*call.route).value();
  std::vector<candidate> warm;
  for (const catalog::backend_server* s : usable) {
    auto sample = call.samples.find(s->id);
    if (sample == call.samples.end() ||
        !MayUse(call, sample->second, *s, now, false))
      continue;
    const auto pool = known_->config->pools.find(call.pool);
    const std::string& health_path = pool->second.health_path;
    load_report load;
    load.slots = s->slots;
    warm.push_back({{s->id, s->address, health_path},
                    sample->second.load.value_or(load),
                    s->data_centre != settings_.data_centre});
  }
  const choice chosen = ChooseServer(warm, work);
  const time_point target = call.arrived + call.route->target;
  const auto left = target - now.steady;
  const bool is_good =
      chosen.best != nullptr && HasFreeSlot(chosen.best->load) &&
      chosen.predicted <= left * kGoodPart;
  if (is_good) {
    Send(id, call, *chosen.best, chosen.predicted, now, out);
    return;
  }
  const bool has_more =
      std::any_of(usable.begin(), usable.end(),
                  [&](const catalog::backend_server* s) {
                    return !call.samples.contains(s->id);
                  });
  if (has_more) {
    StartSampling(id, call, now, out);
    return;
  }
  if (chosen.best != nullptr &&
      (HasFreeSlot(chosen.best->load) || chosen.predicted <= left)) {
    Send(id, call, *chosen.best, chosen.predicted, now, out);
    return;
  }
  // Nothing warm has room: a cold server may take some.
  for (const catalog::backend_server* s : usable) {
    auto sample = call.samples.find(s->id);
    if (sample == call.samples.end() || !sample->second.load ||
        !HasFreeSlot(*sample->second.load) ||
        !MayUse(call, sample->second, *s, now, true))
      continue;
    const candidate cold{{s->id, s->address, ""}, *sample->second.load, false};
    Send(id, call, cold, PredictAnswer(cold.load, work), now, out);
    return;
  }
  WaitOrReject(id, call,
               chosen.best == nullptr
                   ? std::nullopt
                   : std::optional<milliseconds>(chosen.predicted),
               now, out);
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
    Reject(id, call,
           call.may_have_run() ? reject_reason::kTimedOut
                             : reject_reason::kNoRoom,
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
  ++call.sends;
  Log(out, "placed",
      {{"request", call.caller_request},
       {"route", call.route->name.value()},
       {"server", to.server.id.value()},
       {"attempt", fmt::format("{}", call.sends)},
       {"running", fmt::format("{}/{}", to.load.running, to.load.slots)},
       {"waiting", fmt::format("{}", to.load.waiting)},
       {"pace", fmt::format("{}", to.load.pace_percent)},
       {"sampled", fmt::format("{}", call.samples.size())},
       {"predicted_ms", fmt::format("{}", predicted.count())},
       {"left_ms", fmt::format("{}", time_left.count())},
       {"config",
        fmt::format("{}", call.config->version.value())}});
  out.emplace_back(send_attempt{id, to.server, time_left, call.sends});
}

void dispatcher::impl::WaitOrReject(request_id id,
                                    call_state& call,
                                    std::optional<milliseconds> predicted,
                                    const moment& now,
                                    effects& out) {
  const auto wait_ends =
      call.arrived + std::chrono::duration_cast<time_point::duration>(
                         call.route->target * kWaitPart);
  if (now.steady + kWaitStep >= std::min(wait_ends, call.give_up)) {
    Reject(id, call,
           predicted ? reject_reason::kNoRoom : reject_reason::kNoServer, now,
           out);
    return;
  }
  call.now_in = phase::kWaiting;
  call.retry_at = now.steady + kWaitStep;
  call.samples.clear();
  call.rounds = 1;
}

milliseconds dispatcher::impl::RetryAfter(const call_state& call,
                                          const moment& now) {
  // A slot is free after about one request's work; callers come back spread
  // over that time, and not later than a third of what is left to them.
  constexpr milliseconds kShortest{50};
  constexpr milliseconds kUnknownWork{200};
  const milliseconds work =
      call.route == nullptr ? kUnknownWork : WorkOf(*call.route).value();
  const auto left = std::chrono::duration_cast<milliseconds>(
      call.patience_ends - now.steady);
  std::uniform_real_distribution<double> spread(0.5, 1.0);
  const milliseconds pause(static_cast<std::int64_t>(
      spread(random_) * static_cast<double>(work.count())));
  return std::max(kShortest, call.route == nullptr
                                 ? pause
                                 : std::min(pause, left / 3));
}

}  // namespace dotterellead::dispatch
