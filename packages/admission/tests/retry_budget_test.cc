#include <doctest/doctest.h>
#include <fmt/core.h>

#include <thread>

#include "dotterellead/admission.h"

namespace dotterellead {
namespace {

timestamp At(std::int64_t ms) {
  return {time_point(milliseconds(1'000'000 + ms)), unix_millis{0}};
}

bool TryAcquireOne(admission_machine& machine,
                   std::uint64_t first_tries,
                   timestamp now) {
  std::vector<admission_machine::effect> out;
  machine.Step(acquire_retry{request_id(1), pool_id("p"), first_tries}, now,
               out);
  return std::get<retry_decision>(out.at(0)).allowed;
}

// Guards against retries that multiply the load when servers fail fast.
TEST_CASE("a retry storm stays within the budget") {
  admission_machine machine;
  admission_table table;
  constexpr std::int64_t kSeconds = 20;
  constexpr int kPerMs = 5;
  std::uint64_t first_tries = 0;
  std::uint64_t retries = 0;
  std::uint64_t refused = 0;
  std::uint64_t attempt = 0;
  for (std::int64_t ms = 0; ms < kSeconds * 1'000; ++ms) {
    for (int i = 0; i < kPerMs; ++i) {
      ++first_tries;
      const request_fingerprint fp(first_tries);
      REQUIRE(table.TryBegin(pool_id("p"), fp));
      // Every second attempt fails; at most three attempts.
      for (int tries = 1; tries < 3 && ++attempt % 2 == 0; ++tries) {
        if (!TryAcquireOne(machine, table.ExchangeFirstAttempts(pool_id("p")),
                           At(ms))) {
          ++refused;
          break;
        }
        ++retries;
      }
      CHECK_FALSE(table.End(fp));
    }
  }
  const std::uint64_t budget =
      first_tries * limits::kRetryBudgetPerMille / 1'000 + limits::kMinRetries +
      kSeconds;
  fmt::print(
      "retry storm: {} first tries, {} retries ({:.2f}%), {} refused, budget "
      "{}\n",
      first_tries, retries, 100.0 * retries / first_tries, refused, budget);
  CHECK(refused > 0);
  CHECK(retries <= budget);
  CHECK(retries > budget * 9 / 10);
}

// Guards against a pool with little traffic that can never retry, and against
// one pool that uses another's budget.
TEST_CASE("a single request may be retried, a burst may not") {
  admission_machine machine;
  for (int round = 0; round < 3; ++round) {
    const timestamp now = At(std::int64_t{round} * 10'000);
    int acquired = 0;
    while (acquired < 100 && TryAcquireOne(machine, 0, now))
      ++acquired;
    CHECK(acquired == limits::kMinRetries);
  }
  std::vector<admission_machine::effect> out;
  machine.Step(acquire_retry{request_id(1), pool_id("q"), 0}, At(20'000), out);
  CHECK(std::get<retry_decision>(out.at(0)).allowed);
}

// Guards against a retry storm after a quiet period.
TEST_CASE("the number of saved retries is limited") {
  admission_machine machine;
  int acquired = 0;
  TryAcquireOne(machine, 1'000'000, At(0));
  while (acquired < 1'000 && TryAcquireOne(machine, 0, At(0)))
    ++acquired;
  CHECK(acquired == limits::kMaxSavedRetries - 1);
}

// Guards against lost ends of runs when a strike arrives between begin and end.
TEST_CASE("the table reports which runs the duty must be informed of") {
  admission_table table;
  const pool_id pool("p");
  const request_fingerprint fp(5);
  CHECK(table.TryBegin(pool, fp));
  CHECK(table.TryBegin(pool, fp));
  CHECK_FALSE(table.End(fp));
  CHECK(table.Mark(fp) == 1);
  CHECK_FALSE(table.TryBegin(pool, fp));
  CHECK(table.TryBegin(pool, request_fingerprint(6)));
  CHECK(table.End(fp));
  table.Unmark(fp);
  CHECK(table.TryBegin(pool, fp));
  CHECK_FALSE(table.End(fp));
  CHECK(table.ExchangeFirstAttempts(pool) == 4);
  CHECK(table.ExchangeFirstAttempts(pool) == 0);
}

double NanosecondsPerRequest(int threads) {
  constexpr std::uint64_t kRounds = 200'000;
  admission_table table;
  const pool_id pool("payroll");
  std::vector<std::thread> workers;
  workers.reserve(threads);
  const auto begin = std::chrono::steady_clock::now();
  for (int t = 0; t < threads; ++t) {
    workers.emplace_back([&table, &pool, t] {
      for (std::uint64_t i = 0; i < kRounds; ++i) {
        const request_fingerprint fp(StableHash("x") + i * 977 + t);
        table.TryBegin(pool, fp);
        table.End(fp);
      }
    });
  }
  for (std::thread& worker : workers)
    worker.join();
  const std::chrono::duration<double, std::nano> took =
      std::chrono::steady_clock::now() - begin;
  return took.count() / kRounds;
}

// Guards against a check that costs more than the round trip it saves.
TEST_CASE("cost of the fast path") {
  for (const int threads : {1, 4}) {
    const double cost = NanosecondsPerRequest(threads);
    fmt::print("admission_table: begin and end take {:.0f} ns, {} threads\n",
               cost, threads);
    CHECK(cost < 20'000);
  }
}

}  // namespace
}  // namespace dotterellead
