#include <algorithm>
#include <atomic>
#include <charconv>

#include "dotterellead/proxy.h"

namespace dotterellead {
namespace {

constexpr std::string_view kTimeoutHeader = "request-timeout-ms";
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
  // Time spent at backend servers, to tell what this host added.
  microseconds at_backends{0};
};

// What an attempt means for the request.
enum class verdict { kAnswered, kNotRun, kMayHaveRun };

struct attempt_report {
  verdict outcome = verdict::kNotRun;
  http_answer answer;
  std::string_view reason;
  // The attempt must not be followed by another.
  bool final = false;
};

bool SaysNotRun(const http_answer& answer) {
  const std::string* run = FindHeader(answer.headers, "request-run");
  return answer.status == 503 && run != nullptr && *run == "not-run";
}

attempt_result ResultOf(const attempt& sent) {
  if (sent.not_sent)
    return attempt_result::kNotSent;
  switch (sent.result.failure) {
    case send_failure::kNone:
      return SaysNotRun(sent.result.answer) ? attempt_result::kShed
                                            : attempt_result::kAnswered;
    case send_failure::kConnect:
      return attempt_result::kConnectFailed;
    case send_failure::kTimeout:
      return attempt_result::kTimedOut;
    case send_failure::kCancelled:
      return attempt_result::kCancelled;
    case send_failure::kCut:
    case send_failure::kBadAnswer:
      return attempt_result::kCut;
  }
  return attempt_result::kCut;
}

verdict VerdictOf(attempt_result result) {
  switch (result) {
    case attempt_result::kAnswered:
      return verdict::kAnswered;
    case attempt_result::kShed:
    case attempt_result::kConnectFailed:
    case attempt_result::kNotSent:
      return verdict::kNotRun;
    case attempt_result::kCut:
    case attempt_result::kTimedOut:
    case attempt_result::kCancelled:
      return verdict::kMayHaveRun;
  }
  return verdict::kMayHaveRun;
}

release MakeRelease(const call& c,
                    const assigned& slot,
                    const attempt& sent,
                    time_point deadline) {
  release r{.request = c.id,
            .result = ResultOf(sent),
            .latency = sent.latency,
            .found_closed = sent.found_closed,
            .server = slot.server,
            .busy_until = deadline + limits::kLeaseMargin};
  if (sent.not_sent || !sent.result.ok())
    return r;
  const http_headers& headers = sent.result.answer.headers;
  r.failed =
      sent.result.answer.status >= 500 && !SaysNotRun(sent.result.answer);
  if (const std::string* state = FindHeader(headers, "server-state"))
    r.cold = *state == "cold";
  if (const std::string* draining = FindHeader(headers, "server-draining"))
    r.draining = *draining == "1";
  if (const std::string* boot = FindHeader(headers, "server-boot"))
    r.boot = *boot;
  return r;
}

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

std::string_view ReasonOf(attempt_result result) {
  switch (result) {
    case attempt_result::kShed:
      return "backend-shed";
    case attempt_result::kConnectFailed:
      return "backend-connect";
    case attempt_result::kNotSent:
      return "lease-expired";
    case attempt_result::kTimedOut:
      return "backend-timeout";
    case attempt_result::kCancelled:
      return "cancelled";
    default:
      return "backend-cut";
  }
}

}  // namespace

class request_flow::impl {
 public:
  explicit impl(flow_parts parts) : parts_(std::move(parts)) {}

  http_answer Handle(const http_request& request, const http_peer& caller) {
    call c{.request = request, .caller = caller};
    c.received = Now();
    c.config = parts_.config();
    http_answer answer;
    if (std::optional<http_answer> refusal = Prepare(c))
      answer = std::move(*refusal);
    else
      answer = c.match.idempotent ? RunIdempotent(c) : RunClaimed(c);
    Observe(c, answer);
    return answer;
  }

 private:
  time_point Now() const { return parts_.clock.Now().steady; }

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
    c.tenant = c.config->pools.at(match->pool).spec.tenant;
    milliseconds timeout = limits::kDefaultRequestTimeout;
    if (!ReadTimeout(c.request, timeout)) {
      return MakeOwnAnswer(
          400, run_state::kNotRun, "bad-timeout",
          "request-timeout-ms is not a number of milliseconds in range",
          "send a whole number from 1 to " +
              std::to_string(limits::kMaxRequestTimeout.count()));
    }
    c.deadline = c.received + timeout;
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
    for (std::size_t n = 0; n < kMaxAttempts; ++n) {
      last = TryOnce(c);
      if (last.outcome == verdict::kAnswered)
        return std::move(last.answer);
      may_have_run = may_have_run || last.outcome == verdict::kMayHaveRun;
      if (last.final || Now() >= c.deadline || c.caller.IsGone() ||
          !parts_.admission.TakeRetry(c.match.pool)) {
        break;
      }
    }
    return FailedAnswer(
        last, may_have_run ? run_state::kUnknown : run_state::kNotRun);
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

  // Tries servers until one may have run the request; then never another.
  http_answer RunClaimWon(call& c) {
    attempt_report last;
    for (std::size_t n = 0; n < kMaxAttempts; ++n) {
      last = TryOnce(c);
      if (last.outcome == verdict::kAnswered) {
        parts_.claims.Finish(c.key, last.answer, run_state::kDone);
        return std::move(last.answer);
      }
      if (last.outcome == verdict::kMayHaveRun) {
        http_answer answer = FailedAnswer(last, run_state::kUnknown);
        parts_.claims.Finish(c.key, answer, run_state::kUnknown);
        return answer;
      }
      if (last.final || Now() >= c.deadline ||
          !parts_.admission.TakeRetry(c.match.pool)) {
        break;
      }
    }
    parts_.claims.Void(c.key);
    return FailedAnswer(last, run_state::kNotRun);
  }

  attempt_report TryOnce(call& c) {
    c.id = request_id(next_request_.fetch_add(1));
    const version_id version =
        parts_.versions.Choose(c.match.pool, c.match.route, c.id);
    const auto slot = parts_.slots.Acquire({.request = c.id,
                                            .pool = c.match.pool,
                                            .tenant = c.tenant,
                                            .version = version,
                                            .excluded = c.tried,
                                            .deadline = c.deadline});
    if (const auto* no = std::get_if<refused>(&slot)) {
      return {.reason = to_string(no->reason), .final = true};
    }
    return SendOn(c, std::get<assigned>(slot));
  }

  attempt_report SendOn(call& c, const assigned& slot) {
    c.tried.push_back(slot.server);
    const time_point deadline = std::min(c.deadline, Now() + slot.max_run);
    const attempt_limits limits{.send_before = slot.send_before,
                                .deadline = deadline,
                                .needs_fresh = !c.match.idempotent,
                                .cancel_with_caller = c.match.idempotent};
    const attempt sent = parts_.backends.Send(
        slot.server, Outgoing(c, deadline), limits, c.caller);
    const release result = MakeRelease(c, slot, sent, deadline);
    parts_.slots.Release(result);
    c.at_backends += sent.latency;
    attempt_report report{.outcome = VerdictOf(result.result),
                          .answer = sent.result.answer,
                          .reason = ReasonOf(result.result)};
    if (report.outcome != verdict::kNotRun &&
        result.result != attempt_result::kCancelled) {
      parts_.versions.Record(
          c.match.pool, c.match.route, slot.version,
          result.failed || report.outcome == verdict::kMayHaveRun,
          sent.latency);
    }
    if (sent.refuses_connections)
      report.final = !parts_.admission.RecordCrash(c.fingerprint, slot.server);
    RemoveHopByHopHeaders(report.answer.headers);
    return report;
  }

  http_request Outgoing(const call& c, time_point deadline) const {
    http_request out = c.request;
    RemoveHopByHopHeaders(out.headers);
    std::erase_if(out.headers, [](const http_header& header) {
      return FindHeader({header}, kTimeoutHeader) != nullptr ||
             FindHeader({header}, "expect") != nullptr;
    });
    const auto left =
        std::chrono::duration_cast<milliseconds>(deadline - Now());
    out.headers.push_back(
        {std::string(kTimeoutHeader),
         std::to_string(std::max<std::int64_t>(1, left.count()))});
    return out;
  }

  http_answer Quarantined() const {
    return MakeOwnAnswer(
        503, run_state::kNotRun, "quarantined",
        "requests like this one have just crashed backend servers",
        "do not resend it; report it to the service's owners");
  }

  http_answer FailedAnswer(const attempt_report& last, run_state run) const {
    const int status =
        last.reason == "backend-timeout" || last.reason == "deadline" ? 504
        : run == run_state::kNotRun                                   ? 503
                                                                      : 502;
    const char* remedy =
        run == run_state::kNotRun
            ? "it did not run; send it again later"
            : "it may have run; resend with the same Idempotency-Key to learn "
              "the outcome";
    return MakeOwnAnswer(status, run, last.reason,
                         "no backend server gave a whole answer", remedy);
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
  std::atomic<std::uint64_t> next_request_{1};
};

request_flow::request_flow(flow_parts parts)
    : impl_(std::make_unique<impl>(std::move(parts))) {}

request_flow::~request_flow() = default;

http_answer request_flow::Handle(const http_request& request,
                                 const http_peer& caller) {
  return impl_->Handle(request, caller);
}

}  // namespace dotterellead
