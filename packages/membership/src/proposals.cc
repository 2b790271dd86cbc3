#include <algorithm>

#include "membership_impl.h"

namespace dotterellead {
namespace {

// Hosts that start together discover each other before they form the first
// epoch.
constexpr milliseconds kFirstEpochDelay{1'000};
// Each further proposer waits this much longer, in case those before it cannot
// reach the log.
constexpr milliseconds kProposerDelay{1'000};
// A refresh is due after the retention divided by this, to be in the log before
// a quarter has passed.
constexpr int kRefreshDivisor = 5;
constexpr int kRefreshDelayDivisor = 100;

}  // namespace

bool membership_machine::impl::IsLeaving(const known_member& member) const {
  return member.leaving || members_.IsListedLeaving(member.run.address);
}

bool membership_machine::impl::HasQuorum() const {
  const std::optional<time_point> until = quorum_.ValidUntil(now_);
  return until && *until > now_;
}

bool membership_machine::impl::PeersHaveEpoch() const {
  return std::any_of(members_.members().begin(), members_.members().end(),
                     [&](const auto& entry) {
                       return members_.IsLive(entry.second, now_) &&
                              entry.second.reported_epoch.number.value() > 0;
                     });
}

bool membership_machine::impl::CanAppend() const {
  return is_log_read_ && !pending_append_ &&
         now_ - appended_at_ >= limits::kEpochInterval;
}

std::optional<std::size_t> membership_machine::impl::ProposerRank() const {
  const epoch& current = log_.current();
  const bool insider = current.Has(settings_.self);
  const auto has_ended = [&](const member_run& run) {
    return members_.HasEnded(run, now_);
  };
  if (!insider &&
      !std::all_of(current.members.begin(), current.members.end(), has_ended)) {
    return std::nullopt;
  }
  std::vector<std::pair<bool, member_id>> candidates = {
      {is_leaving_, settings_.self.id}};
  for (const auto& [id, member] : members_.members()) {
    const bool eligible =
        insider ? current.Has(member.run) : member.has_been_heard;
    if (eligible && members_.IsLive(member, now_))
      candidates.emplace_back(IsLeaving(member), id);
  }
  const auto before =
      std::count_if(candidates.begin(), candidates.end(),
                    [&](const auto& c) { return c < candidates.front(); });
  return static_cast<std::size_t>(before);
}

// A host that is cut off but reaches the log must not exclude the others. Since
// the suspect timeout is shorter than the validity of responses, it may still
// have its right when it suspects them. So it must also hear from more than
// half of the epoch.
bool membership_machine::impl::MayRemoveSilent() const {
  const std::vector<member_run>& members = log_.current().members;
  const auto heard_count =
      std::count_if(members.begin(), members.end(), [&](const member_run& run) {
        const known_member* member = members_.FindLive(run.id, now_);
        return run == settings_.self ||
               (member != nullptr && member->run == run);
      });
  return HasQuorum() &&
         2 * static_cast<std::size_t>(heard_count) > members.size();
}

// Members that have certainly ended never stay.
bool membership_machine::impl::StaysInEpoch(const member_run& run,
                                            bool remove_silent) const {
  if (run.id == settings_.self.id)
    return run == settings_.self && !is_leaving_;
  if (members_.HasEnded(run, now_))
    return false;
  if (!remove_silent)
    return true;
  const known_member* member = members_.FindLive(run.id, now_);
  return member != nullptr && member->run == run && !IsLeaving(*member);
}

std::vector<member_run> membership_machine::impl::DesiredMembers() const {
  const bool remove_silent = MayRemoveSilent();
  std::map<member_id, member_run> desired;
  if (!is_leaving_)
    desired.emplace(settings_.self.id, settings_.self);
  for (const member_run& run : log_.current().members) {
    if (StaysInEpoch(run, remove_silent))
      desired.emplace(run.id, run);
  }
  for (const auto& [id, member] : members_.members()) {
    if (member.has_been_heard && members_.IsLive(member, now_) &&
        !IsLeaving(member))
      desired.emplace(id, member.run);
  }
  std::vector<member_run> runs;
  runs.reserve(desired.size());
  for (const auto& [id, run] : desired)
    runs.push_back(run);
  return runs;
}

void membership_machine::impl::Propose(effects& out) {
  const epoch& current = log_.current();
  const bool first = current.name.number.value() == 0;
  if (first && (now_ - started_ < kFirstEpochDelay || PeersHaveEpoch()))
    return;
  if (!first && now_ - adopted_at_ < limits::kEpochInterval)
    return;
  const std::vector<member_run> desired = DesiredMembers();
  if (desired.empty() || desired == current.members) {
    differs_since_.reset();
    return;
  }
  const std::optional<std::size_t> rank = ProposerRank();
  if (!differs_since_)
    differs_since_ = now_;
  if (!rank || now_ - *differs_since_ < *rank * kProposerDelay || !CanAppend())
    return;
  Append({.number = current.name.number.next(),
          .base = current.name,
          .ended = former_epochs_.ended(),
          .members = desired},
         out);
}

void membership_machine::impl::AppendRefreshIfDue(effects& out) {
  const epoch& current = log_.current();
  const std::optional<std::size_t> rank = ProposerRank();
  if (!rank || retention_ <= milliseconds(0) || !CanAppend() ||
      !current.Has(settings_.self)) {
    return;
  }
  const milliseconds due =
      retention_ / kRefreshDivisor +
      *rank * std::min(kProposerDelay, retention_ / kRefreshDelayDivisor);
  if (now_ - recorded_at_ < due)
    return;
  Append({.number = current.name.number,
          .base = current.name,
          .refresh = true,
          .ended = former_epochs_.ended(),
          .members = current.members},
         out);
}

void membership_machine::impl::Append(const epoch_record& record,
                                      effects& out) {
  append_request request;
  request.stream = stream_id(std::string(kMembersStream));
  request.token = ++last_token_;
  request.records.push_back(EncodeEpochRecord(record));
  pending_append_ = pending_append{request.token, now_};
  appended_at_ = now_;
  out.emplace_back(std::move(request));
}

}  // namespace dotterellead
