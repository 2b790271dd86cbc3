// Callers that close their connection before the response.
#include <doctest/doctest.h>

#include <mutex>
#include <set>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

// From the caller's close until its request is cancelled.
constexpr milliseconds kMaxDetectionTime{500};

std::string GetNumbered(int number, std::size_t padding = 0) {
  return Get(padding == 0 ? "" : "Own: " + std::string(padding, 'x') + "\r\n",
             "/a/" + std::to_string(number));
}

// A server that works on each request until it is told to answer.
class slow_server {
 public:
  slow_server()
      : server_(kServerPort, [this](const std::string& request) {
          {
            std::lock_guard lock(mutex_);
            targets_.insert(request.substr(0, request.find(" HTTP")));
          }
          while (!may_answer_)
            std::this_thread::sleep_for(milliseconds(2));
          return ServerResponse(request);
        }) {}
  ~slow_server() { may_answer_ = true; }

  bool ok() const { return server_.ok(); }
  void Answer() { may_answer_ = true; }
  std::size_t request_count() {
    std::lock_guard lock(mutex_);
    return targets_.size();
  }
  // Returns false if the requests do not arrive.
  bool AwaitRequests(std::size_t count) {
    for (int i = 0; i < 1'000 && request_count() < count; ++i)
      std::this_thread::sleep_for(milliseconds(2));
    return request_count() >= count;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> targets_;
  std::atomic<bool> may_answer_ = false;
  loopback_server server_;
};

// Returns false if the condition does not hold within kMaxDetectionTime.
bool Await(const std::function<bool()>& condition) {
  const time_point end = std::chrono::steady_clock::now() + kMaxDetectionTime;
  while (!condition() && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(milliseconds(2));
  return condition();
}

bool IsNoticed(const traffic_fixture& w) {
  return Await([&] { return w.disconnected > 0; }) && w.disconnected == 1;
}

struct leave_case {
  std::string name;
  // Sent behind the first request.
  std::vector<std::string> behind;
  // Whether they are sent once the first is at the server.
  bool is_sent_later = false;
};

std::vector<leave_case> LeaveCases() {
  std::vector<std::string> many;
  for (int i = 2; i < 60; ++i)
    many.push_back(GetNumbered(i, 2'000));
  return {
      {"one request", {GetNumbered(2)}},
      {"one request, later", {GetNumbered(2)}, true},
      {"several requests", {GetNumbered(2), GetNumbered(3), GetNumbered(4)}},
      {"part of a request", {GetNumbered(2).substr(0, 20)}},
      {"part of a request, later", {GetNumbered(2).substr(0, 20)}, true},
      {"more than the buffer holds", many},
      {"more than the buffer holds, later", many, true},
  };
}

}  // namespace

// Guards against servers that work for a caller that has left: its close was
// not noticed while further requests waited.
TEST_CASE("a caller that leaves is noticed while further requests wait") {
  for (const leave_case& c : LeaveCases()) {
    // A caller that only ends its sending side cannot be told from one that
    // has left.
    for (const bool ends_sending_side_only : {false, true}) {
      CAPTURE(c.name);
      CAPTURE(ends_sending_side_only);
      slow_server server;
      REQUIRE(server.ok());
      traffic_fixture w;
      std::optional<test_socket> caller(test_socket::Connect(kFrontPort));
      std::string behind;
      for (const std::string& request : c.behind)
        behind += request;
      caller->Write(GetNumbered(1) + (c.is_sent_later ? "" : behind));
      REQUIRE(server.AwaitRequests(1));
      if (c.is_sent_later) {
        caller->Write(behind);
        std::this_thread::sleep_for(milliseconds(30));
      }
      CHECK(w.disconnected == 0);
      if (ends_sending_side_only)
        shutdown(caller->fd(), SHUT_WR);
      else
        caller.reset();
      CHECK(IsNoticed(w));
      server.Answer();
      std::this_thread::sleep_for(milliseconds(50));
      CHECK(server.request_count() == 1);
    }
  }
}

// Guards against requests that are passed on although their caller left while
// the response to an earlier one was on its way.
TEST_CASE("requests of a caller that has left are not passed on") {
  slow_server server;
  REQUIRE(server.ok());
  traffic_fixture w;
  {
    const test_socket caller = test_socket::Connect(kFrontPort);
    caller.Write(GetNumbered(1) + GetNumbered(2) + GetNumbered(3));
    REQUIRE(server.AwaitRequests(1));
  }
  server.Answer();
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(server.request_count() == 1);
  CHECK(w.service.counters().requests == 1);
}

TEST_CASE("requests sent ahead by a caller that stays are served in order") {
  slow_server server;
  REQUIRE(server.ok());
  traffic_fixture w;
  constexpr int kRequests = 20;
  test_socket caller = test_socket::Connect(kFrontPort);
  for (int i = 1; i <= kRequests; ++i) {
    caller.Write(
        "GET /a/" + std::to_string(i) +
        " HTTP/1.1\r\nHost: h.example\r\nReq-Id: " + std::to_string(i) +
        "\r\nOwn: " + std::string(2'000, 'x') + "\r\n\r\n");
    if (i == 1)
      REQUIRE(server.AwaitRequests(1));
  }
  // Longer than a watched connection needs to be looked at again.
  std::this_thread::sleep_for(milliseconds(250));
  CHECK(server.request_count() == 1);
  server.Answer();
  for (int i = 1; i <= kRequests; ++i)
    CHECK(Has(caller.ReadMessage(), "Req-Id: " + std::to_string(i) + "\r\n"));
  CHECK(server.request_count() == kRequests);
  CHECK(w.disconnected == 0);
}

// Guards against servers that work for disconnected callers: when many
// disconnected at once, the dispatcher's full ring dropped some notifications.
TEST_CASE("a disconnected caller is reported once the ring has capacity") {
  constexpr int kCallers = 20;
  slow_server server;
  REQUIRE(server.ok());
  traffic_fixture w;
  w.is_ring_full = true;
  {
    std::vector<test_socket> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(test_socket::Connect(kFrontPort));
      callers.back().Write(GetNumbered(i));
    }
    REQUIRE(server.AwaitRequests(kCallers));
  }
  REQUIRE(Await([&] { return w.rejected_disconnects >= kCallers; }));
  CHECK(w.disconnected == 0);
  w.is_ring_full = false;
  CHECK(Await([&] { return w.disconnected == kCallers; }));
  // Once for each caller.
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(w.disconnected == kCallers);
}

// Guards against a request that reaches a server although its caller is known
// to have disconnected: the dispatcher may place it before it is notified.
TEST_CASE("no attempt starts for a caller that has disconnected") {
  slow_server server;
  REQUIRE(server.ok());
  traffic_fixture w;
  std::atomic<std::uint64_t> arrived = 0;
  w.on_arrival = [&](request_id id) { arrived = id.value(); };
  w.is_ring_full = true;
  {
    const test_socket caller = test_socket::Connect(kFrontPort);
    caller.Write(GetNumbered(1));
    REQUIRE(Await([&] { return arrived != 0; }));
  }
  REQUIRE(Await([&] { return w.rejected_disconnects > 0; }));
  w.SendToServer(request_id(arrived));
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(server.request_count() == 0);
  REQUIRE(w.results.size() == 1);
  CHECK(w.results[0] == dispatch::attempt_result::kNotSent);
  w.is_ring_full = false;
}
