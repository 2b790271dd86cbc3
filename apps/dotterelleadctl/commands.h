// The commands of the operators' command line.
#ifndef DOTTERELLEADCTL_COMMANDS_H_
#define DOTTERELLEADCTL_COMMANDS_H_

#include <ostream>
#include <span>
#include <string_view>

#include "client.h"
#include "options.h"

namespace dotterellead {

class commands {
 public:
  commands(const options& o, std::ostream& out, std::ostream& problems)
      : options_(o), client_(o), out_(out), problems_(problems) {}

  exit_code Run();

 private:
  using command = exit_code (commands::*)();
  struct entry {
    std::string_view name;
    command run;
  };
  static std::span<const entry> Commands();

  exit_code Apply();
  exit_code Get();
  exit_code List();
  exit_code Delete();
  exit_code Watch();
  exit_code Status();
  exit_code Explain();

  exit_code ApplyOne(const std::string& text);
  exit_code WaitInForce();
  // Prints a body, or its error to the problems stream.
  exit_code Print(const api_result& result);
  std::string WriteOptions() const;

  const options& options_;
  api_client client_;
  std::ostream& out_;
  std::ostream& problems_;
  // Highest revision that was accepted.
  std::optional<std::uint64_t> highest_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEADCTL_COMMANDS_H_
