// The system under test: one host, with stand-ins for what it depends on.
#ifndef TESTS_CROWD_CROWD_TARGETS_H_
#define TESTS_CROWD_CROWD_TARGETS_H_

#include <memory>

#include "crowd_kinds.h"
#include "harness.h"

namespace dotterellead::crowd {

// The limits given to the host. They are small, so that a small crowd exceeds
// them.
struct host_limits {
  int memory_mb = 0;
  int max_fds = 0;
};

class crowd_target {
 public:
  virtual ~crowd_target() = default;
  virtual harness::child_process& host() = 0;
  virtual socket_address callers() const = 0;
  virtual target_protocol protocol() const = 0;
};

// `dotterellead entry` of `binary`.
std::unique_ptr<crowd_target> StartEntry(const std::string& binary,
                                         const host_limits& limits);
// Standalone `dotterellead`.
std::unique_ptr<crowd_target> StartStandalone(const host_limits& limits);

}  // namespace dotterellead::crowd

#endif  // TESTS_CROWD_CROWD_TARGETS_H_
