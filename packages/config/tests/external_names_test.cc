#include <doctest/doctest.h>

#include "dotterellead/config.h"
#include "dotterellead/json.h"
#include "external_names/listed_names.h"

namespace dotterellead {
namespace {

// Guards against a release that renames a field of a resource.
TEST_CASE("the resource fields of the codec are those of the list") {
  pool_spec pool;
  pool.tenant = tenant_id("t");
  pool.host = "h";
  pool.routes = {{}};
  pool.servers = {
      {server_id("10.0.0.1:80"), data_centre_id("d"), version_id("v1")}};
  pool.from_host_list = true;
  const move_spec move{pool_id("p"), version_id("v1"), version_id("v2"), {1}};
  std::set<std::string> names;
  for (const resource& r : {resource{"p", pool}, resource{"m", move},
                            resource{"d", data_centre_spec{true}}})
    CollectNames(*ParseJson(FormatResource(r)), names);
  CHECK(names == ListedNames(DOTTERELLEAD_EXTERNAL_NAMES,
                             "Resource fields, standalone (tested)"));
}

}  // namespace
}  // namespace dotterellead
