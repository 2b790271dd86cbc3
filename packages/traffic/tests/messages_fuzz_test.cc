// Corrupted header values are treated as absent or parsed to valid numbers.
#include <doctest/doctest.h>

#include "../src/messages.h"
#include "fuzz/random_bytes.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

TEST_CASE("corrupted header values parse to nullopt or to valid numbers") {
  constexpr std::uint64_t kSeeds = 50'000;
  int parsed = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    INFO("seed ", seed);
    fuzz::random_bytes m(seed);
    std::string load = "1,0,2,100";
    for (std::size_t i = 0; i <= m.Below(3); ++i)
      load[m.Below(load.size())] = "0123456789,.-+eEnaif \t"[m.Below(22)];
    if (const auto report = ParseLoad(load)) {
      ++parsed;
      CHECK(report->slots >= 1);
      CHECK(report->slowdown_percent >= 1);
    }
    if (const auto time = ParseMillis(load))
      CHECK(*time >= milliseconds(0));
    ParseLoad(m.Noise(30));
    ParseMillis(m.Noise(30));
  }
  CHECK(parsed > 0);
}
