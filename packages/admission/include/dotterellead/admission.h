// Retry budgets, and the quarantine of requests that crash backend servers.
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

// What a host knows of a fingerprint's crashes. Part of most peer messages, so
// that any of them spreads strikes.
struct strike_record {
  request_fingerprint fingerprint;
  // Servers that crashed while they ran it; two are enough.
  std::vector<server_id> servers;
  // Since the latest of these crashes.
  milliseconds age{0};
  bool operator==(const strike_record&) const = default;
};

// Tells a peer of strikes. Sent again until acknowledged.
struct peer_strike {
  strike_record record;
  bool operator==(const peer_strike&) const = default;
};

struct peer_strike_acknowledged {
  request_fingerprint fingerprint;
  std::vector<server_id> servers;
  bool operator==(const peer_strike_acknowledged&) const = default;
};

// Asks the fingerprint's owner for the single next run.
struct run_ask {
  strike_record record;
  // Counts up for each new ask of the asking host.
  std::uint64_t ask = 0;
  bool operator==(const run_ask&) const = default;
};

// Owner's answer to an ask.
struct run_grant {
  strike_record record;
  std::uint64_t ask = 0;
  bool allowed = false;
  bool operator==(const run_grant&) const = default;
};

// The owner asks every live host whether it runs the fingerprint.
struct run_poll {
  strike_record record;
  std::uint64_t round = 0;
  // Hosts that hold the run or are next to get it. If one dies, every host that
  // was polled counts its run as a crash, even if the owner died as well.
  std::vector<member_id> holders;
  bool operator==(const run_poll&) const = default;
};

struct run_poll_answer {
  strike_record record;
  std::uint64_t round = 0;
  // No run is in progress at the answering host.
  bool clear = false;
  // Its ask that waits for a grant; 0 if none.
  std::uint64_t pending_ask = 0;
  // Granted runs that ended there without a crash since the latest strike.
  std::uint32_t clean_runs = 0;
  bool operator==(const run_poll_answer&) const = default;
};

// Enough runs ended without a crash; these strikes no longer count. Accepted
// only by a host whose latest answer was for this round, so that a late copy
// cannot clear a newer strike.
struct strikes_cleared {
  strike_record record;
  std::uint64_t round = 0;
  bool operator==(const strikes_cleared&) const = default;
};

using admission_peer_message = std::variant<peer_strike,
                                            peer_strike_acknowledged,
                                            run_ask,
                                            run_grant,
                                            run_poll,
                                            run_poll_answer,
                                            strikes_cleared>;

// JSON text of a message. Decoding throws protocol_error on malformed input.
std::string EncodeAdmissionMessage(const admission_peer_message& m);
admission_peer_message DecodeAdmissionMessage(std::string_view text);

// ---- Messages to the machine

// A first try that the table did not settle (admission_gate::Begin). Answered
// by begin_answer.
struct begin_run {
  request_id request;
  pool_id pool;
  request_fingerprint fingerprint;
  time_point deadline;
};

// admission_gate::TakeRetry. Answered by retry_answer.
struct take_retry {
  request_id request;
  pool_id pool;
  // First tries that the table counted since it was last asked.
  std::uint64_t first_tries = 0;
};

// admission_gate::RecordCrash. Answered by crash_answer.
struct record_crash {
  request_id request;
  request_fingerprint fingerprint;
  server_id server;
};

// admission_gate::End, if admission_table::End asks for it.
struct end_run {
  request_fingerprint fingerprint;
  // A backend server gave a whole answer. Only such runs clear a strike.
  bool answered = false;
};

// Answer to mark_struck: the runs that the table counted in flight.
struct runs_counted {
  request_fingerprint fingerprint;
  std::uint32_t runs = 0;
};

// A decoded message of another host.
struct admission_received {
  member_id from;
  admission_peer_message message;
};

// The live hosts. `peers` does not hold `self`.
struct admission_peers_changed {
  member_id self;
  std::vector<member_id> peers;
  // The live hosts are more than half of the epoch's members.
  bool majority = false;
};

// ---- Effects

// If nobody waits for a true answer any more, the sink posts end_run.
struct begin_answer {
  request_id request;
  bool allowed = false;
};

struct retry_answer {
  request_id request;
  bool allowed = false;
};

struct crash_answer {
  request_id request;
  bool may_try_again = false;
};

// The sink calls admission_table::Mark at once and posts runs_counted.
struct mark_struck {
  request_fingerprint fingerprint;
};

// The sink calls admission_table::Unmark at once.
struct unmark_struck {
  request_fingerprint fingerprint;
};

// To be sent once to each of `to`; the machine repeats what must arrive.
struct admission_send {
  std::vector<member_id> to;
  admission_peer_message message;
};

// For counters: "strike", "quarantined", "cleared", "refused".
struct admission_event {
  std::string_view kind;
  request_fingerprint fingerprint;
};

// ---- Fast path

// Lets requests without strikes begin and end without the duty. Thread-safe;
// one short lock per call. Holds an entry for each fingerprint in flight or
// struck.
class admission_table {
 public:
  // Counts a run and a first try and returns true, or returns false if the
  // fingerprint is struck and the duty must be asked.
  bool TryBegin(const pool_id& pool, request_fingerprint fingerprint);
  // Returns true if the duty must be told by end_run.
  bool End(request_fingerprint fingerprint);
  // Sends later runs to the duty. Returns the runs in flight.
  std::uint32_t Mark(request_fingerprint fingerprint);
  void Unmark(request_fingerprint fingerprint);
  // First tries of the pool since the previous call, for take_retry.
  std::uint64_t TakeFirstTries(const pool_id& pool);

 private:
  struct entry {
    std::uint32_t runs = 0;
    bool struck = false;
  };
  struct alignas(64) run_shard {
    std::mutex mutex;
    std::unordered_map<request_fingerprint, entry> entries;
  };
  struct alignas(64) pool_shard {
    std::mutex mutex;
    std::unordered_map<pool_id, std::uint64_t> first_tries;
  };
  static constexpr std::size_t kShards = 64;
  run_shard& ShardOf(request_fingerprint fingerprint);

  std::array<run_shard, kShards> runs_;
  // By thread, so that one busy pool's threads do not share a lock.
  std::array<pool_shard, kShards> pools_;
};

// ---- Retry budget

// Token bucket of one pool: each first try earns kRetryBudgetPerMille
// thousandths of a retry, up to kRetryCap retries.
class retry_budget {
 public:
  void AddFirstTries(std::uint64_t count);
  bool Take(time_point now);

 private:
  void RefillFloor(time_point now);

  std::uint64_t per_mille_ = std::uint64_t{1'000} * limits::kMinRetries;
  std::optional<time_point> refilled_;
};

// ---- Machine

// Decides which fingerprints may run. A fingerprint without strikes runs
// freely. With one lost server it runs once at a time over all hosts: its
// owner, chosen by highest random weight among the live hosts, polls all of
// them and grants the next run only if none runs it. With two lost servers it
// is refused for limits::kQuarantineTime.
//
// More than two servers can be lost only by:
// - runs already in flight, anywhere, when the first crash happens;
// - hosts that the strike has not reached within limits::kStrikeWait: one run
//   more for each run they begin before it arrives;
// - a host that dies after the crash of an ungranted run and before one strike
//   message is out (a granted run whose host dies counts as a lost server);
// - a partition: the side without a majority grants no run, but may lose
//   servers to its own ungranted runs;
// - a holder of a grant that restarts before anyone notices that it was dead.
class admission_machine {
 public:
  using message = std::variant<begin_run,
                               take_retry,
                               record_crash,
                               end_run,
                               runs_counted,
                               admission_received,
                               admission_peers_changed,
                               tick>;
  using effect = std::variant<begin_answer,
                              retry_answer,
                              crash_answer,
                              mark_struck,
                              unmark_struck,
                              admission_send,
                              admission_event>;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Only struck fingerprints need ticks.
  std::optional<time_point> NextDeadline() const {
    return records_.empty() ? std::nullopt : std::optional(time_point());
  }

  std::size_t struck_count() const { return records_.size(); }

 private:
  // A request of this host that waits for its turn.
  struct waiting_run {
    request_id request;
    bool crashed = false;
    time_point deadline;
  };
  // A crash whose caller waits for peers to know.
  struct waiting_crash {
    request_id request;
    time_point deadline;
  };
  struct asker {
    member_id member;
    std::uint64_t ask = 0;
  };
  // What the owner of a fingerprint keeps.
  struct owner_state {
    std::deque<asker> askers;
    // 0: no poll in progress.
    std::uint64_t round = 0;
    // Hosts that run nothing, with their clean runs.
    std::map<member_id, std::uint32_t> clear;
    // Hosts that were seen or allowed to run it. If one dies, its run counts
    // as a crash.
    std::set<member_id> busy;
    std::optional<asker> granted;
  };
  struct record {
    std::set<server_id> servers;
    time_point last_strike;
    // runs_counted has arrived.
    bool counted = false;
    // Runs begun and not ended, crashed ones included until their caller ends.
    std::int64_t runs = 0;
    // Crashed runs whose caller waits for a decision.
    std::int64_t crashed = 0;
    bool granted_here = false;
    std::uint32_t clean_runs = 0;
    std::uint64_t answered_round = 0;
    // By the latest poll of the owner `polled_by`.
    std::vector<member_id> holders;
    member_id polled_by;
    std::set<member_id> unacknowledged;
    time_point resend_at;
    milliseconds resend_gap{0};
    std::vector<waiting_crash> crashes;
    std::deque<waiting_run> waiting;
    // The ask that waits for its grant, and whom it was sent to.
    std::uint64_t pending_ask = 0;
    member_id asked;
    owner_state owner;
  };
  using record_map = std::map<request_fingerprint, record>;
  struct step;

  std::map<pool_id, retry_budget> budgets_;
  record_map records_;
  member_id self_;
  std::vector<member_id> peers_;
  bool majority_ = true;
  std::uint64_t next_number_ = 1;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ADMISSION_H_
