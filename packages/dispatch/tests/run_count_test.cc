#include "run_count.h"

#include <doctest/doctest.h>

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

time_point At(int ms) {
  return time_point(milliseconds(ms));
}

}  // namespace

// Guards against a request that is charged for once for each attempt.
TEST_CASE("a request is counted once, when it is first sent") {
  run_count count;
  const customer_id customer("c");
  const auto first = count.RecordSend(customer, At(10));
  REQUIRE(first);
  CHECK(first->change == 1);
  CHECK(first->sent_at == At(10));
  CHECK_FALSE(count.RecordSend(customer, At(20)));
}

// Guards against a request that is charged for although it did not run, and
// against a revert in another window than the count's.
TEST_CASE("a request that did not run is reverted, and counted when it runs") {
  run_count count;
  const customer_id customer("c");
  count.RecordSend(customer, At(10));
  const auto reverted = count.RecordNotRun();
  REQUIRE(reverted);
  CHECK(reverted->change == -1);
  CHECK(reverted->sent_at == At(10));
  CHECK_FALSE(count.RecordNotRun());
  const auto second = count.RecordSend(customer, At(30));
  REQUIRE(second);
  CHECK(second->sent_at == At(30));
}

TEST_CASE("a request without a customer is not counted") {
  run_count count;
  CHECK_FALSE(count.RecordSend(customer_id(), At(10)));
  CHECK_FALSE(count.RecordNotRun());
}
