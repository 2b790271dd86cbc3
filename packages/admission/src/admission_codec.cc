
#include <array>

#include "dotterellead/admission.h"
#include "dotterellead/json.h"

namespace dotterellead {
namespace {

constexpr Json::ArrayIndex kMaxIds = 64;

[[noreturn]] void Fail(const std::string& field) {
  throw protocol_error(
      "admission message has a missing or invalid field " + field,
      "run the same version on all entry hosts");
}

const Json::Value& Member(const Json::Value& json, const char* name) {
  if (!json.isObject() || !json.isMember(name))
    Fail(name);
  return json[name];
}

std::uint64_t ReadNumber(const Json::Value& json, const char* name) {
  const Json::Value& value = Member(json, name);
  if (!value.isUInt64())
    Fail(name);
  return value.asUInt64();
}

bool ReadBool(const Json::Value& json, const char* name) {
  const Json::Value& value = Member(json, name);
  if (!value.isBool())
    Fail(name);
  return value.asBool();
}

template <class Id>
Json::Value WriteIds(const std::vector<Id>& ids) {
  Json::Value list(Json::arrayValue);
  for (const Id& id : ids)
    list.append(id.value());
  return list;
}

template <class Id>
std::vector<Id> ReadIds(const Json::Value& json, const char* name) {
  const Json::Value& list = Member(json, name);
  if (!list.isArray() || list.size() > kMaxIds)
    Fail(name);
  std::vector<Id> ids;
  for (const Json::Value& id : list) {
    if (!id.isString() || id.asString().empty())
      Fail(name);
    ids.emplace_back(id.asString());
  }
  return ids;
}

void WriteRecord(Json::Value& json, const strike_record& record) {
  json["fingerprint"] = Json::UInt64{record.fingerprint.value()};
  json["servers"] = WriteIds(record.servers);
  json["age_ms"] = Json::Int64{record.age.count()};
}

strike_record ReadRecord(const Json::Value& json) {
  const std::uint64_t age = ReadNumber(json, "age_ms");
  // Older records have expired; the limit also prevents overflow.
  if (age > std::uint64_t{1} << 40)
    Fail("age_ms");
  return {.fingerprint = request_fingerprint(ReadNumber(json, "fingerprint")),
          .servers = ReadIds<server_id>(json, "servers"),
          .age = milliseconds(age)};
}

void Write(Json::Value& json, const peer_strike& m) {
  WriteRecord(json, m.record);
}

void Write(Json::Value& json, const peer_strike_acknowledged& m) {
  json["fingerprint"] = Json::UInt64{m.fingerprint.value()};
  json["servers"] = WriteIds(m.servers);
}

void Write(Json::Value& json, const run_request& m) {
  WriteRecord(json, m.record);
  json["ask"] = Json::UInt64{m.sequence};
}

void Write(Json::Value& json, const run_grant& m) {
  WriteRecord(json, m.record);
  json["ask"] = Json::UInt64{m.sequence};
  json["allowed"] = m.allowed;
}

void Write(Json::Value& json, const run_poll& m) {
  WriteRecord(json, m.record);
  json["round"] = Json::UInt64{m.round};
  json["holders"] = WriteIds(m.holders);
}

void Write(Json::Value& json, const run_poll_response& m) {
  WriteRecord(json, m.record);
  json["round"] = Json::UInt64{m.round};
  json["clear"] = m.is_idle;
  json["pending_ask"] = Json::UInt64{m.pending_sequence};
  json["clean_runs"] = m.clean_runs;
}

void Write(Json::Value& json, const strikes_cleared& m) {
  WriteRecord(json, m.record);
  json["round"] = Json::UInt64{m.round};
}

admission_peer_message ReadStrike(const Json::Value& json) {
  return peer_strike{ReadRecord(json)};
}

admission_peer_message ReadAcknowledged(const Json::Value& json) {
  return peer_strike_acknowledged{
      request_fingerprint(ReadNumber(json, "fingerprint")),
      ReadIds<server_id>(json, "servers")};
}

admission_peer_message ReadRunRequest(const Json::Value& json) {
  return run_request{ReadRecord(json), ReadNumber(json, "ask")};
}

admission_peer_message ReadGrant(const Json::Value& json) {
  return run_grant{ReadRecord(json), ReadNumber(json, "ask"),
                   ReadBool(json, "allowed")};
}

admission_peer_message ReadPoll(const Json::Value& json) {
  return run_poll{ReadRecord(json), ReadNumber(json, "round"),
                  ReadIds<member_id>(json, "holders")};
}

admission_peer_message ReadPollAnswer(const Json::Value& json) {
  const std::uint64_t clean_runs = ReadNumber(json, "clean_runs");
  if (clean_runs > UINT16_MAX)
    Fail("clean_runs");
  return run_poll_response{
      .record = ReadRecord(json),
      .round = ReadNumber(json, "round"),
      .is_idle = ReadBool(json, "clear"),
      .pending_sequence = ReadNumber(json, "pending_ask"),
      .clean_runs = static_cast<std::uint32_t>(clean_runs)};
}

admission_peer_message ReadCleared(const Json::Value& json) {
  return strikes_cleared{ReadRecord(json), ReadNumber(json, "round")};
}

struct kind {
  std::string_view name;
  admission_peer_message (*read)(const Json::Value&);
};

// In the order of the variant.
constexpr std::array<kind, std::variant_size_v<admission_peer_message>> kKinds =
    {{
        {"strike", ReadStrike},
        {"strike_acknowledged", ReadAcknowledged},
        {"run_ask", ReadRunRequest},
        {"run_grant", ReadGrant},
        {"run_poll", ReadPoll},
        {"run_poll_answer", ReadPollAnswer},
        {"strikes_cleared", ReadCleared},
    }};

Json::Value Parse(std::string_view text) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json)
    Fail("(not JSON)");
  return *json;
}

}  // namespace

std::string EncodeAdmissionMessage(const admission_peer_message& m) {
  Json::Value json(Json::objectValue);
  json["kind"] = std::string(kKinds[m.index()].name);
  std::visit([&json](const auto& alternative) { Write(json, alternative); }, m);
  return FormatJson(json);
}

admission_peer_message DecodeAdmissionMessage(std::string_view text) {
  const Json::Value json = Parse(text);
  const Json::Value& name = Member(json, "kind");
  if (!name.isString())
    Fail("kind");
  for (const kind& k : kKinds) {
    if (k.name == name.asString())
      return k.read(json);
  }
  Fail("kind");
}

}  // namespace dotterellead
