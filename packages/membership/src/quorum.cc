#include "quorum.h"

#include <algorithm>

namespace dotterellead {
namespace {

// Margin for clocks that run at slightly different rates, added to the end of
// an epoch.
constexpr milliseconds kClockRateMargin{200};
// Assumed number of members of an epoch that was not seen.
constexpr std::size_t kUnseenMembers = 128;

}  // namespace

void quorum::SetEpoch(const epoch& current) {
  current_ = current;
  responses_.assign(current.members.size(), std::nullopt);
}

void quorum::AddResponse(const self_report& report, time_point sent_at) {
  if (report.epoch != current_.name)
    return;
  const std::optional<std::size_t> i = current_.IndexOf(report.self);
  if (i)
    responses_[*i] = std::max(responses_[*i].value_or(sent_at), sent_at);
}

std::optional<time_point> quorum::ValidUntil(time_point now) const {
  const std::size_t members = current_.members.size();
  const std::size_t needed = members / 2 + 1;
  if (!current_.Has(self_))
    return std::nullopt;
  std::vector<time_point> times = {now};
  for (const std::optional<time_point>& at : responses_) {
    if (at)
      times.push_back(*at);
  }
  if (times.size() < needed)
    return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1] + ResponseValidity(members);
}

bool quorum::HasResponded(const member_run& run) const {
  const std::optional<std::size_t> i = current_.IndexOf(run);
  return i && responses_[*i].has_value();
}

void former_epochs::Add(const epoch& former) {
  if (former.name.number <= ended_)
    return;
  former_epoch open{.former = former};
  open.has_left.assign(former.members.size(), false);
  epochs_.insert_or_assign(former.name.number, std::move(open));
}

void former_epochs::AddUnseen(epoch_number through) {
  unseen_through_ = std::max(unseen_through_, through);
  unseen_ended_at_.reset();
}

void former_epochs::AddReport(const self_report& report, time_point now) {
  for (auto& [number, open] : epochs_) {
    if (report.epoch.number <= number)
      continue;
    const std::optional<std::size_t> i = open.former.IndexOf(report.self);
    if (!i || open.has_left[*i])
      continue;
    open.has_left[*i] = true;
    UpdateEnd(open, now);
  }
}

void former_epochs::CountEndedMembers(
    const std::function<bool(const member_run&)>& has_ended,
    time_point now) {
  for (auto& [number, open] : epochs_) {
    if (open.ended_at)
      continue;
    for (std::size_t i = 0; i < open.has_left.size(); ++i) {
      if (!open.has_left[i])
        open.has_left[i] = has_ended(open.former.members[i]);
    }
    UpdateEnd(open, now);
  }
}

void former_epochs::UpdateEnd(former_epoch& open, time_point now) {
  const auto left = static_cast<std::size_t>(
      std::count(open.has_left.begin(), open.has_left.end(), true));
  // The remaining members, half at most, are not a majority.
  if (!open.ended_at && 2 * left >= open.has_left.size())
    open.ended_at =
        now + ResponseValidity(open.has_left.size()) + kClockRateMargin;
}

void former_epochs::EndUnseen(const std::function<bool()>& all_reached,
                              time_point now) {
  if (unseen_through_ > ended_ && !unseen_ended_at_ && all_reached())
    unseen_ended_at_ =
        now + ResponseValidity(kUnseenMembers) + kClockRateMargin;
}

void former_epochs::SetEnded(epoch_number ended, time_point now) {
  if (ended <= ended_)
    return;
  ended_ = ended;
  last_ended_at_ = now;
  std::erase_if(epochs_,
                [&](const auto& entry) { return entry.first <= ended; });
}

void former_epochs::RemoveEnded(epoch_number current, time_point now) {
  const std::optional<time_point> at = AllEndedAt(current);
  if (current.value() > 0 && at && *at <= now)
    SetEnded(epoch_number(current.value() - 1), *at);
}

std::optional<time_point> former_epochs::AllEndedAt(
    epoch_number current) const {
  time_point last = last_ended_at_;
  if (unseen_through_ > ended_ && unseen_through_ < current) {
    if (!unseen_ended_at_)
      return std::nullopt;
    last = std::max(last, *unseen_ended_at_);
  }
  for (const auto& [number, open] : epochs_) {
    if (number >= current)
      continue;
    if (!open.ended_at)
      return std::nullopt;
    last = std::max(last, *open.ended_at);
  }
  return last;
}

std::vector<epoch_number> former_epochs::numbers() const {
  std::vector<epoch_number> all;
  for (const auto& [number, open] : epochs_)
    all.push_back(number);
  return all;
}

void former_epochs::VisitMembers(
    const std::function<void(const member_run&)>& visit) const {
  for (const auto& [number, open] : epochs_) {
    for (const member_run& run : open.former.members)
      visit(run);
  }
}

}  // namespace dotterellead
