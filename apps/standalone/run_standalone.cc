#include "run_standalone.h"

#include <csignal>

#include "entry_host.h"
#include "settings.h"

namespace dotterellead {

namespace {

// Blocks the stop signals in all threads, so that main alone waits for them.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

}  // namespace

int RunStandalone(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t stop_signals = BlockStopSignals();
  try {
    int exit_code = 0;
    std::optional<settings> s = ParseSettings(argc, argv, exit_code);
    if (!s)
      return exit_code;
    SetLogLevel(s->level);
    if (s->check_only)
      return 0;
    entry_host host(std::move(*s));
    host.Start();
    LogEvent(log_level::kInfo, "serving");
    int signal = 0;
    sigwait(&stop_signals, &signal);
    LogEvent(log_level::kInfo, "stopping");
    host.Stop();
    LogEvent(log_level::kInfo, "stopped");
    return 0;
  } catch (const error& e) {
    LogEvent(log_level::kError, "start-failed",
             {{"kind", std::string(to_string(e.kind()))},
              {"problem", e.problem()},
              {"remedy", e.remedy()}});
    return 2;
  }
}

}  // namespace dotterellead
