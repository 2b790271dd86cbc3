// Timeout of probes, and detection of servers that do not report their load.
#include <doctest/doctest.h>

#include "../src/probe_statistics.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

std::vector<load_sample> Responses(milliseconds latency, bool reports_load) {
  load_sample sample;
  sample.server = server_id("s1");
  sample.result = probe_result::kHealthy;
  sample.latency = latency;
  if (reports_load)
    sample.load = load_report();
  return {sample};
}

std::vector<load_sample> NoResponse() {
  load_sample sample;
  sample.server = server_id("s1");
  return {sample};
}

}  // namespace

TEST_CASE("the timeout of fast probes is the minimum of 60 ms") {
  probe_statistics statistics;
  for (int i = 0; i < 100; ++i)
    statistics.Update(Responses(milliseconds(2), true));
  CHECK(statistics.timeout() == milliseconds(60));
}

TEST_CASE("the timeout of slow probes is four times their mean latency") {
  probe_statistics statistics;
  for (int i = 0; i < 100; ++i)
    statistics.Update(Responses(milliseconds(40), true));
  CHECK(statistics.timeout() >= milliseconds(155));
  CHECK(statistics.timeout() <= milliseconds(160));
}

TEST_CASE("a timeout without any response grows to the maximum") {
  probe_statistics statistics;
  for (int i = 0; i < 20; ++i)
    statistics.Update(NoResponse());
  CHECK(statistics.timeout() == milliseconds(240));
}

TEST_CASE("reports_load follows the last healthy response") {
  probe_statistics statistics;
  CHECK(statistics.reports_load());
  statistics.Update(Responses(milliseconds(2), false));
  CHECK(!statistics.reports_load());
  statistics.Update(NoResponse());
  CHECK(!statistics.reports_load());
  statistics.Update(Responses(milliseconds(2), true));
  CHECK(statistics.reports_load());
}
