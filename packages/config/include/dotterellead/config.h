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
#include "dotterellead/platform_client.h"

namespace dotterellead {

// ---- Resource kinds

// Requests with one method and path prefix. The method "*" matches all.
struct route_spec {
  std::string method = "*";
  std::string path_prefix = "/";
  // Whether a request may run twice. Others need an Idempotency-Key.
  bool idempotent = false;
  bool operator==(const route_spec&) const = default;
};

// A backend server.
struct server_spec {
  server_id address;
  data_centre_id data_centre;
  version_id version;
  // Concurrent requests that it may run, warm and cold.
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
  // Whether to add the backend servers on the platform's host list.
  bool from_host_list = false;
  // Slots of a server that is only on the host list.
  std::uint32_t default_slots = 2;
  // Maximum run time of a request on a backend server.
  milliseconds max_run = limits::kDefaultMaxRunTime;
  std::uint32_t queue_length = limits::kMaxQueuePerPool;
  // Share of slot time that probes of all entry hosts together may use.
  std::uint32_t probe_budget_per_mille = 10;
  bool operator==(const pool_spec&) const = default;
};

// A data centre and whether it is out of service, that is, gets no new
// requests.
struct data_centre_spec {
  bool is_out_of_service = false;
  bool operator==(const data_centre_spec&) const = default;
};

// A move of a pool's traffic to a new version, which is done or rolled back by
// a deadline.
struct move_spec {
  pool_id pool;
  version_id from_version;
  version_id to_version;
  unix_millis deadline;
  bool operator==(const move_spec&) const = default;
};

using resource_spec = std::variant<pool_spec, data_centre_spec, move_spec>;

// A resource as written by an operator. The type of the spec determines its
// kind.
struct resource {
  std::string name;
  resource_spec spec;
  bool operator==(const resource&) const = default;
};

// "pool", "data_centre" or "move".
std::string_view KindName(const resource_spec& spec);
// The names of all kinds, in the order of the variant.
const std::vector<std::string>& KindNames();

// Parses one JSON resource {"kind","api_version":"v1","name","spec":{...}}.
// Throws invalid_input_error, which names the field and the remedy, on unknown
// or missing fields, wrong types and units, and invalid values.
resource ParseResource(std::string_view json);
// Formats a resource as compact JSON with sorted keys, as read by
// ParseResource.
std::string FormatResource(const resource& r);

// ---- The table

enum class move_verdict { kMoving, kDone, kRolledBack };
std::string_view to_string(move_verdict verdict);

// Progress of a move. Set only by move_step records.
struct move_progress {
  // Share of requests that the new version gets.
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
  // Offset of the last record that removed a resource; invalid if none did.
  log_offset last_removal;

  bool IsOutOfService(const data_centre_id& name) const;
  bool operator==(const config_view&) const = default;
};

using config_snapshot = std::shared_ptr<const config_view>;

// The pool and route of a request.
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

// The log stream of the records below.
const stream_id& ConfigStream();

// A resource's kind and name.
struct resource_key {
  std::string kind;
  std::string name;
  auto operator<=>(const resource_key&) const = default;
};
resource_key KeyOf(const resource& r);

// Sets a resource. `base` is the revision that it replaces, invalid if the
// resource must not exist. `seen` is the offset up to which the writer had
// read: a creation loses against a later removal, since otherwise a duplicate
// of a record could restore a removed resource.
struct apply_record {
  resource item;
  log_offset base;
  log_offset seen;
  std::string nonce;
  bool operator==(const apply_record&) const = default;
};

// Removes a resource.
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

// Result of replaying a record.
struct replay_decision {
  bool accepted = false;
  // The resource's revision after the record, invalid if it does not exist; the
  // record's own offset if it removed the resource.
  log_offset revision;
  // Why the record was rejected; empty if it was accepted.
  std::string reason;
};

// Applies `record`, read at `offset`, to `table` and sets `table.through` to
// `offset`. Depends on its arguments only, so that all hosts decide equally.
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
  // Whether to remove the resource instead of applying it; then only its kind
  // and name are used.
  bool remove = false;
  resource item;
  // The revision that the operator expects. An invalid offset means that the
  // resource must not exist; nullopt accepts any.
  std::optional<log_offset> expected;
  time_point deadline;
  // Whether to only check the write.
  bool dry_run = false;
};

// A proposal of the rollout duty. The response is the next config_published; a
// proposal that is lost or late has no effect and may be repeated.
struct propose_move_step {
  move_id move;
  log_offset revision;
  std::uint32_t from_step = 0;
  move_progress next;
};

// All accepted records from offset `from` to `through`. Records at other
// offsets were rejected.
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

// A peer's request for the state from offset `from`. Answered by peer_answer.
struct peer_fetch {
  request_id request;
  log_offset from;
};

// The highest configuration offset that a live peer reports. Peers without a
// state are left out.
struct peer_offsets {
  log_offset highest;
  // The peer's address, for fetch_from_peer.
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

// An accepted record without its contents.
struct config_change {
  log_offset offset;
  resource_key key;
  change_action action = change_action::kApplied;
  bool operator==(const config_change&) const = default;
};

// The table has advanced. Emitted once the host has a state, with increasing
// offsets.
struct config_published {
  config_snapshot view;
  // Records accepted since the previous publication, in log order.
  std::vector<config_change> changes;
  // False if `changes` is incomplete because a whole table was taken over.
  bool changes_complete = true;
};

// The record was read back at its offset. `revision` is the resource's
// revision, which is unchanged if its spec is; for a removal, the record's
// offset; in a dry run, the current revision (invalid if the resource does not
// exist).
struct write_accepted {
  log_offset revision;
};
// Another record came first, or another resource conflicts. `current` is the
// revision of the resource; invalid if it does not exist.
struct write_conflict {
  log_offset current;
  std::string reason;
};
// Nothing was or will be written. The kind is kInvalidInput, kNotFound,
// kUnavailable or kOverloaded.
struct write_rejected {
  error_kind kind = error_kind::kInvalidInput;
  std::string problem;
  std::string remedy;
};
// The deadline passed before the log showed the outcome.
struct write_unknown {};

using write_outcome =
    std::variant<write_accepted, write_conflict, write_rejected, write_unknown>;

struct write_result {
  request_id request;
  write_outcome outcome;
};

// Sets the offset from which the log duty delivers the stream "config".
struct set_tail_offset {
  log_offset from;
};

// Requests a peer's state from this offset on (its peer_fetch). Answered by
// peer_records or peer_snapshot.
struct fetch_from_peer {
  std::string address;
  log_offset from;
};

// Response to peer_fetch.
using peer_state = std::variant<peer_records, peer_snapshot>;
struct peer_answer {
  request_id request;
  peer_state state;
};

// Whether the stream "config" is readable; emitted on each change.
struct log_readable_changed {
  bool readable = false;
};

std::string EncodePeerState(const peer_state& state);
// Throws protocol_error on malformed input.
peer_state DecodePeerState(std::string_view text);

// ---- State machine

// Replicates the resource table by replaying the stream "config" and, if the
// log is unreadable or no longer has the missing records, from peers. Responds
// to writes once their records are read back. Not thread-safe.
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

  // `writer` makes nonces unique: it must differ between hosts and between
  // incarnations of a host, such as "name/incarnation".
  explicit config_machine(std::string writer) : writer_(std::move(writer)) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Every tick while writes are pending; otherwise when the next request to a
  // peer or the next snapshot is due.
  std::optional<time_point> NextDeadline() const;

 private:
  // A write whose record may be in the log.
  struct pending_write {
    request_id request;
    std::string nonce;
    resource_key key;
    std::string text;
    time_point deadline;
    // Offset of the record according to the log's reply.
    log_offset appended_at;
    // When the record is appended again with the same nonce.
    std::optional<time_point> retry_at;
    // Whether an append got no response, so that the record may be in the log.
    bool may_be_in_log = false;
    // Whether a whole table was taken over, so that the record may have been
    // skipped without being seen.
    bool was_skipped = false;
  };

  // Time and effects of the current step.
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
  void CollectAfterGap(const log_batch& batch, step_context& c);
  void ReplayCollected(step_context& c);
  void ReplaceTable(const config_view& table);
  void OnPeerState(step_context& c);
  void AddToHistory(const config_record& record, log_offset offset);

  // Writes.
  std::optional<write_outcome> CheckWrite(const write_request& request,
                                          const timestamp& now) const;
  std::optional<write_outcome> CheckAvailable(const write_request& request,
                                              const timestamp& now) const;
  std::optional<write_outcome> CheckRevision(
      const write_request& request) const;
  void Begin(const write_request& request, step_context& c);
  void CompleteByNonce(const std::string& nonce,
                       const replay_decision& decision,
                       step_context& c);
  void CompleteSkipped(step_context& c);
  void TickWrites(step_context& c);
  void RetryAppend(std::uint64_t token, pending_write& write, step_context& c);
  void Append(std::uint64_t token, const std::string& text, step_context& c);
  std::string NonceOf(std::uint64_t token) const;

  void FetchIfBehind(step_context& c);
  // nullopt while this host is not behind its peers.
  std::optional<time_point> NextFetchAt() const;
  // nullopt unless this host appends the snapshots and can do so.
  std::optional<time_point> NextSnapshotAt() const;
  void AppendSnapshotIfDue(step_context& c);
  log_offset next() const { return table_.through.next(); }

  std::string writer_;
  bool is_started_ = false;
  config_view table_;
  // False until the log was read to its end or a peer's state was taken over.
  bool has_state_ = false;
  bool is_log_readable_ = false;
  // The log's end at the last read, the time of that read, and the log's
  // retention.
  log_offset log_end_;
  time_point last_read_;
  milliseconds retention_{0};
  // Whether the log no longer has the records that this host has to replay
  // next.
  bool is_in_gap_ = false;
  // Records after the gap, kept until a snapshot or a peer's state fills it.
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
