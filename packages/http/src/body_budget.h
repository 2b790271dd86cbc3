// Memory that the requests and answers of one listener may take together.
#ifndef DOTTERELLEAD_HTTP_BODY_BUDGET_H_
#define DOTTERELLEAD_HTTP_BODY_BUDGET_H_

#include <algorithm>
#include <atomic>
#include <cstdint>

#include "dotterellead/core.h"

namespace dotterellead {

// Thread-safe. Outlives its reservations.
class body_budget {
 public:
  explicit body_budget(byte_count limit) : limit_(limit.value) {}

  bool TryTake(std::uint64_t bytes) {
    std::uint64_t used = used_;
    do {
      if (bytes > limit_ || used > limit_ - bytes)
        return false;
    } while (!used_.compare_exchange_weak(used, used + bytes));
    return true;
  }
  void Return(std::uint64_t bytes) { used_ -= bytes; }
  byte_count used() const { return {used_}; }

 private:
  const std::uint64_t limit_;
  std::atomic<std::uint64_t> used_{0};
};

// What one call has taken; returns it on destruction.
class body_reservation {
 public:
  explicit body_reservation(body_budget& budget) : budget_(budget) {}
  ~body_reservation() { budget_.Return(taken_); }
  body_reservation(const body_reservation&) = delete;
  body_reservation& operator=(const body_reservation&) = delete;

  // Takes what is missing for `bytes`, or more; false if there is no room.
  bool Cover(std::uint64_t bytes) {
    // Bodies of unknown length grow in steps.
    constexpr std::uint64_t kStep = 64 << 10;
    if (bytes <= taken_)
      return true;
    const std::uint64_t missing =
        taken_ == 0 ? bytes : std::max(bytes - taken_, kStep);
    if (!budget_.TryTake(missing))
      return false;
    taken_ += missing;
    return true;
  }
  // As above, in addition to what has been taken.
  bool Add(std::uint64_t bytes) {
    if (!budget_.TryTake(bytes))
      return false;
    taken_ += bytes;
    return true;
  }

 private:
  body_budget& budget_;
  std::uint64_t taken_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_HTTP_BODY_BUDGET_H_
