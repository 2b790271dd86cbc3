// The at-most-once machine: the requests of this host, and the replay of the
// claim streams that decides them.
#ifndef DOTTERELLEAD_IDEMPOTENCY_SRC_MACHINE_IMPL_H_
#define DOTTERELLEAD_IDEMPOTENCY_SRC_MACHINE_IMPL_H_

#include <array>
#include <map>

#include "append_scheduler.h"
#include "claim_denials.h"
#include "claim_table.h"

namespace dotterellead {

// A waiting request is answered this long before its deadline, so that the
// answer arrives before its thread stops to wait.
inline constexpr milliseconds kAnswerMargin{30};

struct waiting_request {
  request_id request;
  std::uint64_t fingerprint = 0;
  time_point deadline;
};

// A claim that this host tries to get into the log. No other claim holds the
// key as far as this host has read.
struct claim_attempt {
  // A new one for each append that may have been lost.
  std::vector<std::uint64_t> sequences;
  std::uint64_t fingerprint = 0;
  time_point give_up;
};

enum class hold_phase { kRunning, kFinishing, kVoiding };

// A claim of this process that holds its key.
struct own_hold {
  std::uint64_t sequence = 0;
  request_id request;
  hold_phase phase = hold_phase::kRunning;
  saved_outcome outcome;
  // Who waits for the outcome to be in the log, and until when.
  request_id finisher;
  time_point finish_until;
};

// What this host does about a key, beside what the log says.
struct local_key {
  std::vector<waiting_request> waiting;
  std::optional<claim_attempt> attempt;
  std::optional<own_hold> hold;
  bool IsIdle() const { return waiting.empty() && !attempt && !hold; }
};

struct shard_position {
  // The next offset to replay.
  std::uint64_t next = 0;
  bool was_read = false;
  bool is_readable = false;
  bool caught_up = false;
  // When this host first noticed that it cannot read all claims.
  unix_millis unread_since;
  // Claims of keys created earlier may have been dropped unread.
  unix_millis covered_from{INT64_MIN};
  bool IsReady() const { return is_readable && caught_up; }
};

class idempotency_machine::impl : append_scheduler::record_source {
 public:
  explicit impl(idempotency_options options) : options_(std::move(options)) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  std::optional<time_point> NextDeadline() const;
  bool IsReady() const;
  std::size_t size() const { return table_.size(); }

 private:
  // ---- Requests

  void On(const begin_claim& m);
  void JoinHeldKey(const idempotency_key& key,
                   const claim_entry& entry,
                   const waiting_request& request);
  // Whether a key that no claim holds may be claimed now.
  std::optional<claim_denied> CheckFreeKey(const idempotency_key& key,
                                           unix_millis created) const;
  // Turns "not-run" into "unknown" for a key that an earlier attempt may have
  // run unseen: one older than the time since which claims go unread. Keys
  // created later cannot be claimed while the log is down.
  claim_denied Unread(const idempotency_key& key, claim_denied denied) const;
  std::optional<claim_denied> CheckAge(const shard_position& shard,
                                       unix_millis created) const;
  void On(const finish_claim& m);
  void On(const void_claim& m);
  void On(const withdraw_claim& m);
  void Wait(const idempotency_key& key, const waiting_request& request);
  void StartAttempt(const idempotency_key& key, local_key& local);
  void EnqueueClaim(const idempotency_key& key, claim_attempt& attempt);
  void BeginVoid(const idempotency_key& key, own_hold& hold);
  void Enqueue(outgoing_kind kind,
               const idempotency_key& key,
               std::uint64_t sequence);
  own_hold* RunningHold(const idempotency_key& key);

  // ---- Answers

  template <class Effect>
  void Emit(Effect e) {
    out_->emplace_back(std::in_place_type<Effect>, std::move(e));
  }
  void Answer(request_id request, decltype(claim_answer::decision) decision);
  void Deny(request_id request, claim_denied denied);
  void AnswerOutcome(request_id request, const saved_outcome& outcome);
  void DenyAll(local_key& local, const claim_denied& denied);
  void TellFinished(const idempotency_key& key, own_hold& hold);
  // Drops what has no purpose any more once the last request has left.
  void Settle(const idempotency_key& key);

  // ---- The log

  void On(const claim_batch& m);
  void On(const claim_shard_unavailable& m);
  void MarkUnread(shard_position& shard) const;
  // Records were lost unread. Keys that one of them may have claimed are
  // refused from now on. On a first read they are older than any key that is
  // accepted.
  void On(const claim_shard_truncated& m);
  void GiveUpAttempts(claim_shard shard);
  void SetTail(claim_shard shard);
  void On(const append_result& m);
  void Requeue(const std::vector<outgoing_record>& lost);
  void Replay(claim_shard shard, const std::optional<claim_log_record>& r);
  void OnHeld(const idempotency_key& key, const claim_record& claim);
  // Removes and returns the waiting request that may run on this own claim, or
  // an invalid id.
  request_id TakeWinner(const idempotency_key& key,
                        local_key& local,
                        const claim_record& claim);
  void DenyOtherFingerprints(local_key& local, std::uint64_t fingerprint);
  // The key did not run, so a request that waits for it claims it anew.
  void OnFreed(const idempotency_key& key);
  void OnSettled(const idempotency_key& key);

  // ---- Members and time

  void On(const live_members& m);
  bool IsOwn(const claim_writer& writer) const;
  // Whether the holder's process has certainly or probably ended. It decides
  // only how soon a resend is told "unknown".
  bool IsGone(const claim_entry& entry) const;
  void On(const tick&);
  void Start();
  void ExpireWaiting();
  void Expire(const idempotency_key& key, local_key& local);
  void DropOldKeys();

  // ---- Appends

  void Flush();
  bool IsNeeded(const outgoing_record& item) const override;
  claim_log_record Make(const outgoing_record& item) const override;

  idempotency_options options_;
  timestamp now_;
  std::vector<effect>* out_ = nullptr;
  claim_table table_;
  append_scheduler scheduler_;
  std::array<shard_position, limits::kClaimShards> shards_;
  milliseconds retention_{0};
  std::map<idempotency_key, local_key> local_;
  std::map<request_id, idempotency_key> requests_;
  std::map<member_id, incarnation_id> live_;
  bool knows_members_ = false;
  bool started_ = false;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_MACHINE_IMPL_H_
