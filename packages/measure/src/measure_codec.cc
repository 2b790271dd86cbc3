
#include <limits>

#include "dotterellead/json.h"
#include "dotterellead/measure.h"

namespace dotterellead {
namespace {

[[noreturn]] void Fail(const std::string& field) {
  throw protocol_error(
      "load report has a bad field " + field,
      "have the backend server answer GET /.load as documented");
}

const Json::Value& Member(const Json::Value& json, const char* name) {
  if (!json.isObject() || !json.isMember(name))
    Fail(name);
  return json[name];
}

std::uint32_t ReadNumber(const Json::Value& json, const char* name) {
  const Json::Value& value = Member(json, name);
  if (!value.isUInt())
    Fail(name);
  return value.asUInt();
}

bool ReadBool(const Json::Value& json, const char* name) {
  const Json::Value& value = Member(json, name);
  if (!value.isBool())
    Fail(name);
  return value.asBool();
}

}  // namespace

probe_report DecodeProbeReport(std::string_view text) {
  const std::optional<Json::Value> parsed = ParseJson(text);
  if (!parsed)
    Fail("(not JSON)");
  const Json::Value& json = *parsed;
  const Json::Value& boot = Member(json, "boot");
  if (!boot.isString())
    Fail("boot");
  return {.in_flight = ReadNumber(json, "in_flight"),
          .slots = ReadNumber(json, "slots"),
          .cold = ReadBool(json, "cold"),
          .draining = ReadBool(json, "draining"),
          .boot = boot.asString(),
          .age = milliseconds(ReadNumber(json, "age_ms"))};
}

std::string EncodeProbeReport(const probe_report& report) {
  Json::Value json(Json::objectValue);
  json["in_flight"] = report.in_flight;
  json["slots"] = report.slots;
  json["cold"] = report.cold;
  json["draining"] = report.draining;
  json["boot"] = report.boot;
  json["age_ms"] = Json::Int64{report.age.count()};
  return FormatJson(json);
}

}  // namespace dotterellead
