// How long probes are waited for, and whether silence means a dead server.
#include <doctest/doctest.h>

#include "../src/probe_habits.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

std::vector<load_sample> Answers(milliseconds taken, bool tells_load) {
  load_sample sample;
  sample.server = server_id("s1");
  sample.result = probe_result::kHealthy;
  sample.taken = taken;
  if (tells_load)
    sample.load = load_report();
  return {sample};
}

std::vector<load_sample> Silence() {
  load_sample sample;
  sample.server = server_id("s1");
  return {sample};
}

}  // namespace

TEST_CASE("fast probes are waited for 60 ms") {
  probe_habits habits;
  for (int i = 0; i < 100; ++i)
    habits.Learn(Answers(milliseconds(2), true));
  CHECK(habits.limit() == milliseconds(60));
}

TEST_CASE("slow probes get four times their usual time") {
  probe_habits habits;
  for (int i = 0; i < 100; ++i)
    habits.Learn(Answers(milliseconds(40), true));
  CHECK(habits.limit() >= milliseconds(155));
  CHECK(habits.limit() <= milliseconds(160));
}

TEST_CASE("a limit that is too short for any answer grows") {
  probe_habits habits;
  for (int i = 0; i < 20; ++i)
    habits.Learn(Silence());
  CHECK(habits.limit() == milliseconds(240));
}

TEST_CASE("whether servers tell their load is learned from healthy answers") {
  probe_habits habits;
  CHECK(habits.tells_load());
  habits.Learn(Answers(milliseconds(2), false));
  CHECK(!habits.tells_load());
  habits.Learn(Silence());
  CHECK(!habits.tells_load());
  habits.Learn(Answers(milliseconds(2), true));
  CHECK(habits.tells_load());
}
