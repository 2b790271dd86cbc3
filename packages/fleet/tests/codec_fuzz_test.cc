// Spoiled messages of other hosts give a protocol_error, nothing else.
#include <doctest/doctest.h>

#include "dotterellead/fleet.h"
#include "fuzz/json_mutator.h"

using namespace dotterellead;
using namespace dotterellead::fleet;

namespace {

constexpr std::uint64_t kSeeds = 20'000;

sync_request FullRequest() {
  sync_request r;
  r.self = {member_id("a"), data_centre_id("z"), {0x7f000001, 1}};
  r.below = {r.self};
  r.have = {log_offset(), log_offset(3), log_offset(0)};
  r.news[1] = {{{stream::kServers, "k", "v", log_offset(4)},
                {stream::kServers, "gone", std::nullopt, log_offset(5)}},
               log_offset(6),
               milliseconds(12)};
  r.tallies[{pool_id("p"), log_offset(9), true, catalog::route_name("r")}] = {
      10, 3};
  r.events = {{member_id("x"), 4, incarnation_id(77), request_fingerprint(5)}};
  r.wait = milliseconds(400);
  return r;
}

sync_answer FullAnswer() {
  sync_answer a;
  a.self = FullRequest().self;
  a.news = FullRequest().news;
  a.hosts = FullRequest().below;
  moves::stage s;
  s.pool = pool_id("p");
  s.target = version_id("v2");
  s.order = log_offset(9);
  a.stages = {s};
  a.events = FullRequest().events;
  return a;
}

}  // namespace

TEST_CASE("spoiled messages are protocol errors") {
  const std::string request = EncodeRequest(FullRequest());
  const std::string answer = EncodeAnswer(FullAnswer());
  int read = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    INFO("seed ", seed);
    fuzz::json_mutator mutator(seed);
    const std::string bad_request = mutator.Spoil(request);
    const std::string bad_answer = mutator.Spoil(answer);
    try {
      // What is read can be written and read again.
      DecodeRequest(EncodeRequest(DecodeRequest(bad_request)));
      ++read;
    } catch (const protocol_error&) {
    } catch (const std::exception& e) {
      FAIL_CHECK(std::string(e.what()), " for ", bad_request);
    }
    try {
      DecodeAnswer(EncodeAnswer(DecodeAnswer(bad_answer)));
      ++read;
    } catch (const protocol_error&) {
    } catch (const std::exception& e) {
      FAIL_CHECK(std::string(e.what()), " for ", bad_answer);
    }
  }
  CHECK(read > 0);
}
