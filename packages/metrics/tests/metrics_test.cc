#include "dotterellead/metrics.h"

#include <doctest/doctest.h>
#include <fmt/core.h>
#include <malloc.h>

#include <sstream>
#include <thread>

namespace dotterellead {
namespace {

const tenant_id ninho("ninho");
const pool_id payroll("payroll");

timestamp At(std::int64_t ms) {
  return {time_point(milliseconds(ms)), unix_millis{ms}};
}

void Answer(request_metrics& metrics, int us, int status = 200) {
  metrics.Answered(ninho, payroll, route_id(0), status, microseconds(us),
                   microseconds(us / 10));
}

// The value of the line that starts with `series`, or -1.
double ValueOf(const std::string& text, const std::string& series) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(series + " "))
      return std::stod(line.substr(series.size()));
  }
  return -1;
}

// Guards against text that a scraper refuses or misreads.
TEST_CASE("exposition has types, cumulative buckets in seconds and sums") {
  request_metrics metrics;
  for (const int us : {5, 2'000, 2'000, 50'000'000, 200'000'000})
    Answer(metrics, us, us == 2'000 ? 200 : 503);
  metrics.Refused(ninho, "queue-full");
  metrics.Count(counter_family::kAttempts, "answered", 3);
  const std::string text = metrics.Expose();
  const std::string labels = R"(tenant="ninho",pool="payroll",route="0")";
  const std::string name = "dotterellead_request_seconds";
  CHECK(text.find("# TYPE " + name + " histogram\n") != std::string::npos);
  CHECK(text.find("# HELP " + name + " ") != std::string::npos);
  const auto bucket = [&](const char* le) {
    return ValueOf(text, name + "_bucket{" + labels + ",le=\"" + le + "\"}");
  };
  CHECK(bucket("1e-05") == 1);
  CHECK(bucket("0.001") == 1);
  CHECK(bucket("0.01") == 3);
  CHECK(bucket("100") == 4);
  CHECK(bucket("+Inf") == 5);
  CHECK(ValueOf(text, name + "_count{" + labels + "}") == 5);
  CHECK(ValueOf(text, name + "_sum{" + labels + "}") ==
        doctest::Approx(250.004005));
  CHECK(ValueOf(text,
                R"(dotterellead_tenant_added_seconds_count{tenant="ninho"})") ==
        5);
  CHECK(ValueOf(text, "dotterellead_request_failures_total{" + labels + "}") ==
        3);
  CHECK(
      ValueOf(
          text,
          R"(dotterellead_refusals_total{tenant="ninho",reason="queue-full"})") ==
      1);
  CHECK(ValueOf(text, R"(dotterellead_attempts_total{result="answered"})") ==
        3);
}

// Guards against a label value that ends its label or its line.
TEST_CASE("label values are escaped") {
  request_metrics metrics;
  metrics.Refused(tenant_id("a\"b\\c\nd"), "x");
  CHECK(ValueOf(
            metrics.Expose(),
            R"(dotterellead_refusals_total{tenant="a\"b\\c\nd",reason="x"})") ==
        1);
}

// Guards against quantiles over all time where the last interval is meant.
TEST_CASE("interval statistics cover the last interval only") {
  request_metrics metrics;
  for (int i = 0; i < 1'000; ++i)
    Answer(metrics, 900'000);
  metrics.RollInterval(At(1'000));
  for (int i = 0; i < 990; ++i)
    Answer(metrics, 1'000);
  for (int i = 0; i < 10; ++i)
    Answer(metrics, 80'000, 500);
  metrics.Refused(ninho, "deadline");
  metrics.RollInterval(At(2'000));
  const interval_statistics last = metrics.LastInterval();
  CHECK(last.begin.wall.value == 1'000);
  CHECK(last.end.wall.value == 2'000);
  CHECK(last.refusals == 1);
  REQUIRE(last.rows.size() == 2);
  for (const interval_row& row : last.rows) {
    CHECK(row.requests == 1'000);
    CHECK(row.failures == 10);
    CHECK(row.total.p50.count() > 700);
    CHECK(row.total.p50.count() < 1'400);
    CHECK(row.total.p999.count() > 55'000);
    CHECK(row.added.p50.count() < 140);
  }
  CHECK(last.rows[0].labels.pool == payroll);
  CHECK_FALSE(last.rows[1].labels.pool.is_valid());
  metrics.RollInterval(At(3'000));
  CHECK(metrics.LastInterval().rows.empty());
}

// Guards against memory that grows with names that callers or tenants invent.
TEST_CASE("label sets are bounded and nothing is lost") {
  request_metrics metrics;
  const std::size_t many = limits::kMaxRequestClasses + 50;
  for (std::size_t i = 0; i < many; ++i) {
    metrics.Answered(ninho, pool_id("p" + std::to_string(i)), route_id(0), 200,
                     microseconds(100), microseconds(10));
    metrics.Refused(ninho, "r" + std::to_string(i));
  }
  metrics.RollInterval(At(1));
  const interval_statistics all = metrics.LastInterval();
  CHECK(all.rows.size() == limits::kMaxRequestClasses + 1 + 2);
  CHECK(all.refusals == many);
  const std::string text = metrics.Expose();
  CHECK(ValueOf(text,
                "dotterellead_request_seconds_count{tenant=\"other\","
                "pool=\"other\",route=\"other\"}") == 50);
  CHECK(ValueOf(text,
                "dotterellead_refusals_total{tenant=\"other\","
                "reason=\"other\"}") == 50);
}

// Guards against counts lost between threads.
TEST_CASE("recording from many threads loses nothing; cost per request") {
  for (const int threads : {1, 8}) {
    request_metrics metrics;
    constexpr int kEach = 100'000;
    std::vector<std::thread> workers;
    workers.reserve(threads);
    const auto begin = std::chrono::steady_clock::now();
    for (int t = 0; t < threads; ++t) {
      workers.emplace_back([&metrics] {
        for (int i = 0; i < kEach; ++i)
          Answer(metrics, 1'000 + i % 1'000);
      });
    }
    for (std::thread& worker : workers)
      worker.join();
    const std::chrono::duration<double, std::nano> took =
        std::chrono::steady_clock::now() - begin;
    fmt::print("metrics: recording a request takes {:.0f} ns, {} threads\n",
               took.count() / kEach, threads);
    metrics.RollInterval(At(1));
    CHECK(metrics.LastInterval().rows.at(0).requests == 1ULL * threads * kEach);
  }
}

// Guards against a class that takes much more memory than stated.
TEST_CASE("memory per class") {
  request_metrics metrics;
  const std::size_t before = mallinfo2().uordblks;
  constexpr std::size_t kClasses = 200;
  for (std::size_t i = 0; i < kClasses; ++i) {
    metrics.Answered(ninho, payroll, route_id(i), 200, microseconds(100),
                     microseconds(10));
  }
  const std::size_t one_shard = (mallinfo2().uordblks - before) / kClasses;
  const std::uint64_t stated = request_metrics::BytesPerClass().value;
  fmt::print("metrics: {} bytes per class and shard, stated {} over 8 shards\n",
             one_shard, stated);
  CHECK(one_shard * 8 < stated * 3 / 2);
}

}  // namespace
}  // namespace dotterellead
