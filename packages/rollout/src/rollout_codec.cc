
#include <algorithm>

#include "dotterellead/json.h"
#include "dotterellead/rollout.h"

namespace dotterellead {
namespace {

// Several times the number that a host sends in one message.
constexpr Json::ArrayIndex kMaxItems = 1024;

[[noreturn]] void Fail(const std::string& problem) {
  throw protocol_error("the rollout message from a peer " + problem,
                       "run the same release on all entry hosts");
}

Json::Value Parse(std::string_view text) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject())
    Fail("is not a JSON object");
  return *json;
}

std::string Write(const Json::Value& json) {
  return FormatJson(json);
}

const Json::Value& Field(const Json::Value& json, const char* name) {
  if (!json.isObject() || !json.isMember(name))
    Fail("has no field " + std::string(name));
  return json[name];
}

const Json::Value& List(const Json::Value& json, const char* name) {
  const Json::Value& list = Field(json, name);
  if (!list.isArray() || list.size() > kMaxItems)
    Fail("has no list of permitted length in field " + std::string(name));
  return list;
}

std::string Text(const Json::Value& json, const char* name) {
  const Json::Value& value = Field(json, name);
  if (!value.isString() || value.asString().empty())
    Fail("has no string in field " + std::string(name));
  return value.asString();
}

std::uint64_t Number(const Json::Value& value, const char* name) {
  if (!value.isUInt64())
    Fail("has no unsigned integer in field " + std::string(name));
  return value.asUInt64();
}

std::uint64_t NumberField(const Json::Value& json, const char* name) {
  return Number(Field(json, name), name);
}

Json::Value WriteNumber(std::uint64_t value) {
  return Json::UInt64{value};
}

// Pairs of bucket and count; empty buckets are left out.
Json::Value WriteLatency(const attempt_counters& counters) {
  Json::Value list(Json::arrayValue);
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
    if (counters.latency[i] == 0)
      continue;
    list.append(WriteNumber(i));
    list.append(WriteNumber(counters.latency[i]));
  }
  return list;
}

void ReadLatency(const Json::Value& list, attempt_counters& counters) {
  if (list.size() % 2 != 0)
    Fail("has an odd number of items in latency");
  for (Json::ArrayIndex i = 0; i < list.size(); i += 2) {
    const std::uint64_t bucket = Number(list[i], "latency");
    if (bucket >= kLatencyBuckets)
      Fail("has an unknown latency bucket");
    counters.latency[bucket] = Number(list[i + 1], "latency");
  }
}

Json::Value WriteCounters(const evidence_key& key,
                          const attempt_counters& counters) {
  Json::Value json;
  json["move"] = key.move.value();
  json["revision"] = WriteNumber(key.revision.value());
  json["step"] = key.step;
  json["version"] = key.version.value();
  json["route"] = WriteNumber(key.route.value());
  json["requests"] = WriteNumber(counters.requests);
  json["failures"] = WriteNumber(counters.failures);
  json["busy_us"] = WriteNumber(counters.busy_us);
  json["latency"] = WriteLatency(counters);
  return json;
}

evidence_key ReadKey(const Json::Value& json) {
  const std::uint64_t step = NumberField(json, "step");
  if (step > UINT32_MAX)
    Fail("has a step out of range");
  return {move_id(Text(json, "move")),
          log_offset(NumberField(json, "revision")),
          static_cast<std::uint32_t>(step), version_id(Text(json, "version")),
          route_id(NumberField(json, "route"))};
}

attempt_counters ReadCounters(const Json::Value& json) {
  attempt_counters counters;
  counters.requests = NumberField(json, "requests");
  counters.failures = NumberField(json, "failures");
  counters.busy_us = NumberField(json, "busy_us");
  if (counters.failures > counters.requests)
    Fail("has more failures than requests");
  ReadLatency(List(json, "latency"), counters);
  std::uint64_t answered = 0;
  for (const std::uint64_t count : counters.latency) {
    if (count > counters.successes() - answered)
      Fail("has more latencies than successes");
    answered += count;
  }
  return counters;
}

}  // namespace

std::string EncodePeerEvidence(const peer_evidence& evidence) {
  Json::Value json;
  json["member"] = evidence.member.value();
  json["incarnation"] = WriteNumber(evidence.incarnation.value());
  json["started"] = Json::Value(Json::arrayValue);
  for (const auto& [id, start] : evidence.started) {
    Json::Value item;
    item["move"] = id.value();
    item["revision"] = WriteNumber(start.first.value());
    item["unix_ms"] = Json::Int64{start.second.value};
    json["started"].append(item);
  }
  json["tallies"] = Json::Value(Json::arrayValue);
  for (const auto& [key, counters] : evidence.counters)
    json["tallies"].append(WriteCounters(key, counters));
  return Write(json);
}

peer_evidence DecodePeerEvidence(std::string_view text) {
  const Json::Value json = Parse(text);
  peer_evidence evidence;
  evidence.member = member_id(Text(json, "member"));
  evidence.incarnation = incarnation_id(NumberField(json, "incarnation"));
  for (const Json::Value& item : List(json, "started")) {
    const Json::Value& start = Field(item, "unix_ms");
    if (!start.isInt64())
      Fail("has no unsigned integer in field unix_ms");
    evidence.started[move_id(Text(item, "move"))] = {
        log_offset(NumberField(item, "revision")),
        unix_millis{start.asInt64()}};
  }
  for (const Json::Value& item : List(json, "tallies"))
    evidence.counters[ReadKey(item)] = ReadCounters(item);
  return evidence;
}

std::string EncodePeerRollback(const peer_rollback& rollback) {
  Json::Value json;
  json["move"] = rollback.move.value();
  json["revision"] = WriteNumber(rollback.revision.value());
  json["reason"] = rollback.reason;
  return Write(json);
}

peer_rollback DecodePeerRollback(std::string_view text) {
  const Json::Value json = Parse(text);
  return {move_id(Text(json, "move")),
          log_offset(NumberField(json, "revision")), Text(json, "reason")};
}

}  // namespace dotterellead
