#include <algorithm>

#include "machine_impl.h"

namespace dotterellead {

void idempotency_machine::impl::On(const claim_batch& m) {
  if (!m.shard.is_valid())
    return;
  shard_position& shard = shards_[m.shard.value()];
  retention_ = m.retention;
  if (shard.next_offset < m.first.value())
    return On(claim_shard_truncated{m.shard, m.first});
  shard.is_readable = true;
  shard.was_read = true;
  for (const positioned_claim_record& record : m.records) {
    if (record.offset.value() > shard.next_offset)
      return SetTail(m.shard);
    if (record.offset.value() == shard.next_offset)
      Replay(m.shard, record.record);
  }
  if (shard.next_offset < m.next.value()) {
    if (m.records.empty())
      SetTail(m.shard);
    return;
  }
  shard.is_caught_up = true;
  if (shard.next_offset == m.next.value())
    Requeue(scheduler_.OnTailRead(m.shard));
}

void idempotency_machine::impl::On(const claim_shard_unavailable& m) {
  if (!m.shard.is_valid())
    return;
  MarkUnread(shards_[m.shard.value()]);
  shards_[m.shard.value()].is_readable = false;
}

void idempotency_machine::impl::MarkUnread(shard_position& shard) const {
  if (shard.IsReady())
    shard.unread_since = now_.wall;
}

void idempotency_machine::impl::On(const claim_shard_truncated& m) {
  if (!m.shard.is_valid())
    return;
  shard_position& shard = shards_[m.shard.value()];
  if (shard.was_read) {
    shard.covered_from =
        unix_millis{now_.wall.value + limits::kMaxKeyClockSkew.count()};
    AbandonAttempts(m.shard);
  }
  MarkUnread(shard);
  shard.is_caught_up = false;
  shard.next_offset = m.first.value();
  SetTail(m.shard);
}

void idempotency_machine::impl::AbandonAttempts(claim_shard shard) {
  std::vector<idempotency_key> keys;
  for (const auto& [key, local] : local_keys_) {
    if (local.attempt && ShardOf(key) == shard)
      keys.push_back(key);
  }
  for (const idempotency_key& key : keys) {
    DenyAll(local_keys_[key], DenyLostRecords());
    RemoveIfIdle(key);
  }
}

void idempotency_machine::impl::SetTail(claim_shard shard) {
  Emit(set_claim_tail{shard, log_offset(shards_[shard.value()].next_offset)});
}

void idempotency_machine::impl::On(const append_result& m) {
  const auto ended = scheduler_.Finish(m, now_.steady);
  if (!ended || m.status != append_status::kAppended)
    return;
  const auto& [shard, sent] = *ended;
  for (const outgoing_record& item : sent.items) {
    const auto it = local_keys_.find(item.key);
    if (item.kind == outgoing_kind::kOutcome && it != local_keys_.end() &&
        it->second.claim && it->second.claim->sequence == item.sequence) {
      EmitFinished(item.key, *it->second.claim);
    }
  }
  // There are no records between the last read and the append, so it need not
  // be read back.
  if (m.first.value() != shards_[shard.value()].next_offset)
    return;
  for (const claim_log_record& record : sent.records)
    Replay(shard, record);
}

void idempotency_machine::impl::Requeue(
    const std::vector<outgoing_record>& lost) {
  for (const outgoing_record& item : lost) {
    if (!IsNeeded(item))
      continue;
    if (item.kind == outgoing_kind::kClaim)
      EnqueueClaim(item.key, *local_keys_[item.key].attempt);
    else
      Enqueue(item.kind, item.key, item.sequence);
  }
}

void idempotency_machine::impl::Replay(
    claim_shard shard,
    const std::optional<claim_log_record>& r) {
  ++shards_[shard.value()].next_offset;
  if (!r)
    return;
  const idempotency_key& key = std::visit(
      [](const auto& x) -> const auto& { return x.key; }, *r);
  // Order is defined within a shard only.
  if (ShardOf(key) != shard)
    return;
  const claim_change change = table_.Apply(*r, now_.steady);
  if (change == claim_change::kAcquired)
    OnClaimAcquired(key, std::get<claim_record>(*r));
  if (change == claim_change::kReleased)
    OnClaimReleased(key);
  if (change == claim_change::kCompleted)
    OnOutcome(key);
  if (const auto* claim = std::get_if<claim_record>(&*r)) {
    if (IsOwn(claim->writer))
      Requeue(scheduler_.OnOwnClaim(shard, claim->writer.sequence));
  }
  RemoveIfIdle(key);
}

void idempotency_machine::impl::OnClaimAcquired(const idempotency_key& key,
                                                const claim_record& claim) {
  if (!IsOwn(claim.writer)) {
    const auto it = local_keys_.find(key);
    if (it == local_keys_.end())
      return;
    it->second.attempt.reset();
    DenyOtherFingerprints(it->second, claim.fingerprint);
    return;
  }
  local_key& local = local_keys_[key];
  const request_id winner = RemoveWinner(key, local, claim);
  local.attempt.reset();
  local.claim = own_claim{.sequence = claim.writer.sequence, .request = winner};
  // Its callers were denied, so it must not run.
  if (!winner.is_valid())
    return VoidClaim(key, *local.claim);
  Decide(winner, claim_granted{});
}

request_id idempotency_machine::impl::RemoveWinner(const idempotency_key& key,
                                                   local_key& local,
                                                   const claim_record& claim) {
  if (!local.attempt ||
      std::ranges::find(local.attempt->sequences, claim.writer.sequence) ==
          local.attempt->sequences.end() ||
      CheckAge(shards_[ShardOf(key).value()], *KeyCreation(key))) {
    return {};
  }
  const auto it = std::ranges::find_if(
      local.waiting, [this](const waiting_request& waiting) {
        return now_.steady < waiting.deadline - kResponseMargin;
      });
  if (it == local.waiting.end())
    return {};
  const request_id winner = it->request;
  local.waiting.erase(it);
  return winner;
}

void idempotency_machine::impl::DenyOtherFingerprints(
    local_key& local,
    std::uint64_t fingerprint) {
  std::erase_if(local.waiting, [&](const waiting_request& waiting) {
    if (waiting.fingerprint == fingerprint)
      return false;
    Deny(waiting.request, DenyOtherFingerprint());
    return true;
  });
}

void idempotency_machine::impl::OnClaimReleased(const idempotency_key& key) {
  const auto it = local_keys_.find(key);
  if (it == local_keys_.end())
    return;
  it->second.claim.reset();
  if (!it->second.waiting.empty())
    StartAttempt(key, it->second);
}

void idempotency_machine::impl::OnOutcome(const idempotency_key& key) {
  const auto it = local_keys_.find(key);
  if (it == local_keys_.end())
    return;
  const saved_outcome& outcome = *table_.Find(key)->outcome;
  for (const waiting_request& waiting : std::exchange(it->second.waiting, {})) {
    DecideWithOutcome(waiting.request, outcome);
  }
  if (it->second.claim)
    EmitFinished(key, *it->second.claim);
  it->second.claim.reset();
}

}  // namespace dotterellead
