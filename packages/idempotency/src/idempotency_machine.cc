#include <algorithm>
#include <cctype>

#include "machine_impl.h"

namespace dotterellead {
namespace {

// Maximum difference between host clocks, in addition to that of callers'
// clocks.
constexpr milliseconds kHostClockSkew{60'000};

// Limits on the creation time of keys. A claim of a key that is `skew` in the
// future is dropped from the log when the key's age is retention - skew, so
// accepted keys must be younger than that.
struct key_limits {
  milliseconds oldest;
  milliseconds skew;
};

key_limits LimitsFor(milliseconds retention) {
  const milliseconds margin =
      std::min(limits::kMaxKeyClockSkew + kHostClockSkew, retention / 4);
  return {retention - margin, margin * 5 / 6};
}

idempotency_key LowerCase(const idempotency_key& key) {
  std::string text = key.value();
  std::ranges::transform(text, text.begin(),
                         [](unsigned char c) { return std::tolower(c); });
  return idempotency_key(std::move(text));
}

}  // namespace

void idempotency_machine::impl::Step(const message& m,
                                     const timestamp& now,
                                     std::vector<effect>& out) {
  now_ = now;
  effects_ = &out;
  if (!is_started_)
    Start();
  std::visit([this](const auto& x) { On(x); }, m);
  SendAppends();
}

std::optional<time_point> idempotency_machine::impl::NextDeadline() const {
  if (!is_started_ || !local_keys_.empty() || !scheduler_.IsEmpty())
    return time_point();
  const std::optional<unix_millis> oldest = table_.OldestCreation();
  if (!oldest || retention_ == milliseconds(0))
    return std::nullopt;
  // The first millisecond in which the key is older than the retention. Each
  // read of the log checks again, in case the wall clock was stepped.
  const std::int64_t ends = oldest->value + retention_.count() + 1;
  return now_.steady + milliseconds(ends - now_.wall.value);
}

bool idempotency_machine::impl::IsReady() const {
  return std::ranges::all_of(
      shards_, [](const shard_position& shard) { return shard.IsReady(); });
}

void idempotency_machine::impl::On(const begin_claim& m) {
  const std::optional<unix_millis> created = KeyCreation(m.key);
  if (!created)
    return Deny(m.request, DenyKeyFormat());
  const idempotency_key key = LowerCase(m.key);
  const waiting_request request{m.request, m.fingerprint, m.deadline};
  if (const claim_entry* entry = table_.Find(key))
    return JoinClaimedKey(key, *entry, request);
  if (std::optional<claim_denied> denied = CheckFreeKey(key, *created))
    return Deny(m.request, std::move(*denied));
  const auto it = local_keys_.find(key);
  if (it != local_keys_.end() && it->second.attempt) {
    if (it->second.attempt->fingerprint != m.fingerprint)
      return Deny(m.request, DenyOtherFingerprint());
    return AddWaiting(key, request);
  }
  AddWaiting(key, request);
  StartAttempt(key, local_keys_[key]);
}

void idempotency_machine::impl::JoinClaimedKey(const idempotency_key& key,
                                               const claim_entry& entry,
                                               const waiting_request& request) {
  if (entry.fingerprint != request.fingerprint)
    return Deny(request.request, DenyOtherFingerprint());
  if (entry.outcome)
    return DecideWithOutcome(request.request, *entry.outcome);
  if (HasEnded(entry))
    return Deny(request.request, DenyOwnerEnded());
  if (requests_.size() >= options_.max_waiting)
    return Deny(request.request, DenyInProgress());
  AddWaiting(key, request);
}

std::optional<claim_denied> idempotency_machine::impl::CheckFreeKey(
    const idempotency_key& key,
    unix_millis created) const {
  const shard_position& shard = shards_[ShardOf(key).value()];
  if (!shard.IsReady())
    return MarkPossiblyRun(key, DenyLogUnreadable());
  if (std::optional<claim_denied> denied = CheckAge(shard, created))
    return denied;
  if (requests_.size() >= options_.max_waiting)
    return DenyOverload();
  return std::nullopt;
}

claim_denied idempotency_machine::impl::MarkPossiblyRun(
    const idempotency_key& key,
    claim_denied denied) const {
  const shard_position& shard = shards_[ShardOf(key).value()];
  if (!shard.IsReady() && *KeyCreation(key) < shard.unread_since)
    denied.run = run_state::kUnknown;
  return denied;
}

std::optional<claim_denied> idempotency_machine::impl::CheckAge(
    const shard_position& shard,
    unix_millis created) const {
  const key_limits allowed = LimitsFor(retention_);
  const std::int64_t age = now_.wall.value - created.value;
  if (age > allowed.oldest.count())
    return DenyOldKey();
  if (-age > allowed.skew.count())
    return DenyFutureKey();
  if (created < shard.covered_from)
    return DenyLostRecords();
  return std::nullopt;
}

void idempotency_machine::impl::On(const finish_claim& m) {
  own_claim* hold = FindRunningClaim(LowerCase(m.key));
  if (hold == nullptr) {
    Emit(claim_finished{m.request, m.key});
    return;
  }
  hold->phase = claim_phase::kFinishing;
  hold->outcome = m.outcome;
  if (m.outcome.body.size() > limits::kMaxSavedResponseBytes) {
    hold->outcome.truncated = true;
    hold->outcome.body.clear();
  }
  hold->finishing_request = m.request;
  hold->finish_deadline = now_.steady + limits::kOutcomeTimeout;
  Enqueue(outgoing_kind::kOutcome, LowerCase(m.key), hold->sequence);
}

void idempotency_machine::impl::On(const void_claim& m) {
  const idempotency_key key = LowerCase(m.key);
  if (own_claim* hold = FindRunningClaim(key))
    VoidClaim(key, *hold);
}

void idempotency_machine::impl::On(const cancel_claim& m) {
  if (const auto it = requests_.find(m.request); it != requests_.end()) {
    const idempotency_key key = it->second;
    std::erase_if(local_keys_[key].waiting, [&](const waiting_request& w) {
      return w.request == m.request;
    });
    requests_.erase(it);
    return RemoveIfIdle(key);
  }
  for (auto& [key, local] : local_keys_) {
    if (local.claim && local.claim->request == m.request &&
        local.claim->phase == claim_phase::kRunning) {
      return VoidClaim(key, *local.claim);
    }
  }
}

void idempotency_machine::impl::AddWaiting(const idempotency_key& key,
                                           const waiting_request& request) {
  local_keys_[key].waiting.push_back(request);
  requests_[request.request] = key;
}

void idempotency_machine::impl::StartAttempt(const idempotency_key& key,
                                             local_key& local) {
  local.attempt =
      claim_attempt{.fingerprint = local.waiting.front().fingerprint,
                    .deadline = now_.steady + options_.claim_timeout};
  EnqueueClaim(key, *local.attempt);
}

void idempotency_machine::impl::EnqueueClaim(const idempotency_key& key,
                                             claim_attempt& attempt) {
  attempt.sequences.push_back(next_sequence_++);
  Enqueue(outgoing_kind::kClaim, key, attempt.sequences.back());
}

void idempotency_machine::impl::VoidClaim(const idempotency_key& key,
                                          own_claim& hold) {
  hold.phase = claim_phase::kVoiding;
  Enqueue(outgoing_kind::kVoid, key, hold.sequence);
}

void idempotency_machine::impl::Enqueue(outgoing_kind kind,
                                        const idempotency_key& key,
                                        std::uint64_t sequence) {
  scheduler_.Add(ShardOf(key), {kind, key, sequence, now_.steady});
}

own_claim* idempotency_machine::impl::FindRunningClaim(
    const idempotency_key& key) {
  const auto it = local_keys_.find(key);
  if (it == local_keys_.end() || !it->second.claim ||
      it->second.claim->phase != claim_phase::kRunning) {
    return nullptr;
  }
  return &*it->second.claim;
}

void idempotency_machine::impl::Decide(
    request_id request,
    decltype(claim_result::decision) decision) {
  requests_.erase(request);
  Emit(claim_result{request, std::move(decision)});
}

void idempotency_machine::impl::Deny(request_id request, claim_denied denied) {
  Decide(request, std::move(denied));
}

void idempotency_machine::impl::DecideWithOutcome(
    request_id request,
    const saved_outcome& outcome) {
  if (outcome.run == run_state::kDone)
    Decide(request, outcome);
  else
    Deny(request, DenyOutcomeUnknown());
}

void idempotency_machine::impl::DenyAll(local_key& local,
                                        const claim_denied& denied) {
  for (const waiting_request& waiting : std::exchange(local.waiting, {}))
    Deny(waiting.request, denied);
}

void idempotency_machine::impl::EmitFinished(const idempotency_key& key,
                                             own_claim& hold) {
  if (!hold.finishing_request.is_valid())
    return;
  Emit(claim_finished{hold.finishing_request, key});
  hold.finishing_request = request_id();
}

void idempotency_machine::impl::RemoveIfIdle(const idempotency_key& key) {
  const auto it = local_keys_.find(key);
  if (it == local_keys_.end())
    return;
  if (it->second.waiting.empty())
    it->second.attempt.reset();
  if (it->second.IsIdle())
    local_keys_.erase(it);
}

void idempotency_machine::impl::On(const live_members& m) {
  live_members_.clear();
  for (const live_member& member : m.members)
    live_members_[member.member] = member.incarnation;
  knows_members_ = true;
  scheduler_.SetHosts(m.hosts);
  ExpireWaiting();
}

bool idempotency_machine::impl::IsOwn(const claim_writer& writer) const {
  return writer.member == options_.member &&
         writer.incarnation == options_.incarnation;
}

bool idempotency_machine::impl::HasEnded(const claim_entry& entry) const {
  const claim_writer& holder = entry.holder;
  if (IsOwn(holder))
    return false;
  if (holder.member == options_.member)
    return true;
  if (!knows_members_)
    return false;
  const auto it = live_members_.find(holder.member);
  if (it != live_members_.end() && it->second >= holder.incarnation)
    return it->second > holder.incarnation;
  // A host that has just started may not be listed yet.
  return now_.steady - entry.replayed_at >= limits::kSuspectTimeout;
}

void idempotency_machine::impl::On(const tick&) {
  scheduler_.ExpireResults(now_.steady);
  ExpireWaiting();
  RemoveOldKeys();
}

void idempotency_machine::impl::Start() {
  is_started_ = true;
  for (std::uint64_t i = 0; i < limits::kClaimShards; ++i) {
    shards_[i].unread_since = now_.wall;
    SetTail(claim_shard(i));
  }
}

void idempotency_machine::impl::ExpireWaiting() {
  std::vector<idempotency_key> keys;
  for (const auto& [key, local] : local_keys_)
    keys.push_back(key);
  for (const idempotency_key& key : keys) {
    ExpireKey(key, local_keys_[key]);
    RemoveIfIdle(key);
  }
}

void idempotency_machine::impl::ExpireKey(const idempotency_key& key,
                                          local_key& local) {
  if (local.claim && now_.steady >= local.claim->finish_deadline)
    EmitFinished(key, *local.claim);
  const claim_entry* entry = table_.Find(key);
  if (entry != nullptr && HasEnded(*entry))
    return DenyAll(local, DenyOwnerEnded());
  if (local.attempt && now_.steady >= local.attempt->deadline)
    return DenyAll(local, MarkPossiblyRun(key, DenyUndecided()));
  std::erase_if(local.waiting, [&](const waiting_request& waiting) {
    if (now_.steady < waiting.deadline - kResponseMargin)
      return false;
    Deny(waiting.request,
         entry ? DenyInProgress() : MarkPossiblyRun(key, DenyDeadline()));
    return true;
  });
}

void idempotency_machine::impl::RemoveOldKeys() {
  if (retention_ == milliseconds(0))
    return;
  const unix_millis oldest{now_.wall.value - retention_.count()};
  table_.RemoveCreatedBefore(oldest);
  while (!local_keys_.empty() &&
         *KeyCreation(local_keys_.begin()->first) < oldest) {
    local_key& local = local_keys_.begin()->second;
    DenyAll(local, DenyOldKey());
    if (local.claim)
      EmitFinished(local_keys_.begin()->first, *local.claim);
    local_keys_.erase(local_keys_.begin());
  }
}

void idempotency_machine::impl::SendAppends() {
  while (auto append = scheduler_.Next(now_.steady, *this))
    Emit(std::move(*append));
}

bool idempotency_machine::impl::IsNeeded(const outgoing_record& item) const {
  const auto it = local_keys_.find(item.key);
  if (it == local_keys_.end())
    return false;
  const local_key& local = it->second;
  if (item.kind == outgoing_kind::kClaim) {
    return local.attempt && local.attempt->sequences.back() == item.sequence;
  }
  const claim_phase phase = item.kind == outgoing_kind::kVoid
                                ? claim_phase::kVoiding
                                : claim_phase::kFinishing;
  return local.claim && local.claim->sequence == item.sequence &&
         local.claim->phase == phase;
}

claim_log_record idempotency_machine::impl::Make(
    const outgoing_record& item) const {
  const local_key& local = local_keys_.at(item.key);
  const claim_writer writer{options_.member, options_.incarnation,
                            item.sequence};
  switch (item.kind) {
    case outgoing_kind::kClaim:
      return claim_record{item.key, writer, local.attempt->fingerprint};
    case outgoing_kind::kVoid:
      return void_record{item.key, writer};
    case outgoing_kind::kOutcome:
      break;
  }
  return outcome_record{item.key, writer, local.claim->outcome};
}

idempotency_machine::idempotency_machine(idempotency_options options)
    : impl_(std::make_unique<impl>(std::move(options))) {}

idempotency_machine::~idempotency_machine() = default;
idempotency_machine::idempotency_machine(idempotency_machine&&) noexcept =
    default;

void idempotency_machine::Step(const message& m,
                               const timestamp& now,
                               std::vector<effect>& out) {
  impl_->Step(m, now, out);
}

std::optional<time_point> idempotency_machine::NextDeadline() const {
  return impl_->NextDeadline();
}

bool idempotency_machine::IsReady() const {
  return impl_->IsReady();
}

std::size_t idempotency_machine::size() const {
  return impl_->size();
}

}  // namespace dotterellead
