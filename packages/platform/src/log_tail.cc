#include <algorithm>
#include <utility>

#include "dotterellead/platform.h"

namespace dotterellead {
namespace {

constexpr milliseconds kInitialBackoff{20};
constexpr milliseconds kMaxBackoff{500};

// Whether records before or after `asked` are missing from what the log holds.
bool IsTruncated(const log_batch& batch, log_offset asked) {
  const bool skips =
      !batch.records.empty() && batch.records.front().offset != asked;
  return asked < batch.first || asked > batch.next || skips;
}

}  // namespace

log_tail::log_tail(log_client& log,
                   stream_id stream,
                   sink news,
                   milliseconds wait,
                   std::size_t max_records)
    : log_(log),
      stream_(std::move(stream)),
      news_(std::move(news)),
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
    stopping_ = true;
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
  while (const std::optional<log_offset> asked = AwaitOffset(generation)) {
    // The owner of a new offset needs to know at once whether it is at the end.
    const bool is_new =
        generation != std::exchange(read_generation, generation);
    const milliseconds wait = is_new ? milliseconds(0) : wait_;
    auto result = log_.Read(stream_, *asked, max_records_, wait);
    if (Handle(std::move(result), *asked, generation)) {
      backoff = kInitialBackoff;
      continue;
    }
    Pause(backoff, generation);
    backoff = std::min(backoff * 2, kMaxBackoff);
  }
}

// Waits until there is an offset to read from. Returns nullopt when the tail
// stops.
std::optional<log_offset> log_tail::AwaitOffset(std::uint64_t& generation) {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return stopping_ || offset_.is_valid(); });
  if (stopping_)
    return std::nullopt;
  generation = generation_;
  return offset_;
}

// Returns false if the log could not be read.
bool log_tail::Handle(std::variant<log_batch, log_unavailable> result,
                      log_offset asked,
                      std::uint64_t generation) {
  log_news news = log_unavailable{stream_};
  {
    std::lock_guard lock(mutex_);
    if (stopping_ || generation != generation_)
      return true;
    if (auto* batch = std::get_if<log_batch>(&result)) {
      if (IsTruncated(*batch, asked)) {
        offset_ = log_offset();
        news = log_truncated{stream_, asked, batch->first};
      } else {
        offset_ = log_offset(asked.value() + batch->records.size());
        news = std::move(*batch);
      }
    }
  }
  const bool readable = !std::holds_alternative<log_unavailable>(news);
  news_(std::move(news));
  return readable;
}

void log_tail::Pause(milliseconds time, std::uint64_t generation) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, time,
                    [&] { return stopping_ || generation != generation_; });
}

}  // namespace dotterellead
