#include "usage_codec.h"

namespace dotterellead::fleet {

namespace {

using Json::Value;

[[noreturn]] void Fail(const char* problem) {
  throw protocol_error(std::string("invalid sync message: expected ") + problem,
                       "run the same release on all hosts");
}

Value Number(std::uint64_t n) {
  return Value(static_cast<Json::UInt64>(n));
}

constexpr Json::ArrayIndex kFixedColumns = 3;

}  // namespace

Value FromUsage(const std::vector<usage::host_report>& reports) {
  Value names(Json::arrayValue);
  std::map<customer_id, Json::ArrayIndex> indexes;
  Value rows(Json::arrayValue);
  rows.append(names);
  for (const usage::host_report& report : reports) {
    Value row(Json::arrayValue);
    row.append(report.host.value());
    row.append(Number(report.incarnation.value()));
    row.append(Number(report.window.value()));
    for (const auto& [customer, count] : report.counts) {
      const auto [entry, is_new] =
          indexes.try_emplace(customer, rows[0].size());
      if (is_new)
        rows[0].append(customer.value());
      row.append(entry->second);
      row.append(Number(count));
    }
    rows.append(row);
  }
  return rows;
}

std::vector<usage::host_report> ToUsage(const Value& json) {
  std::vector<usage::host_report> reports;
  if (json.isNull())
    return reports;
  if (!json.isArray() || json.empty() || !json[0].isArray())
    Fail("usage as an array that begins with the customers");
  const Value& names = json[0];
  for (const Value& name : names)
    if (!name.isString())
      Fail("a customer as a string");
  for (Json::ArrayIndex i = 1; i < json.size(); ++i) {
    const Value& row = json[i];
    if (!row.isArray() || row.size() < kFixedColumns ||
        (row.size() - kFixedColumns) % 2 != 0 || !row[0].isString() ||
        !row[1].isUInt64() || !row[2].isUInt64())
      Fail("a usage report as [host, run, window, customer, count, ...]");
    usage::host_report report{member_id(row[0].asString()),
                              incarnation_id(row[1].asUInt64()),
                              usage::window_number(row[2].asUInt64()),
                              {}};
    for (Json::ArrayIndex c = kFixedColumns; c < row.size(); c += 2) {
      if (!row[c].isUInt() || row[c].asUInt() >= names.size() ||
          !row[c + 1].isUInt64())
        Fail("a customer's index and count as unsigned integers");
      report.counts[customer_id(names[row[c].asUInt()].asString())] +=
          row[c + 1].asUInt64();
    }
    reports.push_back(std::move(report));
  }
  return reports;
}

}  // namespace dotterellead::fleet
