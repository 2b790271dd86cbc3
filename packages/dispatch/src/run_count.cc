#include "run_count.h"

namespace dotterellead::dispatch {

std::optional<customer_counted> run_count::RecordSend(
    const customer_id& customer,
    time_point now) {
  if (!customer.is_valid() || count_)
    return std::nullopt;
  count_ = customer_counted{customer, 1, now};
  return count_;
}

std::optional<customer_counted> run_count::RecordNotRun() {
  if (!count_)
    return std::nullopt;
  customer_counted reverted = *std::exchange(count_, std::nullopt);
  reverted.change = -1;
  return reverted;
}

}  // namespace dotterellead::dispatch
