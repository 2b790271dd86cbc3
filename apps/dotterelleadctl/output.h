// JSON answers of the API, as tables and fields.
#ifndef DOTTERELLEADCTL_OUTPUT_H_
#define DOTTERELLEADCTL_OUTPUT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dotterellead {

// Splits a JSON array, or lines of JSON, into one JSON text per resource.
// Throws invalid_input_error.
std::vector<std::string> SplitResources(const std::string& text);

// A table for people; texts that are no JSON are returned as they are.
std::string FormatTable(const std::string& json);

// A number among the top fields; nullopt if missing.
std::optional<std::uint64_t> ReadNumberField(const std::string& json,
                                             const std::string& name);

// Names of the live members of a status answer that have not reported `offset`.
// Throws protocol_error if the answer holds no members.
std::vector<std::string> MembersBehind(const std::string& status,
                                       std::uint64_t offset);

}  // namespace dotterellead

#endif  // DOTTERELLEADCTL_OUTPUT_H_
