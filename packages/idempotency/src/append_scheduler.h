// Groups records into appends: one append in flight per shard, within this
// host's share of the log's append rate. Keeps what may have been lost until
// the log shows that it was not.
#ifndef DOTTERELLEAD_IDEMPOTENCY_SRC_APPEND_SCHEDULER_H_
#define DOTTERELLEAD_IDEMPOTENCY_SRC_APPEND_SCHEDULER_H_

#include <array>
#include <deque>

#include "dotterellead/idempotency.h"

namespace dotterellead {

enum class outgoing_kind { kClaim, kVoid, kOutcome };

// A record that is to get into the log. Its text is made when it is sent.
struct outgoing_record {
  outgoing_kind kind = outgoing_kind::kClaim;
  idempotency_key key;
  // Sequence of the claim that it makes, voids or settles.
  std::uint64_t sequence = 0;
  time_point since;
};

struct sent_append {
  std::uint64_t token = 0;
  std::vector<outgoing_record> items;
  std::vector<claim_log_record> records;
  time_point sent;
  // Reads up to the tail after which an append that was not seen is lost.
  int reads_until_lost = 0;
};

class append_scheduler {
 public:
  // Knows the contents of the records.
  class record_source {
   public:
    virtual ~record_source() = default;
    virtual bool IsNeeded(const outgoing_record& item) const = 0;
    // Called for needed records only.
    virtual claim_log_record Make(const outgoing_record& item) const = 0;
  };

  void SetHosts(std::size_t hosts);
  // Nothing waits to be sent or for a result.
  bool IsIdle() const;
  void Add(claim_shard shard, outgoing_record item);
  // The next append that the rate share allows now.
  std::optional<append_claim_records> Next(time_point now,
                                           const record_source& source);
  // Ends the append in flight and returns it; nullopt if the token is unknown.
  std::optional<std::pair<claim_shard, sent_append>> Finish(
      const append_result& result,
      time_point now);
  // The shard was read up to its tail. Returns what is shown to be lost.
  std::vector<outgoing_record> OnTailRead(claim_shard shard);
  // An own claim was read. Earlier appends that were not seen are lost.
  std::vector<outgoing_record> OnOwnClaim(claim_shard shard,
                                          std::uint64_t sequence);
  // Treats appends without any result as unknown.
  void ExpireResults(time_point now);

 private:
  struct shard_queue {
    std::deque<outgoing_record> waiting;
    std::optional<sent_append> in_flight;
    // Appends whose records were not seen in the log so far, oldest first.
    std::deque<sent_append> unseen;
    time_point retry_at;
    milliseconds backoff{0};
  };

  void Refill(time_point now);
  bool MaySend(const shard_queue& queue, time_point now) const;
  shard_queue* Choose(time_point now);
  void BackOff(shard_queue& queue, time_point now);
  void DropUnneeded(time_point now, const record_source& source);

  std::array<shard_queue, limits::kClaimShards> shards_;
  double rate_ = limits::kLogAppendsPerSecond;
  double tokens_ = 0;
  bool started_ = false;
  time_point refilled_;
  std::uint64_t next_token_ = 1;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_APPEND_SCHEDULER_H_
