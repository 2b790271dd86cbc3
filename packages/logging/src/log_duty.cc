#include <fmt/core.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include "dotterellead/logging.h"

namespace dotterellead::logging {

namespace {

// How often a writer that waits for the log's reader looks whether it must end.
constexpr int kPollMillis = 200;

}  // namespace

log_duty::log_duty(log_settings settings)
    : settings_(settings), lines_(settings.waiting_lines) {}

log_duty::~log_duty() {
  constexpr milliseconds kDefaultLimit{200};
  Stop(kDefaultLimit);
}

void log_duty::Start() {
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(), "log");
  SetLogWriter([this](std::string line) { Take(std::move(line)); });
}

void log_duty::Stop(milliseconds limit) {
  if (!thread_.joinable())
    return;
  SetLogWriter({});
  const time_point ends = std::chrono::steady_clock::now() + limit;
  constexpr milliseconds kStep{5};
  while (lines_.size() > 0 && std::chrono::steady_clock::now() < ends)
    std::this_thread::sleep_for(kStep);
  must_end_ = true;
  lines_.Close();
  thread_.join();
}

void log_duty::Take(std::string line) {
  if (!lines_.TryPush(std::move(line)))
    ++dropped_;
}

bool log_duty::IsWithinRate(std::size_t size) {
  const time_point now = std::chrono::steady_clock::now();
  constexpr std::chrono::seconds kSecond{1};
  if (now - second_begins_ >= kSecond) {
    second_begins_ = now;
    second_bytes_ = 0;
  }
  second_bytes_ += size;
  return second_bytes_ <= settings_.bytes_per_second.value;
}

void log_duty::Run() {
  std::uint64_t reported = 0;
  constexpr std::chrono::hours kForever{1};
  while (true) {
    const std::optional<std::string> line =
        lines_.PopUntil(std::chrono::steady_clock::now() + kForever);
    if (!line) {
      if (lines_.is_closed())
        return;
      continue;
    }
    if (!IsWithinRate(line->size())) {
      ++dropped_;
      continue;
    }
    const std::uint64_t dropped = dropped_;
    if (dropped != reported) {
      Write(FormatLogLine(system_clock_source().Now().wall, log_level::kWarning,
                          "log-lines-dropped",
                          {{"total", fmt::format("{}", dropped)}}) +
            "\n");
      reported = dropped;
    }
    Write(*line);
  }
}

void log_duty::Write(const std::string& line) {
  std::size_t written = 0;
  while (written < line.size() && !must_end_) {
    pollfd ready{settings_.descriptor, POLLOUT, 0};
    if (poll(&ready, 1, kPollMillis) <= 0)
      continue;
    const ssize_t n = write(settings_.descriptor, line.data() + written,
                            line.size() - written);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      ++dropped_;
      return;
    }
    if (n > 0)
      written += static_cast<std::size_t>(n);
  }
}

}  // namespace dotterellead::logging
