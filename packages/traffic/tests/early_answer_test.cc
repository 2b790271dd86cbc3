// Servers that answer before they have read the request's body.
#include <doctest/doctest.h>

#include <netinet/tcp.h>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

constexpr milliseconds kPause{25};
// More than the buffers of both sockets hold while the server does not read.
constexpr std::size_t kLongBody = 8 << 20;

// How a server ends a connection on which it has answered.
enum class ending {
  kReset,
  // Ends its sending side and reads what still comes.
  kOrderly,
  // Ends its sending side, then closes beside unread bytes.
  kOrderlyThenReset,
  // Ends its sending side, and leaves the rest unread.
  kOrderlyUnread,
  // Leaves it open.
  kOpen,
};

// A server that answers after the header of each request, in parts, and then
// ends the connection.
class early_server {
 public:
  early_server(std::vector<std::string> parts, ending end)
      : parts_(std::move(parts)),
        end_(end),
        listener_(socket(AF_INET, SOCK_STREAM, 0)) {
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
  ~early_server() {
    is_ended_ = true;
    shutdown(listener_.fd(), SHUT_RDWR);
    thread_.join();
  }
  bool is_ok() const { return is_ok_; }
  int request_count() const { return request_count_; }

 private:
  void Run() {
    while (true) {
      const int fd = accept(listener_.fd(), nullptr, nullptr);
      if (fd < 0)
        return;
      Serve(fd);
    }
  }
  void Serve(int fd) {
    const test_socket s(fd);
    const timeval limit{2, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    while (true) {
      std::string header;
      // Byte by byte, so that the body stays unread.
      for (char byte = 0; !header.ends_with("\r\n\r\n"); header += byte)
        if (recv(fd, &byte, 1, 0) <= 0)
          return;
      if (!Has(header, "/before "))
        break;
      s.Write(ServerResponse(header));
    }
    ++request_count_;
    // The body is on its way, and fills the buffers.
    std::this_thread::sleep_for(kPause);
    for (const std::string& part : parts_) {
      s.Write(part);
      std::this_thread::sleep_for(kPause);
    }
    End(fd);
  }
  void End(int fd) const {
    if (end_ == ending::kReset) {
      const linger abort{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
      return;
    }
    if (end_ != ending::kOpen)
      shutdown(fd, SHUT_WR);
    if (end_ == ending::kOrderlyThenReset)
      return;
    for (int i = 0; end_ == ending::kOrderlyUnread && !is_ended_ && i < 200;
         ++i)
      std::this_thread::sleep_for(milliseconds(10));
    char unread[65'536];
    while (!is_ended_ && recv(fd, unread, sizeof unread, 0) > 0) {
    }
  }

  const std::vector<std::string> parts_;
  const ending end_;
  test_socket listener_;
  bool is_ok_ = false;
  std::atomic<int> request_count_ = 0;
  std::atomic<bool> is_ended_ = false;
  std::thread thread_;
};

std::string Head() {
  return "HTTP/1.1 200 OK\r\nReq-Id: 17\r\nProof: p\r\n";
}

struct answer_case {
  std::string name;
  std::vector<std::string> parts;
  ending end;
  // Whether the caller gets the answer; if not, a 502.
  bool is_delivered;
};

std::vector<answer_case> AnswerCases() {
  const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
  const std::string length = "Content-Length: 6\r\n\r\n";
  return {
      {"no length, reset", {Head() + "\r\nabc"}, ending::kReset, false},
      {"no length, reset later",
       {Head() + "\r\nabc", "def", ""},
       ending::kReset,
       false},
      {"no length, no body, reset", {Head() + "\r\n"}, ending::kReset, false},
      {"no length, head in parts, reset",
       {Head(), "\r\nabc"},
       ending::kReset,
       false},
      {"half of the head, reset", {Head()}, ending::kReset, false},
      {"nothing, reset", {}, ending::kReset, false},
      {"no length after 100, reset",
       {"HTTP/1.1 100 Continue\r\n\r\n", Head() + "\r\nabc"},
       ending::kReset,
       false},
      {"no length after 103, reset",
       {"HTTP/1.1 103 Early Hints\r\nOwn: 1\r\n\r\n" + Head() + "\r\nabc"},
       ending::kReset,
       false},
      {"a failure without a length, reset",
       {"HTTP/1.1 500 Failed\r\nReq-Id: 17\r\nProof: p\r\n\r\nabc"},
       ending::kReset,
       false},
      {"chunks, reset", {Head() + chunks}, ending::kReset, false},
      {"chunks, orderly", {Head() + chunks}, ending::kOrderly, false},
      {"part of a length, reset",
       {Head() + length + "abc"},
       ending::kReset,
       false},
      {"a whole length, reset",
       {Head() + length + "abcdef"},
       ending::kReset,
       true},
      {"all chunks, reset",
       {Head() + chunks + "3\r\ndef\r\n0\r\n\r\n"},
       ending::kReset,
       true},
      {"a whole length, open",
       {Head() + length + "abcdef"},
       ending::kOpen,
       true},
      {"no length, orderly",
       {Head() + "\r\nabc", "def"},
       ending::kOrderly,
       true},
      {"no length, orderly, unread",
       {Head() + "\r\nabc", "def"},
       ending::kOrderlyUnread,
       true},
      {"no length, orderly, then reset",
       {Head() + "\r\nabc", "def"},
       ending::kOrderlyThenReset,
       true},
  };
}

std::string Upload(std::size_t body) {
  return "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nReq-Id: 17\r\n"
         "Content-Length: " +
         std::to_string(body) + "\r\n\r\n" + std::string(body, 'u');
}

struct upload_case {
  std::size_t body = 0;
  // Sent on a connection that has carried another request.
  bool is_kept = false;
};

constexpr upload_case kUploadCases[] = {{0},
                                        {100},
                                        {kLongBody},
                                        {100, true},
                                        {kLongBody, true}};

}  // namespace

// Guards against part of an answer that passes for the whole: a reset during
// the upload looked like the end of a body without a length.
TEST_CASE("an answer during an upload is delivered only if it is whole") {
  for (const answer_case& c : AnswerCases()) {
    for (const upload_case& u : kUploadCases) {
      CAPTURE(c.name);
      CAPTURE(u.body);
      CAPTURE(u.is_kept);
      early_server server(c.parts, c.end);
      REQUIRE(server.is_ok());
      traffic_fixture w;
      catalog::caller_limits limits;
      limits.body_size = {kLongBody};
      w.service.SetLimits(limits);
      std::this_thread::sleep_for(milliseconds(20));
      if (u.is_kept)
        CHECK(w.Send(Get("", "/before")).starts_with("HTTP/1.1 200"));
      const std::string got = w.Send(Upload(u.body));
      CHECK(got.starts_with(c.is_delivered ? "HTTP/1.1 200" : "HTTP/1.1 502"));
      CHECK(got.ends_with("abcdef") == c.is_delivered);
      // It may have run; nothing here may send it again.
      CHECK(server.request_count() == 1);
      REQUIRE(!w.results.empty());
      CHECK((w.results.back() == dispatch::attempt_result::kResponded) ==
            c.is_delivered);
    }
  }
}
