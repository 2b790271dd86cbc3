// Retry budgets, and the quarantine of requests that crash backend servers, in
// the standalone mode.
#ifndef DOTTERELLEAD_ADMISSION_H_
#define DOTTERELLEAD_ADMISSION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead {

// ---- Messages between hosts

// A host's knowledge of the crashes caused by a fingerprint. Part of most peer
// messages, so that any of them spreads strikes.
struct strike_record {
  request_fingerprint fingerprint;
  // Servers that crashed while they ran it; two lead to quarantine.
  std::vector<server_id> servers;
  // Time since the latest of these crashes.
  milliseconds age{0};
  bool operator==(const strike_record&) const = default;
};

// Reports strikes to a peer. Resent until acknowledged.
struct peer_strike {
  strike_record record;
  bool operator==(const peer_strike&) const = default;
};

struct peer_strike_acknowledged {
  request_fingerprint fingerprint;
  std::vector<server_id> servers;
  bool operator==(const peer_strike_acknowledged&) const = default;
};

// Requests the next, exclusive run from the fingerprint's owner.
struct run_request {
  strike_record record;
  // Increases with each request of the sender.
  std::uint64_t sequence = 0;
  bool operator==(const run_request&) const = default;
};

// The owner's response to a run_request.
struct run_grant {
  strike_record record;
  std::uint64_t sequence = 0;
  bool allowed = false;
  bool operator==(const run_grant&) const = default;
};

// The owner asks every live host whether it runs the fingerprint.
struct run_poll {
  strike_record record;
  std::uint64_t round = 0;
  // Hosts that have the run or are next to get it. If one dies, every host that
  // was polled counts its run as a crash, even if the owner died too.
  std::vector<member_id> holders;
  bool operator==(const run_poll&) const = default;
};

struct run_poll_response {
  strike_record record;
  std::uint64_t round = 0;
  // Whether no run is in progress at the responding host.
  bool is_idle = false;
  // Sequence of its pending run_request; 0 if none.
  std::uint64_t pending_sequence = 0;
  // Granted runs that ended there without a crash since the latest strike.
  std::uint32_t clean_runs = 0;
  bool operator==(const run_poll_response&) const = default;
};

// Enough runs ended without a crash, so these strikes no longer count. Accepted
// only by a host whose latest response was for this round, so that a late
// duplicate cannot clear a newer strike.
struct strikes_cleared {
  strike_record record;
  std::uint64_t round = 0;
  bool operator==(const strikes_cleared&) const = default;
};

using admission_peer_message = std::variant<peer_strike,
                                            peer_strike_acknowledged,
                                            run_request,
                                            run_grant,
                                            run_poll,
                                            run_poll_response,
                                            strikes_cleared>;

// JSON encoding of a message. Decoding throws protocol_error on malformed
// input.
std::string EncodeAdmissionMessage(const admission_peer_message& m);
admission_peer_message DecodeAdmissionMessage(std::string_view text);

// ---- Messages to the machine

// A first attempt that the table did not permit (admission_gate::Begin).
// Answered by begin_decision.
struct begin_run {
  request_id request;
  pool_id pool;
  request_fingerprint fingerprint;
  time_point deadline;
};

// A retry (admission_gate::TakeRetry). Answered by retry_decision.
struct acquire_retry {
  request_id request;
  pool_id pool;
  // First attempts that the table counted since the last such message.
  std::uint64_t first_attempts = 0;
};

// A server crashed while it ran the request (admission_gate::RecordCrash).
// Answered by crash_decision.
struct record_crash {
  request_id request;
  request_fingerprint fingerprint;
  server_id server;
};

// A run ended (admission_gate::End); sent if admission_table::End returned
// true.
struct end_run {
  request_fingerprint fingerprint;
  // Whether a backend server gave a complete response. Only such runs clear a
  // strike.
  bool has_response = false;
};

// Response to mark_struck: the number of runs in flight.
struct runs_counted {
  request_fingerprint fingerprint;
  std::uint32_t runs = 0;
};

// A decoded message of another host.
struct admission_received {
  member_id from;
  admission_peer_message message;
};

// The live hosts; `peers` does not include `self`.
struct admission_peers_changed {
  member_id self;
  std::vector<member_id> peers;
  // Whether more than half of the epoch's members are live.
  bool has_majority = false;
};

// ---- Effects

// Response to begin_run. If it is true and nobody waits for it any more, the
// sink posts end_run.
struct begin_decision {
  request_id request;
  bool allowed = false;
};

// Response to acquire_retry.
struct retry_decision {
  request_id request;
  bool allowed = false;
};

// Response to record_crash.
struct crash_decision {
  request_id request;
  bool may_retry = false;
};

// The sink calls admission_table::Mark at once and posts runs_counted.
struct mark_struck {
  request_fingerprint fingerprint;
};

// The sink calls admission_table::Unmark at once.
struct unmark_struck {
  request_fingerprint fingerprint;
};

// A message to be sent once to each of `to`; the machine resends if necessary.
struct admission_send {
  std::vector<member_id> to;
  admission_peer_message message;
};

// Input of the metrics; `kind` is "strike", "quarantined", "cleared" or
// "refused".
struct admission_event {
  std::string_view kind;
  request_fingerprint fingerprint;
};

// ---- Fast path

// Lets requests without strikes begin and end without the duty. Thread-safe,
// with one short lock per call. Has an entry for each fingerprint in flight or
// with strikes.
class admission_table {
 public:
  // Counts a run and a first attempt and returns true, or returns false if the
  // fingerprint has strikes and the duty must decide.
  bool TryBegin(const pool_id& pool, request_fingerprint fingerprint);
  // Counts the end of a run. Returns true if end_run must be posted to the
  // duty.
  bool End(request_fingerprint fingerprint);
  // Makes the duty decide later runs. Returns the number of runs in flight.
  std::uint32_t Mark(request_fingerprint fingerprint);
  void Unmark(request_fingerprint fingerprint);
  // Returns and resets the pool's first attempts, for acquire_retry.
  std::uint64_t ExchangeFirstAttempts(const pool_id& pool);

 private:
  struct entry {
    std::uint32_t runs = 0;
    bool is_struck = false;
  };
  struct alignas(64) run_shard {
    std::mutex mutex;
    std::unordered_map<request_fingerprint, entry> entries;
  };
  struct alignas(64) pool_shard {
    std::mutex mutex;
    std::unordered_map<pool_id, std::uint64_t> first_attempts;
  };
  static constexpr std::size_t kShards = 64;
  run_shard& ShardOf(request_fingerprint fingerprint);

  std::array<run_shard, kShards> runs_;
  // Sharded by thread, so that the threads of a busy pool do not share a lock.
  std::array<pool_shard, kShards> pools_;
};

// ---- Retry budget

// Token bucket of one pool: each first attempt adds kRetryBudgetPerMille
// thousandths of a retry, up to kMaxSavedRetries retries.
class retry_budget {
 public:
  void AddFirstAttempts(std::uint64_t count);
  // Consumes one retry and returns true if there is one.
  bool TryAcquire(time_point now);

 private:
  void RefillMinimum(time_point now);

  std::uint64_t per_mille_ = std::uint64_t{1'000} * limits::kMinRetries;
  std::optional<time_point> last_refill_;
};

// ---- State machine

// Decides which fingerprints may run. A fingerprint without strikes runs
// freely. With one lost server it runs exclusively: its owner, chosen by
// rendezvous hashing among the live hosts, polls all of them and grants the
// next run only if none runs it. With two lost servers it is rejected for
// limits::kQuarantineTime. More than two servers can be lost only by (1) runs
// already in flight when the first crash happens; (2) hosts that the strike has
// not reached within limits::kStrikeAckTimeout, one further server for each run
// they begin before it arrives; (3) a host that dies after the crash of an
// ungranted run and before one strike message is sent (a granted run whose host
// dies counts as a lost server); (4) a partition, in which the side without a
// majority grants no run but may lose servers to its own ungranted runs; (5) a
// holder of a grant that restarts before its end was detected.
class admission_machine {
 public:
  using message = std::variant<begin_run,
                               acquire_retry,
                               record_crash,
                               end_run,
                               runs_counted,
                               admission_received,
                               admission_peers_changed,
                               tick>;
  using effect = std::variant<begin_decision,
                              retry_decision,
                              crash_decision,
                              mark_struck,
                              unmark_struck,
                              admission_send,
                              admission_event>;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Ticks are needed only while there are strikes.
  std::optional<time_point> NextDeadline() const {
    return records_.empty() ? std::nullopt : std::optional(time_point());
  }

  std::size_t struck_count() const { return records_.size(); }

 private:
  // A request of this host that waits for a grant.
  struct waiting_run {
    request_id request;
    bool has_crashed = false;
    time_point deadline;
  };
  // A crash whose caller waits for the peers' acknowledgements.
  struct waiting_crash {
    request_id request;
    time_point deadline;
  };
  struct run_requester {
    member_id member;
    std::uint64_t sequence = 0;
  };
  // State of the owner of a fingerprint.
  struct owner_state {
    std::deque<run_requester> requesters;
    // 0 if no poll is in progress.
    std::uint64_t round = 0;
    // Hosts without a run, with their numbers of clean runs.
    std::map<member_id, std::uint32_t> idle_hosts;
    // Hosts that run it or were permitted to. If one dies, its run counts as a
    // crash.
    std::set<member_id> possible_holders;
    std::optional<run_requester> granted;
  };
  struct record {
    std::set<server_id> servers;
    time_point last_strike;
    // Whether runs_counted was received.
    bool has_counted_runs = false;
    // Runs in progress, including crashed ones until their caller ends.
    std::int64_t runs = 0;
    // Crashed runs whose caller waits for a decision.
    std::int64_t crashed = 0;
    bool is_granted_here = false;
    std::uint32_t clean_runs = 0;
    std::uint64_t last_poll_round = 0;
    // From the latest poll, sent by `poller`.
    std::vector<member_id> holders;
    member_id poller;
    std::set<member_id> unacknowledged;
    time_point resend_at;
    milliseconds resend_interval{0};
    std::vector<waiting_crash> crashes;
    std::deque<waiting_run> waiting;
    // The pending run_request and the owner it was sent to.
    std::uint64_t pending_sequence = 0;
    member_id requested_from;
    owner_state owner;
  };
  using record_map = std::map<request_fingerprint, record>;
  struct step;

  std::map<pool_id, retry_budget> retry_budgets_;
  record_map records_;
  member_id self_;
  std::vector<member_id> peers_;
  bool has_majority_ = true;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ADMISSION_H_
