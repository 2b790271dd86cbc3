// Writes log lines to a file descriptor on its own thread, so that no caller
// blocks on a slow reader of the log.
#ifndef DOTTERELLEAD_LOGGING_H_
#define DOTTERELLEAD_LOGGING_H_

#include <atomic>
#include <string>
#include <thread>

#include "dotterellead/core.h"

namespace dotterellead::logging {

// Settings of the log duty.
struct log_settings {
  int descriptor = 1;
  // Capacity of the queue in lines; further lines are dropped and counted.
  std::size_t queue_capacity = 256;
  // Maximum number of bytes per second; further lines are dropped and counted.
  byte_count max_bytes_per_second{256 << 10};
};

// Drops lines instead of blocking, and logs the number of dropped ones.
class log_duty {
 public:
  explicit log_duty(log_settings settings);
  ~log_duty();
  log_duty(const log_duty&) = delete;
  log_duty& operator=(const log_duty&) = delete;

  // Starts the thread and becomes the destination of LogEvent.
  void Start();
  // Writes the queued lines for at most `timeout`, then ends the thread.
  void Stop(milliseconds timeout);
  // Number of lines dropped since the start.
  std::uint64_t dropped_count() const { return dropped_count_; }

 private:
  void Enqueue(std::string line);
  void Run();
  void Write(const std::string& line);
  bool IsWithinByteRate(std::size_t size);

  log_settings settings_;
  bounded_ring<std::string> lines_;
  std::atomic<std::uint64_t> dropped_count_ = 0;
  std::atomic<bool> is_stopping_ = false;
  time_point interval_start_;
  std::uint64_t interval_bytes_ = 0;
  std::thread thread_;
};

}  // namespace dotterellead::logging

#endif  // DOTTERELLEAD_LOGGING_H_
