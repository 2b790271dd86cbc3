#include <algorithm>
#include <array>
#include <charconv>

#include "operate_codec.h"

namespace dotterellead {
namespace {

// How long a write waits to be read back.
constexpr milliseconds kWriteWait{10'000};
constexpr milliseconds kMaxWatchWait{30'000};

http_answer Text(int status, std::string type, std::string body) {
  http_answer answer;
  answer.status = status;
  answer.headers.push_back({"Content-Type", std::move(type)});
  answer.body = std::move(body);
  return answer;
}

http_answer Json(int status, std::string body) {
  return Text(status, "application/json", std::move(body));
}

http_answer Failure(int status,
                    const std::string& problem,
                    const std::string& remedy) {
  return Json(status, EncodeError(problem, remedy));
}

int StatusOf(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidInput:
      return 400;
    case error_kind::kNotFound:
      return 404;
    case error_kind::kConflict:
      return 409;
    case error_kind::kOverloaded:
      return 429;
    default:
      return 503;
  }
}

std::vector<std::string> Segments(std::string_view path) {
  std::vector<std::string> segments;
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    segments.emplace_back(path.substr(begin, end - begin));
    begin = end + 1;
  }
  return segments;
}

// Collects what stands for * in the pattern; nullopt if the path differs.
std::optional<std::vector<std::string>> MatchPattern(std::string_view pattern,
                                                     std::string_view path) {
  const std::vector<std::string> want = Segments(pattern);
  const std::vector<std::string> have = Segments(path);
  if (want.size() != have.size())
    return std::nullopt;
  std::vector<std::string> stars;
  for (std::size_t i = 0; i < want.size(); ++i) {
    if (want[i] == "*" && !have[i].empty())
      stars.push_back(have[i]);
    else if (want[i] != have[i])
      return std::nullopt;
  }
  return stars;
}

std::uint64_t ReadNumber(const std::string& name, const std::string& text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, problem] = std::from_chars(text.data(), end, value);
  if (problem != std::errc() || stop != end || text.empty())
    throw invalid_input_error(name + " is not a number", "use a whole number");
  return value;
}

// "none" asks that the resource does not exist yet.
std::optional<log_offset> ReadRevision(const std::string& target) {
  const std::string text = QueryValue(target, "revision");
  if (text.empty())
    return std::nullopt;
  if (text == "none")
    return log_offset();
  return log_offset(ReadNumber("revision", text));
}

bool ReadFlag(const std::string& target, const std::string& name) {
  const std::string text = QueryValue(target, name);
  if (!text.empty() && text != "0" && text != "1")
    throw invalid_input_error(name + " is neither 0 nor 1", "use 0 or 1");
  return text == "1";
}

void CheckKind(const std::string& kind) {
  const auto& kinds = KindNames();
  if (std::find(kinds.begin(), kinds.end(), kind) == kinds.end()) {
    throw not_found_error("kind '" + kind + "' does not exist",
                          "see GET /v1/kinds");
  }
}

// A resource of which only the kind and name count.
resource NamedResource(const resource_key& key) {
  if (key.kind == "pool")
    return {key.name, pool_spec{}};
  if (key.kind == "data_centre")
    return {key.name, data_centre_spec{}};
  return {key.name, move_spec{}};
}

}  // namespace

// Fixed paths come before patterns that they would match too.
std::span<const operator_api::route> operator_api::Routes() {
  static constexpr std::array<route, 13> kRoutes = {{
      {"GET", "/health/alive", &operator_api::GetAlive, true},
      {"GET", "/health/ready", &operator_api::GetReady, true},
      {"GET", "/health/leaving", &operator_api::GetLeaving, true},
      {"GET", "/metrics", &operator_api::GetMetrics},
      {"GET", "/v1/kinds", &operator_api::GetKinds},
      {"GET", "/v1/watch", &operator_api::GetWatch},
      {"GET", "/v1/status", &operator_api::GetStatus},
      {"GET", "/v1/explain", &operator_api::GetExplain},
      {"GET", "/v1/stats", &operator_api::GetStats},
      {"GET", "/v1/*", &operator_api::GetList},
      {"GET", "/v1/*/*", &operator_api::GetOne},
      {"PUT", "/v1/*/*", &operator_api::PutOne},
      {"DELETE", "/v1/*/*", &operator_api::DeleteOne},
  }};
  return kRoutes;
}

operator_api::operator_api(operator_backend& backend,
                           const clock_source& clock,
                           std::string secret)
    : backend_(backend), clock_(clock), secret_(std::move(secret)) {}

http_answer operator_api::Handle(const http_request& request,
                                 const http_peer&) {
  try {
    return Dispatch(request);
  } catch (const error& e) {
    return Failure(StatusOf(e.kind()), e.problem(), e.remedy());
  } catch (const std::exception& e) {
    return Failure(500, e.what(), "report this answer");
  }
}

http_answer operator_api::Dispatch(const http_request& request) {
  const std::string_view path = TargetPath(request.target);
  // Without the secret, not even the paths that exist are told.
  const bool authorised = IsAuthorised(request);
  bool path_known = false;
  for (const route& r : Routes()) {
    const auto stars = MatchPattern(r.pattern, path);
    if (!stars || (!r.open && !authorised))
      continue;
    path_known = true;
    if (r.method != request.method)
      continue;
    api_call call{request, "", ""};
    if (!stars->empty())
      call.kind = stars->front();
    if (stars->size() > 1)
      call.name = stars->back();
    return (this->*r.handle)(call);
  }
  if (path_known)
    return Failure(405, "the method is not allowed here",
                   "see docs/resources.md");
  if (!authorised) {
    return Failure(401, "the operators' secret is missing or wrong",
                   "send Authorization: Bearer SECRET");
  }
  return Failure(404, "the path does not exist", "see docs/resources.md");
}

bool operator_api::IsAuthorised(const http_request& request) const {
  const std::string* value = FindHeader(request.headers, "authorization");
  return value != nullptr && EqualInConstantTime(*value, "Bearer " + secret_);
}

config_snapshot operator_api::ConfigOrThrow() {
  config_snapshot view = backend_.Config();
  if (view == nullptr) {
    throw unavailable_error("this host has no configuration yet",
                            "ask another host, or wait");
  }
  return view;
}

http_answer operator_api::GetKinds(const api_call&) {
  return Json(200, EncodeKinds());
}

http_answer operator_api::GetList(const api_call& call) {
  CheckKind(call.kind);
  return Json(200, EncodeList(*ConfigOrThrow(), call.kind));
}

http_answer operator_api::GetOne(const api_call& call) {
  CheckKind(call.kind);
  const auto text = EncodeOne(*ConfigOrThrow(), {call.kind, call.name});
  if (!text) {
    throw not_found_error(call.kind + " " + call.name + " does not exist",
                          "see GET /v1/" + call.kind);
  }
  return Json(200, *text);
}

http_answer operator_api::PutOne(const api_call& call) {
  CheckKind(call.kind);
  operator_write write;
  write.item = ParseResource(call.request.body);
  if (KeyOf(write.item) != resource_key{call.kind, call.name}) {
    throw invalid_input_error("kind or name differs from the path's",
                              "use the same kind and name in both");
  }
  write.expected = ReadRevision(call.request.target);
  write.dry_run = ReadFlag(call.request.target, "dry_run");
  return Write(write);
}

http_answer operator_api::DeleteOne(const api_call& call) {
  CheckKind(call.kind);
  operator_write write;
  write.remove = true;
  write.item = NamedResource({call.kind, call.name});
  write.expected = ReadRevision(call.request.target);
  write.dry_run = ReadFlag(call.request.target, "dry_run");
  return Write(write);
}

http_answer operator_api::Write(const operator_write& write) {
  const write_outcome outcome =
      backend_.Write(write, clock_.Now().steady + kWriteWait);
  encoded_outcome encoded = EncodeOutcome(outcome, write.dry_run);
  return Json(encoded.status, std::move(encoded.body));
}

http_answer operator_api::GetWatch(const api_call& call) {
  const std::string& target = call.request.target;
  const log_offset from(ReadNumber("from", QueryValue(target, "from")));
  const std::string wait_text = QueryValue(target, "wait_ms");
  const std::uint64_t wait =
      wait_text.empty() ? 0 : ReadNumber("wait_ms", wait_text);
  const std::uint64_t bounded = std::min<std::uint64_t>(
      wait, static_cast<std::uint64_t>(kMaxWatchWait.count()));
  const config_changes changes =
      backend_.ChangesFrom(from, clock_.Now().steady + milliseconds(bounded));
  if (changes.view == nullptr)
    ConfigOrThrow();
  return Json(200, EncodeChanges(changes));
}

http_answer operator_api::GetStatus(const api_call&) {
  const config_snapshot view = backend_.Config();
  return Json(200,
              EncodeStatus(view.get(), backend_.Status(), backend_.Health()));
}

http_answer operator_api::GetExplain(const api_call& call) {
  const std::string server = QueryValue(call.request.target, "server");
  const std::string pool = QueryValue(call.request.target, "pool");
  if (server.empty() == pool.empty()) {
    throw invalid_input_error("neither or both of server and pool are given",
                              "add ?server=IP:PORT or ?pool=NAME");
  }
  const auto all = server.empty() ? backend_.ExplainPool(pool_id(pool))
                                  : backend_.ExplainServer(server_id(server));
  if (all.empty()) {
    throw not_found_error((server.empty() ? pool : server) + " is not known",
                          "see GET /v1/pool");
  }
  return Json(200, EncodeExplanations(all));
}

http_answer operator_api::GetStats(const api_call&) {
  return Json(200, EncodeStats(backend_.Stats()));
}

http_answer operator_api::GetMetrics(const api_call&) {
  return Text(200, "text/plain; version=0.0.4", backend_.Metrics());
}

http_answer operator_api::GetAlive(const api_call&) {
  return Text(200, "text/plain", "alive\n");
}

http_answer operator_api::GetReady(const api_call&) {
  const health_status health = backend_.Health();
  if (health.leaving)
    return Text(503, "text/plain", "leaving\n");
  if (!health.ready)
    return Text(503, "text/plain", "not ready: " + health.reason + "\n");
  return Text(200, "text/plain", "ready\n");
}

http_answer operator_api::GetLeaving(const api_call&) {
  const bool leaving = backend_.Health().leaving;
  return Text(200, "text/plain", leaving ? "leaving\n" : "staying\n");
}

}  // namespace dotterellead
