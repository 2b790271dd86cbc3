#include <doctest/doctest.h>

#include <algorithm>
#include <cctype>

#include "claim_simulation.h"

namespace dotterellead::claim_simulation {
namespace {

constexpr std::int64_t kMinute = 60'000;
constexpr std::int64_t kDay = 86'400'000;

caller_attempt Try(claim_simulation& w,
                   std::size_t host,
                   const idempotency_key& key,
                   std::uint64_t fingerprint = 7) {
  const request_id id = w.Begin(host, key, milliseconds(3'000), fingerprint).id;
  w.Run(milliseconds(4'000));
  return w.attempts[id.value()];
}

// Guards against keys of unknown age, and against keys so old that an earlier
// run may have been dropped from the log.
TEST_CASE("keys are checked for form and age before any claim") {
  claim_simulation w(1);
  w.Run(milliseconds(100));
  struct row {
    idempotency_key key;
    int status;
    run_state run;
  };
  const std::int64_t now = w.Wall();
  const row rows[] = {
      {idempotency_key("1"), 400, run_state::kNotRun},
      {idempotency_key("01890a5d-ac96-4000-8000-000000000001"), 400,
       run_state::kNotRun},
      {idempotency_key("01890a5d-ac96-7000-c000-000000000001"), 400,
       run_state::kNotRun},
      {idempotency_key("01890a5d-ac96-7000-8000-00000000000g"), 400,
       run_state::kNotRun},
      {MakeKey(now - kDay + 5 * kMinute, 1), 422, run_state::kUnknown},
      {MakeKey(now + 6 * kMinute, 1), 422, run_state::kNotRun},
      {MakeKey(now - kDay + 7 * kMinute, 1), 200, run_state::kDone},
      {MakeKey(now + 4 * kMinute, 1), 200, run_state::kDone},
  };
  for (const row& r : rows) {
    CAPTURE(r.key.value());
    const caller_attempt a = Try(w, 0, r.key);
    CHECK(a.status == r.status);
    CHECK(a.response_run == r.run);
  }
}

// Guards against running a request under the key of a different one.
TEST_CASE("a key with another fingerprint gets 422 at every host") {
  claim_simulation w(2);
  w.Run(milliseconds(100));
  const idempotency_key key = MakeKey(w.Wall(), 1);
  CHECK(Try(w, 0, key).response_run == run_state::kDone);
  for (const std::size_t host : {0, 1}) {
    const caller_attempt other = Try(w, host, key, 8);
    CHECK(other.status == 422);
    CHECK(other.response_run == run_state::kNotRun);
  }
  std::string upper = key.value();
  std::transform(upper.begin(), upper.end(), upper.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  CHECK(Try(w, 1, idempotency_key(upper)).response_run == run_state::kDone);
  CHECK(w.runs[key] == 1);
}

// Guards against claims on a host that has not read earlier claims.
TEST_CASE("a host that cannot read the log denies at once") {
  claim_simulation w(2);
  w.log.reads_down = true;
  w.Run(milliseconds(1'000));
  const time_point begun = w.Now();
  caller_attempt a = w.Begin(0, MakeKey(w.Wall(), 1));
  w.Run(milliseconds(100));
  a = w.attempts[0];
  CHECK(a.status == 503);
  CHECK(a.response_run == run_state::kNotRun);
  CHECK(a.responded_at - begun <= milliseconds(20));
  CHECK(w.log.appends == 0);
  // An earlier key may have run elsewhere.
  CHECK(Try(w, 0, MakeKey(w.Wall() - 10 * kMinute, 1)).response_run ==
        run_state::kUnknown);
}

// Guards against callers that hang while the log accepts no appends.
TEST_CASE("a claim that the log rejects is denied within the claim timeout") {
  claim_simulation w(1);
  w.Run(milliseconds(100));
  w.log.appends_down = true;
  w.Begin(0, MakeKey(w.Wall(), 1), milliseconds(30'000));
  w.Run(milliseconds(2'100));
  CHECK(w.attempts[0].status == 503);
  CHECK(w.attempts[0].response_run == run_state::kNotRun);
  w.log.appends_down = false;
  w.Run(milliseconds(3'000));
  CHECK(w.log.records == 0);
}

// Guards against running a claim after its caller got "not-run".
TEST_CASE("a denied claim that appears in the log later is voided") {
  claim_simulation w(2);
  w.Run(milliseconds(100));
  const idempotency_key key = MakeKey(w.Wall(), 1);
  w.log.next_reply = reply_mode::kLostAfterEffect;
  w.on_first = [&](step s) {
    if (s == step::kClaimSent)
      w.log.reads_down = true;
  };
  w.Begin(0, key);
  w.Run(milliseconds(4'000));
  CHECK(w.attempts[0].status == 503);
  w.log.reads_down = false;
  w.Run(milliseconds(2'000));
  CHECK(w.runs[key] == 0);
  CHECK(w.log.records == 2);
  CHECK(Try(w, 1, key).response_run == run_state::kDone);
  CHECK(w.runs[key] == 1);
}

// Guards against a claim or an outcome that is missing from the log after a
// lost append.
TEST_CASE("an append that was lost without effect is sent again") {
  for (const step at : {step::kReceived, step::kWholeAnswer}) {
    CAPTURE(static_cast<int>(at));
    claim_simulation w(2);
    w.Run(milliseconds(100));
    const idempotency_key key = MakeKey(w.Wall(), 1);
    w.on_first = [&](step s) {
      if (s == at)
        w.log.next_reply = reply_mode::kLostBeforeEffect;
    };
    CHECK(Try(w, 0, key).response_run == run_state::kDone);
    CHECK(Try(w, 1, key).response_run == run_state::kDone);
    CHECK(w.log.records == 2);
  }
}

// Guards against running a claim that reaches the log after its caller was
// denied, while the caller's next request waits for the same key.
TEST_CASE("a denied claim that arrives late does not run for a later request") {
  claim_simulation w(2);
  w.Run(milliseconds(100));
  const idempotency_key key = MakeKey(w.Wall(), 1);
  w.log.next_reply = reply_mode::kEffectAfterReply;
  w.log.late_by = milliseconds(3'000);
  w.Begin(0, key);
  w.Run(milliseconds(50));
  w.log.appends_down = true;
  w.Run(milliseconds(2'450));
  CHECK(w.attempts[0].response_run == run_state::kNotRun);
  w.Begin(0, key);
  w.Run(milliseconds(1'000));
  CHECK(w.runs[key] == 0);
  w.log.appends_down = false;
  w.Run(milliseconds(2'000));
  CHECK(w.attempts[1].response_run == run_state::kDone);
  CHECK(w.runs[key] == 1);
  // The late claim, its void, the new claim and its outcome.
  CHECK(w.log.records == 4);
}

// Guards against a late start by a host that was paused past the deadline.
TEST_CASE("a claim that is acquired after the deadline is released") {
  claim_simulation w(2);
  w.Run(milliseconds(100));
  const idempotency_key key = MakeKey(w.Wall(), 1);
  w.on_first = [&](step s) {
    if (s == step::kClaimSent)
      w.PauseHost(0, milliseconds(1'000));
  };
  w.Begin(0, key, milliseconds(300));
  w.Run(milliseconds(2'000));
  CHECK(w.attempts[0].response_run.has_value());
  CHECK(w.attempts[0].response_run != run_state::kDone);
  CHECK(w.runs[key] == 0);
  CHECK(Try(w, 1, key).response_run == run_state::kDone);
}

// Guards against a claim that stays held after its caller has stopped waiting.
TEST_CASE("a cancelled claim is released before and after it is granted") {
  for (const step at : {step::kReceived, step::kClaimSent, step::kClaimed}) {
    CAPTURE(static_cast<int>(at));
    claim_simulation w(2);
    w.Run(milliseconds(100));
    const idempotency_key key = MakeKey(w.Wall(), 1);
    w.on_first = [&](step s) {
      if (s != at)
        return;
      w.attempts[0].over = true;
      w.Post(w.host(0), cancel_claim{request_id(0)});
    };
    w.Begin(0, key);
    w.Run(milliseconds(1'000));
    w.on_first = nullptr;
    CHECK(w.runs[key] == 0);
    CHECK(Try(w, 1, key).response_run == run_state::kDone);
  }
}

// Guards against waiting for a process that has ended.
TEST_CASE("a request with the key of a dead host gets unknown at once") {
  claim_simulation w(2);
  w.Run(milliseconds(100));
  const idempotency_key key = MakeKey(w.Wall(), 1);
  w.on_first = [&](step s) {
    if (s == step::kAllSent)
      w.KillHost(0);
  };
  w.Begin(0, key);
  w.Run(milliseconds(3'000));
  const time_point begun = w.Now();
  w.Begin(1, key);
  w.Run(milliseconds(200));
  CHECK(w.attempts[1].status == 502);
  CHECK(w.attempts[1].response_run == run_state::kUnknown);
  CHECK(w.attempts[1].responded_at - begun <= milliseconds(20));
}

// Guards against new claims for keys whose earlier claim was dropped unread.
TEST_CASE(
    "records that were dropped unread block the keys they may have claimed") {
  claim_simulation w(2);
  w.Run(milliseconds(100));
  const idempotency_key key = MakeKey(w.Wall(), 1);
  w.log.reads_down = true;
  const std::uint64_t shard = ShardOf(key).value();
  w.log.shards[shard].records.resize(5, void_record{key, {}});
  w.log.shards[shard].first = 4;
  w.log.reads_down = false;
  w.Run(milliseconds(2'000));
  const caller_attempt a = Try(w, 0, key);
  CHECK(a.status == 503);
  CHECK(a.response_run == run_state::kUnknown);
  CHECK(w.runs[key] == 0);
  // A host that starts after the loss reads the remaining records.
  w.StartHost(1, 2);
  w.ShareMembers();
  w.Run(milliseconds(1'000));
  CHECK(w.host(1).machine->IsReady());
}

// Guards against memory that grows with the number of keys ever seen.
TEST_CASE("keys older than the retention are dropped") {
  claim_simulation w(1);
  w.log.retention = milliseconds(20'000);
  w.Run(milliseconds(600));
  for (unsigned i = 0; i < 20; ++i)
    Try(w, 0, MakeKey(w.Wall(), i));
  CHECK(w.host(0).machine->size() <= 6);
  CHECK(w.runs.size() == 20);
  w.Run(milliseconds(21'000));
  CHECK(w.host(0).machine->size() == 0);
}

// Guards against clients that overload the log, and against delay at low load.
TEST_CASE("16 hosts with 200 claims a second stay within the append rate") {
  claim_simulation w(16);
  w.Run(milliseconds(1'000));
  const auto measure = [&](int per_second) {
    const std::size_t from = w.attempts.size();
    const std::uint64_t appends = w.log.appends;
    const std::uint64_t records = w.log.records;
    for (int i = 0; i < per_second * 10; ++i) {
      w.Begin(static_cast<std::size_t>(i * 7) % 16,
              MakeKey(w.Wall(), static_cast<unsigned>(i)));
      const bool due = (i + 1) * 200 / per_second != i * 200 / per_second;
      w.Run(due ? milliseconds(1'000 / per_second) : milliseconds(0));
    }
    const double seconds = 10;
    const auto sent = static_cast<double>(w.log.appends - appends) / seconds;
    w.Run(milliseconds(2'000));
    std::vector<std::int64_t> total;
    std::int64_t longest_claim = 0;
    for (std::size_t i = from; i < w.attempts.size(); ++i) {
      CHECK(w.attempts[i].response_run == run_state::kDone);
      total.push_back(std::chrono::duration_cast<milliseconds>(
                          w.attempts[i].responded_at - w.attempts[i].begun)
                          .count());
      longest_claim = std::max(
          longest_claim, std::chrono::duration_cast<milliseconds>(
                             w.attempts[i].claimed_at - w.attempts[i].begun)
                             .count());
    }
    std::sort(total.begin(), total.end());
    MESSAGE(per_second << " claims/s at 16 hosts: " << sent << " appends/s for "
                       << static_cast<double>(w.log.records - records) / seconds
                       << " records/s; longest claim " << longest_claim
                       << " ms; total with 25 ms of work: median "
                       << total[total.size() / 2] << " ms, 99 in 100 "
                       << total[total.size() * 99 / 100] << " ms");
    return sent;
  };
  CHECK(measure(10) <= 20.5);
  CHECK(measure(200) <= limits::kLogAppendsPerSecond + 7);
}

}  // namespace
}  // namespace dotterellead::claim_simulation
