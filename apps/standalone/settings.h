// Settings of an entry host, from flags and environment.
#ifndef DOTTERELLEAD_SETTINGS_H_
#define DOTTERELLEAD_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/http.h"

namespace dotterellead {

struct settings {
  member_id name;
  data_centre_id data_centre;
  socket_address caller_address;
  socket_address operator_address;
  socket_address peer_address;
  std::vector<socket_address> peers;
  // The platform's log and host list. Without a log the host serves only
  // --resources.
  std::optional<socket_address> log_address;
  std::optional<socket_address> host_list_address;
  std::string resources_file;
  std::string choice_policy;
  std::size_t caller_threads = limits::kCallerThreads;
  std::uint64_t memory_mb = limits::kDefaultStandaloneMemoryMb;
  // Descriptors that the process may open; 0 for the process's limit.
  std::uint64_t max_descriptors = 0;
  milliseconds shutdown_grace = limits::kShutdownGrace;
  log_level level = log_level::kInfo;
  bool check_only = false;
  std::string operator_secret;
  std::string peer_secret;
};

// Parses and checks all settings. Throws invalid_setting_error, naming the
// flag. Returns nullopt with `exit_code` set if the process should end, as
// after --help.
std::optional<settings> ParseSettings(int argc, char** argv, int& exit_code);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SETTINGS_H_
