// Attempts that are cancelled before, or while, a server gets the request.
#include <doctest/doctest.h>

#include <poll.h>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

// Limit from the caller's close until the server detects the end.
constexpr milliseconds kMaxCloseTime{500};
// Longer than an attempt needs to reach the server.
constexpr milliseconds kSettleTime{150};
// More than the buffers of both sockets hold while the server does not read.
constexpr std::size_t kLongBody = 8 << 20;

// A server that reads the header of each request, and then only watches for the
// end of its connection.
class watching_server {
 public:
  watching_server() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    setsockopt(listener_.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    // Small, so that the sender of a long body waits.
    const int size = 4'096;
    setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    sockaddr_in a = test_socket::Address(kServerPort);
    is_ok_ =
        bind(listener_.fd(), reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
    listen(listener_.fd(), 8);
    thread_ = std::thread([this] { Run(); });
  }
  ~watching_server() {
    is_ended_ = true;
    shutdown(listener_.fd(), SHUT_RDWR);
    thread_.join();
  }
  bool is_ok() const { return is_ok_; }
  int request_count() const { return request_count_; }
  int closed_count() const { return closed_count_; }

 private:
  void Run() {
    while (!is_ended_) {
      const test_socket s(accept(listener_.fd(), nullptr, nullptr));
      if (!s.is_open())
        return;
      std::string header;
      // Byte by byte, so that the body stays unread.
      for (char byte = 0; !header.ends_with("\r\n\r\n"); header += byte)
        if (recv(s.fd(), &byte, 1, 0) <= 0)
          break;
      request_count_ += header.ends_with("\r\n\r\n") ? 1 : 0;
      AwaitEnd(s.fd());
    }
  }
  void AwaitEnd(int fd) {
    constexpr int kInterval = 10;
    pollfd state{fd, POLLRDHUP, 0};
    while (!is_ended_ && poll(&state, 1, kInterval) <= 0) {
    }
    closed_count_ += state.revents != 0 ? 1 : 0;
  }

  test_socket listener_;
  bool is_ok_ = false;
  std::atomic<int> request_count_ = 0;
  std::atomic<int> closed_count_ = 0;
  std::atomic<bool> is_ended_ = false;
  std::thread thread_;
};

bool Await(const std::function<bool()>& condition) {
  const time_point end = std::chrono::steady_clock::now() + kMaxCloseTime;
  while (!condition() && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(milliseconds(2));
  return condition();
}

std::string Upload(std::size_t body) {
  return "PUT /a/1 HTTP/1.1\r\nHost: h.example\r\nReq-Id: 17\r\n"
         "Content-Length: " +
         std::to_string(body) + "\r\n\r\n" + std::string(body, 'u');
}

}  // namespace

// Guards against servers that work for a disconnected caller: an attempt that
// was cancelled before its coroutine had started was sent all the same.
TEST_CASE("an attempt that is cancelled at once reaches no server") {
  // Of a request, and of one of its attempts.
  for (const bool is_whole_request : {true, false}) {
    CAPTURE(is_whole_request);
    watching_server server;
    REQUIRE(server.is_ok());
    traffic_fixture w;
    std::atomic<bool> has_arrived = false;
    w.on_arrival = [&](request_id id) {
      w.SendToServer(id);
      if (is_whole_request)
        w.service.Execute(dispatch::cancel_request{id});
      else
        w.service.Execute(
            dispatch::cancel_attempt{id, traffic_fixture::kAttemptNumber});
      has_arrived = true;
    };
    const test_socket caller = test_socket::Connect(kFrontPort);
    caller.Write(Get());
    REQUIRE(Await([&] { return has_arrived.load(); }));
    std::this_thread::sleep_for(kSettleTime);
    CHECK(server.request_count() == 0);
    CHECK(w.results.empty());
  }
}

// Guards against servers that work for a disconnected caller: the close waited
// behind the part of the request that the server had not read.
TEST_CASE("a server that has not read a whole request sees its cancellation") {
  for (const std::size_t body :
       {std::size_t{0}, std::size_t{100}, std::size_t{100'000}, kLongBody}) {
    CAPTURE(body);
    watching_server server;
    REQUIRE(server.is_ok());
    traffic_fixture w;
    w.timeout = milliseconds(10'000);
    catalog::caller_limits limits;
    limits.body_size = {kLongBody};
    w.service.SetLimits(limits);
    std::this_thread::sleep_for(milliseconds(20));
    {
      const test_socket caller = test_socket::Connect(kFrontPort);
      caller.Write(Upload(body));
      REQUIRE(Await([&] { return server.request_count() == 1; }));
      // The body fills the buffers.
      std::this_thread::sleep_for(kSettleTime);
      CHECK(server.closed_count() == 0);
    }
    CHECK(Await([&] { return server.closed_count() == 1; }));
    CHECK(w.disconnected == 1);
  }
}
