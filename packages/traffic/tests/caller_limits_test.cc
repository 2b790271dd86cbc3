// What callers can make this host hold.
#include <doctest/doctest.h>

#include "request_body.h"
#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

std::string Post(std::size_t length, const std::string& headers = "") {
  return "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nReq-Id: 17\r\n" + headers +
         "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

}  // namespace

// Guards against a host that asks for, or reads, a body that it will refuse.
TEST_CASE("a body is refused from its header, without 100 Continue") {
  loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  traffic_fixture w;
  w.service.SetLimits({});
  std::this_thread::sleep_for(milliseconds(50));
  const std::string expects = "Expect: 100-continue\r\n";
  const std::string beyond = w.Send(Post(2 << 20, expects));
  CHECK(Has(beyond, "HTTP/1.1 413"));
  CHECK(Has(beyond, "Connection: close"));
  CHECK(w.fingerprints.empty());
  const std::string within = w.Send(Post(10, expects));
  CHECK(Has(within, "HTTP/1.1 100"));
}

TEST_CASE("a body for which there is no memory gets a truthful 503") {
  loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  traffic_settings settings{{0x7f000001, kFrontPort},
                            {0x7f000001, kReadyPort},
                            {},
                            [] { return std::string(); },
                            Names()};
  settings.memory = {512 << 10};
  int arrived = 0;
  traffic_service service(settings, [&](dispatch::dispatcher::message m) {
    if (const auto* r = std::get_if<dispatch::request_arrived>(&m)) {
      ++arrived;
      service.Execute(dispatch::reject_request{
          r->request, dispatch::reject_reason::kNoServer, milliseconds(250)});
    }
    return true;
  });
  service.Start();
  const auto send = [](const std::string& request) {
    test_socket s = test_socket::Connect(kFrontPort);
    s.Write(request);
    return s.ReadMessage();
  };
  const std::string refused = send(Post(900'000));
  CHECK(Has(refused, "HTTP/1.1 503"));
  CHECK(Has(refused, "Retry-After: 1.000"));
  CHECK(Has(refused, "Connection: close"));
  CHECK(arrived == 0);
  // Bodies whose length is not known are refused once they find no room.
  const std::string chunk = "10000\r\n" + std::string(65'536, 'c') + "\r\n";
  std::string chunked =
      "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: "
      "chunked\r\n\r\n";
  for (int i = 0; i < 14; ++i)
    chunked += chunk;
  CHECK(Has(send(chunked + "0\r\n\r\n"), "HTTP/1.1 503"));
  CHECK(arrived == 0);
  CHECK(service.counters().rejected_for_memory == 2);
  // An ordinary request is served beside a body that does not come to its end.
  test_socket stalled = test_socket::Connect(kFrontPort);
  stalled.Write(Post(300'000) + std::string(299'999, 'x'));
  CHECK(Has(send(Post(10) + "0123456789"), "no-server"));
  CHECK(arrived == 1);
  service.Stop();
}

// Guards against idle connections that use up the descriptors.
TEST_CASE("the connection that is idle for the longest time makes room") {
  traffic_settings settings{{0x7f000001, kFrontPort},
                            {0x7f000001, kReadyPort},
                            {},
                            [] { return std::string(); },
                            Names()};
  settings.max_caller_connections = 4;
  traffic_service service(
      settings, [](const dispatch::dispatcher::message&) { return true; });
  service.Start();
  std::vector<test_socket> idle;
  for (int i = 0; i < 6; ++i) {
    idle.push_back(test_socket::Connect(kFrontPort));
    std::this_thread::sleep_for(milliseconds(50));
  }
  CHECK(service.counters().open_caller_connections == 4);
  CHECK(service.counters().closed_callers == 2);
  CHECK(idle[0].ReadMessage().empty());
  CHECK(idle[1].ReadMessage().empty());
  // The newest are open: a request is read and refused for its form.
  idle[5].Write("GET / HTTP/1.1\r\n\r\n");
  CHECK(Has(idle[5].ReadMessage(), "HTTP/1.1 400"));
  service.Stop();
}

// Guards against another fingerprint for the same request, which would lose
// the strikes that hosts have counted.
TEST_CASE("the hash of a body in blocks is that of the same bytes in one") {
  body_blocks blocks;
  std::string text;
  for (int i = 0; i < 5'000; ++i)
    text += std::to_string(i) + ",";
  REQUIRE(blocks.Append(std::string_view(text).substr(0, 3'000)));
  REQUIRE(blocks.Append(std::string_view(text).substr(3'000)));
  stable_hasher hasher;
  for (std::size_t i = 0; i < blocks.block_count(); ++i)
    hasher.Add(blocks.BlockAt(i));
  CHECK(blocks.block_count() > 1);
  CHECK(hasher.Hash() == StableHash(text));
}
