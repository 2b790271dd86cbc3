#include "dotterellead/json.h"

#include <doctest/doctest.h>

namespace dotterellead {
namespace {

// Guards against input that two parsers could interpret differently, and
// against nesting that overflows the stack.
TEST_CASE(
    "only a single JSON value without repeated keys or deep nesting is "
    "accepted") {
  CHECK(ParseJson(R"({"a":[1,"é"]})").has_value());
  for (const std::string& text :
       {std::string(R"({"a":1,"a":2})"), std::string("{} {}"), std::string(""),
        std::string("{"), std::string(100'000, '[')}) {
    std::string problem;
    CHECK_FALSE(ParseJson(text, &problem).has_value());
    CHECK_FALSE(problem.empty());
  }
  CHECK(FormatJson(*ParseJson(R"( {"b":1, "a":"é"} )")) ==
        R"({"a":"é","b":1})");
}

}  // namespace
}  // namespace dotterellead
