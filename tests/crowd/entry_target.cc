#include <fmt/core.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <thread>

#include "crowd_targets.h"
#include "server_standin.h"
#include "store_standin.h"

namespace dotterellead::crowd {

namespace {

constexpr std::size_t kMaxBody = 390'000;
constexpr std::size_t kMaxHeader = 16'384;
constexpr int kServers = 2;

// Ports from this one on; runs at the same time rarely meet.
int FirstPort() {
  return 26'000 + static_cast<int>(getpid()) % 300 * 10;
}

class entry_target : public crowd_target {
 public:
  entry_target(const std::string& binary, const host_limits& limits)
      : store_(io_, port_) {
    PutConfig();
    for (int i = 0; i < kServers; ++i)
      servers_.push_back(std::make_unique<soak::server_standin>(
          io_, fmt::format("s-{}", i), "first", port_ + 1 + i, log_,
          [](const std::string&, time_point, const std::string&) {}));
    asio::co_spawn(io_, ReportServers(), asio::detached);
    StartHost(binary, limits);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~entry_target() override {
    io_.stop();
    thread_.join();
    unlink(settings_file_.c_str());
  }

  harness::child_process& host() override { return *host_; }
  socket_address callers() const override { return Address(3); }
  target_protocol protocol() const override {
    return {[](std::size_t client) {
              return fmt::format(
                  "POST /read/{0} HTTP/1.1\r\nHost: h.example\r\n"
                  "Attempt-Id: c-{0}\r\n",
                  client);
            },
            "Soak-Answer-Bytes", kMaxBody, kMaxHeader};
  }

 private:
  socket_address Address(int offset) const {
    return {"127.0.0.1", static_cast<std::uint16_t>(port_ + offset)};
  }

  void StartHost(const std::string& binary, const host_limits& limits) {
    // Releases without these settings ignore them in a file.
    std::ofstream(settings_file_)
        << fmt::format("memory-mb={}\nmax-fds={}\nlog-level=warning\n",
                       limits.memory_mb, limits.max_fds);
    host_ = std::make_unique<harness::child_process>(
        std::vector<std::string>{
            binary, "entry", "--host", "h-0", "--data-centre", "dc-a",
            "--front", Address(3).ToString(), "--ready", Address(4).ToString(),
            "--peers", Address(5).ToString(), "--seeds", Address(5).ToString(),
            "--store", Address(0).ToString(), "--config", settings_file_},
        std::vector<std::string>{},
        fmt::format("crowd-entry-{}.log", getpid()));
  }

  void PutConfig() {
    store_.Put(
        "keyed.op", "config",
        fmt::format(
            R"({{"version":"00000001","routes":{{"columns":["name","host",)"
            R"("pathPrefix","type","timeoutS","targetLatencyS","priority",)"
            R"("maxAttempts","service"],"rows":[)"
            R"(["read","h.example","/read/","idempotent",5,0.4,1,2,"first"])"
            R"(]}},"services":{{"columns":["name","healthPath",)"
            R"("maxConnections","warmupS","warmupPerS"],"rows":[)"
            R"(["first","/health",200,0,0]]}},"limits":{{)"
            R"("maxHeaderBytes":{},"maxBodyBytes":{},"headerTimeoutS":2,)"
            R"("idleTimeoutS":10}}}})",
            kMaxHeader, kMaxBody));
  }

  task<> ReportServers() {
    constexpr milliseconds kBeat{300};
    for (int sequence = 1;; ++sequence) {
      for (int i = 0; i < kServers; ++i)
        store_.Put(
            "keyed.servers", servers_[i]->id(),
            fmt::format(R"({{"service":"first","address":"{}","zone":"dc-a",)"
                        R"("version":"v1","slots":2,"state":"ready",)"
                        R"("warmupLeftS":0,"sequence":{},"born":{}}})",
                        Address(1 + i).ToString(), sequence,
                        servers_[i]->born()));
      co_await soak::Sleep(io_, kBeat);
    }
  }

  asio::io_context io_;
  const int port_ = FirstPort();
  const std::string settings_file_ =
      fmt::format("crowd-entry-{}.conf", getpid());
  soak::store_standin store_;
  soak::run_log log_;
  std::vector<std::unique_ptr<soak::server_standin>> servers_;
  std::unique_ptr<harness::child_process> host_;
  std::thread thread_;
};

}  // namespace

std::unique_ptr<crowd_target> StartEntry(const std::string& binary,
                                         const host_limits& limits) {
  return std::make_unique<entry_target>(binary, limits);
}

}  // namespace dotterellead::crowd
