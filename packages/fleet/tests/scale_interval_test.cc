// Scaling of intervals to the maximum update delay.
#include <doctest/doctest.h>

#include "dotterellead/fleet.h"

using namespace dotterellead;
using namespace dotterellead::fleet;

TEST_CASE("intervals shrink with the maximum update delay and never grow") {
  const milliseconds wait(400);
  CHECK(ScaleInterval(wait, milliseconds(2'000)) == wait);
  CHECK(ScaleInterval(wait, milliseconds(1'000)) == milliseconds(200));
  CHECK(ScaleInterval(wait, milliseconds(10'000)) == wait);
}

TEST_CASE("intervals are not scaled below 30 percent") {
  CHECK(ScaleInterval(milliseconds(400), milliseconds(10)) ==
        milliseconds(120));
}
