#include "dotterellead/statistics.h"

#include <doctest/doctest.h>

using namespace dotterellead;
using namespace dotterellead::statistics;

namespace {

bool Has(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

}  // namespace

TEST_CASE(
    "requests are counted by class and outcome, delivered ones with latency") {
  request_statistics s;
  s.Record({"read", "delivered", milliseconds(200)});
  s.Record({"read", "delivered", milliseconds(400)});
  s.Record({"read", "no-room", milliseconds(5)});
  s.SetGauge("open_callers", 7);
  const std::string text = s.FormatMetrics();
  CHECK(Has(text,
            R"(dotterellead_calls_total{class="read",outcome="delivered"} 2)"));
  CHECK(Has(text,
            R"(dotterellead_calls_total{class="read",outcome="no-room"} 1)"));
  CHECK(Has(text, R"(dotterellead_call_seconds_sum{class="read"} 0.600)"));
  CHECK(Has(text, R"(dotterellead_call_seconds_count{class="read"} 2)"));
  CHECK(Has(text, "dotterellead_open_callers 7"));
}

TEST_CASE("LastInterval returns the last complete interval") {
  request_statistics s;
  s.Record({"read", "delivered", milliseconds(1)});
  CHECK(s.LastInterval().requests == 0);
  s.StartInterval();
  CHECK(s.LastInterval().requests == 1);
  s.Record({"read", "no-room", milliseconds(1)});
  CHECK(s.LastInterval().delivered == 1);
  s.StartInterval();
  CHECK(s.LastInterval().delivered == 0);
}

TEST_CASE("classes beyond the maximum are counted as other") {
  request_statistics s;
  for (int i = 0; i < 1'000; ++i)
    s.Record({"class-" + std::to_string(i), "delivered", milliseconds(1)});
  const std::string text = s.FormatMetrics();
  CHECK(text.find(R"(class="other")") != std::string::npos);
  CHECK(text.find(R"(class="class-999")") == std::string::npos);
}

TEST_CASE("values of pools have the pool as a label") {
  dotterellead::statistics::request_statistics counts;
  counts.DeclarePoolGauge("pool_age");
  CHECK(counts.FormatMetrics().find("# TYPE dotterellead_pool_age gauge\n") !=
        std::string::npos);
  counts.SetPoolGauge("pool_age", "p", 7);
  CHECK(counts.FormatMetrics().find("dotterellead_pool_age{pool=\"p\"} 7\n") !=
        std::string::npos);
}
