#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include "system_load.h"

namespace dotterellead::harness {
namespace {

cluster_options ThreeHosts() {
  return {.entry_hosts = 3,
          .servers = {{.pool = "pay",
                       .data_centre = "a",
                       .count = 2,
                       .behaviour = R"({"service_us":2000})"},
                      {.pool = "pay",
                       .data_centre = "b",
                       .count = 2,
                       .behaviour = R"({"service_us":2000})"},
                      {.pool = "pay",
                       .data_centre = "c",
                       .count = 2,
                       .behaviour = R"({"service_us":2000})"}},
          .log_folder = "out-path"};
}

// Guards against a path that works in parts only: every host serves every
// server, and none beyond its slots.
TEST_CASE("requests of both kinds are served through every entry host") {
  cluster c(ThreeHosts());
  c.Start();
  c.ControlAllBackends(R"({"reset_ledger":1})");
  bench::load_options load = Load(c, 300, 3);
  load.post_per_mille = 200;
  const std::vector<bench::sample> samples = bench::RunLoad(load);
  for (const auto& [result, count] : bench::CountResults(samples))
    MESSAGE(result << ": " << count);
  CHECK(std::all_of(samples.begin(), samples.end(),
                    [](const bench::sample& s) { return s.ok(); }));
  const backend_ledger total = c.TotalLedger();
  CHECK(total.exceeded == 0);
  CHECK(total.max_in_flight <= 2);
  for (const bench::sample& s : samples) {
    if (s.post)
      CHECK(total.runs_by_key.at(s.key) == 1);
  }
}

// Guards against a resend that runs again, on the same or another host.
TEST_CASE("a resend gets the first run's answer from any host") {
  cluster c(ThreeHosts());
  c.Start();
  const std::string key = MakeKey();
  const http_headers headers = {{"Idempotency-Key", key}};
  const send_result first =
      c.Call(0, "POST", "/pay/transfer", headers, "amount=5");
  REQUIRE(first.answer.status == 200);
  for (std::size_t i = 0; i < 3; ++i) {
    const send_result again =
        c.Call(i, "POST", "/pay/transfer", headers, "amount=5");
    CHECK(again.answer.status == 200);
    CHECK(again.answer.body == first.answer.body);
    CHECK(
        c.Call(i, "POST", "/pay/transfer", headers, "amount=6").answer.status ==
        422);
  }
  CHECK(c.TotalLedger().runs_by_key.at(key) == 1);
  const send_result old =
      c.Call(0, "POST", "/pay/transfer",
             {{"Idempotency-Key", MakeKey(milliseconds(1'000'000'000))}}, "x");
  CHECK(old.answer.status >= 400);
  // Its claim may have left the log, so that nobody can tell whether it ran.
  CHECK(*FindHeader(old.answer.headers, "dotterellead-run") == "unknown");
}

// Guards against a planned stop that cuts requests in flight.
TEST_CASE("SIGTERM under load cuts nothing and exits with 0") {
  cluster c(ThreeHosts());
  c.Start();
  std::optional<int> exit_code;
  std::thread stopper([&] {
    std::this_thread::sleep_for(milliseconds(1'000));
    c.entry_host(1).Signal(SIGTERM);
    exit_code = c.entry_host(1).WaitForExit(milliseconds(15'000));
  });
  bench::load_options load = Load(c, 100, 4);
  load.targets = {c.caller_address(0), c.caller_address(2)};
  bench::load_options stopping = Load(c, 100, 2);
  stopping.targets = {c.caller_address(1)};
  std::vector<bench::sample> on_stopping;
  std::thread second([&] { on_stopping = bench::RunLoad(stopping); });
  const std::vector<bench::sample> samples = bench::RunLoad(load);
  second.join();
  stopper.join();
  CHECK(exit_code == 0);
  for (const bench::sample& s : samples)
    CHECK(s.ok());
  // Requests that reach the leaving host before it closes are answered; later
  // ones find no listener, which tells their callers that nothing ran.
  for (const bench::sample& s : on_stopping)
    CHECK((s.ok() || s.status == 0));
  CHECK(on_stopping.front().ok());
  CHECK(c.TotalLedger().cancelled == 0);
}

// Guards against a second process that silently shares a port, and against
// settings that are checked only when they are used.
TEST_CASE("a port in use is an error at start") {
  cluster c(ThreeHosts());
  c.Start();
  cluster_options same = ThreeHosts();
  CHECK(c.entry_host(0).is_running());
  const std::string address = c.caller_address(0).ToString();
  http_listener second(
      {.address = ParseSocketAddress(address)},
      [](const http_request&, const http_peer&) { return http_answer{}; });
  CHECK_THROWS_AS(second.Start(), unavailable_error);
}

}  // namespace
}  // namespace dotterellead::harness
