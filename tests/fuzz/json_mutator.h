// Spoils JSON texts for tests of decoders: each seed gives one text.
#ifndef TESTS_FUZZ_JSON_MUTATOR_H_
#define TESTS_FUZZ_JSON_MUTATOR_H_

#include <array>
#include <string>
#include <vector>

#include "dotterellead/json.h"
#include "fuzz/random_bytes.h"

namespace dotterellead::fuzz {

class json_mutator : public random_bytes {
 public:
  using random_bytes::random_bytes;

  // `valid` with a few values replaced by ones of other types, or with its
  // bytes changed, or cut short.
  std::string Spoil(const std::string& valid) {
    constexpr int kWays = 4;
    switch (Below(kWays)) {
      case 0:
        return valid.substr(0, Below(valid.size() + 1));
      case 1:
        return ChangeBytes(valid);
      default:
        return ChangeValues(valid);
    }
  }

 private:
  std::string ChangeBytes(std::string text) {
    for (std::size_t i = 0; i <= Below(4) && !text.empty(); ++i)
      text[Below(text.size())] = static_cast<char>(Below(256));
    return text;
  }

  std::string ChangeValues(const std::string& valid) {
    Json::Value json = *ParseJson(valid);
    for (std::size_t i = 0; i <= Below(3); ++i) {
      std::vector<Json::Value*> nodes;
      Collect(json, nodes);
      *nodes[Below(nodes.size())] = Odd();
    }
    return FormatJson(json);
  }

  static void Collect(Json::Value& json, std::vector<Json::Value*>& nodes) {
    nodes.push_back(&json);
    if (json.isArray() || json.isObject())
      for (Json::Value& child : json)
        Collect(child, nodes);
  }

  Json::Value Odd() {
    Json::Value three(Json::arrayValue);
    for (int i = 0; i < 3; ++i)
      three.append(i);
    Json::Value object(Json::objectValue);
    object["items"] = three;
    object["columns"] = three;
    object["rows"] = three;
    const std::array<Json::Value, 14> values = {
        Json::Value(),
        Json::Value(true),
        Json::Value(0),
        Json::Value(-1),
        Json::Value(-1.5),
        Json::Value(1e300),
        Json::Value(static_cast<Json::UInt64>(~0ULL)),
        Json::Value("text"),
        Json::Value(""),
        Json::Value(std::string(2'000, 'x')),
        Json::Value(Json::arrayValue),
        Json::Value(Json::objectValue),
        three,
        object};
    return values[Below(values.size())];
  }
};

}  // namespace dotterellead::fuzz

#endif  // TESTS_FUZZ_JSON_MUTATOR_H_
