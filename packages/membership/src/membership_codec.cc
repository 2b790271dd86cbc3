
#include <array>
#include <limits>

#include "dotterellead/json.h"
#include "dotterellead/membership.h"

namespace dotterellead {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
// Stands for a member that was not heard of.
constexpr std::string_view kUnheardDigits = "..";
constexpr std::size_t kMaxMembersPerMessage = 1024;

[[noreturn]] void Fail(const std::string& what) {
  throw protocol_error("membership message: " + what,
                       "run the same version on all entry hosts");
}

Json::Value Parse(std::string_view text) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject())
    Fail("not a JSON object");
  return *json;
}

std::string ToText(const Json::Value& value) {
  return FormatJson(value);
}

std::uint64_t Number(const Json::Value& value) {
  if (!value.isUInt64())
    Fail("a number is missing or out of range");
  return value.asUInt64();
}

std::string Text(const Json::Value& value) {
  if (!value.isString() || value.asString().empty())
    Fail("a name or address is missing");
  return value.asString();
}

bool Flag(const Json::Value& value) {
  if (!value.isNull() && !value.isBool())
    Fail("a flag is not true or false");
  return value.isBool() && value.asBool();
}

const Json::Value& Array(const Json::Value& value, std::size_t size) {
  if (!value.isArray() || value.size() != size)
    Fail("an entry has the wrong number of fields");
  return value;
}

const Json::Value& List(const Json::Value& value) {
  if (!value.isNull() && !value.isArray())
    Fail("a list is not an array");
  if (value.size() > kMaxMembersPerMessage)
    Fail("a list has too many entries");
  return value;
}

// An invalid offset is null.
Json::Value FromOffset(log_offset offset) {
  return offset.is_valid() ? Json::Value(Json::UInt64(offset.value()))
                           : Json::Value();
}

log_offset ToOffset(const Json::Value& value) {
  return value.isNull() ? log_offset() : log_offset(Number(value));
}

void AppendRun(const member_run& run, Json::Value& out) {
  out.append(run.id.value());
  out.append(Json::UInt64(run.incarnation.value()));
  out.append(run.data_centre.value());
  out.append(run.address);
}

// Decodes the first four fields of `in`.
member_run ToRun(const Json::Value& in) {
  return {member_id(Text(in[0])), incarnation_id(Number(in[1])),
          data_centre_id(Text(in[2])), Text(in[3])};
}

void FillReport(const self_report& report, Json::Value& out) {
  AppendRun(report.self, out["f"]);
  out["h"] = Json::UInt64(report.heartbeat);
  out["e"] = Json::UInt64(report.epoch.number.value());
  out["o"] = FromOffset(report.epoch.offset);
  out["w"] = Json::UInt64(report.ended.value());
  out["c"] = FromOffset(report.config_offset);
  if (report.leaving)
    out["l"] = true;
}

self_report ToReport(const Json::Value& in) {
  self_report report;
  report.self = ToRun(Array(in["f"], 4));
  report.heartbeat = Number(in["h"]);
  report.epoch = {epoch_number(Number(in["e"])), ToOffset(in["o"])};
  report.ended = epoch_number(Number(in["w"]));
  report.config_offset = ToOffset(in["c"]);
  report.leaving = Flag(in["l"]);
  return report;
}

// Two digits per member; states that differ from the sender's own follow in a
// list of exceptions.
void FillShortEntries(const gossip_digest& digest, Json::Value& out) {
  std::string heartbeats;
  Json::Value exceptions;
  for (std::size_t i = 0; i < digest.epoch_members.size(); ++i) {
    const compact_entry& entry = digest.epoch_members[i];
    if (!entry.heartbeat) {
      heartbeats += kUnheardDigits;
      continue;
    }
    heartbeats += kDigits[*entry.heartbeat / kDigits.size() % kDigits.size()];
    heartbeats += kDigits[*entry.heartbeat % kDigits.size()];
    if (!entry.leaving && entry.config_offset == digest.from.config_offset)
      continue;
    Json::Value exception;
    exception.append(Json::UInt64(i));
    exception.append(entry.leaving);
    exception.append(FromOffset(entry.config_offset));
    exceptions.append(exception);
  }
  if (!heartbeats.empty())
    out["s"] = heartbeats;
  if (!exceptions.isNull())
    out["x"] = exceptions;
}

std::optional<std::uint16_t> ToShortHeartbeat(std::string_view digits) {
  if (digits == kUnheardDigits)
    return std::nullopt;
  const std::size_t high = kDigits.find(digits[0]);
  const std::size_t low = kDigits.find(digits[1]);
  if (high == std::string_view::npos || low == std::string_view::npos)
    Fail("a short heartbeat has an unknown digit");
  return static_cast<std::uint16_t>(high * kDigits.size() + low);
}

void ReadShortEntries(const Json::Value& in, gossip_digest& digest) {
  const std::string heartbeats = in.isMember("s") ? Text(in["s"]) : "";
  if (heartbeats.size() % 2 != 0 ||
      heartbeats.size() / 2 > kMaxMembersPerMessage) {
    Fail("the short heartbeats have a wrong length");
  }
  for (std::size_t i = 0; i < heartbeats.size(); i += 2) {
    compact_entry entry;
    entry.heartbeat =
        ToShortHeartbeat(std::string_view(heartbeats).substr(i, 2));
    if (entry.heartbeat)
      entry.config_offset = digest.from.config_offset;
    digest.epoch_members.push_back(entry);
  }
  for (const Json::Value& exception : List(in["x"])) {
    const std::uint64_t index = Number(Array(exception, 3)[0]);
    if (index >= digest.epoch_members.size())
      Fail("an exception has an index outside the entries");
    digest.epoch_members[index].leaving = Flag(exception[1]);
    digest.epoch_members[index].config_offset = ToOffset(exception[2]);
  }
}

Json::Value FromEntry(const member_entry& entry) {
  Json::Value out;
  AppendRun(entry.run, out);
  out.append(Json::UInt64(entry.heartbeat));
  out.append(entry.leaving);
  out.append(FromOffset(entry.config_offset));
  return out;
}

member_entry ToEntry(const Json::Value& in) {
  Array(in, 7);
  return {ToRun(in), Number(in[4]), Flag(in[5]), ToOffset(in[6])};
}

}  // namespace

std::string EncodeDigest(const gossip_digest& digest) {
  Json::Value out;
  FillReport(digest.from, out);
  FillShortEntries(digest, out);
  for (const member_entry& entry : digest.members)
    out["m"].append(FromEntry(entry));
  return ToText(out);
}

gossip_digest DecodeDigest(std::string_view text) {
  const Json::Value in = Parse(text);
  gossip_digest digest;
  digest.from = ToReport(in);
  ReadShortEntries(in, digest);
  for (const Json::Value& entry : List(in["m"]))
    digest.members.push_back(ToEntry(entry));
  return digest;
}

std::string EncodeReport(const self_report& report) {
  Json::Value out;
  FillReport(report, out);
  return ToText(out);
}

self_report DecodeReport(std::string_view text) {
  return ToReport(Parse(text));
}

std::string EncodeEpochRecord(const epoch_record& record) {
  Json::Value out;
  out["epoch"] = Json::UInt64(record.number.value());
  out["base"] = Json::UInt64(record.base.number.value());
  out["base_offset"] = FromOffset(record.base.offset);
  if (record.refresh)
    out["refresh"] = true;
  out["ended"] = Json::UInt64(record.ended.value());
  for (const member_run& run : record.members) {
    Json::Value member;
    AppendRun(run, member);
    out["members"].append(member);
  }
  return ToText(out);
}

epoch_record DecodeEpochRecord(std::string_view text) {
  const Json::Value in = Parse(text);
  epoch_record record;
  record.number = epoch_number(Number(in["epoch"]));
  record.base = {epoch_number(Number(in["base"])), ToOffset(in["base_offset"])};
  record.refresh = Flag(in["refresh"]);
  record.ended = epoch_number(Number(in["ended"]));
  for (const Json::Value& member : List(in["members"]))
    record.members.push_back(ToRun(Array(member, 4)));
  if (record.members.empty())
    Fail("an epoch has no members");
  return record;
}

}  // namespace dotterellead
