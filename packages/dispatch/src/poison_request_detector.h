// Detects requests that crash the servers that run them.
#ifndef DOTTERELLEAD_DISPATCH_POISON_REQUEST_DETECTOR_H_
#define DOTTERELLEAD_DISPATCH_POISON_REQUEST_DETECTOR_H_

#include <map>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// Counts server crashes per request fingerprint. An entry expires some minutes
// after its last crash; beyond the maximum number of entries new fingerprints
// are ignored.
class poison_request_detector {
 public:
  // Counts a crash of a server that ran a request with `fingerprint`.
  void RecordCrash(request_fingerprint fingerprint, time_point now);
  // Crashes recorded for `fingerprint`.
  int crash_count(request_fingerprint fingerprint) const;
  // Whether requests with this fingerprint are rejected.
  bool IsQuarantined(request_fingerprint fingerprint, time_point now);

 private:
  struct entry {
    int crashes = 0;
    time_point last_crash;
  };
  void RemoveExpired(time_point now);

  std::map<request_fingerprint, entry> entries_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_POISON_REQUEST_DETECTOR_H_
