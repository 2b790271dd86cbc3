// Servers that send bytes without end, or more than this host can hold.
#include <doctest/doctest.h>

#include <fstream>

#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

// Bytes that the sockets of both ends may hold beyond what was read.
constexpr std::uint64_t kSocketBufferBytes = 12 << 20;

struct endless_case {
  const char* name;
  // What precedes the endless part.
  std::string start;
  std::string part;
};

std::vector<endless_case> EndlessCases() {
  const std::string head = "HTTP/1.1 200 OK\r\nReq-Id: 17\r\nProof: p\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string line(1'000, 'x');
  return {
      {"no HTTP", "", line},
      {"a status line", "HTTP/1.1 200 ", line},
      {"a header field", head + "Own: ", line},
      {"header fields", head, "Own: " + line + "\r\n"},
      {"a body without a length", head + "\r\n", line},
      {"a body with an enormous length",
       head + "Content-Length: 1000000000000000\r\n\r\n", line},
      {"chunks", chunked, "3e8\r\n" + line + "\r\n"},
      {"small chunks with long extensions", chunked, "1;" + line + "\r\nx\r\n"},
      {"a chunk extension", chunked + "1;", line},
      {"a chunk length", chunked, "0000000000"},
      {"trailers", chunked + "0\r\n", "Own: " + line + "\r\n"},
      {"a trailer", chunked + "0\r\nOwn: ", line},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim responses with fields", "",
       "HTTP/1.1 103 Early Hints\r\nOwn: " + line + "\r\n\r\n"},
      {"duplicates of another response", "",
       "HTTP/1.1 200 OK\r\nReq-Id: 9\r\nProof: p\r\nContent-Length: 1\r\n\r\n"
       "x"},
  };
}

// Anonymous memory of this process.
std::uint64_t PrivateBytes() {
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("RssAnon:"))
      return std::stoull(line.substr(8)) * 1024;
  return 0;
}

// Samples the private memory while it exists.
class memory_growth {
 public:
  memory_growth() : before_(PrivateBytes()), sampling_([this] { Sample(); }) {}
  ~memory_growth() { Stop(); }
  // Ends the sampling and returns by how much the memory had grown at most.
  std::uint64_t Stop() {
    is_stopped_ = true;
    if (sampling_.joinable())
      sampling_.join();
    return peak_ - std::min(peak_, before_);
  }

 private:
  void Sample() {
    while (!is_stopped_) {
      peak_ = std::max(peak_, PrivateBytes());
      std::this_thread::sleep_for(milliseconds(1));
    }
  }

  std::uint64_t before_;
  std::uint64_t peak_ = 0;
  std::atomic<bool> is_stopped_ = false;
  std::thread sampling_;
};

std::string Respond(const endless_case& c, const std::string& request) {
  return Has(request, "/endless") || Has(request, "/health")
             ? c.start + std::string(kEndless)
             : ServerResponse(request);
}

}  // namespace

TEST_CASE("a response without end is cut, and the caller gets a 502") {
  for (const endless_case& c : EndlessCases()) {
    for (const milliseconds pause : {milliseconds(0), milliseconds(20)}) {
      CAPTURE(std::string(c.name));
      CAPTURE(pause.count());
      loopback_server server(
          kServerPort, [&](const std::string& r) { return Respond(c, r); });
      server.SetEndless(c.part, pause);
      traffic_fixture w;
      const time_point begun = std::chrono::steady_clock::now();
      // 502 does not say that the request has not run.
      CHECK(Has(w.Send(Get("", "/endless")), "HTTP/1.1 502"));
      // The attempt's timeout is a second.
      CHECK(std::chrono::steady_clock::now() - begun < milliseconds(1'900));
      CHECK(server.endless_bytes() <= limits::kMaxServerBodyBytes +
                                          limits::kMaxServerFramingBytes +
                                          kSocketBufferBytes);
      // The next request goes out on another connection.
      CHECK(Has(w.Send(Get("", "/next")), "HTTP/1.1 200"));
      CHECK(server.connections() == 2);
    }
  }
}

TEST_CASE("a health response without end is cut early") {
  for (const endless_case& c : EndlessCases()) {
    CAPTURE(std::string(c.name));
    loopback_server server(kServerPort,
                           [&](const std::string& r) { return Respond(c, r); });
    server.SetEndless(c.part, milliseconds(0));
    traffic_fixture w;
    const dispatch::server_ref ref{
        server_id("s-1"), {0x7f000001, kServerPort}, "/health"};
    std::unique_lock lock(w.mutex);
    w.service.Execute(
        dispatch::probe_servers{request_id(7), {ref}, milliseconds(300)});
    w.sampled.wait_for(lock, std::chrono::seconds(5),
                       [&] { return !w.samples.empty(); });
    REQUIRE(w.samples.size() == 1);
    CHECK(w.samples[0].result == dispatch::probe_result::kUnreachable);
    CHECK(server.endless_bytes() <= limits::kMaxProbeBodyBytes +
                                        limits::kMaxServerFramingBytes +
                                        kSocketBufferBytes);
  }
}

// Guards against a host that runs out of memory with the requests of all
// others.
TEST_CASE("many endless responses at once leave room for other requests") {
  // The smallest machines have 160 MB; the rest is the program's own.
  constexpr std::uint64_t kMaxGrowthBytes = 96 << 20;
  constexpr int kCallers = 48;
  for (const endless_case& c : EndlessCases()) {
    CAPTURE(std::string(c.name));
    loopback_server server(kServerPort,
                           [&](const std::string& r) { return Respond(c, r); });
    server.SetEndless(c.part, milliseconds(0));
    traffic_fixture w;
    memory_growth memory;
    std::vector<test_socket> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(test_socket::Connect(kFrontPort));
      callers.back().Write(Get("", "/endless"));
    }
    for (int i = 0; i < 20; ++i)
      CHECK(Has(w.Send(Get("", "/other")), "HTTP/1.1 200"));
    for (test_socket& caller : callers)
      CHECK(Has(caller.ReadMessage(), "HTTP/1.1 502"));
    const std::uint64_t growth = memory.Stop();
    CHECK(growth < kMaxGrowthBytes);
  }
}

TEST_CASE("responses of up to 16 MB pass whole") {
  const std::string body(limits::kMaxServerBodyBytes, 'b');
  loopback_server server(kServerPort, [&](const std::string& r) {
    return ServerResponse(r, "200 OK", Has(r, "/more") ? body + 'b' : body);
  });
  traffic_fixture w;
  const std::string got = w.Send(Get());
  CHECK(got.size() > body.size());
  CHECK(got.ends_with("bbbb"));
  CHECK(Has(w.Send(Get("", "/more")), "HTTP/1.1 502"));
}

TEST_CASE("all responses together take no more memory than the host's limit") {
  const std::string body(4 << 20, 'b');
  loopback_server server(kServerPort, [&](const std::string& r) {
    return ServerResponse(r, "200 OK", Has(r, "/small") ? "small" : body);
  });
  traffic_fixture w({6 << 20});
  test_socket slow = test_socket::Connect(kFrontPort);
  const int receive_buffer = 64 << 10;
  setsockopt(slow.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer,
             sizeof receive_buffer);
  slow.Write(Get());
  std::this_thread::sleep_for(milliseconds(300));
  // The first response is still being written, so there is no room for another
  // of its size, and room for a small one.
  CHECK(Has(w.Send(Get()), "HTTP/1.1 502"));
  CHECK(Has(w.Send(Get("", "/small")), "HTTP/1.1 200"));
  CHECK(slow.ReadMessage().size() > body.size());
  std::this_thread::sleep_for(milliseconds(50));
  const std::string got = w.Send(Get());
  CHECK(got.size() > body.size());
}

TEST_CASE("a response without an id is accepted on a new connection only") {
  // A late duplicate of a rejection would say of another request that it has
  // not run.
  const std::string rejection =
      "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  loopback_server server(kServerPort, [&](const std::string& r) {
    return Has(r, "/whole") ? ServerResponse(r) : rejection;
  });
  traffic_fixture w;
  w.Send(Get("", "/first"));
  w.Send(Get("", "/whole"));
  w.Send(Get("", "/reused"));
  REQUIRE(w.results.size() == 3);
  CHECK(w.results[0] == dispatch::attempt_result::kNotRun);
  CHECK(w.results[2] == dispatch::attempt_result::kInvalidResponse);
}
