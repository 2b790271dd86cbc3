#include "customer_access.h"

namespace dotterellead::dispatch {

void customer_access::Confirm(const config_confirmed& m,
                              const catalog::configuration_ptr& in_force) {
  if (in_force && in_force->version >= m.version)
    age_.Confirm(m.proven_at);
}

customer_access::decision customer_access::Check(
    const catalog::configuration& config,
    const catalog::route& route,
    const access::credential& credential,
    boot_time now) const {
  decision result;
  result.priority = route.priority;
  if (!config.has_customers)
    return result;
  result.header.action = customer_header_action::kRemove;
  access::customer_index owner;
  if (credential.kind == access::credential_kind::kKey)
    owner = config.keys.Find(credential.digest);
  const bool is_accepted = owner.is_valid() && age_.AcceptsKeys(now);
  if (is_accepted) {
    const catalog::customer& customer = config.customers.at(owner.value());
    result.header = {customer_header_action::kSet, customer.id};
    result.priority = customer.priority.value_or(route.priority);
  }
  if (route.is_public)
    return result;
  if (is_accepted)
    result.valid_until = age_.keys_valid_until();
  else if (owner.is_valid() ||
           (credential.kind == access::credential_kind::kKey &&
            age_.MayBeOutdated(now)))
    result.rejected = reject_reason::kConfigurationOutdated;
  else
    result.rejected = reject_reason::kUnknownKey;
  return result;
}

}  // namespace dotterellead::dispatch
