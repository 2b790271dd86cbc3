#include <charconv>

#include "dotterellead/idempotency.h"

namespace dotterellead {
namespace {

constexpr std::string_view kStreamPrefix = "claims-";
// Text form: 8-4-4-4-12 hexadecimal digits.
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kTimeDigits = 12;

bool IsDashPosition(std::size_t i) {
  return i == 8 || i == 13 || i == 18 || i == 23;
}

bool IsHexDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

bool IsUuid(std::string_view text) {
  if (text.size() != kUuidLength)
    return false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (IsDashPosition(i) ? text[i] != '-' : !IsHexDigit(text[i]))
      return false;
  }
  return true;
}

}  // namespace

std::optional<unix_millis> KeyCreation(const idempotency_key& key) {
  const std::string& text = key.value();
  // Version 7, and the variant bits 10.
  constexpr std::string_view kVariants = "89abAB";
  if (!IsUuid(text) || text[14] != '7' ||
      kVariants.find(text[19]) == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string digits = text.substr(0, 8) + text.substr(9, 4);
  unix_millis created;
  std::from_chars(digits.data(), digits.data() + kTimeDigits, created.value,
                  16);
  return created;
}

claim_shard ShardOf(const idempotency_key& key) {
  return claim_shard(StableHash(key.value()) % limits::kClaimShards);
}

stream_id ClaimStream(claim_shard shard) {
  return stream_id(std::string(kStreamPrefix) + std::to_string(shard.value()));
}

claim_shard ClaimShard(const stream_id& stream) {
  for (std::uint64_t i = 0; i < limits::kClaimShards; ++i) {
    if (stream == ClaimStream(claim_shard(i)))
      return claim_shard(i);
  }
  return {};
}

saved_outcome MakeSavedOutcome(const http_answer& answer) {
  saved_outcome outcome{.status = answer.status,
                        .headers = answer.headers,
                        .body_digest = StableHash(answer.body)};
  outcome.truncated = answer.body.size() > limits::kMaxSavedResponseBytes;
  if (!outcome.truncated)
    outcome.body = answer.body;
  return outcome;
}

}  // namespace dotterellead
