#include "dotterellead/core.h"

#include <ctime>

namespace dotterellead {

boot_clock::time_point boot_clock::now() noexcept {
  timespec reading{};
  // Fails only for a clock that the kernel does not have; this one is in Linux
  // since 2.6.39.
  ::clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

timestamp system_clock_source::Now() const {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return {std::chrono::steady_clock::now(),
          unix_millis{std::chrono::duration_cast<milliseconds>(wall).count()},
          boot_clock::now()};
}

std::string_view to_string(run_state state) {
  switch (state) {
    case run_state::kNotRun:
      return "not-run";
    case run_state::kDone:
      return "done";
    case run_state::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view to_string(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidSetting:
      return "invalid-setting";
    case error_kind::kInvalidInput:
      return "invalid-input";
    case error_kind::kNotFound:
      return "not-found";
    case error_kind::kConflict:
      return "conflict";
    case error_kind::kUnavailable:
      return "unavailable";
    case error_kind::kOverloaded:
      return "overloaded";
    case error_kind::kTimeout:
      return "timeout";
    case error_kind::kProtocol:
      return "protocol";
  }
  return "unknown";
}

error::error(error_kind kind,
             const std::string& problem,
             const std::string& remedy)
    : std::runtime_error(problem + "; " + remedy),
      kind_(kind),
      problem_(problem),
      remedy_(remedy) {}

void stable_hasher::Add(std::string_view part) {
  for (const char c : part) {
    state_ ^= static_cast<unsigned char>(c);
    state_ *= 0x100000001b3ULL;
  }
}

std::uint64_t stable_hasher::Hash() const {
  std::uint64_t hash = state_;
  // FNV-1a alone leaves the high bits of short, similar texts equal.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return hash;
}

std::uint64_t StableHash(std::string_view text) {
  stable_hasher hasher;
  hasher.Add(text);
  return hasher.Hash();
}

bool EqualInConstantTime(std::string_view given, std::string_view expected) {
  // The volatile variable keeps the compiler from returning at the first
  // difference.
  volatile std::size_t difference = given.size() ^ expected.size();
  for (std::size_t i = 0; i < given.size(); ++i) {
    const char other = expected.empty() ? '\0' : expected[i % expected.size()];
    difference = difference | static_cast<unsigned char>(given[i] ^ other);
  }
  return difference == 0;
}

}  // namespace dotterellead
