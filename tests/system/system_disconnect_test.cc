// Callers of the standalone mode that disconnect before their response.
#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sstream>
#include <thread>

#include "harness.h"

namespace dotterellead::harness {
namespace {

// From the callers' close until no server works for them.
constexpr milliseconds kMaxWorkAfterClose{500};
constexpr milliseconds kWork{2'000};
constexpr int kServers = 6;
constexpr int kSlots = 8;

cluster_options ThreeHosts() {
  cluster_options options{.entry_hosts = 3,
                          .pools = {{.name = "pay",
                                     .slots = kSlots,
                                     .cold_slots = kSlots,
                                     .max_run_ms = 5'000}},
                          .log_folder = "out-disconnect"};
  for (const char* data_centre : {"a", "b", "c"})
    options.servers.push_back({.pool = "pay",
                               .data_centre = data_centre,
                               .count = kServers / 3,
                               .behaviour = R"({"slots":8,"cold_slots":8})"});
  return options;
}

int Connect(const socket_address& address, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0);
  CHECK(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(bytes.size()));
  return fd;
}

enum class ending { kClose, kSendingSide, kReset };

struct disconnect_case {
  const char* name;
  // At each host.
  int callers = 4;
  // On each connection.
  int requests = 1;
  // All use the first host, which forwards those beyond its slots.
  bool uses_one_host = false;
  ending how = ending::kClose;
  std::size_t body = 0;
  // Sent but for this many bytes.
  std::size_t unsent = 0;
};

constexpr disconnect_case kCases[] = {
    {.name = "first"},
    {.name = "half a close", .how = ending::kSendingSide},
    {.name = "reset", .how = ending::kReset},
    {.name = "ahead", .requests = 3},
    {.name = "forwarded to other hosts", .callers = 40, .uses_one_host = true},
    {.name = "queued", .callers = 30},
    {.name = "queued, ahead, reset",
     .callers = 30,
     .requests = 2,
     .how = ending::kReset},
    {.name = "body", .body = 900'000},
    {.name = "unfinished body", .body = 900'000, .unsent = 1'000},
};

std::vector<int> ConnectAll(const cluster& c, const disconnect_case& row) {
  const std::string request =
      "GET /pay/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
      std::to_string(row.body) + "\r\n\r\n" + std::string(row.body, 'b');
  std::string bytes;
  for (int i = 0; i < row.requests; ++i)
    bytes += request;
  bytes.resize(bytes.size() - row.unsent);
  std::vector<int> callers;
  const std::size_t hosts = row.uses_one_host ? 1 : c.entry_host_count();
  for (int i = 0; i < row.callers; ++i)
    for (std::size_t host = 0; host < hosts; ++host)
      callers.push_back(Connect(c.caller_address(host), bytes));
  return callers;
}

void Disconnect(int fd, ending how) {
  const linger reset{1, 0};
  if (how == ending::kReset)
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  if (how == ending::kSendingSide)
    shutdown(fd, SHUT_WR);
  else
    close(fd);
}

double ForwardsOf(const cluster& c) {
  double forwards = 0;
  for (std::size_t host = 0; host < c.entry_host_count(); ++host) {
    std::istringstream lines(c.Operate(host, "GET", "/metrics").answer.body);
    for (std::string line; std::getline(lines, line);)
      if (line.starts_with("dotterellead_forwards_total"))
        forwards += std::stod(line.substr(line.rfind(' ')));
  }
  return forwards;
}

}  // namespace

// Guards against servers that work, or receive requests, for callers that have
// disconnected, on each path through one or two hosts.
TEST_CASE("no server works for callers that have disconnected") {
  cluster c(ThreeHosts());
  c.Start();
  c.ControlAllBackends(R"({"service_us":2000000,"cold_service_us":2000000})");
  for (const disconnect_case& row : kCases) {
    CAPTURE(row.name);
    c.ControlAllBackends(R"({"reset_ledger":1})");
    const std::vector<int> callers = ConnectAll(c, row);
    const int expected =
        row.unsent > 0
            ? 0
            : std::min(static_cast<int>(callers.size()), kServers * kSlots);
    const bool has_arrived = WaitFor(milliseconds(1'000), [&] {
      return c.TotalLedger().arrivals >= expected;
    });
    const time_point disconnected_at = std::chrono::steady_clock::now();
    for (const int fd : callers)
      Disconnect(fd, row.how);
    CHECK(has_arrived);
    CHECK(WaitFor(kMaxWorkAfterClose,
                  [&] { return c.TotalLedger().in_flight == 0; }));
    std::this_thread::sleep_until(disconnected_at + kMaxWorkAfterClose);
    const int arrived = c.TotalLedger().arrivals;
    std::this_thread::sleep_for(kWork);
    const backend_ledger end = c.TotalLedger();
    CHECK(end.in_flight == 0);
    CHECK(end.arrivals == arrived);
    CHECK(end.cancelled == arrived);
    if (row.how == ending::kSendingSide)
      for (const int fd : callers)
        close(fd);
  }
  CHECK(ForwardsOf(c) > 0);
}

}  // namespace dotterellead::harness
