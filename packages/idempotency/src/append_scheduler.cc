#include "append_scheduler.h"

#include <algorithm>

namespace dotterellead {
namespace {

// Appends that may be sent at once after a pause, one per shard.
constexpr double kMaxBurst = limits::kClaimShards;
// Limits of one append. An outcome has up to limits::kMaxSavedResponseBytes.
constexpr std::size_t kMaxRecords = 256;
constexpr std::size_t kMaxBodyBytes = 256 << 10;
// Outcomes and voids wait this long to share an append with a claim, unless
// more than one append is permitted. Half of the caller's wait.
constexpr milliseconds kMaxBatchDelay = limits::kOutcomeTimeout / 2;
constexpr milliseconds kInitialBackoff{20};
constexpr milliseconds kMaxBackoff{500};
// The read in progress when an append ends may have been answered before the
// append took effect; the next one was not.
constexpr int kReadsUntilLost = 2;
// Longer than any append timeout.
constexpr milliseconds kResultTimeout{10'000};

std::size_t BodyBytes(const claim_log_record& record) {
  const auto* outcome = std::get_if<outcome_record>(&record);
  return outcome ? outcome->outcome.body.size() : 0;
}

bool HasClaim(const std::deque<outgoing_record>& waiting) {
  return std::ranges::any_of(waiting, [](const outgoing_record& item) {
    return item.kind == outgoing_kind::kClaim;
  });
}

}  // namespace

void append_scheduler::SetHosts(std::size_t hosts) {
  rate_ = static_cast<double>(limits::kLogAppendsPerSecond) /
          static_cast<double>(std::max<std::size_t>(1, hosts));
}

bool append_scheduler::IsEmpty() const {
  return std::ranges::all_of(shards_, [](const shard_queue& queue) {
    return queue.waiting.empty() && !queue.in_flight;
  });
}

void append_scheduler::Add(claim_shard shard, outgoing_record item) {
  shards_[shard.value()].waiting.push_back(std::move(item));
}

std::optional<append_claim_records> append_scheduler::Next(
    time_point now,
    const record_source& source) {
  Refill(now);
  if (tokens_ < 1)
    return std::nullopt;
  RemoveUnneeded(now, source);
  shard_queue* queue = ChooseShard(now);
  if (queue == nullptr)
    return std::nullopt;
  sent_append sent{.token = next_token_++,
                   .sent_at = now,
                   .reads_until_lost = kReadsUntilLost};
  std::size_t bytes = 0;
  while (!queue->waiting.empty() && sent.records.size() < kMaxRecords &&
         bytes < kMaxBodyBytes) {
    sent.records.push_back(source.Make(queue->waiting.front()));
    bytes += BodyBytes(sent.records.back());
    sent.items.push_back(std::move(queue->waiting.front()));
    queue->waiting.pop_front();
  }
  tokens_ -= 1;
  append_claim_records append{
      .shard = claim_shard(static_cast<std::uint64_t>(queue - shards_.data())),
      .token = sent.token,
      .records = sent.records};
  queue->in_flight = std::move(sent);
  return append;
}

std::optional<std::pair<claim_shard, sent_append>> append_scheduler::Finish(
    const append_result& result,
    time_point now) {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    shard_queue& queue = shards_[i];
    if (!queue.in_flight || queue.in_flight->token != result.token)
      continue;
    sent_append sent = std::move(*queue.in_flight);
    queue.in_flight.reset();
    if (result.status == append_status::kAppended)
      queue.backoff = milliseconds(0);
    else
      StartBackoff(queue, now);
    if (result.status == append_status::kRejected) {
      queue.waiting.insert(queue.waiting.begin(), sent.items.begin(),
                           sent.items.end());
    } else {
      queue.unconfirmed.push_back(sent);
    }
    return std::pair(claim_shard(i), std::move(sent));
  }
  return std::nullopt;
}

std::vector<outgoing_record> append_scheduler::OnTailRead(claim_shard shard) {
  shard_queue& queue = shards_[shard.value()];
  std::vector<outgoing_record> lost;
  for (sent_append& sent : queue.unconfirmed)
    --sent.reads_until_lost;
  while (!queue.unconfirmed.empty() &&
         queue.unconfirmed.front().reads_until_lost <= 0) {
    std::ranges::move(queue.unconfirmed.front().items,
                      std::back_inserter(lost));
    queue.unconfirmed.pop_front();
  }
  return lost;
}

std::vector<outgoing_record> append_scheduler::OnOwnClaim(
    claim_shard shard,
    std::uint64_t sequence) {
  shard_queue& queue = shards_[shard.value()];
  const auto has_claim = [sequence](const sent_append& sent) {
    return std::ranges::any_of(sent.items, [&](const outgoing_record& item) {
      return item.kind == outgoing_kind::kClaim && item.sequence == sequence;
    });
  };
  auto seen = std::ranges::find_if(queue.unconfirmed, has_claim);
  const bool is_in_flight = queue.in_flight && has_claim(*queue.in_flight);
  std::vector<outgoing_record> lost;
  if (seen == queue.unconfirmed.end() && !is_in_flight)
    return lost;
  while (queue.unconfirmed.begin() != seen) {
    std::ranges::move(queue.unconfirmed.front().items,
                      std::back_inserter(lost));
    const bool at_end = seen == queue.unconfirmed.end();
    queue.unconfirmed.pop_front();
    seen = at_end ? queue.unconfirmed.end()
                  : std::ranges::find_if(queue.unconfirmed, has_claim);
  }
  return lost;
}

void append_scheduler::ExpireResults(time_point now) {
  for (shard_queue& queue : shards_) {
    if (queue.in_flight && now - queue.in_flight->sent_at >= kResultTimeout) {
      queue.unconfirmed.push_back(std::move(*queue.in_flight));
      queue.in_flight.reset();
    }
  }
}

void append_scheduler::Refill(time_point now) {
  if (!is_started_) {
    is_started_ = true;
    tokens_ = kMaxBurst;
    last_refill_ = now;
  }
  const std::chrono::duration<double> passed = now - last_refill_;
  tokens_ = std::min(kMaxBurst, tokens_ + passed.count() * rate_);
  last_refill_ = now;
}

bool append_scheduler::CanSend(const shard_queue& queue, time_point now) const {
  if (queue.in_flight || queue.waiting.empty() || now < queue.retry_at)
    return false;
  return tokens_ >= 2 || HasClaim(queue.waiting) ||
         now - queue.waiting.front().queued_at >= kMaxBatchDelay;
}

// Chooses the shard whose oldest record has waited longest; shards with claims
// have priority.
append_scheduler::shard_queue* append_scheduler::ChooseShard(time_point now) {
  shard_queue* best = nullptr;
  const auto rank = [](const shard_queue& queue) {
    return std::pair(!HasClaim(queue.waiting), queue.waiting.front().queued_at);
  };
  for (shard_queue& queue : shards_) {
    if (CanSend(queue, now) && (best == nullptr || rank(queue) < rank(*best)))
      best = &queue;
  }
  return best;
}

void append_scheduler::StartBackoff(shard_queue& queue, time_point now) {
  queue.backoff = std::clamp(queue.backoff * 2, kInitialBackoff, kMaxBackoff);
  queue.retry_at = now + queue.backoff;
}

void append_scheduler::RemoveUnneeded(time_point now,
                                      const record_source& source) {
  for (shard_queue& queue : shards_) {
    if (queue.in_flight || now < queue.retry_at)
      continue;
    std::erase_if(queue.waiting, [&](const outgoing_record& item) {
      return !source.IsNeeded(item);
    });
  }
}

}  // namespace dotterellead
