#include <algorithm>

#include "config_replay.h"

namespace dotterellead {
namespace {

constexpr std::size_t kMaxPendingWrites = 256;
// Time after which an append without a response is repeated.
constexpr milliseconds kAppendRetryInterval{200};
// Minimum time between two proposals for a move.
constexpr milliseconds kMinStepProposalInterval{500};

write_rejected Unavailable(std::string problem) {
  return {error_kind::kUnavailable, std::move(problem),
          "try again once the log can be read"};
}

bool HasVersion(const pool_spec& pool, const version_id& version) {
  return std::any_of(
      pool.servers.begin(), pool.servers.end(),
      [&](const server_spec& server) { return server.version == version; });
}

std::optional<write_outcome> CheckMove(const config_view& table,
                                       const std::string& name,
                                       const move_spec& move,
                                       unix_millis now) {
  const auto pool = table.pools.find(move.pool);
  if (pool == table.pools.end()) {
    return write_rejected{
        error_kind::kInvalidInput,
        "spec.pool names " + move.pool.value() + ", which does not exist",
        "apply the pool first"};
  }
  if (move.deadline <= now) {
    return write_rejected{error_kind::kInvalidInput,
                          "spec.deadline_unix_ms has passed",
                          "use a later deadline"};
  }
  if (auto found = FindMoveInProgress(table, move.pool, move_id(name)))
    return write_conflict{RevisionOf(table, {"move", name}), found->reason};
  // The host list has servers that are not in this table.
  if (pool->second.spec.from_host_list)
    return std::nullopt;
  for (const version_id& version : {move.from_version, move.to_version}) {
    if (!HasVersion(pool->second.spec, version)) {
      return write_rejected{error_kind::kInvalidInput,
                            "no server of pool " + move.pool.value() +
                                " has version " + version.value(),
                            "add its servers to the pool first"};
    }
  }
  return std::nullopt;
}

// Checks against other resources on this host. Replay does not repeat those on
// versions and time.
std::optional<write_outcome> CheckReferences(const config_view& table,
                                             const write_request& request,
                                             unix_millis now) {
  const resource_key key = KeyOf(request.item);
  if (request.remove) {
    const auto found =
        key.kind == "pool"
            ? FindMoveInProgress(table, pool_id(key.name), move_id())
            : std::nullopt;
    if (!found)
      return std::nullopt;
    return write_rejected{error_kind::kInvalidInput, found->reason,
                          "wait for its end, or remove the move first"};
  }
  const std::optional<resource> present = FindResource(table, key);
  const bool same = present && present->spec == request.item.spec;
  const auto* move = std::get_if<move_spec>(&request.item.spec);
  if (move == nullptr || same)
    return std::nullopt;
  return CheckMove(table, request.item.name, *move, now);
}

write_outcome OutcomeOf(const replay_decision& decision) {
  if (decision.accepted)
    return write_accepted{decision.revision};
  return write_conflict{decision.revision, decision.reason};
}

}  // namespace

// ---- Requests

void config_machine::Handle(const write_request& request, step_context& c) {
  if (auto outcome = CheckWrite(request, c.now)) {
    c.out.push_back(write_result{request.request, *outcome});
    return;
  }
  if (request.dry_run) {
    const log_offset current = RevisionOf(table_, KeyOf(request.item));
    c.out.push_back(write_result{request.request, write_accepted{current}});
    return;
  }
  Begin(request, c);
}

std::optional<write_outcome> config_machine::CheckWrite(
    const write_request& request,
    const timestamp& now) const {
  if (auto outcome = CheckAvailable(request, now))
    return outcome;
  if (auto outcome = CheckRevision(request))
    return outcome;
  return CheckReferences(table_, request, now.wall);
}

std::optional<write_outcome> config_machine::CheckAvailable(
    const write_request& request,
    const timestamp& now) const {
  if (!has_state_)
    return Unavailable("this host has no configuration yet");
  if (request.dry_run)
    return std::nullopt;
  if (!is_log_readable_)
    return Unavailable("the log cannot be read");
  if (request.deadline <= now.steady)
    return Unavailable("the deadline passed before the write began");
  if (writes_.size() >= kMaxPendingWrites) {
    return write_rejected{error_kind::kOverloaded,
                          "too many writes are under way", "try again later"};
  }
  return std::nullopt;
}

std::optional<write_outcome> config_machine::CheckRevision(
    const write_request& request) const {
  const log_offset current = RevisionOf(table_, KeyOf(request.item));
  // A revision that this host has not read yet is checked by replay.
  const bool ahead = request.expected && request.expected->is_valid() &&
                     *request.expected >= next();
  if (ahead)
    return std::nullopt;
  if (request.remove && !current.is_valid()) {
    return write_rejected{error_kind::kNotFound, "the resource does not exist",
                          "check its kind and name"};
  }
  if (request.expected && *request.expected != current)
    return write_conflict{current, "the resource has another revision"};
  return std::nullopt;
}

void config_machine::Begin(const write_request& request, step_context& c) {
  const std::uint64_t token = ++last_token_;
  pending_write write;
  write.request = request.request;
  write.nonce = NonceOf(token);
  write.key = KeyOf(request.item);
  write.deadline = request.deadline;
  const log_offset base =
      request.expected.value_or(RevisionOf(table_, write.key));
  write.text = EncodeConfigRecord(
      request.remove
          ? config_record(remove_record{write.key, base, write.nonce})
          : apply_record{request.item, base, table_.through, write.nonce});
  Append(token, write.text, c);
  writes_.emplace(token, std::move(write));
}

void config_machine::Append(std::uint64_t token,
                            const std::string& text,
                            step_context& c) {
  c.out.push_back(append_request{ConfigStream(), token, {text}});
}

std::string config_machine::NonceOf(std::uint64_t token) const {
  return writer_ + "#" + std::to_string(token);
}

void config_machine::Handle(const propose_move_step& proposal,
                            step_context& c) {
  const auto it = table_.moves.find(proposal.move);
  if (!is_log_readable_ || !has_state_ || it == table_.moves.end())
    return;
  const stored_move& move = it->second;
  if (move.revision != proposal.revision ||
      move.progress.step != proposal.from_step ||
      move.progress.verdict != move_verdict::kMoving)
    return;
  time_point& until = steps_under_way_[proposal.move];
  if (until > c.now.steady)
    return;
  until = c.now.steady + kMinStepProposalInterval;
  const std::uint64_t token = ++last_token_;
  const move_step_record record{proposal.move, proposal.revision,
                                proposal.from_step, proposal.next,
                                NonceOf(token)};
  Append(token, EncodeConfigRecord(record), c);
}

// ---- Responses

void config_machine::Handle(const append_result& result, step_context& c) {
  const auto it = writes_.find(result.token);
  if (result.stream != ConfigStream() || it == writes_.end())
    return;
  pending_write& write = it->second;
  if (result.status == append_status::kAppended) {
    write.appended_at = result.first;
    CompleteSkipped(c);
    return;
  }
  if (result.status == append_status::kUnknown)
    write.may_be_in_log = true;
  if (write.may_be_in_log) {
    write.retry_at = c.now.steady + kAppendRetryInterval;
    return;
  }
  c.out.push_back(write_result{
      write.request, Unavailable("the log refused to append the record")});
  writes_.erase(it);
}

void config_machine::CompleteByNonce(const std::string& nonce,
                                     const replay_decision& decision,
                                     step_context& c) {
  const auto it = std::find_if(
      writes_.begin(), writes_.end(),
      [&](const auto& entry) { return entry.second.nonce == nonce; });
  if (it == writes_.end())
    return;
  c.out.push_back(write_result{it->second.request, OutcomeOf(decision)});
  writes_.erase(it);
}

// Completes writes whose records are within a state received from a peer. A
// peer's records are all that were accepted, so a record not among them was
// rejected. With a whole table, only a revision that is still current shows the
// outcome.
void config_machine::CompleteSkipped(step_context& c) {
  std::erase_if(writes_, [&](const auto& entry) {
    const pending_write& write = entry.second;
    if (!write.appended_at.is_valid() || write.appended_at >= next())
      return false;
    const log_offset current = RevisionOf(table_, write.key);
    write_outcome outcome = write_unknown{};
    if (current == write.appended_at)
      outcome = write_accepted{current};
    else if (!write.was_skipped)
      outcome = write_conflict{current, "another change came first"};
    c.out.push_back(write_result{write.request, outcome});
    return true;
  });
}

void config_machine::TickWrites(step_context& c) {
  std::erase_if(writes_, [&](const auto& entry) {
    if (entry.second.deadline > c.now.steady)
      return false;
    c.out.push_back(write_result{entry.second.request, write_unknown{}});
    return true;
  });
  for (auto& [token, write] : writes_)
    RetryAppend(token, write, c);
}

// An append without a response is repeated with the same nonce: the first copy
// in the log decides, and the second finds its base revision replaced. After a
// whole table was taken over, a second copy could lose against a first one that
// this host has not seen.
void config_machine::RetryAppend(std::uint64_t token,
                                 pending_write& write,
                                 step_context& c) {
  const bool due = write.retry_at && *write.retry_at <= c.now.steady;
  if (!due || !is_log_readable_ || write.was_skipped)
    return;
  write.retry_at.reset();
  Append(token, write.text, c);
}

}  // namespace dotterellead
