// An entry host: a process of the deploy file's role with its settings file.
#ifndef REVIEW_STANDINS_2_HOST_H_
#define REVIEW_STANDINS_2_HOST_H_

#include <sys/types.h>

#include "net.h"

namespace review {

struct host_settings {
  std::string name;
  std::string zone;
  int store_port = 0;
  // Ports of the peers' addresses.
  std::vector<int> seeds;
  int memory_mb = 260;
  // Where the settings file and the log are written.
  std::string folder;
};

class host {
 public:
  // Takes free ports for its addresses; Start starts the process.
  explicit host(host_settings settings);
  ~host();
  host(const host&) = delete;
  void SetSeeds(std::vector<int> seeds) { settings_.seeds = std::move(seeds); }
  void Start();
  void Signal(int signal) const;
  // Whether the process runs; takes its exit status if it has ended.
  bool IsRunning();
  // Waits until the readiness check answers 200.
  bool WaitReady(milliseconds timeout) const;
  bool IsReady() const;
  // Memory of the process in the machine, in kB; 0 if it has ended.
  long ResidentKb() const;
  int front() const { return front_; }
  int peers() const { return peers_; }
  int metrics() const { return metrics_; }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return settings_.name; }
  std::string log_file() const;

 private:
  std::string SettingsText() const;

  host_settings settings_;
  int front_ = 0;
  int ready_ = 0;
  int peers_ = 0;
  int metrics_ = 0;
  pid_t pid_ = 0;
};

// A free port that no other call has returned.
int TakeFreePort();

}  // namespace review

#endif  // REVIEW_STANDINS_2_HOST_H_
