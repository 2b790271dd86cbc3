#include "dotterellead/logging.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

using namespace dotterellead;
using namespace dotterellead::logging;

namespace {

struct pipe_pair {
  pipe_pair() { REQUIRE(pipe(ends) == 0); }
  ~pipe_pair() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string ReadAll() const {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char part[4096];
    for (ssize_t n = 0; (n = read(ends[0], part, sizeof part)) > 0;)
      text.append(part, static_cast<std::size_t>(n));
    return text;
  }
  int ends[2];
};

}  // namespace

TEST_CASE("lines are written completely and in order") {
  pipe_pair p;
  log_duty duty({p.ends[1]});
  duty.Start();
  for (int i = 0; i < 20; ++i)
    LogEvent(log_level::kInfo, "event", {{"n", std::to_string(i)}});
  duty.Stop(milliseconds(2'000));
  const std::string text = p.ReadAll();
  std::size_t at = 0;
  for (int i = 0; i < 20; ++i) {
    at = text.find("n=" + std::to_string(i) + "\n", at);
    REQUIRE(at != std::string::npos);
  }
  CHECK(duty.dropped_count() == 0);
}

TEST_CASE(
    "a reader that stops reading does not block LogEvent; drops are counted") {
  pipe_pair p;
  log_settings settings{p.ends[1]};
  settings.queue_capacity = 16;
  settings.max_bytes_per_second = {64 << 20};
  log_duty duty(settings);
  duty.Start();
  const std::string large(8'000, 'x');
  const time_point start = std::chrono::steady_clock::now();
  constexpr int kLines = 2'000;
  for (int i = 0; i < kLines; ++i)
    LogEvent(log_level::kInfo, "event", {{"text", large}});
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
  CHECK(duty.dropped_count() > kLines / 2);
  duty.Stop(milliseconds(50));
}

TEST_CASE("the number of bytes per second is limited") {
  pipe_pair p;
  log_settings settings{p.ends[1]};
  settings.queue_capacity = 4'000;
  settings.max_bytes_per_second = {4'000};
  log_duty duty(settings);
  duty.Start();
  for (int i = 0; i < 1'000; ++i)
    LogEvent(log_level::kInfo, "event", {{"n", std::to_string(i)}});
  duty.Stop(milliseconds(2'000));
  // Two seconds may have begun while the lines were written.
  CHECK(p.ReadAll().size() < 2 * 4'000 + 400);
  CHECK(duty.dropped_count() > 500);
}
