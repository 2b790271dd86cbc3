// What a running host costs its machine.
#ifndef TESTS_SOAK_HOST_COSTS_H_
#define TESTS_SOAK_HOST_COSTS_H_

#include <sys/types.h>

namespace dotterellead::soak {

struct host_costs {
  // Memory that no other process shares, in kB.
  long private_kb = 0;
  long threads = 0;
  double processor_seconds = 0;
};

// Reads /proc; zeros for a process that is gone.
host_costs ReadCosts(pid_t pid);

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_HOST_COSTS_H_
