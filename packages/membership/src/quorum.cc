#include "quorum.h"

#include <algorithm>

namespace dotterellead {
namespace {

// Added to the time after which an epoch counts as ended, for clocks that run
// at slightly different rates.
constexpr milliseconds kClockRateMargin{200};
// Members of an epoch that was not seen are taken to be as many as this.
constexpr std::size_t kUnseenMembers = 128;

}  // namespace

void quorum::Begin(const epoch& current) {
  current_ = current;
  answered_.assign(current.members.size(), std::nullopt);
}

void quorum::TakeAnswer(const self_report& report, time_point sent_at) {
  if (report.epoch != current_.name)
    return;
  const std::optional<std::size_t> i = current_.IndexOf(report.self);
  if (i)
    answered_[*i] = std::max(answered_[*i].value_or(sent_at), sent_at);
}

std::optional<time_point> quorum::ValidUntil(time_point now) const {
  const std::size_t members = current_.members.size();
  const std::size_t needed = members / 2 + 1;
  if (!current_.Has(self_))
    return std::nullopt;
  std::vector<time_point> times = {now};
  for (const std::optional<time_point>& at : answered_) {
    if (at)
      times.push_back(*at);
  }
  if (times.size() < needed)
    return std::nullopt;
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[needed - 1] + AnswerValidity(members);
}

bool quorum::HasAnswered(const member_run& run) const {
  const std::optional<std::size_t> i = current_.IndexOf(run);
  return i && answered_[*i].has_value();
}

void open_epochs::Add(const epoch& former) {
  if (former.name.number <= ended_)
    return;
  open_epoch open{.of = former};
  open.left.assign(former.members.size(), false);
  open_.insert_or_assign(former.name.number, std::move(open));
}

void open_epochs::AddUnseen(epoch_number through) {
  unseen_through_ = std::max(unseen_through_, through);
  unseen_ended_at_.reset();
}

void open_epochs::TakeReport(const self_report& report, time_point now) {
  for (auto& [number, open] : open_) {
    if (report.epoch.number <= number)
      continue;
    const std::optional<std::size_t> i = open.of.IndexOf(report.self);
    if (!i || open.left[*i])
      continue;
    open.left[*i] = true;
    CountLeft(open, now);
  }
}

void open_epochs::CountGone(
    const std::function<bool(const member_run&)>& is_gone,
    time_point now) {
  for (auto& [number, open] : open_) {
    if (open.ended_at)
      continue;
    for (std::size_t i = 0; i < open.left.size(); ++i) {
      if (!open.left[i])
        open.left[i] = is_gone(open.of.members[i]);
    }
    CountLeft(open, now);
  }
}

void open_epochs::CountLeft(open_epoch& open, time_point now) {
  const auto left = static_cast<std::size_t>(
      std::count(open.left.begin(), open.left.end(), true));
  // The rest of the members, half at most, is no majority.
  if (!open.ended_at && 2 * left >= open.left.size())
    open.ended_at = now + AnswerValidity(open.left.size()) + kClockRateMargin;
}

void open_epochs::EndUnseen(const std::function<bool()>& all_reached,
                            time_point now) {
  if (unseen_through_ > ended_ && !unseen_ended_at_ && all_reached())
    unseen_ended_at_ = now + AnswerValidity(kUnseenMembers) + kClockRateMargin;
}

void open_epochs::TakeEnded(epoch_number ended, time_point now) {
  if (ended <= ended_)
    return;
  ended_ = ended;
  last_ended_at_ = now;
  std::erase_if(open_, [&](const auto& entry) { return entry.first <= ended; });
}

void open_epochs::Settle(epoch_number current, time_point now) {
  const std::optional<time_point> at = AllEndedAt(current);
  if (current.value() > 0 && at && *at <= now)
    TakeEnded(epoch_number(current.value() - 1), *at);
}

std::optional<time_point> open_epochs::AllEndedAt(epoch_number current) const {
  time_point last = last_ended_at_;
  if (unseen_through_ > ended_ && unseen_through_ < current) {
    if (!unseen_ended_at_)
      return std::nullopt;
    last = std::max(last, *unseen_ended_at_);
  }
  for (const auto& [number, open] : open_) {
    if (number >= current)
      continue;
    if (!open.ended_at)
      return std::nullopt;
    last = std::max(last, *open.ended_at);
  }
  return last;
}

std::vector<epoch_number> open_epochs::numbers() const {
  std::vector<epoch_number> all;
  for (const auto& [number, open] : open_)
    all.push_back(number);
  return all;
}

void open_epochs::VisitMembers(
    const std::function<void(const member_run&)>& visit) const {
  for (const auto& [number, open] : open_) {
    for (const member_run& run : open.of.members)
      visit(run);
  }
}

}  // namespace dotterellead
