#include "dotterellead/platform.h"

namespace dotterellead {
namespace {

// The ring is looked at again after this time; it wakes at once for a request.
constexpr milliseconds kLongestSleep{60'000};

}  // namespace

log_appender::log_appender(std::string name,
                           log_client& log,
                           sink result,
                           milliseconds timeout,
                           std::size_t ring_capacity)
    : name_(std::move(name)),
      log_(log),
      result_(std::move(result)),
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
                        .status = append_status::kRefused};
  if (!ring_.TryPush(std::move(request)))
    result_(std::move(refused));
}

void log_appender::Run() {
  while (true) {
    const auto wake = std::chrono::steady_clock::now() + kLongestSleep;
    const std::optional<append_request> request = ring_.PopUntil(wake);
    if (request)
      result_(log_.Append(*request, timeout_));
    else if (ring_.is_closed())
      return;
  }
}

}  // namespace dotterellead
