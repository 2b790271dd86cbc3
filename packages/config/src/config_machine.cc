#include <algorithm>

#include "config_replay.h"

namespace dotterellead {
namespace {

// Accepted records kept for peers. A peer that lacks more gets the whole table.
constexpr std::size_t kMaxHistory = 1024;
// How long a readable log may lag behind a peer before the peer's state is
// requested.
constexpr milliseconds kMaxLogLag{500};
// Time without a response after which a request to a peer is repeated.
constexpr milliseconds kFetchRetryInterval{300};
constexpr milliseconds kSnapshotRetryInterval{2'000};
// A snapshot is due after an eighth of the retention. The other half of the
// permitted quarter covers failed appends and a change of the lowest member.
constexpr int kSnapshotsPerRetention = 8;

// nullopt if malformed. All hosts read the same text, so all skip it.
std::optional<config_record> TryDecode(const std::string& text) {
  try {
    return DecodeConfigRecord(text);
  } catch (const protocol_error&) {
    return std::nullopt;
  }
}

}  // namespace

void config_machine::Step(const message& m,
                          const timestamp& now,
                          std::vector<effect>& out) {
  step_context c{now, out};
  if (!is_started_) {
    is_started_ = true;
    out.push_back(set_tail_offset{next()});
  }
  std::visit([&](const auto& body) { Handle(body, c); }, m);
  Publish(c);
}

void config_machine::Publish(step_context& c) {
  if (!has_state_ || published_next_ == next())
    return;
  published_next_ = next();
  c.out.push_back(config_published{std::make_shared<const config_view>(table_),
                                   std::move(changes_), changes_complete_});
  changes_.clear();
  changes_complete_ = true;
}

void config_machine::SetReadable(bool readable, step_context& c) {
  if (is_log_readable_ == readable)
    return;
  is_log_readable_ = readable;
  c.out.push_back(log_readable_changed{readable});
}

// ---- The log

void config_machine::Handle(const log_batch& batch, step_context& c) {
  if (batch.stream != ConfigStream())
    return;
  SetReadable(true, c);
  retention_ = batch.retention;
  ReplayBatch(batch, c);
  log_end_ = batch.next;
  last_read_ = c.now.steady;
  if (!is_in_gap_ && next() >= log_end_)
    has_state_ = true;
  FetchIfBehind(c);
}

void config_machine::Handle(const log_unavailable& lost, step_context& c) {
  if (lost.stream != ConfigStream())
    return;
  SetReadable(false, c);
  FetchIfBehind(c);
}

void config_machine::ReplayBatch(const log_batch& batch, step_context& c) {
  is_in_gap_ = batch.first > next();
  if (is_in_gap_ || !collected_.empty()) {
    CollectAfterGap(batch, c);
    return;
  }
  for (const log_record& record : batch.records) {
    if (record.offset < next())
      continue;
    if (record.offset > next()) {
      c.out.push_back(set_tail_offset{next()});
      return;
    }
    ReplayText(record, c);
    behind_since_.reset();
  }
}

void config_machine::ReplayText(const log_record& record, step_context& c) {
  const std::optional<config_record> decoded = TryDecode(record.data);
  if (!decoded) {
    table_.through = record.offset;
    return;
  }
  // Written after the last read, so not before that time.
  const bool is_new = log_end_.is_valid() && record.offset >= log_end_;
  if (is_new && std::holds_alternative<snapshot_record>(*decoded))
    last_snapshot_ = last_read_;
  ReplayOne(*decoded, record.offset, c);
}

void config_machine::ReplayOne(const config_record& record,
                               log_offset offset,
                               step_context& c) {
  const replay_decision decision = ReplayRecord(table_, record, offset);
  if (decision.accepted)
    AddToHistory(record, offset);
  if (const auto* step = std::get_if<move_step_record>(&record))
    steps_under_way_.erase(step->move);
  CompleteByNonce(NonceOfRecord(record), decision, c);
}

void config_machine::AddToHistory(const config_record& record,
                                  log_offset offset) {
  const std::optional<config_change> change = ChangeOf(record, offset);
  if (!change)
    return;
  changes_.push_back(*change);
  history_.push_back({offset, record});
  if (history_.size() > kMaxHistory) {
    history_from_ = history_.front().offset.next();
    history_.pop_front();
  }
}

// ---- Truncated logs

void config_machine::CollectAfterGap(const log_batch& batch, step_context& c) {
  for (const log_record& record : batch.records) {
    if (!collected_.empty() && record.offset <= collected_.back().offset)
      continue;
    if (!collected_.empty() && record.offset > collected_.back().offset.next())
      collected_.clear();
    collected_.push_back(record);
    const std::optional<config_record> decoded = TryDecode(record.data);
    const auto* snapshot =
        decoded ? std::get_if<snapshot_record>(&*decoded) : nullptr;
    if (snapshot == nullptr)
      continue;
    const log_offset resumes_at = snapshot->table.through.next();
    if (resumes_at > next() && resumes_at >= collected_.front().offset)
      ReplaceTable(snapshot->table);
  }
  ReplayCollected(c);
}

// Continues with the records after a gap once the table reaches them.
void config_machine::ReplayCollected(step_context& c) {
  if (collected_.empty() || collected_.front().offset > next())
    return;
  is_in_gap_ = false;
  const std::vector<log_record> records = std::move(collected_);
  collected_.clear();
  for (const log_record& record : records) {
    if (record.offset == next())
      ReplayText(record, c);
  }
}

// Replaces the table by a later one.
void config_machine::ReplaceTable(const config_view& table) {
  table_ = table;
  history_.clear();
  history_from_ = next();
  changes_.clear();
  changes_complete_ = false;
  steps_under_way_.clear();
  for (auto& [token, write] : writes_)
    write.was_skipped = true;
}

// ---- Peers

void config_machine::Handle(const peer_records& records, step_context& c) {
  fetch_sent_.reset();
  if (records.from > next() || records.through.next() <= next())
    return;
  for (const offset_record& r : records.records) {
    if (r.offset >= next())
      ReplayOne(r.record, r.offset, c);
  }
  table_.through = records.through;
  OnPeerState(c);
}

void config_machine::Handle(const peer_snapshot& snapshot, step_context& c) {
  fetch_sent_.reset();
  if (snapshot.table.through.next() <= next())
    return;
  ReplaceTable(snapshot.table);
  OnPeerState(c);
}

void config_machine::OnPeerState(step_context& c) {
  has_state_ = true;
  behind_since_.reset();
  ReplayCollected(c);
  CompleteSkipped(c);
  c.out.push_back(set_tail_offset{next()});
}

void config_machine::Handle(const peer_fetch& fetch, step_context& c) {
  if (fetch.from < history_from_) {
    c.out.push_back(peer_answer{fetch.request, peer_snapshot{table_}});
    return;
  }
  peer_records records{fetch.from, table_.through, {}};
  std::copy_if(history_.begin(), history_.end(),
               std::back_inserter(records.records),
               [&](const offset_record& r) { return r.offset >= fetch.from; });
  c.out.push_back(peer_answer{fetch.request, std::move(records)});
}

void config_machine::Handle(const peer_offsets& offsets, step_context& c) {
  best_peer_ = offsets;
  FetchIfBehind(c);
}

void config_machine::FetchIfBehind(step_context& c) {
  if (best_peer_.highest.next() <= next()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_)
    behind_since_ = c.now.steady;
  if (c.now.steady < *NextFetchAt())
    return;
  fetch_sent_ = c.now.steady;
  c.out.push_back(fetch_from_peer{best_peer_.address, next()});
}

std::optional<time_point> config_machine::NextFetchAt() const {
  if (best_peer_.highest.next() <= next())
    return std::nullopt;
  time_point due = behind_since_.value_or(time_point());
  const bool log_serves = is_log_readable_ && !is_in_gap_;
  if (behind_since_ && log_serves)
    due += kMaxLogLag;
  return fetch_sent_ ? std::max(due, *fetch_sent_ + kFetchRetryInterval) : due;
}

// ---- Snapshots and ticks

std::optional<time_point> config_machine::NextDeadline() const {
  if (!is_started_ || !writes_.empty())
    return time_point();
  const std::optional<time_point> fetch = NextFetchAt();
  const std::optional<time_point> snapshot = NextSnapshotAt();
  if (!fetch || !snapshot)
    return fetch ? fetch : snapshot;
  return std::min(*fetch, *snapshot);
}

void config_machine::Handle(const lowest_member& lowest, step_context& c) {
  is_lowest_ = lowest.is_self;
  AppendSnapshotIfDue(c);
}

void config_machine::Handle(const tick&, step_context& c) {
  TickWrites(c);
  FetchIfBehind(c);
  AppendSnapshotIfDue(c);
}

std::optional<time_point> config_machine::NextSnapshotAt() const {
  const bool caught_up = has_state_ && !is_in_gap_ && next() >= log_end_;
  if (!is_lowest_ || !is_log_readable_ || !caught_up ||
      retention_.count() == 0 || !table_.through.is_valid())
    return std::nullopt;
  const milliseconds interval = retention_ / kSnapshotsPerRetention;
  const milliseconds retry = std::min(interval / 4, kSnapshotRetryInterval);
  time_point due;
  if (last_snapshot_)
    due = std::max(due, *last_snapshot_ + interval);
  if (snapshot_sent_)
    due = std::max(due, *snapshot_sent_ + retry);
  return due;
}

void config_machine::AppendSnapshotIfDue(step_context& c) {
  const std::optional<time_point> due = NextSnapshotAt();
  if (!due || c.now.steady < *due)
    return;
  snapshot_sent_ = c.now.steady;
  Append(++last_token_, EncodeConfigRecord(snapshot_record{table_}), c);
}

}  // namespace dotterellead
