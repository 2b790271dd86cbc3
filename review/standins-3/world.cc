#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <cstdlib>
#include <cstring>

namespace world {

namespace {

const steady::time_point program_start = steady::now();
std::mutex record_mutex;
std::mutex run_table_mutex;
std::map<std::string, run_times> run_table;
std::ofstream record_file;

sockaddr_in Loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    text += static_cast<char>(value >> shift & 0xff);
  return text;
}

std::string Base64(const std::string& in) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t v = 0;
    for (std::size_t k = 0; k < 3; ++k)
      v = v << 8 |
          (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0);
    for (int k = 3; k >= 0; --k)
      out += digits[v >> (6 * k) & 63];
  }
  for (std::size_t k = 0; k < (3 - in.size() % 3) % 3; ++k)
    out[out.size() - 1 - k] = '=';
  return out;
}

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
    at = next;
  }
  return query;
}

}  // namespace

long Now() {
  return std::chrono::duration_cast<ms>(steady::now() - program_start).count();
}
void SleepMs(long t) {
  std::this_thread::sleep_for(ms(t));
}
bool IsCalm() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble != nullptr && std::string(trouble) == "0";
}

void OpenRecord(const std::string& path) {
  std::lock_guard lock(record_mutex);
  record_file.open(path, std::ios::trunc);
}
void Record(const std::string& line) {
  std::lock_guard lock(record_mutex);
  record_file << Now() << ' ' << line << '\n';
  record_file.flush();
}

int FreePort() {
  // Below the range from which the kernel takes ports of its own.
  static int next = 12000 + static_cast<int>(getpid() * 131 % 19000);
  for (int tries = 0; tries < 2000; ++tries, ++next) {
    if (next > 31000)
      next = 12000;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in a = Loopback(next);
    const bool is_free =
        bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0;
    close(fd);
    if (is_free)
      return next++;
  }
  return 0;
}

// ---- HTTP

std::string http_message::Header(const std::string& name) const {
  for (const auto& [n, v] : headers)
    if (strcasecmp(n.c_str(), name.c_str()) == 0)
      return v;
  return {};
}
int http_message::status() const {
  return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}
std::string http_message::method() const {
  return start.substr(0, start.find(' '));
}
std::string http_message::target() const {
  const std::size_t a = start.find(' ');
  return start.substr(a + 1, start.rfind(' ') - a - 1);
}

connection::~connection() {
  close(fd_);
}
void connection::Reset() {
  const linger l{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}
bool connection::Fill(steady::time_point deadline) {
  const auto left =
      std::chrono::duration_cast<ms>(deadline - steady::now()).count();
  pollfd p{fd_, POLLIN, 0};
  if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0)
    return false;
  char part[16384];
  const ssize_t n = recv(fd_, part, sizeof part, 0);
  if (n <= 0)
    return false;
  buffer_.append(part, static_cast<std::size_t>(n));
  return true;
}
bool connection::Read(http_message& m,
                      long timeout,
                      bool is_response,
                      bool has_no_body) {
  const auto deadline = steady::now() + ms(timeout);
  std::size_t end;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    if (!Fill(deadline))
      return false;
  m = {};
  std::size_t at = buffer_.find("\r\n");
  m.start = buffer_.substr(0, at);
  while (at < end) {
    at += 2;
    const std::size_t line_end = buffer_.find("\r\n", at);
    const std::string line = buffer_.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::size_t v = colon + 1;
      while (v < line.size() && line[v] == ' ')
        ++v;
      m.headers.emplace_back(line.substr(0, colon), line.substr(v));
    }
    at = line_end;
  }
  buffer_.erase(0, end + 4);
  const std::string length = m.Header("Content-Length");
  if (is_response && (has_no_body || m.status() == 204 || m.status() == 304))
    return true;
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size)
    if (!Fill(deadline))
      return false;
  m.body = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}
bool connection::Write(const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

std::unique_ptr<connection> Connect(int port, long timeout) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto c = std::make_unique<connection>(fd);
  const sockaddr_in a = Loopback(port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || poll(&p, 1, static_cast<int>(timeout)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
      return nullptr;
  }
  fcntl(fd, F_SETFL, 0);
  return c;
}

server::server(int port, std::function<void(connection&)> serve)
    : serve_(std::move(serve)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const sockaddr_in a = Loopback(port);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 ||
      listen(fd_, 512) != 0) {
    Record("cannot listen on port " + std::to_string(port));
    std::_Exit(2);
  }
  thread_ = std::thread([this] { Run(); });
}
server::~server() {
  is_closed_ = true;
  shutdown(fd_, SHUT_RDWR);
  thread_.join();
  close(fd_);
}
void server::Run() {
  while (!is_closed_) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (is_closed_)
        return;
      SleepMs(5);
      continue;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::thread([serve = serve_, fd] {
      connection c(fd);
      serve(c);
    }).detach();
  }
}

// ---- Store

store::store(int port) : port_(port) {
  server_ = std::make_unique<server>(port, [this](connection& c) { Serve(c); });
}

std::uint64_t store::Append(log& l, record r) {
  const std::uint64_t offset = l.records.size();
  if (r.value)
    l.newest[r.key] = {offset, *r.value};
  else
    l.newest.erase(r.key);
  l.records.push_back(std::move(r));
  changed_.notify_all();
  return offset;
}

std::uint64_t store::Put(const std::string& topic,
                         const std::string& key,
                         const std::optional<std::string>& value) {
  std::lock_guard lock(mutex_);
  return Append(topics_[topic], {key, value});
}

std::optional<std::string> store::Newest(const std::string& topic,
                                         const std::string& key) {
  std::lock_guard lock(mutex_);
  const auto& newest = topics_[topic].newest;
  const auto it = newest.find(key);
  return it == newest.end() ? std::nullopt : std::optional(it->second.second);
}

void store::Serve(connection& c) {
  http_message request;
  while (c.Read(request, 20'000, false))
    if (!c.Write(Answer(request)))
      return;
}

std::string store::Answer(const http_message& request) {
  const auto reply = [](const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  };
  const std::string target = request.target();
  auto query = Query(target);
  std::unique_lock lock(mutex_);
  log& l = topics_[query["topic"]];
  const auto end = [&l] {
    return static_cast<std::uint64_t>(l.records.size());
  };
  if (target.starts_with("/log-newest")) {
    std::string body = "{\"items\":[";
    for (const auto& [key, newest] : l.newest)
      body += std::string(body.back() == '[' ? "" : ",") + "{\"key\":\"" +
              Escape(key) + "\",\"offset\":" + std::to_string(newest.first) +
              ",\"value\":\"" + Base64(newest.second) + "\"}";
    return reply("200 OK", body + "],\"hasMore\":false,\"end\":" +
                               std::to_string(end()) + "}");
  }
  if (target.starts_with("/log-read")) {
    const std::uint64_t from = std::stoull("0" + query["from"]);
    if (from > end())
      return reply("410 Gone", "{\"first\":0}");
    changed_.wait_for(lock, ms(std::stol("0" + query["waitMs"])),
                      [&] { return end() > from; });
    std::string body = BigEndian(end(), 8) + BigEndian(0, 8);
    for (std::uint64_t i = from; i < end(); ++i) {
      const record& r = l.records[i];
      const std::string value = r.value.value_or("");
      body += BigEndian(1 + r.key.size() + value.size(), 4);
      body += static_cast<char>(r.key.size());
      body += r.key + value;
    }
    return reply("200 OK", body);
  }
  if (target.starts_with("/log-append")) {
    if (query.count("at") != 0 && std::stoull("0" + query["at"]) != end())
      return reply("412 Precondition Failed",
                   "{\"end\":" + std::to_string(end()) + "}");
    const std::uint64_t first = end();
    std::string_view left = request.body;
    while (left.size() > 5) {
      std::uint64_t length = 0;
      for (int i = 0; i < 4; ++i)
        length = length << 8 |
                 static_cast<unsigned char>(left[static_cast<std::size_t>(i)]);
      const std::string content(left.substr(4, length));
      left.remove_prefix(std::min<std::size_t>(left.size(), 4 + length));
      const std::size_t key = static_cast<unsigned char>(content[0]);
      const std::string value = content.substr(1 + key);
      Append(l, {content.substr(1, key),
                 value.empty() ? std::nullopt : std::optional(value)});
    }
    return reply("200 OK", "{\"offset\":" + std::to_string(first) +
                               ",\"end\":" + std::to_string(end()) + "}");
  }
  return reply("404 Not Found", "{}");
}

// ---- Instances

run_times RunsOf(const std::string& id) {
  std::lock_guard lock(run_table_mutex);
  const auto it = run_table.find(id);
  return it == run_table.end() ? run_times() : it->second;
}

instance::instance(store& s, instance_options o)
    : store_(s), o_(std::move(o)), port_(FreePort()) {
  born_ = std::chrono::duration_cast<ms>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  server_ =
      std::make_unique<server>(port_, [this](connection& c) { Serve(c); });
  store_.Put("keyed.servers", o_.id, Entry());
  reported_at_ = Now();
  reports_ = std::thread([this] {
    constexpr long kHeartbeat = 1'500;
    long next = reported_at_ + kHeartbeat;
    while (!is_ended_) {
      SleepMs(10);
      if (Now() >= next) {
        next += kHeartbeat;
        if (!is_cut_off_) {
          store_.Put("keyed.servers", o_.id, Entry());
          reported_at_ = Now();
          removed_at_ = -1;
        }
      }
      if (removed_at_ < 0 && Now() >= reported_at_ + 3 * kHeartbeat) {
        store_.Put("keyed.servers", o_.id, std::nullopt);
        removed_at_ = Now();
        Record("the store removes the entry of " + o_.id);
      }
    }
  });
}
instance::~instance() {
  is_ended_ = true;
  reports_.join();
}
std::string instance::Entry() {
  return "{\"service\":\"" + o_.service +
         "\",\"address\":\"127.0.0.1:" + std::to_string(port_) +
         "\",\"zone\":\"" + o_.zone + "\",\"version\":\"" + o_.version +
         "\",\"slots\":" + std::to_string(o_.slots) +
         ",\"state\":\"ready\",\"warmupLeftS\":0,\"sequence\":" +
         std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) +
         "}";
}
void instance::Serve(connection& c) {
  http_message request;
  while (!is_ended_ && c.Read(request, 10'000, false)) {
    const std::string id = request.Header("Attempt-Id");
    const std::string expected = request.Header("Expect-Instance");
    std::string status = "200 OK", more, body;
    if (!id.empty())
      more += "Attempt-Id: " + id + "\r\n";
    if (!expected.empty() && expected != o_.id) {
      status = "421 Misdirected Request";
      more += "Not-Executed: 1\r\n";
    } else if (request.target() != "/health") {
      if (id.empty()) {
        status = "400 Bad Request";
        more += "Not-Executed: 1\r\n";
      } else if (running_ + waiting_ >= o_.slots + 4) {
        status = "503 Service Unavailable";
        more += "Not-Executed: 1\r\n";
      } else {
        ++waiting_;
        while (running_ >= o_.slots && !is_ended_)
          SleepMs(1);
        --waiting_;
        ++running_;
        ++runs_;
        Record("run " + id + " " + request.method() + " " + request.target() +
               " by " + o_.id);
        {
          std::lock_guard lock(run_table_mutex);
          run_times& times = run_table[id];
          ++times.runs;
          times.began = Now();
          times.by = o_.id;
        }
        SleepMs(o_.work);
        {
          std::lock_guard lock(run_table_mutex);
          run_table[id].ended = Now();
        }
        --running_;
        more += "Response-Signature: s-" + o_.id + "\r\n";
        body = "answer to " + id;
      }
    }
    const std::string load = std::to_string(running_) + "," +
                             std::to_string(waiting_) + "," +
                             std::to_string(o_.slots) + ",100";
    if (!c.Write("HTTP/1.1 " + status + "\r\nInstance-Id: " + o_.id +
                 "\r\nInstance-Load: " + load + "\r\n" + more +
                 "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                 body))
      return;
  }
}

// ---- Entry hosts

void WriteSettings(const host& h,
                   const std::vector<host>& all,
                   int store_port,
                   int grace) {
  const auto local = [](int port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  std::string seeds;
  for (std::size_t i = 0; i < all.size() && i < 3; ++i)
    seeds +=
        std::string(i == 0 ? "" : ",") + "\"" + local(all[i].control) + "\"";
  std::ofstream(h.settings_file)
      << "host=\"" << h.name << "\"\ndata-centre=\"" << h.zone << "\"\nfront=\""
      << local(h.front) << "\"\nready=\"" << local(h.ready) << "\"\nmetrics=\""
      << local(h.metrics) << "\"\nstore=\"" << local(store_port)
      << "\"\nconfig-s=2\nstrict-revocation=\nrevoke-s=\ndrain-s=2\nstop-s="
      << grace
      << "\nrepeat-ratio=0.2\nrepeat-window-s=10\nrepeat-slack=62\npeers=\""
      << local(h.control) << "\"\nseeds=[" << seeds
      << "]\nprobes-per-s=60\nexpose-share=0.1\nexpose-slack=50\nmemory-mb="
         "260\nmax-fds=4100\n"
      << "first-start=false\noperations=\"\"\nusage-window-s=\nusage-late-s="
         "\nlease-s=\n"
      << "require-fencing=\n";
}

void StartHost(host& h,
               const std::vector<host>& all,
               int store_port,
               const std::string& folder) {
  if (h.settings_file.empty()) {
    h.settings_file = folder + "/" + h.name + ".conf";
    WriteSettings(h, all, store_port);
  }
  const std::string log = folder + "/" + h.name + ".log";
  const std::string settings = "DOTTERELLEAD_BOOT=" + h.settings_file;
  h.pid = fork();
  if (h.pid == 0) {
    // The process ends with the stand-in, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    for (int fd = 3; fd < 1024; ++fd)
      close(fd);
    char program[] = "target/apps/dotterellead/dotterellead";
    char mode[] = "entry";
    char* argv[] = {program, mode, nullptr};
    std::string path = std::string("PATH=") +
                       (getenv("PATH") ? getenv("PATH") : "/usr/bin:/bin");
    std::string boot = settings;
    char* env[] = {path.data(), boot.data(), nullptr};
    execve(program, argv, env);
    _exit(127);
  }
  Record("start " + h.name + " pid " + std::to_string(h.pid));
}

void EndHosts(std::vector<host>& hosts) {
  for (host& h : hosts)
    if (h.pid > 0) {
      kill(h.pid, SIGCONT);
      kill(h.pid, SIGKILL);
    }
  for (host& h : hosts)
    if (h.pid > 0)
      waitpid(h.pid, nullptr, 0);
}

bool IsReady(const host& h) {
  const auto c = Connect(h.ready, 300);
  http_message m;
  return c && c->Write("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n") &&
         c->Read(m, 500, true) && m.status() == 200;
}

std::vector<host> MakeHosts(int count,
                            const std::function<std::string(int)>& zone) {
  std::vector<host> hosts(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    host& h = hosts[static_cast<std::size_t>(i)];
    h.name = "edge-" + std::to_string(i);
    h.zone = zone(i);
    h.front = FreePort(), h.ready = FreePort(), h.control = FreePort(),
    h.metrics = FreePort();
  }
  return hosts;
}

void AwaitReady(std::vector<host>& hosts) {
  const long began = Now();
  while (!std::all_of(hosts.begin(), hosts.end(), IsReady)) {
    if (Now() > began + 15'000) {
      Record("the hosts are not ready");
      EndHosts(hosts);
      std::_Exit(2);
    }
    SleepMs(50);
  }
}

std::string Configuration(int version,
                          const std::vector<route>& routes,
                          const std::vector<std::string>& services) {
  char hex[16];
  std::snprintf(hex, sizeof hex, "%08x", version);
  std::string text =
      std::string("{\"version\":\"") + hex +
      "\",\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"type\","
      "\"timeoutS\",\"targetLatencyS\",\"priority\",\"maxAttempts\","
      "\"service\"],"
      "\"rows\":[";
  for (const route& r : routes)
    text += std::string(text.back() == '[' ? "" : ",") + "[\"" + r.name +
            "\",\"h.example\",\"/" + r.name + "/\",\"" + r.type + "\"," +
            std::to_string(r.timeout) + "," + std::to_string(r.target) + ",1," +
            std::to_string(r.attempts) + ",\"" + r.service + "\"]";
  text +=
      "]},\"services\":{\"columns\":[\"name\",\"healthPath\","
      "\"maxConnections\",\"warmupS\","
      "\"warmupPerS\"],\"rows\":[";
  for (const std::string& s : services)
    text += std::string(text.back() == '[' ? "" : ",") + "[\"" + s +
            "\",\"/health\",260,1,5]";
  return text +
         "]},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,"
         "\"headerTimeoutS\":2,\"idleTimeoutS\":10}}";
}

// ---- Requesters

answer Ask(const host& h,
           const std::string& route,
           long deadline,
           const std::string& method,
           const std::string& body) {
  static std::atomic<int> next = 1;
  answer a;
  const long began = Now();
  a.id = "q" + std::to_string(getpid()) + "-" + std::to_string(next++);
  const auto c = Connect(h.front, std::min(1'000L, deadline));
  const std::string request =
      method + " /" + route +
      "/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + a.id +
      "\r\nRequest-Deadline-Ms: " + std::to_string(deadline) +
      (body.empty() ? ""
                    : "\r\nContent-Length: " + std::to_string(body.size())) +
      "\r\n\r\n" + body;
  if (c && c->Write(request) && c->Read(a.message, deadline, true))
    a.status = a.message.status();
  a.taken = Now() - began;
  Record("ask " + a.id + " " + method + " /" + route + "/x at " + h.name +
         " status " + std::to_string(a.status) + " after " +
         std::to_string(a.taken) + " ms");
  return a;
}

}  // namespace world
