#include "run_entry.h"

#include <sys/stat.h>

#include <csignal>

#include "dotterellead/logging.h"
#include "entry_host.h"
#include "entry_settings.h"

namespace dotterellead::entry {

namespace {

// Blocks the signals in all threads, so that only the main thread receives
// them.
sigset_t BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, signal);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void LogStartFailure(const error& e) {
  LogEvent(log_level::kError, "start-failed",
           {{"kind", std::string(to_string(e.kind()))},
            {"problem", e.problem()},
            {"remedy", e.remedy()}});
}

// Detects changes of a file by its modification time and size.
class settings_file {
 public:
  explicit settings_file(std::string path) : path_(std::move(path)) {
    HasChanged();
  }
  bool HasChanged() {
    struct stat status {};
    if (path_.empty() || stat(path_.c_str(), &status) != 0)
      return false;
    const bool is_changed =
        status.st_mtim.tv_sec != last_status_.st_mtim.tv_sec ||
        status.st_mtim.tv_nsec != last_status_.st_mtim.tv_nsec ||
        status.st_size != last_status_.st_size;
    last_status_ = status;
    return is_changed;
  }

 private:
  std::string path_;
  struct stat last_status_ {};
};

// Rereads the settings. An invalid file changes nothing.
void Reload(int argc, const char* const* argv) {
  try {
    int exit_code = 0;
    const std::optional<entry_settings> settings =
        ReadSettings(argc, argv, exit_code);
    if (!settings)
      return;
    SetLogLevel(settings->level);
    LogEvent(log_level::kInfo, "settings-reloaded", {{"file", settings->file}});
  } catch (const error& e) {
    LogEvent(log_level::kError, "settings-not-reloaded",
             {{"problem", e.problem()}, {"remedy", e.remedy()}});
  }
}

}  // namespace

int RunEntry(int argc, const char* const* argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = BlockSignals();
  try {
    int exit_code = 0;
    const std::optional<entry_settings> s = ReadSettings(argc, argv, exit_code);
    if (!s || s->check_only)
      return exit_code;
    SetLogLevel(s->level);
    logging::log_duty log({});
    log.Start();
    LogEvent(log_level::kInfo, "starting",
             {{"host", s->host.value()},
              {"data_centre", s->data_centre.value()},
              {"front", to_string(s->front_address)}});
    if (!s->missing.empty())
      LogEvent(log_level::kInfo, "settings-missing",
               {{"defaults", DescribeMissingSettings(*s)}});
    entry_host host(*s);
    host.Start();
    LogEvent(log_level::kInfo, "serving");
    settings_file file(s->file);
    int signal = 0;
    while (signal != SIGTERM && signal != SIGINT) {
      constexpr timespec kInterval{1, 0};
      signal = sigtimedwait(&signals, nullptr, &kInterval);
      host.StartStatisticsInterval();
      // The file may also change without a signal.
      if (signal == SIGHUP || file.HasChanged())
        Reload(argc, argv);
    }
    LogEvent(log_level::kInfo, "stopping",
             {{"signal", std::to_string(signal)}});
    host.Drain();
    LogEvent(log_level::kInfo, "stopped");
    constexpr milliseconds kLogFlushTimeout{100};
    log.Stop(kLogFlushTimeout);
    // The threads end with the process; there is nothing left to save.
    std::_Exit(0);
  } catch (const error& e) {
    LogStartFailure(e);
    return 2;
  }
}

}  // namespace dotterellead::entry
