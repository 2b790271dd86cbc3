// Statistics of the probes of one pool.
#ifndef DOTTERELLEAD_DISPATCH_PROBE_STATISTICS_H_
#define DOTTERELLEAD_DISPATCH_PROBE_STATISTICS_H_

#include <vector>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

// Tracks the mean probe latency and whether the pool's servers report their
// load. A probe of a server that does not report its load waits for a slot like
// a request, so a missing response means a busy server rather than a failed
// one.
class probe_statistics {
 public:
  // Adds the samples of one probe round.
  void Update(const std::vector<load_sample>& samples);
  // Timeout for one probe round.
  milliseconds timeout() const;
  bool reports_load() const { return reports_load_; }

 private:
  // Assumed until a healthy response shows otherwise.
  bool reports_load_ = true;
  double mean_ms_ = 0;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_PROBE_STATISTICS_H_
