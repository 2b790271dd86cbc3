#include "request_adapters.h"

namespace dotterellead {
namespace {

// Time for a duty's own refusal to arrive before the waiting thread gives up.
constexpr milliseconds kReplyMargin{200};
// Messages that must not be lost wait this long for room; rings drain within
// milliseconds.
constexpr milliseconds kMustArriveWait{5'000};

// This attempt did not run, but an earlier one with the same key may have.
claim_refusal LogUnavailable() {
  return {504, run_state::kUnknown, "the claim could not be decided in time",
          "send it again with the same Idempotency-Key"};
}

http_answer AnswerOf(const saved_outcome& outcome) {
  if (outcome.truncated) {
    http_answer answer =
        MakeOwnAnswer(outcome.status, run_state::kDone, "answer-too-large",
                      "the request ran; its answer was too large to keep",
                      "read the result from the service; body digest " +
                          std::to_string(outcome.body_digest));
    return answer;
  }
  return {outcome.status, outcome.headers, outcome.body};
}

claim_decision DecisionOf(const claim_result& answer) {
  return std::visit(
      overloaded{
          [](const claim_granted&) -> claim_decision { return claim_won{}; },
          [](const saved_outcome& outcome) -> claim_decision {
            return saved_answer{AnswerOf(outcome), outcome.truncated};
          },
          [](const claim_denied& no) -> claim_decision {
            return claim_refusal{no.status, no.run, no.problem, no.remedy};
          },
      },
      answer.decision);
}

}  // namespace

// ---- Claims

claim_decision claim_adapter::Begin(const idempotency_key& key,
                                    std::uint64_t fingerprint,
                                    time_point deadline) {
  const request_id request(next_request_.fetch_add(1));
  answers_.Expect(request);
  if (!claims_->Post(begin_claim{request, key, fingerprint, deadline})) {
    answers_.Await(request, time_point());
    return claim_refusal{503, run_state::kNotRun, "too many requests wait",
                         "send it again later with the same Idempotency-Key"};
  }
  const auto answer = answers_.Await(request, deadline + kReplyMargin);
  if (answer)
    return DecisionOf(*answer);
  claims_->PostUntil(cancel_claim{request},
                     clock_.Now().steady + kMustArriveWait);
  return LogUnavailable();
}

void claim_adapter::Finish(const idempotency_key& key,
                           const http_answer& answer,
                           run_state run) {
  const request_id request(next_request_.fetch_add(1));
  saved_outcome outcome = MakeSavedOutcome(answer);
  outcome.run = run;
  finished_.Expect(request);
  const time_point now = clock_.Now().steady;
  const bool posted = claims_->PostUntil(
      finish_claim{request, key, std::move(outcome)}, now + kMustArriveWait);
  if (!posted) {
    LogEvent(log_level::kError, "outcome-not-recorded", {{"key", key.value()}});
  }
  finished_.Await(request, now + limits::kOutcomeTimeout + kReplyMargin);
}

void claim_adapter::Void(const idempotency_key& key) {
  claims_->PostUntil(void_claim{key}, clock_.Now().steady + kMustArriveWait);
}

void claim_adapter::Deliver(const claim_result& answer) {
  // Runs on the duty's thread, which must not wait for room in its own ring.
  if (!answers_.Complete(answer.request, answer))
    claims_->Post(cancel_claim{answer.request});
}

void claim_adapter::Deliver(const claim_finished& finished) {
  finished_.Complete(finished.request, finished);
}

// ---- Admission

bool admission_adapter::Ask(request_id request,
                            admission_machine::message m,
                            time_point deadline) {
  answers_.Expect(request);
  const bool posted = admission_->PostUntil(std::move(m), deadline);
  const time_point last = posted ? deadline + kReplyMargin : time_point();
  return answers_.Await(request, last).value_or(false);
}

bool admission_adapter::Begin(const pool_id& pool,
                              request_fingerprint fingerprint,
                              time_point deadline) {
  if (table_.TryBegin(pool, fingerprint))
    return true;
  const request_id request = NextRequest();
  return Ask(request, begin_run{request, pool, fingerprint, deadline},
             deadline);
}

bool admission_adapter::TakeRetry(const pool_id& pool) {
  const request_id request = NextRequest();
  return Ask(request,
             acquire_retry{request, pool, table_.ExchangeFirstAttempts(pool)},
             clock_.Now().steady + kReplyMargin);
}

bool admission_adapter::RecordCrash(request_fingerprint fingerprint,
                                    const server_id& server) {
  const request_id request = NextRequest();
  return Ask(request, record_crash{request, fingerprint, server},
             clock_.Now().steady + limits::kStrikeAckTimeout +
                 limits::kMaxCrashRetryWait);
}

void admission_adapter::End(request_fingerprint fingerprint, bool answered) {
  if (!table_.End(fingerprint))
    return;
  admission_->PostUntil(end_run{fingerprint, answered},
                        clock_.Now().steady + kMustArriveWait);
}

void admission_adapter::Deliver(request_id request, bool allowed) {
  answers_.Complete(request, allowed);
}

void admission_adapter::Mark(request_fingerprint fingerprint) {
  admission_->Post(runs_counted{fingerprint, table_.Mark(fingerprint)});
}

void admission_adapter::Unmark(request_fingerprint fingerprint) {
  table_.Unmark(fingerprint);
}

// ---- Versions

version_id version_adapter::Choose(const pool_id& pool,
                                   const route_id&,
                                   request_id request) {
  std::shared_ptr<const share_table> shares;
  {
    std::lock_guard lock(mutex_);
    shares = shares_;
  }
  const auto it = shares->find(pool);
  return it == shares->end() ? version_id()
                             : ChooseVersion(it->second, request);
}

void version_adapter::Record(const pool_id& pool,
                             const route_id& route,
                             const version_id& version,
                             bool failed,
                             microseconds latency) {
  counters_.Record(pool, route, version, failed, latency);
}

void version_adapter::Set(const pool_id& pool, const version_shares& shares) {
  std::lock_guard lock(mutex_);
  auto next = std::make_shared<share_table>(*shares_);
  (*next)[pool] = shares;
  shares_ = std::move(next);
}

std::map<pool_id, version_shares> version_adapter::Shares() const {
  std::lock_guard lock(mutex_);
  return *shares_;
}

}  // namespace dotterellead
