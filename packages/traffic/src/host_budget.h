// The memory that callers and servers can make a host hold.
#ifndef DOTTERELLEAD_TRAFFIC_HOST_BUDGET_H_
#define DOTTERELLEAD_TRAFFIC_HOST_BUDGET_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <utility>

#include "dotterellead/core.h"

namespace dotterellead::traffic {

enum class account_kind {
  // Buffers of a caller's connection.
  kConnection,
  // Body of a caller's request.
  kRequest,
  // Response of a server, until it has been written to the caller.
  kResponse,
};

struct budget_limits {
  byte_count total;
  // Of `total`, what all responses together may take.
  byte_count responses;
};

// One holder of memory. Its fields are for host_budget and memory_account.
struct account_record {
  account_kind kind;
  // The caller's IPv4 address; 0 for a server's response.
  std::uint32_t address = 0;
  byte_count size;
  time_point last_progress;
  // Releases the memory, or starts to; empty while that is not possible.
  std::function<void()> evict;
  bool is_evicted = false;
};

// Decides who may take memory. When it is short, holders that make no progress
// lose theirs before others do, and large ones before small ones. Not
// thread-safe; outlives its accounts.
class host_budget {
 public:
  explicit host_budget(budget_limits limits) : limits_(limits) {}
  host_budget(const host_budget&) = delete;

  byte_count used() const { return used_; }
  byte_count used_by_responses() const { return used_by_responses_; }
  std::uint64_t evicted_count() const { return evicted_count_; }

  // Whether a request of `size` from `address` would find room, given what can
  // be taken from others.
  bool HasRoom(std::uint32_t address, byte_count size, time_point now) const;

 private:
  friend class memory_account;
  using records = std::list<account_record>;

  // Changes the size; returns false, and leaves it as it is, if there is no
  // room.
  bool Resize(records::iterator account, byte_count size, time_point now);
  void Commit(account_record& account, byte_count size);
  bool Fits(const account_record& account, byte_count size) const;
  bool FitsAddress(const account_record& account, byte_count size) const;
  // Whether `holder` loses its memory so that `account` can reach `size`.
  bool IsVictim(const account_record& holder,
                const account_record& account,
                byte_count size,
                time_point now) const;
  records::iterator FindVictim(const account_record& account,
                               byte_count size,
                               time_point now);
  byte_count LargeLimit() const;
  byte_count AddressLimit() const;

  budget_limits limits_;
  records records_;
  byte_count used_;
  byte_count used_by_responses_;
  std::map<std::uint32_t, std::uint64_t> used_by_address_;
  std::uint64_t evicted_count_ = 0;
};

// The share of one holder; releases it on destruction.
class memory_account {
 public:
  memory_account() = default;
  memory_account(host_budget& budget,
                 account_kind kind,
                 std::uint32_t address = 0);
  memory_account(memory_account&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)),
        record_(other.record_) {}
  memory_account& operator=(memory_account&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(record_, other.record_);
    return *this;
  }
  ~memory_account();

  // Returns false if the host has no room, or this account has been evicted.
  bool Resize(byte_count size, time_point now);
  void NoteProgress(time_point now);
  // From now on the account may be evicted through `evict`, which must not
  // destroy it. An empty function ends that.
  void SetEvict(std::function<void()> evict, time_point now);
  bool is_evicted() const { return budget_ != nullptr && record_->is_evicted; }

 private:
  host_budget* budget_ = nullptr;
  std::list<account_record>::iterator record_;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_HOST_BUDGET_H_
