// Who gets memory when it is short, in virtual time.
#include "host_budget.h"

#include <doctest/doctest.h>

#include "dotterellead/limits.h"
#include "request_body.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

constexpr std::uint64_t kMegabyte = 1 << 20;
constexpr std::uint32_t kCaller = 1;
constexpr std::uint32_t kOther = 2;

time_point At(int millis) {
  return time_point() + milliseconds(10'000 + millis);
}

// A body that is being received, and releases its memory when it is evicted.
struct holder {
  holder(host_budget& budget, std::uint32_t address, std::uint64_t size, int at)
      : account(budget, account_kind::kRequest, address) {
    account.SetEvict([this] { account.Resize({0}, {}); }, At(at));
    has_room = account.Resize({size}, At(at));
  }
  memory_account account;
  bool has_room = false;
};

}  // namespace

TEST_CASE("memory is never given beyond the total, and comes back") {
  host_budget budget({{8 * kMegabyte}, {4 * kMegabyte}});
  {
    memory_account a(budget, account_kind::kRequest, kCaller);
    CHECK(a.Resize({6 * kMegabyte}, At(0)));
    CHECK_FALSE(a.Resize({9 * kMegabyte}, At(0)));
    CHECK(budget.used().value == 6 * kMegabyte);
    memory_account moved = std::move(a);
    CHECK(moved.Resize({1}, At(0)));
  }
  CHECK(budget.used().value == 0);
}

// Guards against ordinary requests that find no room beside large ones.
TEST_CASE("large holders leave room to small ones and to other addresses") {
  host_budget budget({{8 * kMegabyte}, {4 * kMegabyte}});
  memory_account large(budget, account_kind::kRequest, kCaller);
  // Three quarters are for one address.
  CHECK_FALSE(large.Resize({6 * kMegabyte + 1}, At(0)));
  CHECK(large.Resize({6 * kMegabyte}, At(0)));
  memory_account other(budget, account_kind::kRequest, kOther);
  // An eighth is for small holders.
  CHECK_FALSE(other.Resize({kMegabyte + 1}, At(0)));
  CHECK(other.Resize({kMegabyte}, At(0)));
  memory_account small(budget, account_kind::kRequest, kCaller);
  CHECK(small.Resize({64 << 10}, At(0)));
}

TEST_CASE("responses have a share of their own") {
  host_budget budget({{8 * kMegabyte}, {2 * kMegabyte}});
  memory_account response(budget, account_kind::kResponse);
  CHECK_FALSE(response.Resize({2 * kMegabyte + 1}, At(0)));
  CHECK(response.Resize({2 * kMegabyte}, At(0)));
  CHECK(budget.used_by_responses().value == 2 * kMegabyte);
}

TEST_CASE("stalled holders lose their memory before others, large ones first") {
  host_budget budget({{8 * kMegabyte}, {4 * kMegabyte}});
  holder stalled_small(budget, kCaller, kMegabyte, 0);
  holder stalled_large(budget, kCaller, 2 * kMegabyte, 0);
  holder moving(budget, kOther, 3 * kMegabyte, 1'500);
  memory_account asking(budget, account_kind::kRequest, 3);
  CHECK(asking.Resize({2 * kMegabyte}, At(1'600)));
  CHECK(stalled_large.account.is_evicted());
  CHECK_FALSE(stalled_small.account.is_evicted());
  CHECK_FALSE(moving.account.is_evicted());
  // An evicted holder gets nothing more.
  CHECK_FALSE(stalled_large.account.Resize({1}, At(1'600)));
  CHECK(asking.Resize({4 * kMegabyte}, At(1'700)));
  CHECK(stalled_small.account.is_evicted());
  CHECK(budget.evicted_count() == 2);
}

TEST_CASE("a holder that progresses gives way to smaller ones only") {
  host_budget budget({{8 * kMegabyte}, {4 * kMegabyte}});
  holder first(budget, kCaller, 3 * kMegabyte, 0);
  holder second(budget, kOther, 4 * kMegabyte, 0);
  holder larger(budget, 3, 5 * kMegabyte, 10);
  CHECK_FALSE(larger.has_room);
  holder smaller(budget, 3, 2 * kMegabyte, 20);
  CHECK(smaller.has_room);
  CHECK(second.account.is_evicted());
  CHECK_FALSE(first.account.is_evicted());
}

// A response is released once its connection has ended: until then nothing is
// given beyond the total, and only one is given up at a time.
TEST_CASE("memory that is still in use is not given away") {
  host_budget budget({{8 * kMegabyte}, {2 * kMegabyte}});
  int evicted = 0;
  memory_account a(budget, account_kind::kResponse);
  memory_account b(budget, account_kind::kResponse);
  for (memory_account* account : {&a, &b}) {
    account->SetEvict([&] { ++evicted; }, At(0));
    CHECK(account->Resize({kMegabyte}, At(0)));
  }
  memory_account asking(budget, account_kind::kResponse);
  CHECK_FALSE(asking.Resize({kMegabyte}, At(2'000)));
  CHECK(evicted == 1);
  a.Resize({0}, At(2'000));
  CHECK(asking.Resize({kMegabyte}, At(2'010)));
}

// Guards against a host of the smallest size that cannot serve the largest
// legal request.
TEST_CASE("a host of 160 MB has room for a body of 64 MB") {
  const std::uint64_t total =
      (limits::kDefaultMemoryMb << 20) * limits::kBudgetPercent / 100;
  host_budget budget({{total}, {limits::kMaxBufferedResponseBytes}});
  CHECK(budget.HasRoom(kCaller, {64 * kMegabyte}, At(0)));
  CHECK_FALSE(budget.HasRoom(kCaller, {128 * kMegabyte}, At(0)));
  body_blocks body(memory_account(budget, account_kind::kRequest, kCaller));
  body.SetExpectedSize(64 * kMegabyte);
  const std::string part(64 << 10, 'x');
  for (int i = 0; i < 1'024; ++i)
    REQUIRE(body.Append(part));
  CHECK(body.size() == 64 * kMegabyte);
  CHECK(budget.used().value < 65 * kMegabyte);
  CHECK_FALSE(budget.HasRoom(kCaller, {64 * kMegabyte}, At(0)));
  body.Release();
  CHECK(budget.used().value == 0);
}

// Guards against many short fields that take a host beyond its memory.
TEST_CASE("a request's header is in the budget beside its body") {
  host_budget budget({{kMegabyte}, {kMegabyte / 2}});
  body_blocks request(memory_account(budget, account_kind::kRequest, kCaller));
  CHECK(request.ReserveHeader(100'000));
  CHECK(request.Append("some bytes"));
  const std::uint64_t with_body = budget.used().value;
  CHECK(with_body > 100'000);
  // Trailers make it larger.
  CHECK(request.ReserveHeader(150'000));
  CHECK(budget.used().value == with_body + 50'000);
  CHECK_FALSE(request.ReserveHeader(2 * kMegabyte));
  CHECK(request.has_no_room());
  CHECK(budget.used().value == with_body + 50'000);
  request.Release();
  CHECK(budget.used().value == 0);
}
