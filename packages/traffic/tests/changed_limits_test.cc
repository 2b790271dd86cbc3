// Limits for callers that change while their connections are open.
#include <doctest/doctest.h>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

std::string GetOfSize(std::size_t header_bytes) {
  const std::string small = Get("Own: \r\n");
  return Get("Own: " + std::string(header_bytes - small.size(), 'x') + "\r\n");
}

std::string PostOfSize(std::size_t body_bytes) {
  return "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nReq-Id: 17\r\n"
         "Content-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b');
}

catalog::caller_limits Limits(std::uint64_t header_bytes,
                              std::uint64_t body_bytes) {
  catalog::caller_limits limits;
  limits.header_size = {header_bytes};
  limits.body_size = {body_bytes};
  return limits;
}

struct change_case {
  std::string name;
  // None if no configuration is in force before the change.
  std::optional<catalog::caller_limits> before;
  catalog::caller_limits after;
  std::string request;
  std::string status;
};

std::vector<change_case> ChangeCases() {
  const auto initial = Limits(16'384, 100'000);
  const auto large_header = Limits(65'536, 100'000);
  const auto large_body = Limits(16'384, 1'200'000);
  return {
      {"header up, inside", initial, large_header, GetOfSize(65'000), "200"},
      {"header up, beyond", initial, large_header, GetOfSize(66'000), "431"},
      {"header up from the default",
       {},
       large_header,
       GetOfSize(65'000),
       "200"},
      {"header down, inside", large_header, initial, GetOfSize(16'000), "200"},
      {"header down, beyond", large_header, initial, GetOfSize(17'000), "431"},
      {"body up, inside", initial, large_body, PostOfSize(1'100'000), "200"},
      {"body up, beyond", initial, large_body, PostOfSize(1'200'001), "413"},
      {"body up from the default",
       {},
       large_body,
       PostOfSize(1'100'000),
       "200"},
      {"body down, inside", large_body, initial, PostOfSize(99'000), "200"},
      {"body down, beyond", large_body, initial, PostOfSize(101'000), "413"},
      {"both up, inside", initial, Limits(65'536, 1'200'000),
       "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nReq-Id: 17\r\nOwn: " +
           std::string(60'000, 'x') + "\r\nContent-Length: 1100000\r\n\r\n" +
           std::string(1'100'000, 'b'),
       "200"},
  };
}

// Waits until the service has applied limits or accepted a connection.
void AwaitService() {
  std::this_thread::sleep_for(milliseconds(50));
}

}  // namespace

// Guards against proper requests that are denied by limits of a configuration
// that is no longer in force.
TEST_CASE("changed limits hold on connections that are open") {
  for (const change_case& c : ChangeCases()) {
    for (const bool was_used : {false, true}) {
      CAPTURE(c.name);
      CAPTURE(was_used);
      const loopback_server server(
          kServerPort, [](const std::string& r) { return ServerResponse(r); });
      REQUIRE(server.ok());
      traffic_fixture w;
      if (c.before) {
        w.service.SetLimits(*c.before);
        AwaitService();
      }
      test_socket caller = test_socket::Connect(kFrontPort);
      AwaitService();
      if (was_used) {
        caller.Write(Get());
        CHECK(Has(caller.ReadMessage(), "HTTP/1.1 200"));
      }
      w.service.SetLimits(c.after);
      AwaitService();
      caller.Write(c.request);
      CHECK(Has(caller.ReadMessage(), "HTTP/1.1 " + c.status));
    }
  }
}

// Guards against a buffer that holds more than lower limits permit.
TEST_CASE("requests that are buffered when limits fall are still served") {
  std::atomic<bool> may_answer = false;
  const loopback_server server(kServerPort, [&](const std::string& r) {
    while (!may_answer)
      std::this_thread::sleep_for(milliseconds(2));
    return ServerResponse(r);
  });
  traffic_fixture w;
  w.service.SetLimits(Limits(65'536, 100'000));
  AwaitService();
  test_socket caller = test_socket::Connect(kFrontPort);
  constexpr int kRequests = 70;
  std::string requests;
  for (int i = 0; i < kRequests; ++i)
    requests += GetOfSize(900);
  caller.Write(requests);
  std::this_thread::sleep_for(milliseconds(100));
  w.service.SetLimits(Limits(1'000, 100'000));
  AwaitService();
  may_answer = true;
  for (int i = 0; i < kRequests; ++i)
    CHECK(Has(caller.ReadMessage(), "HTTP/1.1 200"));
  caller.Write(GetOfSize(1'100));
  CHECK(Has(caller.ReadMessage(), "HTTP/1.1 431"));
}

// Guards against connections that end by the former idle timeout while their
// callers count on the one in force.
TEST_CASE("a longer idle timeout holds on connections that are idle") {
  const loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  traffic_fixture w;
  catalog::caller_limits limits;
  limits.idle_timeout = milliseconds(400);
  w.service.SetLimits(limits);
  AwaitService();
  test_socket used = test_socket::Connect(kFrontPort);
  test_socket unused = test_socket::Connect(kFrontPort);
  used.Write(Get());
  CHECK(Has(used.ReadMessage(), "HTTP/1.1 200"));
  std::this_thread::sleep_for(milliseconds(100));
  limits.idle_timeout = milliseconds(1'500);
  w.service.SetLimits(limits);
  std::this_thread::sleep_for(milliseconds(700));
  for (test_socket* caller : {&used, &unused}) {
    caller->Write(Get());
    CHECK(Has(caller->ReadMessage(), "HTTP/1.1 200"));
  }
  // The new timeout ends them.
  const time_point idle_since = std::chrono::steady_clock::now();
  CHECK(used.ReadMessage().empty());
  CHECK(std::chrono::steady_clock::now() - idle_since > milliseconds(1'400));
}

// Guards against connections that end while their callers count on the timeout
// that held when they became idle.
TEST_CASE("a shorter idle timeout holds once a connection is idle again") {
  const loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  traffic_fixture w;
  test_socket caller = test_socket::Connect(kFrontPort);
  caller.Write(Get());
  CHECK(Has(caller.ReadMessage(), "HTTP/1.1 200"));
  // The connection is idle by then.
  std::this_thread::sleep_for(milliseconds(200));
  catalog::caller_limits limits;
  limits.idle_timeout = milliseconds(200);
  w.service.SetLimits(limits);
  std::this_thread::sleep_for(milliseconds(500));
  caller.Write(Get());
  CHECK(Has(caller.ReadMessage(), "HTTP/1.1 200"));
  const time_point idle_since = std::chrono::steady_clock::now();
  CHECK(caller.ReadMessage().empty());
  CHECK(std::chrono::steady_clock::now() - idle_since < milliseconds(2'000));
}

// Guards against idle connections that a stop waits for.
TEST_CASE("a stop closes idle connections whose timeout has just changed") {
  traffic_fixture w;
  test_socket idle = test_socket::Connect(kFrontPort);
  AwaitService();
  catalog::caller_limits limits;
  limits.idle_timeout = milliseconds(20'000);
  w.service.SetLimits(limits);
  w.service.StartDrain();
  const time_point started = std::chrono::steady_clock::now();
  CHECK(idle.ReadMessage().empty());
  CHECK(std::chrono::steady_clock::now() - started < milliseconds(1'000));
}

TEST_CASE("a changed header timeout holds on connections that are open") {
  traffic_fixture w;
  test_socket caller = test_socket::Connect(kFrontPort);
  AwaitService();
  catalog::caller_limits limits;
  limits.header_timeout = milliseconds(300);
  w.service.SetLimits(limits);
  AwaitService();
  const time_point started = std::chrono::steady_clock::now();
  caller.Write("GET /a/1 HTTP/1.1\r\nHost: h.");
  CHECK(Has(caller.ReadMessage(), "HTTP/1.1 408"));
  CHECK(std::chrono::steady_clock::now() - started < milliseconds(2'000));
}

// Guards against callers that give up for good after a 431 or 413, which a host
// without a configuration cannot justify.
TEST_CASE("before the first configuration no size is denied for good") {
  traffic_fixture w;
  for (const std::string& request : {GetOfSize(40'000), PostOfSize(2 << 20)}) {
    const std::string got = w.Send(request);
    CHECK(Has(got, "HTTP/1.1 503"));
    CHECK(Has(got, "Retry-After: "));
    CHECK(Has(got, "Connection: close"));
  }
  CHECK(w.fingerprints.empty());
}

// Guards against idle connections that keep the buffers of large requests.
TEST_CASE("larger limits do not grow what idle connections hold") {
  const loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  traffic_fixture w;
  constexpr std::size_t kCallers = 20;
  std::vector<test_socket> callers;
  for (std::size_t i = 0; i < kCallers; ++i)
    callers.push_back(test_socket::Connect(kFrontPort));
  w.service.SetLimits(Limits(65'536, 100'000));
  AwaitService();
  for (test_socket& caller : callers) {
    caller.Write(GetOfSize(60'000));
    CHECK(Has(caller.ReadMessage(), "HTTP/1.1 200"));
  }
  // The counter is read when the next request ends, which holds its own share.
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(Has(w.Send(Get()), "HTTP/1.1 200"));
  constexpr std::size_t kOneRequest = 32 << 10;
  CHECK(w.service.counters().held_bytes <=
        kCallers * limits::kCallerConnectionBytes +
            limits::kCallerConnectionBytes + kOneRequest);
}
