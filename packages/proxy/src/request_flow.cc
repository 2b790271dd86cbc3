#include <algorithm>
#include <atomic>
#include <charconv>

#include "attempt_outcome.h"
#include "dotterellead/proxy.h"
#include "forward_codec.h"
#include "forward_result.h"
#include "home_flow.h"
#include "slot_sender.h"

namespace dotterellead {
namespace {

constexpr std::string_view kKeyHeader = "idempotency-key";
constexpr std::size_t kMaxAttempts = 4;

// The parts of a request's state that its attempts share.
struct call {
  const http_request& request;
  const http_peer& caller;
  config_snapshot config;
  route_match match;
  tenant_id tenant;
  request_id id;
  request_fingerprint fingerprint;
  idempotency_key key;
  time_point received;
  time_point deadline;
  std::vector<server_id> tried;
  // Homes that had no free slot for the request.
  std::uint32_t full_homes = 0;
  // Time spent at backend servers, to tell what this host added.
  microseconds at_backends{0};
};

// What an attempt means for the request.
struct attempt_report {
  run_state run = run_state::kNotRun;
  http_answer answer;
  std::string reason;
  // The attempt must not be followed by another.
  bool final = false;
  // The next attempt does not count as a retry.
  bool retry_is_free = false;
};

bool IsFromBackend(const http_answer& answer) {
  return FindHeader(answer.headers, "dotterellead-run") == nullptr;
}

request_fingerprint FingerprintOf(const call& c) {
  const std::string text = c.match.pool.value() + '\n' + c.tenant.value() +
                           '\n' + c.request.method + '\n' + c.request.target +
                           '\n' + c.request.body;
  // The largest value is the invalid id.
  return request_fingerprint(StableHash(text) >> 1);
}

}  // namespace

class request_flow::impl {
 public:
  explicit impl(flow_parts parts)
      : parts_(std::move(parts)),
        sender_(parts_.slots, parts_.backends, parts_.clock),
        home_(parts_.slots, sender_, parts_.clock) {}

  http_answer Handle(const http_request& request, const http_peer& caller) {
    call c{.request = request, .caller = caller};
    c.received = Now();
    c.config = parts_.config();
    http_answer answer;
    // A caller may leave while its earlier requests on the connection run.
    if (caller.IsGone())
      answer = MakeFailedAnswer(kCancelledReason, run_state::kNotRun);
    else if (std::optional<http_answer> refusal = Prepare(c))
      answer = std::move(*refusal);
    else
      answer = c.match.idempotent ? RunIdempotent(c) : RunClaimed(c);
    Observe(c, answer);
    return answer;
  }

  http_answer HandleForwarded(const http_request& request,
                              const http_peer& caller) {
    return home_.Handle(NextRequest(), request, caller);
  }

 private:
  time_point Now() const { return parts_.clock.Now().steady; }
  request_id NextRequest() { return request_id(next_request_.fetch_add(1)); }

  // Finds pool, route, deadline and key. Returns the refusal if one of them is
  // missing or wrong.
  std::optional<http_answer> Prepare(call& c) {
    const std::string* host = FindHeader(c.request.headers, "host");
    const std::optional<route_match> match =
        MatchRoute(*c.config, host ? *host : "", c.request.method,
                   TargetPath(c.request.target));
    if (!match) {
      return MakeOwnAnswer(404, run_state::kNotRun, "no-route",
                           "no pool serves this host, method and path",
                           "check the URL or declare a pool route for it");
    }
    c.match = *match;
    const pool_spec& pool = c.config->pools.at(match->pool).spec;
    c.tenant = pool.tenant;
    milliseconds timeout = limits::kDefaultRequestTimeout;
    if (!ReadTimeout(c.request, timeout)) {
      return MakeOwnAnswer(
          400, run_state::kNotRun, "bad-timeout",
          "request-timeout-ms is not a number of milliseconds in range",
          "send a whole number from 1 to " +
              std::to_string(limits::kMaxRequestTimeout.count()));
    }
    c.deadline = c.received + timeout;
    const time_point ends_at = parts_.ends_at();
    if (c.received + std::min(timeout, pool.max_run) > ends_at)
      return HostStopping();
    c.deadline = std::min(c.deadline, ends_at);
    if (!c.match.idempotent) {
      const std::string* key = FindHeader(c.request.headers, kKeyHeader);
      if (key == nullptr || key->empty()) {
        return MakeOwnAnswer(400, run_state::kNotRun, "no-key",
                             "a non-idempotent request has no Idempotency-Key",
                             "send a new version 7 UUID in that header");
      }
      c.key = idempotency_key(*key);
    }
    c.fingerprint = FingerprintOf(c);
    return std::nullopt;
  }

  static bool ReadTimeout(const http_request& request, milliseconds& timeout) {
    const std::string* text = FindHeader(request.headers, kTimeoutHeader);
    if (text == nullptr)
      return true;
    std::int64_t value = 0;
    const char* end = text->data() + text->size();
    const auto [parsed, problem] = std::from_chars(text->data(), end, value);
    if (problem != std::errc() || parsed != end || value < 1 ||
        value > limits::kMaxRequestTimeout.count()) {
      return false;
    }
    timeout = milliseconds(value);
    return true;
  }

  http_answer RunIdempotent(call& c) {
    if (!parts_.admission.Begin(c.match.pool, c.fingerprint, c.deadline))
      return Quarantined();
    http_answer answer = RunIdempotentAttempts(c);
    parts_.admission.End(c.fingerprint, IsFromBackend(answer));
    return answer;
  }

  http_answer RunIdempotentAttempts(call& c) {
    // An idempotent request may have run in part; its refusals say not-run only
    // if no attempt ran.
    bool may_have_run = false;
    attempt_report last;
    std::size_t attempts = 0;
    while (attempts < kMaxAttempts) {
      // The last attempt waits for a slot here, so that homes which cannot lend
      // for a while, as after an epoch change, do not use up all attempts.
      last = TryOnce(c, attempts + 1 < kMaxAttempts ? acquire_kind::kForwardable
                                                    : acquire_kind::kDirect);
      if (last.run == run_state::kDone)
        return std::move(last.answer);
      may_have_run = may_have_run || last.run == run_state::kUnknown;
      if (last.final || Now() >= c.deadline || c.caller.IsGone() ||
          !(last.retry_is_free || parts_.admission.TakeRetry(c.match.pool))) {
        break;
      }
      if (!CountFullHome(c, last))
        ++attempts;
    }
    return MakeFailedAnswer(
        last.reason, may_have_run ? run_state::kUnknown : run_state::kNotRun);
  }

  http_answer RunClaimed(call& c) {
    const claim_decision decision =
        parts_.claims.Begin(c.key, c.fingerprint.value(), c.deadline);
    if (const auto* saved = std::get_if<saved_answer>(&decision))
      return saved->answer;
    if (const auto* no = std::get_if<claim_refusal>(&decision)) {
      return MakeOwnAnswer(no->status, no->run, "claim", no->problem,
                           no->remedy);
    }
    if (!parts_.admission.Begin(c.match.pool, c.fingerprint, c.deadline)) {
      parts_.claims.Void(c.key);
      return Quarantined();
    }
    http_answer answer = RunClaimWon(c);
    parts_.admission.End(c.fingerprint, IsFromBackend(answer));
    return answer;
  }

  // Whether a home turned the request away for want of a free slot, which is no
  // attempt. After enough of them the next home lets it wait.
  static bool CountFullHome(call& c, const attempt_report& last) {
    return last.reason == to_string(rejection_reason::kHomeFull) &&
           c.full_homes++ < limits::kMaxHomeRejections;
  }

  // Tries servers until one may have run the request; then never another.
  http_answer RunClaimWon(call& c) {
    attempt_report last;
    for (std::size_t n = 0; n < kMaxAttempts; ++n) {
      last = TryOnce(c, acquire_kind::kDirect);
      if (last.run == run_state::kDone) {
        parts_.claims.Finish(c.key, last.answer, run_state::kDone);
        return std::move(last.answer);
      }
      if (last.run == run_state::kUnknown) {
        http_answer answer = MakeFailedAnswer(last.reason, run_state::kUnknown);
        parts_.claims.Finish(c.key, answer, run_state::kUnknown);
        return answer;
      }
      if (last.final || Now() >= c.deadline ||
          !parts_.admission.TakeRetry(c.match.pool)) {
        break;
      }
    }
    parts_.claims.Void(c.key);
    return MakeFailedAnswer(last.reason, run_state::kNotRun);
  }

  attempt_report TryOnce(call& c, acquire_kind kind) {
    c.id = NextRequest();
    const version_id version =
        parts_.versions.Choose(c.match.pool, c.match.route, c.id);
    const auto where = parts_.slots.Acquire({.request = c.id,
                                             .pool = c.match.pool,
                                             .tenant = c.tenant,
                                             .version = version,
                                             .excluded = c.tried,
                                             .deadline = c.deadline,
                                             .kind = kind,
                                             .home_rejections = c.full_homes});
    return std::visit(
        overloaded{[&](const assigned& slot) { return SendOn(c, slot); },
                   [&](const forwarded& to) { return Forward(c, to, version); },
                   [&](const acquire_rejected& no) {
                     return attempt_report{
                         .reason = std::string(to_string(no.reason)),
                         .final = true};
                   }},
        where);
  }

  attempt_report SendOn(call& c, const assigned& slot) {
    if (sender_.ReleaseIfGone(c.id, slot, c.caller))
      return {.reason = std::string(kCancelledReason), .final = true};
    c.tried.push_back(slot.server);
    slot_attempt done = sender_.Send(c.id, slot, c.request, c.match.idempotent,
                                     c.deadline, c.caller);
    c.at_backends += done.sent.latency;
    attempt_report report{.run = RunOf(done.result.result),
                          .answer = std::move(done.sent.result.answer),
                          .reason = std::string(ReasonOf(done.result.result))};
    RecordVersion(c, report, slot.version, done.sent.latency);
    if (done.sent.refuses_connections)
      report.final = !parts_.admission.RecordCrash(c.fingerprint, slot.server);
    return report;
  }

  void RecordVersion(const call& c,
                     const attempt_report& report,
                     const version_id& version,
                     microseconds latency) {
    if (report.run == run_state::kNotRun || report.reason == kCancelledReason)
      return;
    parts_.versions.Record(
        c.match.pool, c.match.route, version,
        report.run == run_state::kUnknown || IsFailure(report.answer), latency);
  }

  attempt_report Forward(call& c,
                         const forwarded& to,
                         const version_id& version) {
    if (c.caller.IsGone()) {
      parts_.slots.EndForward({.request = c.id,
                               .pool = c.match.pool,
                               .home = to.home,
                               .load = std::nullopt,
                               .home_failed = false});
      return {.reason = std::string(kCancelledReason), .final = true};
    }
    const time_point now = Now();
    http_request out = OutgoingRequest(c.request, now, c.deadline);
    out.headers.push_back(
        EncodeForward({.pool = c.match.pool,
                       .tenant = c.tenant,
                       .version = version,
                       .excluded = c.tried,
                       .left = TimeLeftForHome(now, c.deadline),
                       .may_wait = to.may_wait}));
    attempt at_home = parts_.homes.Send(to.home, std::move(out),
                                        {.send_before = c.deadline,
                                         .deadline = c.deadline,
                                         .cancel_with_caller = true},
                                        c.caller);
    const forward_result result = ResultAtHome(at_home);
    parts_.slots.EndForward(
        {.request = c.id,
         .pool = c.match.pool,
         .home = to.home,
         .load =
             result.has_load ? std::optional(result.ended.load) : std::nullopt,
         .home_failed = at_home.result.failure != send_failure::kCancelled});
    parts_.observer.Forwarded(result.outcome);
    return ReportForward(c, result, at_home);
  }

  attempt_report ReportForward(call& c,
                               const forward_result& result,
                               attempt& at_home) {
    const forward_answer& ended = result.ended;
    attempt_report report{.run = ended.run, .reason = ended.reason};
    // A server that sheds has seen the request; anything else that did not run
    // has cost no server anything.
    report.retry_is_free =
        ended.run == run_state::kNotRun && ended.reason != kShedReason;
    if (ended.run == run_state::kDone) {
      report.answer = std::move(at_home.result.answer);
      RemoveHopByHopHeaders(report.answer.headers);
      RemoveForwardHeaders(report.answer.headers);
    }
    if (ended.server.is_valid()) {
      c.tried.push_back(ended.server);
      c.at_backends += ended.at_backend;
      RecordVersion(c, report, ended.version, ended.at_backend);
    }
    if (ended.refuses_connections)
      report.final = !parts_.admission.RecordCrash(c.fingerprint, ended.server);
    return report;
  }

  static http_answer HostStopping() {
    return MakeOwnAnswer(
        503, run_state::kNotRun, "host-stopping",
        "this entry host stops before the request may have ended",
        "resend it; another entry host will take it");
  }

  http_answer Quarantined() const {
    return MakeOwnAnswer(
        503, run_state::kNotRun, "quarantined",
        "requests like this one have just crashed backend servers",
        "do not resend it; report it to the service's owners");
  }

  void Observe(const call& c, const http_answer& answer) {
    const auto total =
        std::chrono::duration_cast<microseconds>(Now() - c.received);
    parts_.observer.Answered(c.tenant, c.match.pool, c.match.route,
                             answer.status, total, total - c.at_backends);
    if (IsFromBackend(answer))
      return;
    parts_.observer.Refused(c.tenant, ReasonField(answer.body));
  }

  // The reason field that MakeOwnAnswer wrote.
  static std::string_view ReasonField(std::string_view body) {
    constexpr std::string_view kPrefix = "{\"reason\":\"";
    if (!body.starts_with(kPrefix))
      return "other";
    body.remove_prefix(kPrefix.size());
    return body.substr(0, body.find('"'));
  }

  flow_parts parts_;
  slot_sender sender_;
  home_flow home_;
  std::atomic<std::uint64_t> next_request_{1};
};

request_flow::request_flow(flow_parts parts)
    : impl_(std::make_unique<impl>(std::move(parts))) {}

request_flow::~request_flow() = default;

http_answer request_flow::Handle(const http_request& request,
                                 const http_peer& caller) {
  return impl_->Handle(request, caller);
}

http_answer request_flow::HandleForwarded(const http_request& request,
                                          const http_peer& caller) {
  return impl_->HandleForwarded(request, caller);
}

}  // namespace dotterellead
