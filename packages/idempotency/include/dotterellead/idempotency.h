// At-most-once execution of requests that carry an idempotency key. The order
// of records in the log's claim streams decides which claim may run; every host
// replays the same records and so reaches the same decision.
#ifndef DOTTERELLEAD_IDEMPOTENCY_H_
#define DOTTERELLEAD_IDEMPOTENCY_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/http.h"
#include "dotterellead/platform.h"

namespace dotterellead {

// One of the claim streams, counted from 0 to limits::kClaimShards - 1.
using claim_shard = number_id<struct claim_shard_tag>;

// ---- Records in the log

// Names one claim. No two claims have the same writer.
struct claim_writer {
  member_id member;
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  auto operator<=>(const claim_writer&) const = default;
};

// Asks for the right to run `key`. It holds the key if no other claim holds it
// at that offset; otherwise it never does.
struct claim_record {
  idempotency_key key;
  claim_writer writer;
  std::uint64_t fingerprint = 0;
  bool operator==(const claim_record&) const = default;
};

// Gives the key back. Counts only if `writer` holds the key without an outcome.
struct void_record {
  idempotency_key key;
  claim_writer writer;
  bool operator==(const void_record&) const = default;
};

// What came of the run of a key.
struct saved_outcome {
  // kDone, or kUnknown if the request may have run but its answer is lost.
  run_state run = run_state::kDone;
  int status = 0;
  http_headers headers;
  // Empty if the body was larger than limits::kMaxOutcomeBytes.
  std::string body;
  bool truncated = false;
  // StableHash of the whole body.
  std::uint64_t body_digest = 0;
  bool operator==(const saved_outcome&) const = default;
};

struct outcome_record {
  idempotency_key key;
  claim_writer writer;
  saved_outcome outcome;
  bool operator==(const outcome_record&) const = default;
};

using claim_log_record =
    std::variant<claim_record, void_record, outcome_record>;

// ---- Messages

// A request wants to run. Each gets exactly one claim_answer, unless it is
// withdrawn first.
struct begin_claim {
  request_id request;
  idempotency_key key;
  // Digest of the request; a key belongs to one fingerprint.
  std::uint64_t fingerprint = 0;
  time_point deadline;
};

// The granted request ended with `outcome`. `request` comes back in
// claim_finished.
struct finish_claim {
  request_id request;
  idempotency_key key;
  saved_outcome outcome;
};

// The granted request certainly did not run and will not.
struct void_claim {
  idempotency_key key;
};

// Nobody waits for this request's claim_answer any more. If it was granted, the
// claim is given back.
struct withdraw_claim {
  request_id request;
};

struct positioned_claim_record {
  log_offset offset;
  // Empty if the record's text is malformed. Every host ignores such a record.
  std::optional<claim_log_record> record;
};

// Records read from a claim stream, in order.
struct claim_batch {
  claim_shard shard;
  std::vector<positioned_claim_record> records;
  log_offset first;
  log_offset next;
  milliseconds retention{0};
};

struct claim_shard_unavailable {
  claim_shard shard;
};

// The offset that was asked for is no longer, or not yet, in the log.
struct claim_shard_truncated {
  claim_shard shard;
  log_offset first;
};

struct live_member {
  member_id member;
  incarnation_id incarnation;
};

struct live_members {
  std::vector<live_member> members;
  // Hosts that share the append rate, this one included.
  std::size_t hosts = 1;
};

// ---- Effects

// The request may be sent, once.
struct claim_granted {};

struct claim_denied {
  int status = 503;
  run_state run = run_state::kNotRun;
  std::string problem;
  std::string remedy;
};

struct claim_answer {
  request_id request;
  std::variant<claim_granted, saved_outcome, claim_denied> decision;
};

// The outcome is in the log, or limits::kOutcomeWait has passed.
struct claim_finished {
  request_id request;
  idempotency_key key;
};

// Append these records as one unit; its append_result has the same token.
struct append_claim_records {
  claim_shard shard;
  std::uint64_t token = 0;
  std::vector<claim_log_record> records;
};

// Read the shard from this offset on.
struct set_claim_tail {
  claim_shard shard;
  log_offset offset;
};

// ---- The machine

struct idempotency_options {
  member_id member;
  // Must be higher than that of any earlier process with the same member id.
  incarnation_id incarnation;
  // A claim that the log has not decided in this time is refused.
  milliseconds claim_wait{2'000};
  // Requests that may wait on this host at once.
  std::size_t max_waiting = 4'096;
};

// Decides which requests may run. Tick every 20 ms while a tick is due.
class idempotency_machine {
 public:
  using message = std::variant<begin_claim,
                               finish_claim,
                               void_claim,
                               withdraw_claim,
                               claim_batch,
                               claim_shard_unavailable,
                               claim_shard_truncated,
                               append_result,
                               live_members,
                               tick>;
  using effect = std::variant<claim_answer,
                              claim_finished,
                              append_claim_records,
                              set_claim_tail>;

  explicit idempotency_machine(idempotency_options options);
  ~idempotency_machine();
  idempotency_machine(idempotency_machine&&) noexcept;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Work of this host's requests needs each tick; without any, only the oldest
  // key's end does.
  std::optional<time_point> NextDeadline() const;

  // True once every shard was read up to its tail and can be read.
  bool IsReady() const;
  // Keys held in memory.
  std::size_t size() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// ---- Keys, shards, codec

// Creation time of a version 7 UUID, or nullopt if `key` is not one.
std::optional<unix_millis> KeyCreation(const idempotency_key& key);
claim_shard ShardOf(const idempotency_key& key);

// "claims-0" and so on.
stream_id ClaimStream(claim_shard shard);
// Invalid if `stream` is not a claim stream.
claim_shard ClaimShard(const stream_id& stream);

// Keeps status and digest only if the body is larger than
// limits::kMaxOutcomeBytes.
saved_outcome MakeOutcome(const http_answer& answer);

// One record as compact JSON. Decoding throws protocol_error if it is
// malformed.
std::string EncodeClaimRecord(const claim_log_record& record);
claim_log_record DecodeClaimRecord(std::string_view text);

append_request EncodeClaimAppend(const append_claim_records& append);
// What the log's tail reported about a claim stream, as a message.
idempotency_machine::message DecodeClaimNews(const log_news& news);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_H_
