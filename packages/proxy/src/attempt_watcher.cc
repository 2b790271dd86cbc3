#include "attempt_watcher.h"

namespace dotterellead {

attempt_watcher::attempt_watcher(const clock_source& clock) : clock_(clock) {
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(), "attempt-watch");
}

attempt_watcher::~attempt_watcher() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_one();
  }
  thread_.join();
}

attempt_watcher::guard::guard(attempt_watcher& owner, const watched& w)
    : owner_(owner) {
  std::lock_guard lock(owner_.mutex_);
  number_ = owner_.next_++;
  owner_.attempts_.emplace(number_, w);
  if (owner_.attempts_.size() == 1)
    owner_.changed_.notify_one();
}

attempt_watcher::guard::~guard() {
  std::lock_guard lock(owner_.mutex_);
  owner_.attempts_.erase(number_);
}

void attempt_watcher::Run() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    changed_.wait(lock, [this] { return stopping_ || !attempts_.empty(); });
    CheckAll();
    changed_.wait_for(lock, kInterval, [this] { return stopping_; });
  }
}

void attempt_watcher::CheckAll() {
  const time_point now = clock_.Now().steady;
  for (auto it = attempts_.begin(); it != attempts_.end();) {
    const watched& w = it->second;
    if (now < w.deadline && !(w.cancel_with_caller && w.caller->IsGone())) {
      ++it;
      continue;
    }
    w.connection->Cancel();
    it = attempts_.erase(it);
  }
}

}  // namespace dotterellead
