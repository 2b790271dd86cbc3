#include <fmt/core.h>

#include <atomic>
#include <cstdio>

#include "dotterellead/core.h"

namespace dotterellead {
namespace {

std::atomic<log_level> lowest_level{log_level::kInfo};
std::atomic<std::uint64_t> unexpected_errors{0};

log_writer& Writer() {
  static log_writer writer;
  return writer;
}

std::string_view LevelName(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \"=\n\t\r\\") != value.npos;
}

void AppendQuoted(std::string_view value, std::string& line) {
  line += '"';
  for (const char c : value) {
    if (c == '\n') {
      line += "\\n";
      continue;
    }
    if (c == '"' || c == '\\')
      line += '\\';
    line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  line += '"';
}

}  // namespace

void SetLogWriter(log_writer writer) {
  Writer() = std::move(writer);
}

void SetLogLevel(log_level lowest) {
  lowest_level = lowest;
}

std::string FormatLogLine(unix_millis wall,
                          log_level level,
                          std::string_view event,
                          const std::vector<log_field>& fields) {
  std::string line = fmt::format("time_ms={} level={} event={}", wall.value,
                                 LevelName(level), event);
  for (const log_field& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    if (NeedsQuotes(field.value))
      AppendQuoted(field.value, line);
    else
      line += field.value;
  }
  return line;
}

void LogEvent(log_level level,
              std::string_view event,
              const std::vector<log_field>& fields) {
  if (level < lowest_level)
    return;
  std::string line =
      FormatLogLine(system_clock_source().Now().wall, level, event, fields);
  line += '\n';
  if (const log_writer& writer = Writer())
    writer(std::move(line));
  else
    std::fwrite(line.data(), 1, line.size(), stderr);
}

void ReportUnexpectedError(std::string_view duty, std::string_view problem) {
  ++unexpected_errors;
  LogEvent(log_level::kError, "unexpected-error",
           {{"duty", std::string(duty)}, {"problem", std::string(problem)}});
}

std::uint64_t UnexpectedErrorCount() {
  return unexpected_errors;
}

}  // namespace dotterellead
