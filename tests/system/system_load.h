// Load for the system tests, alone or with a fault during it.
#ifndef DOTTERELLEAD_TESTS_SYSTEM_LOAD_H_
#define DOTTERELLEAD_TESTS_SYSTEM_LOAD_H_

#include <functional>
#include <thread>

#include "harness.h"
#include "load.h"

namespace dotterellead::harness {

// To all entry hosts in turn.
inline bench::load_options Load(const cluster& c, double rate, int seconds) {
  bench::load_options load;
  for (std::size_t i = 0; i < c.entry_host_count(); ++i)
    load.targets.push_back(c.caller_address(i));
  load.requests_per_second = rate;
  load.duration = std::chrono::seconds(seconds);
  return load;
}

// Runs `fault` one second into a load, and returns the load's samples.
inline std::vector<bench::sample> RunWithFault(
    const bench::load_options& load,
    const std::function<void()>& fault) {
  std::exception_ptr problem;
  std::thread injector([&] {
    std::this_thread::sleep_for(milliseconds(1'000));
    try {
      fault();
    } catch (...) {
      problem = std::current_exception();
    }
  });
  std::vector<bench::sample> samples = bench::RunLoad(load);
  injector.join();
  if (problem)
    std::rethrow_exception(problem);
  return samples;
}

}  // namespace dotterellead::harness

#endif  // DOTTERELLEAD_TESTS_SYSTEM_LOAD_H_
