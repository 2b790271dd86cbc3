// At-most-once execution of requests with an idempotency key, in the standalone
// mode. The order of records in the log's claim streams decides which claim may
// run; every host replays the same records and so reaches the same decision.
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
#include "dotterellead/platform_client.h"

namespace dotterellead {

// Index of a claim stream, from 0 to limits::kClaimShards - 1.
using claim_shard = number_id<struct claim_shard_tag>;

// ---- Records in the log

// Identifies a claim uniquely.
struct claim_writer {
  member_id member;
  incarnation_id incarnation;
  std::uint64_t sequence = 0;
  auto operator<=>(const claim_writer&) const = default;
};

// Claims the right to run `key`. The claim acquires the key if no other claim
// holds it at that offset; otherwise it never does.
struct claim_record {
  idempotency_key key;
  claim_writer writer;
  std::uint64_t fingerprint = 0;
  bool operator==(const claim_record&) const = default;
};

// Releases the key. Valid only if `writer` holds the key without an outcome.
struct void_record {
  idempotency_key key;
  claim_writer writer;
  bool operator==(const void_record&) const = default;
};

// Outcome of the run of a key.
struct saved_outcome {
  // kDone, or kUnknown if the request may have run but its response was lost.
  run_state run = run_state::kDone;
  int status = 0;
  http_headers headers;
  // Empty if the body was larger than limits::kMaxSavedResponseBytes.
  std::string body;
  // Whether the body was too large to be saved.
  bool truncated = false;
  // StableHash of the complete body.
  std::uint64_t body_digest = 0;
  bool operator==(const saved_outcome&) const = default;
};

// Records the outcome of the run of a key.
struct outcome_record {
  idempotency_key key;
  claim_writer writer;
  saved_outcome outcome;
  bool operator==(const outcome_record&) const = default;
};

using claim_log_record =
    std::variant<claim_record, void_record, outcome_record>;

// ---- Messages

// Asks whether a request may run. Answered by exactly one claim_result, unless
// it is cancelled first.
struct begin_claim {
  request_id request;
  idempotency_key key;
  // Digest of the request. A key belongs to one fingerprint.
  std::uint64_t fingerprint = 0;
  time_point deadline;
};

// The granted request ended with `outcome`. Answered by claim_finished.
struct finish_claim {
  request_id request;
  idempotency_key key;
  saved_outcome outcome;
};

// The granted request certainly did not run and will not.
struct void_claim {
  idempotency_key key;
};

// Nobody waits for this request's claim_result any more. If the claim was
// granted, it is released.
struct cancel_claim {
  request_id request;
};

struct positioned_claim_record {
  log_offset offset;
  // Empty if the record is malformed. Every host ignores such a record.
  std::optional<claim_log_record> record;
};

// Consecutive records read from a claim stream.
struct claim_batch {
  claim_shard shard;
  std::vector<positioned_claim_record> records;
  log_offset first;
  log_offset next;
  milliseconds retention{0};
};

// The claim stream cannot be read now.
struct claim_shard_unavailable {
  claim_shard shard;
};

// The requested offset is no longer, or not yet, in the log.
struct claim_shard_truncated {
  claim_shard shard;
  log_offset first;
};

struct live_member {
  member_id member;
  incarnation_id incarnation;
};

// The live entry hosts.
struct live_members {
  std::vector<live_member> members;
  // Number of hosts that share the append rate, this one included.
  std::size_t hosts = 1;
};

// ---- Effects

// The request may be sent, once.
struct claim_granted {};

// The request must not be sent.
struct claim_denied {
  int status = 503;
  run_state run = run_state::kNotRun;
  std::string problem;
  std::string remedy;
};

struct claim_result {
  request_id request;
  std::variant<claim_granted, saved_outcome, claim_denied> decision;
};

// The outcome is in the log, or limits::kOutcomeTimeout has passed.
struct claim_finished {
  request_id request;
  idempotency_key key;
};

// Appends these records atomically. The append_result has the same token.
struct append_claim_records {
  claim_shard shard;
  std::uint64_t token = 0;
  std::vector<claim_log_record> records;
};

// Sets the offset from which the shard is read.
struct set_claim_tail {
  claim_shard shard;
  log_offset offset;
};

// ---- State machine

struct idempotency_options {
  member_id member;
  // Must be higher than in any earlier process with the same member id.
  incarnation_id incarnation;
  // A claim that the log has not decided in this time is denied.
  milliseconds claim_timeout{2'000};
  // Maximum number of requests that wait on this host.
  std::size_t max_waiting = 4'096;
};

// Decides which requests may run. Needs a tick every 20 ms while one is due.
// Not thread-safe.
class idempotency_machine {
 public:
  using message = std::variant<begin_claim,
                               finish_claim,
                               void_claim,
                               cancel_claim,
                               claim_batch,
                               claim_shard_unavailable,
                               claim_shard_truncated,
                               append_result,
                               live_members,
                               tick>;
  using effect = std::variant<claim_result,
                              claim_finished,
                              append_claim_records,
                              set_claim_tail>;

  explicit idempotency_machine(idempotency_options options);
  ~idempotency_machine();
  idempotency_machine(idempotency_machine&&) noexcept;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Every tick while requests of this host are in progress; otherwise when the
  // oldest key expires.
  std::optional<time_point> NextDeadline() const;

  // Whether every shard is readable and was read up to its end.
  bool IsReady() const;
  // Number of keys in memory.
  std::size_t size() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

// ---- Keys, shards, codec

// Creation time of a version 7 UUID; nullopt if `key` is not one.
std::optional<unix_millis> KeyCreation(const idempotency_key& key);
// The claim stream of a key.
claim_shard ShardOf(const idempotency_key& key);

// The stream's name, "claims-N".
stream_id ClaimStream(claim_shard shard);
// Invalid if `stream` is not a claim stream.
claim_shard ClaimShard(const stream_id& stream);

// Makes the outcome of a response. A body larger than
// limits::kMaxSavedResponseBytes is replaced by its digest.
saved_outcome MakeSavedOutcome(const http_answer& answer);

// Encodes a record as compact JSON. Decoding throws protocol_error if it is
// malformed.
std::string EncodeClaimRecord(const claim_log_record& record);
claim_log_record DecodeClaimRecord(std::string_view text);

append_request EncodeClaimAppend(const append_claim_records& append);
// Converts an event of a claim stream into a message of the machine.
idempotency_machine::message DecodeClaimEvent(const log_event& news);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_H_
