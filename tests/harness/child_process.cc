#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <thread>

#include "harness.h"

extern char** environ;

namespace dotterellead::harness {
namespace {

std::vector<char*> Pointers(const std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (const std::string& text : texts)
    pointers.push_back(const_cast<char*>(text.c_str()));
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

child_process::child_process(const std::vector<std::string>& command,
                             const std::vector<std::string>& environment,
                             const std::string& log_file) {
  std::vector<std::string> variables = environment;
  for (char** v = environ; *v != nullptr; ++v)
    variables.emplace_back(*v);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  const int problem =
      posix_spawn(&pid_, command[0].c_str(), &files, nullptr,
                  Pointers(command).data(), Pointers(variables).data());
  posix_spawn_file_actions_destroy(&files);
  if (problem != 0) {
    throw unavailable_error("cannot start " + command[0],
                            "build all targets first");
  }
}

child_process::~child_process() {
  if (!is_running())
    return;
  Signal(SIGKILL);
  WaitForExit(milliseconds(5'000));
}

void child_process::Signal(int signal) const {
  if (!exit_code_)
    kill(pid_, signal);
}

bool child_process::is_running() {
  return !WaitForExit(milliseconds(0)).has_value();
}

std::optional<int> child_process::WaitForExit(milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!exit_code_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      exit_code_ =
          WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  return exit_code_;
}

bool WaitFor(milliseconds timeout, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end)
      return false;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return true;
}

}  // namespace dotterellead::harness
