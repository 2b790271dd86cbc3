#include "entry_settings.h"

#include <CLI/CLI.hpp>
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

milliseconds FromSeconds(double seconds) {
  constexpr double kMillis = 1000;
  return milliseconds(static_cast<std::int64_t>(seconds * kMillis));
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
  std::string host, data_centre, front, ready, metrics, store, peers;
  std::vector<std::string> seeds;
  std::string level = "info";
  double stop_s = 6;
  double config_s = 2;
  double drain_s = 2;
  double retry_window_s = 10;
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
  app.add_option("--expose-share", s.max_exposure_ratio,
                 "share of requests that a bad version may get")
      ->check(CLI::Range(0.0, 1.0));
  app.add_option("--expose-slack", s.exposure_allowance,
                 "requests beyond the share that a bad version may get")
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--stop-s", stop_s, "seconds from SIGTERM to the end")
      ->check(CLI::Range(0.1, 600.0));
  app.add_option("--config-s", config_s,
                 "seconds within which a configuration must be in force")
      ->check(CLI::Range(0.5, 600.0));
  app.add_option("--drain-s", drain_s,
                 "seconds within which a leaving server gets no more requests")
      ->check(CLI::Range(0.5, 600.0));
  app.add_option("--repeat-ratio", s.retry_ratio,
                 "repeats allowed for each request, over all hosts")
      ->check(CLI::Range(0.0, 10.0));
  app.add_option("--repeat-window-s", retry_window_s,
                 "seconds over which repeats are counted")
      ->check(CLI::Range(0.1, 600.0));
  app.add_option("--repeat-slack", s.retry_allowance,
                 "repeats beyond the ratio in one window, over all hosts")
      ->check(CLI::Range(0.0, 1e6));
  app.add_option("--probes-per-s", s.max_probe_rate,
                 "health checks that one server bears from all hosts a second")
      ->check(CLI::Range(0.1, 1e6));
  app.add_option("--log-level", level, "debug, info, warning or error")
      ->envname("DOTTERELLEAD_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  app.add_option("--first-start", s.is_first_start,
                 "true if all hosts start together for the first time");
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
  for (const std::string& seed : seeds)
    if (!seed.empty())
      s.seeds.push_back(ParseAddress(seed, "seeds"));
  s.stop_timeout = FromSeconds(stop_s);
  s.max_config_delay = FromSeconds(config_s);
  s.max_drain_delay = FromSeconds(drain_s);
  s.retry_window = FromSeconds(retry_window_s);
  const std::map<std::string, log_level> levels{
      {"debug", log_level::kDebug},
      {"info", log_level::kInfo},
      {"warning", log_level::kWarning},
      {"error", log_level::kError}};
  s.level = levels.at(level);
  return s;
}

}  // namespace dotterellead::entry
