// Resources that operators declare, their JSON form, and the replicated table
// of them.
#ifndef DOTTERELLEAD_CONFIG_H_
#define DOTTERELLEAD_CONFIG_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/platform.h"

namespace dotterellead {

// ---- Resource kinds

// Requests of one method and path prefix. A method of "*" matches all.
struct route_spec {
  std::string method = "*";
  std::string path_prefix = "/";
  // Whether running a request twice is harmless. Others need an
  // Idempotency-Key.
  bool idempotent = false;
  bool operator==(const route_spec&) const = default;
};

struct server_spec {
  server_id address;
  data_centre_id data_centre;
  version_id version;
  // Requests it may run at once, and how many of them while it is cold.
  std::uint32_t slots = 1;
  std::uint32_t cold_slots = 1;
  bool operator==(const server_spec&) const = default;
};

// A pool of backend servers that serve one service for one tenant.
struct pool_spec {
  tenant_id tenant;
  // A request belongs to the pool whose host matches (or is empty) and whose
  // path prefix is longest.
  std::string host;
  std::string path_prefix = "/";
  // The first matching route counts.
  std::vector<route_spec> routes;
  std::vector<server_spec> servers;
  // Adds the backend servers that the platform's host list names for this pool.
  bool from_host_list = false;
  // Slots of a server that only the host list names.
  std::uint32_t default_slots = 2;
  // The longest time a backend server may run one request.
  milliseconds max_run = limits::kDefaultMaxRunTime;
  std::uint32_t queue_length = limits::kMaxQueuePerPool;
  // Share of slot time that probes may use, over all entry hosts.
  std::uint32_t probe_budget_per_mille = 10;
  bool operator==(const pool_spec&) const = default;
};

// A data centre and whether it takes new work.
struct data_centre_spec {
  bool out = false;
  bool operator==(const data_centre_spec&) const = default;
};

// A move of a pool's traffic to a new version, to be done or rolled back by a
// deadline.
struct move_spec {
  pool_id pool;
  version_id from_version;
  version_id to_version;
  unix_millis deadline;
  bool operator==(const move_spec&) const = default;
};

using resource_spec = std::variant<pool_spec, data_centre_spec, move_spec>;

// A resource as an operator writes it. The kind follows from the spec.
struct resource {
  std::string name;
  resource_spec spec;
  bool operator==(const resource&) const = default;
};

// "pool", "data_centre" or "move".
std::string_view KindName(const resource_spec& spec);
// The names above in order of the variant.
const std::vector<std::string>& KindNames();

// Parses one JSON resource {"kind","api_version":"v1","name","spec":{...}}.
// Throws invalid_input_error, which names the field and the remedy, on unknown
// or missing fields, wrong types and units, and impossible values.
resource ParseResource(std::string_view json);
// The JSON form that ParseResource reads; compact, with sorted keys.
std::string FormatResource(const resource& r);

// ---- The table

enum class move_verdict { kMoving, kDone, kRolledBack };
std::string_view to_string(move_verdict verdict);

// How far a move has come. Set by move_step records only.
struct move_progress {
  // Share of requests for the new version.
  std::uint32_t share_per_mille = 0;
  std::uint32_t step = 0;
  move_verdict verdict = move_verdict::kMoving;
  std::string reason;
  bool operator==(const move_progress&) const = default;
};

template <class Spec>
struct stored {
  Spec spec;
  // Offset of the record that set it.
  log_offset revision;
  bool operator==(const stored&) const = default;
};

struct stored_move : stored<move_spec> {
  move_progress progress;
  bool operator==(const stored_move&) const = default;
};

// Immutable view of the table after all records up to `through`.
struct config_view {
  log_offset through;
  std::map<pool_id, stored<pool_spec>> pools;
  std::map<data_centre_id, stored<data_centre_spec>> data_centres;
  std::map<move_id, stored_move> moves;
  // Offset of the last record that removed any resource; invalid if none did.
  log_offset last_removal;

  bool IsOut(const data_centre_id& name) const;
  bool operator==(const config_view&) const = default;
};

using config_snapshot = std::shared_ptr<const config_view>;

// The pool and route that serve a request.
struct route_match {
  pool_id pool;
  route_id route;
  bool idempotent = false;
};

// Finds the pool by host and longest path prefix and then its first matching
// route. `path` has no query. Returns nullopt if no pool or no route matches.
std::optional<route_match> MatchRoute(const config_view& view,
                                      std::string_view host,
                                      std::string_view method,
                                      std::string_view path);

// ---- Records of the stream "config"

// The log stream that holds the records below.
const stream_id& ConfigStream();

// A resource's kind and name.
struct resource_key {
  std::string kind;
  std::string name;
  auto operator<=>(const resource_key&) const = default;
};
resource_key KeyOf(const resource& r);

// Sets a resource. `base` is the revision that it replaces, invalid if the
// resource must not exist. `seen` is the offset that the writer had read; a
// creation loses against a removal after it, as a second copy of a record could
// otherwise bring a removed resource back.
struct apply_record {
  resource item;
  log_offset base;
  log_offset seen;
  std::string nonce;
  bool operator==(const apply_record&) const = default;
};

struct remove_record {
  resource_key key;
  log_offset base;
  std::string nonce;
  bool operator==(const remove_record&) const = default;
};

// Advances the move with this revision from step `from_step`.
struct move_step_record {
  move_id move;
  log_offset revision;
  std::uint32_t from_step = 0;
  move_progress next;
  std::string nonce;
  bool operator==(const move_step_record&) const = default;
};

// The whole table after all records up to `table.through`. Records between that
// offset and the snapshot's own still apply.
struct snapshot_record {
  config_view table;
  bool operator==(const snapshot_record&) const = default;
};

using config_record = std::
    variant<apply_record, remove_record, move_step_record, snapshot_record>;

struct offset_record {
  log_offset offset;
  config_record record;
  bool operator==(const offset_record&) const = default;
};

// Outcome of replaying a record on a table.
struct replay_decision {
  bool accepted = false;
  // The resource's revision after the record, invalid if it does not exist; the
  // record's own offset if it removed the resource.
  log_offset revision;
  // Why the record was not accepted; empty if it was.
  std::string reason;
};

// Applies `record`, read at `offset`, to `table` and moves `table.through` to
// `offset`. A function of its arguments only, so that all hosts decide alike.
replay_decision ReplayRecord(config_view& table,
                             const config_record& record,
                             log_offset offset);

std::string EncodeConfigRecord(const config_record& record);
// Throws protocol_error on malformed input.
config_record DecodeConfigRecord(std::string_view text);

// The revision of a resource; invalid if it does not exist.
log_offset RevisionOf(const config_view& table, const resource_key& key);
// The resource, or nullopt if it does not exist.
std::optional<resource> FindResource(const config_view& table,
                                     const resource_key& key);

// ---- Messages of the config duty

// An operator's write.
struct write_request {
  request_id request;
  // Remove the resource instead of applying it; only kind and name count then.
  bool remove = false;
  resource item;
  // The revision that the operator expects: an invalid offset means that the
  // resource must not exist, nullopt takes the current revision.
  std::optional<log_offset> expected;
  time_point deadline;
  // Only check; nothing is written.
  bool dry_run = false;
};

// From the rollout duty. The answer is the next config_published; a proposal
// that is lost or too late has no effect and may be repeated.
struct propose_move_step {
  move_id move;
  log_offset revision;
  std::uint32_t from_step = 0;
  move_progress next;
};

// All accepted records from offset `from` to `through`. Offsets without a
// record here were not accepted.
struct peer_records {
  log_offset from;
  log_offset through;
  std::vector<offset_record> records;
  bool operator==(const peer_records&) const = default;
};

// A peer's whole table.
struct peer_snapshot {
  config_view table;
  bool operator==(const peer_snapshot&) const = default;
};

// A peer asks for the state from offset `from`; answered by peer_answer.
struct peer_fetch {
  request_id request;
  log_offset from;
};

// The highest config offset that a live peer reports. Offsets of peers without
// a state are invalid and left out.
struct peer_offsets {
  log_offset highest;
  // The peer's address, as fetch_from_peer gives it back.
  std::string address;
};

// Whether this host is the live member with the lowest id, which appends the
// snapshots.
struct lowest_member {
  bool is_self = false;
};

// ---- Effects of the config duty

enum class change_action { kApplied, kRemoved, kStepped };
std::string_view to_string(change_action action);

// One accepted record, without its contents.
struct config_change {
  log_offset offset;
  resource_key key;
  change_action action = change_action::kApplied;
  bool operator==(const config_change&) const = default;
};

// The table has advanced. Published once the host has a state, with offsets
// that only grow.
struct config_published {
  config_snapshot view;
  // What was accepted since the publication before, in log order.
  std::vector<config_change> changes;
  // False if `changes` is not all, because a whole table was taken over.
  bool changes_complete = true;
};

// The record was read back at its offset. `revision` is the resource's
// revision, which stays the same if its spec did; of a removal, the record's
// offset; in a dry run, the present revision (invalid if the resource does not
// exist).
struct write_accepted {
  log_offset revision;
};
// Another record came first, or another resource is in the way. `current` is
// the revision of the resource; invalid if it does not exist.
struct write_conflict {
  log_offset current;
  std::string reason;
};
// Nothing was written, and nothing will be. The kind is kInvalidInput,
// kNotFound, kUnavailable or kOverloaded.
struct write_refused {
  error_kind kind = error_kind::kInvalidInput;
  std::string problem;
  std::string remedy;
};
// The deadline passed before the log showed what became of the record.
struct write_unknown {};

using write_outcome =
    std::variant<write_accepted, write_conflict, write_refused, write_unknown>;

struct write_result {
  request_id request;
  write_outcome outcome;
};

// Asks the log duty to deliver the stream "config" from this offset on.
struct set_tail_offset {
  log_offset from;
};

// Asks a peer for its state from this offset on (its peer_fetch); the answer
// comes as peer_records or peer_snapshot.
struct fetch_from_peer {
  std::string address;
  log_offset from;
};

// Answer to peer_fetch.
using peer_state = std::variant<peer_records, peer_snapshot>;
struct peer_answer {
  request_id request;
  peer_state state;
};

// Whether the stream "config" can be read; told on each change.
struct log_readable_changed {
  bool readable = false;
};

std::string EncodePeerState(const peer_state& state);
// Throws protocol_error on malformed input.
peer_state DecodePeerState(std::string_view text);

// ---- The machine

// Replicates the resource table by replaying the stream "config" and, where the
// log cannot be read or no longer holds what is missing, from peers. Writes are
// answered once their records are read back.
class config_machine {
 public:
  using message = std::variant<log_batch,
                               log_unavailable,
                               append_result,
                               write_request,
                               propose_move_step,
                               peer_records,
                               peer_snapshot,
                               peer_fetch,
                               peer_offsets,
                               lowest_member,
                               tick>;
  using effect = std::variant<config_published,
                              write_result,
                              append_request,
                              set_tail_offset,
                              fetch_from_peer,
                              peer_answer,
                              log_readable_changed>;

  // `writer` makes nonces unique: it must differ between hosts and between runs
  // of one host, such as "name/incarnation".
  explicit config_machine(std::string writer) : writer_(std::move(writer)) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Writes need each tick; without any, only the next question to a peer and
  // the next snapshot do.
  std::optional<time_point> NextDeadline() const;

 private:
  // A write whose record may be in the log.
  struct pending_write {
    request_id request;
    std::string nonce;
    resource_key key;
    std::string text;
    time_point deadline;
    // Where the log said that it put the record.
    log_offset appended_at;
    // When the record is appended again with the same nonce.
    std::optional<time_point> retry_at;
    // An append got no answer, so that the record may be in the log.
    bool in_doubt = false;
    // A whole table was taken over, so that the record may have been passed
    // without being seen.
    bool passed_unseen = false;
  };

  // What the current step does; the state itself is below.
  struct step_context {
    const timestamp& now;
    std::vector<effect>& out;
  };

  void Handle(const log_batch& batch, step_context& c);
  void Handle(const log_unavailable& lost, step_context& c);
  void Handle(const append_result& result, step_context& c);
  void Handle(const write_request& request, step_context& c);
  void Handle(const propose_move_step& proposal, step_context& c);
  void Handle(const peer_records& records, step_context& c);
  void Handle(const peer_snapshot& snapshot, step_context& c);
  void Handle(const peer_fetch& fetch, step_context& c);
  void Handle(const peer_offsets& offsets, step_context& c);
  void Handle(const lowest_member& lowest, step_context& c);
  void Handle(const tick&, step_context& c);

  void SetReadable(bool readable, step_context& c);
  void Publish(step_context& c);

  // Replay.
  void ReplayBatch(const log_batch& batch, step_context& c);
  void ReplayText(const log_record& record, step_context& c);
  void ReplayOne(const config_record& record,
                 log_offset offset,
                 step_context& c);
  void Collect(const log_batch& batch, step_context& c);
  void ReplayCollected(step_context& c);
  void TakeTable(const config_view& table);
  void TakenFromPeer(step_context& c);
  void Remember(const config_record& record, log_offset offset);

  // Writes.
  std::optional<write_outcome> CheckWrite(const write_request& request,
                                          const timestamp& now) const;
  std::optional<write_outcome> CheckAvailable(const write_request& request,
                                              const timestamp& now) const;
  std::optional<write_outcome> CheckRevision(
      const write_request& request) const;
  void Begin(const write_request& request, step_context& c);
  void SettleByNonce(const std::string& nonce,
                     const replay_decision& decision,
                     step_context& c);
  void SettlePassed(step_context& c);
  void TickWrites(step_context& c);
  void RetryAppend(std::uint64_t token, pending_write& write, step_context& c);
  void Append(std::uint64_t token, const std::string& text, step_context& c);
  std::string NonceOf(std::uint64_t token) const;

  void FetchIfBehind(step_context& c);
  // nullopt while this host is not behind its peers.
  std::optional<time_point> FetchDue() const;
  // nullopt unless this host can write snapshots and is the one to do it.
  std::optional<time_point> SnapshotDue() const;
  void AppendSnapshotIfDue(step_context& c);
  log_offset next() const { return table_.through.next(); }

  std::string writer_;
  bool started_ = false;
  config_view table_;
  // False until the log was read to its end or a peer's state was taken.
  bool has_state_ = false;
  bool readable_ = false;
  // The log's end at the last read, when that was, and how long it keeps
  // records.
  log_offset log_end_;
  time_point last_read_;
  milliseconds retention_{0};
  // The log no longer holds the records that this host has not replayed.
  bool in_gap_ = false;
  // Records after the gap, kept until a snapshot or a peer closes it.
  std::vector<log_record> collected_;

  // Accepted records from history_from_ on, for peers.
  std::deque<offset_record> history_;
  log_offset history_from_{0};

  // Not yet published.
  std::vector<config_change> changes_;
  bool changes_complete_ = true;
  std::optional<log_offset> published_next_;

  std::uint64_t last_token_ = 0;
  // By the token of their appends.
  std::map<std::uint64_t, pending_write> writes_;
  // Moves with a proposal under way, until when no further one is appended.
  std::map<move_id, time_point> steps_under_way_;

  peer_offsets best_peer_;
  std::optional<time_point> behind_since_;
  std::optional<time_point> fetch_sent_;

  bool is_lowest_ = false;
  // When the last snapshot was written at the earliest; unknown after a start.
  std::optional<time_point> last_snapshot_;
  std::optional<time_point> snapshot_sent_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_CONFIG_H_
