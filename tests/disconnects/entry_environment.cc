#include "entry_environment.h"

#include <arpa/inet.h>
#include <fmt/core.h>
#include <sched.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace dotterellead::disconnects {

namespace {

constexpr milliseconds kStartTimeout{20'000};
constexpr int kWideServers = 6;
constexpr int kNarrowServers = 2;
// Offsets of the ports of the store, the servers and the host.
constexpr int kStorePort = 0;
constexpr int kServerPorts = 1;
constexpr int kFrontPort = 10;
constexpr int kReadyPort = 11;
constexpr int kPeerPort = 12;
constexpr int kPortsPerRun = 16;

// Ports from this one on; runs at the same time rarely meet.
int FirstPort() {
  constexpr int kRuns = 200;
  return 20'000 + static_cast<int>(getpid()) % kRuns * kPortsPerRun;
}

// Lets processes that are started meanwhile run on one core only, as hosts do
// that share their machine.
class one_core {
 public:
  one_core() {
    sched_getaffinity(0, sizeof(all_), &all_);
    int core = 0;
    while (!CPU_ISSET(core, &all_))
      ++core;
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(core, &one);
    sched_setaffinity(0, sizeof(one), &one);
  }
  ~one_core() { sched_setaffinity(0, sizeof(all_), &all_); }
  one_core(const one_core&) = delete;
  one_core& operator=(const one_core&) = delete;

 private:
  cpu_set_t all_;
};

const char* PoolOf(int server) {
  return server < kWideServers ? "wide" : "narrow";
}

}  // namespace

entry_environment::entry_environment(const std::string& binary,
                                     bool servers_drop_at_close)
    : port_(FirstPort()),
      settings_file_(fmt::format("disconnects-{}.conf", getpid())),
      store_(io_, port_ + kStorePort) {
  constexpr int kWideSlots = 100;
  PutConfig();
  for (int i = 0; i < kWideServers + kNarrowServers; ++i)
    servers_.push_back(std::make_unique<watched_server>(
        io_,
        server_options{fmt::format("s-{}", i), port_ + kServerPorts + i,
                       i < kWideServers ? kWideSlots : 1,
                       servers_drop_at_close},
        log_));
  asio::co_spawn(io_, ReportServers(), asio::detached);
  StartHost(binary);
  thread_ = std::thread([this] { io_.run(); });
}

entry_environment::~entry_environment() {
  host_.reset();
  io_.stop();
  thread_.join();
  unlink(settings_file_.c_str());
}

socket_address entry_environment::Address(int offset) const {
  return {"127.0.0.1", static_cast<std::uint16_t>(port_ + offset)};
}

void entry_environment::StartHost(const std::string& binary) {
  std::ofstream(settings_file_)
      << "log-level=warning\nhedge-share=1\nrepeat-slack=1000\n"
         "probes-per-s=1000\n";
  const one_core restriction;
  host_ = std::make_unique<harness::child_process>(
      std::vector<std::string>{
          binary, "entry", "--host", "h-0", "--data-centre", "dc-a", "--front",
          Address(kFrontPort).ToString(), "--ready",
          Address(kReadyPort).ToString(), "--peers",
          Address(kPeerPort).ToString(), "--seeds",
          Address(kPeerPort).ToString(), "--store",
          Address(kStorePort).ToString(), "--config", settings_file_},
      std::vector<std::string>{}, fmt::format("disconnects-{}.log", getpid()));
}

void entry_environment::PutConfig() {
  store_.Put(
      "keyed.op", "config",
      R"({"version":"00000001","routes":{"columns":["name","host",)"
      R"("pathPrefix","type","timeoutS","targetLatencyS","priority",)"
      R"("maxAttempts","service"],"rows":[)"
      R"(["wide","h.example","/wide/","idempotent",4,2,1,2,"wide"],)"
      R"(["hedged","h.example","/hedged/","idempotent",4,2,1,2,"wide"],)"
      R"(["once","h.example","/once/","non_idempotent",4,2,1,2,"narrow"],)"
      R"(["narrow","h.example","/narrow/","idempotent",4,2,1,2,"narrow"]]},)"
      R"("services":{"columns":["name","healthPath","maxConnections",)"
      R"("warmupS","warmupPerS"],"rows":[["wide","/health",2000,0,0],)"
      R"(["narrow","/health",2000,0,0]]},"limits":{"maxHeaderBytes":16384,)"
      R"("maxBodyBytes":1000000,"headerTimeoutS":5,"idleTimeoutS":20}})");
}

task<> entry_environment::ReportServers() {
  constexpr milliseconds kBeat{300};
  for (int sequence = 1;; ++sequence) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const server_options& server = servers_[i]->options();
      store_.Put("keyed.servers", server.id,
                 fmt::format(R"({{"service":"{}","address":"127.0.0.1:{}",)"
                             R"("zone":"dc-a","version":"v1","slots":{},)"
                             R"("state":"ready","warmupLeftS":0,"sequence":{},)"
                             R"("born":1700000000000}})",
                             PoolOf(static_cast<int>(i)), server.port,
                             server.slots, sequence));
    }
    co_await soak::Sleep(io_, kBeat);
  }
}

bool entry_environment::IsServed(const std::string& pool) const {
  const send_result r =
      SendOnce(Address(kFrontPort),
               {"GET",
                fmt::format("/{}/quick/ready", pool),
                {{"Host", "h.example"}, {"Attempt-Id", "ready-" + pool}},
                ""},
               milliseconds(1'000));
  return r.ok() && r.answer.status == 200;
}

bool entry_environment::AwaitServing() {
  return harness::WaitFor(
      kStartTimeout, [this] { return IsServed("wide") && IsServed("narrow"); });
}

int entry_environment::Connect(const std::string& bytes) const {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(Address(kFrontPort).port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0)
    throw unavailable_error("cannot connect to the host", "read its log");
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      throw unavailable_error("cannot send to the host", "read its log");
    sent += static_cast<std::size_t>(n);
  }
  return fd;
}

bool entry_environment::has_exceeded_slots() const {
  return std::any_of(servers_.begin(), servers_.end(), [](const auto& server) {
    return server->peak() > server->options().slots;
  });
}

std::string Request(const std::string& method,
                    const std::string& path,
                    const std::string& id,
                    std::size_t body,
                    bool is_chunked) {
  const std::string head = fmt::format(
      "{} {}{} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {}\r\n"
      "Request-Deadline-Ms: 4000\r\n",
      method, path, id, id);
  const std::string content(body, 'b');
  if (is_chunked)
    return fmt::format(
        "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head,
        body, content);
  return fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body, content);
}

}  // namespace dotterellead::disconnects
