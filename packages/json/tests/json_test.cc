#include "dotterellead/json.h"

#include <doctest/doctest.h>

namespace dotterellead {
namespace {

// Guards against input that two readers could take differently, and against a
// deep nesting that ends the process.
TEST_CASE("only one whole, plain JSON value is accepted") {
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
