// What a forwarded request's attempt at a home means for the host that
// forwarded it.
#ifndef DOTTERELLEAD_FORWARD_RESULT_H_
#define DOTTERELLEAD_FORWARD_RESULT_H_

#include <string_view>

#include "forward_codec.h"

namespace dotterellead {

// What came back from a home, or instead of its answer.
struct forward_result {
  forward_answer ended;
  // The home gave its load.
  bool has_load = false;
  // How it is counted.
  std::string_view outcome;
};

forward_result ResultAtHome(const attempt& at_home);

// The time that a home gets for a request that ends at `deadline`.
microseconds TimeLeftForHome(time_point now, time_point deadline);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_FORWARD_RESULT_H_
