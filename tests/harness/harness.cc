#include "harness.h"

#include "dotterellead/json.h"

#include <fmt/core.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <thread>

namespace dotterellead::harness {
namespace {

constexpr char kOperatorSecret[] = "operator-secret-for-tests";
constexpr char kPeerSecret[] = "peer-secret-for-tests";
constexpr milliseconds kStartTimeout{30'000};
constexpr milliseconds kControlTimeout{5'000};
constexpr int kPlatformGroup = 1;
constexpr int kCallerGroup = 2;
constexpr int kOperatorGroup = 3;
constexpr int kPeerGroup = 4;
constexpr int kBackendGroup = 10;
constexpr int kFirstPort = 20'000;

Json::Value ParseText(const std::string& text) {
  std::string problem;
  const std::optional<Json::Value> json = ParseJson(text, &problem);
  if (!json)
    throw invalid_input_error("not JSON: " + problem, "send a JSON object");
  return *json;
}

backend_ledger ParseLedger(const std::string& text) {
  const Json::Value json = ParseText(text);
  backend_ledger l;
  l.in_flight = json["in_flight"].asInt();
  l.max_in_flight = json["max_in_flight"].asInt();
  l.max_in_flight_cold = json["max_in_flight_cold"].asInt();
  l.arrivals = json["arrivals"].asInt();
  l.runs = json["runs"].asInt();
  l.shed = json["shed"].asInt();
  l.exceeded = json["exceeded"].asInt();
  l.cold_exceeded = json["cold_exceeded"].asInt();
  l.cancelled = json["cancelled"].asInt();
  l.probes = json["probes"].asInt();
  l.last_arrival_ms = json["last_arrival_ms"].asInt64();
  for (const std::string& key : json["keys"].getMemberNames())
    l.runs_by_key[key] = json["keys"][key].asInt();
  return l;
}

// Each cluster uses loopback addresses of its own, so that runs never meet.
int NextNetwork() {
  static std::atomic<int> next{0};
  return (static_cast<int>(getpid()) + 97 * next++) % 60'000;
}

void Post(const socket_address& to, const std::string& json) {
  const send_result r =
      SendOnce(to, {"POST", "/.control", {}, json}, kControlTimeout);
  if (!r.ok() || r.answer.status != 200) {
    throw protocol_error("control of " + to.ToString() + " failed",
                         "check that the stand-in runs");
  }
}

}  // namespace

std::string MakeKey(milliseconds age) {
  static std::atomic<std::uint64_t> counter{0};
  const std::int64_t created =
      system_clock_source().Now().wall.value - age.count();
  const std::uint64_t n = counter++;
  const std::uint64_t low =
      StableHash(std::to_string(getpid()) + "/" + std::to_string(n));
  return fmt::format("{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}",
                     static_cast<std::uint32_t>(created >> 16),
                     static_cast<std::uint16_t>(created), n & 0xfff,
                     (low >> 48) & 0xfff, low & 0xffffffffffffULL);
}

cluster::cluster(cluster_options options)
    : options_(std::move(options)), network_(NextNetwork()) {
  std::signal(SIGPIPE, SIG_IGN);
  mkdir(options_.log_folder.c_str(), 0755);
}

cluster::~cluster() {
  entry_hosts_.clear();
}

std::string cluster::Address(int group, int port) const {
  return fmt::format("127.{}.{}.{}:{}", 1 + network_ / 250, 1 + network_ % 250,
                     group, port);
}

// The port after a host's peer port takes forwarded requests.
std::string cluster::PeerAddress(int i) const {
  return Address(kPeerGroup, kFirstPort + 2 * i);
}

socket_address cluster::caller_address(std::size_t i) const {
  return ParseSocketAddress(
      Address(kCallerGroup, kFirstPort + static_cast<int>(i)));
}

socket_address cluster::operator_address(std::size_t i) const {
  return ParseSocketAddress(
      Address(kOperatorGroup, kFirstPort + static_cast<int>(i)));
}

socket_address cluster::platform_address() const {
  return ParseSocketAddress(Address(kPlatformGroup, kFirstPort));
}

void cluster::Start() {
  StartPlatform();
  StartBackends();
  for (int i = 0; i < options_.entry_hosts; ++i)
    entry_hosts_.push_back(StartEntryHost(static_cast<std::size_t>(i)));
  PublishHostList();
  ApplyPools();
  for (std::size_t i = 0; i < entry_hosts_.size(); ++i) {
    if (!WaitFor(kStartTimeout, [&] { return ServesAllPools(i); })) {
      throw timeout_error("entry host " + std::to_string(i) + " does not serve",
                          "read its log in " + options_.log_folder);
    }
  }
}

void cluster::StartPlatform() {
  std::vector<std::string> command = {STANDIN_PLATFORM_BINARY, "--address",
                                      platform_address().ToString()};
  command.insert(command.end(), options_.platform_flags.begin(),
                 options_.platform_flags.end());
  platform_ =
      std::make_unique<child_process>(command, std::vector<std::string>{},
                                      options_.log_folder + "/platform.log");
  if (!WaitFor(kStartTimeout, [&] {
        return CanConnect(platform_address(), milliseconds(100));
      })) {
    throw timeout_error("the platform stand-in does not start",
                        "read its log in " + options_.log_folder);
  }
}

void cluster::StartBackends() {
  int group_number = kBackendGroup;
  for (const server_group& group : options_.servers) {
    const int per_process = group.separate_processes ? 1 : group.count;
    for (int first = 0; first < group.count; first += per_process) {
      const std::string address = Address(group_number, kFirstPort + first);
      backend_commands_.push_back(
          {STANDIN_BACKEND_BINARY, "--address", address, "--count",
           std::to_string(per_process), "--data-centre", group.data_centre,
           "--version", group.version, "--behaviour", group.behaviour,
           "--threads", std::to_string(group.threads)});
      socket_address server = ParseSocketAddress(address);
      for (int i = 0; i < per_process; ++i, ++server.port) {
        servers_.push_back({group.pool, group.data_centre, group.version,
                            server, backend_commands_.size() - 1});
      }
    }
    ++group_number;
  }
  backends_.resize(backend_commands_.size());
  for (std::size_t i = 0; i < backends_.size(); ++i)
    StartBackendProcess(i);
}

void cluster::StartBackendProcess(std::size_t process) {
  backends_[process] = std::make_unique<child_process>(
      backend_commands_[process], std::vector<std::string>{},
      options_.log_folder + "/backend-" + std::to_string(process) + ".log");
  for (const server_handle& server : servers_) {
    if (server.process == process && !WaitFor(kStartTimeout, [&] {
          return CanConnect(server.address, milliseconds(100));
        })) {
      throw timeout_error(
          "backend server " + server.address.ToString() + " does not start",
          "read its log in " + options_.log_folder);
    }
  }
}

void cluster::RestartBackendProcess(std::size_t i) {
  StartBackendProcess(i);
}

std::unique_ptr<child_process> cluster::StartEntryHost(std::size_t i) {
  std::string peers;
  for (int p = 0; p < options_.entry_hosts; ++p)
    peers += (p == 0 ? "" : ",") + PeerAddress(p);
  std::vector<std::string> command = {
      DOTTERELLEAD_BINARY,
      "--name",
      fmt::format("h{:02}", i),
      "--data-centre",
      options_.data_centres[i % options_.data_centres.size()],
      "--caller-address",
      caller_address(i).ToString(),
      "--operator-address",
      operator_address(i).ToString(),
      "--peer-address",
      PeerAddress(static_cast<int>(i)),
      "--peers",
      peers,
      "--log-address",
      platform_address().ToString(),
      "--host-list-address",
      platform_address().ToString()};
  command.insert(command.end(), options_.entry_flags.begin(),
                 options_.entry_flags.end());
  return std::make_unique<child_process>(
      command,
      std::vector<std::string>{
          std::string("DOTTERELLEAD_OPERATOR_SECRET=") + kOperatorSecret,
          std::string("DOTTERELLEAD_PEER_SECRET=") + kPeerSecret},
      options_.log_folder + "/entry-" + std::to_string(i) + ".log");
}

void cluster::RestartEntryHost(std::size_t i) {
  entry_hosts_[i].reset();
  entry_hosts_[i] = StartEntryHost(i);
}

void cluster::PublishHostList(const std::vector<server_handle>& leaving) const {
  Json::Value list(Json::arrayValue);
  for (int i = 0; i < options_.entry_hosts; ++i) {
    Json::Value host;
    host["address"] = PeerAddress(i);
    host["data_centre"] = options_.data_centres[static_cast<std::size_t>(i) %
                                                options_.data_centres.size()];
    host["kind"] = "entry";
    host["state"] = "live";
    list.append(host);
  }
  for (const server_handle& server : leaving) {
    Json::Value host;
    host["address"] = server.address.ToString();
    host["data_centre"] = server.data_centre;
    host["kind"] = "backend";
    host["state"] = "leaving";
    list.append(host);
  }
  Json::Value control;
  control["hosts"] = list;
  ControlPlatform(FormatJson(control));
}

void cluster::ApplyPools() const {
  for (const pool_shape& shape : options_.pools) {
    Json::Value spec;
    spec["tenant"] = "tenant-" + shape.name;
    spec["path_prefix"] = "/" + shape.name;
    spec["max_run_ms"] = shape.max_run_ms;
    for (const char* method : {"GET", "POST"}) {
      Json::Value route;
      route["method"] = method;
      route["path_prefix"] = "/" + shape.name;
      route["idempotent"] = std::string(method) == "GET";
      spec["routes"].append(route);
    }
    for (const server_handle& server : servers_) {
      if (server.pool != shape.name)
        continue;
      Json::Value s;
      s["address"] = server.address.ToString();
      s["data_centre"] = server.data_centre;
      s["version"] = server.version;
      s["slots"] = shape.slots;
      s["cold_slots"] = shape.cold_slots;
      spec["servers"].append(s);
    }
    Apply("pool", shape.name, FormatJson(spec));
  }
}

bool cluster::ServesAllPools(std::size_t i) const {
  for (const pool_shape& shape : options_.pools) {
    const send_result r = Call(i, "GET", "/" + shape.name + "/ready",
                               {{"request-timeout-ms", "1000"}});
    if (!r.ok() || r.answer.status != 200)
      return false;
  }
  return true;
}

send_result cluster::Call(std::size_t i,
                          const std::string& method,
                          const std::string& target,
                          const http_headers& headers,
                          const std::string& body,
                          milliseconds timeout) const {
  return SendOnce(caller_address(i), {method, target, headers, body}, timeout);
}

send_result cluster::Operate(std::size_t i,
                             const std::string& method,
                             const std::string& target,
                             const std::string& body) const {
  const http_headers headers = {
      {"Authorization", std::string("Bearer ") + kOperatorSecret},
      {"Content-Type", "application/json"}};
  return SendOnce(operator_address(i), {method, target, headers, body},
                  milliseconds(10'000));
}

void cluster::Apply(const std::string& kind,
                    const std::string& name,
                    const std::string& spec,
                    std::size_t i) const {
  const std::string body =
      fmt::format(R"({{"kind":"{}","api_version":"v1","name":"{}","spec":{}}})",
                  kind, name, spec);
  send_result last;
  const bool accepted = WaitFor(milliseconds(10'000), [&] {
    last = Operate(i, "PUT", "/v1/" + kind + "/" + name, body);
    return last.ok() && last.answer.status < 500;
  });
  if (!accepted || last.answer.status >= 300) {
    throw protocol_error("apply of " + name + " failed with status " +
                             std::to_string(last.answer.status) + ": " +
                             last.answer.body,
                         "read the logs in " + options_.log_folder);
  }
}

void cluster::SetDataCentreOut(const std::string& name,
                               bool out,
                               std::size_t i) const {
  Apply("data_centre", name, out ? R"({"out":true})" : R"({"out":false})", i);
}

backend_ledger cluster::Ledger(const server_handle& server) const {
  const send_result r =
      SendOnce(server.address, {"GET", "/.ledger", {}, ""}, kControlTimeout);
  if (!r.ok()) {
    throw protocol_error("no ledger from " + server.address.ToString(),
                         "check that the stand-in runs");
  }
  return ParseLedger(r.answer.body);
}

backend_ledger cluster::TotalLedger() const {
  backend_ledger total;
  for (const server_handle& server : servers_) {
    const backend_ledger l = Ledger(server);
    total.in_flight += l.in_flight;
    total.max_in_flight = std::max(total.max_in_flight, l.max_in_flight);
    total.max_in_flight_cold =
        std::max(total.max_in_flight_cold, l.max_in_flight_cold);
    total.arrivals += l.arrivals;
    total.runs += l.runs;
    total.shed += l.shed;
    total.exceeded += l.exceeded;
    total.cold_exceeded += l.cold_exceeded;
    total.cancelled += l.cancelled;
    total.probes += l.probes;
    total.last_arrival_ms = std::max(total.last_arrival_ms, l.last_arrival_ms);
    for (const auto& [key, runs] : l.runs_by_key)
      total.runs_by_key[key] += runs;
  }
  return total;
}

void cluster::ControlBackend(const server_handle& server,
                             const std::string& json) const {
  Post(server.address, json);
}

void cluster::ControlAllBackends(const std::string& json) const {
  for (const server_handle& server : servers_)
    Post(server.address, json);
}

void cluster::ControlPlatform(const std::string& json) const {
  Post(platform_address(), json);
}

}  // namespace dotterellead::harness
