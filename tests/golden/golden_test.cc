#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "session_world.h"

namespace dotterellead::golden {
namespace {

// Compares a transcript with its golden file, or rewrites the file if the flag
// is set.
void CheckGolden(const std::string& name, const session_world& world) {
  const std::string path = std::string(GOLDEN_FOLDER) + "/" + name + ".golden";
  if (std::getenv("DOTTERELLEAD_REMAKE_GOLDEN") != nullptr)
    std::ofstream(path) << world.transcript();
  std::ostringstream expected;
  expected << std::ifstream(path).rdbuf();
  CHECK(world.transcript() == expected.str());
}

// Guards against a resend that runs again or gets another answer.
TEST_CASE("session: a payment and its resends") {
  session_world world;
  world.Request("POST", "a", "amount=5");
  world.Request("POST", "a", "amount=5");
  world.Request("POST", "a", "amount=6");
  world.Request("POST", "", "amount=5");
  world.Request("POST", "b", "amount=5");
  CheckGolden("payment", world);
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
  CheckGolden("server_faults", world);
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
  CheckGolden("log_faults", world);
}

}  // namespace
}  // namespace dotterellead::golden
