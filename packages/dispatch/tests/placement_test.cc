// How the connections of servers are shared out among hosts.
#include <doctest/doctest.h>

#include <string>

#include "../src/placement.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

// Idle connections of `hosts` hosts to `servers` servers, of one server on
// average and of the host that keeps fewest.
struct kept_links {
  double of_server = 0;
  std::uint32_t of_least_host = 0;
};

kept_links Count(std::uint32_t limit, int hosts, int servers) {
  kept_links kept;
  kept.of_least_host = ~std::uint32_t{0};
  for (int h = 0; h < hosts; ++h) {
    std::uint32_t of_host = 0;
    for (int s = 0; s < servers; ++s)
      of_host += IdleLinks(
          limit, static_cast<std::size_t>(hosts),
          StableHash("host-" + std::to_string(h) + "/s-" + std::to_string(s)));
    kept.of_server += static_cast<double>(of_host) / servers;
    kept.of_least_host = std::min(kept.of_least_host, of_host);
  }
  return kept;
}

}  // namespace

TEST_CASE("servers that accept many connections get four of each host") {
  CHECK(Count(220, 13, 26).of_server == doctest::Approx(13 * kMostIdleLinks));
  CHECK(Count(0, 13, 26).of_server == doctest::Approx(13 * kMostIdleLinks));
}

TEST_CASE("idle connections leave room under a server's limit") {
  for (const int hosts : {4, 17, 100, 890})
    for (const std::uint32_t limit : {4U, 8U, 30U, 220U}) {
      INFO("hosts ", hosts, ", limit ", limit);
      CHECK(Count(limit, hosts, 200).of_server <= limit * 0.75);
    }
}

TEST_CASE("each host keeps some connections when there are few") {
  CHECK(Count(4, 17, 35).of_least_host >= 1);
  CHECK(Count(8, 100, 216).of_least_host >= 1);
}
