// Corrupted messages of other hosts cause a protocol_error and nothing else.
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
  r.descendants = {r.self};
  r.end_offsets = {log_offset(), log_offset(3), log_offset(0)};
  r.updates[1] = {{{stream::kServers, "k", "v", log_offset(4)},
                   {stream::kServers, "gone", std::nullopt, log_offset(5)}},
                  log_offset(6),
                  milliseconds(12)};
  r.counters[{pool_id("p"), log_offset(9), true, catalog::route_name("r")}] = {
      10, 3};
  r.crash_events = {
      {member_id("x"), 4, incarnation_id(77), request_fingerprint(5)}};
  r.usage = {{member_id("x"),
              incarnation_id(4),
              usage::window_number(5),
              {{customer_id("c"), 2}, {customer_id("d"), 3}}}};
  r.pools[{pool_id("p"), data_centre_id("z")}].by_priority[2] = {1, 2, 3, 4, 5};
  r.max_wait = milliseconds(400);
  return r;
}

sync_response FullResponse() {
  sync_response a;
  a.self = FullRequest().self;
  a.updates = FullRequest().updates;
  a.hosts = FullRequest().descendants;
  moves::stage s;
  s.pool = pool_id("p");
  s.target = version_id("v2");
  s.order = log_offset(9);
  a.stages = {s};
  a.crash_events = FullRequest().crash_events;
  a.leader_token = usage::fencing_token(12);
  a.pools = FullRequest().pools;
  return a;
}

}  // namespace

TEST_CASE("decoding a corrupted message throws protocol_error or succeeds") {
  const std::string request = EncodeRequest(FullRequest());
  const std::string response = EncodeResponse(FullResponse());
  int decoded = 0;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    INFO("seed ", seed);
    fuzz::json_mutator mutator(seed);
    const std::string bad_request = mutator.Spoil(request);
    const std::string bad_response = mutator.Spoil(response);
    try {
      // What was decoded can be encoded and decoded again.
      DecodeRequest(EncodeRequest(DecodeRequest(bad_request)));
      ++decoded;
    } catch (const protocol_error&) {
    } catch (const std::exception& e) {
      FAIL_CHECK(std::string(e.what()), " for ", bad_request);
    }
    try {
      DecodeResponse(EncodeResponse(DecodeResponse(bad_response)));
      ++decoded;
    } catch (const protocol_error&) {
    } catch (const std::exception& e) {
      FAIL_CHECK(std::string(e.what()), " for ", bad_response);
    }
  }
  CHECK(decoded > 0);
}
