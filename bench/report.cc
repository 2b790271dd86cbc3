#include "report.h"

#include <fmt/core.h>
#include <json/json.h>

#include <algorithm>
#include <fstream>

#include "dotterellead/core.h"

namespace dotterellead::bench {
namespace {

std::string Text(const cell& c) {
  if (const auto* text = std::get_if<std::string>(&c))
    return *text;
  const double value = std::get<double>(c);
  const bool whole = value == static_cast<double>(static_cast<long>(value));
  return whole ? fmt::format("{:.0f}", value) : fmt::format("{:.3f}", value);
}

std::vector<std::size_t> Widths(const table& t) {
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < t.columns.size(); ++i) {
    std::size_t width = t.columns[i].size();
    for (const std::vector<cell>& row : t.rows)
      width = std::max(width, Text(row[i]).size());
    widths.push_back(width);
  }
  return widths;
}

bool IsEventless(const std::vector<cell>& row) {
  return row.size() >= 2 && row.back() == cell(0.0) &&
         row[row.size() - 2] == cell(0.0);
}

Json::Value ToJson(const table& t) {
  Json::Value json;
  json["name"] = t.name;
  json["title"] = t.title;
  json["rows"] = Json::arrayValue;
  for (const std::vector<cell>& row : t.rows) {
    Json::Value object;
    for (std::size_t i = 0; i < row.size(); ++i) {
      std::visit([&](const auto& value) { object[t.columns[i]] = value; },
                 row[i]);
    }
    json["rows"].append(object);
  }
  return json;
}

std::ofstream Open(const std::string& file) {
  std::ofstream out(file);
  if (!out)
    throw unavailable_error("cannot write " + file, "check the folder");
  return out;
}

}  // namespace

void Print(const table& t) {
  const std::vector<std::size_t> widths = Widths(t);
  fmt::print("\n{}: {}\n", t.name, t.title);
  for (std::size_t i = 0; i < t.columns.size(); ++i)
    fmt::print("  {:>{}}", t.columns[i], widths[i]);
  fmt::print("\n");
  for (const std::vector<cell>& row : t.rows) {
    if (t.prints_events_only && IsEventless(row))
      continue;
    for (std::size_t i = 0; i < row.size(); ++i)
      fmt::print("  {:>{}}", Text(row[i]), widths[i]);
    fmt::print("\n");
  }
  std::fflush(stdout);
}

void WriteJson(const std::vector<table>& tables,
               std::uint64_t seed,
               const std::string& file) {
  Json::Value json;
  json["seed"] = Json::UInt64{seed};
  json["tables"] = Json::arrayValue;
  for (const table& t : tables)
    json["tables"].append(ToJson(t));
  Open(file) << Json::writeString(Json::StreamWriterBuilder(), json) << "\n";
}

void WriteData(const std::vector<table>& tables, const std::string& file) {
  std::ofstream out = Open(file);
  for (const table& t : tables) {
    out << "# " << t.name << "\n";
    for (const std::vector<cell>& row : t.rows) {
      for (const cell& c : row) {
        const char* quote = std::holds_alternative<double>(c) ? "" : "\"";
        out << quote << Text(c) << quote << ' ';
      }
      out << "\n";
    }
    out << "\n\n";
  }
}

}  // namespace dotterellead::bench
