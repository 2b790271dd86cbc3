#include "dotterellead/platform_client.h"

namespace dotterellead {
namespace {

// Maximum sleep time; a request wakes the thread earlier.
constexpr milliseconds kMaxSleep{60'000};

}  // namespace

log_appender::log_appender(std::string name,
                           log_client& log,
                           sink on_result,
                           milliseconds timeout,
                           std::size_t ring_capacity)
    : name_(std::move(name)),
      log_(log),
      on_result_(std::move(on_result)),
      timeout_(timeout),
      ring_(ring_capacity) {}

log_appender::~log_appender() {
  Stop();
}

void log_appender::Start() {
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(), name_.substr(0, 15).c_str());
}

void log_appender::Stop() {
  ring_.Close();
  if (thread_.joinable())
    thread_.join();
}

void log_appender::Submit(append_request request) {
  append_result refused{.stream = request.stream,
                        .token = request.token,
                        .status = append_status::kRejected};
  if (!ring_.TryPush(std::move(request)))
    on_result_(std::move(refused));
}

void log_appender::Run() {
  while (true) {
    const auto wake = std::chrono::steady_clock::now() + kMaxSleep;
    const std::optional<append_request> request = ring_.PopUntil(wake);
    if (request)
      on_result_(log_.Append(*request, timeout_));
    else if (ring_.is_closed())
      return;
  }
}

}  // namespace dotterellead
