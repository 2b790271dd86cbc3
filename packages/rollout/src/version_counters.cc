#include <algorithm>
#include <cmath>
#include <functional>

#include "dotterellead/rollout.h"

namespace dotterellead {
namespace {

constexpr double kFirstBucketMicroseconds = 500;
// 2^64 divided by the golden ratio. Its multiples spread consecutive ids more
// evenly than a hash does.
constexpr std::uint64_t kGoldenStep = 0x9E3779B97F4A7C15U;

}  // namespace

std::size_t LatencyBucket(microseconds latency) {
  const double ratio =
      static_cast<double>(latency.count()) / kFirstBucketMicroseconds;
  if (ratio <= 1)
    return 0;
  const auto bucket = static_cast<std::size_t>(std::ceil(2 * std::log2(ratio)));
  return std::min(bucket, kLatencyBuckets - 1);
}

void attempt_counters::Add(bool failed, microseconds elapsed) {
  ++requests;
  busy_us +=
      static_cast<std::uint64_t>(std::max<std::int64_t>(0, elapsed.count()));
  if (failed)
    ++failures;
  else
    ++latency[LatencyBucket(elapsed)];
}

void attempt_counters::Add(const attempt_counters& other) {
  requests += other.requests;
  failures += other.failures;
  busy_us += other.busy_us;
  for (std::size_t i = 0; i < kLatencyBuckets; ++i)
    latency[i] += other.latency[i];
}

void version_counters::Record(const pool_id& pool,
                              const route_id& route,
                              const version_id& version,
                              bool failed,
                              microseconds latency) {
  const std::size_t index =
      std::hash<std::thread::id>()(std::this_thread::get_id()) % kShards;
  shard& s = shards_[index];
  std::lock_guard lock(s.mutex);
  s.counts[attempt_key{pool, route, version}].Add(failed, latency);
}

attempt_batch version_counters::ExchangeCounters() {
  attempt_batch all;
  for (shard& s : shards_) {
    attempt_batch taken;
    {
      std::lock_guard lock(s.mutex);
      taken.swap(s.counts);
    }
    for (const auto& [key, counters] : taken)
      all[key].Add(counters);
  }
  return all;
}

version_id ChooseVersion(const version_shares& shares, request_id request) {
  constexpr std::uint64_t kPerMille = 1000;
  const std::uint64_t spread = (request.value() * kGoldenStep) >> 32;
  std::uint64_t point = (spread * kPerMille) >> 32;
  version_id last;
  for (const auto& [version, share] : shares) {
    if (point < share)
      return version;
    point -= share;
    last = version;
  }
  return last;
}

void rollout_with_counters::Step(const message& m,
                                 const timestamp& now,
                                 std::vector<effect>& out) {
  if (std::holds_alternative<tick>(m) ||
      std::holds_alternative<rollout_config_changed>(m)) {
    machine_.Step(attempts_recorded{counters_->ExchangeCounters()}, now, out);
  }
  machine_.Step(m, now, out);
}

}  // namespace dotterellead
