#include "world.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace review {

namespace {

constexpr milliseconds kReportInterval{1'500};

std::string MakeFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr)
    throw std::runtime_error("cannot make a temporary folder");
  return pattern;
}

}  // namespace

world::world(const std::string& record_file)
    : folder_(MakeFolder()),
      record_(open(record_file.c_str(),
                   O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                   0644)),
      reports_([this] { ReportAll(); }) {}

world::~world() {
  is_stopped_ = true;
  reports_.join();
  hosts_.clear();
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(folder_);
  close(record_);
}

double world::SecondsSinceStart() const {
  return std::chrono::duration<double>(clock::now() - began_).count();
}

void world::Note(const std::string& text) {
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f  ", SecondsSinceStart());
  const std::string line = time.data() + text + "\n";
  if (write(record_, line.data(), line.size()) < 0)
    std::perror("record");
}

backend& world::AddBackend(backend_settings settings) {
  auto added =
      std::make_unique<backend>(std::move(settings), [this](run_record run) {
        const std::lock_guard lock(mutex_);
        runs_.push_back(std::move(run));
      });
  backend& result = *added;
  {
    const std::lock_guard lock(mutex_);
    backends_.push_back(std::move(added));
  }
  Report(result);
  return result;
}

void world::Report(backend& server) {
  store_.Put("keyed.servers", server.settings().id, server.Entry());
}

void world::RemoveBackend(const backend& server) {
  const std::lock_guard lock(mutex_);
  unlisted_.push_back(&server);
  store_.Put("keyed.servers", server.settings().id, "");
}

void world::ReportAll() {
  constexpr milliseconds kStep{50};
  time_point next = clock::now() + kReportInterval;
  while (!is_stopped_) {
    std::this_thread::sleep_for(kStep);
    if (clock::now() < next)
      continue;
    next += kReportInterval;
    const std::lock_guard lock(mutex_);
    for (const auto& server : backends_)
      if (server->is_up() && std::find(unlisted_.begin(), unlisted_.end(),
                                       server.get()) == unlisted_.end())
        Report(*server);
  }
}

host& world::AddHost(const std::string& name,
                     const std::string& zone,
                     int memory_mb) {
  hosts_.push_back(std::make_unique<host>(
      host_settings{name, zone, store_.port(), {}, memory_mb, folder_}));
  return *hosts_.back();
}

bool world::StartHosts() {
  constexpr std::size_t kSeeds = 3;
  constexpr milliseconds kReadyTimeout{10'000};
  std::vector<int> seeds;
  for (std::size_t i = 0; i < hosts_.size() && i < kSeeds; ++i)
    seeds.push_back(hosts_[i]->peers());
  for (const auto& h : hosts_) {
    h->SetSeeds(seeds);
    h->Start();
  }
  const bool is_ready =
      std::all_of(hosts_.begin(), hosts_.end(),
                  [&](const auto& h) { return h->WaitReady(kReadyTimeout); });
  if (!is_ready)
    Note("a host did not become ready");
  return is_ready;
}

void world::PutConfig(const std::vector<route_row>& routes,
                      int max_header_bytes) {
  std::string rows;
  std::map<std::string, bool> pools;
  for (const route_row& r : routes) {
    rows += rows.empty() ? "" : ",";
    rows += "[\"" + r.name + "\",\"h.example\",\"" + r.prefix + "\",\"" +
            r.type + "\"," + std::to_string(r.timeout_s) + "," +
            std::to_string(r.target_s) + ",0," +
            std::to_string(r.max_attempts) + ",\"" + r.pool + "\"]";
    pools[r.pool] = true;
  }
  std::string services;
  for (const auto& [pool, unused] : pools) {
    services += services.empty() ? "" : ",";
    services += "[\"" + pool + "\",\"/health\",260,3,2.7]";
  }
  std::array<char, 16> version{};
  std::snprintf(version.data(), version.size(), "%08llx",
                static_cast<unsigned long long>(++config_version_));
  store_.Put(
      "keyed.op", "config",
      std::string(R"({"version":")") + version.data() +
          R"(","routes":{"columns":["name","host","pathPrefix","type",)"
          R"("timeoutS","targetLatencyS","priority","maxAttempts","service"],)"
          R"("rows":[)" +
          rows +
          R"(]},"services":{"columns":["name","healthPath","maxConnections",)"
          R"("warmupS","warmupPerS"],"rows":[)" +
          services + R"(]},"limits":{"maxHeaderBytes":)" +
          std::to_string(max_header_bytes) +
          R"(,"maxBodyBytes":1048576,"headerTimeoutS":3,"idleTimeoutS":15}})");
}

call_result world::Call(int port,
                        const std::string& method,
                        const std::string& path,
                        milliseconds deadline,
                        const std::string& body) {
  call_result result;
  {
    const std::lock_guard lock(mutex_);
    result.request = "a" + std::to_string(++calls_);
  }
  constexpr milliseconds kSlack{1'000};
  result.sent_at = clock::now();
  const std::optional<message> answer = Exchange(
      port,
      method + " " + path +
          " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + result.request +
          "\r\nRequest-Deadline-Ms: " + std::to_string(deadline.count()) +
          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
          body,
      deadline + kSlack);
  result.ended_at = clock::now();
  if (answer) {
    result.status = answer->status();
    result.body = answer->body;
    result.signature = answer->Header("response-signature");
  }
  return result;
}

std::vector<run_record> world::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

}  // namespace review
