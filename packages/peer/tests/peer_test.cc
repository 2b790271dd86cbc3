#include "dotterellead/peer.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>

#include "peer_rpc.h"

namespace dotterellead {
namespace {

using namespace std::chrono_literals;

// Collects results of calls from sender threads.
class result_box {
 public:
  peer_connections::callback Collector() {
    return [this](std::optional<std::string> result) {
      std::lock_guard lock(mutex_);
      results_.push_back(std::move(result));
      changed_.notify_all();
    };
  }
  // Waits for `n` results, at most for `limit`.
  std::vector<std::optional<std::string>> Wait(std::size_t n,
                                               milliseconds limit = 3s) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, limit, [&] { return results_.size() >= n; });
    return results_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::optional<std::string>> results_;
};

struct peer_host {
  peer_listener listener;
  explicit peer_host(std::uint16_t port = 0)
      : listener({.address = {"127.0.0.1", port}, .secret = "s1", .threads = 8},
                 {{"echo", [](const std::string& p) { return p; }},
                  {"fail", [](const std::string&) -> std::string {
                     throw unavailable_error("no data", "call later");
                   }}}) {
    listener.Start();
  }
  std::string At() const { return listener.address().ToString(); }
};

// Accepts connections and never responds, like a paused host.
struct hung_host {
  hung_host() : fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) == 0);
    REQUIRE(listen(fd, 16) == 0);
    socklen_t size = sizeof(at);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  ~hung_host() { close(fd); }
  int fd;
  std::string address;
};

// Guards against calls that lose their parameters, result or error.
TEST_CASE(
    "calls carry parameters and results, and errors arrive as no result") {
  peer_host host;
  peer_connections links({.secret = "s1"});
  result_box box;
  CHECK(links.Call(host.At(), "echo", R"({"a":[1,"x"]})", box.Collector()));
  CHECK(links.Call(host.At(), "fail", "{}", box.Collector()));
  CHECK(links.Call(host.At(), "missing", "{}", box.Collector()));
  CHECK(links.Call(host.At(), "echo", "{not json", box.Collector()));
  CHECK(links.Call(host.At(), "echo", "[2]", box.Collector()));
  const auto results = box.Wait(5);
  REQUIRE(results.size() == 5);
  CHECK(results[0] == R"({"a":[1,"x"]})");
  CHECK_FALSE(results[1]);
  CHECK_FALSE(results[2]);
  CHECK_FALSE(results[3]);
  CHECK(results[4] == "[2]");
  CHECK(links.stats().calls_out == 5);
  CHECK(links.stats().failed == 3);
  CHECK(links.stats().bytes_out == host.listener.stats().bytes_in);
  CHECK(links.stats().bytes_in == host.listener.stats().bytes_out);
}

// Guards against calls from a host without the secret.
TEST_CASE("every call needs the secret") {
  peer_host host;
  for (const char* secret : {"s2", "s", "s1s1", "s11"}) {
    peer_connections links({.secret = secret});
    result_box box;
    links.Call(host.At(), "echo", "{}", box.Collector());
    const auto results = box.Wait(1);
    REQUIRE(results.size() == 1);
    CHECK_FALSE(results[0]);
  }
  const send_result bare =
      SendOnce(host.listener.address(), {"POST", "/rpc", {}, "{}"}, 1s);
  CHECK(bare.answer.status == 401);
  CHECK(host.listener.stats().unauthorized == 5);
  CHECK(host.listener.stats().calls_in == 0);
  CHECK(EqualInConstantTime("Bearer s1", BearerValue("s1")));
  CHECK_FALSE(EqualInConstantTime("", BearerValue("s1")));
  CHECK_THROWS_AS(peer_connections({.secret = ""}), invalid_setting_error);
}

// Guards against one paused host that stops the gossip with all others.
TEST_CASE("a hung peer does not delay others and its calls time out") {
  peer_host host;
  hung_host hung;
  peer_connections links({.secret = "s1"});
  result_box stuck;
  result_box good;
  const auto begin = std::chrono::steady_clock::now();
  links.Call(hung.address, "echo", "{}", stuck.Collector());
  for (int i = 0; i < 20; ++i)
    links.Call(host.At(), "echo", "{}", good.Collector());
  CHECK(good.Wait(20).size() == 20);
  CHECK(std::chrono::steady_clock::now() - begin < 900ms);
  const auto results = stuck.Wait(1);
  REQUIRE(results.size() == 1);
  CHECK_FALSE(results[0]);
  CHECK(std::chrono::steady_clock::now() - begin >= 900ms);
}

// Guards against a queue of old heartbeats to a slow peer.
TEST_CASE(
    "a newer call replaces an unsent one, and a full ring rejects calls") {
  hung_host hung;
  peer_connections links(
      {.secret = "s1", .timeout = 300ms, .ring_capacity = 2});
  result_box first;
  links.Call(hung.address, "echo", "0", first.Collector());
  std::this_thread::sleep_for(50ms);
  result_box merged;
  const auto newest = peer_connections::merge::kReplaceUnsent;
  for (int i = 0; i < 10; ++i)
    CHECK(links.Call(hung.address, "gossip", "1", merged.Collector(), newest));
  CHECK(merged.Wait(9, 0ms).size() == 9);
  CHECK(links.Send(hung.address, "echo", "2"));
  CHECK_FALSE(links.Send(hung.address, "echo", "3"));
  CHECK(links.stats().shed == 1);
  CHECK(merged.Wait(10).size() == 10);
  CHECK(links.stats().calls_out <= 3);
}

// Guards against threads that outlive their peer or block the caller.
TEST_CASE("a removed peer's sender ends at once and its calls fail") {
  hung_host hung;
  peer_host host;
  peer_connections links({.secret = "s1", .max_connections = 1});
  result_box box;
  for (int i = 0; i < 3; ++i)
    links.Call(hung.address, "echo", "{}", box.Collector());
  CHECK_FALSE(links.Send(host.At(), "echo", "{}"));
  CHECK_FALSE(links.Send("no address", "echo", "{}"));
  std::this_thread::sleep_for(50ms);
  const auto begin = std::chrono::steady_clock::now();
  links.Remove(hung.address);
  CHECK(box.Wait(3).size() == 3);
  CHECK(std::chrono::steady_clock::now() - begin < 500ms);
  CHECK(links.size() == 0);
  bool linked = false;
  for (int i = 0; i < 100 && !linked; ++i) {
    linked = links.Send(host.At(), "echo", "{}");
    std::this_thread::sleep_for(5ms);
  }
  CHECK(linked);
  links.Stop();
  CHECK_FALSE(links.Send(host.At(), "echo", "{}"));
}

// Guards against a connection that stays unusable after its peer has restarted.
TEST_CASE("calls reach a restarted peer") {
  auto host = std::make_unique<peer_host>();
  const std::uint16_t port = host->listener.address().port;
  peer_connections links({.secret = "s1"});
  result_box box;
  links.Call(host->At(), "echo", "1", box.Collector());
  CHECK(box.Wait(1).size() == 1);
  const std::string at = host->At();
  host.reset();
  links.Call(at, "echo", "[2]", box.Collector());
  CHECK_FALSE(box.Wait(2).back());
  peer_host again(port);
  links.Call(at, "echo", "[3]", box.Collector());
  CHECK(box.Wait(3).back() == "[3]");
}

}  // namespace
}  // namespace dotterellead
