#include "settings.h"

#include <CLI/CLI.hpp>
#include <cstdlib>

namespace dotterellead {
namespace {

constexpr std::size_t kShortestSecret = 16;

// The values as texts, before they are checked.
struct raw_settings {
  std::string name;
  std::string data_centre;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::vector<std::string> peers;
  std::string log_address;
  std::string host_list_address;
  std::string resources_file;
  std::string choice_policy = "forwarded";
  std::size_t caller_threads = limits::kCallerThreads;
  std::uint64_t memory_mb = limits::kDefaultStandaloneMemoryMb;
  std::uint64_t max_descriptors = 0;
  std::int64_t shutdown_grace_ms = limits::kShutdownGrace.count();
  std::string level = "info";
  bool check_only = false;
};

socket_address CheckAddress(const std::string& flag, const std::string& text) {
  try {
    return ParseSocketAddress(text);
  } catch (const invalid_input_error& e) {
    throw invalid_setting_error(flag + ": " + e.problem(), e.remedy());
  }
}

std::optional<socket_address> CheckOptionalAddress(const std::string& flag,
                                                   const std::string& text) {
  if (text.empty())
    return std::nullopt;
  return CheckAddress(flag, text);
}

std::string ReadSecret(const char* variable) {
  const char* value = std::getenv(variable);
  if (value == nullptr || std::string(value).size() < kShortestSecret) {
    throw invalid_setting_error(
        std::string(variable) + " is not set or too short",
        "set it in the environment to a secret of at least " +
            std::to_string(kShortestSecret) + " characters");
  }
  return value;
}

void DeclareFlags(CLI::App& app, raw_settings& raw) {
  app.add_option("--name", raw.name, "Unique name of this entry host")
      ->envname("DOTTERELLEAD_NAME")
      ->required();
  app.add_option("--data-centre", raw.data_centre, "Data centre of this host")
      ->envname("DOTTERELLEAD_DATA_CENTRE")
      ->required();
  app.add_option("--caller-address", raw.caller_address,
                 "IP:port that callers use")
      ->envname("DOTTERELLEAD_CALLER_ADDRESS")
      ->required();
  app.add_option("--operator-address", raw.operator_address,
                 "IP:port of the resource API, health and metrics")
      ->envname("DOTTERELLEAD_OPERATOR_ADDRESS")
      ->required();
  app.add_option("--peer-address", raw.peer_address,
                 "IP:port that other entry hosts use; the next port takes "
                 "forwarded requests")
      ->envname("DOTTERELLEAD_PEER_ADDRESS")
      ->required();
  app.add_option("--peers", raw.peers,
                 "Peer addresses to start with, comma separated")
      ->delimiter(',')
      ->envname("DOTTERELLEAD_PEERS");
  app.add_option("--log-address", raw.log_address,
                 "IP:port of the platform's log")
      ->envname("DOTTERELLEAD_LOG_ADDRESS");
  app.add_option("--host-list-address", raw.host_list_address,
                 "IP:port of the platform's host list")
      ->envname("DOTTERELLEAD_HOST_LIST_ADDRESS");
  app.add_option("--resources", raw.resources_file,
                 "File with one JSON resource per line, instead of the log")
      ->envname("DOTTERELLEAD_RESOURCES");
  app.add_option("--choice-policy", raw.choice_policy,
                 "Choice among servers: forwarded (the default), leased, "
                 "round_robin or two_choices")
      ->envname("DOTTERELLEAD_CHOICE_POLICY")
      ->check(
          CLI::IsMember({"forwarded", "leased", "round_robin", "two_choices"}));
  app.add_option("--caller-threads", raw.caller_threads,
                 "Caller connections served at once")
      ->envname("DOTTERELLEAD_CALLER_THREADS")
      ->check(CLI::Range(1, 4096));
  app.add_option("--memory-mb", raw.memory_mb, "Memory of the machine in MB")
      ->envname("DOTTERELLEAD_MEMORY_MB")
      ->check(CLI::Range(static_cast<std::uint64_t>(limits::kMinMemoryMb),
                         std::uint64_t{1'000'000}));
  app.add_option("--max-fds", raw.max_descriptors,
                 "Descriptors that the process may open; without it the "
                 "process's limit of open files")
      ->envname("DOTTERELLEAD_MAX_FDS")
      ->check(CLI::Range(limits::kMinDescriptors, std::uint64_t{100'000'000}));
  app.add_option("--shutdown-grace-ms", raw.shutdown_grace_ms,
                 "Time for requests in flight after SIGTERM, in ms")
      ->envname("DOTTERELLEAD_SHUTDOWN_GRACE_MS")
      ->check(CLI::Range(0, 600'000));
  app.add_option("--log-level", raw.level, "debug, info, warning or error")
      ->envname("DOTTERELLEAD_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warning", "error"}));
  app.add_flag("--check-settings", raw.check_only,
               "Check all settings and exit without serving");
  app.footer(
      "Secrets come from the environment only: DOTTERELLEAD_OPERATOR_SECRET "
      "and DOTTERELLEAD_PEER_SECRET.");
}

log_level LevelOf(const std::string& name) {
  if (name == "debug")
    return log_level::kDebug;
  if (name == "warning")
    return log_level::kWarning;
  return name == "error" ? log_level::kError : log_level::kInfo;
}

settings Check(const raw_settings& raw) {
  settings s;
  s.name = member_id(raw.name);
  s.data_centre = data_centre_id(raw.data_centre);
  s.caller_address = CheckAddress("--caller-address", raw.caller_address);
  s.operator_address = CheckAddress("--operator-address", raw.operator_address);
  s.peer_address = CheckAddress("--peer-address", raw.peer_address);
  if (s.peer_address.port == UINT16_MAX) {
    throw invalid_setting_error(
        "--peer-address: the next port, which takes forwarded requests, does "
        "not exist",
        "use a port up to 65534");
  }
  for (const std::string& peer : raw.peers)
    s.peers.push_back(CheckAddress("--peers", peer));
  s.log_address = CheckOptionalAddress("--log-address", raw.log_address);
  s.host_list_address =
      CheckOptionalAddress("--host-list-address", raw.host_list_address);
  if (!s.log_address && raw.resources_file.empty()) {
    throw invalid_setting_error(
        "neither --log-address nor --resources is given",
        "name the platform's log");
  }
  s.resources_file = raw.resources_file;
  s.choice_policy = raw.choice_policy;
  s.caller_threads = raw.caller_threads;
  s.memory_mb = raw.memory_mb;
  s.max_descriptors = raw.max_descriptors;
  s.shutdown_grace = milliseconds(raw.shutdown_grace_ms);
  s.level = LevelOf(raw.level);
  s.check_only = raw.check_only;
  s.operator_secret = ReadSecret("DOTTERELLEAD_OPERATOR_SECRET");
  s.peer_secret = ReadSecret("DOTTERELLEAD_PEER_SECRET");
  return s;
}

}  // namespace

std::optional<settings> ParseSettings(int argc, char** argv, int& exit_code) {
  CLI::App app("Entry host of the dotterellead load balancer", "dotterellead");
  raw_settings raw;
  DeclareFlags(app, raw);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    exit_code = app.exit(e);
    return std::nullopt;
  }
  return Check(raw);
}

}  // namespace dotterellead
