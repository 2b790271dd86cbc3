#include <algorithm>
#include <utility>

#include "dotterellead/platform_client.h"

namespace dotterellead {
namespace {

constexpr milliseconds kInitialBackoff{20};
constexpr milliseconds kMaxBackoff{500};

// Whether the log lacks records before or after `requested`.
bool IsTruncated(const log_batch& batch, log_offset asked) {
  const bool skips =
      !batch.records.empty() && batch.records.front().offset != asked;
  return asked < batch.first || asked > batch.next || skips;
}

}  // namespace

log_tail::log_tail(log_client& log,
                   stream_id stream,
                   sink on_event,
                   milliseconds wait,
                   std::size_t max_records)
    : log_(log),
      stream_(std::move(stream)),
      on_event_(std::move(on_event)),
      wait_(wait),
      max_records_(max_records) {}

log_tail::~log_tail() {
  Stop();
}

void log_tail::Start() {
  thread_ = std::thread([this] { Run(); });
  const std::string name = "t-" + stream_.value();
  pthread_setname_np(thread_.native_handle(), name.substr(0, 15).c_str());
}

void log_tail::Stop() {
  {
    std::lock_guard lock(mutex_);
    is_stopping_ = true;
    changed_.notify_all();
  }
  if (thread_.joinable())
    thread_.join();
}

void log_tail::SetOffset(log_offset offset) {
  std::lock_guard lock(mutex_);
  offset_ = offset;
  ++generation_;
  changed_.notify_all();
}

void log_tail::Run() {
  milliseconds backoff = kInitialBackoff;
  std::uint64_t generation = 0;
  std::uint64_t read_generation = 0;
  while (const std::optional<log_offset> requested =
             WaitForOffset(generation)) {
    // After a new offset the owner needs to know at once whether it is at the
    // end of the log.
    const bool is_new =
        generation != std::exchange(read_generation, generation);
    const milliseconds wait = is_new ? milliseconds(0) : wait_;
    auto result = log_.Read(stream_, *requested, max_records_, wait);
    if (Handle(std::move(result), *requested, generation)) {
      backoff = kInitialBackoff;
      continue;
    }
    Sleep(backoff, generation);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

// Waits for an offset to read from. Returns nullopt when the tail stops.
std::optional<log_offset> log_tail::WaitForOffset(std::uint64_t& generation) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return is_stopping_ || offset_.is_valid(); });
  if (is_stopping_)
    return std::nullopt;
  generation = generation_;
  return offset_;
}

// Returns false if the log could not be read.
bool log_tail::Handle(std::variant<log_batch, log_unavailable> result,
                      log_offset requested,
                      std::uint64_t generation) {
  log_event news = log_unavailable{stream_};
  {
    std::lock_guard lock(mutex_);
    if (is_stopping_ || generation != generation_)
      return true;
    if (auto* batch = std::get_if<log_batch>(&result)) {
      if (IsTruncated(*batch, requested)) {
        offset_ = log_offset();
        news = log_truncated{stream_, requested, batch->first};
      } else {
        offset_ = log_offset(requested.value() + batch->records.size());
        news = std::move(*batch);
      }
    }
  }
  const bool readable = !std::holds_alternative<log_unavailable>(news);
  on_event_(std::move(news));
  return readable;
}

void log_tail::Sleep(milliseconds time, std::uint64_t generation) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, time,
                    [&] { return is_stopping_ || generation != generation_; });
}

}  // namespace dotterellead
