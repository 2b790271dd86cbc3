// Division of a server's connection limit among hosts.
#include <doctest/doctest.h>

#include <string>

#include "../src/placement.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

// Idle connections per server on average, and of the host that keeps fewest.
struct idle_connections {
  double per_server = 0;
  std::uint32_t min_per_host = 0;
};

idle_connections Count(std::uint32_t limit, int hosts, int servers) {
  idle_connections kept;
  kept.min_per_host = ~std::uint32_t{0};
  for (int h = 0; h < hosts; ++h) {
    std::uint32_t host_total = 0;
    for (int s = 0; s < servers; ++s)
      host_total += MaxIdleConnections(
          limit, static_cast<std::size_t>(hosts),
          StableHash("host-" + std::to_string(h) + "/s-" + std::to_string(s)));
    kept.per_server += static_cast<double>(host_total) / servers;
    kept.min_per_host = std::min(kept.min_per_host, host_total);
  }
  return kept;
}

}  // namespace

TEST_CASE(
    "a server with a high or unknown limit gets four idle connections per "
    "host") {
  CHECK(Count(220, 13, 26).per_server ==
        doctest::Approx(13 * kMaxIdleConnections));
  CHECK(Count(0, 13, 26).per_server ==
        doctest::Approx(13 * kMaxIdleConnections));
}

TEST_CASE("idle connections use at most three quarters of a server's limit") {
  for (const int hosts : {4, 17, 100, 890})
    for (const std::uint32_t limit : {4U, 8U, 30U, 220U}) {
      INFO("hosts ", hosts, ", limit ", limit);
      CHECK(Count(limit, hosts, 200).per_server <= limit * 0.75);
    }
}

TEST_CASE("each host keeps some idle connections even if the limits are low") {
  CHECK(Count(4, 17, 35).min_per_host >= 1);
  CHECK(Count(8, 100, 216).min_per_host >= 1);
}
