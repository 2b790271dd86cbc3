// Tables of measured values: printed for people, written as JSON for programs.
#ifndef DOTTERELLEAD_BENCH_REPORT_H_
#define DOTTERELLEAD_BENCH_REPORT_H_

#include <string>
#include <variant>
#include <vector>

namespace dotterellead::bench {

using cell = std::variant<std::string, double>;

struct table {
  // Identifier in the JSON report.
  std::string name;
  // What was run, under which load.
  std::string title;
  std::vector<std::string> columns;
  std::vector<std::vector<cell>> rows;
  // Rows that end in two zeros are left out in print.
  bool prints_events_only = false;
};

void Print(const table& t);
// Writes all tables with the seed; throws unavailable_error if the file cannot
// be written.
void WriteJson(const std::vector<table>& tables,
               std::uint64_t seed,
               const std::string& file);
// Writes the tables for gnuplot: a named block for each, separated by two empty
// lines, with texts in quotes.
void WriteData(const std::vector<table>& tables, const std::string& file);

}  // namespace dotterellead::bench

#endif  // DOTTERELLEAD_BENCH_REPORT_H_
