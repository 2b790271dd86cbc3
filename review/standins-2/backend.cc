#include "backend.h"

#include <sys/socket.h>

namespace review {

namespace {

// Unix time in milliseconds.
std::int64_t Now() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

backend::backend(backend_settings settings, run_sink on_run)
    : settings_(std::move(settings)),
      on_run_(std::move(on_run)),
      listener_(Listen(port_)),
      born_(Now()),
      accepting_([this] { Accept(); }) {}

backend::~backend() {
  is_stopped_ = true;
  accepting_.join();
}

std::string backend::Entry() {
  const std::lock_guard lock(mutex_);
  return R"({"service":")" + settings_.pool + R"(","address":"127.0.0.1:)" +
         std::to_string(port_) + R"(","zone":")" + settings_.zone +
         R"(","version":")" + settings_.version + R"(","slots":)" +
         std::to_string(settings_.slots) + R"(,"state":")" +
         (is_draining_ ? "draining" : "ready") +
         R"(","warmupLeftS":0,"sequence":)" + std::to_string(++sequence_) +
         R"(,"born":)" + std::to_string(born_) + "}";
}

void backend::Accept() {
  constexpr milliseconds kPollInterval{50};
  while (!is_stopped_) {
    if (!is_up_) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    const std::uint64_t life = life_;
    socket_handle accepted;
    {
      const std::lock_guard lock(listener_mutex_);
      accepted = review::Accept(listener_, kPollInterval);
    }
    if (accepted.is_open())
      std::thread([this, life, socket = std::move(accepted)]() mutable {
        Serve(std::move(socket), life);
      }).detach();
  }
}

int backend::Crash() {
  is_up_ = false;
  ++life_;
  {
    const std::lock_guard lock(listener_mutex_);
    listener_ = socket_handle();
  }
  const std::lock_guard lock(mutex_);
  for (const int fd : open_)
    shutdown(fd, SHUT_RDWR);
  slot_freed_.notify_all();
  return std::exchange(running_, 0);
}

void backend::Restart() {
  {
    const std::lock_guard lock(mutex_);
    waiting_ = 0;
    born_ = Now();
    sequence_ = 0;
  }
  const std::lock_guard lock(listener_mutex_);
  listener_ = Listen(port_);
  is_up_ = true;
}

void backend::Serve(socket_handle socket, std::uint64_t life) {
  {
    const std::lock_guard lock(mutex_);
    open_.insert(socket.fd());
  }
  message_reader reader(socket);
  while (const std::optional<message> request = reader.Read()) {
    const std::string answer = Answer(*request, life);
    if (is_stopped_ || answer.empty() || !WriteAll(socket, answer))
      break;
  }
  const std::lock_guard lock(mutex_);
  open_.erase(socket.fd());
}

header_list backend::CommonHeaders() {
  const std::lock_guard lock(mutex_);
  header_list headers = {
      {"Instance-Id", settings_.id},
      {"Instance-Load", std::to_string(running_) + "," +
                            std::to_string(waiting_) + "," +
                            std::to_string(settings_.slots)}};
  if (is_draining_)
    headers.emplace_back("Server-Leaving", "1");
  return headers;
}

std::string backend::Answer(const message& request, std::uint64_t life) {
  if (life != life_)
    return "";
  const std::string expected = request.Header("expect-instance");
  if (!expected.empty() && expected != settings_.id)
    return FormatResponse(421, {}, "");
  if (request.second == "/health")
    return FormatResponse(is_draining_ ? 503 : 200, CommonHeaders(), "");
  return Run(request, life);
}

std::string backend::Run(const message& request, std::uint64_t life) {
  {
    std::unique_lock lock(mutex_);
    if (running_ + waiting_ >= settings_.slots + settings_.queue) {
      lock.unlock();
      header_list headers = CommonHeaders();
      headers.emplace_back("Not-Executed", "1");
      return FormatResponse(503, headers, "");
    }
    ++waiting_;
    slot_freed_.wait(
        lock, [&] { return life != life_ || running_ < settings_.slots; });
    if (life != life_)
      return "";
    --waiting_;
    ++running_;
    ++run_count_;
  }
  const std::string id = request.Header("attempt-id");
  const time_point began = clock::now();
  std::this_thread::sleep_for(settings_.work);
  int status = 200;
  {
    const std::lock_guard lock(mutex_);
    if (life != life_)
      return "";
    --running_;
    constexpr std::uint64_t kAll = 100;
    constexpr std::uint64_t kStride = 37;
    if (run_count_ * kStride % kAll <
        static_cast<std::uint64_t>(settings_.failed_percent))
      status = 500;
  }
  slot_freed_.notify_one();
  on_run_({began, id, settings_.id, settings_.version, request.first,
           request.second, status});
  header_list headers = CommonHeaders();
  headers.emplace_back("Attempt-Id", id);
  headers.emplace_back("Response-Signature", "signed." + id);
  return FormatResponse(status, headers, "answer to " + id);
}

}  // namespace review
