#include "output.h"

#include <algorithm>
#include <sstream>

#include "dotterellead/core.h"
#include "dotterellead/json.h"

namespace dotterellead {
namespace {

std::string Cell(const Json::Value& json) {
  if (json.isNull())
    return "-";
  return json.isString() ? json.asString() : FormatJson(json);
}

using table_row = std::vector<std::string>;

std::string Align(const std::vector<table_row>& rows) {
  std::vector<std::size_t> widths;
  for (const table_row& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i)
      widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const table_row& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

// One row per object, with a column for each field that any of them has.
std::string ObjectsAsTable(const Json::Value& list) {
  std::vector<std::string> columns;
  for (const Json::Value& item : list) {
    for (const std::string& name : item.getMemberNames()) {
      if (std::find(columns.begin(), columns.end(), name) == columns.end())
        columns.push_back(name);
    }
  }
  std::vector<table_row> rows = {columns};
  for (const Json::Value& item : list) {
    table_row row;
    for (const std::string& name : columns)
      row.push_back(Cell(item[name]));
    rows.push_back(row);
  }
  return Align(rows);
}

bool IsListOfObjects(const Json::Value& json) {
  return json.isArray() && !json.empty() &&
         std::all_of(json.begin(), json.end(),
                     [](const Json::Value& item) { return item.isObject(); });
}

}  // namespace

std::vector<std::string> SplitResources(const std::string& text) {
  std::vector<std::string> resources;
  const std::size_t first = text.find_first_not_of(" \t\r\n");
  if (first != std::string::npos && text[first] == '[') {
    const std::optional<Json::Value> list = ParseJson(text);
    if (!list) {
      throw invalid_input_error("the file is not a valid JSON array",
                                "correct it, or write one resource per line");
    }
    for (const Json::Value& item : *list)
      resources.push_back(FormatJson(item));
    return resources;
  }
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.find_first_not_of(" \t\r") != std::string::npos)
      resources.push_back(line);
  }
  return resources;
}

std::string FormatTable(const std::string& text) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject())
    return text;
  std::vector<table_row> fields;
  std::string lists;
  for (const std::string& name : json->getMemberNames()) {
    const Json::Value& value = (*json)[name];
    if (IsListOfObjects(value))
      lists += "\n" + name + "\n" + ObjectsAsTable(value);
    else
      fields.push_back({name, Cell(value)});
  }
  return Align(fields) + lists;
}

std::optional<std::uint64_t> ReadNumberField(const std::string& text,
                                             const std::string& name) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject() || !(*json)[name].isUInt64())
    return std::nullopt;
  return (*json)[name].asUInt64();
}

std::vector<std::string> MembersBehind(const std::string& status,
                                       std::uint64_t offset) {
  const std::optional<Json::Value> json = ParseJson(status);
  if (!json || !json->isObject() || !(*json)["members"].isArray() ||
      (*json)["members"].empty()) {
    throw protocol_error("the status lists no members",
                         "check the host's version");
  }
  std::vector<std::string> behind;
  for (const Json::Value& m : (*json)["members"]) {
    const Json::Value& has = m["config_offset"];
    const bool reached = has.isUInt64() && has.asUInt64() >= offset;
    if (m["live"].asBool() && !reached)
      behind.push_back(m["member"].asString());
  }
  return behind;
}

}  // namespace dotterellead
