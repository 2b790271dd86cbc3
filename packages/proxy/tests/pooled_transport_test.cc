#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <set>
#include <thread>

#include "dotterellead/proxy.h"

namespace dotterellead {
namespace {

class present_caller : public http_peer {
 public:
  bool IsGone() const override { return gone; }
  void Abort() const override {}
  std::uint64_t connection_number() const override { return 1; }
  std::atomic<bool> gone{false};
};

// Answers with the request's body; connections up to `silent_up_to` get no
// answer.
struct backend_server {
  http_answer Handle(const http_request& request, const http_peer& peer) {
    ++requests;
    newest = std::max(newest.load(), peer.connection_number());
    while (peer.connection_number() <= silent_up_to && !peer.IsGone())
      std::this_thread::sleep_for(milliseconds(5));
    if (request.body == "cut") {
      peer.Abort();
      return {};
    }
    return {200, {}, request.body};
  }
  std::atomic<int> requests{0};
  std::atomic<std::uint64_t> newest{0};
  std::atomic<std::uint64_t> silent_up_to{0};
  http_listener listener{{.address = {"127.0.0.1", 0}, .threads = 8},
                         [this](const http_request& r, const http_peer& p) {
                           return Handle(r, p);
                         }};
};

struct fixture {
  fixture() {
    backend.listener.Start();
    server = server_id(backend.listener.address().ToString());
  }
  attempt Send(const std::string& body,
               bool needs_fresh = false,
               int timeout_ms = 200) {
    const time_point now = clock.Now().steady;
    return transport.Send(server, {"POST", "/", {}, body},
                          {.send_before = now + milliseconds(1'000),
                           .deadline = now + milliseconds(timeout_ms),
                           .needs_fresh = needs_fresh,
                           .cancel_with_caller = true},
                          caller);
  }
  backend_server backend;
  server_id server;
  system_clock_source clock;
  present_caller caller;
  pooled_transport transport{clock};
};

// Guards against connections that lost their path being used once a new one
// works.
TEST_CASE("silent connections are given up when a newer one answers") {
  fixture f;
  std::thread other([&] { f.Send("a"); });
  f.Send("b");
  other.join();
  const std::uint64_t old = f.backend.newest;
  f.backend.silent_up_to = old;
  const attempt silent = f.Send("c");
  CHECK(silent.result.failure == send_failure::kTimeout);
  // At most one more attempt meets an old connection, since each silent one is
  // closed.
  int timeouts = 0;
  for (int i = 0; i < 4; ++i)
    timeouts += f.Send("d").result.ok() ? 0 : 1;
  CHECK(timeouts <= 1);
  CHECK(f.Send("e").result.answer.body == "e");
}

// Guards against a non-idempotent request on a connection that may have lost
// its path.
TEST_CASE(
    "a non-idempotent request avoids connections without a recent answer") {
  fixture f;
  CHECK(f.Send("a").result.ok());
  std::this_thread::sleep_for(limits::kMaxReusableConnectionAge +
                              milliseconds(20));
  f.backend.silent_up_to = f.backend.newest.load();
  const attempt sent = f.Send("b", true);
  CHECK(sent.result.ok());
  CHECK(sent.result.answer.body == "b");
}

// Accepts connections on a free port and gives each to a thread of its own.
class raw_server {
 public:
  explicit raw_server(std::function<void(int)> serve)
      : serve_(std::move(serve)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof any;
    REQUIRE(bind(listener_, reinterpret_cast<sockaddr*>(&any), size) == 0);
    listen(listener_, 8);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&any), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(any.sin_port));
    accepting_ = std::thread([this] { Accept(); });
  }
  ~raw_server() {
    shutdown(listener_, SHUT_RDWR);
    accepting_.join();
    for (const int connection : open_)
      shutdown(connection, SHUT_RDWR);
    for (std::thread& t : serving_)
      t.join();
    for (const int connection : open_)
      close(connection);
    close(listener_);
  }
  raw_server(const raw_server&) = delete;
  raw_server& operator=(const raw_server&) = delete;

  std::string address;

 private:
  void Accept() {
    for (int connection;
         (connection = accept(listener_, nullptr, nullptr)) >= 0;) {
      open_.push_back(connection);
      serving_.emplace_back([this, connection] {
        serve_(connection);
        shutdown(connection, SHUT_RDWR);
      });
    }
  }

  std::function<void(int)> serve_;
  int listener_;
  std::vector<int> open_;
  std::vector<std::thread> serving_;
  std::thread accepting_;
};

bool Write(int connection, std::string_view bytes) {
  return send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0;
}

// Rejects its first request, and writes the rejection once more when the next
// request arrives on that connection; runs all others.
class repeating_server {
 public:
  std::atomic<int> runs{0};

 private:
  void Serve(int connection) {
    constexpr std::string_view kRejection =
        "HTTP/1.1 503 Full\r\nrequest-run: not-run\r\n"
        "Content-Length: 0\r\n\r\n";
    constexpr std::string_view kAnswer =
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran";
    bool has_rejected = false;
    char received[4096];
    while (recv(connection, received, sizeof received, 0) > 0) {
      const bool rejects = requests_++ == 0;
      if (rejects || has_rejected)
        Write(connection, kRejection);
      has_rejected = has_rejected || rejects;
      if (rejects)
        continue;
      ++runs;
      Write(connection, kAnswer);
    }
  }

  std::atomic<int> requests_{0};
  raw_server server_{[this](int connection) { Serve(connection); }};

 public:
  const std::string& address = server_.address;
};

// Guards against "not run" said of a request that a server is running.
TEST_CASE(
    "a repeated rejection is not taken for the answer to the next request") {
  fixture f;
  repeating_server server;
  f.server = server_id(server.address);
  CHECK(f.Send("first").result.answer.status == 503);
  const attempt next = f.Send("next");
  CHECK(next.result.answer.status == 200);
  CHECK(next.result.answer.body == "ran");
  CHECK(server.runs == 1);
}

// Answers each request with `start`, then `part` until the connection closes.
class endless_server {
 public:
  endless_server(std::string start, std::string part)
      : start_(std::move(start)), part_(std::move(part)) {}

  std::atomic<std::uint64_t> sent_bytes{0};

 private:
  void Serve(int connection) {
    char received[4096];
    if (recv(connection, received, sizeof received, 0) > 0 && !start_.empty())
      Write(connection, start_);
    while (Write(connection, part_))
      sent_bytes += part_.size();
  }

  std::string start_;
  std::string part_;
  raw_server server_{[this](int connection) { Serve(connection); }};

 public:
  const std::string& address = server_.address;
};

// Guards against a host that runs out of memory with the requests of all
// others.
TEST_CASE("an answer without end is cut early, in its head and in its body") {
  constexpr std::uint64_t kSocketBufferBytes = 16 << 20;
  constexpr std::uint64_t kMaxSentBytes = limits::kMaxResponseBytes +
                                          limits::kMaxServerFramingBytes +
                                          kSocketBufferBytes;
  const std::string bytes(16 << 10, 'a');
  std::string headers;
  for (int i = 0; i < 1'000; ++i)
    headers += "a: b\r\n";
  const struct {
    const char* name;
    std::string start;
    std::string part;
  } cases[] = {
      {"status line", "HTTP/1.1 200 ", bytes},
      {"header line", "HTTP/1.1 200 OK\r\na: ", bytes},
      {"headers", "HTTP/1.1 200 OK\r\n", headers},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"enormous length",
       "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\n", bytes},
      {"body without length", "HTTP/1.1 200 OK\r\n\r\n", bytes},
      {"chunk size line",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", bytes},
  };
  for (const auto& c : cases) {
    CAPTURE(std::string(c.name));
    fixture f;
    endless_server server(c.start, c.part);
    f.server = server_id(server.address);
    const time_point begun = f.clock.Now().steady;
    const attempt sent = f.Send("x", false, 5'000);
    CHECK(sent.result.failure == send_failure::kBadAnswer);
    CHECK(f.clock.Now().steady - begun < milliseconds(2'000));
    CHECK(server.sent_bytes < kMaxSentBytes);
  }
}

// Guards against a paused process that sends after its lease has run out.
TEST_CASE("nothing is sent after the lease or the deadline") {
  fixture f;
  const time_point now = f.clock.Now().steady;
  const attempt late = f.transport.Send(
      f.server, {"POST", "/", {}, "x"},
      {.send_before = now, .deadline = now + milliseconds(500)}, f.caller);
  CHECK(late.not_sent);
  CHECK(f.backend.requests == 0);
}

// Guards against crossed answers: a timed-out connection must never carry
// another request.
TEST_CASE("each of many callers gets the answer to its own request") {
  fixture f;
  std::atomic<int> wrong{0};
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < 50; ++i) {
        const std::string body = std::to_string(t) + "-" + std::to_string(i);
        const attempt sent = f.Send(i % 10 == 9 ? "cut" : body);
        if (sent.result.ok() && sent.result.answer.body != body)
          ++wrong;
      }
    });
  }
  for (std::thread& t : threads)
    t.join();
  CHECK(wrong == 0);
  CHECK(f.backend.requests == 200);
}

// Guards against work for a caller who no longer waits.
TEST_CASE("a caller who goes away cancels the attempt") {
  fixture f;
  f.backend.silent_up_to = 100;
  std::thread leave([&] {
    std::this_thread::sleep_for(milliseconds(50));
    f.caller.gone = true;
  });
  const attempt sent = f.Send("x", false, 2'000);
  leave.join();
  CHECK(sent.result.failure == send_failure::kCancelled);
  CHECK(sent.latency < milliseconds(1'000));
}

TEST_CASE("a refused connection after a cut tells a crash") {
  fixture f;
  CHECK(f.Send("cut").result.failure == send_failure::kCut);
  CHECK_FALSE(f.Send("cut").refuses_connections);
  f.backend.listener.Stop();
  CHECK(f.Send("x").result.failure == send_failure::kConnect);
}

// Cuts its first connection, and goes on listening until `listens` has passed.
// An exiting process closes its sockets one by one in the same way.
class dying_server {
 public:
  dying_server(milliseconds listens, bool closes_new_connections)
      : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(at);
    (void)bind(listener_, reinterpret_cast<sockaddr*>(&at), size);
    listen(listener_, 16);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    id_ = server_id("127.0.0.1:" + std::to_string(ntohs(at.sin_port)));
    thread_ = std::thread([this, listens, closes_new_connections] {
      CloseOne();
      if (closes_new_connections)
        CloseOne();
      std::this_thread::sleep_for(listens);
      close(listener_);
    });
  }
  ~dying_server() { thread_.join(); }
  const server_id& id() const { return id_; }

 private:
  void CloseOne() const {
    const int connection = accept(listener_, nullptr, nullptr);
    shutdown(connection, SHUT_RDWR);
    close(connection);
  }

  int listener_;
  server_id id_;
  std::thread thread_;
};

// Guards against crashes that are not counted because the exiting process still
// accepts connections for a moment after it has cut the request's own.
TEST_CASE("a server that accepts connections while it exits has crashed") {
  struct row {
    milliseconds listens;
    bool closes_new_connections;
    bool crashed;
  };
  for (const row& r :
       {row{milliseconds(0), false, true}, row{milliseconds(5), false, true},
        row{milliseconds(30), false, true}, row{milliseconds(30), true, true},
        row{4 * limits::kCrashDetectionTime, false, false},
        row{4 * limits::kCrashDetectionTime, true, false}}) {
    CAPTURE(r.listens.count());
    CAPTURE(r.closes_new_connections);
    dying_server dying(r.listens, r.closes_new_connections);
    fixture f;
    f.server = dying.id();
    const attempt sent = f.Send("x");
    CHECK(sent.result.failure == send_failure::kCut);
    CHECK(sent.refuses_connections == r.crashed);
  }
}

// Guards against part of an answer that passes for the whole: the reset during
// the upload must not look like the end of a body without a length.
TEST_CASE("an answer that is reset during an upload is never whole") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  for (const std::string& answer :
       {head + "\r\nabc", head + "\r\n", interim + head + "\r\nabc",
        head + "Content-Length: 6\r\n\r\nabc",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
    for (const std::size_t body : {0U, 100U, 8U << 20}) {
      CAPTURE(answer);
      CAPTURE(body);
      std::atomic<int> requests{0};
      raw_server server([&](int connection) {
        char byte = 0;
        if (recv(connection, &byte, 1, 0) <= 0)
          return;
        ++requests;
        Write(connection, answer);
        std::this_thread::sleep_for(milliseconds(30));
        // With unread bytes, a close resets the connection; so does this.
        const linger abort{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        const sockaddr unspecified{AF_UNSPEC, {}};
        (void)connect(connection, &unspecified, sizeof unspecified);
      });
      const system_clock_source clock;
      const present_caller caller;
      pooled_transport transport(clock);
      const time_point now = clock.Now().steady;
      const attempt sent = transport.Send(
          server_id(server.address), {"POST", "/", {}, std::string(body, 'u')},
          {.send_before = now + milliseconds(1'000),
           .deadline = now + milliseconds(2'000)},
          caller);
      CHECK(sent.result.failure == send_failure::kCut);
      CHECK(requests == 1);
    }
  }
}

}  // namespace
}  // namespace dotterellead
