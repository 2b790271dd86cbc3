#include <doctest/doctest.h>

#include "dotterellead/fleet.h"
#include "dotterellead/json.h"
#include "external_names/listed_names.h"

using namespace dotterellead;
using namespace dotterellead::fleet;

// Guards against a release that renames a field of the messages between hosts.
TEST_CASE("the message fields of the codec are those of the list") {
  sync_request request;
  request.self = {member_id("a"), data_centre_id("z"), {0x7f000001, 1}};
  request.descendants = {request.self};
  request.updates[0] = {{{stream::kOperators, "k", "v", log_offset(4)}},
                        log_offset(6),
                        milliseconds(12),
                        milliseconds(-3)};
  request.counters[{pool_id("p"), log_offset(9), true,
                    catalog::route_name("r")}] = {1, 0};
  request.crash_events = {
      {member_id("x"), 4, incarnation_id(77), request_fingerprint(5)}};
  request.usage = {{member_id("x"),
                    incarnation_id(1),
                    usage::window_number(5),
                    {{customer_id("c"), 2}}}};
  request.pools[{pool_id("p"), data_centre_id("z")}].by_priority[0] = {1};
  request.is_inquiry = true;
  sync_response response;
  response.self = request.self;
  response.updates = request.updates;
  response.hosts = request.descendants;
  response.stages = {moves::stage{}};
  response.crash_events = request.crash_events;
  response.leader_token = usage::fencing_token(4);
  response.held = milliseconds(1);
  std::set<std::string> names;
  CollectNames(*ParseJson(EncodeRequest(request)), names);
  CollectNames(*ParseJson(EncodeResponse(response)), names);
  CHECK(names ==
        ListedNames(DOTTERELLEAD_EXTERNAL_NAMES,
                    "Messages between hosts on the platform (tested)"));
}
