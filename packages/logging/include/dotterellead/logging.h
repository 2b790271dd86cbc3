// Writes log lines to a file descriptor from a thread of its own, so that no
// caller waits for a reader of the log.
#ifndef DOTTERELLEAD_LOGGING_H_
#define DOTTERELLEAD_LOGGING_H_

#include <atomic>
#include <string>
#include <thread>

#include "dotterellead/core.h"

namespace dotterellead::logging {

struct log_settings {
  int descriptor = 1;
  // Lines that wait for the writer; more are dropped and counted.
  std::size_t waiting_lines = 256;
  // Most bytes in one second; lines beyond are dropped and counted.
  byte_count bytes_per_second{256 << 10};
};

class log_duty {
 public:
  explicit log_duty(log_settings settings);
  ~log_duty();
  log_duty(const log_duty&) = delete;
  log_duty& operator=(const log_duty&) = delete;

  // Starts the thread and takes all lines of LogEvent from now on.
  void Start();
  // Writes what is waiting, for at most `limit`, and ends the thread.
  void Stop(milliseconds limit);
  // Lines dropped since the start.
  std::uint64_t dropped() const { return dropped_; }

 private:
  void Take(std::string line);
  void Run();
  void Write(const std::string& line);
  bool IsWithinRate(std::size_t size);

  log_settings settings_;
  bounded_ring<std::string> lines_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::atomic<bool> must_end_ = false;
  time_point second_begins_;
  std::uint64_t second_bytes_ = 0;
  std::thread thread_;
};

}  // namespace dotterellead::logging

#endif  // DOTTERELLEAD_LOGGING_H_
