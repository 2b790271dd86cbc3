#include <fmt/core.h>

#include <algorithm>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

namespace {

// Servers probed for one hedged attempt.
constexpr std::size_t kHedgeProbes = 4;
// The probed servers are drawn from this many times their number.
constexpr std::size_t kHedgeCandidateFactor = 3;

// A hedge leaves the last free slot of a server to a request's first attempt.
bool HasSpareSlot(const load_report& load) {
  return HasFreeSlot(load) && load.running + 1 < load.slots;
}

}  // namespace

std::optional<time_point> dispatcher::impl::HedgeTime(
    const request_state& request,
    const timestamp& now) const {
  if (!MayHedge(request))
    return std::nullopt;
  return hedges_.HedgeTime(request.pool, request.route->name, now.steady);
}

bool dispatcher::impl::MayHedge(const request_state& request) const {
  // During a move the outcome of every attempt counts for or against a version,
  // and a cancelled one has none.
  return request.route->retry == catalog::retry_policy::kIdempotent &&
         request.attempts < request.route->max_attempts && !request.hedge &&
         !request.is_caller_disconnected && !shutdown_ends_at_ &&
         !VersionRuleOf(request.pool).trial.is_valid();
}

void dispatcher::impl::StartHedge(request_id id,
                                  request_state& request,
                                  const timestamp& now,
                                  effects& out) {
  request.hedge_at.reset();
  // Requests in the queue show that the pool is short of capacity.
  if (!MayHedge(request) || !queues_[request.pool].requests.empty())
    return;
  request.samples.clear();
  std::vector<const catalog::backend_server*> servers =
      UnsampledServers(request, kHedgeProbes * kHedgeCandidateFactor, now);
  std::erase_if(servers, [&](const catalog::backend_server* s) {
    return s->data_centre != settings_.data_centre ||
           availability_.StateOf(*s, now.steady) != availability::kAvailable;
  });
  std::shuffle(servers.begin(), servers.end(), random_);
  servers.resize(std::min(servers.size(), kHedgeProbes));
  if (servers.empty() || probe_budget_.available(now.steady) < servers.size())
    return;
  probe_budget_.Consume(servers.size(), now.steady);
  const request_id probe = NextProbeId();
  hedge_probes_[probe] = id;
  request.probed_at = now.steady;
  const auto left =
      std::chrono::duration_cast<milliseconds>(request.deadline - now.steady);
  out.emplace_back(
      MakeProbe(probe, servers,
                std::min(left, probe_statistics_[request.pool].timeout())));
}

void dispatcher::impl::HandleHedgeProbes(request_id id,
                                         const probes_completed& m,
                                         const timestamp& now,
                                         effects& out) {
  auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  request_state& request = it->second;
  RecordProbes(request.pool, m.samples, now);
  if (request.phase != request_phase::kSent || !MayHedge(request) ||
      !queues_[request.pool].requests.empty())
    return;
  std::map<server_id, timed_sample> samples;
  for (const load_sample& sample : m.samples)
    samples[sample.server] = {sample, request.probed_at};
  std::vector<candidate> warm = WarmCandidates(request, samples, now);
  std::erase_if(warm, [](const candidate& c) {
    return c.is_remote || !HasSpareSlot(c.load);
  });
  const placement_choice chosen =
      ChooseServer(warm, ServiceTimeOf(*request.route).value());
  if (chosen.best == nullptr ||
      now.steady + chosen.predicted_latency >= request.deadline)
    return;
  // The attempt in progress began while the caller's key was valid, and goes
  // on.
  const customer_access::decision access = access_.Check(
      *catalog_->config, *request.route, request.credential, now.boot);
  if (access.rejected)
    return;
  if (!hedges_.TryAcquire(request.pool, request.route->name, now.steady) ||
      !retry_budgets_.at(request.pool)
           .TryAcquire(now.steady, retry_allowance_.ShareAt(now.steady)))
    return;
  SendHedge(id, request, *chosen.best, chosen.predicted_latency, access, now,
            out);
}

void dispatcher::impl::SendHedge(request_id id,
                                 request_state& request,
                                 const candidate& to,
                                 milliseconds predicted,
                                 const customer_access::decision& access,
                                 const timestamp& now,
                                 effects& out) {
  request.hedge = StartAttempt(request, to, predicted, now);
  const auto timeout =
      std::chrono::duration_cast<milliseconds>(request.deadline - now.steady);
  const auto waited = std::chrono::duration_cast<milliseconds>(
      now.steady - request.attempt.sent_at);
  Log(out, "hedge-sent",
      {{"request", request.caller_request_id},
       {"route", request.route->name.value()},
       {"server", to.server.id.value()},
       {"attempt", fmt::format("{}", request.attempts)},
       {"held_ms", fmt::format("{}", waited.count())},
       {"predicted_ms", fmt::format("{}", predicted.count())},
       {"left_ms", fmt::format("{}", timeout.count())}});
  out.emplace_back(hedge_changed{hedge_event::kSent});
  out.emplace_back(send_attempt{id, to.server, timeout, request.hedge->number,
                                access.header, access.valid_until});
}

void dispatcher::impl::EndOneOfTwo(request_state& request,
                                   const attempt_ended& m,
                                   effects& out) {
  const bool is_hedge = request.hedge->server == m.server;
  if (!is_hedge)
    request.attempt = *request.hedge;
  request.hedge.reset();
  // The attempt that is left is not hedged again.
  request.hedge_at.reset();
  if (!DidNotRun(m.result))
    request.earlier_attempt_may_have_run = true;
  if (m.result == attempt_result::kNotConnected ||
      m.result == attempt_result::kNotSent)
    --request.attempts;
  if (is_hedge)
    out.emplace_back(hedge_changed{hedge_event::kLost});
}

void dispatcher::impl::CancelLoser(request_id id,
                                   request_state& request,
                                   const sent_attempt& winner,
                                   const timestamp& now,
                                   effects& out) {
  if (!request.hedge)
    return;
  const bool is_won = request.hedge->number == winner.number;
  const sent_attempt& loser = is_won ? request.attempt : *request.hedge;
  const auto taken =
      std::chrono::duration_cast<microseconds>(now.steady - loser.sent_at);
  hedges_.RecordLatency(request.pool, request.route->name, taken);
  Log(out, "hedge-ended",
      {{"request", request.caller_request_id},
       {"result", is_won ? "won" : "lost"},
       {"server", loser.server.value()},
       {"taken_ms", fmt::format("{}", taken.count() / 1000)}});
  out.emplace_back(
      hedge_changed{is_won ? hedge_event::kWon : hedge_event::kLost});
  out.emplace_back(cancel_attempt{id, loser.number});
  request.hedge.reset();
}

}  // namespace dotterellead::dispatch
