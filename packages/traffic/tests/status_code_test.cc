// Responses of servers whose status is no status of HTTP.
#include <doctest/doctest.h>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

// Guards against a caller that gets such a response, and against one that is
// taken for an interim response, after which the host waits until the deadline.
// The request may have run, so 502 does not say that it has not.
TEST_CASE("a response whose status is not from 100 to 599 is none") {
  for (const char* status : {"000", "001", "099", "600", "999", "20", "2000",
                             "+20", "-20", "2x0", ""}) {
    CAPTURE(std::string(status));
    for (const bool is_interim : {false, true}) {
      CAPTURE(is_interim);
      loopback_server server(kServerPort, [&](const std::string& r) {
        const std::string valid = ServerResponse(r);
        return is_interim
                   ? "HTTP/1.1 " + std::string(status) + " Odd\r\n\r\n" + valid
                   : ServerResponse(r, std::string(status) + " Odd");
      });
      traffic_fixture w;
      const time_point begun = std::chrono::steady_clock::now();
      CHECK(Has(w.Send(Get()), "HTTP/1.1 502"));
      CHECK(w.results ==
            std::vector{dispatch::attempt_result::kInvalidResponse});
      CHECK(std::chrono::steady_clock::now() - begun < milliseconds(900));
    }
  }
}

TEST_CASE("a health response with such a status is none") {
  for (const char* status : {"099", "600"}) {
    CAPTURE(std::string(status));
    loopback_server server(kServerPort, [&](const std::string& r) {
      return ServerResponse(r, std::string(status) + " Odd", "",
                            "Server-Id: s-1\r\nLoad: 0,0,2\r\n");
    });
    traffic_fixture w;
    w.service.Execute(dispatch::probe_servers{
        request_id(1),
        {{server_id("s-1"), {0x7f000001, kServerPort}, "/health", 4}},
        milliseconds(200)});
    std::unique_lock lock(w.mutex);
    w.sampled.wait_for(lock, std::chrono::seconds(2),
                       [&] { return !w.samples.empty(); });
    REQUIRE(w.samples.size() == 1);
    CHECK(w.samples[0].result == dispatch::probe_result::kUnreachable);
  }
}
