// Moves of a pool's traffic from one version of its servers to another: shares,
// comparison of the versions, and verdicts.
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

// Latency bucket i holds latencies up to 0.5 ms * 2^(i/2); the last one holds
// the rest.
inline constexpr std::size_t kLatencyBuckets = 34;
std::size_t LatencyBucket(microseconds latency);

// Attempts on one version and route. Only grows. Failures are left out of the
// buckets, because a fast failure would look like a fast answer.
struct attempt_tally {
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  // Sum of all latencies, for the number of busy slots.
  std::uint64_t busy_us = 0;
  std::array<std::uint64_t, kLatencyBuckets> latency{};

  void Add(bool failed, microseconds taken);
  void Add(const attempt_tally& other);
  std::uint64_t successes() const { return requests - failures; }
  bool operator==(const attempt_tally&) const = default;
};

struct attempt_key {
  pool_id pool;
  route_id route;
  version_id version;
  auto operator<=>(const attempt_key&) const = default;
};

// Attempts since the last batch.
using attempt_batch = std::map<attempt_key, attempt_tally>;

// Counts attempts on the request path. Thread-safe; threads are spread over
// shards with one short lock each.
class version_counters {
 public:
  void Record(const pool_id& pool,
              const route_id& route,
              const version_id& version,
              bool failed,
              microseconds latency);
  // Takes and clears all counts.
  attempt_batch Take();

 private:
  static constexpr std::size_t kShards = 16;
  struct alignas(64) shard {
    std::mutex mutex;
    attempt_batch counts;
  };
  std::array<shard, kShards> shards_;
};

// A tally belongs to one step of one revision of a move. The share is constant
// within a step, so that tallies of both versions in one step cover the same
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

// Shares of one pool's requests in per mille, by version. Empty: any version.
using version_shares = std::map<version_id, std::uint32_t>;

// Picks the version for a request. The same id gives the same version on every
// host, and consecutive ids are spread evenly. Returns an invalid id if
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

// Totals of one run of a host. Totals of a step may be left out when they have
// not changed; they never shrink.
struct peer_evidence {
  member_id member;
  incarnation_id incarnation;
  // When each move started, as far as the member knows.
  std::map<move_id, std::pair<log_offset, unix_millis>> started;
  std::map<evidence_key, attempt_tally> tallies;
  bool operator==(const peer_evidence&) const = default;
};

// A move that a host has rolled back; not to be undone except by a verdict in
// the log.
struct peer_rollback {
  move_id move;
  log_offset revision;
  std::string reason;
  bool operator==(const peer_rollback&) const = default;
};

// Live members, this one included.
struct rollout_peers_changed {
  std::vector<member_id> live;
};

struct rollout_log_changed {
  bool up = true;
};

// Concurrent requests that the servers of each version can bear now; a cold
// server counts with its cold slots. A version that is not listed is not
// bounded.
struct version_capacity {
  pool_id pool;
  std::map<version_id, std::uint32_t> usable_slots;
};

enum class step_outcome { kAccepted, kConflict, kUnavailable };

// What became of a proposal. The new state itself arrives as
// rollout_config_changed.
struct step_result {
  move_id move;
  log_offset revision;
  std::uint32_t from_step = 0;
  step_outcome outcome = step_outcome::kAccepted;
};

// ---- Effects

// Asks for a move_step record. It is valid only while the move has this
// revision, is moving, and stands at `from_step`. The new step number is
// from_step + 1.
struct propose_step {
  move_id move;
  log_offset revision;
  std::uint32_t from_step = 0;
  move_progress progress;
};

// Shares now in force on this host.
struct share_changed {
  pool_id pool;
  version_shares shares;
};

// To all live peers.
struct evidence_to_peers {
  peer_evidence evidence;
};

// To all live peers; repeated until the log holds a verdict.
struct rolled_back_to_peers {
  peer_rollback rollback;
};

// ---- Machine

struct rollout_settings {
  // Shortest time at a step, longer than the detection time of 5 s.
  milliseconds shortest_step{7'000};
  // Shortest time at the last step before a move is done.
  milliseconds shortest_observation{15'000};
  milliseconds evidence_interval{500};
  // A host that finds a move under way sends nothing to the new version for
  // this time: its peers may know of a rollback that is not in the log.
  milliseconds join_hold{1'500};
  // Pause before a proposal or a rollback message is repeated.
  milliseconds repeat_interval{1'000};
};

// Decides steps and verdicts of all moves.
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

  // New and old version, by step and route.
  using pair_table = std::map<std::pair<std::uint32_t, route_id>,
                              std::pair<attempt_tally, attempt_tally>>;

  // New evidence that arrived within one second.
  struct evidence_slice {
    time_point begin;
    pair_table tallies;
  };

  struct move_state {
    move_id id;
    log_offset revision;
    move_spec spec;
    move_progress progress;
    // Earliest start that any host knows.
    unix_millis started;
    time_point first_seen;
    time_point step_entered;
    // Found with a share already given, so that peers may know of a rollback.
    bool joined = false;
    // Set once this host treats the move as rolled back.
    std::string rollback_reason;
    time_point next_proposal;
    time_point next_rollback_message;
    std::map<source, std::map<evidence_key, attempt_tally>> evidence;
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

  void TakeMove(const move_id& id, const stored_move& stored, const timestamp&);
  void FindNewestMoves();
  move_state* FindMove(const move_id& id, log_offset revision);
  bool IsSuperseded(const move_state& move) const;
  // Raises the stored total and adds the growth to the current slice.
  void Merge(move_state& move,
             const source& from,
             const evidence_key& key,
             const attempt_tally& total,
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
  // Requests over the whole move at the current rate.
  static traffic ExpectedTraffic(const move_state& move, const timestamp& now);

  void Decide(move_state& move, const timestamp& now, effects& out);
  // Compares the versions over several windows and lowers `least_chance` to the
  // smallest chance found. Returns the fault, empty if none.
  static std::string FindFault(const move_state& move,
                               const timestamp& now,
                               double& least_chance);
  // Raises 1% to 5% while a fault is suspected.
  void GatherMore(move_state& move, const timestamp& now, effects& out);
  void RollBack(move_state& move,
                const std::string& reason,
                const timestamp& now,
                effects& out);
  void RepeatRollback(move_state& move, const timestamp& now, effects& out);
  void Advance(move_state& move, const timestamp& now, effects& out);
  // Whether the evidence allows more than the current share.
  static bool HasEarned(const move_state& move, const traffic& expected);
  // The larger share that little traffic needs, in per mille; 0 if it needs or
  // may get none.
  static std::uint32_t NeededTrialShare(const move_state& move,
                                        const traffic& expected,
                                        const timestamp& now);
  // True if a step for a trial with little traffic, or its end, is due.
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
  bool log_up_ = true;
  std::vector<member_id> live_;
  std::map<move_id, move_state> moves_;
  // The move with the highest revision decides a pool's shares.
  std::map<pool_id, move_id> newest_;
  std::map<pool_id, version_shares> published_;
  std::map<pool_id, std::map<version_id, std::uint32_t>> capacity_;
  // Tallies as the peers have last been told.
  std::map<evidence_key, attempt_tally> sent_;
  time_point last_sent_;
};

// Feeds the machine with the request path's counts, so that a duty can run it:
// before each tick and each configuration change, the counts are taken and
// given to the machine as attempts_recorded.
class counted_rollout {
 public:
  using message = rollout_machine::message;
  using effect = rollout_machine::effect;

  // `counters` outlives this object.
  counted_rollout(rollout_machine machine, version_counters& counters)
      : machine_(std::move(machine)), counters_(&counters) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);

 private:
  rollout_machine machine_;
  version_counters* counters_;
};

// ---- Codec

// JSON texts between hosts. Decoding throws protocol_error on malformed input.
std::string EncodePeerEvidence(const peer_evidence& evidence);
peer_evidence DecodePeerEvidence(std::string_view text);
std::string EncodePeerRollback(const peer_rollback& rollback);
peer_rollback DecodePeerRollback(std::string_view text);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ROLLOUT_H_
