#ifndef DOTTERELLEAD_DISPATCH_CUSTOMER_ACCESS_H_
#define DOTTERELLEAD_DISPATCH_CUSTOMER_ACCESS_H_

#include <optional>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

// Decides whether a request may be sent to a server, from its credential, its
// route, the configuration in force and that configuration's age.
class customer_access {
 public:
  struct decision {
    // Set if the request is rejected.
    std::optional<reject_reason> rejected;
    customer_header header;
    // The customer's priority or else the route's.
    int priority = 0;
    // The server must get the request before this time.
    std::optional<boot_time> valid_until;
  };

  explicit customer_access(const access::age_limits& limits) : age_(limits) {}

  // Confirms the configuration `in_force`. Has no effect if a newer one than
  // that is confirmed, which has not arrived.
  void Confirm(const config_confirmed& m,
               const catalog::configuration_ptr& in_force);
  decision Check(const catalog::configuration& config,
                 const catalog::route& route,
                 const access::credential& credential,
                 boot_time now) const;
  // Delay after which a caller should retry that was rejected because of the
  // configuration's age.
  milliseconds retry_after() const { return age_.retry_after(); }

 private:
  access::age_rule age_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_CUSTOMER_ACCESS_H_
