#include "dotterellead/rollout.h"

#include <algorithm>

namespace dotterellead {
namespace {

constexpr milliseconds kSliceLength{1'000};
constexpr milliseconds kSliceHistory{64'000};
// Limits a peer message to a few tens of kilobytes.
constexpr std::size_t kMaxCountersPerMessage = 128;
// Limits memory if hosts are replaced repeatedly during one move.
constexpr std::size_t kMaxSources = 512;
// Fraction of the new version's slots that a share may use, in per mille.
constexpr std::uint64_t kUsablePerMille = 800;
constexpr std::uint32_t kAll = 1000;
// Capacity limits change in steps of this size, so that noise has no effect.
constexpr std::uint32_t kShareGranularity = 10;

std::uint64_t Growth(std::uint64_t& stored, std::uint64_t total) {
  if (total <= stored)
    return 0;
  const std::uint64_t grown = total - stored;
  stored = total;
  return grown;
}

attempt_counters Raise(attempt_counters& stored,
                       const attempt_counters& total) {
  attempt_counters growth;
  growth.requests = Growth(stored.requests, total.requests);
  growth.failures = Growth(stored.failures, total.failures);
  growth.busy_us = Growth(stored.busy_us, total.busy_us);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i)
    growth.latency[i] = Growth(stored.latency[i], total.latency[i]);
  return growth;
}

}  // namespace

rollout_machine::rollout_machine(member_id self,
                                 incarnation_id incarnation,
                                 rollout_settings settings)
    : self_(std::move(self)), incarnation_(incarnation), settings_(settings) {}

void rollout_machine::Step(const message& m,
                           const timestamp& now,
                           std::vector<effect>& out) {
  std::visit([&](const auto& specific) { On(specific, now, out); }, m);
  PublishShares(now, out);
}

// ---- Configuration

void rollout_machine::On(const rollout_config_changed& m,
                         const timestamp& now,
                         effects&) {
  if (!m.config)
    return;
  std::erase_if(moves_, [&](const auto& entry) {
    return !m.config->moves.contains(entry.first);
  });
  for (const auto& [id, stored] : m.config->moves)
    UpdateMove(id, stored, now);
  FindNewestMoves();
}

void rollout_machine::UpdateMove(const move_id& id,
                                 const stored_move& stored,
                                 const timestamp& now) {
  move_state& move = moves_[id];
  const bool is_new = move.revision != stored.revision;
  if (is_new) {
    move = move_state{};
    move.id = id;
    move.revision = stored.revision;
    move.spec = stored.spec;
    move.started = now.wall;
    move.first_seen = now.steady;
    move.has_joined_late = stored.progress.step > 0;
  }
  if (is_new || move.progress.step != stored.progress.step) {
    move.step_started_at = now.steady;
    move.next_proposal_at = now.steady;
  }
  move.progress = stored.progress;
  if (stored.progress.verdict == move_verdict::kMoving)
    return;
  const bool is_back = stored.progress.verdict == move_verdict::kRolledBack;
  move.rollback_reason = is_back ? "recorded: " + stored.progress.reason : "";
  move.evidence.clear();
  move.totals.clear();
  move.slices.clear();
}

void rollout_machine::FindNewestMoves() {
  newest_moves_.clear();
  for (const auto& [id, move] : moves_) {
    const auto [it, added] = newest_moves_.emplace(move.spec.pool, id);
    if (!added && moves_.at(it->second).revision < move.revision)
      it->second = id;
  }
}

bool rollout_machine::IsSuperseded(const move_state& move) const {
  return newest_moves_.at(move.spec.pool) != move.id;
}

rollout_machine::move_state* rollout_machine::FindMove(const move_id& id,
                                                       log_offset revision) {
  const auto it = moves_.find(id);
  if (it == moves_.end() || it->second.revision != revision)
    return nullptr;
  return &it->second;
}

// ---- Evidence

void rollout_machine::On(const attempts_recorded& m,
                         const timestamp& now,
                         effects&) {
  const source self{self_, incarnation_};
  for (const auto& [key, counters] : m.attempts) {
    const auto newest = newest_moves_.find(key.pool);
    if (newest == newest_moves_.end())
      continue;
    move_state& move = moves_.at(newest->second);
    if (move.progress.verdict != move_verdict::kMoving)
      continue;
    const evidence_key at{move.id, move.revision, move.progress.step,
                          key.version, key.route};
    attempt_counters total = counters;
    const auto& own = move.evidence[self];
    if (const auto it = own.find(at); it != own.end())
      total.Add(it->second);
    Merge(move, self, at, total, now);
  }
}

void rollout_machine::On(const peer_evidence& m,
                         const timestamp& now,
                         effects&) {
  const source from{m.member, m.incarnation};
  if (from == source{self_, incarnation_})
    return;
  for (const auto& [id, start] : m.started) {
    if (move_state* move = FindMove(id, start.first))
      move->started = std::min(move->started, start.second);
  }
  for (const auto& [key, counters] : m.counters) {
    if (move_state* move = FindMove(key.move, key.revision))
      Merge(*move, from, key, counters, now);
  }
}

void rollout_machine::Merge(move_state& move,
                            const source& from,
                            const evidence_key& key,
                            const attempt_counters& total,
                            const timestamp& now) {
  const bool is_new = key.version == move.spec.to_version;
  const bool is_relevant = is_new || key.version == move.spec.from_version;
  if (!is_relevant || move.progress.verdict != move_verdict::kMoving)
    return;
  if (!move.evidence.contains(from) && move.evidence.size() >= kMaxSources)
    return;
  const attempt_counters growth = Raise(move.evidence[from][key], total);
  if (move.slices.empty() ||
      move.slices.back().begins_at + kSliceLength <= now.steady) {
    move.slices.push_back({now.steady, {}});
  }
  for (pair_table* table : {&move.slices.back().counters, &move.totals}) {
    auto& pair = (*table)[{key.step, key.route}];
    (is_new ? pair.first : pair.second).Add(growth);
  }
  while (move.slices.front().begins_at + kSliceHistory < now.steady)
    move.slices.pop_front();
}

void rollout_machine::SendEvidence(const timestamp& now, effects& out) {
  if (now.steady < last_sent_ + settings_.evidence_interval)
    return;
  peer_evidence message{self_, incarnation_, {}, {}};
  for (const auto& [id, move] : moves_) {
    const auto own = move.evidence.find({self_, incarnation_});
    if (own == move.evidence.end())
      continue;
    for (const auto& [key, counters] : own->second) {
      if (message.counters.size() >= kMaxCountersPerMessage)
        break;
      attempt_counters& sent = sent_counters_[key];
      if (sent == counters)
        continue;
      sent = counters;
      message.counters[key] = counters;
      message.started[id] = {move.revision, move.started};
    }
  }
  if (message.counters.empty())
    return;
  last_sent_ = now.steady;
  out.push_back(evidence_to_peers{std::move(message)});
}

// ---- Peers, log and capacity

void rollout_machine::On(const peer_rollback& m,
                         const timestamp& now,
                         effects& out) {
  move_state* move = FindMove(m.move, m.revision);
  if (move == nullptr || move->progress.verdict != move_verdict::kMoving ||
      move->is_rolled_back()) {
    return;
  }
  RollBack(*move, m.reason, now, out);
}

void rollout_machine::On(const rollout_peers_changed& m,
                         const timestamp&,
                         effects&) {
  live_members_ = m.live;
  // A new peer has not received any totals yet.
  sent_counters_.clear();
}

void rollout_machine::On(const rollout_log_changed& m,
                         const timestamp& now,
                         effects&) {
  is_log_available_ = m.is_available;
  for (auto& [id, move] : moves_)
    move.next_proposal_at = std::min(move.next_proposal_at, now.steady);
}

void rollout_machine::On(const version_capacity& m,
                         const timestamp&,
                         effects&) {
  capacity_[m.pool] = m.usable_slots;
}

void rollout_machine::On(const step_result& m, const timestamp& now, effects&) {
  move_state* move = FindMove(m.move, m.revision);
  if (move == nullptr || m.outcome == step_outcome::kAccepted)
    return;
  move->next_proposal_at = now.steady + settings_.repeat_interval;
}

void rollout_machine::On(const tick&, const timestamp& now, effects& out) {
  for (auto& [id, move] : moves_) {
    if (move.progress.verdict == move_verdict::kMoving)
      Evaluate(move, now, out);
  }
  std::erase_if(sent_counters_, [&](const auto& entry) {
    const move_state* move = FindMove(entry.first.move, entry.first.revision);
    return move == nullptr || move->progress.verdict != move_verdict::kMoving;
  });
  SendEvidence(now, out);
}

std::int64_t rollout_machine::Rank() const {
  return std::count_if(live_members_.begin(), live_members_.end(),
                       [this](const member_id& m) { return m < self_; });
}

// ---- Shares

std::uint32_t rollout_machine::CapacityPerMille(const move_state& move,
                                                const timestamp& now) const {
  const auto pool = capacity_.find(move.spec.pool);
  if (pool == capacity_.end())
    return kAll;
  const auto slots = pool->second.find(move.spec.to_version);
  if (slots == pool->second.end())
    return kAll;
  if (slots->second == 0)
    return 0;
  // Busy slots are the busy time divided by the elapsed time.
  constexpr milliseconds kWindow{10'000};
  std::uint64_t busy_us = 0;
  for (const evidence_slice& slice : move.slices) {
    if (slice.begins_at + kWindow < now.steady)
      continue;
    for (const auto& [key, pair] : slice.counters)
      busy_us += pair.first.busy_us + pair.second.busy_us;
  }
  if (busy_us == 0)
    return kAll;
  const auto window_us =
      static_cast<std::uint64_t>(microseconds(kWindow).count());
  const std::uint64_t bound =
      slots->second * kUsablePerMille * window_us / busy_us;
  if (bound >= kAll)
    return kAll;
  return static_cast<std::uint32_t>(bound / kShareGranularity *
                                    kShareGranularity);
}

version_shares rollout_machine::SharesOf(const move_state& move,
                                         const timestamp& now) const {
  const version_id& from = move.spec.from_version;
  const version_id& to = move.spec.to_version;
  if (move.progress.verdict == move_verdict::kDone)
    return {{to, kAll}};
  const bool is_held = move.has_joined_late &&
                       now.steady < move.first_seen + settings_.join_delay;
  if (move.is_rolled_back() || is_held)
    return {{from, kAll}};
  const std::uint32_t share =
      std::min(move.progress.share_per_mille, CapacityPerMille(move, now));
  version_shares shares{{from, kAll - share}, {to, share}};
  std::erase_if(shares, [](const auto& entry) { return entry.second == 0; });
  return shares;
}

void rollout_machine::PublishShares(const timestamp& now, effects& out) {
  std::map<pool_id, version_shares> current;
  for (const auto& [pool, id] : newest_moves_)
    current[pool] = SharesOf(moves_.at(id), now);
  for (const auto& [pool, shares] : published_shares_) {
    if (!current.contains(pool))
      out.push_back(share_changed{pool, {}});
  }
  for (const auto& [pool, shares] : current) {
    const auto it = published_shares_.find(pool);
    if (it == published_shares_.end() || it->second != shares)
      out.push_back(share_changed{pool, shares});
  }
  published_shares_ = std::move(current);
}

}  // namespace dotterellead
