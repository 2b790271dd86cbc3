#include "dotterellead/usage.h"

namespace dotterellead::usage {

namespace {

// A call begins at most this long after the append that permits it was sent, so
// that it ends before another leader's wait does.
constexpr milliseconds kMaxAppendAge{500};
// A call without an answer may take effect seconds later. Where the service
// does not compare tokens, a new leader also waits for such calls.
constexpr milliseconds kUnfencedWait{3'000};
constexpr milliseconds kStoreRetryInterval{1'000};
// Each repeat of a call after this time needs an append, which is charged for.
constexpr milliseconds kCallRetryInterval{1'500};
// Records at the end of the log that suffice to know its state: a takeover
// record repeats what the records before it say.
constexpr std::uint64_t kTailRecords = 64;

}  // namespace

leader::leader(leader_settings settings, std::vector<leader_task> tasks)
    : settings_(std::move(settings)), tasks_(std::move(tasks)) {}

void leader::SetRoot(bool is_root) {
  if (is_root == (phase_ != phase::kFollowing))
    return;
  phase_ = is_root ? phase::kReading : phase::kFollowing;
  token_.reset();
  report_.reset();
  attempted_over_.reset();
  retry_at_ = boot_millis();
}

void leader::SetOtherToken(fencing_token token) {
  constexpr std::uint64_t kEraUnit = PositionOf(1, 0);
  if (phase_ != phase::kFollowing || is_busy_ || token.value() == 0)
    return;
  const std::uint64_t position = token.value() - 1;
  const std::uint64_t era = position / kEraUnit;
  if (!log_.era() || era > *log_.era())
    log_.StartEra(era);
  if (era == *log_.era() && position % kEraUnit > log_.next_offset())
    log_.SkipTo(position % kEraUnit);
}

std::optional<leader_action> leader::Next(const moment& now) {
  if (is_busy_ || now.boot < retry_at_)
    return std::nullopt;
  switch (phase_) {
    case phase::kFollowing:
      return std::nullopt;
    case phase::kReading:
    case phase::kDeposed:
      is_busy_ = true;
      return read_log{log_.next_offset()};
    case phase::kTakingOver: {
      const auto& newest = log_.newest_takeover();
      attempted_over_ = newest ? std::optional(newest->token)
                               : std::optional<fencing_token>();
      return Append(takeover_record{settings_.self, settings_.incarnation,
                                    log_.era().value_or(0), log_.next()},
                    now);
    }
    case phase::kLeading:
      return NextCall(now);
  }
  return std::nullopt;
}

leader_action leader::Append(const duty_record& record, const moment& now) {
  is_busy_ = true;
  append_ = EncodeRecord(record);
  append_sent_at_ = now.boot;
  return append_record{log_.next_offset(), append_};
}

std::optional<leader_action> leader::NextCall(const moment& now) {
  if (now.boot < leads_from_)
    return std::nullopt;
  if (report_ && tasks_.IsLate(*report_, now.wall))
    report_.reset();
  if (!report_)
    report_ = tasks_.Select(log_, now.wall);
  if (!report_)
    return std::nullopt;
  if (!log_.HasRecorded(report_->record) || !appended_at_ ||
      now.boot - *appended_at_ > kMaxAppendAge)
    return Append(report_->record, now);
  is_busy_ = true;
  return make_call{*token_, tasks_[report_->task].subject, report_->record.body,
                   *appended_at_ + kMaxAppendAge};
}

void leader::Handle(const read_result& result, const moment& now) {
  is_busy_ = false;
  if (result.status == read_status::kFailed ||
      (log_.era() && result.era < *log_.era())) {
    retry_at_ = now.boot + kStoreRetryInterval;
    return;
  }
  if (!log_.era())
    log_.StartEra(result.era);
  if (result.era > *log_.era()) {
    StartEra(result.era, now);
    return;
  }
  if (result.status == read_status::kGone) {
    // An offset after the end belongs to a log that the store no longer has.
    if (result.first > log_.next_offset())
      log_.SkipTo(result.first);
    else
      StartEra(result.era, now);
    retry_at_ = now.boot + kStoreRetryInterval;
    return;
  }
  for (const std::string& record : result.records)
    log_.Apply(record);
  has_new_records_ = has_new_records_ || !result.records.empty();
  if (log_.next_offset() + kTailRecords < result.end)
    log_.SkipTo(result.end - kTailRecords);
  else if (log_.next_offset() >= result.end)
    DecideRole(now);
  else if (result.records.empty())
    retry_at_ = now.boot + kStoreRetryInterval;
}

void leader::DecideRole(const moment& now) {
  if (!log_.IsEraRecorded())
    tasks_.SkipEnded(log_, now.wall);
  const bool has_new_records = std::exchange(has_new_records_, false);
  const auto& newest = log_.newest_takeover();
  if (phase_ == phase::kDeposed) {
    if (has_new_records)
      record_seen_at_ = now.boot;
    if (now.boot - record_seen_at_ >= 2 * tasks_.LongestPeriod())
      phase_ = phase::kTakingOver;
    else
      retry_at_ = now.boot + tasks_.LongestPeriod() / 2;
  } else if (phase_ == phase::kReading) {
    if (attempted_over_ && IsOwn(newest))
      Lead(now);
    else if (attempted_over_ && newest && newest->token != *attempted_over_)
      Depose(now);
    else
      phase_ = phase::kTakingOver;
  }
}

void leader::Handle(const append_result& result, const moment& now) {
  is_busy_ = false;
  if (result.era && *result.era > log_.era().value_or(0)) {
    StartEra(*result.era, now);
    return;
  }
  if (result.status == append_status::kDone) {
    log_.Apply(append_);
    appended_at_ = append_sent_at_;
    if (phase_ == phase::kTakingOver)
      Lead(now);
    return;
  }
  if (phase_ != phase::kTakingOver && phase_ != phase::kLeading)
    return;
  // The log says whether another host took over.
  phase_ = phase::kReading;
  if (result.status == append_status::kUnknown)
    retry_at_ = now.boot + kStoreRetryInterval;
}

void leader::Handle(const call_result& result, const moment& now) {
  is_busy_ = false;
  if (phase_ != phase::kLeading)
    return;
  if (result.status == call_status::kDone)
    report_.reset();
  else if (result.status == call_status::kFenced)
    Depose(now);
  else
    retry_at_ = now.boot + kCallRetryInterval;
}

void leader::Lead(const moment& now) {
  phase_ = phase::kLeading;
  if (token_ == log_.newest_takeover()->token)
    return;
  token_ = log_.newest_takeover()->token;
  leads_from_ = now.boot + settings_.lease +
                (settings_.is_fenced ? milliseconds(0) : kUnfencedWait);
  report_.reset();
  tasks_.RepeatLast();
}

void leader::Depose(const moment& now) {
  phase_ = phase::kDeposed;
  token_.reset();
  report_.reset();
  record_seen_at_ = now.boot;
  retry_at_ = now.boot + tasks_.LongestPeriod() / 2;
}

void leader::StartEra(std::uint64_t era, const moment& now) {
  log_.StartEra(era);
  tasks_.SkipEnded(log_, now.wall);
  token_.reset();
  report_.reset();
  attempted_over_.reset();
  record_seen_at_ = now.boot;
  if (phase_ != phase::kFollowing && phase_ != phase::kDeposed)
    phase_ = phase::kReading;
}

bool leader::IsOwn(const std::optional<duty_log::takeover>& takeover) const {
  return takeover && takeover->record.host == settings_.self &&
         takeover->record.incarnation == settings_.incarnation;
}

}  // namespace dotterellead::usage
