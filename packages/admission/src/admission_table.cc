#include <algorithm>
#include <atomic>
#include <utility>

#include "dotterellead/admission.h"

namespace dotterellead {

admission_table::run_shard& admission_table::ShardOf(
    request_fingerprint fingerprint) {
  return runs_[fingerprint.value() % kShards];
}

bool admission_table::TryBegin(const pool_id& pool,
                               request_fingerprint fingerprint) {
  {
    run_shard& shard = ShardOf(fingerprint);
    std::lock_guard lock(shard.mutex);
    entry& e = shard.entries[fingerprint];
    if (e.is_struck)
      return false;
    ++e.runs;
  }
  // Threads are assigned to shards in turn.
  static std::atomic<std::size_t> next_shard{0};
  thread_local const std::size_t own_shard = next_shard.fetch_add(1) % kShards;
  pool_shard& shard = pools_[own_shard];
  std::lock_guard lock(shard.mutex);
  ++shard.first_attempts[pool];
  return true;
}

bool admission_table::End(request_fingerprint fingerprint) {
  run_shard& shard = ShardOf(fingerprint);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.entries.find(fingerprint);
  if (it == shard.entries.end())
    return true;
  entry& e = it->second;
  const bool tell_duty = e.is_struck || e.runs == 0;
  e.runs -= e.runs > 0 ? 1 : 0;
  if (e.runs == 0 && !e.is_struck)
    shard.entries.erase(it);
  return tell_duty;
}

std::uint32_t admission_table::Mark(request_fingerprint fingerprint) {
  run_shard& shard = ShardOf(fingerprint);
  std::lock_guard lock(shard.mutex);
  entry& e = shard.entries[fingerprint];
  e.is_struck = true;
  return e.runs;
}

void admission_table::Unmark(request_fingerprint fingerprint) {
  run_shard& shard = ShardOf(fingerprint);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.entries.find(fingerprint);
  if (it == shard.entries.end())
    return;
  it->second.is_struck = false;
  if (it->second.runs == 0)
    shard.entries.erase(it);
}

std::uint64_t admission_table::ExchangeFirstAttempts(const pool_id& pool) {
  std::uint64_t sum = 0;
  for (pool_shard& shard : pools_) {
    std::lock_guard lock(shard.mutex);
    const auto it = shard.first_attempts.find(pool);
    if (it != shard.first_attempts.end())
      sum += std::exchange(it->second, 0);
  }
  return sum;
}

void retry_budget::AddFirstAttempts(std::uint64_t count) {
  constexpr std::uint64_t kCap =
      std::uint64_t{1'000} * limits::kMaxSavedRetries;
  const std::uint64_t counted = std::min(count, kCap);
  per_mille_ =
      std::min(kCap, per_mille_ + counted * limits::kRetryBudgetPerMille);
}

void retry_budget::RefillMinimum(time_point now) {
  constexpr std::uint64_t kFloor = std::uint64_t{1'000} * limits::kMinRetries;
  if (!last_refill_)
    last_refill_ = now;
  const auto earned = (now - *last_refill_) / limits::kMinRetryRefillInterval;
  if (earned <= 0)
    return;
  last_refill_ = *last_refill_ + earned * limits::kMinRetryRefillInterval;
  if (per_mille_ < kFloor) {
    per_mille_ = std::min(
        kFloor, per_mille_ + static_cast<std::uint64_t>(earned) * 1'000);
  }
}

bool retry_budget::TryAcquire(time_point now) {
  RefillMinimum(now);
  if (per_mille_ < 1'000)
    return false;
  per_mille_ -= 1'000;
  return true;
}

}  // namespace dotterellead
