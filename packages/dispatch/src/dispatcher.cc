#include <fmt/core.h>

#include <algorithm>
#include <tuple>

#include "dispatcher_impl.h"

namespace dotterellead::dispatch {

std::string_view to_string(reject_reason reason) {
  switch (reason) {
    case reject_reason::kNoRoute:
      return "no-route";
    case reject_reason::kNoConfiguration:
      return "no-configuration";
    case reject_reason::kNoServer:
      return "no-server";
    case reject_reason::kNoRoom:
      return "no-room";
    case reject_reason::kCrashesServers:
      return "crashes-servers";
    case reject_reason::kTimedOut:
      return "timed-out";
    case reject_reason::kServerFailed:
      return "server-failed";
  }
  return "unknown";
}

bool IsNotRun(reject_reason reason) {
  return reason != reject_reason::kTimedOut &&
         reason != reject_reason::kServerFailed;
}

dispatcher::dispatcher(dispatch_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}
dispatcher::~dispatcher() = default;
dispatcher::dispatcher(dispatcher&&) noexcept = default;

void dispatcher::Step(const message& m,
                      const moment& now,
                      std::vector<effect>& out) {
  impl_->Step(m, now, out);
}

std::optional<time_point> dispatcher::NextDeadline() const {
  return impl_->NextDeadline();
}

std::size_t dispatcher::open_calls() const {
  return impl_->open_calls();
}

dispatcher::impl::impl(dispatch_settings settings)
    : settings_(std::move(settings)),
      random_(static_cast<std::minstd_rand::result_type>(
          settings_.seed % 2'147'483'646 + 1)),
      cold_(settings_.self) {}

void dispatcher::impl::Step(const message& m, const moment& now, effects& out) {
  std::visit([&](const auto& typed) { On(typed, now, out); }, m);
}

std::optional<time_point> dispatcher::impl::NextDeadline() const {
  std::optional<time_point> next;
  auto consider = [&](time_point due) {
    if (!next || due < *next)
      next = due;
  };
  if (!early_.empty())
    consider(early_.front().arrived + kConfigurationWait);
  for (const auto& [id, call] : calls_)
    consider(call.now_in == phase::kWaiting ? call.hold_ends : call.give_up);
  for (const auto& [pool, queue] : queues_)
    if (!queue.calls.empty() && !queue.round.is_valid())
      consider(queue.next_round);
  return next;
}

void dispatcher::impl::On(const catalog_changed& m,
                          const moment& now,
                          effects& out) {
  const bool is_new_config = !known_ || known_->config != m.snapshot->config;
  known_ = m.snapshot;
  if (is_new_config) {
    routes_ = catalog::route_table(known_->config);
    pool_credit_.clear();
    if (known_->config)
      Log(out, "configuration-in-force",
          {{"version", fmt::format("{}", known_->config->version.value())},
           {"routes", fmt::format("{}", known_->config->routes.size())}});
  }
  SortServers();
  ShareProbes(now);
  SettleEarly(now, out);
}

void dispatcher::impl::ShareProbes(const moment& now) {
  // Part of what servers bear that is used; the rest is for hosts that this one
  // does not know yet.
  constexpr double kUsedPart = 0.8;
  probes_.SetRate(settings_.probe_rate * kUsedPart *
                      static_cast<double>(known_->servers.size()) /
                      static_cast<double>(cold_.host_count()),
                  now.steady);
}

void dispatcher::impl::SortServers() {
  servers_by_pool_.clear();
  for (const auto& [id, server] : known_->servers)
    servers_by_pool_[server.pool].push_back(id);
  for (auto& [pool, servers] : servers_by_pool_)
    SortByPreference(servers);
}

// Servers of this host's data centre first, of these the ones to which it keeps
// connections, and in an order of this host's own, so that hosts spread over
// the servers.
void dispatcher::impl::SortByPreference(std::vector<server_id>& servers) const {
  std::vector<std::tuple<bool, bool, std::uint64_t, server_id>> ranked;
  for (server_id& id : servers) {
    const catalog::backend_server& server = known_->servers.at(id);
    const bool is_remote = server.data_centre != settings_.data_centre;
    const bool is_without_links = IdleLinksTo(server) == 0;
    const std::uint64_t rank =
        StableHash(settings_.self.value() + '/' + id.value());
    ranked.emplace_back(is_remote, is_without_links, rank, std::move(id));
  }
  std::sort(ranked.begin(), ranked.end());
  servers.clear();
  for (auto& [is_remote, is_without_links, rank, id] : ranked)
    servers.push_back(std::move(id));
}

void dispatcher::impl::On(const move_share_changed& m,
                          const moment&,
                          effects& out) {
  move_shares_[{m.pool, m.target}] = m.per_mille;
  Log(out, "move-share",
      {{"pool", m.pool.value()},
       {"target", m.target.value()},
       {"per_mille", fmt::format("{}", m.per_mille)}});
}

void dispatcher::impl::On(const hosts_changed& m, const moment& now, effects&) {
  cold_.SetHosts(m.live);
  if (known_) {
    SortServers();
    ShareProbes(now);
  }
}

void dispatcher::impl::On(const crash_heard& m, const moment& now, effects&) {
  crashes_.Count(m.fingerprint, now.steady);
}

void dispatcher::impl::On(const tick&, const moment& now, effects& out) {
  SettleEarly(now, out);
  std::vector<request_id> due;
  for (const auto& [id, call] : calls_)
    if (call.give_up <= now.steady ||
        (call.now_in == phase::kWaiting && call.hold_ends <= now.steady))
      due.push_back(id);
  for (const request_id id : due) {
    call_state& call = calls_.at(id);
    const bool may_have_run = call.may_have_run();
    if (call.now_in == phase::kSending) {
      health_.Failed(call.server, now.steady);
      ObserveVersion(call, true, now, out);
    }
    Reject(id, call,
           may_have_run ? reject_reason::kTimedOut : reject_reason::kNoRoom,
           now, out);
  }
  for (auto& [pool, queue] : queues_)
    if (!queue.calls.empty() && !queue.round.is_valid() &&
        queue.next_round <= now.steady)
      StartPoolRound(pool, now, out);
}

request_id dispatcher::impl::NextRound() {
  // Ids of rounds do not meet those of calls, which count from 1.
  constexpr std::uint64_t kFirstRound = std::uint64_t{1} << 62;
  return request_id(kFirstRound + next_round_++);
}

work_estimate& dispatcher::impl::WorkOf(const catalog::route& route) {
  return work_.try_emplace(route.name, route.target).first->second;
}

double dispatcher::impl::SlackShare() const {
  // Half of the slack stays for hosts that restart and forget their window,
  // and for members that this host does not know yet.
  return settings_.repeat_slack / 2 / static_cast<double>(cold_.host_count());
}

void dispatcher::impl::Log(
    effects& out,
    std::string event,
    std::vector<std::pair<std::string_view, std::string>> fields) {
  out.emplace_back(decision{std::move(event), std::move(fields)});
}

}  // namespace dotterellead::dispatch
