#include "dotterellead/traffic.h"

#include <doctest/doctest.h>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

TEST_CASE(
    "a request reaches the server and its response the caller unchanged") {
  std::string seen;
  loopback_server server(kServerPort, [&](const std::string& r) {
    seen = r;
    return ServerResponse(r, "200 OK", "whole", "Keep-Alive: timeout=9\r\n");
  });
  REQUIRE(server.ok());
  traffic_fixture w;
  const std::string got = w.Send(
      "POST /a/1?x=%20y HTTP/1.1\r\nHost: h.example\r\nReq-Id: 17\r\n"
      "Own: kept\r\nConnection: keep-alive, Dropped\r\nDropped: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(Has(got, "HTTP/1.1 200 OK"));
  CHECK(Has(got, "Proof: p"));
  CHECK(Has(got, "whole"));
  CHECK_FALSE(Has(got, "Keep-Alive:"));
  CHECK(Has(seen, "POST /a/1?x=%20y HTTP/1.1"));
  CHECK(Has(seen, "Own: kept"));
  CHECK(Has(seen, "Expect-Server: s-1"));
  CHECK(Has(seen, "Time-Left-Ms: 1000"));
  CHECK(Has(seen, "Content-Length: 5"));
  CHECK(Has(seen, "abcde"));
  CHECK_FALSE(Has(seen, "Dropped"));
  CHECK_FALSE(Has(seen, "chunked"));
}

TEST_CASE(
    "truncated, smuggled, oversized and malformed requests are rejected") {
  std::atomic<int> ran = 0;
  loopback_server server(kServerPort, [&](const std::string& r) {
    ++ran;
    return ServerResponse(r);
  });
  traffic_fixture w;
  catalog::caller_limits limits;
  limits.header_size = {2'000};
  limits.body_size = {100};
  limits.header_timeout = milliseconds(300);
  w.service.SetLimits(limits);
  const std::string host = "Host: h.example\r\n";
  struct {
    std::string request;
    const char* status;
  } cases[] = {
      {"GET / HTTP/1.1\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\n" + host + host + "\r\n", "400"},
      {"POST /a/1 HTTP/1.1\r\n" + host +
           "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"POST /a/1 HTTP/1.1\r\n" + host +
           "Transfer-Encoding: gzip\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
       "400"},
      {"POST /a/1 HTTP/1.1\r\n" + host +
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"GET /a/1 HTTP/1.1\r\n" + host + "Own: a" + std::string(1, '\0') +
           "b\r\n\r\n",
       "400"},
      {"GET /a/1 HTTP/1.1\r\n" + host + "Own: " + std::string(3'000, 'x') +
           "\r\n\r\n",
       "431"},
      {"POST /a/1 HTTP/1.1\r\n" + host + "Content-Length: 101\r\n\r\n", "413"},
      {"GET /a/1 HTTP/1.1\r\nHost: h.", "408"},
  };
  for (const auto& c : cases) {
    const std::string got = w.Send(c.request);
    CAPTURE(c.request);
    CHECK(Has(got, std::string("HTTP/1.1 ") + c.status));
  }
  CHECK(ran == 0);
}

TEST_CASE("host and path are taken from an absolute target") {
  loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  traffic_fixture w;
  const std::string got = w.Send(Get("", "http://other.example/a/2"));
  CHECK(Has(got, " 200 "));
  CHECK(w.last_host == "other.example");
  CHECK(w.last_path == "/a/2");
}

TEST_CASE("invalid responses of a server are not delivered") {
  struct {
    const char* name;
    server_script script;
  } cases[] = {
      {"no signature",
       [](const std::string& r) {
         std::string a = ServerResponse(r);
         return a.erase(a.find("Proof: p\r\n"), 10);
       }},
      {"cut off",
       [](const std::string& r) {
         std::string a =
             ServerResponse(r, "200 OK", "hello", "Connection: close\r\n");
         return a.substr(0, a.size() - 2);
       }},
      {"no HTTP",
       [](const std::string&) {
         return std::string("nonsense\r\n\r\nConnection: close");
       }},
      {"encoded",
       [](const std::string& r) {
         return ServerResponse(r, "200 OK", "hello",
                               "Content-Encoding: gzip\r\n");
       }},
      {"implies not run without the header",
       [](const std::string& r) { return ServerResponse(r, "503 Busy"); }},
      {"nothing", [](const std::string&) { return std::string(); }},
  };
  for (const auto& c : cases) {
    CAPTURE(c.name);
    loopback_server server(kServerPort, c.script);
    traffic_fixture w;
    CHECK(Has(w.Send(Get()), "HTTP/1.1 502"));
  }
}

TEST_CASE("a duplicate of an earlier response is dropped") {
  std::atomic<int> count = 0;
  loopback_server server(kServerPort, [&](const std::string& r) {
    const std::string stray =
        "HTTP/1.1 200 OK\r\nReq-Id: 99\r\nProof: x\r\nContent-Length: 5\r\n\r\n"
        "other";
    return ++count == 1 ? ServerResponse(r) + stray : stray + ServerResponse(r);
  });
  traffic_fixture w;
  for (int i = 0; i < 3; ++i) {
    const std::string got = w.Send(Get());
    CHECK(Has(got, "hello"));
    CHECK_FALSE(Has(got, "other"));
  }
}

TEST_CASE("load reports, warm-up times and not-run headers are parsed") {
  loopback_server server(kServerPort, [](const std::string& r) {
    if (Has(r, "GET /health"))
      return std::string(
          "HTTP/1.1 200 OK\r\nServer-Id: s-1\r\nLoad: 1,2,4,400\r\n"
          "Cold-Ms: 1500\r\nContent-Length: 0\r\n\r\n");
    return std::string(
        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  traffic_fixture w;
  w.Send(Get());
  REQUIRE(w.results.size() == 1);
  CHECK(w.results[0] == dispatch::attempt_result::kNotRun);
  const dispatch::server_ref good{
      server_id("s-1"), {0x7f000001, kServerPort}, "/health"};
  const dispatch::server_ref other{
      server_id("s-2"), {0x7f000001, kServerPort}, "/health"};
  const dispatch::server_ref unreachable{
      server_id("s-3"), {0x7f000001, 23599}, "/health"};
  std::unique_lock lock(w.mutex);
  w.service.Execute(dispatch::probe_servers{
      request_id(7), {good, other, unreachable}, milliseconds(300)});
  w.sampled.wait_for(lock, std::chrono::seconds(5),
                     [&] { return w.samples.size() == 3; });
  REQUIRE(w.samples.size() == 3);
  for (const dispatch::load_sample& s : w.samples) {
    if (s.server.value() == "s-1") {
      CHECK(s.result == dispatch::probe_result::kHealthy);
      REQUIRE(s.load.has_value());
      CHECK(s.load->running == 1);
      CHECK(s.load->slots == 4);
      CHECK(s.load->slowdown_percent == 400);
      CHECK(s.warmup_left == milliseconds(1'500));
    } else if (s.server.value() == "s-2") {
      CHECK(s.result == dispatch::probe_result::kWrongServer);
    } else {
      CHECK(s.result == dispatch::probe_result::kUnreachable);
    }
  }
}

TEST_CASE("metrics are served on the metrics address") {
  traffic_fixture w;
  test_socket s = test_socket::Connect(kMetricsPort);
  s.Write("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  const std::string got = s.ReadMessage();
  CHECK(Has(got, " 200 "));
  CHECK(Has(got, "calls 1\n"));
}

TEST_CASE("rejections have the status of their reason and a Retry-After") {
  traffic_fixture w;
  struct {
    dispatch::reject_reason reason;
    const char* status;
  } cases[] = {
      {dispatch::reject_reason::kNoRoute, "404"},
      {dispatch::reject_reason::kNoCapacity, "503"},
      {dispatch::reject_reason::kTimedOut, "504"},
      {dispatch::reject_reason::kServerFailed, "502"},
  };
  for (const auto& c : cases) {
    w.reject = c.reason;
    const std::string got = w.Send(Get());
    CHECK(Has(got, std::string("HTTP/1.1 ") + c.status));
    CHECK(Has(got, "Retry-After: 0.250"));
    CHECK_FALSE(Has(got, "Proof"));
  }
}

TEST_CASE("a disconnect of a waiting caller is detected at once") {
  std::atomic<bool> may_end = false;
  loopback_server server(kServerPort, [&](const std::string& r) {
    while (!may_end)
      std::this_thread::sleep_for(milliseconds(5));
    return ServerResponse(r);
  });
  traffic_fixture w;
  {
    test_socket s = test_socket::Connect(kFrontPort);
    s.Write(Get());
    std::this_thread::sleep_for(milliseconds(100));
  }
  for (int i = 0; i < 100 && w.disconnected == 0; ++i)
    std::this_thread::sleep_for(milliseconds(5));
  CHECK(w.disconnected == 1);
  may_end = true;
}

TEST_CASE("draining closes idle connections, and others after their response") {
  loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  traffic_fixture w;
  w.service.SetReady(true);
  test_socket check = test_socket::Connect(kReadyPort);
  check.Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(Has(check.ReadMessage(), " 200 "));
  test_socket idle = test_socket::Connect(kFrontPort);
  idle.Write(Get());
  CHECK(Has(idle.ReadMessage(), " 200 "));
  w.service.SetReady(false);
  w.service.StartDrain();
  check.Write("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(Has(check.ReadMessage(), " 503 "));
  CHECK(idle.ReadMessage().empty());
  const std::string got = w.Send(Get());
  CHECK(Has(got, " 200 "));
  CHECK(Has(got, "Connection: close"));
}

// Guards against requests lost at a planned stop: connections that had just
// been opened were reset or not counted.
TEST_CASE("connections opened before the listening socket closes are served") {
  std::atomic<bool> may_end = false;
  loopback_server server(kServerPort, [&](const std::string& r) {
    while (!may_end)
      std::this_thread::sleep_for(milliseconds(5));
    return ServerResponse(r);
  });
  traffic_fixture w;
  w.service.StartDrain();
  constexpr int kCallers = 40;
  std::vector<test_socket> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(test_socket::Connect(kFrontPort));
    callers.back().Write(Get());
  }
  test_socket silent = test_socket::Connect(kFrontPort);
  CHECK(w.service.counters().is_accepting);
  w.service.StopAccepting();
  for (int i = 0; i < 400 && w.service.counters().is_accepting; ++i)
    std::this_thread::sleep_for(milliseconds(5));
  CHECK_FALSE(w.service.counters().is_accepting);
  CHECK(w.service.counters().open_caller_connections >= kCallers);
  may_end = true;
  for (test_socket& caller : callers)
    CHECK(Has(caller.ReadMessage(), " 200 "));
  CHECK(silent.ReadMessage().empty());
  callers.clear();
  for (int i = 0; i < 400 && w.service.counters().open_caller_connections > 0;
       ++i)
    std::this_thread::sleep_for(milliseconds(5));
  CHECK(w.service.counters().open_caller_connections == 0);
  CHECK_FALSE(test_socket::Connect(kFrontPort).is_open());
}
