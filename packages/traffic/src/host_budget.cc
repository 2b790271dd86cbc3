#include "host_budget.h"

#include <algorithm>

#include "dotterellead/limits.h"

namespace dotterellead::traffic {

namespace {

// Holders up to this size may use the whole budget; larger ones leave a part of
// it to them, so that ordinary requests are served beside large ones.
constexpr byte_count kSmallHolder{64 << 10};
// What holders that are not small leave free: an eighth.
constexpr std::uint64_t kSmallShare = 8;
// One caller's address may use three quarters. With the least memory, 160 MB,
// that is 75 MB, which holds one request of 64 MB.
constexpr std::uint64_t kAddressShare = 4;
// A holder without progress for this long is stalled.
constexpr milliseconds kStallTime{1'000};

bool IsStalled(const account_record& holder, time_point now) {
  return now - holder.last_progress >= kStallTime;
}

}  // namespace

byte_count host_budget::LargeLimit() const {
  return {limits_.total.value - limits_.total.value / kSmallShare};
}

byte_count host_budget::AddressLimit() const {
  return {limits_.total.value - limits_.total.value / kAddressShare};
}

bool host_budget::FitsAddress(const account_record& account,
                              byte_count size) const {
  if (account.address == 0 || size <= kSmallHolder)
    return true;
  const auto it = used_by_address_.find(account.address);
  const std::uint64_t used = it == used_by_address_.end() ? 0 : it->second;
  return used - account.size.value + size.value <= AddressLimit().value;
}

bool host_budget::Fits(const account_record& account, byte_count size) const {
  const std::uint64_t more = size.value - account.size.value;
  const byte_count limit = size <= kSmallHolder ? limits_.total : LargeLimit();
  if (used_.value + more > limit.value)
    return false;
  return account.kind != account_kind::kResponse ||
         used_by_responses_.value + more <= limits_.responses.value;
}

bool host_budget::IsVictim(const account_record& holder,
                           const account_record& account,
                           byte_count size,
                           time_point now) const {
  if (&holder == &account || !holder.evict || holder.is_evicted ||
      holder.size.value == 0)
    return false;
  // A response is released only once its connection has ended, for which only
  // other responses can wait.
  if (holder.kind == account_kind::kResponse &&
      account.kind != account_kind::kResponse)
    return false;
  if (Fits(account, size) && holder.address != account.address)
    return false;
  return IsStalled(holder, now) || holder.size > size;
}

host_budget::records::iterator host_budget::FindVictim(
    const account_record& account,
    byte_count size,
    time_point now) {
  const auto rank = [now](const account_record& r) {
    return std::pair(IsStalled(r, now), r.size);
  };
  auto victim = records_.end();
  for (auto it = records_.begin(); it != records_.end(); ++it)
    if (IsVictim(*it, account, size, now) &&
        (victim == records_.end() || rank(*victim) < rank(*it)))
      victim = it;
  return victim;
}

bool host_budget::HasRoom(std::uint32_t address,
                          byte_count size,
                          time_point now) const {
  const account_record asked{account_kind::kRequest, address};
  if (Fits(asked, size) && FitsAddress(asked, size))
    return true;
  if (size > AddressLimit())
    return false;
  std::uint64_t available = 0;
  std::uint64_t available_of_address = 0;
  for (const account_record& holder : records_) {
    if (holder.kind == account_kind::kResponse ||
        !IsVictim(holder, asked, size, now))
      continue;
    available += holder.size.value;
    if (holder.address == address)
      available_of_address += holder.size.value;
  }
  const auto used = used_by_address_.find(address);
  const std::uint64_t of_address =
      used == used_by_address_.end() ? 0 : used->second;
  const byte_count limit = size <= kSmallHolder ? limits_.total : LargeLimit();
  return used_.value - available + size.value <= limit.value &&
         (size <= kSmallHolder ||
          of_address - available_of_address + size.value <=
              AddressLimit().value);
}

bool host_budget::Resize(records::iterator account,
                         byte_count size,
                         time_point now) {
  if (size <= account->size) {
    Commit(*account, size);
    return true;
  }
  if (account->is_evicted)
    return false;
  while (!Fits(*account, size) || !FitsAddress(*account, size)) {
    const auto victim = FindVictim(*account, size, now);
    if (victim == records_.end())
      return false;
    victim->is_evicted = true;
    ++evicted_count_;
    victim->evict();
    // Its memory is released later; the caller tries again.
    if (victim->size.value > 0)
      return false;
  }
  Commit(*account, size);
  return true;
}

void host_budget::Commit(account_record& account, byte_count size) {
  used_.value += size.value - account.size.value;
  if (account.kind == account_kind::kResponse)
    used_by_responses_.value += size.value - account.size.value;
  if (account.address != 0 && size != account.size) {
    std::uint64_t& used = used_by_address_[account.address];
    used += size.value - account.size.value;
    if (used == 0)
      used_by_address_.erase(account.address);
  }
  account.size = size;
}

memory_account::memory_account(host_budget& budget,
                               account_kind kind,
                               std::uint32_t address)
    : budget_(&budget),
      record_(budget.records_.insert(budget.records_.end(), {kind, address})) {}

memory_account::~memory_account() {
  if (budget_ == nullptr)
    return;
  budget_->Commit(*record_, {0});
  budget_->records_.erase(record_);
}

bool memory_account::Resize(byte_count size, time_point now) {
  return budget_ == nullptr || budget_->Resize(record_, size, now);
}

void memory_account::NoteProgress(time_point now) {
  if (budget_ != nullptr)
    record_->last_progress = now;
}

void memory_account::SetEvict(std::function<void()> evict, time_point now) {
  if (budget_ == nullptr)
    return;
  record_->evict = std::move(evict);
  record_->last_progress = now;
}

}  // namespace dotterellead::traffic
