#include "commands.h"

#include <doctest/doctest.h>

#include <mutex>
#include <sstream>

#include "output.h"

namespace dotterellead {
namespace {

// Answers every request with the status and body that the test set, and keeps
// what was asked.
struct scripted_host {
  scripted_host() { listener.Start(); }
  http_answer Answer(const http_request& r, const http_peer& peer) {
    std::lock_guard lock(mutex);
    asked.push_back(r.method + " " + r.target);
    if (cut)
      peer.Abort();
    const bool is_status = r.target == "/v1/status";
    return {is_status ? 200 : status, {}, is_status ? status_body : body};
  }

  std::mutex mutex;
  std::vector<std::string> asked;
  bool cut = false;
  int status = 200;
  std::string body = R"({"outcome":"accepted","revision":7})";
  std::string status_body;
  http_listener listener{
      {.address = ParseSocketAddress("127.0.0.1:0"), .threads = 4},
      [this](const http_request& r, const http_peer& p) {
        return Answer(r, p);
      }};
};

struct ctl {
  exit_code Run(const std::string& command) {
    o.command = command;
    o.secret = "secret";
    return commands(o, out, problems).Run();
  }
  options o;
  std::ostringstream out;
  std::ostringstream problems;
};

// An address that refuses connections.
socket_address NoHost() {
  return {"127.0.0.1", 1};
}

ctl ApplyTo(std::vector<socket_address> hosts) {
  ctl c;
  c.o.hosts = std::move(hosts);
  c.o.file = std::string(DOTTERELLEAD_EXAMPLES) + "/ninho.jsonl";
  return c;
}

// Guards against scripts that cannot tell outcomes apart.
TEST_CASE("each status of the API has its exit code") {
  struct row {
    int status;
    exit_code code;
  };
  const row rows[] = {
      {200, exit_code::kOk},          {400, exit_code::kInvalid},
      {404, exit_code::kNotFound},    {409, exit_code::kConflict},
      {503, exit_code::kUnavailable}, {504, exit_code::kUnknownOutcome},
      {500, exit_code::kUnexpected}};
  for (const row& r : rows) {
    scripted_host host;
    host.status = r.status;
    ctl c;
    c.o.hosts = {host.listener.address()};
    c.o.kind = "pool";
    c.o.name = "payroll";
    CHECK(c.Run("get") == r.code);
    CHECK(c.Run("list") == r.code);
    CHECK(c.Run("delete") == r.code);
  }
}

// Guards against a write that takes effect twice, or whose loss is reported as
// certain.
TEST_CASE("a write goes to a further host only if none was reached") {
  scripted_host first;
  scripted_host second;
  ctl reached = ApplyTo({NoHost(), second.listener.address()});
  CHECK(reached.Run("apply") == exit_code::kOk);
  CHECK(second.asked.size() == 5);
  first.cut = true;
  ctl cut = ApplyTo({first.listener.address(), second.listener.address()});
  CHECK(cut.Run("apply") == exit_code::kUnknownOutcome);
  CHECK(first.asked.size() == 1);
  CHECK(second.asked.size() == 5);
  ctl none = ApplyTo({NoHost()});
  CHECK(none.Run("apply") == exit_code::kUnavailable);
}

// Guards against an operator who cannot read while one host fails.
TEST_CASE("a read goes to the next host") {
  scripted_host first;
  scripted_host second;
  first.status = 503;
  ctl c;
  c.o.hosts = {NoHost(), first.listener.address(), second.listener.address()};
  c.o.kind = "pool";
  CHECK(c.Run("list") == exit_code::kOk);
  CHECK(second.asked.size() == 1);
}

// Guards against a half applied file, and options that are dropped.
TEST_CASE("apply checks all before it writes any, and stops at a failure") {
  scripted_host host;
  ctl c = ApplyTo({host.listener.address()});
  c.o.revision = "4";
  c.o.dry_run = true;
  CHECK(c.Run("apply") == exit_code::kOk);
  CHECK(host.asked.front() == "PUT /v1/data_centre/cwb-a?dry_run=1&revision=4");
  host.asked.clear();
  host.status = 409;
  CHECK(c.Run("apply") == exit_code::kConflict);
  CHECK(host.asked.size() == 1);
  CHECK(SplitResources("[{\"a\":1},{\"b\":2}]").size() == 2);
  CHECK(SplitResources("{}\n\n {}\n").size() == 2);
  CHECK_THROWS_AS(SplitResources("[{"), invalid_input_error);
}

// Guards against a change reported in force while a live host lacks it.
TEST_CASE("apply waits until all live hosts have the change") {
  scripted_host host;
  ctl c = ApplyTo({host.listener.address()});
  c.o.wait_in_force_seconds = 1;
  host.status_body =
      R"({"members":[{"member":"h1","live":true,"config_offset":7},
          {"member":"h2","live":true,"config_offset":6},
          {"member":"h3","live":false,"config_offset":null}]})";
  CHECK(c.Run("apply") == exit_code::kNotInForce);
  CHECK(c.problems.str().find("h2") != std::string::npos);
  CHECK(c.problems.str().find("h3") == std::string::npos);
  host.status_body.replace(host.status_body.find(":6}"), 3, ":8}");
  CHECK(c.Run("apply") == exit_code::kOk);
}

}  // namespace
}  // namespace dotterellead
