#include <doctest/doctest.h>

#include <mutex>

#include "dotterellead/platform_client.h"

namespace dotterellead {
namespace {

constexpr milliseconds kTimeout{300};

// Fake platform with one prepared response per request.
struct scripted_platform {
  http_answer answer;
  bool cut = false;
  milliseconds delay{0};
  std::mutex mutex;
  http_request last;
  http_listener listener{
      {.address = ParseSocketAddress("127.0.0.1:0"), .threads = 4},
      [this](const http_request& r, const http_peer& p) {
        {
          std::lock_guard lock(mutex);
          last = r;
        }
        std::this_thread::sleep_for(delay);
        if (cut)
          p.Abort();
        return answer;
      }};
  scripted_platform() { listener.Start(); }
  http_request Last() {
    std::lock_guard lock(mutex);
    return last;
  }
};

// Guards against treating an append as rejected or as done when its outcome may
// be the other one.
TEST_CASE("each append response means appended, rejected or unknown") {
  struct row {
    std::string name;
    http_answer answer;
    bool cut = false;
    milliseconds delay{0};
    append_status status = append_status::kUnknown;
  };
  const std::string good = R"({"offset":5,"count":2})";
  const row rows[] = {
      {"good", {.body = good}, false, {}, append_status::kAppended},
      {"rate", {.status = 429}, false, {}, append_status::kRejected},
      {"outage", {.status = 503}, false, {}, append_status::kRejected},
      {"cut", {.body = good}, true},
      {"late", {.body = good}, false, milliseconds(600)},
      {"server error", {.status = 500, .body = good}},
      {"not JSON", {.body = "{"}},
      {"no offset", {.body = R"({"count":2})"}},
      {"negative", {.body = R"({"offset":-1,"count":2})"}},
      {"other count", {.body = R"({"offset":5,"count":1})"}},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    scripted_platform platform;
    platform.answer = r.answer;
    platform.cut = r.cut;
    platform.delay = r.delay;
    http_log_client log(platform.listener.address());
    const append_result result = log.Append(
        {.stream = stream_id("s"), .token = 9, .records = {"a\"\xc3\xa9", "b"}},
        kTimeout);
    CHECK(result.status == r.status);
    CHECK(result.token == 9);
    CHECK(platform.Last().target == "/streams/s/records");
    CHECK(platform.Last().body == "{\"records\":[\"a\\\"\xc3\xa9\",\"b\"]}");
    if (r.status == append_status::kAppended)
      CHECK(result.first == log_offset(5));
  }
}

// Guards against an append that is reported as unknown although it was never
// sent.
TEST_CASE("an append that cannot connect is rejected") {
  scripted_platform platform;
  platform.listener.Stop();
  http_log_client log(platform.listener.address());
  CHECK(log.Append({.stream = stream_id("s"), .records = {"a"}}, kTimeout)
            .status == append_status::kRejected);
}

// Guards against records that a malformed response would skip or repeat.
TEST_CASE("a read returns a complete batch or unavailable") {
  struct row {
    std::string body;
    bool good = false;
  };
  const row rows[] = {
      {R"({"records":[{"offset":3,"data":"x"},{"offset":4,"data":""}],)"
       R"("first":1,"next":9,"retention_ms":50})",
       true},
      {R"({"records":[],"first":0,"next":0,"retention_ms":50})", true},
      {R"({"records":[{"offset":3,"data":"x"},{"offset":5,"data":""}],)"
       R"("first":1,"next":9,"retention_ms":50})"},
      {R"({"records":[{"offset":9,"data":"x"}],)"
       R"("first":1,"next":9,"retention_ms":50})"},
      {R"({"records":[{"offset":3}],"first":1,"next":9,"retention_ms":50})"},
      {R"({"records":[7],"first":1,"next":9,"retention_ms":50})"},
      {R"({"records":{},"first":1,"next":9,"retention_ms":50})"},
      {R"({"records":[],"first":1,"next":9})"},
      {"[]"},
      {""},
  };
  for (const row& r : rows) {
    CAPTURE(r.body);
    scripted_platform platform;
    platform.answer.body = r.body;
    http_log_client log(platform.listener.address());
    const auto result =
        log.Read(stream_id("s"), log_offset(3), 10, milliseconds(20));
    CHECK(platform.Last().target ==
          "/streams/s/records?from=3&max=10&wait_ms=20");
    CHECK(std::holds_alternative<log_batch>(result) == r.good);
  }
  scripted_platform down;
  down.answer.status = 503;
  http_log_client log(down.listener.address());
  CHECK(std::holds_alternative<log_unavailable>(
      log.Read(stream_id("s"), log_offset(0), 1, milliseconds(0))));
}

TEST_CASE("the host list is read completely or not at all") {
  scripted_platform platform;
  http_host_list_client list(platform.listener.address());
  platform.answer.body =
      R"({"hosts":[{"address":"127.0.0.1:1","data_centre":"a",)"
      R"("kind":"backend","state":"leaving","pool":"p","version":"v1"},)"
      R"({"address":"127.0.0.1:2","data_centre":"b","kind":"entry",)"
      R"("state":"live"}]})";
  const auto hosts = list.List(kTimeout);
  REQUIRE(hosts.has_value());
  REQUIRE(hosts->size() == 2);
  CHECK((*hosts)[0] == listed_host{"127.0.0.1:1", data_centre_id("a"),
                                   host_kind::kBackend, host_state::kLeaving,
                                   pool_id("p"), version_id("v1")});
  CHECK((*hosts)[1].kind == host_kind::kEntry);
  for (
      const char* body :
      {"", "{}", R"({"hosts":[1]})",
       R"({"hosts":[{"address":"a","data_centre":"a","kind":"x","state":"live"}]})"}) {
    platform.answer.body = body;
    CHECK_FALSE(list.List(kTimeout).has_value());
  }
  platform.answer.status = 503;
  CHECK_FALSE(list.List(kTimeout).has_value());
}

}  // namespace
}  // namespace dotterellead
