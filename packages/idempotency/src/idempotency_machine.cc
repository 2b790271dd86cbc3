#include <algorithm>
#include <cctype>

#include "machine_impl.h"

namespace dotterellead {
namespace {

// Host clocks may differ by this much in addition to what callers' clocks may.
constexpr milliseconds kHostClockSkew{60'000};

// How old and how far in the future keys may be. A claim of a key that is
// `skew` ahead is dropped from the log when the key's age is retention - skew,
// so the oldest accepted key must be younger than that.
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
  out_ = &out;
  if (!started_)
    Start();
  std::visit([this](const auto& x) { On(x); }, m);
  Flush();
}

std::optional<time_point> idempotency_machine::impl::NextDeadline() const {
  if (!started_ || !local_.empty() || !scheduler_.IsIdle())
    return time_point();
  const std::optional<unix_millis> oldest = table_.OldestCreation();
  if (!oldest || retention_ == milliseconds(0))
    return std::nullopt;
  // The first millisecond in which the key is older than the retention. Each
  // read of the log asks again, so a step of the wall clock is made up for.
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
    return JoinHeldKey(key, *entry, request);
  if (std::optional<claim_denied> denied = CheckFreeKey(key, *created))
    return Deny(m.request, std::move(*denied));
  const auto it = local_.find(key);
  if (it != local_.end() && it->second.attempt) {
    if (it->second.attempt->fingerprint != m.fingerprint)
      return Deny(m.request, DenyOtherFingerprint());
    return Wait(key, request);
  }
  Wait(key, request);
  StartAttempt(key, local_[key]);
}

void idempotency_machine::impl::JoinHeldKey(const idempotency_key& key,
                                            const claim_entry& entry,
                                            const waiting_request& request) {
  if (entry.fingerprint != request.fingerprint)
    return Deny(request.request, DenyOtherFingerprint());
  if (entry.outcome)
    return AnswerOutcome(request.request, *entry.outcome);
  if (IsGone(entry))
    return Deny(request.request, DenyOwnerGone());
  if (requests_.size() >= options_.max_waiting)
    return Deny(request.request, DenyInProgress());
  Wait(key, request);
}

std::optional<claim_denied> idempotency_machine::impl::CheckFreeKey(
    const idempotency_key& key,
    unix_millis created) const {
  const shard_position& shard = shards_[ShardOf(key).value()];
  if (!shard.IsReady())
    return Unread(key, DenyLogUnreadable());
  if (std::optional<claim_denied> denied = CheckAge(shard, created))
    return denied;
  if (requests_.size() >= options_.max_waiting)
    return DenyOverload();
  return std::nullopt;
}

claim_denied idempotency_machine::impl::Unread(const idempotency_key& key,
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
  own_hold* hold = RunningHold(LowerCase(m.key));
  if (hold == nullptr) {
    Emit(claim_finished{m.request, m.key});
    return;
  }
  hold->phase = hold_phase::kFinishing;
  hold->outcome = m.outcome;
  if (m.outcome.body.size() > limits::kMaxSavedResponseBytes) {
    hold->outcome.truncated = true;
    hold->outcome.body.clear();
  }
  hold->finisher = m.request;
  hold->finish_until = now_.steady + limits::kOutcomeTimeout;
  Enqueue(outgoing_kind::kOutcome, LowerCase(m.key), hold->sequence);
}

void idempotency_machine::impl::On(const void_claim& m) {
  const idempotency_key key = LowerCase(m.key);
  if (own_hold* hold = RunningHold(key))
    BeginVoid(key, *hold);
}

void idempotency_machine::impl::On(const withdraw_claim& m) {
  if (const auto it = requests_.find(m.request); it != requests_.end()) {
    const idempotency_key key = it->second;
    std::erase_if(local_[key].waiting, [&](const waiting_request& w) {
      return w.request == m.request;
    });
    requests_.erase(it);
    return Settle(key);
  }
  for (auto& [key, local] : local_) {
    if (local.hold && local.hold->request == m.request &&
        local.hold->phase == hold_phase::kRunning) {
      return BeginVoid(key, *local.hold);
    }
  }
}

void idempotency_machine::impl::Wait(const idempotency_key& key,
                                     const waiting_request& request) {
  local_[key].waiting.push_back(request);
  requests_[request.request] = key;
}

void idempotency_machine::impl::StartAttempt(const idempotency_key& key,
                                             local_key& local) {
  local.attempt =
      claim_attempt{.fingerprint = local.waiting.front().fingerprint,
                    .give_up = now_.steady + options_.claim_wait};
  EnqueueClaim(key, *local.attempt);
}

void idempotency_machine::impl::EnqueueClaim(const idempotency_key& key,
                                             claim_attempt& attempt) {
  attempt.sequences.push_back(next_sequence_++);
  Enqueue(outgoing_kind::kClaim, key, attempt.sequences.back());
}

void idempotency_machine::impl::BeginVoid(const idempotency_key& key,
                                          own_hold& hold) {
  hold.phase = hold_phase::kVoiding;
  Enqueue(outgoing_kind::kVoid, key, hold.sequence);
}

void idempotency_machine::impl::Enqueue(outgoing_kind kind,
                                        const idempotency_key& key,
                                        std::uint64_t sequence) {
  scheduler_.Add(ShardOf(key), {kind, key, sequence, now_.steady});
}

own_hold* idempotency_machine::impl::RunningHold(const idempotency_key& key) {
  const auto it = local_.find(key);
  if (it == local_.end() || !it->second.hold ||
      it->second.hold->phase != hold_phase::kRunning) {
    return nullptr;
  }
  return &*it->second.hold;
}

void idempotency_machine::impl::Answer(
    request_id request,
    decltype(claim_answer::decision) decision) {
  requests_.erase(request);
  Emit(claim_answer{request, std::move(decision)});
}

void idempotency_machine::impl::Deny(request_id request, claim_denied denied) {
  Answer(request, std::move(denied));
}

void idempotency_machine::impl::AnswerOutcome(request_id request,
                                              const saved_outcome& outcome) {
  if (outcome.run == run_state::kDone)
    Answer(request, outcome);
  else
    Deny(request, DenyOutcomeUnknown());
}

void idempotency_machine::impl::DenyAll(local_key& local,
                                        const claim_denied& denied) {
  for (const waiting_request& waiting : std::exchange(local.waiting, {}))
    Deny(waiting.request, denied);
}

void idempotency_machine::impl::TellFinished(const idempotency_key& key,
                                             own_hold& hold) {
  if (!hold.finisher.is_valid())
    return;
  Emit(claim_finished{hold.finisher, key});
  hold.finisher = request_id();
}

void idempotency_machine::impl::Settle(const idempotency_key& key) {
  const auto it = local_.find(key);
  if (it == local_.end())
    return;
  if (it->second.waiting.empty())
    it->second.attempt.reset();
  if (it->second.IsIdle())
    local_.erase(it);
}

void idempotency_machine::impl::On(const live_members& m) {
  live_.clear();
  for (const live_member& member : m.members)
    live_[member.member] = member.incarnation;
  knows_members_ = true;
  scheduler_.SetHosts(m.hosts);
  ExpireWaiting();
}

bool idempotency_machine::impl::IsOwn(const claim_writer& writer) const {
  return writer.member == options_.member &&
         writer.incarnation == options_.incarnation;
}

bool idempotency_machine::impl::IsGone(const claim_entry& entry) const {
  const claim_writer& holder = entry.holder;
  if (IsOwn(holder))
    return false;
  if (holder.member == options_.member)
    return true;
  if (!knows_members_)
    return false;
  const auto it = live_.find(holder.member);
  if (it != live_.end() && it->second >= holder.incarnation)
    return it->second > holder.incarnation;
  // A host that has just started may not be listed yet.
  return now_.steady - entry.seen >= limits::kSuspectTimeout;
}

void idempotency_machine::impl::On(const tick&) {
  scheduler_.ExpireResults(now_.steady);
  ExpireWaiting();
  DropOldKeys();
}

void idempotency_machine::impl::Start() {
  started_ = true;
  for (std::uint64_t i = 0; i < limits::kClaimShards; ++i) {
    shards_[i].unread_since = now_.wall;
    SetTail(claim_shard(i));
  }
}

void idempotency_machine::impl::ExpireWaiting() {
  std::vector<idempotency_key> keys;
  for (const auto& [key, local] : local_)
    keys.push_back(key);
  for (const idempotency_key& key : keys) {
    Expire(key, local_[key]);
    Settle(key);
  }
}

void idempotency_machine::impl::Expire(const idempotency_key& key,
                                       local_key& local) {
  if (local.hold && now_.steady >= local.hold->finish_until)
    TellFinished(key, *local.hold);
  const claim_entry* entry = table_.Find(key);
  if (entry != nullptr && IsGone(*entry))
    return DenyAll(local, DenyOwnerGone());
  if (local.attempt && now_.steady >= local.attempt->give_up)
    return DenyAll(local, Unread(key, DenyUndecided()));
  std::erase_if(local.waiting, [&](const waiting_request& waiting) {
    if (now_.steady < waiting.deadline - kAnswerMargin)
      return false;
    Deny(waiting.request,
         entry ? DenyInProgress() : Unread(key, DenyDeadline()));
    return true;
  });
}

void idempotency_machine::impl::DropOldKeys() {
  if (retention_ == milliseconds(0))
    return;
  const unix_millis oldest{now_.wall.value - retention_.count()};
  table_.DropCreatedBefore(oldest);
  while (!local_.empty() && *KeyCreation(local_.begin()->first) < oldest) {
    local_key& local = local_.begin()->second;
    DenyAll(local, DenyOldKey());
    if (local.hold)
      TellFinished(local_.begin()->first, *local.hold);
    local_.erase(local_.begin());
  }
}

void idempotency_machine::impl::Flush() {
  while (auto append = scheduler_.Next(now_.steady, *this))
    Emit(std::move(*append));
}

bool idempotency_machine::impl::IsNeeded(const outgoing_record& item) const {
  const auto it = local_.find(item.key);
  if (it == local_.end())
    return false;
  const local_key& local = it->second;
  if (item.kind == outgoing_kind::kClaim) {
    return local.attempt && local.attempt->sequences.back() == item.sequence;
  }
  const hold_phase phase = item.kind == outgoing_kind::kVoid
                               ? hold_phase::kVoiding
                               : hold_phase::kFinishing;
  return local.hold && local.hold->sequence == item.sequence &&
         local.hold->phase == phase;
}

claim_log_record idempotency_machine::impl::Make(
    const outgoing_record& item) const {
  const local_key& local = local_.at(item.key);
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
  return outcome_record{item.key, writer, local.hold->outcome};
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
