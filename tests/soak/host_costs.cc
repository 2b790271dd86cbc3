#include "host_costs.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace dotterellead::soak {

host_costs ReadCosts(pid_t pid) {
  host_costs costs;
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream status(folder + "/status");
  for (std::string name; status >> name;) {
    if (name == "RssAnon:")
      status >> costs.private_kb;
    else if (name == "Threads:")
      status >> costs.threads;
  }
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);
  // The name of the program, which may hold spaces, ends with a parenthesis;
  // user and system time are the 12th and 13th fields after it.
  constexpr int kBeforeTimes = 11;
  const std::size_t name_end = line.rfind(')');
  if (name_end == std::string::npos)
    return costs;
  std::istringstream fields(line.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kBeforeTimes; ++i)
    fields >> skipped;
  double user = 0;
  double system = 0;
  fields >> user >> system;
  costs.processor_seconds =
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  return costs;
}

}  // namespace dotterellead::soak
