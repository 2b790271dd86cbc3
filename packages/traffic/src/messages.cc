#include "messages.h"

#include <fmt/core.h>

#include <charconv>
#include <vector>

namespace dotterellead::traffic {

namespace {

std::string_view View(beast::string_view text) {
  return {text.data(), text.size()};
}

template <class Number>
bool ParseNumber(std::string_view text, Number& value) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ')
    text.remove_suffix(1);
  const auto [end, problem] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return problem == std::errc() && end == text.data() + text.size();
}

}  // namespace

request_target ParseTarget(const request_message& request, bool is_chunked) {
  request_target result;
  const auto hosts = request.equal_range(http::field::host);
  const auto host_count = std::distance(hosts.first, hosts.second);
  if (host_count > 1 || (host_count == 0 && request.version() >= 11)) {
    result.problem = "one Host header is needed";
    return result;
  }
  const auto codings = request.equal_range(http::field::transfer_encoding);
  const auto coding_count = std::distance(codings.first, codings.second);
  // Other programs may disagree with the parser on where such a body ends.
  const bool is_clearly_chunked =
      is_chunked && coding_count == 1 && request.version() >= 11 &&
      beast::iequals(codings.first->value(), "chunked");
  if (coding_count > 0 && !is_clearly_chunked) {
    result.problem =
        "the only transfer coding accepted is chunked, in HTTP/1.1";
    return result;
  }
  if (host_count == 1)
    result.host = std::string(View(hosts.first->value()));
  std::string_view target = View(request.target());
  constexpr std::string_view kScheme = "http://";
  if (target.starts_with(kScheme)) {
    target.remove_prefix(kScheme.size());
    const std::size_t slash = target.find('/');
    result.host = std::string(target.substr(0, slash));
    target = slash == std::string_view::npos ? "/" : target.substr(slash);
  }
  if (!target.starts_with('/') && target != "*")
    result.problem = "the target is no path";
  result.path = std::string(target);
  return result;
}

std::optional<milliseconds> ParseMillis(std::string_view text) {
  double value = 0;
  if (!ParseNumber(text, value) || !(value >= 0) || value > 1e9)
    return std::nullopt;
  return milliseconds(static_cast<std::int64_t>(value));
}

std::optional<dispatch::load_report> ParseLoad(std::string_view text) {
  std::vector<std::uint32_t> numbers;
  while (true) {
    const std::size_t comma = text.find(',');
    double value = 0;
    if (!ParseNumber(text.substr(0, comma), value) || !(value >= 0) ||
        value > 1e9)
      return std::nullopt;
    numbers.push_back(static_cast<std::uint32_t>(value));
    if (comma == std::string_view::npos)
      break;
    text.remove_prefix(comma + 1);
  }
  if (numbers.size() < 3 || numbers[2] == 0)
    return std::nullopt;
  dispatch::load_report load{numbers[0], numbers[1], numbers[2]};
  if (numbers.size() > 3 && numbers[3] > 0)
    load.slowdown_percent = numbers[3];
  return load;
}

void RemoveHopByHopHeaders(http::fields& headers) {
  const auto connection = headers.equal_range(http::field::connection);
  std::vector<std::string> named;
  for (auto it = connection.first; it != connection.second; ++it)
    for (const auto& token : http::token_list(it->value()))
      named.emplace_back(token);
  for (const std::string& name : named)
    headers.erase(name);
  for (const http::field name :
       {http::field::connection, http::field::keep_alive,
        http::field::proxy_connection, http::field::te, http::field::trailer,
        http::field::transfer_encoding, http::field::upgrade,
        http::field::expect, http::field::proxy_authenticate,
        http::field::proxy_authorization})
    headers.erase(name);
}

access::credential ReadCredential(const request_message& request,
                                  const header_names& names) {
  const auto lines = request.equal_range(names.credential);
  if (lines.first == lines.second)
    return {};
  if (std::next(lines.first) != lines.second)
    return {access::credential_kind::kMalformed, {}};
  return access::ParseCredential(View(lines.first->value()));
}

namespace {

void SetCustomer(request_message& request,
                 const header_names& names,
                 const dispatch::customer_header& customer) {
  if (customer.action == dispatch::customer_header_action::kPassOn)
    return;
  request.erase(names.credential);
  request.erase(names.customer);
  if (customer.action == dispatch::customer_header_action::kSet)
    request.set(names.customer, customer.customer.value());
}

}  // namespace

request_message MakeServerRequest(const request_message& from_caller,
                                  const std::string& path,
                                  const header_names& names,
                                  const dispatch::send_attempt& attempt) {
  request_message request = from_caller;
  RemoveHopByHopHeaders(request.base());
  request.version(11);
  request.target(path);
  request.set(names.timeout, fmt::format("{}", attempt.timeout.count()));
  request.set(names.expected_server, attempt.server.id.value());
  SetCustomer(request, names, attempt.customer);
  const bool had_body = from_caller.count(http::field::content_length) > 0 ||
                        from_caller.count(http::field::transfer_encoding) > 0;
  request.erase(http::field::content_length);
  if (had_body || !request.body().empty())
    request.content_length(request.body().size());
  return request;
}

response_message MakeCallerResponse(response_message from_server,
                                    bool is_head,
                                    bool keep_alive) {
  RemoveHopByHopHeaders(from_server.base());
  from_server.version(11);
  const unsigned status = from_server.result_int();
  const bool has_no_body = is_head || status == 204 || status == 304;
  if (!has_no_body)
    from_server.content_length(from_server.body().size());
  from_server.keep_alive(keep_alive);
  return from_server;
}

response_message MakeOwnResponse(http::status status,
                                 std::string_view reason,
                                 std::optional<milliseconds> retry_after,
                                 bool keep_alive) {
  response_message response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = fmt::format("{}\n", reason);
  if (retry_after)
    response.set(http::field::retry_after,
                 fmt::format("{:.3f}",
                             static_cast<double>(retry_after->count()) / 1000));
  response.content_length(response.body().size());
  response.keep_alive(keep_alive);
  return response;
}

http::status StatusOf(dispatch::reject_reason reason) {
  switch (reason) {
    case dispatch::reject_reason::kNoRoute:
      return http::status::not_found;
    case dispatch::reject_reason::kUnknownKey:
      return http::status::unauthorized;
    case dispatch::reject_reason::kConfigurationOutdated:
    case dispatch::reject_reason::kNoConfiguration:
    case dispatch::reject_reason::kNoServer:
    case dispatch::reject_reason::kNoCapacity:
    case dispatch::reject_reason::kHostStopping:
      return http::status::service_unavailable;
    case dispatch::reject_reason::kCrashesServers:
      return http::status::bad_gateway;
    case dispatch::reject_reason::kTimedOut:
      return http::status::gateway_timeout;
    case dispatch::reject_reason::kServerFailed:
      return http::status::bad_gateway;
  }
  return http::status::bad_gateway;
}

}  // namespace dotterellead::traffic
