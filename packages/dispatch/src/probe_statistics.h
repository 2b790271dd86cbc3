// What a pool's answers to probes show about the probes themselves.
#ifndef DOTTERELLEAD_DISPATCH_PROBE_HABITS_H_
#define DOTTERELLEAD_DISPATCH_PROBE_HABITS_H_

#include <vector>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

// Learns how long the probes of one pool take and whether its servers tell
// their load. Where they do not, a probe waits for a slot like a request, so
// that one without an answer means a busy server rather than a dead one.
class probe_habits {
 public:
  void Learn(const std::vector<load_sample>& samples);
  // How long to wait for the answers of one round.
  milliseconds limit() const;
  bool tells_load() const { return tells_load_; }

 private:
  // Until an answer shows otherwise.
  bool tells_load_ = true;
  double usual_millis_ = 0;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_PROBE_HABITS_H_
