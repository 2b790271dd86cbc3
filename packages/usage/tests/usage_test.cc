#include "dotterellead/usage.h"

#include <doctest/doctest.h>

using namespace dotterellead;
using namespace dotterellead::usage;

namespace {

constexpr window_settings kSettings{};
constexpr std::int64_t kStart = 1'000'000'000;

unix_millis At(std::int64_t ms) {
  return {kStart + ms};
}

}  // namespace

// Guards against counts that move to another window, or change after the
// report.
TEST_CASE("a host reports each window once, and again for a new leader") {
  host_counter counter(kSettings, member_id("h"), incarnation_id(kStart));
  const window_number window = WindowAt(At(0), kSettings.period);
  const customer_id customer("c");
  counter.Count(customer, 1, window);
  counter.Count(customer, 1, window);
  counter.Count(customer, -1, window);
  counter.Count(customer_id("d"), 1, window);
  counter.Count(customer_id("d"), -1, window);
  CHECK(counter.TakeDue(At(6'400)).empty());
  const std::vector<host_report> reports = counter.TakeDue(At(6'500));
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].counts == count_table{{customer, 1}});
  CHECK(counter.TakeDue(At(6'600)).empty());
  counter.Count(customer, 1, window);
  counter.SendAgain();
  CHECK(counter.TakeDue(At(6'700)) == reports);
}

// Guards against counts that are added twice after a change of parent.
TEST_CASE("a repeated report changes nothing, another run adds to it") {
  collection collected(kSettings);
  const window_number window = WindowAt(At(0), kSettings.period);
  const customer_id customer("c");
  const host_report first{
      member_id("h"), incarnation_id(1), window, {{customer, 5}}};
  host_report second = first;
  second.incarnation = incarnation_id(2);
  collected.Add({first, first, second}, At(0));
  collected.Add({first}, At(100));
  CHECK(collected.CountsOf(window) == count_table{{customer, 10}});
}

// Guards against memory that a wrong window number of another host would hold.
TEST_CASE("reports of windows far from the present one are ignored") {
  collection collected(kSettings);
  const host_report far{member_id("h"),
                        incarnation_id(1),
                        window_number(5),
                        {{customer_id("c"), 5}}};
  collected.Add({far}, At(0));
  CHECK(collected.CountsOf(far.window).empty());
}

// Guards against a leader that ends on a record of a later release.
TEST_CASE("records survive encoding, and unreadable ones are skipped") {
  const window_record record{"usage", window_number(7), "{\"a\":1}", 2};
  const std::optional<duty_record> decoded = DecodeRecord(EncodeRecord(record));
  REQUIRE(decoded);
  CHECK(std::get<window_record>(*decoded).body == record.body);
  duty_log log;
  log.StartEra(2);
  for (const char* text : {"", "{", "[]", "{\"host\":3}", "{\"task\":\"x\"}"})
    log.Apply(text);
  log.Apply(EncodeRecord(record));
  CHECK(log.next_offset() == 6);
  CHECK(log.NextWindow("usage") == window_number(8));
}

// Guards against a wrong clock that is followed at once, or never.
TEST_CASE("a step of the wall clock is followed only once it has lasted") {
  window_clock clock;
  constexpr milliseconds kStep{5'000};
  const auto read = [&clock](int s, milliseconds error) {
    const milliseconds elapsed(1'000 * s);
    return clock.Read({boot_millis(elapsed), At((elapsed + error).count())})
               .wall.value -
           At(elapsed.count()).value;
  };
  CHECK(read(0, milliseconds(0)) == 0);
  CHECK(read(1, milliseconds(20)) == 20);
  CHECK(read(2, kStep) == 20);
  CHECK(read(200, kStep) == 20);
  CHECK(read(303, kStep) == 5'000);
}
