#include "server_notices.h"

#include <doctest/doctest.h>

#include "server_connections.h"
#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

TEST_CASE("Retry-After of a server is a number of seconds within bounds") {
  struct {
    std::vector<std::string_view> values;
    std::optional<milliseconds> time;
    bool has_problem;
  } cases[] = {
      {{}, std::nullopt, false},
      {{"0"}, milliseconds(0), false},
      {{"2"}, milliseconds(2'000), false},
      {{"0.25"}, milliseconds(250), false},
      // Never shorter than requested.
      {{"0.0001"}, milliseconds(1), false},
      {{"3600"}, milliseconds(3'600'000), false},
      {{"3600.5"}, limits::kMaxServerBackoff, true},
      {{"99999999999999999999"}, limits::kMaxServerBackoff, true},
      {{"inf"}, limits::kMaxServerBackoff, true},
      {{"infinity"}, limits::kMaxServerBackoff, true},
      {{"nan"}, std::nullopt, true},
      {{"-1"}, std::nullopt, true},
      {{"-inf"}, std::nullopt, true},
      {{""}, std::nullopt, true},
      {{"soon"}, std::nullopt, true},
      {{"1s"}, std::nullopt, true},
      {{"1e3"}, std::nullopt, true},
      {{"0x10"}, std::nullopt, true},
      {{"Wed, 21 Oct 2026 07:28:00 GMT"}, std::nullopt, true},
      {{"1", "3"}, milliseconds(3'000), true},
      {{"1", "never"}, milliseconds(1'000), true},
  };
  for (const auto& c : cases) {
    CAPTURE((c.values.empty() ? "none" : std::string(c.values.front())));
    const parsed_backoff got = ParseBackoff(c.values);
    CHECK(got.time == c.time);
    CHECK(!got.problem.empty() == c.has_problem);
  }
  // A number that is too large for any type.
  const std::string enormous(400, '9');
  CHECK(ParseBackoff({enormous}).time == limits::kMaxServerBackoff);
}

TEST_CASE("only the value 1 says that a server leaves") {
  CHECK(ParseLeaving({"1"}).is_leaving);
  CHECK(ParseLeaving({"1"}).problem.empty());
  for (const std::string_view value : {"0", "", "true", "yes", "11", "1,1"}) {
    CAPTURE(value);
    CHECK_FALSE(ParseLeaving({value}).is_leaving);
    CHECK_FALSE(ParseLeaving({value}).problem.empty());
  }
  CHECK(ParseLeaving({"0", "1"}).is_leaving);
  CHECK_FALSE(ParseLeaving({"0", "1"}).problem.empty());
}

namespace {

const dispatch::server_ref test_server{server_id("s-1"),
                                       {0x7f000001, kServerPort},
                                       "/health",
                                       4,
                                       {77}};

// Waits until the fixture has a notice or the time is over.
std::vector<dispatch::server_notice> WaitForNotice(traffic_fixture& w) {
  for (int i = 0; i < 200; ++i) {
    {
      std::lock_guard lock(w.mutex);
      if (!w.notices.empty())
        return w.notices;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return {};
}

}  // namespace

TEST_CASE("any response of a server can say that it leaves") {
  for (const char* status : {"200 OK", "500 Failed", "503 Full", "404 None"}) {
    CAPTURE(status);
    loopback_server server(kServerPort, [&](const std::string& r) {
      return ServerResponse(r, status, "hello", "Leaving: 1\r\n");
    });
    traffic_fixture w;
    w.Send(Get());
    const auto notices = WaitForNotice(w);
    REQUIRE(notices.size() == 1);
    CHECK(notices[0].is_leaving);
    CHECK(notices[0].server.id.value() == "s-1");
  }
}

// Guards against requests sent to a server that has asked for a pause.
TEST_CASE("a rejection without a request id is a notice on any connection") {
  loopback_server server(kServerPort, [&](const std::string& r) {
    return Has(r, "/busy") ? std::string(
                                 "HTTP/1.1 503 Full\r\nRetry-After: 1.5\r\n"
                                 "Leaving: 1\r\nContent-Length: 0\r\n\r\n")
                           : ServerResponse(r);
  });
  traffic_fixture w;
  CHECK(Has(w.Send(Get()), "HTTP/1.1 200"));
  // Not known to be the answer to this request, on a reused connection.
  CHECK(Has(w.Send(Get("", "/busy")), "HTTP/1.1 502"));
  const auto notices = WaitForNotice(w);
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].retry_after == milliseconds(1'500));
  CHECK(notices[0].is_leaving);
}

TEST_CASE("a health response that comes too late is a notice all the same") {
  loopback_server server(kServerPort, [&](const std::string&) {
    std::this_thread::sleep_for(milliseconds(60));
    return std::string(
        "HTTP/1.1 503 Leaving\r\nServer-Id: s-1\r\nLeaving: 1\r\n"
        "Retry-After: 0.5\r\nContent-Length: 0\r\n\r\n");
  });
  traffic_fixture w;
  // Other servers have answered, so the round is over before this one answers.
  w.service.Execute(
      dispatch::probe_servers{request_id(7), {test_server}, milliseconds(400)});
  const auto notices = WaitForNotice(w);
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].is_leaving);
  CHECK(notices[0].retry_after == milliseconds(500));
  CHECK(notices[0].server.started_at == unix_millis{77});
}

TEST_CASE("a notice of another server at the address is not of this one") {
  loopback_server server(kServerPort, [&](const std::string& r) {
    if (Has(r, "GET /health"))
      return std::string(
          "HTTP/1.1 503 Other\r\nServer-Id: s-2\r\nLeaving: 1\r\n"
          "Content-Length: 0\r\n\r\n");
    return ServerResponse(r, "421 Other", "", "Leaving: 1\r\n");
  });
  traffic_fixture w;
  w.Send(Get());
  std::unique_lock lock(w.mutex);
  w.service.Execute(
      dispatch::probe_servers{request_id(7), {test_server}, milliseconds(300)});
  w.sampled.wait_for(lock, std::chrono::seconds(5),
                     [&] { return !w.samples.empty(); });
  REQUIRE(w.samples.size() == 1);
  CHECK(w.samples[0].result == dispatch::probe_result::kWrongServer);
  CHECK(w.notices.empty());
}

TEST_CASE("Retry-After counts in a response with status 503 only") {
  loopback_server server(kServerPort, [&](const std::string& r) {
    return ServerResponse(r, Has(r, "/busy") ? "503 Full" : "500 Failed",
                          "hello", "Retry-After: 1.5\r\nNot-Run: 1\r\n");
  });
  traffic_fixture w;
  w.Send(Get());
  w.Send(Get("", "/busy"));
  const auto notices = WaitForNotice(w);
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].retry_after == milliseconds(1'500));
  CHECK_FALSE(notices[0].is_leaving);
}

namespace {

task<> OpenConnection(server_connections& connections,
                      std::vector<connection_ptr>& opened) {
  error_code ec;
  opened.push_back(
      co_await connections.Connect(test_server.address, milliseconds(500), ec));
}

}  // namespace

TEST_CASE("closed connections of a server are not used again") {
  loopback_server server(
      kServerPort, [](const std::string& r) { return ServerResponse(r); });
  asio::io_context io;
  server_connections connections(io);
  std::vector<connection_ptr> opened;
  for (int i = 0; i < 2; ++i)
    asio::co_spawn(io, OpenConnection(connections, opened), asio::detached);
  io.run();
  REQUIRE(opened.size() == 2);
  REQUIRE(opened[0]);
  REQUIRE(opened[1]);
  connections.Release(test_server, opened[0]);
  CHECK(connections.idle_count(test_server.address) == 1);
  connections.CloseConnections(test_server.address);
  CHECK(connections.idle_count(test_server.address) == 0);
  // One that was in use closes once it is released.
  connections.Release(test_server, opened[1]);
  CHECK(connections.idle_count(test_server.address) == 0);
}
