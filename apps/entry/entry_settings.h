// Settings of `dotterellead entry`, from flags, the environment and a settings
// file with the same names.
#ifndef APPS_ENTRY_ENTRY_SETTINGS_H_
#define APPS_ENTRY_ENTRY_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "adapter/adapter.h"
#include "dotterellead/catalog.h"
#include "dotterellead/core.h"
#include "dotterellead/dispatch.h"
#include "dotterellead/limits.h"

namespace dotterellead::entry {

// The checked settings. The names of flags are in the .cc file.
struct entry_settings {
  // Path of the settings file, which is reread when it changes; may be empty.
  std::string file;
  member_id host;
  data_centre_id data_centre;
  catalog::endpoint front_address;
  catalog::endpoint ready_address;
  // Metrics are not served if invalid.
  catalog::endpoint metrics_address;
  catalog::endpoint store_address;
  // Listen address for other hosts, and addresses of hosts to contact first.
  catalog::endpoint peer_address;
  std::vector<catalog::endpoint> seeds;
  // Maximum time from SIGTERM to the end of the process.
  milliseconds stop_timeout{6'000};
  // Maximum time until a configuration, and the draining of a server, must be
  // in force on every host.
  milliseconds max_config_delay{2'000};
  milliseconds max_drain_delay{2'000};
  // Whether a revoked key must be rejected within `revocation_limit` even on a
  // host that is cut off from the others. Off without a limit.
  bool has_strict_revocation = false;
  milliseconds revocation_limit{5'000};
  // Operators' limits on retries, probes and the exposure of new versions,
  // summed over all hosts.
  double retry_ratio = 0.2;
  milliseconds retry_window{10'000};
  double retry_allowance = 50;
  double max_probe_rate = 60;
  double max_exposure_ratio = 0.1;
  double exposure_allowance = 50;
  // Memory of the machine, and descriptors that the process may open; 0 for the
  // process's limit.
  std::uint64_t memory_mb = limits::kDefaultMemoryMb;
  std::uint64_t max_descriptors = 0;
  // Whether operators may order moves to new versions. Off without a limit on
  // the exposure of new versions.
  bool has_moves = true;
  // The platform's operations service, and the length of a window of usage
  // reports. Without either, usage is neither counted nor reported.
  catalog::endpoint operations_address;
  std::optional<milliseconds> usage_window;
  milliseconds max_usage_delay{10'000};
  milliseconds leader_lease{3'000};
  // Whether the operations service checks fencing tokens.
  bool require_fencing = false;
  log_level level = log_level::kInfo;
  // Whether all hosts start together for the first time.
  bool is_first_start = false;
  // Whether to check the settings and exit.
  bool check_only = false;
  // Limits that were absent or empty.
  std::vector<std::string> missing;
};

// Names of the settings that were absent or empty, each with its consequence,
// for one log line at the start; empty if all were given.
std::string DescribeMissingSettings(const entry_settings& settings);

// Parses and checks the settings. Returns nullopt and sets `exit_code` if the
// program is to exit, as after --help. Throws invalid_setting_error.
std::optional<entry_settings> ReadSettings(int argc,
                                           const char* const* argv,
                                           int& exit_code);

}  // namespace dotterellead::entry

#endif  // APPS_ENTRY_ENTRY_SETTINGS_H_
