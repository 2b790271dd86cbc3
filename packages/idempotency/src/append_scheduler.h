// Groups records into appends, with one append in flight per shard and within
// this host's share of the log's append rate. Keeps records whose append may
// have been lost until the log shows the outcome.
#ifndef DOTTERELLEAD_IDEMPOTENCY_SRC_APPEND_SCHEDULER_H_
#define DOTTERELLEAD_IDEMPOTENCY_SRC_APPEND_SCHEDULER_H_

#include <array>
#include <deque>

#include "dotterellead/idempotency.h"

namespace dotterellead {

enum class outgoing_kind { kClaim, kVoid, kOutcome };

// A record to be appended. Its contents are made when it is sent.
struct outgoing_record {
  outgoing_kind kind = outgoing_kind::kClaim;
  idempotency_key key;
  // Sequence of the claim that it makes, voids or completes.
  std::uint64_t sequence = 0;
  time_point queued_at;
};

// An append whose outcome is not known yet.
struct sent_append {
  std::uint64_t token = 0;
  std::vector<outgoing_record> items;
  std::vector<claim_log_record> records;
  time_point sent_at;
  // Number of reads up to the end of the log after which an append that was not
  // seen counts as lost.
  int reads_until_lost = 0;
};

// Not thread-safe.
class append_scheduler {
 public:
  // Provides the contents of records.
  class record_source {
   public:
    virtual ~record_source() = default;
    virtual bool IsNeeded(const outgoing_record& item) const = 0;
    // Called only for needed records.
    virtual claim_log_record Make(const outgoing_record& item) const = 0;
  };

  void SetHosts(std::size_t hosts);
  // Whether no record waits to be sent or for a result.
  bool IsEmpty() const;
  void Add(claim_shard shard, outgoing_record item);
  // Returns the next append that the rate permits now.
  std::optional<append_claim_records> Next(time_point now,
                                           const record_source& source);
  // Completes the append in flight and returns it; nullopt if the token is
  // unknown.
  std::optional<std::pair<claim_shard, sent_append>> Finish(
      const append_result& result,
      time_point now);
  // The shard was read up to its end. Returns the records that were lost.
  std::vector<outgoing_record> OnTailRead(claim_shard shard);
  // An own claim was read. Returns the records of earlier appends that were
  // lost.
  std::vector<outgoing_record> OnOwnClaim(claim_shard shard,
                                          std::uint64_t sequence);
  // Treats appends without a result for too long as unknown.
  void ExpireResults(time_point now);

 private:
  struct shard_queue {
    std::deque<outgoing_record> waiting;
    std::optional<sent_append> in_flight;
    // Appends whose records were not seen in the log yet, oldest first.
    std::deque<sent_append> unconfirmed;
    time_point retry_at;
    milliseconds backoff{0};
  };

  void Refill(time_point now);
  bool CanSend(const shard_queue& queue, time_point now) const;
  shard_queue* ChooseShard(time_point now);
  void StartBackoff(shard_queue& queue, time_point now);
  void RemoveUnneeded(time_point now, const record_source& source);

  std::array<shard_queue, limits::kClaimShards> shards_;
  double rate_ = limits::kLogAppendsPerSecond;
  double tokens_ = 0;
  bool is_started_ = false;
  time_point last_refill_;
  std::uint64_t next_token_ = 1;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_APPEND_SCHEDULER_H_
