// Moves of a pool's traffic between versions in the standalone mode, decided by
// all hosts together: shares, comparison of the versions, and verdicts. On the
// platform packages/moves does this.
#ifndef DOTTERELLEAD_ROLLOUT_H_
#define DOTTERELLEAD_ROLLOUT_H_

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "dotterellead/config.h"
#include "dotterellead/core.h"

namespace dotterellead {

// ---- Evidence

// Latency bucket i holds latencies up to 0.5 ms * 2^(i/2); the last one has no
// upper bound.
inline constexpr std::size_t kLatencyBuckets = 34;
std::size_t LatencyBucket(microseconds latency);

// Counts attempts on one version and route. Never decreases. Failures are left
// out of the buckets, since a fast failure would look like a fast response.
struct attempt_counters {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  // Sum of all latencies in microseconds, from which the number of busy slots
  // follows.
  std::uint64_t busy_us = 0;
  std::array<std::uint64_t, kLatencyBuckets> latency{};

  void Add(bool failed, microseconds elapsed);
  void Add(const attempt_counters& other);
  std::uint64_t successes() const { return requests - failures; }
  bool operator==(const attempt_counters&) const = default;
};

struct attempt_key {
  pool_id pool;
  route_id route;
  version_id version;
  auto operator<=>(const attempt_key&) const = default;
};

// Attempts since the last batch.
using attempt_batch = std::map<attempt_key, attempt_counters>;

// Counts attempts on the request path. Thread-safe, sharded by thread with one
// short lock each.
class version_counters {
 public:
  void Record(const pool_id& pool,
              const route_id& route,
              const version_id& version,
              bool failed,
              microseconds latency);
  // Returns and resets all counters.
  attempt_batch ExchangeCounters();

 private:
  static constexpr std::size_t kShards = 16;
  struct alignas(64) shard {
    std::mutex mutex;
    attempt_batch counts;
  };
  std::array<shard, kShards> shards_;
};

// Counters belong to one step of one revision of a move. The share is constant
// within a step, so that the counters of both versions in a step cover the same
// period in the same proportion.
struct evidence_key {
  move_id move;
  log_offset revision;
  std::uint32_t step = 0;
  version_id version;
  route_id route;
  auto operator<=>(const evidence_key&) const = default;
};

// ---- Shares

// Shares of one pool's requests in per mille, by version. Empty if any version
// may be used.
using version_shares = std::map<version_id, std::uint32_t>;

// Returns the version for a request. The same id gives the same version on
// every host, and consecutive ids are spread evenly. Returns an invalid id if
// `shares` is empty.
version_id ChooseVersion(const version_shares& shares, request_id request);

// ---- Messages

struct rollout_config_changed {
  config_snapshot config;
};

// Attempts on this host since the last such message.
struct attempts_recorded {
  attempt_batch attempts;
};

// Total counters of one incarnation of a host. Unchanged ones may be left out;
// they never decrease.
struct peer_evidence {
  member_id member;
  incarnation_id incarnation;
  // Start of each move, as far as the member knows.
  std::map<move_id, std::pair<log_offset, unix_millis>> started;
  std::map<evidence_key, attempt_counters> counters;
  bool operator==(const peer_evidence&) const = default;
};

// A move that a host has rolled back. Only a verdict in the log overrides it.
struct peer_rollback {
  move_id move;
  log_offset revision;
  std::string reason;
  bool operator==(const peer_rollback&) const = default;
};

// The live members, including this one.
struct rollout_peers_changed {
  std::vector<member_id> live;
};

// Whether the platform's log can be read and appended to.
struct rollout_log_changed {
  bool is_available = true;
};

// Concurrent requests that the servers of each version can run now; a cold
// server counts with its cold slots. A version that is not listed is not
// limited.
struct version_capacity {
  pool_id pool;
  std::map<version_id, std::uint32_t> usable_slots;
};

enum class step_outcome { kAccepted, kConflict, kUnavailable };

// Outcome of a proposal. The new state arrives as rollout_config_changed.
struct step_result {
  move_id move;
  log_offset revision;
  std::uint32_t from_step = 0;
  step_outcome outcome = step_outcome::kAccepted;
};

// ---- Effects

// Proposes a move_step record. Valid only while the move has this revision, is
// in progress and is at `from_step`. The new step number is from_step + 1.
struct propose_step {
  move_id move;
  log_offset revision;
  std::uint32_t from_step = 0;
  move_progress progress;
};

// The shares now in force on this host.
struct share_changed {
  pool_id pool;
  version_shares shares;
};

// Evidence to be sent to all live peers.
struct evidence_to_peers {
  peer_evidence evidence;
};

// A rollback to be sent to all live peers; resent until the log has a verdict.
struct rolled_back_to_peers {
  peer_rollback rollback;
};

// ---- State machine

struct rollout_settings {
  // Minimum time of a step; longer than the detection time of 5 s.
  milliseconds min_step_time{7'000};
  // Minimum time of the last step before a move is done.
  milliseconds min_observation_time{15'000};
  milliseconds evidence_interval{500};
  // A host that starts during a move sends nothing to the new version for this
  // time: its peers may know of a rollback that is not in the log.
  milliseconds join_delay{1'500};
  // Time after which a proposal or a rollback message is repeated.
  milliseconds repeat_interval{1'000};
};

// Decides the steps and verdicts of all moves. Not thread-safe.
class rollout_machine {
 public:
  using message = std::variant<rollout_config_changed,
                               attempts_recorded,
                               peer_evidence,
                               peer_rollback,
                               rollout_peers_changed,
                               rollout_log_changed,
                               version_capacity,
                               step_result,
                               tick>;
  using effect = std::variant<propose_step,
                              share_changed,
                              evidence_to_peers,
                              rolled_back_to_peers>;

  rollout_machine(member_id self,
                  incarnation_id incarnation,
                  rollout_settings settings = {});

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);

 private:
  using source = std::pair<member_id, incarnation_id>;

  // Counters of the new and the old version, by step and route.
  using pair_table = std::map<std::pair<std::uint32_t, route_id>,
                              std::pair<attempt_counters, attempt_counters>>;

  // Evidence that arrived within one second.
  struct evidence_slice {
    time_point begins_at;
    pair_table counters;
  };

  struct move_state {
    move_id id;
    log_offset revision;
    move_spec spec;
    move_progress progress;
    // Earliest start known to any host.
    unix_millis started;
    time_point first_seen;
    time_point step_started_at;
    // Whether the move already had a share when this host learned of it, so
    // that peers may know of a rollback.
    bool has_joined_late = false;
    // Set once this host treats the move as rolled back.
    std::string rollback_reason;
    time_point next_proposal_at;
    time_point next_rollback_message_at;
    std::map<source, std::map<evidence_key, attempt_counters>> evidence;
    // Sum of the evidence over all sources.
    pair_table totals;
    std::deque<evidence_slice> slices;
    bool is_rolled_back() const { return !rollback_reason.empty(); }
  };

  using effects = std::vector<effect>;
  void On(const rollout_config_changed& m, const timestamp& now, effects& out);
  void On(const attempts_recorded& m, const timestamp& now, effects& out);
  void On(const peer_evidence& m, const timestamp& now, effects& out);
  void On(const peer_rollback& m, const timestamp& now, effects& out);
  void On(const rollout_peers_changed& m, const timestamp& now, effects& out);
  void On(const rollout_log_changed& m, const timestamp& now, effects& out);
  void On(const version_capacity& m, const timestamp& now, effects& out);
  void On(const step_result& m, const timestamp& now, effects& out);
  void On(const tick& m, const timestamp& now, effects& out);

  void UpdateMove(const move_id& id,
                  const stored_move& stored,
                  const timestamp&);
  void FindNewestMoves();
  move_state* FindMove(const move_id& id, log_offset revision);
  bool IsSuperseded(const move_state& move) const;
  // Raises the stored total and adds the increase to the current slice.
  void Merge(move_state& move,
             const source& from,
             const evidence_key& key,
             const attempt_counters& total,
             const timestamp& now);
  void SendEvidence(const timestamp& now, effects& out);
  void PublishShares(const timestamp& now, effects& out);
  version_shares SharesOf(const move_state& move, const timestamp& now) const;
  std::uint32_t CapacityPerMille(const move_state& move,
                                 const timestamp& now) const;

  struct traffic {
    bool is_known = false;
    double pool = 0;
    std::map<route_id, double> routes;
  };
  // Expected requests during the whole move at the current rate.
  static traffic ExpectedTraffic(const move_state& move, const timestamp& now);

  void Evaluate(move_state& move, const timestamp& now, effects& out);
  // Compares the versions over several windows and lowers `min_chance` to the
  // smallest chance found. Returns a description of the fault, or empty if
  // there is none.
  static std::string FindFault(const move_state& move,
                               const timestamp& now,
                               double& min_chance);
  // Raises the share from 1% to 5% while a fault is suspected.
  void RaiseShareForEvidence(move_state& move,
                             const timestamp& now,
                             effects& out);
  void RollBack(move_state& move,
                const std::string& reason,
                const timestamp& now,
                effects& out);
  void ResendRollback(move_state& move, const timestamp& now, effects& out);
  void Advance(move_state& move, const timestamp& now, effects& out);
  // Whether there is enough evidence for more than the current share.
  static bool HasEnoughEvidence(const move_state& move,
                                const traffic& expected);
  // The larger share needed with little traffic, in per mille; 0 if none is
  // needed or permitted.
  static std::uint32_t NeededTrialShare(const move_state& move,
                                        const traffic& expected,
                                        const timestamp& now);
  // Proposes a step of a trial with little traffic, or its end. Returns whether
  // one was due.
  bool AdjustTrial(move_state& move,
                   const traffic& expected,
                   const timestamp& now,
                   effects& out);
  void Propose(move_state& move,
               std::uint32_t share,
               move_verdict verdict,
               const std::string& reason,
               const timestamp& now,
               effects& out);
  std::int64_t Rank() const;

  member_id self_;
  incarnation_id incarnation_;
  rollout_settings settings_;
  bool is_log_available_ = true;
  std::vector<member_id> live_members_;
  std::map<move_id, move_state> moves_;
  // Each pool's move with the highest revision, which decides its shares.
  std::map<pool_id, move_id> newest_moves_;
  std::map<pool_id, version_shares> published_shares_;
  std::map<pool_id, std::map<version_id, std::uint32_t>> capacity_;
  // Counters last sent to the peers.
  std::map<evidence_key, attempt_counters> sent_counters_;
  time_point last_sent_;
};

// Runs the machine in a duty with the counters of the request path: before each
// tick and each configuration change they are passed to the machine as
// attempts_recorded.
class rollout_with_counters {
 public:
  using message = rollout_machine::message;
  using effect = rollout_machine::effect;

  // `counters` outlives this object.
  rollout_with_counters(rollout_machine machine, version_counters& counters)
      : machine_(std::move(machine)), counters_(&counters) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);

 private:
  rollout_machine machine_;
  version_counters* counters_;
};

// ---- Codec

// JSON encoding of the messages. Decoding throws protocol_error on malformed
// input.
std::string EncodePeerEvidence(const peer_evidence& evidence);
peer_evidence DecodePeerEvidence(std::string_view text);
std::string EncodePeerRollback(const peer_rollback& rollback);
peer_rollback DecodePeerRollback(std::string_view text);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ROLLOUT_H_
