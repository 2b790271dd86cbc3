#include <fmt/core.h>
#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include "dotterellead/logging.h"

namespace dotterellead::logging {

namespace {

// How often a blocked write checks whether the duty is stopping.
constexpr int kStopCheckIntervalMs = 200;

}  // namespace

log_duty::log_duty(log_settings settings)
    : settings_(settings), lines_(settings.queue_capacity) {}

log_duty::~log_duty() {
  constexpr milliseconds kDefaultTimeout{200};
  Stop(kDefaultTimeout);
}

void log_duty::Start() {
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(), "log");
  SetLogWriter([this](std::string line) { Enqueue(std::move(line)); });
}

void log_duty::Stop(milliseconds timeout) {
  if (!thread_.joinable())
    return;
  SetLogWriter({});
  const time_point deadline = std::chrono::steady_clock::now() + timeout;
  constexpr milliseconds kPollInterval{5};
  while (lines_.size() > 0 && std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(kPollInterval);
  is_stopping_ = true;
  lines_.Close();
  thread_.join();
}

void log_duty::Enqueue(std::string line) {
  if (!lines_.TryPush(std::move(line)))
    ++dropped_count_;
}

bool log_duty::IsWithinByteRate(std::size_t size) {
  const time_point now = std::chrono::steady_clock::now();
  constexpr std::chrono::seconds kSecond{1};
  if (now - interval_start_ >= kSecond) {
    interval_start_ = now;
    interval_bytes_ = 0;
  }
  interval_bytes_ += size;
  return interval_bytes_ <= settings_.max_bytes_per_second.value;
}

void log_duty::Run() {
  std::uint64_t reported = 0;
  constexpr std::chrono::hours kMaxSleep{1};
  while (true) {
    const std::optional<std::string> line =
        lines_.PopUntil(std::chrono::steady_clock::now() + kMaxSleep);
    if (!line) {
      if (lines_.is_closed())
        return;
      continue;
    }
    if (!IsWithinByteRate(line->size())) {
      ++dropped_count_;
      continue;
    }
    const std::uint64_t dropped = dropped_count_;
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
  while (written < line.size() && !is_stopping_) {
    pollfd ready{settings_.descriptor, POLLOUT, 0};
    if (poll(&ready, 1, kStopCheckIntervalMs) <= 0)
      continue;
    const ssize_t n = write(settings_.descriptor, line.data() + written,
                            line.size() - written);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
      ++dropped_count_;
      return;
    }
    if (n > 0)
      written += static_cast<std::size_t>(n);
  }
}

}  // namespace dotterellead::logging
