#include <algorithm>

#include "membership_impl.h"

namespace dotterellead {
namespace {

// A longer time without any step means that this host was paused.
constexpr milliseconds kMinPause = 2 * limits::kGossipInterval;
// An append that does not appear in the log is abandoned after this time. This
// is safe: a late record with an outdated base is rejected.
constexpr milliseconds kAppendTimeout{2'000};

bool IsMembersStream(const stream_id& stream) {
  return stream.value() == kMembersStream;
}

}  // namespace

milliseconds ResponseValidity(std::size_t members) {
  const std::size_t others = std::max<std::size_t>(members, 1) - 1;
  const std::size_t intervals =
      (others + limits::kGossipFanOut - 1) / limits::kGossipFanOut;
  return std::max<milliseconds>(limits::kQuorumValidity,
                                3 * intervals * limits::kGossipInterval);
}

milliseconds SuspectTimeout(std::size_t members) {
  // With up to 32 members a heartbeat reaches all others well within the
  // suspect timeout; each doubling beyond takes up to two more intervals.
  milliseconds time = limits::kSuspectTimeout;
  for (std::size_t n = 32; n < members; n *= 2)
    time += 2 * limits::kGossipInterval;
  return time;
}

membership_machine::impl::impl(membership_settings settings,
                               const timestamp& now)
    : settings_(std::move(settings)),
      members_(settings_.self),
      quorum_(settings_.self),
      schedule_(settings_.self.address),
      now_(now.steady),
      started_(now.steady),
      last_response_at_(now.steady),
      adopted_at_(now.steady),
      recorded_at_(now.steady),
      appended_at_(now.steady) {}

void membership_machine::impl::Step(const message& m,
                                    const timestamp& now,
                                    effects& out) {
  const time_point last = now_;
  now_ = std::max(now.steady, now_);
  if (now_ - last > kMinPause)
    HandlePause(std::chrono::duration_cast<milliseconds>(now_ - last));
  std::visit([&](const auto& content) { On(content, out); }, m);
}

// Otherwise a host that resumes would suspect all others.
void membership_machine::impl::HandlePause(milliseconds pause) {
  members_.ExcludePause(pause);
  last_response_at_ += pause;
}

void membership_machine::impl::On(const tick&, effects& out) {
  if (!IsIsolated())
    ++heartbeat_;
  if (pending_append_ && now_ - pending_append_->sent_at > kAppendTimeout)
    pending_append_.reset();
  UpdateFormerEpochs();
  SendGossip(out);
  Propose(out);
  AppendRefreshIfDue(out);
  EmitPeers(out);
  grant_right_ = ComputeGrantRight();
  out.emplace_back(grant_right_);
}

void membership_machine::impl::On(const gossip_received& m, effects& out) {
  ApplyDigest(m.digest);
  out.emplace_back(respond_to_gossip{m.request, MakeReport()});
  EmitGrantRight(out);
}

void membership_machine::impl::On(const gossip_response& m, effects& out) {
  last_response_at_ = now_;
  HandleReport(m.report);
  if (m.sent_at <= now_)
    quorum_.AddResponse(m.report, m.sent_at);
  EmitGrantRight(out);
}

// Only silence makes a host suspect: a single message may fail for any reason.
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
    if (change.is_adopted)
      AdoptEpoch(former, change);
    if (change.is_refreshed) {
      recorded_at_ = now_;
      pending_append_.reset();
    }
    former_epochs_.SetEnded(change.ended, now_);
  }
  retention_ = m.retention;
  is_log_read_ = log_.next_offset() >= m.next;
  if (log_.current().name == before)
    return;
  UpdateFormerEpochs();
  out.emplace_back(epoch_changed{log_.current().name, log_.current().members});
  EmitGrantRight(out);
}

void membership_machine::impl::On(const log_unavailable& m, effects&) {
  if (IsMembersStream(m.stream))
    is_log_read_ = false;
}

void membership_machine::impl::On(const append_result& m, effects&) {
  // An appended record takes effect when it is read back, so nothing is assumed
  // about an unknown outcome either.
  if (IsMembersStream(m.stream) && pending_append_ &&
      pending_append_->token == m.token &&
      m.status == append_status::kRejected) {
    pending_append_.reset();
  }
}

void membership_machine::impl::On(const host_list& m, effects&) {
  members_.SetHostList(m);
}

void membership_machine::impl::On(const config_offset_changed& m, effects&) {
  config_offset_ = m.offset;
}

void membership_machine::impl::On(const shutdown_started&, effects& out) {
  is_leaving_ = true;
  // A report is used only with a newer heartbeat.
  ++heartbeat_;
  SendGossip(out);
}

void membership_machine::impl::HandleReport(const self_report& report) {
  members_.UpdateFromReport(report, now_);
  former_epochs_.AddReport(report, now_);
  former_epochs_.SetEnded(report.ended, now_);
}

void membership_machine::impl::AdoptEpoch(const epoch& former,
                                          const epoch_log::change& change) {
  const epoch& current = log_.current();
  if (former.name.number.value() > 0)
    former_epochs_.Add(former);
  if (change.has_skipped_epochs)
    former_epochs_.AddUnseen(epoch_number(current.name.number.value() - 1));
  for (const member_run& run : current.members)
    members_.AddExpected(run, now_);
  quorum_.SetEpoch(current);
  former_epochs_.AddReport(MakeReport(), now_);
  for (const auto& [id, member] : members_.members()) {
    self_report known;
    known.self = member.run;
    known.epoch = member.reported_epoch;
    former_epochs_.AddReport(known, now_);
  }
  adopted_at_ = now_;
  recorded_at_ = now_;
  differs_since_.reset();
  pending_append_.reset();
  catch_up_sent_.clear();
}

void membership_machine::impl::UpdateFormerEpochs() {
  former_epochs_.CountEndedMembers(
      [this](const member_run& run) { return members_.HasEnded(run, now_); },
      now_);
  former_epochs_.EndUnseen([this] { return HaveAllListedReached(); }, now_);
  former_epochs_.RemoveEnded(log_.current().name.number, now_);
  std::set<member_id> keep;
  for (const member_run& run : log_.current().members)
    keep.insert(run.id);
  former_epochs_.VisitMembers(
      [&](const member_run& run) { keep.insert(run.id); });
  members_.RemoveSilent(keep, now_);
}

bool membership_machine::impl::HaveAllListedReached() const {
  std::set<std::string> reached = {settings_.self.address};
  for (const auto& [id, member] : members_.members()) {
    if (member.reported_epoch.number >= log_.current().name.number)
      reached.insert(member.run.address);
  }
  const host_list& list = members_.listed();
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
  for (const auto& [id, member] : members_.members()) {
    if (!member.has_been_heard || !members_.IsLive(member, now_))
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

grant_right membership_machine::impl::ComputeGrantRight() const {
  const epoch_name& name = log_.current().name;
  const std::optional<time_point> until = quorum_.ValidUntil(now_);
  grant_right right;
  right.epoch = name.number;
  right.may_grant = until && *until > now_;
  right.valid_until = until.value_or(time_point());
  right.earlier_epochs_ended_at = former_epochs_.AllEndedAt(name.number);
  right.former_epochs = former_epochs_.numbers();
  return right;
}

void membership_machine::impl::EmitGrantRight(effects& out) {
  grant_right right = ComputeGrantRight();
  const bool same =
      right.epoch == grant_right_.epoch &&
      right.may_grant == grant_right_.may_grant &&
      right.earlier_epochs_ended_at == grant_right_.earlier_epochs_ended_at &&
      right.former_epochs == grant_right_.former_epochs;
  if (same)
    return;
  grant_right_ = std::move(right);
  out.emplace_back(grant_right_);
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
