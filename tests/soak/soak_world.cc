#include "soak_world.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

#include "host_costs.h"

namespace dotterellead::soak {

namespace {

// A process that has just started cannot handle signals yet.
constexpr milliseconds kSignalTime{200};
constexpr milliseconds kCalmEnd{3'000};
constexpr double kServedAtEnd = 0.9;

std::string Address(int port) {
  return fmt::format("127.0.0.1:{}", port);
}

}  // namespace

soak_world::soak_world(soak_settings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      caller_random_(settings_.seed + 1) {
  int port = settings_.first_port;
  const int store_port = port++;
  store_ = std::make_unique<store_standin>(io_, store_port);
  store_link_ = std::make_unique<fault_proxy>(io_, port++, store_port);
  for (int i = 0; i < settings_.servers; ++i) {
    const int real = port++;
    const int seen = port++;
    servers_.push_back(std::make_unique<server_standin>(
        io_, fmt::format("i-{}", i), i % 4 == 3 ? "second" : "first", real,
        log_,
        [this](const std::string& host, time_point since,
               const std::string& what) { JudgeNotice(host, since, what); }));
    links_.push_back(std::make_unique<fault_proxy>(io_, seen, real));
  }
  for (int i = 0; i < settings_.hosts; ++i) {
    entry_process host;
    host.name = fmt::format("host-{}", i);
    host.front = port++;
    host.ready = port++;
    host.peers = port++;
    hosts_.push_back(host);
  }
  std::vector<balanced_host> balanced;
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    balanced.push_back({DataCentreOf(i), hosts_[i].ready});
  balancer_ = std::make_unique<balancer>(io_, std::move(balanced));
}

soak_world::~soak_world() {
  for (entry_process& host : hosts_) {
    if (host.pid <= 0)
      continue;
    kill(host.pid, SIGKILL);
    waitpid(host.pid, nullptr, 0);
  }
}

std::string soak_world::DataCentreOf(std::size_t host) const {
  return host % 2 == 0 ? "dc-a" : "dc-b";
}

int soak_world::Draw(int below) {
  return static_cast<int>(random_() % static_cast<std::uint64_t>(below));
}

// ---- Processes

void soak_world::StartHost(entry_process& host) {
  std::string seeds;
  for (std::size_t i = 0; i < hosts_.size() && i < 3; ++i)
    seeds += (i == 0 ? "" : ",") + Address(hosts_[i].peers);
  const auto index = static_cast<std::size_t>(&host - hosts_.data());
  std::vector<std::string> words = {
      settings_.binary, "entry",
      "--host",         host.name,
      "--data-centre",  DataCentreOf(index),
      "--front",        Address(host.front),
      "--ready",        Address(host.ready),
      "--peers",        Address(host.peers),
      "--seeds",        seeds,
      "--store",        Address(settings_.first_port + 1),
      "--repeat-slack", fmt::format("{}", settings_.repeat_allowance)};
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words)
    argv.push_back(word.data());
  argv.push_back(nullptr);
  const std::string log = settings_.log_folder.empty()
                              ? "/dev/null"
                              : settings_.log_folder + "/" + host.name + ".log";
  host.pid = fork();
  if (host.pid == 0) {
    unsetenv("DOTTERELLEAD_BOOT");
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    // Sockets of the soak must not stay open in a host.
    for (int fd = 3; fd < 1024; ++fd)
      close(fd);
    execv(argv[0], argv.data());
    _exit(127);
  }
  host.is_stopped = false;
  host.is_stopping = false;
  host.started_at = std::chrono::steady_clock::now();
  host.calm_at = host.started_at + kContactWindow;
}

void soak_world::Signal(entry_process& host, int signal) {
  const time_point now = std::chrono::steady_clock::now();
  const bool is_handled = signal == SIGTERM || signal == SIGHUP;
  if (host.pid <= 0 || (is_handled && now < host.started_at + kSignalTime))
    return;
  kill(host.pid, signal);
  if (signal == SIGSTOP)
    host.is_stopped = true;
  if (signal == SIGCONT)
    host.is_stopped = false;
  if (signal == SIGTERM && !std::exchange(host.is_stopping, true))
    host.stopped_at = now;
  host.calm_at = now + kContactWindow;
}

void soak_world::ReapAndRestart() {
  for (entry_process& host : hosts_) {
    int status = 0;
    if (host.pid > 0 && waitpid(host.pid, &status, WNOHANG) == host.pid) {
      const bool is_own_end = WIFEXITED(status) ? WEXITSTATUS(status) != 0
                                                : WTERMSIG(status) != SIGKILL;
      if (is_own_end)
        broken_.push_back(
            fmt::format("{} ended by itself, status {}", host.name, status));
      StartHost(host);
    }
  }
}

// ---- Stand-ins

void soak_world::PutServer(server_standin& server) {
  const auto it =
      std::find_if(servers_.begin(), servers_.end(),
                   [&](const auto& s) { return s.get() == &server; });
  const auto index = static_cast<int>(it - servers_.begin());
  store_->Put(
      "keyed.servers", server.id(),
      fmt::format(R"({{"service":"{}","address":"{}","zone":"dc-a",)"
                  R"("version":"v1","slots":2,"state":"{}","warmupLeftS":0,)"
                  R"("sequence":{},"born":{}}})",
                  server.pool(), Address(settings_.first_port + 3 + 2 * index),
                  server.is_leaving_reported() ? "draining" : "ready",
                  ++sequence_, server.born()));
}

void soak_world::PutConfig(bool to_second_pool) {
  const char* pool = to_second_pool ? "second" : "first";
  ++version_;
  config_ = fmt::format(
      R"({{"version":"{:08x}","routes":{{"columns":["name","host",)"
      R"("pathPrefix","type","timeoutS","targetLatencyS","priority",)"
      R"("maxAttempts","service"],"rows":[)"
      R"(["read","h.example","/read/","idempotent",1.2,0.4,1,2,"first"],)"
      R"(["pay","h.example","/pay/","non_idempotent",1.2,0.4,0,2,"{}"])"
      R"(]}},"services":{{"columns":["name","healthPath",)"
      R"("maxConnections","warmupS","warmupPerS"],"rows":[)"
      R"(["first","/health",200,1,5],["second","/health",200,1,5]]}},)"
      R"("limits":{{"maxHeaderBytes":8192,"maxBodyBytes":100000,)"
      R"("headerTimeoutS":2,"idleTimeoutS":10}}}})",
      version_, pool);
  store_->Put("keyed.op", "config", config_);
  is_second_pool_ = to_second_pool;
  config_at_ = std::chrono::steady_clock::now();
}

task<> soak_world::ReportServers() {
  constexpr milliseconds kBeat{300};
  while (std::chrono::steady_clock::now() < ends_) {
    const bool is_away = store_->fault() == store_fault::kBusy ||
                         store_->fault() == store_fault::kReset ||
                         store_->fault() == store_fault::kSilent;
    for (auto& server : servers_)
      if (server->is_up() && !is_away)
        PutServer(*server);
    ReapAndRestart();
    co_await Sleep(io_, kBeat);
  }
}

// ---- The whole run

violations soak_world::Run() {
  const time_point begun = std::chrono::steady_clock::now();
  ends_ = begun + std::chrono::seconds(settings_.seconds);
  heal_at_ = ends_ - kRecoverTime - kCalmEnd - kPatience;
  PutConfig(false);
  for (auto& server : servers_)
    PutServer(*server);
  for (entry_process& host : hosts_)
    StartHost(host);
  asio::co_spawn(io_, ReportServers(), asio::detached);
  asio::co_spawn(io_, CallLoop(), asio::detached);
  if (!settings_.is_calm)
    asio::co_spawn(io_, InjectFaults(), asio::detached);
  io_.run_until(ends_ + kSlack);
  CheckRepeats();
  for (const std::string& id : once_ids_)
    if (log_.runs[id] > 1)
      broken_.push_back(fmt::format("{} ran {} times", id, log_.runs[id]));
  for (const std::string& id : not_run_ids_)
    if (id.empty() == false && log_.runs[id] > 0)
      broken_.push_back(id + " was said not to have run, and ran");
  if (log_.after_leaving > 0)
    broken_.push_back(fmt::format("{} requests ran on servers that had left",
                                  log_.after_leaving));
  if (calls_at_end_ > 0 && served_at_end_ < kServedAtEnd * calls_at_end_)
    broken_.push_back(fmt::format("after all faults {} of {} calls were served",
                                  served_at_end_, calls_at_end_));
  std::size_t repeats = 0;
  for (const auto& [pool, times] : log_.repeats)
    repeats += times.size();
  fmt::print(
      "seed {}: {} calls, {} served, {} of {} at the end, {} repeats, at most "
      "{:.2f} of what is allowed\n",
      settings_.seed, calls_, served_, served_at_end_, calls_at_end_, repeats,
      most_repeats_);
  if (settings_.is_calm)
    PrintCosts();
  return broken_;
}

void soak_world::PrintCosts() const {
  for (const entry_process& host : hosts_) {
    const host_costs costs = ReadCosts(host.pid);
    fmt::print("{}: {} kB private, {} threads, {:.2f} s of processor time\n",
               host.name, costs.private_kb, costs.threads,
               costs.processor_seconds);
  }
  fmt::print("store calls of all hosts: {:.2f} a second\n",
             static_cast<double>(store_->calls()) / settings_.seconds);
}

}  // namespace dotterellead::soak
