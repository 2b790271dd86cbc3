// Customers' keys on one entry host with all its duties, between stand-ins of
// the store and of a backend server.
#include <doctest/doctest.h>

#include <functional>
#include <mutex>
#include <thread>

#include "entry_host.h"
#include "store_standin.h"

using namespace dotterellead;
using namespace dotterellead::soak;

namespace {

constexpr int kFront = 23'601;
constexpr int kReady = 23'602;
constexpr int kPeers = 23'603;
constexpr int kStore = 23'604;
constexpr int kServer = 23'605;
constexpr std::uint32_t kLocalhost = 0x7f000001;
// Far above the limits of the settings below, for a busy machine.
constexpr milliseconds kMaxWait{10'000};

entry::entry_settings Settings() {
  entry::entry_settings s;
  s.host = member_id("host-1");
  s.data_centre = data_centre_id("z");
  s.front_address = {kLocalhost, kFront};
  s.ready_address = {kLocalhost, kReady};
  s.peer_address = {kLocalhost, kPeers};
  s.store_address = {kLocalhost, kStore};
  s.max_config_delay = milliseconds(1'000);
  s.has_strict_revocation = true;
  s.revocation_limit = milliseconds(2'500);
  return s;
}

std::string Config(int version, const std::string& key) {
  return R"({"version":")" + std::to_string(version) +
         R"(","routes":{"columns":["name","host","pathPrefix","type",)"
         R"("timeoutS","service","public"],"rows":[)"
         R"(["r1","h","/keyed/","idempotent",1,"p",null],)"
         R"(["r2","h","/open/","idempotent",1,"p",true]]},)"
         R"("services":{"columns":["name","healthPath"],)"
         R"("rows":[["p","/health"]]},"tenants":{"columns":["name","apiKeys"],)"
         R"("rows":[["acme",[")" +
         key + R"("]]]}})";
}

// The store, a backend server that keeps what it got, and their thread.
class stand_ins {
 public:
  stand_ins() : store_(io_, kStore), acceptor_(io_) {
    OpenAcceptor(acceptor_, kServer);
    asio::co_spawn(
        io_,
        AcceptOn(io_, acceptor_,
                 [this](stream_ptr s) { return Serve(std::move(s)); }),
        asio::detached);
    store_.Put("keyed.servers", "s-1",
               R"({"service":"p","address":"127.0.0.1:)" +
                   std::to_string(kServer) +
                   R"(","zone":"z","version":"v1","slots":2,"state":"ready",)"
                   R"("warmupLeftS":0,"sequence":1,"born":5})");
    thread_ = std::thread([this] { io_.run(); });
  }
  ~stand_ins() {
    io_.stop();
    thread_.join();
  }
  void PutConfig(const std::string& text) {
    asio::post(io_, [this, text] { store_.Put("keyed.op", "config", text); });
  }
  void SetFault(store_fault fault) {
    asio::post(io_, [this, fault] { store_.SetFault(fault); });
  }
  // The last request but health checks.
  request_message last_request() {
    std::lock_guard lock(mutex_);
    return last_request_;
  }

 private:
  task<> Serve(stream_ptr stream) {
    beast::flat_buffer buffer;
    error_code ec;
    while (!ec) {
      request_message request;
      co_await http::async_read(*stream, buffer, request, Resume(ec));
      if (ec)
        break;
      answer_message answer(http::status::ok, 11);
      answer.set("Instance-Id", "s-1");
      answer.set("Instance-Load", "0,0,2,100");
      if (request.target() != "/health") {
        answer.set("Attempt-Id", Text(request, "Attempt-Id"));
        answer.set("Response-Signature", "proof");
        std::lock_guard lock(mutex_);
        last_request_ = request;
      }
      answer.prepare_payload();
      co_await http::async_write(*stream, answer, Resume(ec));
    }
    stream->close();
  }

  asio::io_context io_{1};
  store_standin store_;
  tcp::acceptor acceptor_;
  std::mutex mutex_;
  request_message last_request_;
  std::thread thread_;
};

using header_lines = std::vector<std::pair<std::string, std::string>>;

answer_message Call(const std::string& target, const header_lines& headers) {
  asio::io_context io;
  beast::tcp_stream stream(io);
  stream.connect(Loopback(kFront));
  request_message request(http::verb::get, target, 11);
  request.set(http::field::host, "h");
  request.set("Attempt-Id", "call-1");
  request.keep_alive(false);
  for (const auto& [name, value] : headers)
    request.insert(name, value);
  http::write(stream, request);
  beast::flat_buffer buffer;
  answer_message answer;
  http::read(stream, buffer, answer);
  return answer;
}

int StatusWith(const std::string& key, const std::string& target = "/keyed/1") {
  return static_cast<int>(
      Call(target, {{"Authorization", "Bearer " + key}}).result_int());
}

// Waits until a request with the key gets this status.
bool Becomes(const std::string& key, int status) {
  const time_point ends = std::chrono::steady_clock::now() + kMaxWait;
  while (std::chrono::steady_clock::now() < ends) {
    if (StatusWith(key) == status)
      return true;
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

}  // namespace

// Guards against a part that is right by itself but not connected, and against
// keys in any log line.
TEST_CASE("a host checks keys from the store, and rejects them without proof") {
  std::mutex mutex;
  std::string logged;
  SetLogWriter([&](const std::string& line) {
    std::lock_guard lock(mutex);
    logged += line;
  });
  SetLogLevel(log_level::kDebug);
  {
    stand_ins around;
    around.PutConfig(Config(1, "secret-1"));
    entry::entry_host host(Settings());
    host.Start();
    REQUIRE(Becomes("secret-1", 200));
    Call("/keyed/1", {{"authorization", "bearer \t secret-1 "},
                      {"tenant", "other"},
                      {"TENANT", "acme"}});
    CHECK(around.last_request().count("Tenant") == 1);
    CHECK(Text(around.last_request(), "Tenant") == "acme");
    CHECK(around.last_request().count("Authorization") == 0);
    CHECK(StatusWith("secret-2") == 401);
    CHECK(StatusWith("secret-1", "/nowhere/") == 404);
    CHECK(Call("/keyed/1", {}).result_int() == 401);
    CHECK(Call("/keyed/1", {{"Authorization", "Bearer secret-1"},
                            {"Authorization", "Bearer secret-1"}})
              .result_int() == 401);
    CHECK(Call("/open/1", {{"Tenant", "acme"}}).result_int() == 200);
    CHECK(around.last_request().count("Tenant") == 0);

    around.PutConfig(Config(2, "secret-2"));
    CHECK(Becomes("secret-1", 401));
    CHECK(StatusWith("secret-2") == 200);

    // A configuration that cannot be read may revoke any key.
    around.PutConfig(R"({"version":"3","tenants":"secret-3)");
    CHECK(Becomes("secret-2", 503));
    CHECK(StatusWith("secret-2", "/open/1") == 200);
    around.PutConfig(Config(4, "secret-2"));
    CHECK(Becomes("secret-2", 200));

    around.SetFault(store_fault::kReset);
    CHECK(Becomes("secret-2", 503));
    const answer_message late =
        Call("/keyed/1", {{"Authorization", "Bearer secret-9"}});
    CHECK(late.result_int() == 503);
    CHECK(late.count("Retry-After") == 1);
    CHECK(late.body() == "configuration-outdated\n");
    CHECK(StatusWith("secret-2", "/open/1") == 200);
    around.SetFault(store_fault::kNone);
    CHECK(Becomes("secret-2", 200));
  }
  SetLogWriter({});
  CHECK(logged.find("event=rejected") != std::string::npos);
  CHECK(logged.find("secret") == std::string::npos);
}
