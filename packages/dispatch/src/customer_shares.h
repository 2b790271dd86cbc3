#ifndef DOTTERELLEAD_DISPATCH_CUSTOMER_SHARES_H_
#define DOTTERELLEAD_DISPATCH_CUSTOMER_SHARES_H_

#include <map>

#include "dotterellead/core.h"

namespace dotterellead::dispatch {

// The order of customers for free slots, by what each sent and got recently.
// The counts decay; requests without a customer count as those of one more.
class customer_shares {
 public:
  // Ordered from the first to the last to be served.
  enum class rank {
    // Served much less often than all customers together.
    kNeglected,
    // Got at most an equal share of all that was served.
    kWithinShare,
    kAboveShare,
  };

  void RecordArrival(const customer_id& customer, time_point now);
  void RecordSend(const customer_id& customer, time_point now);
  rank RankOf(const customer_id& customer, time_point now);
  std::size_t size() const { return counts_.size(); }

 private:
  struct counters {
    double arrived = 0;
    double sent = 0;
  };

  // Applies the decay since the last call, and forgets idle customers.
  void Decay(time_point now);

  std::map<customer_id, counters> counts_;
  counters total_;
  time_point decayed_at_{};
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_CUSTOMER_SHARES_H_
