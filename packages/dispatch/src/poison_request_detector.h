// Keeps requests that crash the servers that run them from doing so again.
#ifndef DOTTERELLEAD_DISPATCH_CRASH_GUARD_H_
#define DOTTERELLEAD_DISPATCH_CRASH_GUARD_H_

#include <map>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// Counts the crashes of servers while they ran a request, by what makes
// requests alike.
class crash_guard {
 public:
  void Count(request_fingerprint fingerprint, time_point now);
  int count(request_fingerprint fingerprint) const;
  // Whether such requests are turned away.
  bool IsQuarantined(request_fingerprint fingerprint, time_point now);

 private:
  struct entry {
    int crashes = 0;
    time_point last;
  };
  void Forget(time_point now);

  std::map<request_fingerprint, entry> entries_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_CRASH_GUARD_H_
