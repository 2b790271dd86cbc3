#include "host.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

// Below the range from which the system takes ports for outgoing connections,
// and from a place that differs between processes.
int TakeFreePort() {
  constexpr int kFirst = 15'000;
  constexpr int kCount = 15'000;
  constexpr int kStride = 97;
  static int next = static_cast<int>(getpid()) * kStride % kCount;
  for (int tries = 0; tries < kCount; ++tries) {
    int port = kFirst + next;
    next = (next + 1) % kCount;
    try {
      const socket_handle listener = Listen(port);
      return port;
    } catch (const std::runtime_error&) {
      continue;  // In use.
    }
  }
  throw std::runtime_error("no free port");
}

host::host(host_settings settings)
    : settings_(std::move(settings)),
      front_(TakeFreePort()),
      ready_(TakeFreePort()),
      peers_(TakeFreePort()),
      metrics_(TakeFreePort()) {}

host::~host() {
  if (!IsRunning())
    return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
}

// The template platform/entry.conf with the values of a small deployment.
std::string host::SettingsText() const {
  std::string seeds;
  for (const int port : settings_.seeds)
    seeds += (seeds.empty() ? "\"" : ",\"") + Address(port) + "\"";
  std::ostringstream text;
  text << "host=\"" << settings_.name << "\"\ndata-centre=\"" << settings_.zone
       << "\"\nfront=\"" << Address(front_) << "\"\nready=\"" << Address(ready_)
       << "\"\nmetrics=\"" << Address(metrics_) << "\"\nstore=\""
       << Address(settings_.store_port)
       << "\"\nconfig-s=2\nstrict-revocation=\nrevoke-s=\ndrain-s=2\n"
          "stop-s=6\nrepeat-ratio=0.2\nrepeat-window-s=10\nrepeat-slack=62\n"
       << "peers=\"" << Address(peers_) << "\"\nseeds=[" << seeds
       << "]\nprobes-per-s=60\nexpose-share=0.1\nexpose-slack=50\nmemory-mb="
       << settings_.memory_mb
       << "\nmax-fds=4100\nfirst-start=false\noperations=\"\"\n"
          "usage-window-s=\nusage-late-s=\nlease-s=\nrequire-fencing=\n";
  return text.str();
}

std::string host::log_file() const {
  return settings_.folder + "/" + settings_.name + ".log";
}

void host::Start() {
  const std::string file = settings_.folder + "/" + settings_.name + ".conf";
  std::ofstream(file) << SettingsText();
  // All that the child needs is made before the fork: other threads may hold
  // locks.
  std::string boot = "DOTTERELLEAD_BOOT=" + file;
  std::string path = "PATH=/usr/bin:/bin";
  std::string program = "target/apps/dotterellead/dotterellead";
  std::string role = "entry";
  std::array<char*, 3> words = {program.data(), role.data(), nullptr};
  std::array<char*, 3> variables = {path.data(), boot.data(), nullptr};
  const int out =
      open(log_file().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const pid_t child = fork();
  if (child < 0)
    throw std::runtime_error("cannot start a process");
  if (child == 0) {
    dup2(out, 1);
    dup2(out, 2);
    execve(words[0], words.data(), variables.data());
    _exit(127);
  }
  close(out);
  pid_ = child;
}

void host::Signal(int signal) const {
  if (pid_ > 0)
    kill(pid_, signal);
}

bool host::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
    pid_ = 0;
  return pid_ > 0;
}

bool host::IsReady() const {
  constexpr milliseconds kTimeout{500};
  const std::optional<message> answer =
      Exchange(ready_, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", kTimeout);
  return answer && answer->status() == 200;
}

bool host::WaitReady(milliseconds timeout) const {
  constexpr milliseconds kInterval{50};
  const time_point end = clock::now() + timeout;
  while (clock::now() < end) {
    if (IsReady())
      return true;
    std::this_thread::sleep_for(kInterval);
  }
  return false;
}

long host::ResidentKb() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  while (status >> word)
    if (word == "VmRSS:") {
      long value = 0;
      status >> value;
      return value;
    }
  return 0;
}

}  // namespace review
