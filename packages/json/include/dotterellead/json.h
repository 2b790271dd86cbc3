// Conversion of JSON text to and from jsoncpp values. Included by codecs only.
#ifndef DOTTERELLEAD_JSON_H_
#define DOTTERELLEAD_JSON_H_

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace dotterellead {

// Parses one JSON value. Returns nullopt, and sets `problem` if given, if the
// text is not exactly one value, repeats a key, or is nested deeper than 64
// levels.
std::optional<Json::Value> ParseJson(std::string_view text,
                                     std::string* problem = nullptr);

// Returns a member of an object, or null if `json` is not an object or lacks
// it, so that untrusted input can be read without checking each level.
const Json::Value& MemberOrNull(const Json::Value& json, const char* key);

// Formats the value compactly with sorted keys.
std::string FormatJson(const Json::Value& json);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_JSON_H_
