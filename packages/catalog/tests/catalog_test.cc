#include "dotterellead/catalog.h"

#include <doctest/doctest.h>

using namespace dotterellead;
using namespace dotterellead::catalog;

namespace {

configuration_ptr TwoHosts() {
  auto config = std::make_shared<configuration>();
  auto add = [&](const char* name, const char* host, const char* prefix) {
    route r;
    r.name = route_name(name);
    r.host = host;
    r.prefix = prefix;
    config->routes.push_back(r);
  };
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("other", "b.example", "/x/");
  return config;
}

std::string Found(const route_table& table,
                  std::string_view host,
                  std::string_view path) {
  const route* r = table.Find(host, path);
  return r == nullptr ? "" : r->name.value();
}

}  // namespace

TEST_CASE("the longest prefix of the host wins") {
  const route_table table(TwoHosts());
  CHECK(Found(table, "a.example", "/x/1") == "short");
  CHECK(Found(table, "a.example", "/x/y/1?q=/z/") == "long");
  CHECK(Found(table, "A.Example:80", "/x/y/") == "long");
  CHECK(Found(table, "b.example", "/x/y/1") == "other");
}

TEST_CASE("unknown hosts and paths and path-like queries match no route") {
  const route_table table(TwoHosts());
  CHECK(Found(table, "c.example", "/x/1") == "");
  CHECK(Found(table, "a.example", "/x") == "");
  CHECK(Found(table, "a.example", "/?/x/") == "");
  CHECK(Found(route_table(), "a.example", "/x/1") == "");
}

TEST_CASE("only complete endpoints IP:port are parsed") {
  CHECK(to_string(ParseEndpoint("10.1.0.10:8166")) == "10.1.0.10:8166");
  for (const char* bad : {"", "10.1.0.10", "10.1.0:1", "10.1.0.10:", "x:1",
                          "10.1.0.10:70000", "10.1.0.10:80a"})
    CHECK_FALSE(ParseEndpoint(bad).is_valid());
}
