// Settings of `dotterellead entry`: flags, environment and a file of the same
// names.
#ifndef APPS_ENTRY_ENTRY_SETTINGS_H_
#define APPS_ENTRY_ENTRY_SETTINGS_H_

#include <optional>
#include <string>

#include "adapter/adapter.h"
#include "dotterellead/catalog.h"
#include "dotterellead/core.h"
#include "dotterellead/dispatch.h"

namespace dotterellead::entry {

struct entry_settings {
  // The file that was read, to be read again when it changes; may be empty.
  std::string file;
  member_id host;
  data_centre_id data_centre;
  catalog::endpoint front;
  catalog::endpoint ready;
  // Invalid: no metrics are served.
  catalog::endpoint metrics;
  catalog::endpoint store;
  // Where other hosts reach this one, and hosts to begin with.
  catalog::endpoint peers;
  std::vector<catalog::endpoint> seeds;
  // Longest time from the order to stop until the process ends.
  milliseconds stop_time{6'000};
  // Within which a configuration, and the leaving of a server, must be in force
  // on every host.
  milliseconds config_bound{2'000};
  milliseconds drain_bound{2'000};
  double repeat_ratio = 0.2;
  milliseconds repeat_window{10'000};
  double repeat_slack = 50;
  double probe_rate = 60;
  double expose_share = 0.1;
  double expose_slack = 50;
  log_level level = log_level::kInfo;
  // Set if all hosts start together for the first time.
  bool is_first_start = false;
  bool check_only = false;
};

// Reads and checks settings. Returns nullopt, and `exit_code`, if the program
// has nothing more to do, as after --help. Throws invalid_setting_error.
std::optional<entry_settings> ReadSettings(int argc,
                                           const char* const* argv,
                                           int& exit_code);

}  // namespace dotterellead::entry

#endif  // APPS_ENTRY_ENTRY_SETTINGS_H_
