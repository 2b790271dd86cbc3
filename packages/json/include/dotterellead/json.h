// JSON text to and from jsoncpp values. Only codec files include this header.
#ifndef DOTTERELLEAD_JSON_H_
#define DOTTERELLEAD_JSON_H_

#include <json/json.h>

#include <optional>
#include <string>
#include <string_view>

namespace dotterellead {

// Returns nullopt, and the reason in `problem` if given, unless the whole text
// is one JSON value without repeated keys and not nested deeper than 64.
std::optional<Json::Value> ParseJson(std::string_view text,
                                     std::string* problem = nullptr);

// The member of an object. Null if `json` is no object or lacks it, so that
// texts of others can be read without checking each level.
const Json::Value& MemberOrNull(const Json::Value& json, const char* name);

// The compact form, with sorted keys.
std::string FormatJson(const Json::Value& json);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_JSON_H_
