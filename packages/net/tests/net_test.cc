#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include "dotterellead/control_client.h"
#include "dotterellead/event_loop.h"
#include "dotterellead/spawn.h"

using namespace dotterellead;

namespace {

constexpr catalog::endpoint kAddress{0x7f000001, 23481};

// Answers each connection with the same bytes, whatever is sent.
class fixed_server {
 public:
  explicit fixed_server(std::string answer)
      : answer_(std::move(answer)), acceptor_(loop_.io(), ToTcp(kAddress)) {
    SpawnLoop(loop_.io(), "test", [this] { return Accept(); });
    loop_.Start("test");
  }
  ~fixed_server() { loop_.Stop(); }
  // Header of the last request; valid once its response has arrived.
  const http::request_header<>& last_request() const { return last_request_; }

 private:
  task<> Accept() {
    while (true) {
      error_code ec;
      beast::tcp_stream stream(loop_.io());
      co_await acceptor_.async_accept(stream.socket(), Resume(ec));
      beast::flat_buffer buffer;
      http::request<http::string_body> request;
      co_await http::async_read(stream, buffer, request, Resume(ec));
      last_request_ = request.base();
      co_await asio::async_write(stream, asio::buffer(answer_), Resume(ec));
    }
  }

  std::string answer_;
  http::request_header<> last_request_;
  event_loop loop_;
  tcp::acceptor acceptor_;
};

// Answers the first request of each connection; the second one ends it, after
// `last_bytes`.
class forgetful_server {
 public:
  explicit forgetful_server(std::string last_bytes = {})
      : last_bytes_(std::move(last_bytes)),
        acceptor_(loop_.io(), ToTcp(kAddress)) {
    SpawnLoop(loop_.io(), "test", [this] { return Accept(); });
    loop_.Start("test");
  }
  ~forgetful_server() { loop_.Stop(); }
  int connections() const { return connections_; }
  int requests() const { return requests_; }

 private:
  task<> Accept() {
    while (true) {
      error_code ec;
      auto stream = std::make_shared<beast::tcp_stream>(loop_.io());
      co_await acceptor_.async_accept(stream->socket(), Resume(ec));
      ++connections_;
      Spawn(loop_.io(), "test", Serve(std::move(stream)));
    }
  }

  task<> Serve(std::shared_ptr<beast::tcp_stream> stream) {
    const std::string answers[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", last_bytes_};
    beast::flat_buffer buffer;
    error_code ec;
    for (const std::string& answer : answers) {
      http::request<http::string_body> request;
      co_await http::async_read(*stream, buffer, request, Resume(ec));
      if (ec)
        co_return;
      ++requests_;
      co_await asio::async_write(*stream, asio::buffer(answer), Resume(ec));
    }
  }

  const std::string last_bytes_;
  std::atomic<int> connections_ = 0;
  std::atomic<int> requests_ = 0;
  event_loop loop_;
  tcp::acceptor acceptor_;
};

// Sends part of a response to the first byte of a request, and then resets the
// connection.
class resetting_server {
 public:
  resetting_server() : acceptor_(loop_.io(), ToTcp(kAddress)) {
    SpawnLoop(loop_.io(), "test", [this] { return Accept(); });
    loop_.Start("test");
  }
  ~resetting_server() { loop_.Stop(); }
  int connections() const { return connections_; }

 private:
  task<> Accept() {
    const std::string part = "HTTP/1.1 200 OK\r\n\r\nabc";
    while (true) {
      error_code ec;
      tcp::socket socket(loop_.io());
      co_await acceptor_.async_accept(socket, Resume(ec));
      ++connections_;
      char byte = 0;
      co_await socket.async_read_some(asio::buffer(&byte, 1), Resume(ec));
      co_await asio::async_write(socket, asio::buffer(part), Resume(ec));
      asio::steady_timer pause(loop_.io(), milliseconds(30));
      co_await pause.async_wait(Resume(ec));
      socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
  }

  std::atomic<int> connections_ = 0;
  event_loop loop_;
  tcp::acceptor acceptor_;
};

control_response SendOnce(http::verb verb, const std::string& body) {
  asio::io_context io;
  control_client client(io, kAddress);
  control_response response;
  const std::string target = "/x";
  const auto send = [&]() -> task<> {
    response = co_await client.Send(verb, target, body, milliseconds(2'000));
  };
  asio::co_spawn(io, send(), asio::detached);
  io.run_for(std::chrono::seconds(5));
  return response;
}

// Sends two requests, the second one after a pause.
control_response SendTwice(http::verb verb, milliseconds pause) {
  asio::io_context io;
  control_client client(io, kAddress);
  control_response response;
  const std::string target = "/x";
  const std::string no_body;
  const auto send = [&]() -> task<> {
    response = co_await client.Send(verb, target, no_body, milliseconds(2'000));
    asio::steady_timer timer(io, pause);
    error_code ec;
    co_await timer.async_wait(Resume(ec));
    response = co_await client.Send(verb, target, no_body, milliseconds(2'000));
  };
  asio::co_spawn(io, send(), asio::detached);
  io.run();
  return response;
}

task<> Fetch(control_client& client,
             control_response& response,
             const std::string& body) {
  response =
      co_await client.Send(http::verb::get, "/x", body, milliseconds(500));
}

}  // namespace

TEST_CASE("a response that states an enormous length is an error") {
  for (const char* length : {"9000000", "1000000000000", "1000000000000000",
                             "9223372036854775807", "18446744073709551615"}) {
    CAPTURE(std::string(length));
    const fixed_server server("HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::string(length) + "\r\n\r\nsome bytes");
    asio::io_context io;
    control_client client(io, kAddress);
    control_response response;
    const std::string no_body;
    asio::co_spawn(io, Fetch(client, response, no_body), asio::detached);
    io.run();
    CHECK(response.status == 0);
    CHECK_FALSE(response.body.empty());
  }
}

TEST_CASE("a request carries its headers, and a response gives access to its") {
  const fixed_server server(
      "HTTP/1.1 200 OK\r\nX-Number: 7\r\nContent-Length: 0\r\n\r\n");
  asio::io_context io;
  control_client client(io, kAddress);
  control_response response;
  const std::vector<control_header> headers = {{"X-Name", "a"}};
  const std::string no_body;
  asio::co_spawn(
      io,
      [&]() -> task<> {
        response = co_await client.Send(http::verb::get, "/x", no_body, headers,
                                        milliseconds(500));
      },
      asio::detached);
  io.run();
  CHECK(response.status == 200);
  CHECK(response.Header("x-number") == "7");
  CHECK(response.Header("X-Other").empty());
  CHECK(server.last_request()["X-Name"] == "a");
}

TEST_CASE("a GET is sent again if its kept connection ends unanswered") {
  const forgetful_server server;
  CHECK(SendTwice(http::verb::get, milliseconds(0)).status == 200);
  CHECK(server.connections() == 2);
  CHECK(server.requests() == 3);
}

TEST_CASE("a request that may have taken effect is not sent again") {
  const forgetful_server server;
  CHECK(SendTwice(http::verb::post, milliseconds(0)).status == 0);
  CHECK(server.requests() == 2);
}

TEST_CASE("a request is not sent again once a part of its response arrived") {
  for (const char* part : {"H", "HTTP/1.1 200 OK\r\nContent-Le",
                           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na"}) {
    CAPTURE(std::string(part));
    const forgetful_server server(part);
    CHECK(SendTwice(http::verb::get, milliseconds(0)).status == 0);
    CHECK(server.requests() == 2);
  }
}

// Guards against part of a response that passes for the whole.
TEST_CASE("a response that is reset while its request is sent is an error") {
  for (const std::size_t size : {0U, 100U, 8U << 20}) {
    CAPTURE(size);
    const resetting_server server;
    const control_response response =
        SendOnce(http::verb::put, std::string(size, 'u'));
    CHECK(response.status == 0);
    CHECK(server.connections() == 1);
  }
}

TEST_CASE("a connection that was idle for long is not used again") {
  const forgetful_server server;
  CHECK(
      SendTwice(http::verb::post, control_client::kMaxIdle + milliseconds(100))
          .status == 200);
  CHECK(server.connections() == 2);
  CHECK(server.requests() == 2);
}

TEST_CASE("a handler that throws does not end the event loop") {
  const std::uint64_t before = UnexpectedErrorCount();
  event_loop loop;
  std::atomic<int> handled = 0;
  const auto keep_running = asio::make_work_guard(loop.io());
  loop.Start("test");
  asio::post(loop.io(), [] { throw std::runtime_error("unexpected"); });
  asio::post(loop.io(), [&] { ++handled; });
  for (int i = 0; i < 200 && handled == 0; ++i)
    std::this_thread::sleep_for(milliseconds(5));
  CHECK(handled == 1);
  CHECK(UnexpectedErrorCount() == before + 1);
  loop.Stop();
}

namespace {

task<> ThrowTwice(std::atomic<int>& starts) {
  if (++starts <= 2)
    throw std::bad_alloc();
  co_return;
}

}  // namespace

TEST_CASE("a loop that throws is started again, and a request is not") {
  const std::uint64_t before = UnexpectedErrorCount();
  asio::io_context io;
  std::atomic<int> loop_starts = 0;
  std::atomic<int> request_starts = 0;
  SpawnLoop(io, "loop", [&] { return ThrowTwice(loop_starts); });
  Spawn(io, "request", ThrowTwice(request_starts));
  io.run();
  CHECK(loop_starts == 3);
  CHECK(request_starts == 1);
  CHECK(UnexpectedErrorCount() == before + 3);
}
