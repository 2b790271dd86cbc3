#include <algorithm>

#include "membership_impl.h"

namespace dotterellead {
namespace {

// A longer time without any step means that this host was paused.
constexpr milliseconds kPause = 2 * limits::kGossipInterval;
// An append whose outcome does not show up in the log is given up after this
// time. Giving up is safe: a late record with an outdated base is rejected.
constexpr milliseconds kAppendPatience{2'000};

bool IsMembersStream(const stream_id& stream) {
  return stream.value() == kMembersStream;
}

}  // namespace

milliseconds AnswerValidity(std::size_t members) {
  const std::size_t others = std::max<std::size_t>(members, 1) - 1;
  const std::size_t intervals =
      (others + limits::kGossipFanOut - 1) / limits::kGossipFanOut;
  return std::max<milliseconds>(limits::kQuorumValidity,
                                3 * intervals * limits::kGossipInterval);
}

milliseconds SuspectTime(std::size_t members) {
  // Up to 32 members a heartbeat reaches all others well within the suspect
  // time; each doubling beyond takes up to two more intervals.
  milliseconds time = limits::kSuspectTimeout;
  for (std::size_t n = 32; n < members; n *= 2)
    time += 2 * limits::kGossipInterval;
  return time;
}

membership_machine::impl::impl(membership_settings settings,
                               const timestamp& now)
    : settings_(std::move(settings)),
      table_(settings_.self),
      quorum_(settings_.self),
      schedule_(settings_.self.address),
      now_(now.steady),
      started_(now.steady),
      answered_(now.steady),
      adopted_at_(now.steady),
      recorded_at_(now.steady),
      appended_at_(now.steady) {}

void membership_machine::impl::Step(const message& m,
                                    const timestamp& now,
                                    effects& out) {
  const time_point last = now_;
  now_ = std::max(now.steady, now_);
  if (now_ - last > kPause)
    NotePause(std::chrono::duration_cast<milliseconds>(now_ - last));
  std::visit([&](const auto& content) { On(content, out); }, m);
}

// Without this, a host that resumes would take everybody else for missing.
void membership_machine::impl::NotePause(milliseconds pause) {
  table_.SkipPause(pause);
  answered_ += pause;
}

void membership_machine::impl::On(const tick&, effects& out) {
  if (!IsDeaf())
    ++heartbeat_;
  if (pending_ && now_ - pending_->since > kAppendPatience)
    pending_.reset();
  SettleEpochs();
  Gossip(out);
  Propose(out);
  Refresh(out);
  EmitPeers(out);
  right_ = Right();
  out.emplace_back(right_);
}

void membership_machine::impl::On(const gossip_received& m, effects& out) {
  TakeDigest(m.digest);
  out.emplace_back(answer_gossip{m.request, Report()});
  EmitRight(out);
}

void membership_machine::impl::On(const gossip_reply& m, effects& out) {
  answered_ = now_;
  HearReport(m.report);
  if (m.sent_at <= now_)
    quorum_.TakeAnswer(m.report, m.sent_at);
  EmitRight(out);
}

// Only silence counts against a host: a single call may fail for any reason.
void membership_machine::impl::On(const gossip_failed&, effects&) {}

void membership_machine::impl::On(const log_batch& m, effects& out) {
  if (!IsMembersStream(m.stream))
    return;
  const epoch_name before = log_.current().name;
  log_.BeginBatch(m.first,
                  m.records.empty() ? m.first : m.records.front().offset);
  for (const log_record& record : m.records) {
    const epoch former = log_.current();
    const epoch_log::change change = log_.Apply(record);
    if (change.adopted)
      AdoptEpoch(former, change);
    if (change.refreshed) {
      recorded_at_ = now_;
      pending_.reset();
    }
    open_.TakeEnded(change.ended, now_);
  }
  retention_ = m.retention;
  synced_ = log_.next_offset() >= m.next;
  if (log_.current().name == before)
    return;
  SettleEpochs();
  out.emplace_back(epoch_changed{log_.current().name, log_.current().members});
  EmitRight(out);
}

void membership_machine::impl::On(const log_unavailable& m, effects&) {
  if (IsMembersStream(m.stream))
    synced_ = false;
}

void membership_machine::impl::On(const append_result& m, effects&) {
  // An appended record takes effect when it is read back. Of an unknown outcome
  // nothing is assumed either.
  if (IsMembersStream(m.stream) && pending_ && pending_->token == m.token &&
      m.status == append_status::kRefused) {
    pending_.reset();
  }
}

void membership_machine::impl::On(const host_list& m, effects&) {
  table_.TakeHostList(m);
}

void membership_machine::impl::On(const config_offset_changed& m, effects&) {
  config_offset_ = m.offset;
}

void membership_machine::impl::On(const leaving&, effects& out) {
  leaving_ = true;
  // A report counts only with a newer heartbeat.
  ++heartbeat_;
  Gossip(out);
}

void membership_machine::impl::HearReport(const self_report& report) {
  table_.HearDirect(report, now_);
  open_.TakeReport(report, now_);
  open_.TakeEnded(report.ended, now_);
}

void membership_machine::impl::AdoptEpoch(const epoch& former,
                                          const epoch_log::change& change) {
  const epoch& current = log_.current();
  if (former.name.number.value() > 0)
    open_.Add(former);
  if (change.skipped)
    open_.AddUnseen(epoch_number(current.name.number.value() - 1));
  for (const member_run& run : current.members)
    table_.Expect(run, now_);
  quorum_.Begin(current);
  open_.TakeReport(Report(), now_);
  for (const auto& [id, member] : table_.members()) {
    self_report known;
    known.self = member.run;
    known.epoch = member.reported;
    open_.TakeReport(known, now_);
  }
  adopted_at_ = now_;
  recorded_at_ = now_;
  differs_since_.reset();
  pending_.reset();
  catch_up_sent_.clear();
}

void membership_machine::impl::SettleEpochs() {
  open_.CountGone(
      [this](const member_run& run) { return table_.IsGone(run, now_); }, now_);
  open_.EndUnseen([this] { return AllListedReached(); }, now_);
  open_.Settle(log_.current().name.number, now_);
  std::set<member_id> keep;
  for (const member_run& run : log_.current().members)
    keep.insert(run.id);
  open_.VisitMembers([&](const member_run& run) { keep.insert(run.id); });
  table_.Forget(keep, now_);
}

bool membership_machine::impl::AllListedReached() const {
  std::set<std::string> reached = {settings_.self.address};
  for (const auto& [id, member] : table_.members()) {
    if (member.reported.number >= log_.current().name.number)
      reached.insert(member.run.address);
  }
  const host_list& list = table_.listed();
  const auto is_reached = [&](const std::string& address) {
    return reached.contains(address);
  };
  return !list.live.empty() &&
         std::all_of(list.live.begin(), list.live.end(), is_reached) &&
         std::all_of(list.leaving.begin(), list.leaving.end(), is_reached);
}

void membership_machine::impl::EmitPeers(effects& out) {
  std::vector<live_peer> peers;
  std::set<member_run> live;
  for (const auto& [id, member] : table_.members()) {
    if (!member.heard || !table_.IsLive(member, now_))
      continue;
    peers.push_back({member.run, IsLeaving(member), member.config_offset});
    live.insert(member.run);
  }
  if (peers == peers_)
    return;
  for (const live_peer& peer : peers_) {
    if (!live.contains(peer.run))
      out.emplace_back(peer_lost{peer.run});
  }
  peers_ = peers;
  out.emplace_back(peers_changed{std::move(peers)});
}

home_right membership_machine::impl::Right() const {
  const epoch_name& name = log_.current().name;
  const std::optional<time_point> until = quorum_.ValidUntil(now_);
  home_right right;
  right.epoch = name.number;
  right.may_lend = until && *until > now_;
  right.valid_until = until.value_or(time_point());
  right.earlier_ended_at = open_.AllEndedAt(name.number);
  right.open_epochs = open_.numbers();
  return right;
}

void membership_machine::impl::EmitRight(effects& out) {
  home_right right = Right();
  const bool same = right.epoch == right_.epoch &&
                    right.may_lend == right_.may_lend &&
                    right.earlier_ended_at == right_.earlier_ended_at &&
                    right.open_epochs == right_.open_epochs;
  if (same)
    return;
  right_ = std::move(right);
  out.emplace_back(right_);
}

membership_machine::membership_machine(membership_settings settings,
                                       const timestamp& now)
    : impl_(std::make_unique<impl>(std::move(settings), now)) {}

membership_machine::~membership_machine() = default;
membership_machine::membership_machine(membership_machine&&) noexcept = default;
membership_machine& membership_machine::operator=(
    membership_machine&&) noexcept = default;

void membership_machine::Step(const message& m,
                              const timestamp& now,
                              std::vector<effect>& out) {
  impl_->Step(m, now, out);
}

log_offset membership_machine::next_offset() const {
  return impl_->next_offset();
}

}  // namespace dotterellead
