// Implementation of idempotency_machine: the requests of this host, and the
// replay of the claim streams that decides them.
#ifndef DOTTERELLEAD_IDEMPOTENCY_SRC_MACHINE_IMPL_H_
#define DOTTERELLEAD_IDEMPOTENCY_SRC_MACHINE_IMPL_H_

#include <array>
#include <map>

#include "append_scheduler.h"
#include "claim_denials.h"
#include "claim_table.h"

namespace dotterellead {

// A waiting request is decided this long before its deadline, so that its
// thread receives the decision in time.
inline constexpr milliseconds kResponseMargin{30};

// A request that waits for a decision.
struct waiting_request {
  request_id request;
  std::uint64_t fingerprint = 0;
  time_point deadline;
};

// A claim that this host is appending. No other claim holds the key as far as
// this host has read.
struct claim_attempt {
  // One sequence for each append that may have been lost.
  std::vector<std::uint64_t> sequences;
  std::uint64_t fingerprint = 0;
  time_point deadline;
};

enum class claim_phase { kRunning, kFinishing, kVoiding };

// A claim of this process that holds its key.
struct own_claim {
  std::uint64_t sequence = 0;
  request_id request;
  claim_phase phase = claim_phase::kRunning;
  saved_outcome outcome;
  // The request that waits for the outcome to be in the log, and until when.
  request_id finishing_request;
  time_point finish_deadline;
};

// State of a key on this host, in addition to the claim table.
struct local_key {
  std::vector<waiting_request> waiting;
  std::optional<claim_attempt> attempt;
  std::optional<own_claim> claim;
  bool IsIdle() const { return waiting.empty() && !attempt && !claim; }
};

// Progress of reading one claim stream.
struct shard_position {
  // Offset of the next record to replay.
  std::uint64_t next_offset = 0;
  bool was_read = false;
  bool is_readable = false;
  bool is_caught_up = false;
  // Since when this host cannot read all claims.
  unix_millis unread_since;
  // Claims of keys created before may have been dropped unread.
  unix_millis covered_from{INT64_MIN};
  bool IsReady() const { return is_readable && is_caught_up; }
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
  void JoinClaimedKey(const idempotency_key& key,
                      const claim_entry& entry,
                      const waiting_request& request);
  // Returns why a key that no claim holds must not be claimed now, if so.
  std::optional<claim_denied> CheckFreeKey(const idempotency_key& key,
                                           unix_millis created) const;
  // Changes "not-run" to "unknown" for a key that an earlier, unread attempt
  // may have run: one created before claims became unreadable. Later keys
  // cannot be claimed while the log is unavailable.
  claim_denied MarkPossiblyRun(const idempotency_key& key,
                               claim_denied denied) const;
  std::optional<claim_denied> CheckAge(const shard_position& shard,
                                       unix_millis created) const;
  void On(const finish_claim& m);
  void On(const void_claim& m);
  void On(const cancel_claim& m);
  void AddWaiting(const idempotency_key& key, const waiting_request& request);
  void StartAttempt(const idempotency_key& key, local_key& local);
  void EnqueueClaim(const idempotency_key& key, claim_attempt& attempt);
  void VoidClaim(const idempotency_key& key, own_claim& hold);
  void Enqueue(outgoing_kind kind,
               const idempotency_key& key,
               std::uint64_t sequence);
  own_claim* FindRunningClaim(const idempotency_key& key);

  // ---- Decisions

  template <class Effect>
  void Emit(Effect e) {
    effects_->emplace_back(std::in_place_type<Effect>, std::move(e));
  }
  void Decide(request_id request, decltype(claim_result::decision) decision);
  void Deny(request_id request, claim_denied denied);
  void DecideWithOutcome(request_id request, const saved_outcome& outcome);
  void DenyAll(local_key& local, const claim_denied& denied);
  void EmitFinished(const idempotency_key& key, own_claim& hold);
  // Removes the state of a key that no request needs any more.
  void RemoveIfIdle(const idempotency_key& key);

  // ---- The log

  void On(const claim_batch& m);
  void On(const claim_shard_unavailable& m);
  void MarkUnread(shard_position& shard) const;
  // Records were lost unread. Keys that they may have claimed are denied from
  // now on. On the first read these are older than any accepted key.
  void On(const claim_shard_truncated& m);
  void AbandonAttempts(claim_shard shard);
  void SetTail(claim_shard shard);
  void On(const append_result& m);
  void Requeue(const std::vector<outgoing_record>& lost);
  void Replay(claim_shard shard, const std::optional<claim_log_record>& r);
  void OnClaimAcquired(const idempotency_key& key, const claim_record& claim);
  // Removes and returns the waiting request that may run on this own claim; an
  // invalid id if there is none.
  request_id RemoveWinner(const idempotency_key& key,
                          local_key& local,
                          const claim_record& claim);
  void DenyOtherFingerprints(local_key& local, std::uint64_t fingerprint);
  // The key did not run, so a waiting request claims it again.
  void OnClaimReleased(const idempotency_key& key);
  void OnOutcome(const idempotency_key& key);

  // ---- Members and time

  void On(const live_members& m);
  bool IsOwn(const claim_writer& writer) const;
  // Whether the holder's process has certainly or probably ended. Affects only
  // how soon a retry gets "unknown".
  bool HasEnded(const claim_entry& entry) const;
  void On(const tick&);
  void Start();
  void ExpireWaiting();
  void ExpireKey(const idempotency_key& key, local_key& local);
  void RemoveOldKeys();

  // ---- Appends

  void SendAppends();
  bool IsNeeded(const outgoing_record& item) const override;
  claim_log_record Make(const outgoing_record& item) const override;

  idempotency_options options_;
  timestamp now_;
  std::vector<effect>* effects_ = nullptr;
  claim_table table_;
  append_scheduler scheduler_;
  std::array<shard_position, limits::kClaimShards> shards_;
  milliseconds retention_{0};
  std::map<idempotency_key, local_key> local_keys_;
  std::map<request_id, idempotency_key> requests_;
  std::map<member_id, incarnation_id> live_members_;
  bool knows_members_ = false;
  bool is_started_ = false;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_MACHINE_IMPL_H_
