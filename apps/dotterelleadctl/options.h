// Flags of the operators' command line.
#ifndef DOTTERELLEADCTL_OPTIONS_H_
#define DOTTERELLEADCTL_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "dotterellead/http.h"

namespace dotterellead {

// What the process returns; part of the interface, see --help.
enum class exit_code {
  kOk = 0,
  kUnexpected = 1,
  kUsage = 2,
  kInvalid = 3,
  kConflict = 4,
  kNotFound = 5,
  kUnavailable = 6,
  kUnknownOutcome = 7,
  kNotInForce = 8,
};

struct options {
  std::vector<socket_address> hosts;
  std::string secret;
  bool json = false;
  std::string command;
  // apply: the file, or - for standard input.
  std::string file;
  std::string kind;
  std::string name;
  // A revision, or "none"; empty if not given.
  std::string revision;
  bool dry_run = false;
  std::uint32_t wait_in_force_seconds = 0;
  // watch: first offset, and how many answers to print (0: no end).
  std::uint64_t from = 0;
  std::uint32_t rounds = 0;
  std::string server;
  std::string pool;
};

// Returns nullopt with `code` set if the process should end, as after --help.
// Throws invalid_setting_error, naming the flag or variable.
std::optional<options> ParseOptions(int argc, char** argv, exit_code& code);

}  // namespace dotterellead

#endif  // DOTTERELLEADCTL_OPTIONS_H_
