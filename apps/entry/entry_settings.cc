#include "entry_settings.h"

#include <fmt/core.h>
#include <CLI/CLI.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <map>

namespace dotterellead::entry {

namespace {

catalog::endpoint ParseAddress(const std::string& text, const char* setting) {
  const catalog::endpoint address = catalog::ParseEndpoint(text);
  if (!address.is_valid())
    throw invalid_setting_error(
        std::string("setting ") + setting + " is '" + text + "'",
        "give an IPv4 address and port, such as 10.0.0.1:8080");
  return address;
}

// A limit of the operators, which a deployment without that part of the terms
// leaves empty.
struct limit_setting {
  const char* name;
  const char* description;
  double min = 0;
  double max = 0;
  void (*set)(entry_settings&, double);
  // What holds without it.
  const char* if_missing;
};

milliseconds FromSeconds(double seconds) {
  constexpr double kMillis = 1000;
  return milliseconds(static_cast<std::int64_t>(seconds * kMillis));
}

constexpr double kMaxSeconds = 600;

constexpr limit_setting kLimits[] = {
    {"expose-share", "share of requests that a bad version may get", 0, 1,
     [](entry_settings& s, double v) { s.max_exposure_ratio = v; },
     "moves are off"},
    {"expose-slack", "requests beyond the share that a bad version may get", 0,
     1e6, [](entry_settings& s, double v) { s.exposure_allowance = v; },
     "moves are off"},
    {"stop-s", "seconds from SIGTERM to the end", 0.1, kMaxSeconds,
     [](entry_settings& s, double v) { s.stop_timeout = FromSeconds(v); },
     "6 s"},
    {"config-s", "seconds within which a configuration must be in force", 0.5,
     kMaxSeconds,
     [](entry_settings& s, double v) { s.max_config_delay = FromSeconds(v); },
     "2 s"},
    {"revoke-s", "seconds within which a revoked key must be rejected", 1,
     kMaxSeconds,
     [](entry_settings& s, double v) { s.revocation_limit = FromSeconds(v); },
     "strict revocation is off"},
    {"drain-s", "seconds within which a leaving server gets no more requests",
     0.5, kMaxSeconds,
     [](entry_settings& s, double v) { s.max_drain_delay = FromSeconds(v); },
     "2 s"},
    {"repeat-ratio", "repeats allowed for each request, over all hosts", 0, 10,
     [](entry_settings& s, double v) { s.retry_ratio = v; }, "0.2"},
    {"repeat-window-s", "seconds over which repeats are counted", 0.1,
     kMaxSeconds,
     [](entry_settings& s, double v) { s.retry_window = FromSeconds(v); },
     "10 s"},
    {"repeat-slack", "repeats beyond the ratio in one window, over all hosts",
     0, 1e6, [](entry_settings& s, double v) { s.retry_allowance = v; }, "50"},
    {"probes-per-s",
     "health checks that one server bears from all hosts a second", 0.1, 1e6,
     [](entry_settings& s, double v) { s.max_probe_rate = v; }, "60"},
    {"usage-window-s", "seconds of usage that one report covers", 0.5,
     kMaxSeconds,
     [](entry_settings& s, double v) { s.usage_window = FromSeconds(v); },
     "usage reports are off"},
    {"usage-late-s", "seconds after which a usage report is late", 1,
     kMaxSeconds,
     [](entry_settings& s, double v) { s.max_usage_delay = FromSeconds(v); },
     "10 s"},
    {"lease-s", "seconds that a new leader waits before its first call", 0.5,
     kMaxSeconds,
     [](entry_settings& s, double v) { s.leader_lease = FromSeconds(v); },
     "3 s"},
    {"memory-mb", "memory of the machine in MB", limits::kMinMemoryMb, 1e6,
     [](entry_settings& s, double v) {
       s.memory_mb = static_cast<std::uint64_t>(v);
     },
     "160"},
    {"max-fds", "descriptors that the process may open",
     limits::kMinDescriptors, 1e8,
     [](entry_settings& s, double v) {
       s.max_descriptors = static_cast<std::uint64_t>(v);
     },
     "the process's limit of open files"},
};

double ParseLimit(const std::string& text, const limit_setting& limit) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [last, problem] = std::from_chars(text.data(), end, value);
  // The negated comparison also rejects NaN.
  if (problem != std::errc() || last != end ||
      !(value >= limit.min && value <= limit.max))
    throw invalid_setting_error(
        fmt::format("setting {} is '{}'", limit.name, text),
        fmt::format("give a number from {:g} to {:g}, or leave it empty",
                    limit.min, limit.max));
  return value;
}

bool ParseFlag(const std::string& text, const char* setting) {
  if (text.empty() || text == "false" || text == "0")
    return false;
  if (text == "true" || text == "1")
    return true;
  throw invalid_setting_error(fmt::format("setting {} is '{}'", setting, text),
                              "give true or false, or leave it empty");
}

}  // namespace

std::optional<entry_settings> ReadSettings(int argc,
                                           const char* const* argv,
                                           int& exit_code) {
  CLI::App app("Serves callers at the entry of backend server pools.");
  app.name("dotterellead entry");
  app.allow_config_extras(true);
  const char* file = std::getenv("DOTTERELLEAD_BOOT");
  app.set_config("--config", file == nullptr ? "" : file,
                 "file of settings, one NAME=VALUE a line "
                 "(environment: DOTTERELLEAD_BOOT)",
                 file != nullptr);
  std::string host, data_centre, front, ready, metrics, store, peers,
      operations;
  std::vector<std::string> seeds;
  std::string level = "info";
  std::string first_start;
  std::string require_fencing;
  std::string strict_revocation;
  entry_settings s;
  app.add_option("--host", host, "name of this host")
      ->envname("DOTTERELLEAD_HOST")
      ->required();
  app.add_option("--data-centre", data_centre, "data centre of this host")
      ->envname("DOTTERELLEAD_DATA_CENTRE")
      ->required();
  app.add_option("--front", front, "address for callers, IP:PORT")
      ->envname("DOTTERELLEAD_FRONT")
      ->required();
  app.add_option("--ready", ready, "address for ready checks, IP:PORT")
      ->envname("DOTTERELLEAD_READY")
      ->required();
  app.add_option("--metrics", metrics, "address for metrics, IP:PORT")
      ->envname("DOTTERELLEAD_METRICS");
  app.add_option("--store", store, "address of the platform's store, IP:PORT")
      ->envname("DOTTERELLEAD_STORE")
      ->required();
  app.add_option("--peers", peers, "address for other hosts, IP:PORT")
      ->envname("DOTTERELLEAD_PEERS")
      ->required();
  app.add_option("--seeds", seeds, "hosts to begin with, IP:PORT")
      ->delimiter(',');
  std::array<std::string, std::size(kLimits)> limit_texts;
  for (std::size_t i = 0; i < limit_texts.size(); ++i)
    app.add_option(std::string("--") + kLimits[i].name, limit_texts[i],
                   fmt::format("{}; without it: {}", kLimits[i].description,
                               kLimits[i].if_missing));
  app.add_option("--log-level", level, "debug, info, warning or error")
      ->envname("DOTTERELLEAD_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  app.add_option("--first-start", first_start,
                 "true if all hosts start together for the first time");
  app.add_option("--operations", operations,
                 "address of the platform's operations service, IP:PORT; "
                 "without it: usage reports are off");
  app.add_option("--require-fencing", require_fencing,
                 "true if the operations service checks fencing tokens");
  app.add_option("--strict-revocation", strict_revocation,
                 "true if hosts that are cut off must reject revoked keys");
  app.add_flag("--check", s.check_only, "checks the settings and ends");
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& e) {
    exit_code = app.exit(e);
    return std::nullopt;
  } catch (const CLI::ParseError& e) {
    throw invalid_setting_error(e.what(),
                                "see dotterellead entry --help for settings");
  }
  s.file = app.get_config_ptr()->as<std::string>();
  s.host = member_id(host);
  s.data_centre = data_centre_id(data_centre);
  s.front_address = ParseAddress(front, "front");
  s.ready_address = ParseAddress(ready, "ready");
  if (!metrics.empty())
    s.metrics_address = ParseAddress(metrics, "metrics");
  s.store_address = ParseAddress(store, "store");
  s.peer_address = ParseAddress(peers, "peers");
  if (!operations.empty())
    s.operations_address = ParseAddress(operations, "operations");
  for (const std::string& seed : seeds)
    if (!seed.empty())
      s.seeds.push_back(ParseAddress(seed, "seeds"));
  for (std::size_t i = 0; i < limit_texts.size(); ++i) {
    if (limit_texts[i].empty())
      s.missing.push_back(kLimits[i].name);
    else
      kLimits[i].set(s, ParseLimit(limit_texts[i], kLimits[i]));
  }
  const auto is_missing = [&s](std::string_view name) {
    return std::find(s.missing.begin(), s.missing.end(), name) !=
           s.missing.end();
  };
  s.has_moves = !is_missing("expose-share") && !is_missing("expose-slack");
  s.has_strict_revocation = ParseFlag(strict_revocation, "strict-revocation") &&
                            !is_missing("revoke-s");
  s.is_first_start = ParseFlag(first_start, "first-start");
  s.require_fencing = ParseFlag(require_fencing, "require-fencing");
  const std::map<std::string, log_level> levels{
      {"debug", log_level::kDebug},
      {"info", log_level::kInfo},
      {"warning", log_level::kWarning},
      {"error", log_level::kError}};
  s.level = levels.at(level);
  return s;
}

std::string DescribeMissingSettings(const entry_settings& settings) {
  std::string text;
  for (const limit_setting& limit : kLimits)
    if (std::find(settings.missing.begin(), settings.missing.end(),
                  limit.name) != settings.missing.end())
      text += fmt::format("{}{}: {}", text.empty() ? "" : ", ", limit.name,
                          limit.if_missing);
  return text;
}

}  // namespace dotterellead::entry
