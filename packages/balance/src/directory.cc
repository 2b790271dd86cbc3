#include "directory.h"

#include <algorithm>

namespace dotterellead {
namespace {

// Weights of the newest answer in the smoothed values.
constexpr double kLatencyWeight = 0.2;
constexpr double kFailureWeight = 0.1;
// Added to a server's cost if all its answers fail, so that fast failures do
// not attract work.
constexpr double kFailureCostUs = 1e6;
// An answer is slow above kSlowFactor times the smoothed latency plus
// kSlowFloorUs. Several in a row are an abrupt slowdown; single ones are
// normal in a latency tail.
constexpr double kSlowFactor = 4;
constexpr double kSlowFloorUs = 20'000;
constexpr std::uint32_t kSlowAnswersToDoubt = 3;
// Per second. A server that was slow or failing is tried again after a while.
constexpr double kLatencyFade = 0.97;
constexpr double kFailureFade = 0.8;

bool IsFailure(const release& m) {
  switch (m.result) {
    case attempt_result::kAnswered:
      return m.failed;
    case attempt_result::kShed:
    case attempt_result::kConnectFailed:
    case attempt_result::kCut:
    case attempt_result::kTimedOut:
      return true;
    case attempt_result::kCancelled:
    case attempt_result::kNotSent:
      return false;
  }
  return false;
}

bool WasAnswered(const release& m) {
  return m.result == attempt_result::kAnswered ||
         m.result == attempt_result::kShed;
}

}  // namespace

double server_state::cost_us() const {
  return latency_us + failure_share * kFailureCostUs;
}

bool server_state::CanServe(const acquire& m, const server_id& id) const {
  return takes_work() && (!m.version.is_valid() || spec.version == m.version) &&
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
      // A server that two pools name has one set of slots, in the first pool.
      if (!declared.insert(server.address).second)
        continue;
      pool.servers.push_back(server.address);
      SetServer(name, server, config.IsOut(server.data_centre), now);
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
  const bool returned = s.out && !out;
  const bool replaced = !is_new && (s.spec.version != spec.version ||
                                    s.spec.data_centre != spec.data_centre);
  s.pool = pool;
  s.spec = spec;
  s.out = out;
  const member_id home_before = s.home;
  SetHome(s, spec.address);
  if (!is_new && s.home != home_before)
    s.home_moved_at = now;
  if (is_new) {
    s.cold = true;
    s.doubted_at = now;
  } else if (returned || replaced) {
    s.cold = true;
    Doubt(spec.address, s, now);
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
  // Serials of another home cannot be compared. One of this host's own starts
  // above those of its former runs.
  s.serial = IsHome(s) ? options_.incarnation.value() : 0;
  s.settled_serial = 0;
  s.news_pending = s.is_doubtful() && s.doubt_is_seen;
  if (s.news_pending)
    changed_.insert(id);
}

void directory::Learn(const server_id& server,
                      const release& m,
                      time_point sent_at,
                      time_point now) {
  server_state* s = Find(server);
  if (s == nullptr)
    return;
  LearnBoot(server, *s, m.boot, now);
  LearnLatency(server, *s, m, now);
  if (m.draining && !s->draining) {
    s->draining = true;
    Doubt(server, *s, now);
  }
  if (m.cold.value_or(false) && !s->cold) {
    s->cold = true;
    Doubt(server, *s, now);
  }
  const bool says_warm = WasAnswered(m) && m.cold.has_value() && !*m.cold;
  const bool lost = m.result == attempt_result::kConnectFailed ||
                    m.result == attempt_result::kCut;
  if (lost || (m.found_closed && !says_warm))
    Suspect(server, now);
  if (says_warm && !s->draining && s->slow_answers == 0)
    Settle(server, *s, sent_at);
}

void directory::Learn(const load_report& m, time_point now) {
  server_state* s = Find(m.server);
  if (s == nullptr)
    return;
  s->reported_in_flight = m.in_flight;
  const time_point measured = now - m.age;
  LearnBoot(m.server, *s, m.boot, now);
  if (measured < s->doubted_at)
    return;
  const bool is_news = (m.cold && !s->cold) || (m.draining && !s->draining);
  if (m.cold)
    s->cold = true;
  if (m.draining || m.weight >= kLeastReportWeight) {
    if (s->draining && !m.draining)
      changed_.insert(m.server);
    s->draining = m.draining;
  }
  if (is_news)
    Doubt(m.server, *s, now);
  else if (!m.cold && !m.draining && m.weight >= kLeastReportWeight)
    Settle(m.server, *s, measured);
}

void directory::LearnBoot(const server_id& id,
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
  Doubt(id, s, now);
}

void directory::LearnLatency(const server_id& id,
                             server_state& s,
                             const release& m,
                             time_point now) {
  if (m.result == attempt_result::kNotSent)
    return;
  const double failed = IsFailure(m) ? 1 : 0;
  s.failure_share += kFailureWeight * (failed - s.failure_share);
  const bool timed_out = m.result == attempt_result::kTimedOut;
  if (failed > 0 && !timed_out)
    return;
  if (m.result == attempt_result::kCancelled)
    return;
  const double latency = static_cast<double>(m.latency.count());
  const bool slow =
      s.latency_us > 0 && latency > kSlowFactor * s.latency_us + kSlowFloorUs;
  s.slow_answers = slow || timed_out ? s.slow_answers + 1 : 0;
  if (s.slow_answers == kSlowAnswersToDoubt)
    Suspect(id, now);
  const double weight = s.latency_us > 0 ? kLatencyWeight : 1;
  s.latency_us += weight * (latency - s.latency_us);
}

void directory::Suspect(const server_id& server, time_point now) {
  server_state* s = Find(server);
  if (s == nullptr)
    return;
  s->suspect = true;
  Doubt(server, *s, now);
}

void directory::Doubt(const server_id& id, server_state& s, time_point now) {
  s.suspect = true;
  s.doubted_at = now;
  s.doubt_is_seen = true;
  s.news_pending = true;
  changed_.insert(id);
}

void directory::Settle(const server_id& id,
                       server_state& s,
                       time_point evidence) {
  // An answer to a request sent before the doubt says nothing about it: it may
  // come from before a restart.
  if (!s.is_doubtful() || evidence < s.doubted_at)
    return;
  s.cold = false;
  s.suspect = false;
  s.doubt_is_seen = false;
  s.news_pending = false;
  s.settled_serial = s.serial;
  changed_.insert(id);
}

void directory::LearnFromHome(const server_notice& m,
                              time_point asked_at,
                              time_point now) {
  server_state* s = Find(m.server);
  if (s == nullptr || IsHome(*s) || m.serial < s->serial)
    return;
  const bool is_newer = m.serial > s->serial;
  if (m.cold || m.draining) {
    s->serial = m.serial;
    s->draining = m.draining || (s->draining && s->news_pending);
    if (m.serial == s->settled_serial && !m.draining) {
      changed_.insert(m.server);
      return;
    }
    if (is_newer || !s->is_doubtful())
      s->doubted_at = now;
    s->suspect = true;
    s->doubt_is_seen = true;
    s->news_pending = false;
    return;
  }
  if (s->news_pending || (!is_newer && asked_at < s->doubted_at))
    return;
  s->serial = m.serial;
  s->settled_serial = m.serial;
  s->cold = false;
  s->suspect = false;
  s->draining = false;
  s->doubt_is_seen = false;
}

void directory::LearnFromEarlierHome(const lease_table& table, time_point now) {
  server_state* s = Find(table.server);
  if (s == nullptr)
    return;
  s->serial = std::max(s->serial, table.state_serial + 1);
  if (table.cold || table.draining) {
    s->draining = s->draining || table.draining;
    Doubt(table.server, *s, now);
  } else if (!s->doubt_is_seen) {
    s->cold = false;
    s->suspect = false;
  }
}

void directory::LearnFromHolder(const member_id& from,
                                const server_news& m,
                                step_context& step) {
  server_state* s = Find(m.server);
  if (s == nullptr || !IsHome(*s))
    return;
  if (!m.warm) {
    s->draining = s->draining || m.draining;
    Doubt(m.server, *s, step.now);
    return;
  }
  if (m.serial == s->serial && !s->draining) {
    Settle(m.server, *s, s->doubted_at);
    return;
  }
  step.Send(from,
            server_notice{m.server, s->is_doubtful(), s->draining, s->serial});
}

std::set<server_id> directory::Publish(step_context& step) {
  std::set<server_id> own;
  for (const server_id& id : std::exchange(changed_, {})) {
    server_state* s = Find(id);
    if (s == nullptr || !s->home.is_valid())
      continue;
    if (!IsHome(*s)) {
      step.Send(s->home, NewsOf(id, *s));
      continue;
    }
    if (std::exchange(s->news_pending, false))
      ++s->serial;
    own.insert(id);
  }
  return own;
}

void directory::RepeatNews(step_context& step) {
  for (const auto& [id, s] : servers_) {
    if (s.news_pending && s.home.is_valid() && !IsHome(s))
      step.Send(s.home, NewsOf(id, s));
  }
}

server_news directory::NewsOf(const server_id& id,
                              const server_state& s) const {
  return {id, !s.is_doubtful(), s.draining, s.serial};
}

void directory::Fade() {
  for (auto& [id, s] : servers_) {
    s.latency_us *= kLatencyFade;
    s.failure_share *= kFailureFade;
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
