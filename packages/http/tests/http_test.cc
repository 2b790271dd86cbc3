#include "dotterellead/http.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

namespace dotterellead {
namespace {

constexpr milliseconds kTimeout{2'000};

int ConnectTo(const socket_address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0);
  return fd;
}

// Sends raw bytes and returns all that comes back until the listener closes.
std::string Exchange(const socket_address& address, const std::string& bytes) {
  const int fd = ConnectTo(address);
  CHECK(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
  timeval limit{3, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string all;
  char part[4096];
  for (ssize_t n; (n = recv(fd, part, sizeof(part), 0)) > 0;)
    all.append(part, static_cast<std::size_t>(n));
  close(fd);
  return all;
}

struct echo_server {
  std::atomic<int> calls{0};
  http_listener listener{
      {.address = ParseSocketAddress("127.0.0.1:0"),
       .threads = 4,
       .max_body = byte_count{100},
       .decorate =
           [](http_answer& a) {
             a.headers.push_back({"dotterellead-run", "not-run"});
           }},
      [this](const http_request& r, const http_peer&) {
        ++calls;
        http_answer answer;
        answer.headers.push_back({"Content-Type", "text/plain"});
        answer.body = r.method + " " + r.target + " " + r.body;
        return answer;
      }};
};

// Guards against request smuggling and unbounded input.
TEST_CASE(
    "listener refuses ambiguous and oversized requests before the handler") {
  echo_server server;
  server.listener.Start();
  const socket_address at = server.listener.address();
  struct row {
    std::string bytes;
    std::string status;
  };
  const row rows[] = {
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "501"},
      {"POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\na", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\na", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "413"},
      {"nonsense\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nA: " + std::string(9'000, 'x') + "\r\n\r\n", "400"},
  };
  for (const row& r : rows) {
    const std::string answer = Exchange(at, r.bytes);
    CAPTURE(r.bytes.substr(0, 60));
    CHECK(answer.substr(0, 12) == "HTTP/1.1 " + r.status);
    CHECK(answer.find("dotterellead-run: not-run") != std::string::npos);
  }
  CHECK(server.calls == 0);
}

// Guards against a caller that fills the host's memory.
TEST_CASE("a request without end is cut early, in its head and in its body") {
  constexpr std::size_t kSocketBufferBytes = 16 << 20;
  constexpr std::size_t kMaxSentBytes = limits::kMaxBodyBytes +
                                        limits::kMaxRequestFramingBytes +
                                        kSocketBufferBytes;
  echo_server server;
  server.listener.Start();
  const std::string part(64 << 10, 'a');
  for (const std::string start :
       {"GET /", "GET / HTTP/1.1\r\na: ",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\na\r\n0\r\na: "}) {
    CAPTURE(start);
    const int fd = ConnectTo(server.listener.address());
    CHECK(send(fd, start.data(), start.size(), MSG_NOSIGNAL) > 0);
    std::size_t sent = 0;
    for (ssize_t n; sent < 2 * kMaxSentBytes &&
                    (n = send(fd, part.data(), part.size(), MSG_NOSIGNAL)) > 0;)
      sent += static_cast<std::size_t>(n);
    CHECK(sent < kMaxSentBytes);
    close(fd);
  }
  CHECK(server.calls == 0);
}

// Guards against a 200 with an empty or short body that looks whole.
TEST_CASE("an answer cut at any byte is a failure") {
  const std::string head = "HTTP/1.1 200 OK\r\nOwn: 1\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string length = head + "Content-Length: 5\r\n\r\n";
  const std::string until_end = head + "\r\n";
  struct cut_case {
    std::string bytes;
    // How many of them make a whole answer; 0 stands for all.
    std::size_t whole;
  };
  const cut_case answers[] = {
      {length + "abcde", length.size() + 5},
      {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n", 0},
      {until_end + "abcde", until_end.size()},
      {interim + length + "abcde", 0},
      {interim + until_end, 0},
  };
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(listen(listener, 4) == 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  const socket_address remote{"127.0.0.1", ntohs(address.sin_port)};
  for (const cut_case& c : answers) {
    const std::size_t end = c.whole == 0 ? c.bytes.size() : c.whole;
    for (std::size_t cut = 0; cut <= end; ++cut) {
      std::thread server([&, cut] {
        const int fd = accept(listener, nullptr, nullptr);
        // With unread bytes, the close would reset the connection.
        std::string request;
        char part[4096];
        for (ssize_t n = 1; n > 0 && !request.ends_with("\r\n\r\n");) {
          n = recv(fd, part, sizeof(part), 0);
          request.append(part,
                         static_cast<std::size_t>(std::max<ssize_t>(n, 0)));
        }
        (void)send(fd, c.bytes.data(), cut, MSG_NOSIGNAL);
        close(fd);
      });
      const send_result r = SendOnce(remote, {"GET", "/", {}, ""}, kTimeout);
      server.join();
      CAPTURE(c.bytes);
      CAPTURE(cut);
      CHECK(r.ok() == (cut == end));
    }
  }
  close(listener);
}

// Guards against fields that the library keeps in many times their size.
TEST_CASE("a header of too many fields ends at the limit") {
  echo_server server;
  server.listener.Start();
  std::string header = "GET / HTTP/1.1\r\n";
  for (std::size_t i = 0; i < 10 * limits::kMaxHeaders; ++i)
    header += "a:b\r\n";
  const std::string answer =
      Exchange(server.listener.address(), header + "\r\n");
  CHECK(answer.starts_with("HTTP/1.1 431"));
  CHECK(answer.find("dotterellead-run: not-run") != std::string::npos);
  // Without its end, which the listener does not wait for.
  CHECK(
      Exchange(server.listener.address(), header).starts_with("HTTP/1.1 431"));
  CHECK(server.calls == 0);
}

// Guards against a body that passes for the next request, and against waiting
// for a body that was never announced.
TEST_CASE("a body belongs to its request whatever the method") {
  echo_server server;
  server.listener.Start();
  http_connection connection(server.listener.address());
  for (const std::string method : {"GET", "OPTIONS", "DELETE", "POST"}) {
    const send_result r = connection.Send(
        {method, "/", {}, "GET /evil HTTP/1.1\r\n\r\n"}, kTimeout);
    CHECK(r.answer.body == method + " / GET /evil HTTP/1.1\r\n\r\n");
  }
  CHECK(server.calls == 4);
  for (const std::string method : {"POST", "DELETE", "PUT"}) {
    const auto begin = std::chrono::steady_clock::now();
    const std::string answer =
        Exchange(server.listener.address(),
                 method + " / HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(answer.substr(0, 12) == "HTTP/1.1 200");
    CHECK(std::chrono::steady_clock::now() - begin < milliseconds(1'000));
  }
}

// Guards against callers that together hold more memory, or more connections,
// than the host has.
TEST_CASE(
    "bodies without memory, slow ones and surplus connections end early") {
  std::atomic<int> calls{0};
  http_listener listener({.address = ParseSocketAddress("127.0.0.1:0"),
                          .threads = 4,
                          .body_budget = {limits::kBodyCopies * 200'000},
                          .max_connections = 3,
                          .read_timeout = milliseconds(300)},
                         [&](const http_request&, const http_peer&) {
                           ++calls;
                           return http_answer{};
                         });
  listener.Start();
  const socket_address at = listener.address();
  const std::string post = "POST / HTTP/1.1\r\n";
  const std::string chunk = "10000\r\n" + std::string(65'536, 'c') + "\r\n";
  std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 4; ++i)
    chunked += chunk;
  for (const std::string& request :
       {post + "Expect: 100-continue\r\nContent-Length: 200001\r\n\r\n",
        chunked}) {
    const std::string answer = Exchange(at, request);
    CAPTURE(request.substr(0, 50));
    CHECK(answer.substr(0, 12) == "HTTP/1.1 503");
    CHECK(answer.find("Retry-After: 1") != std::string::npos);
  }
  CHECK(
      Exchange(at, post + "Content-Length: 9\r\n\r\n12345678").substr(0, 12) ==
      "HTTP/1.1 408");
  CHECK(calls == 0);
  // What was taken has been returned.
  CHECK(Exchange(at, post +
                         "Connection: close\r\nContent-Length: 200000\r\n\r\n" +
                         std::string(200'000, 'x'))
            .substr(0, 12) == "HTTP/1.1 200");
  std::array<int, 3> open{};
  for (int& fd : open)
    fd = ConnectTo(at);
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(Exchange(at, post + "Content-Length: 0\r\n\r\n").substr(0, 12) ==
        "HTTP/1.1 503");
  for (const int fd : open)
    close(fd);
}

// Guards against answers cut where headers and bodies are joined, and against a
// stop that waits for idle connections to time out.
TEST_CASE("answers of any size arrive whole and a stop ends idle connections") {
  http_listener listener({.address = ParseSocketAddress("127.0.0.1:0"),
                          .threads = 2,
                          .idle_timeout = milliseconds(60'000)},
                         [](const http_request& r, const http_peer&) {
                           http_answer answer;
                           answer.body.assign(std::stoul(r.body), 'x');
                           return answer;
                         });
  listener.Start();
  http_connection connection(listener.address());
  for (const int size : {0, 1, 65'000, 65'400, 65'536, 65'537, 1'000'000}) {
    CAPTURE(size);
    const send_result r =
        connection.Send({"POST", "/", {}, std::to_string(size)}, kTimeout);
    CHECK(r.ok());
    CHECK(r.answer.body == std::string(static_cast<std::size_t>(size), 'x'));
  }
  const auto begin = std::chrono::steady_clock::now();
  listener.Stop();
  CHECK(std::chrono::steady_clock::now() - begin < milliseconds(10'000));
}

// Guards against a caller's largest request being refused once another host has
// added headers to it, and against idle connections that hold all threads.
TEST_CASE("a listener can take more headers and give up idle connections") {
  std::string most = "GET / HTTP/1.1\r\nConnection: close\r\n";
  while (most.size() + 5'000 < limits::kMaxHeaderBytes + 4'000)
    most += "A: " + std::string(5'000, 'x') + "\r\n";
  for (const bool has_room : {false, true}) {
    http_listener listener(
        {.address = ParseSocketAddress("127.0.0.1:0"),
         .threads = 1,
         .closes_idle_when_full = true,
         .max_header_bytes =
             byte_count{limits::kMaxHeaderBytes + (has_room ? 8'000 : 0)}},
        [](const http_request&, const http_peer&) { return http_answer{}; });
    listener.Start();
    http_connection idle(listener.address());
    CHECK(idle.Send({"GET", "/", {}, ""}, kTimeout).ok());
    const auto begin = std::chrono::steady_clock::now();
    const std::string answer = Exchange(listener.address(), most + "\r\n");
    CHECK((answer.substr(0, 12) == "HTTP/1.1 200") == has_room);
    CHECK(std::chrono::steady_clock::now() - begin < milliseconds(1'000));
    CHECK_FALSE(idle.IsReusable());
  }
}

// Guards against a second process silently sharing a port.
TEST_CASE("a port in use is an error at start") {
  echo_server first;
  first.listener.Start();
  http_listener second(
      {.address = first.listener.address()},
      [](const http_request&, const http_peer&) { return http_answer{}; });
  CHECK_THROWS_AS(second.Start(), unavailable_error);
}

// Guards against a body that the library decodes, parses or compresses on the
// way.
TEST_CASE("bodies and targets pass unchanged") {
  echo_server server;
  server.listener.Start();
  http_connection connection(server.listener.address());
  const send_result r =
      connection.Send({"POST",
                       "/a%20b?x=%31",
                       {{"Content-Type", "multipart/form-data; boundary=q"},
                        {"Accept-Encoding", "gzip"}},
                       "raw"},
                      kTimeout);
  CHECK(r.ok());
  CHECK(r.answer.body == "POST /a%20b?x=%31 raw");
  CHECK(FindHeader(r.answer.headers, "content-encoding") == nullptr);
  CHECK(connection.IsReusable());
}

// Accepts connections and runs `script` on each, counting the requests that
// arrive.
struct scripted_server {
  explicit scripted_server(std::string reply_bytes)
      : reply(std::move(reply_bytes)) {
    fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0);
    listen(fd, 8);
    socklen_t size = sizeof(at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    address = {"127.0.0.1", ntohs(at.sin_port)};
    thread = std::thread([this] { Serve(); });
  }
  ~scripted_server() {
    shutdown(fd, SHUT_RDWR);
    close(fd);
    thread.join();
  }
  void Serve() {
    for (int c; (c = accept(fd, nullptr, nullptr)) >= 0;) {
      // Reads the whole header: bytes that are unread when the connection is
      // closed would reset it, and the reply could be lost.
      std::string request;
      char part[4096];
      ssize_t received = 0;
      while (request.find("\r\n\r\n") == std::string::npos &&
             (received = recv(c, part, sizeof(part), 0)) > 0)
        request.append(part, static_cast<std::size_t>(received));
      if (received > 0) {
        ++requests;
        send(c, reply.data(), reply.size(), MSG_NOSIGNAL);
        if (late_reply) {
          std::this_thread::sleep_for(milliseconds(20));
          send(c, late_reply->data(), late_reply->size(), MSG_NOSIGNAL);
          std::this_thread::sleep_for(milliseconds(100));
        }
      }
      close(c);
    }
  }
  std::string reply;
  std::atomic<int> requests{0};
  std::optional<std::string> late_reply;
  int fd = -1;
  socket_address address;
  std::thread thread;
};

// Guards against a request that the client library writes a second time after a
// cut.
TEST_CASE("a request cut mid-answer is never sent again") {
  scripted_server server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
  http_connection connection(server.address);
  const send_result r = connection.Send({"POST", "/", {}, "pay"}, kTimeout);
  CHECK(r.failure == send_failure::kCut);
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(server.requests == 1);
}

constexpr char kSurplusAnswer[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";

// Guards against surplus bytes being read as the next caller's answer.
TEST_CASE("a connection with late surplus bytes is not reusable") {
  scripted_server server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  server.late_reply = kSurplusAnswer;
  http_connection connection(server.address);
  const send_result r = connection.Send({"GET", "/", {}, ""}, kTimeout);
  CHECK(r.ok());
  CHECK(r.answer.body == "ok");
  std::this_thread::sleep_for(milliseconds(60));
  CHECK_FALSE(connection.IsReusable());
}

// Guards against surplus bytes of the same segment: the library drops them with
// its read buffer.
TEST_CASE("surplus bytes next to an answer never answer the next request") {
  scripted_server server(
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") +
      kSurplusAnswer);
  server.late_reply = "";
  http_connection connection(server.address);
  CHECK(connection.Send({"GET", "/", {}, ""}, kTimeout).answer.body == "ok");
  const send_result second =
      connection.Send({"GET", "/", {}, ""}, milliseconds(100));
  CHECK(second.answer.body != "other");
}

// Guards against a caller that gets such an answer, and against one that is
// taken for an interim answer, after which the host waits until the deadline.
TEST_CASE("an answer whose status is not from 100 to 599 is none") {
  for (const std::string status : {"000", "001", "099", "600", "999", "20",
                                   "2000", "+20", "-20", "2x0", ""}) {
    for (const std::string rest :
         {"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}) {
      CAPTURE(status);
      scripted_server server("HTTP/1.1 " + status +
                             " Odd\r\nContent-Length: 0\r\n\r\n" + rest);
      http_connection connection(server.address);
      CHECK(connection.Send({"GET", "/", {}, ""}, kTimeout).failure ==
            send_failure::kBadAnswer);
    }
  }
}

TEST_CASE("a refused connection counts as not sent") {
  http_connection connection({"127.0.0.1", 1});
  CHECK(connection.Send({"GET", "/", {}, ""}, kTimeout).failure ==
        send_failure::kConnect);
}

TEST_CASE("hop-by-hop headers are removed, those that Connection lists too") {
  http_headers headers = {{"Connection", "close, X-Trace"},
                          {"x-trace", "1"},
                          {"TE", "trailers"},
                          {"Accept", "*/*"}};
  RemoveHopByHopHeaders(headers);
  CHECK(headers == http_headers{{"Accept", "*/*"}});
}

// Guards against a close that is hidden by the bytes of further requests.
TEST_CASE("a caller that leaves is gone while further requests wait") {
  const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const std::size_t further : {0U, 1U, 3U, 2'000U}) {
    CAPTURE(further);
    std::atomic<int> calls{0};
    std::atomic<bool> has_left{false};
    std::atomic<bool> is_gone{false};
    http_listener listener({.address = {"127.0.0.1", 0}},
                           [&](const http_request&, const http_peer& peer) {
                             if (++calls == 1) {
                               CHECK_FALSE(peer.IsGone());
                               for (int i = 0; i < 1'000 && !has_left; ++i)
                                 std::this_thread::sleep_for(milliseconds(1));
                               is_gone = peer.IsGone();
                             }
                             return http_answer{200, {}, ""};
                           });
    listener.Start();
    const int fd = ConnectTo(listener.address());
    std::string bytes = request;
    for (std::size_t i = 0; i < further; ++i)
      bytes += request;
    CHECK(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(bytes.size()));
    for (int i = 0; i < 1'000 && calls == 0; ++i)
      std::this_thread::sleep_for(milliseconds(1));
    close(fd);
    std::this_thread::sleep_for(milliseconds(20));
    has_left = true;
    listener.Stop();
    CHECK(is_gone);
  }
}

// Guards against servers that work for a disconnected caller: the close waited
// behind the part of the request that the server had not read.
TEST_CASE("a server that has not read a whole request sees its cancellation") {
  constexpr int kMaxCloseTime = 500;
  // The last is more than the buffers of both sockets hold.
  for (const std::size_t body : {0U, 100U, 100'000U, 8U << 20}) {
    CAPTURE(body);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int size = 4'096;
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
    REQUIRE(listen(listener, 1) == 0);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
    http_connection connection({"127.0.0.1", ntohs(address.sin_port)});
    send_result result;
    std::thread sender([&] {
      result = connection.Send({"PUT", "/", {}, std::string(body, 'u')},
                               milliseconds(10'000));
    });
    const int fd = accept(listener, nullptr, nullptr);
    std::this_thread::sleep_for(milliseconds(100));
    pollfd state{fd, POLLRDHUP, 0};
    CHECK(poll(&state, 1, 0) == 0);
    connection.Cancel();
    CHECK(poll(&state, 1, kMaxCloseTime) == 1);
    sender.join();
    CHECK(result.failure == send_failure::kCancelled);
    close(fd);
    close(listener);
  }
}

}  // namespace
}  // namespace dotterellead
