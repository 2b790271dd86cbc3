#include <doctest/doctest.h>

#include "dotterellead/pools.h"

using namespace dotterellead;
using namespace dotterellead::pools;

TEST_CASE("loads add up, and a sum is as old as its oldest part") {
  pool_load a;
  a.by_priority[0].offered = 3;
  a.host_count = 1;
  a.age = milliseconds(200);
  pool_load b;
  b.by_priority[0].offered = 4;
  b.by_priority[3].rejected = 2;
  b.host_count = 2;
  b.age = milliseconds(900);
  a.Add(b);
  CHECK(a.by_priority[0].offered == doctest::Approx(7));
  CHECK(a.Total().rejected == doctest::Approx(2));
  CHECK(a.host_count == 3);
  CHECK(a.age == milliseconds(900));
}

// Guards against sending a row between data centres for each small change.
TEST_CASE("only considerable differences count") {
  pool_load a;
  a.by_priority[0].offered = 100;
  pool_load b = a;
  b.by_priority[0].offered = 105;
  CHECK(IsSimilar(a, b));
  b.by_priority[0].offered = 120;
  CHECK_FALSE(IsSimilar(a, b));
  b = a;
  b.host_count = 1;
  CHECK_FALSE(IsSimilar(a, b));
}
