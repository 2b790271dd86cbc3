// This host's load on one pool, as rates over the last seconds. Answers uneven
// demand: what this host sees is its part of the fleet's load.
#ifndef DOTTERELLEAD_DISPATCH_POOL_LOAD_METER_H_
#define DOTTERELLEAD_DISPATCH_POOL_LOAD_METER_H_

#include "dotterellead/dispatch.h"
#include "dotterellead/pools.h"

namespace dotterellead::dispatch {

class pool_load_meter {
 public:
  // A request arrived whose work takes `work` on an idle server.
  void RecordOffered(int priority, milliseconds work, time_point now);
  void RecordCompleted(int priority, milliseconds work, time_point now);
  void RecordRejected(int priority, time_point now);
  // A probe returned this load.
  void RecordProbe(const load_report& load, time_point now);
  // The load at `now`, seen by one host.
  pools::pool_load LoadAt(time_point now) const;

 private:
  // The load, faded to `now`.
  pools::pool_load& FadeTo(time_point now);

  pools::pool_load load_;
  time_point faded_at_{};
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_POOL_LOAD_METER_H_
