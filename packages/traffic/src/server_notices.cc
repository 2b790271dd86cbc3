#include "server_notices.h"

#include <charconv>
#include <cmath>

#include "dotterellead/limits.h"

namespace dotterellead::traffic {

namespace {

std::vector<std::string_view> ValuesOf(const response_message& response,
                                       beast::string_view name) {
  std::vector<std::string_view> values;
  const auto range = response.equal_range(name);
  for (auto it = range.first; it != range.second; ++it)
    values.emplace_back(it->value().data(), it->value().size());
  return values;
}

void LogInvalid(const dispatch::server_ref& server,
                std::string_view header,
                std::string_view value,
                std::string_view problem) {
  constexpr std::size_t kMaxLoggedValue = 64;
  LogEvent(log_level::kWarning, "server-header-invalid",
           {{"server", server.id.value()},
            {"header", std::string(header)},
            {"value", std::string(value.substr(0, kMaxLoggedValue))},
            {"problem", std::string(problem)}});
}

// Parses seconds, with fractions; sets `problem` if the text cannot be used as
// it is.
std::optional<milliseconds> ParseBackoffValue(std::string_view text,
                                              std::string_view& problem) {
  using std::chrono::duration;
  constexpr duration<double> kMax = limits::kMaxServerBackoff;
  double seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds,
                      std::chars_format::fixed);
  const bool is_whole = !text.empty() && end == text.data() + text.size();
  if (!is_whole || std::isnan(seconds) || text.front() == '-') {
    problem = "not a number of seconds from 0";
    return std::nullopt;
  }
  if (error == std::errc::result_out_of_range || seconds > kMax.count()) {
    problem = "longer than the maximum backoff";
    return limits::kMaxServerBackoff;
  }
  return std::chrono::ceil<milliseconds>(duration<double>(seconds));
}

}  // namespace

parsed_backoff ParseBackoff(const std::vector<std::string_view>& values) {
  parsed_backoff result;
  if (values.size() > 1)
    result.problem = "given more than once";
  for (const std::string_view value : values)
    if (const auto time = ParseBackoffValue(value, result.problem))
      result.time = std::max(result.time.value_or(*time), *time);
  return result;
}

parsed_leaving ParseLeaving(const std::vector<std::string_view>& values) {
  parsed_leaving result;
  if (values.size() > 1)
    result.problem = "given more than once";
  for (const std::string_view value : values) {
    if (value == "1")
      result.is_leaving = true;
    else
      result.problem = "not 1";
  }
  return result;
}

std::optional<dispatch::server_notice> ReadNotice(
    const response_message& response,
    const header_names& names,
    const dispatch::server_ref& server) {
  dispatch::server_notice notice{server};
  const auto leaving_values = ValuesOf(response, names.leaving);
  if (!leaving_values.empty()) {
    const parsed_leaving leaving = ParseLeaving(leaving_values);
    notice.is_leaving = leaving.is_leaving;
    if (!leaving.problem.empty())
      LogInvalid(server, names.leaving, leaving_values.front(),
                 leaving.problem);
  }
  if (response.result() == http::status::service_unavailable) {
    const auto values = ValuesOf(response, names.retry_after);
    const parsed_backoff backoff = ParseBackoff(values);
    notice.retry_after = backoff.time;
    if (!backoff.problem.empty())
      LogInvalid(server, names.retry_after, values.front(), backoff.problem);
  }
  if (!notice.is_leaving && !notice.retry_after)
    return std::nullopt;
  return notice;
}

}  // namespace dotterellead::traffic
