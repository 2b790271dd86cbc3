#include <doctest/doctest.h>

#include "dotterellead/config.h"

namespace dotterellead {
namespace {

constexpr char kPool[] =
    R"({"kind":"pool","api_version":"v1","name":"payroll","spec":{"tenant":"ninho",
    "path_prefix":"/payroll","routes":[{"method":"GET","path_prefix":"/payroll","idempotent":true}],
    "servers":[{"address":"127.0.0.1:9001","data_centre":"a","version":"v1","slots":2}],
    "max_run_ms":500}})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

// Guards against a field that is only encoded or only decoded.
TEST_CASE("parsing a formatted resource gives the same resource") {
  const resource r = ParseResource(kPool);
  CHECK(std::get<pool_spec>(r.spec).max_run == milliseconds(500));
  CHECK(ParseResource(FormatResource(r)) == r);
}

// Guards against typing errors that are silently ignored.
TEST_CASE("invalid resources are rejected with the field's name") {
  struct row {
    std::string from, to, field;
  };
  const row rows[] = {
      {"\"tenant\"", "\"tennant\"", "spec.tennant"},
      {"\"max_run_ms\":500", "\"max_run_ms\":\"500ms\"", "spec.max_run_ms"},
      {"\"max_run_ms\":500", "\"max_run_ms\":0", "spec.max_run_ms"},
      {"\"slots\":2", "\"slots\":-1", "spec.servers[0].slots"},
      {"\"slots\":2", "\"slots\":2,\"cold_slots\":3", "cold_slots"},
      {"\"idempotent\":true", "\"idempotent\":1", "spec.routes[0].idempotent"},
      {"\"v1\",\"name\"", "\"v2\",\"name\"", "api_version"},
      {"\"kind\":\"pool\"", "\"kind\":\"pond\"", "kind"},
      {"\"payroll\",\"spec\"", "\"pay roll\",\"spec\"", "name"},
  };
  for (const row& r : rows) {
    CAPTURE(r.to);
    try {
      ParseResource(Replace(kPool, r.from, r.to));
      FAIL("accepted");
    } catch (const invalid_input_error& e) {
      CHECK(std::string(e.what()).find(r.field) != std::string::npos);
    }
  }
}

// Guards against a request served by another service's pool.
TEST_CASE("routes match whole segments, the longest prefix first") {
  config_view view;
  view.pools[pool_id("all")].spec.routes = {{"*", "/", true}};
  view.pools[pool_id("pay")].spec = {
      .path_prefix = "/pay",
      .routes = {{"GET", "/pay", true}, {"POST", "/pay", false}}};
  CHECK(MatchRoute(view, "h", "GET", "/pay/1")->pool == pool_id("pay"));
  CHECK(MatchRoute(view, "h", "POST", "/pay")->idempotent == false);
  CHECK(MatchRoute(view, "h", "GET", "/payroll")->pool == pool_id("all"));
  CHECK_FALSE(MatchRoute(view, "h", "DELETE", "/pay").has_value());
}

}  // namespace
}  // namespace dotterellead
