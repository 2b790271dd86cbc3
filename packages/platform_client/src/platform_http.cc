

#include "dotterellead/json.h"
#include "dotterellead/platform_client.h"

namespace dotterellead {
namespace {

[[noreturn]] void Fail(const std::string& problem) {
  throw protocol_error("the platform's answer " + problem,
                       "check that the address is the platform's log");
}

Json::Value Parse(std::string_view text) {
  std::string problem;
  const std::optional<Json::Value> json = ParseJson(text, &problem);
  if (!json || !json->isObject())
    Fail("is not a JSON object " + problem);
  return *json;
}

std::uint64_t Number(const Json::Value& json, const char* name) {
  if (!json[name].isUInt64())
    Fail(std::string("has no number ") + name);
  return json[name].asUInt64();
}

std::string Text(const Json::Value& json, const char* name) {
  if (!json[name].isString())
    Fail(std::string("has no text ") + name);
  return json[name].asString();
}

const Json::Value& List(const Json::Value& json, const char* name) {
  if (!json[name].isArray())
    Fail(std::string("has no list ") + name);
  return json[name];
}

template <class T>
T OneOf(const std::string& text,
        std::initializer_list<std::pair<const char*, T>> values) {
  for (const auto& [name, value] : values) {
    if (text == name)
      return value;
  }
  Fail("has the unknown value " + text);
}

log_record ReadRecord(const Json::Value& json) {
  if (!json.isObject())
    Fail("has a record that is not an object");
  return {log_offset(Number(json, "offset")), Text(json, "data")};
}

listed_host ReadHost(const Json::Value& json) {
  if (!json.isObject())
    Fail("has a host that is not an object");
  listed_host host;
  host.address = Text(json, "address");
  host.data_centre = data_centre_id(Text(json, "data_centre"));
  host.kind = OneOf<host_kind>(
      Text(json, "kind"),
      {{"backend", host_kind::kBackend}, {"entry", host_kind::kEntry}});
  host.state = OneOf<host_state>(
      Text(json, "state"),
      {{"live", host_state::kLive}, {"leaving", host_state::kLeaving}});
  if (json.isMember("pool"))
    host.pool = pool_id(Text(json, "pool"));
  if (json.isMember("version"))
    host.version = version_id(Text(json, "version"));
  return host;
}

// Records must be consecutive, or the reader would miss one.
void CheckOrder(const log_batch& batch) {
  for (std::size_t i = 0; i < batch.records.size(); ++i) {
    const std::uint64_t offset = batch.records[i].offset.value();
    if (offset != batch.records[0].offset.value() + i)
      Fail("has records that do not follow each other");
    if (offset >= batch.next.value() || offset < batch.first.value())
      Fail("has a record outside the stream's range");
  }
}

}  // namespace

std::string EncodeAppendBody(const append_request& request) {
  Json::Value json;
  json["records"] = Json::arrayValue;
  for (const std::string& record : request.records)
    json["records"].append(record);
  return FormatJson(json);
}

log_offset DecodeAppendReply(std::string_view text, std::size_t expected) {
  const Json::Value json = Parse(text);
  if (Number(json, "count") != expected)
    Fail("counts other records than were sent");
  return log_offset(Number(json, "offset"));
}

log_batch DecodeReadReply(std::string_view text, const stream_id& stream) {
  const Json::Value json = Parse(text);
  log_batch batch;
  batch.stream = stream;
  batch.first = log_offset(Number(json, "first"));
  batch.next = log_offset(Number(json, "next"));
  batch.retention =
      milliseconds(static_cast<std::int64_t>(Number(json, "retention_ms")));
  for (const Json::Value& record : List(json, "records"))
    batch.records.push_back(ReadRecord(record));
  CheckOrder(batch);
  return batch;
}

std::vector<listed_host> DecodeHostList(std::string_view text) {
  const Json::Value json = Parse(text);
  std::vector<listed_host> hosts;
  for (const Json::Value& host : List(json, "hosts"))
    hosts.push_back(ReadHost(host));
  return hosts;
}

}  // namespace dotterellead
