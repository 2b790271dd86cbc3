#include "world.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace standins {

namespace {

// Bounds of the site file's family; see entry.conf for their names.
constexpr double kHeartbeatS = 1.5;
constexpr double kReadyIntervalS = 1.0;
constexpr double kRestartDelayS = 0.3;

std::int64_t UnixMillis() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
      .count();
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    text += static_cast<char>(value >> shift & 0xff);
  return text;
}

std::string Base64(const std::string& bytes) {
  static const char digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                    : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
  }
  return text;
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
    at = next;
  }
  return query;
}

std::string Response(const std::string& status, std::string body = "{}") {
  http_message m;
  m.start = "HTTP/1.1 " + status;
  m.body = std::move(body);
  return m.Format();
}

std::string Format(const char* format, ...) {
  char text[1024];
  va_list arguments;
  va_start(arguments, format);
  vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  return text;
}

}  // namespace

// ---- Record

void event_record::Add(const std::string& line) {
  std::lock_guard lock(mutex_);
  lines_.emplace_back(Now(), line);
}

void event_record::Write(const std::string& path) const {
  std::lock_guard lock(mutex_);
  std::ofstream file(path);
  for (const auto& [time, line] : lines_)
    file << Format("%9.3f ", time) << line << '\n';
}

// ---- Store

store::store() : at_{"127.0.0.1", FreePort("127.0.0.1")} {
  listener_ = std::make_unique<listener>(
      at_, [this](connection& caller) { Serve(caller); });
}

std::uint64_t store::Put(const std::string& topic,
                         const std::string& key,
                         const std::string& value) {
  std::lock_guard lock(mutex_);
  return Append(topic, key, value);
}

std::uint64_t store::Append(const std::string& topic,
                            const std::string& key,
                            const std::string& value) {
  topic_log& log = topics_[topic];
  log.records.push_back({key, value});
  const std::uint64_t offset = log.records.size() - 1;
  if (value.empty())
    log.newest.erase(key);
  else
    log.newest[key] = offset;
  appended_.notify_all();
  return offset;
}

std::string store::Newest(const std::string& topic, const std::string& key) {
  std::lock_guard lock(mutex_);
  const topic_log& log = topics_[topic];
  const auto it = log.newest.find(key);
  return it == log.newest.end() ? std::string() : log.records[it->second].value;
}

void store::Serve(connection& caller) {
  http_message request;
  while (caller.Read(request, Now() + idle_timeout_s, true))
    if (!caller.Write(Answer(request)))
      return;
}

std::string store::Answer(const http_message& request) {
  const std::string target = request.target();
  auto query = Query(target);
  const std::string topic = query["topic"];
  if (is_down)
    return Response("503 Service Unavailable");
  if (target.starts_with("/log-newest")) {
    std::lock_guard lock(mutex_);
    const topic_log& log = topics_[topic];
    std::string items;
    for (const auto& [key, offset] : log.newest)
      items += Format("%s{\"key\":\"%s\",\"offset\":%llu,\"value\":\"",
                      items.empty() ? "" : ",", key.c_str(),
                      static_cast<unsigned long long>(offset)) +
               Base64(log.records[offset].value) + "\"}";
    return Response("200 OK", "{\"items\":[" + items +
                                  "],\"hasMore\":false,\"end\":" +
                                  std::to_string(log.records.size()) + "}");
  }
  if (target.starts_with("/log-read")) {
    const std::uint64_t from = std::stoull("0" + query["from"]);
    const auto wait =
        std::chrono::milliseconds(std::stoul("0" + query["waitMs"]));
    std::unique_lock lock(mutex_);
    appended_.wait_for(lock, wait,
                       [&] { return topics_[topic].records.size() > from; });
    const topic_log& log = topics_[topic];
    std::string body = BigEndian(log.records.size(), 8) + BigEndian(0, 8);
    for (std::uint64_t at = from; at < log.records.size(); ++at) {
      const record& r = log.records[at];
      body += BigEndian(1 + r.key.size() + r.value.size(), 4);
      body += static_cast<char>(r.key.size());
      body += r.key + r.value;
    }
    return Response("200 OK", body);
  }
  if (target.starts_with("/log-append")) {
    std::lock_guard lock(mutex_);
    const std::uint64_t end = topics_[topic].records.size();
    if (query.contains("at") && std::stoull("0" + query["at"]) != end)
      return Response("412 Precondition Failed",
                      "{\"end\":" + std::to_string(end) + "}");
    const auto key_size = static_cast<unsigned char>(request.body.at(4));
    const std::uint64_t offset = Append(topic, request.body.substr(5, key_size),
                                        request.body.substr(5 + key_size));
    return Response("200 OK",
                    Format("{\"offset\":%llu,\"end\":%llu}",
                           static_cast<unsigned long long>(offset),
                           static_cast<unsigned long long>(offset) + 1));
  }
  return Response("404 Not Found");
}

// ---- Instances

void run_ledger::Arrived(const std::string& attempt,
                         const std::string& instance) {
  std::lock_guard lock(mutex_);
  attempt_runs& runs = attempts_[attempt];
  ++runs.arrivals;
  runs.instance = instance;
  runs.arrived_at = Now();
}

void run_ledger::Started(const std::string& attempt,
                         const std::string&,
                         const std::string& version) {
  std::lock_guard lock(mutex_);
  ++attempts_[attempt].runs;
  attempts_[attempt].version = version;
  starts_[version].push_back(Now());
}

void run_ledger::Finished(const std::string& attempt, int) {
  std::lock_guard lock(mutex_);
  ++attempts_[attempt].finished;
}

void run_ledger::Failed(const std::string& version) {
  std::lock_guard lock(mutex_);
  failures_[version].push_back(Now());
}

attempt_runs run_ledger::Of(const std::string& attempt) const {
  std::lock_guard lock(mutex_);
  const auto it = attempts_.find(attempt);
  return it == attempts_.end() ? attempt_runs() : it->second;
}

std::vector<double> run_ledger::StartsOf(const std::string& version) const {
  std::lock_guard lock(mutex_);
  const auto it = starts_.find(version);
  return it == starts_.end() ? std::vector<double>() : it->second;
}

std::vector<double> run_ledger::FailuresOf(const std::string& version) const {
  std::lock_guard lock(mutex_);
  const auto it = failures_.find(version);
  return it == failures_.end() ? std::vector<double>() : it->second;
}

instance::instance(store& registry,
                   run_ledger& ledger,
                   event_record& record,
                   std::string id,
                   instance_settings settings)
    : registry_(registry),
      ledger_(ledger),
      record_(record),
      id_(std::move(id)),
      settings_(std::move(settings)),
      at_{"127.0.0.1", FreePort("127.0.0.1")},
      random_(std::hash<std::string>()(id_)) {
  Open();
  Register();
  reporting_ = std::thread([this] { Report(); });
}

instance::~instance() {
  Stop();
  reporting_.join();
}

void instance::Open() {
  born_ms_ = UnixMillis();
  sequence_ = 0;
  cold_until_ = Now() + settings_.warmup_s;
  const int life = ++life_;
  {
    std::lock_guard lock(mutex_);
    running_ = 0;
    waiting_ = 0;
  }
  listener_ = std::make_unique<listener>(
      at_, [this, life](connection& caller) { Serve(caller, life); });
}

void instance::Stop() {
  if (is_stopped_.exchange(true))
    return;
  registry_.Put("keyed.servers", id_, "");
  record_.Add("instance " + id_ + " stops");
  ++life_;
  slot_free_.notify_all();
  if (listener_)
    listener_->Stop();
}

void instance::StartDraining() {
  is_draining_ = true;
  record_.Add("instance " + id_ + " reports draining");
  Register();
}

void instance::Crash(double down_s) {
  record_.Add("instance " + id_ + " crashes");
  back_at_ = Now() + down_s;
  ++life_;
  slot_free_.notify_all();
}

void instance::Register() {
  ++sequence_;
  registry_.Put("keyed.servers", id_,
                Format("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                       "\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
                       "\"warmupLeftS\":%.3f,\"sequence\":%llu,\"born\":%lld}",
                       settings_.service.c_str(), at_.text().c_str(),
                       settings_.zone.c_str(), settings_.version.c_str(),
                       settings_.slots, is_draining_ ? "draining" : "ready",
                       std::max(0.0, cold_until_ - Now()),
                       static_cast<unsigned long long>(sequence_),
                       static_cast<long long>(born_ms_)));
}

void instance::Report() {
  double next = Now() + kHeartbeatS;
  while (!is_stopped_) {
    SleepFor(0.02);
    if (back_at_ > 0) {
      if (listener_)
        listener_.reset();
      if (Now() < back_at_)
        continue;
      back_at_ = 0;
      Open();
      record_.Add("instance " + id_ + " is back");
      Register();
    }
    if (Now() < next)
      continue;
    next = Now() + kHeartbeatS;
    Register();
  }
}

std::string instance::Load() {
  std::lock_guard lock(mutex_);
  return Format("%d,%d,%d,100", running_, waiting_, settings_.slots);
}

void instance::Serve(connection& caller, int life) {
  http_message request;
  while (life == life_ && caller.Read(request, Now() + 10, true)) {
    if (life != life_)
      break;
    http_message answer;
    const std::string attempt = request.Header("Attempt-Id");
    if (!attempt.empty())
      answer.headers.emplace_back("Attempt-Id", attempt);
    answer.headers.emplace_back("Instance-Id", id_);
    const std::string expected = request.Header("Expect-Instance");
    if (!expected.empty() && expected != id_) {
      answer.start = "HTTP/1.1 421 Misdirected Request";
      answer.headers.emplace_back("Not-Executed", "1");
      caller.Write(answer.Format());
      continue;
    }
    if (request.target() == "/health") {
      answer.start =
          is_draining_ ? "HTTP/1.1 503 Service Unavailable" : "HTTP/1.1 200 OK";
      answer.headers.emplace_back("Instance-Load", Load());
      if (IsColdAt(Now()))
        answer.headers.emplace_back(
            "Warmup-Ms",
            std::to_string(static_cast<int>((cold_until_ - Now()) * 1000) + 1));
      caller.Write(answer.Format());
      continue;
    }
    ledger_.Arrived(attempt, id_);
    double work = 0;
    bool fails = false;
    {
      std::unique_lock lock(mutex_);
      if (running_ + waiting_ >= settings_.slots + settings_.queue) {
        lock.unlock();
        answer.start = "HTTP/1.1 503 Service Unavailable";
        answer.headers.emplace_back("Not-Executed", "1");
        answer.headers.emplace_back("Instance-Load", Load());
        caller.Write(answer.Format());
        continue;
      }
      ++waiting_;
      slot_free_.wait(
          lock, [&] { return life != life_ || running_ < settings_.slots; });
      if (life != life_)
        break;
      --waiting_;
      ++running_;
      work = std::uniform_real_distribution<double>(
          settings_.min_work_s, settings_.max_work_s)(random_);
      fails =
          std::uniform_real_distribution<double>(0, 1)(random_) < failing_share;
    }
    ledger_.Started(attempt, id_, settings_.version);
    record_.Add("instance " + id_ + " " + settings_.version + " runs " +
                attempt);
    if (!crashing_path.empty() && request.target() == crashing_path) {
      Crash(2);
      break;
    }
    const double ends = Now() + work;
    bool is_dropped = false;
    while (Now() < ends && life == life_ && !is_dropped) {
      SleepFor(std::min(0.005, ends - Now()));
      is_dropped = caller.IsClosedByPeer();
    }
    if (life != life_)
      break;
    {
      std::lock_guard lock(mutex_);
      --running_;
    }
    slot_free_.notify_all();
    if (is_dropped) {
      record_.Add("instance " + id_ + " drops " + attempt +
                  ": its connection was closed");
      break;
    }
    ledger_.Finished(attempt, fails ? 500 : 200);
    if (fails)
      ledger_.Failed(settings_.version);
    answer.start =
        fails ? "HTTP/1.1 500 Internal Server Error" : "HTTP/1.1 200 OK";
    answer.headers.emplace_back("Response-Signature", "signed-" + attempt);
    answer.headers.emplace_back("Instance-Load", Load());
    answer.body = "answer to " + attempt;
    record_.Add("instance " + id_ + " answers " + attempt + " with " +
                (fails ? "500" : "200"));
    if (!caller.Write(answer.Format()))
      break;
  }
}

// ---- Entry hosts

entry_host::entry_host(host_settings settings,
                       std::string ip,
                       std::string folder)
    : settings_(std::move(settings)), folder_(std::move(folder)) {
  for (address* a : {&front, &ready, &control, &metrics})
    *a = {ip, FreePort(ip)};
}

entry_host::~entry_host() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  kill(pid_, SIGCONT);
  waitpid(pid_, nullptr, 0);
}

void entry_host::Start(const address& store_at,
                       const std::vector<address>& seeds,
                       bool is_first_start) {
  const std::string file = folder_ + "/" + settings_.name + ".conf";
  std::string seed_list;
  for (const address& seed : seeds)
    seed_list += (seed_list.empty() ? "\"" : ",\"") + seed.text() + "\"";
  // The lines of platform/entry.conf, with the bounds of the small sites.
  std::ofstream(file) << "host=\"" << settings_.name << "\"\ndata-centre=\""
                      << settings_.zone << "\"\nfront=\"" << front.text()
                      << "\"\nready=\"" << ready.text() << "\"\nmetrics=\""
                      << metrics.text() << "\"\nstore=\"" << store_at.text()
                      << "\"\nconfig-s=2\ndrain-s=2\nstop-s=6\n"
                         "repeat-ratio=0.2\nrepeat-window-s=10\n"
                         "repeat-slack=62\npeers=\""
                      << control.text() << "\"\nseeds=[" << seed_list
                      << "]\nprobes-per-s=60\nexpose-share=0.1\n"
                         "expose-slack=50\nfirst-start="
                      << (is_first_start ? "true" : "false") << "\n";
  const std::string log = folder_ + "/" + settings_.name + ".log";
  const std::string variable = "DOTTERELLEAD_BOOT=" + file;
  const std::string path = std::string("PATH=") + std::getenv("PATH");
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(127);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    const char* binary = "target/apps/dotterellead/dotterellead";
    char* const arguments[] = {const_cast<char*>(binary),
                               const_cast<char*>("entry"), nullptr};
    char* const environment[] = {const_cast<char*>(variable.c_str()),
                                 const_cast<char*>(path.c_str()), nullptr};
    execve(binary, arguments, environment);
    _exit(127);
  }
  if (child < 0)
    throw std::runtime_error("cannot start " + settings_.name);
  pid_ = child;
}

void entry_host::Signal(int signal) {
  if (pid_ > 0)
    kill(pid_, signal);
}

bool entry_host::IsRunning() {
  if (pid_ <= 0)
    return false;
  if (waitpid(pid_, &exit_status_, WNOHANG) == 0)
    return true;
  pid_ = -1;
  return false;
}

// ---- Balancer

balancer::balancer(std::vector<std::unique_ptr<entry_host>>& hosts)
    : hosts_(hosts), in_rotation_(hosts.size()) {
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    checking_.emplace_back([this, i] { Check(i); });
}

balancer::~balancer() {
  is_stopped_ = true;
  for (std::thread& t : checking_)
    t.join();
}

void balancer::Check(std::size_t host) {
  int misses = 0;
  double next = Now();
  while (!is_stopped_) {
    if (Now() < next) {
      SleepFor(0.02);
      continue;
    }
    next += kReadyIntervalS;
    connection to;
    http_message answer;
    const double deadline = Now() + kReadyIntervalS * 0.9;
    const bool is_ready =
        to.Connect(hosts_[host]->ready, deadline) &&
        to.Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        to.Read(answer, deadline, false) && answer.status() == 200;
    misses = is_ready ? 0 : misses + 1;
    if (is_ready)
      in_rotation_[host] = true;
    else if (misses >= 2)
      in_rotation_[host] = false;
  }
}

entry_host& balancer::Choose(const std::string& zone, std::uint64_t draw) {
  std::vector<std::size_t> in_zone, ready_in_zone, ready, all;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    all.push_back(i);
    const bool is_local = hosts_[i]->settings().zone == zone;
    if (is_local)
      in_zone.push_back(i);
    if (!in_rotation_[i])
      continue;
    ready.push_back(i);
    if (is_local)
      ready_in_zone.push_back(i);
  }
  const std::vector<std::size_t>* choice = &ready_in_zone;
  if (ready_in_zone.empty())
    choice = ready.empty() ? &all : &ready;
  else if (2 * ready_in_zone.size() < in_zone.size())
    choice = &in_zone;
  return *hosts_[(*choice)[draw % choice->size()]];
}

// ---- Requesters

std::string NewAttemptId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  std::lock_guard lock(mutex);
  return Format("%016llx", static_cast<unsigned long long>(random()));
}

std::string attempt_result::text() const {
  std::string outcome = "status " + std::to_string(status);
  if (!is_connected)
    outcome = "no connection";
  else if (is_cut)
    outcome = "connection ended without an answer";
  else if (is_timed_out)
    outcome = "no answer before the deadline";
  return Format("requester %s to %s, sent at %.3f, after %.0f ms: ", id.c_str(),
                host.c_str(), sent_at, (ended_at - sent_at) * 1000) +
         outcome;
}

attempt_result SendAttempt(entry_host& host,
                           connection& kept,
                           const attempt_settings& settings) {
  attempt_result result;
  result.id = NewAttemptId();
  result.host = host.settings().name;
  const double started = Now();
  const double deadline = started + settings.deadline_s;
  if (kept.IsClosedByPeer())
    kept.Close();
  if (!kept.is_open() &&
      !kept.Connect(host.front, std::min(deadline, started + 1))) {
    result.ended_at = Now();
    return result;
  }
  result.is_connected = true;
  http_message request;
  request.start = settings.method + " " + settings.path + " HTTP/1.1";
  request.headers = {
      {"Host", settings.host},
      {"Attempt-Id", result.id},
      {"Request-Deadline-Ms",
       std::to_string(static_cast<int>((deadline - Now()) * 1000))}};
  request.body = settings.body;
  result.sent_at = Now();
  http_message answer;
  const bool is_answered =
      kept.Write(request.Format()) && kept.Read(answer, deadline, false);
  result.ended_at = Now();
  if (!is_answered) {
    result.is_timed_out = result.ended_at >= deadline - 0.005;
    result.is_cut = !result.is_timed_out;
    kept.Close();
    return result;
  }
  result.status = answer.status();
  result.signature = answer.Header("Response-Signature");
  result.answer_id = answer.Header("Attempt-Id");
  result.body = answer.body;
  if (strcasecmp(answer.Header("Connection").c_str(), "close") == 0)
    kept.Close();
  return result;
}

// ---- Deployment

deployment::deployment(deployment_settings settings, std::string folder)
    : settings_(std::move(settings)), folder_(std::move(folder)) {
  int number = 0;
  for (const host_settings& host : settings_.hosts)
    hosts.push_back(std::make_unique<entry_host>(
        host, "127.0.10." + std::to_string(++number), folder_));
}

deployment::~deployment() {
  is_stopping_ = true;
  if (restarting_.joinable())
    restarting_.join();
  rotation.reset();
  hosts.clear();
  instances.clear();
}

std::vector<address> deployment::Seeds() const {
  std::vector<address> seeds;
  for (std::size_t i = 0; i < hosts.size() && i < 3; ++i)
    seeds.push_back(
        hosts[settings_.are_seeds_first
                  ? i
                  : i * hosts.size() / std::min<std::size_t>(3, hosts.size())]
            ->control);
  return seeds;
}

void deployment::PutConfiguration(int version, const std::string& service) {
  std::set<std::string> services;
  for (const instance_settings& i : settings_.instances)
    services.insert(i.service);
  std::string service_rows;
  for (const std::string& name : services)
    service_rows += Format("%s[\"%s\",\"/health\",3,2.7,260]",
                           service_rows.empty() ? "" : ",", name.c_str());
  registry.Put(
      "keyed.op", "config",
      Format("{\"version\":\"%08x\",\"routes\":{\"columns\":[\"name\",\"host\","
             "\"pathPrefix\",\"service\",\"type\",\"timeoutS\","
             "\"targetLatencyS\",\"priority\",\"maxAttempts\"],\"rows\":[[\""
             "pay\",\"shop.example\",\"/pay/\",\"%s\",\"%s\",%g,%g,0,%d]]},",
             version, service.c_str(), settings_.route_type.c_str(),
             settings_.timeout_s, settings_.latency_target_s,
             settings_.max_attempts) +
          "\"services\":{\"columns\":[\"name\",\"healthPath\",\"warmupS\","
          "\"warmupPerS\",\"maxConnections\"],\"rows\":[" +
          service_rows +
          "]},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
          "\"headerTimeoutS\":5,\"idleTimeoutS\":10}}");
}

instance& deployment::AddInstance(instance_settings settings) {
  instances.push_back(std::make_unique<instance>(
      registry, ledger, record, "i-" + std::to_string(++instance_count_),
      std::move(settings)));
  return *instances.back();
}

void deployment::OrderMove(const std::string& service,
                           const std::string& version,
                           double duration_s) {
  registry.Put("keyed.op", "rollout/" + service,
               Format("{\"service\":\"%s\",\"targetVersion\":\"%s\","
                      "\"durationS\":%g}",
                      service.c_str(), version.c_str(), duration_s));
  record.Add("order: " + service + " moves to " + version);
}

std::string deployment::MoveState(const std::string& service,
                                  const std::string& version) {
  const std::string status =
      registry.Newest("keyed.status", "rollout/" + service);
  if (status.find("\"" + version + "\"") == std::string::npos)
    return {};
  for (const char* state : {"running", "completed", "rolled_back"})
    if (status.find("\"" + std::string(state) + "\"") != std::string::npos)
      return state;
  return {};
}

void deployment::Start() {
  PutConfiguration(1, settings_.instances.at(0).service);
  for (const instance_settings& i : settings_.instances)
    AddInstance(i);
  for (auto& host : hosts)
    host->Start(registry.at(), Seeds(), settings_.is_first_start);
  rotation = std::make_unique<balancer>(hosts);
  const double deadline = Now() + 10;
  for (std::size_t i = 0; i < hosts.size(); ++i)
    while (!rotation->IsInRotation(i)) {
      if (Now() > deadline || !hosts[i]->IsRunning())
        throw std::runtime_error("a host is not ready");
      SleepFor(0.05);
    }
  // Time to learn of all other hosts.
  SleepFor(2);
}

void deployment::RestartHost(std::size_t i) {
  hosts[i]->Start(registry.at(), Seeds(), false);
}

void deployment::KeepHostsRunning() {
  restarting_ = std::thread([this] {
    std::map<std::size_t, double> ended_at;
    while (!is_stopping_) {
      SleepFor(0.02);
      for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (gone.contains(hosts[i]->settings().name) || hosts[i]->IsRunning())
          continue;
        if (!ended_at.contains(i)) {
          ended_at[i] = Now();
          record.Add("host " + hosts[i]->settings().name + " ended, status " +
                     std::to_string(hosts[i]->exit_status()));
        }
        if (Now() < ended_at[i] + kRestartDelayS)
          continue;
        ended_at.erase(i);
        RestartHost(i);
        record.Add("host " + hosts[i]->settings().name + " started again");
      }
    }
  });
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

int RunCase(int argc,
            char** argv,
            bool (*scenario)(const std::string& folder,
                             const std::string& record_path)) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s FOLDER RECORD\n", argv[0]);
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  try {
    return scenario(argv[1], argv[2]) ? 0 : 1;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "the case could not run: %s\n", e.what());
    return 2;
  }
}

}  // namespace standins
