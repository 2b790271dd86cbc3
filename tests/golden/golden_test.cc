#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "control_world.h"
#include "session_world.h"

namespace dotterellead::golden {
namespace {

// Compares a transcript with its golden file, or rewrites the file if the flag
// is set.
void CheckGolden(const std::string& name, const std::string& transcript) {
  const std::string path = std::string(GOLDEN_FOLDER) + "/" + name + ".golden";
  if (std::getenv("DOTTERELLEAD_REMAKE_GOLDEN") != nullptr)
    std::ofstream(path) << transcript;
  std::ostringstream expected;
  expected << std::ifstream(path).rdbuf();
  CHECK(transcript == expected.str());
}

// Guards against a resend that runs again or gets another answer.
TEST_CASE("session: a payment and its resends") {
  session_world world;
  world.Request("POST", "a", "amount=5");
  world.Request("POST", "a", "amount=5");
  world.Request("POST", "a", "amount=6");
  world.Request("POST", "", "amount=5");
  world.Request("POST", "b", "amount=5");
  CheckGolden("payment", world.transcript());
}

// Guards against a second run after a run whose end is unknown, and against
// claims that stay taken by requests that did not run.
TEST_CASE("session: backend servers fail in every way") {
  session_world world;
  using m = server_mode;
  for (const m mode :
       {m::kFails, m::kSheds, m::kRefuses, m::kCuts, m::kSilent}) {
    const std::string key = "key-" + std::to_string(static_cast<int>(mode));
    world.SetServers({mode});
    world.Request("POST", key, "amount=5");
    world.Request("POST", key, "amount=5");
    world.SetServers({mode});
    world.Request("GET", "", "");
    world.Wait(milliseconds(1'000));
  }
  CheckGolden("server_faults", world.transcript());
}

// Guards against a run without a claim in the log, a false "not run", and a
// lost reply that makes a claim run twice or never.
TEST_CASE("session: the log fails and comes back") {
  session_world world;
  world.SetLog(log_mode::kLosesReplies);
  world.Request("POST", "a", "amount=5");
  world.Request("POST", "a", "amount=5");
  world.SetLog(log_mode::kDown);
  world.Request("POST", "a", "amount=5");
  world.Request("POST", "b", "amount=5");
  world.Request("GET", "", "");
  world.SetLog(log_mode::kUp);
  world.Request("POST", "b", "amount=5");
  world.Request("POST", "a", "amount=5");
  CheckGolden("log_faults", world.transcript());
}

resource Pool(const std::string& tenant) {
  return {"pay", pool_spec{.tenant = tenant_id(tenant),
                           .routes = {{"*", "/", true}},
                           .servers = {{.address = server_id("127.0.0.1:1"),
                                        .data_centre = data_centre_id("a"),
                                        .version = version_id("v1")},
                                       {.address = server_id("127.0.0.1:2"),
                                        .data_centre = data_centre_id("a"),
                                        .version = version_id("v2")}}}};
}

// Guards against two winners of one revision, a record that is applied twice
// after a lost reply, and a state that is lost with the records that aged out.
TEST_CASE("session: configuration") {
  control_world world(milliseconds(4'000));
  world.Apply(0, Pool("ninho"), log_offset());
  world.Run(milliseconds(300));
  world.Apply(0, Pool("ardhi"), log_offset(0));
  world.Apply(1, Pool("kira"), log_offset(0));
  world.Run(milliseconds(300));
  world.LoseNextReply();
  world.Apply(1, Pool("folha"));
  world.Run(milliseconds(3'800));
  world.Restart(1);
  world.Run(milliseconds(300));
  world.ShowTables();
  CheckGolden("config", world.transcript());
}

// Guards against a good move that does not end as done, a bad one that does
// not end as rolled back, and steps that skip or repeat a share.
TEST_CASE("session: moves") {
  for (const bool is_bad : {false, true}) {
    control_world world(milliseconds(3'600'000));
    world.Apply(0, Pool("ninho"));
    world.Run(milliseconds(300));
    constexpr milliseconds kWhole{120'000};
    world.Apply(0,
                {"pay-v2", move_spec{pool_id("pay"),
                                     version_id("v1"),
                                     version_id("v2"),
                                     {world.wall().value + kWhole.count()}}});
    world.Serve(kWhole, is_bad);
    world.ShowTables();
    CheckGolden(is_bad ? "move_rolled_back" : "move_done", world.transcript());
  }
}

}  // namespace
}  // namespace dotterellead::golden
