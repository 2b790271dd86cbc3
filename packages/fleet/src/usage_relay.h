// Usage reports on their way to the root of the tree.
#ifndef DOTTERELLEAD_FLEET_USAGE_RELAY_H_
#define DOTTERELLEAD_FLEET_USAGE_RELAY_H_

#include <map>
#include <tuple>
#include <vector>

#include "dotterellead/usage.h"

namespace dotterellead::fleet {

// Keeps the reports of this host and of its descendants until the parent has
// acknowledged them. A report is known by its host, incarnation and window, so
// that a repeat costs nothing.
class usage_relay {
 public:
  void Add(std::vector<usage::host_report> reports);
  // The reports to be sent; they leave the relay. If the parent does not
  // acknowledge them, they are to be added again.
  std::vector<usage::host_report> Take();

 private:
  using key = std::tuple<usage::window_number, member_id, incarnation_id>;
  std::map<key, usage::host_report> reports_;
};

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_USAGE_RELAY_H_
