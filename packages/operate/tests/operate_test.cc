#include "dotterellead/operate.h"

#include <doctest/doctest.h>

#include <atomic>

namespace dotterellead {
namespace {

constexpr char kSecret[] = "a-secret-of-some-length";
constexpr char kDataCentre[] =
    R"({"kind":"data_centre","api_version":"v1","name":"a","spec":{"out":true}})";
constexpr milliseconds kTimeout{5'000};

config_published Published(std::uint64_t through, config_change change) {
  auto view = std::make_shared<config_view>();
  view->through = log_offset(through);
  view->data_centres[data_centre_id("a")] = {{true}, log_offset(3)};
  view->moves[move_id("m")].revision = log_offset(4);
  return {view, {std::move(change)}};
}

class fake_backend : public operator_backend {
 public:
  config_snapshot Config() override { return feed.Config(); }
  write_outcome Write(const operator_write& write, time_point) override {
    ++writes;
    last_write = write;
    return outcome;
  }
  config_changes ChangesFrom(log_offset from, time_point deadline) override {
    return feed.ChangesFrom(from, deadline);
  }
  host_status Status() override { return host; }
  health_status Health() override { return health; }
  std::vector<server_explanation> ExplainPool(const pool_id& pool) override {
    if (pool != pool_id("p"))
      return {};
    return {{pool, server_id("127.0.0.1:1"), false, {"it is cold"}, 2, 1}};
  }
  std::vector<server_explanation> ExplainServer(const server_id&) override {
    return {};
  }
  interval_stats Stats() override {
    return {milliseconds(1'000), {{"requests", 2}}};
  }
  std::string Metrics() override { return "requests_total 2\n"; }

  config_feed feed;
  write_outcome outcome = write_accepted{log_offset(7)};
  operator_write last_write;
  std::atomic<int> writes{0};
  host_status host;
  health_status health;
};

struct api_fixture {
  api_fixture() { listener.Start(); }
  http_answer Call(const std::string& method,
                   const std::string& target,
                   const std::string& body = "",
                   const std::string& secret = kSecret) {
    http_connection connection(listener.address());
    const send_result r = connection.Send(
        {method, target, {{"Authorization", "Bearer " + secret}}, body},
        kTimeout);
    REQUIRE(r.ok());
    return r.answer;
  }

  fake_backend backend;
  system_clock_source clock;
  operator_api api{backend, clock, kSecret};
  http_listener listener{
      {.address = ParseSocketAddress("127.0.0.1:0"), .threads = 4},
      [this](const http_request& r, const http_peer& p) {
        return api.Handle(r, p);
      }};
};

bool Contains(const http_answer& answer, const std::string& text) {
  return answer.body.find(text) != std::string::npos;
}

// Guards against a path that answers without the secret, or health that needs
// it.
TEST_CASE("only health is open") {
  api_fixture f;
  for (const char* target :
       {"/v1/kinds", "/v1/pool", "/v1/watch?from=0", "/v1/status", "/metrics",
        "/v1/stats", "/v1/explain?pool=p", "/v1/data_centre/a", "/none"}) {
    CAPTURE(target);
    CHECK(f.Call("GET", target, "", "wrong").status == 401);
    CHECK(f.Call("GET", target, "", "").status == 401);
  }
  CHECK(f.Call("PUT", "/v1/data_centre/a", kDataCentre, "x").status == 401);
  CHECK(f.Call("DELETE", "/v1/data_centre/a", "", "x").status == 401);
  CHECK(f.backend.writes == 0);
  CHECK(f.Call("GET", "/health/alive", "", "").status == 200);
  CHECK_FALSE(EqualInConstantTime("abc", "abd"));
  CHECK_FALSE(EqualInConstantTime("abc", "ab"));
  CHECK_FALSE(EqualInConstantTime("", "ab"));
  CHECK(EqualInConstantTime("abc", "abc"));
}

// Guards against outcomes that a client cannot tell apart.
TEST_CASE("each outcome of a write has its status") {
  struct row {
    write_outcome outcome;
    int status;
    std::string text;
  };
  const row rows[] = {
      {write_accepted{log_offset(7)}, 200, "\"revision\":7"},
      {write_conflict{log_offset(9), "late"}, 409, "\"revision\":9"},
      {write_rejected{error_kind::kInvalidInput, "spec.pool", "fix"}, 400,
       "spec.pool"},
      {write_rejected{error_kind::kNotFound, "none", "fix"}, 404, "none"},
      {write_rejected{error_kind::kUnavailable, "log", "wait"}, 503, "wait"},
      {write_rejected{error_kind::kOverloaded, "many", "wait"}, 429, "many"},
      {write_unknown{}, 504, "\"outcome\":\"unknown\""},
  };
  api_fixture f;
  for (const row& r : rows) {
    CAPTURE(r.status);
    f.backend.outcome = r.outcome;
    for (const char* method : {"PUT", "DELETE"}) {
      const http_answer answer =
          f.Call(method, "/v1/data_centre/a", kDataCentre);
      CHECK(answer.status == r.status);
      CHECK(Contains(answer, r.text));
    }
  }
}

// Guards against options that are dropped, and input that reaches the backend
// unchecked.
TEST_CASE("writes are parsed with their options") {
  api_fixture f;
  f.Call("PUT", "/v1/data_centre/a?revision=5&dry_run=1", kDataCentre);
  CHECK(f.backend.last_write.expected == log_offset(5));
  CHECK(f.backend.last_write.dry_run);
  CHECK_FALSE(f.backend.last_write.remove);
  f.Call("PUT", "/v1/data_centre/a?revision=none", kDataCentre);
  CHECK(f.backend.last_write.expected == log_offset());
  f.Call("DELETE", "/v1/move/m");
  CHECK(f.backend.last_write.remove);
  CHECK(KeyOf(f.backend.last_write.item) == resource_key{"move", "m"});
  CHECK_FALSE(f.backend.last_write.expected.has_value());
  const int before = f.backend.writes;
  const http_answer bad = f.Call(
      "PUT", "/v1/data_centre/a",
      R"({"kind":"data_centre","api_version":"v1","name":"a","spec":{}})");
  CHECK(bad.status == 400);
  CHECK(Contains(bad, "spec.out"));
  CHECK(Contains(bad, "remedy"));
  CHECK(f.Call("PUT", "/v1/data_centre/b", kDataCentre).status == 400);
  CHECK(f.Call("PUT", "/v1/pond/a", kDataCentre).status == 404);
  CHECK(f.Call("PUT", "/v1/data_centre/a?revision=x", kDataCentre).status ==
        400);
  CHECK(f.Call("PUT", "/v1/data_centre/a?dry_run=yes", kDataCentre).status ==
        400);
  CHECK(f.Call("POST", "/v1/data_centre/a", kDataCentre).status == 405);
  CHECK(f.backend.writes == before);
}

// Guards against an answer made of nothing, as before the first configuration.
TEST_CASE("reads before and after the first configuration") {
  api_fixture f;
  CHECK(f.Call("GET", "/v1/data_centre").status == 503);
  CHECK(f.Call("GET", "/v1/status").status == 200);
  CHECK(f.Call("GET", "/v1/watch?from=0").status == 503);
  f.backend.feed.Publish(Published(6, {log_offset(3), {"data_centre", "a"}}));
  CHECK(Contains(f.Call("GET", "/v1/kinds"), "data_centre"));
  CHECK(Contains(f.Call("GET", "/v1/data_centre"), "\"out\":true"));
  CHECK(Contains(f.Call("GET", "/v1/data_centre/a"), "\"revision\":3"));
  CHECK(Contains(f.Call("GET", "/v1/move/m"), "\"verdict\":\"moving\""));
  CHECK(f.Call("GET", "/v1/data_centre/z").status == 404);
  CHECK(f.Call("GET", "/v1/pond").status == 404);
  CHECK(f.Call("GET", "/v2/pool").status == 404);
  CHECK(Contains(f.Call("GET", "/v1/explain?pool=p"), "it is cold"));
  CHECK(f.Call("GET", "/v1/explain?server=127.0.0.1:1").status == 404);
  CHECK(f.Call("GET", "/v1/explain").status == 400);
  CHECK(Contains(f.Call("GET", "/v1/stats"), "\"requests\":2"));
  CHECK(f.Call("GET", "/metrics").body == "requests_total 2\n");
}

// Guards against a change that a watcher misses.
TEST_CASE("watch waits for a change and tells of changes no longer kept") {
  api_fixture f;
  f.backend.feed.Publish(Published(6, {log_offset(3), {"data_centre", "a"}}));
  CHECK(Contains(f.Call("GET", "/v1/watch?from=0"), "\"offset\":3"));
  CHECK(Contains(f.Call("GET", "/v1/watch?from=4"), "\"changes\":[]"));
  std::thread publisher([&] {
    std::this_thread::sleep_for(milliseconds(50));
    f.backend.feed.Publish(
        Published(8, {log_offset(8), {"pool", "b"}, change_action::kRemoved}));
  });
  const http_answer answer = f.Call("GET", "/v1/watch?from=7&wait_ms=4000");
  publisher.join();
  CHECK(Contains(answer, "\"action\":\"removed\""));
  CHECK(Contains(answer, "\"next\":9"));
  config_published whole = Published(20, {log_offset(20), {"pool", "c"}});
  whole.changes_complete = false;
  f.backend.feed.Publish(whole);
  CHECK(Contains(f.Call("GET", "/v1/watch?from=9"), "\"complete\":false"));
}

// Guards against a change reported in force while a live member lacks it.
TEST_CASE("status lists the live members that are behind") {
  api_fixture f;
  f.backend.feed.Publish(Published(6, {log_offset(3), {"data_centre", "a"}}));
  f.backend.host.members = {{member_id("h1"), {}, true, false, log_offset(6)},
                            {member_id("h2"), {}, true, false, log_offset(3)},
                            {member_id("h3"), {}, true, false, log_offset()},
                            {member_id("h4"), {}, false, false, log_offset(0)}};
  const auto all = StatusOfResources(*f.backend.Config(), f.backend.host);
  REQUIRE(all.size() == 2);
  CHECK(all[0].behind == std::vector{member_id("h3")});
  CHECK(all[1].behind == std::vector{member_id("h2"), member_id("h3")});
  CHECK(Contains(f.Call("GET", "/v1/status"), "\"behind\":[\"h2\",\"h3\"]"));
}

// Guards against callers sent to a host that cannot serve them.
TEST_CASE("ready tells why not") {
  api_fixture f;
  f.backend.health = {false, false, "no configuration"};
  const http_answer waiting = f.Call("GET", "/health/ready", "", "");
  CHECK(waiting.status == 503);
  CHECK(Contains(waiting, "no configuration"));
  f.backend.health = {true, false, ""};
  CHECK(f.Call("GET", "/health/ready", "", "").status == 200);
  f.backend.health = {true, true, "stopping"};
  CHECK(f.Call("GET", "/health/ready", "", "").status == 503);
  CHECK(Contains(f.Call("GET", "/health/leaving", "", ""), "leaving"));
}

}  // namespace
}  // namespace dotterellead
