#include "server_availability.h"

#include <algorithm>
#include <vector>

#include "dotterellead/limits.h"

namespace dotterellead::dispatch {

namespace {

// How long a server is avoided after its first failure; faulty servers fail for
// seconds.
constexpr milliseconds kInitialAvoidance{1'500};
constexpr milliseconds kMaxAvoidance{6'000};
// How long a server is avoided after a probe or connect without a response.
constexpr milliseconds kUnreachableAvoidance{400};

}  // namespace

const server_availability::state_rule server_availability::state_rules[3] = {
    {availability::kLeaving,
     [](const catalog::backend_server& server, const entry& known, time_point) {
       return server.is_draining || known.is_leaving;
     }},
    {availability::kBackingOff,
     [](const catalog::backend_server&, const entry& known, time_point now) {
       return now < known.backoff_until;
     }},
    {availability::kAvoided,
     [](const catalog::backend_server&, const entry& known, time_point now) {
       return now < known.avoided_until;
     }},
};

server_run RunOf(const catalog::backend_server& server) {
  return {server.id, server.started_at};
}

void server_availability::RecordFailure(const server_run& run, time_point now) {
  entry& e = entries_[run];
  milliseconds pause = kInitialAvoidance;
  for (int i = 0; i < e.consecutive_failures && pause < kMaxAvoidance; ++i)
    pause *= 2;
  e.consecutive_failures = std::min(e.consecutive_failures + 1, 8);
  AvoidUntil(e, now + std::min(pause, kMaxAvoidance));
}

void server_availability::RecordUnreachable(const server_run& run,
                                            time_point now) {
  AvoidUntil(entries_[run], now + kUnreachableAvoidance);
}

void server_availability::AvoidUntil(entry& e, time_point until) {
  e.avoided_until = std::max(e.avoided_until, until);
  avoided_until_ = std::max(avoided_until_, until);
}

void server_availability::RecordSuccess(const server_run& run) {
  auto it = entries_.find(run);
  if (it != entries_.end())
    it->second.consecutive_failures = 0;
}

bool server_availability::RecordLeaving(const server_run& run) {
  return !std::exchange(entries_[run].is_leaving, true);
}

void server_availability::RecordBackoff(const server_run& run,
                                        time_point until) {
  entry& e = entries_[run];
  e.backoff_until = std::max(e.backoff_until, until);
}

void server_availability::UpdateServers(
    const std::map<server_id, catalog::backend_server>& servers,
    time_point now) {
  for (auto& [run, e] : entries_) {
    const auto it = servers.find(run.server);
    if (it != servers.end() && it->second.started_at == run.started_at)
      e.unlisted_at.reset();
    else if (!e.unlisted_at)
      e.unlisted_at = now;
  }
  RemoveUnlisted(now);
}

void server_availability::RemoveUnlisted(time_point now) {
  std::erase_if(entries_, [&](const auto& item) {
    return item.second.unlisted_at &&
           *item.second.unlisted_at + limits::kServerMarkRetention <= now;
  });
  std::vector<std::pair<time_point, server_run>> unlisted;
  for (const auto& [run, e] : entries_)
    if (e.unlisted_at)
      unlisted.emplace_back(*e.unlisted_at, run);
  if (unlisted.size() <= limits::kMaxUnlistedServerMarks)
    return;
  std::sort(unlisted.begin(), unlisted.end());
  unlisted.resize(unlisted.size() - limits::kMaxUnlistedServerMarks);
  for (const auto& [unlisted_at, run] : unlisted)
    entries_.erase(run);
}

const server_availability::entry& server_availability::EntryOf(
    const catalog::backend_server& server) const {
  static const entry nothing_known;
  if (entries_.empty())
    return nothing_known;
  const auto it = entries_.find(RunOf(server));
  return it == entries_.end() ? nothing_known : it->second;
}

availability server_availability::StateOf(const catalog::backend_server& server,
                                          time_point now) const {
  const entry& known = EntryOf(server);
  for (const state_rule& rule : state_rules)
    if (rule.applies(server, known, now))
      return rule.state;
  return availability::kAvailable;
}

time_point server_availability::BackoffEnd(
    const catalog::backend_server& server) const {
  return EntryOf(server).backoff_until;
}

}  // namespace dotterellead::dispatch
