// Waits follow the bound of the installation.
#include <doctest/doctest.h>

#include "dotterellead/fleet.h"

using namespace dotterellead;
using namespace dotterellead::fleet;

TEST_CASE("waits shrink with the bound on news and do not grow beyond it") {
  const milliseconds wait(400);
  CHECK(Paced(wait, milliseconds(2'000)) == wait);
  CHECK(Paced(wait, milliseconds(1'000)) == milliseconds(200));
  CHECK(Paced(wait, milliseconds(10'000)) == wait);
}

TEST_CASE("waits stay above the time that messages take") {
  CHECK(Paced(milliseconds(400), milliseconds(10)) == milliseconds(120));
}
