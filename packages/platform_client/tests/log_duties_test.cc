#include <doctest/doctest.h>

#include "dotterellead/platform_client.h"

namespace dotterellead {
namespace {

// In-memory log that records its calls.
class fake_log : public log_client {
 public:
  append_result Append(const append_request& request, milliseconds) override {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !appends_blocked; });
    append_result result{.stream = request.stream, .token = request.token};
    result.status = append_status::kAppended;
    result.first = log_offset(first + records.size());
    records.insert(records.end(), request.records.begin(),
                   request.records.end());
    changed_.notify_all();
    return result;
  }

  std::variant<log_batch, log_unavailable> Read(const stream_id& stream,
                                                log_offset from,
                                                std::size_t max,
                                                milliseconds wait) override {
    std::unique_lock lock(mutex_);
    ++reads;
    if (down)
      return log_unavailable{stream};
    changed_.wait_for(lock, wait, [&] { return from.value() != Next(); });
    log_batch batch{.stream = stream,
                    .first = log_offset(first),
                    .next = log_offset(Next())};
    for (std::uint64_t at = from.value();
         at >= first && at < Next() && batch.records.size() < max; ++at) {
      batch.records.push_back({log_offset(at), records[at - first]});
    }
    return batch;
  }

  template <class Change>
  void Set(Change change) {
    std::lock_guard lock(mutex_);
    change(*this);
    changed_.notify_all();
  }

  std::uint64_t Next() const { return first + records.size(); }

  std::vector<std::string> records;
  std::uint64_t first = 0;
  int reads = 0;
  bool down = false;
  bool appends_blocked = false;

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
};

// Collects the results of a tail.
class event_list {
 public:
  log_tail::sink Sink() {
    return [this](log_event&& events) { ring_.TryPush(std::move(events)); };
  }
  std::optional<log_event> Next(milliseconds wait = milliseconds(2'000)) {
    return ring_.PopUntil(std::chrono::steady_clock::now() + wait);
  }
  // Skips empty batches.
  std::string NextRecords() {
    std::string all;
    for (int i = 0; i < 100; ++i) {
      const auto events = Next();
      const auto* batch = events ? std::get_if<log_batch>(&*events) : nullptr;
      if (batch == nullptr)
        return "no batch";
      for (const log_record& record : batch->records)
        all += record.data;
      if (!all.empty())
        break;
    }
    return all;
  }

 private:
  bounded_ring<log_event> ring_{1'000};
};

const stream_id test_stream("s");

// Guards against records that are skipped, repeated or read before the owner is
// ready for them.
TEST_CASE("a tail reads from the offset that its owner sets, in order") {
  fake_log log;
  log.records = {"a", "b", "c"};
  event_list events;
  log_tail tail(log, test_stream, events.Sink(), milliseconds(50), 2);
  tail.Start();
  CHECK_FALSE(events.Next(milliseconds(100)).has_value());
  tail.SetOffset(log_offset(0));
  CHECK(events.NextRecords() == "ab");
  CHECK(events.NextRecords() == "c");
  log.Set([](fake_log& l) { l.records.push_back("d"); });
  CHECK(events.NextRecords() == "d");
  tail.SetOffset(log_offset(2));
  CHECK(events.NextRecords() == "cd");
}

// Guards against a host that waits for a long poll before it knows that it is
// up to date.
TEST_CASE("the first read from a new offset does not wait for records") {
  fake_log log;
  event_list events;
  log_tail tail(log, test_stream, events.Sink(), milliseconds(800));
  tail.Start();
  for (int i = 0; i < 2; ++i) {
    tail.SetOffset(log_offset(0));
    CHECK(events.Next(milliseconds(i == 0 ? 400 : 1'200)).has_value());
  }
}

// Guards against a reader that continues after records it did not read.
TEST_CASE("a tail reports an offset outside the stream and waits for another") {
  struct row {
    std::uint64_t first;
    std::uint64_t requested;
  };
  for (const row& r : {row{4, 2}, row{0, 9}}) {
    fake_log log;
    log.first = r.first;
    log.records = {"a", "b"};
    event_list events;
    log_tail tail(log, test_stream, events.Sink(), milliseconds(50));
    tail.Start();
    tail.SetOffset(log_offset(r.requested));
    const auto got = events.Next();
    REQUIRE(got.has_value());
    const auto* truncated = std::get_if<log_truncated>(&*got);
    REQUIRE(truncated != nullptr);
    CHECK(truncated->requested == log_offset(r.requested));
    CHECK(truncated->first == log_offset(r.first));
    CHECK_FALSE(events.Next(milliseconds(100)).has_value());
    tail.SetOffset(truncated->first);
    CHECK(events.NextRecords() == "ab");
  }
}

// Guards against frequent reads while the log is unavailable, and against a
// tail that does not resume.
TEST_CASE("a tail backs off while the log is unavailable and then resumes") {
  fake_log log;
  log.records = {"a"};
  log.down = true;
  event_list events;
  log_tail tail(log, test_stream, events.Sink(), milliseconds(50));
  tail.SetOffset(log_offset(0));
  tail.Start();
  std::this_thread::sleep_for(milliseconds(1'500));
  int reads = 0;
  log.Set([&](fake_log& l) {
    reads = l.reads;
    l.down = false;
  });
  // 20, 40, 80, 160, 320 and 500 ms apart.
  CHECK(reads >= 3);
  CHECK(reads <= 8);
  for (int i = 0; i < reads; ++i) {
    const auto got = events.Next();
    REQUIRE(got.has_value());
    CHECK(std::holds_alternative<log_unavailable>(*got));
  }
  CHECK(events.NextRecords() == "a");
}

// Guards against a duty that blocks its owner while the log hangs.
TEST_CASE(
    "an appender keeps the order and rejects requests if its ring is full") {
  fake_log log;
  log.appends_blocked = true;
  bounded_ring<append_result> results(100);
  log_appender appender(
      "append", log, [&](append_result&& r) { results.TryPush(std::move(r)); },
      milliseconds(500), 2);
  appender.Start();
  for (std::uint64_t i = 0; i < 20; ++i)
    appender.Submit({.stream = test_stream, .token = i, .records = {"x"}});
  // The appender holds one request and its ring two; the others are rejected.
  int refused = 0;
  while (const auto r = results.PopUntil(std::chrono::steady_clock::now()))
    refused += r->status == append_status::kRejected ? 1 : 0;
  CHECK(refused >= 17);
  CHECK(refused <= 18);
  log.Set([](fake_log& l) { l.appends_blocked = false; });
  appender.Stop();
  std::uint64_t expected = 0;
  while (const auto r = results.PopUntil(std::chrono::steady_clock::now())) {
    CHECK(r->status == append_status::kAppended);
    CHECK(r->first == log_offset(expected++));
  }
  CHECK(expected == 20 - static_cast<std::uint64_t>(refused));
}

}  // namespace
}  // namespace dotterellead
