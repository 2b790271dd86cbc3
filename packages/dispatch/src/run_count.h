// Whether a request is counted as one that a server began to run.
#ifndef DOTTERELLEAD_DISPATCH_RUN_COUNT_H_
#define DOTTERELLEAD_DISPATCH_RUN_COUNT_H_

#include <optional>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

// Counts a request once, however many attempts it takes: when the first attempt
// is sent, reverted if the server says that the request did not run and no
// other attempt may have run.
class run_count {
 public:
  // An attempt is sent. Returns the count, if it is new and
  // the request has a customer.
  std::optional<customer_counted> RecordSend(const customer_id& customer,
                                             time_point now);
  // The only attempt that may have run did not run. Returns the count to be
  // reverted, if there is one.
  std::optional<customer_counted> RecordNotRun();

 private:
  std::optional<customer_counted> count_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_RUN_COUNT_H_
