#include "retry_allowance.h"

#include <doctest/doctest.h>

using namespace dotterellead;
using namespace dotterellead::dispatch;

TEST_CASE("half of the allowance is divided by the hosts") {
  const time_point start{milliseconds(100'000)};
  retry_allowance allowance(20, 1);
  CHECK(allowance.ShareAt(start) == doctest::Approx(10));
  allowance.RecordHostCount(10, start);
  CHECK(allowance.ShareAt(start) == doctest::Approx(1));
  allowance.RecordHostCount(20, start);
  CHECK(allowance.ShareAt(start) == doctest::Approx(0.5));
}

TEST_CASE("a shorter list counts only after some time") {
  const time_point start{milliseconds(100'000)};
  retry_allowance allowance(20, 1);
  allowance.RecordHostCount(10, start);
  const time_point later = start + milliseconds(60'000);
  CHECK(allowance.ShareAt(later) == doctest::Approx(1));
  allowance.RecordHostCount(4, later);
  allowance.RecordHostCount(1, later + milliseconds(2'000));
  CHECK(allowance.ShareAt(later + milliseconds(10'000)) == doctest::Approx(1));
  CHECK(allowance.ShareAt(later + milliseconds(11'000)) ==
        doctest::Approx(2.5));
  CHECK(allowance.ShareAt(later + milliseconds(13'000)) == doctest::Approx(10));
}

TEST_CASE("no list makes the hosts fewer than those named at the start") {
  const time_point start{milliseconds(100'000)};
  retry_allowance allowance(20, 5);
  CHECK(allowance.ShareAt(start) == doctest::Approx(2));
  allowance.RecordHostCount(1, start);
  CHECK(allowance.ShareAt(start) == doctest::Approx(2));
  CHECK(retry_allowance(20, 0).ShareAt(start) == doctest::Approx(10));
}
