

#include "dotterellead/idempotency.h"
#include "dotterellead/json.h"

namespace dotterellead {
namespace {

[[noreturn]] void Fail(const std::string& problem) {
  throw protocol_error("claim record " + problem,
                       "check who else writes to the claim streams");
}

// Header values and bodies may be in any encoding, while JSON is UTF-8. Each
// byte is encoded as the code point of the same number.
std::string BytesToUtf8(std::string_view bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x80) {
      text += c;
      continue;
    }
    text += static_cast<char>(0xC0 | (byte >> 6));
    text += static_cast<char>(0x80 | (byte & 0x3F));
  }
  return text;
}

std::string Utf8ToBytes(std::string_view text) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto lead = static_cast<unsigned char>(text[i]);
    if (lead < 0x80) {
      bytes += text[i];
      continue;
    }
    if ((lead & 0xFC) != 0xC0 || i + 1 == text.size())
      Fail("has a character above U+00FF");
    const auto tail = static_cast<unsigned char>(text[++i]);
    bytes += static_cast<char>((lead << 6) | (tail & 0x3F));
  }
  return bytes;
}

Json::Value WriterToJson(const claim_writer& writer) {
  Json::Value json = Json::arrayValue;
  json.append(writer.member.value());
  json.append(Json::UInt64{writer.incarnation.value()});
  json.append(Json::UInt64{writer.sequence});
  return json;
}

Json::Value ToJson(const claim_record& record) {
  Json::Value json;
  json["t"] = "claim";
  json["f"] = Json::UInt64{record.fingerprint};
  return json;
}

Json::Value ToJson(const void_record&) {
  Json::Value json;
  json["t"] = "void";
  return json;
}

Json::Value ToJson(const outcome_record& record) {
  const saved_outcome& outcome = record.outcome;
  Json::Value json;
  json["t"] = "outcome";
  json["r"] = std::string(to_string(outcome.run));
  json["s"] = outcome.status;
  json["h"] = Json::arrayValue;
  for (const http_header& header : outcome.headers) {
    json["h"].append(BytesToUtf8(header.name));
    json["h"].append(BytesToUtf8(header.value));
  }
  json["d"] = Json::UInt64{outcome.body_digest};
  if (outcome.truncated)
    json["x"] = true;
  else
    json["b"] = BytesToUtf8(outcome.body);
  return json;
}

std::uint64_t ReadNumber(const Json::Value& json) {
  if (!json.isUInt64())
    Fail("has a field that is not an unsigned integer");
  return json.asUInt64();
}

std::string ReadText(const Json::Value& json) {
  if (!json.isString())
    Fail("has a field that is not a string");
  return json.asString();
}

claim_writer ReadWriter(const Json::Value& json) {
  if (!json.isArray() || json.size() != 3)
    Fail("has no writer");
  return {member_id(ReadText(json[0])), incarnation_id(ReadNumber(json[1])),
          ReadNumber(json[2])};
}

run_state ReadRunState(const std::string& text) {
  for (const run_state state : {run_state::kDone, run_state::kUnknown}) {
    if (text == to_string(state))
      return state;
  }
  Fail("has the run state " + text);
}

saved_outcome ReadOutcome(const Json::Value& json) {
  saved_outcome outcome;
  outcome.run = ReadRunState(ReadText(json["r"]));
  if (!json["s"].isInt())
    Fail("has no status");
  outcome.status = json["s"].asInt();
  const Json::Value& headers = json["h"];
  if (!headers.isArray() || headers.size() % 2 != 0)
    Fail("has no headers");
  for (Json::ArrayIndex i = 0; i < headers.size(); i += 2) {
    outcome.headers.push_back({Utf8ToBytes(ReadText(headers[i])),
                               Utf8ToBytes(ReadText(headers[i + 1]))});
  }
  outcome.body_digest = ReadNumber(json["d"]);
  outcome.truncated = json.isMember("x");
  if (!outcome.truncated)
    outcome.body = Utf8ToBytes(ReadText(json["b"]));
  return outcome;
}

Json::Value Parse(std::string_view text) {
  std::string problem;
  const std::optional<Json::Value> json = ParseJson(text, &problem);
  if (!json || !json->isObject())
    Fail("is not a JSON object " + problem);
  return *json;
}

std::optional<claim_log_record> TryDecode(const log_record& record,
                                          const stream_id& stream) {
  try {
    return DecodeClaimRecord(record.data);
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "claim-record-malformed",
             {{"stream", stream.value()},
              {"offset", std::to_string(record.offset.value())},
              {"error", e.what()}});
    return std::nullopt;
  }
}

claim_batch DecodeBatch(const log_batch& in) {
  claim_batch out{.shard = ClaimShard(in.stream),
                  .first = in.first,
                  .next = in.next,
                  .retention = in.retention};
  for (const log_record& record : in.records)
    out.records.push_back({record.offset, TryDecode(record, in.stream)});
  return out;
}

}  // namespace

std::string EncodeClaimRecord(const claim_log_record& record) {
  return std::visit(
      [](const auto& r) {
        Json::Value json = ToJson(r);
        json["k"] = r.key.value();
        json["w"] = WriterToJson(r.writer);
        return FormatJson(json);
      },
      record);
}

claim_log_record DecodeClaimRecord(std::string_view text) {
  const Json::Value json = Parse(text);
  const std::string type = ReadText(json["t"]);
  const idempotency_key key(ReadText(json["k"]));
  const claim_writer writer = ReadWriter(json["w"]);
  if (!KeyCreation(key))
    Fail("has a key that is not a version 7 UUID");
  if (type == "claim")
    return claim_record{key, writer, ReadNumber(json["f"])};
  if (type == "void")
    return void_record{key, writer};
  if (type == "outcome")
    return outcome_record{key, writer, ReadOutcome(json)};
  Fail("has the unknown type " + type);
}

append_request EncodeClaimAppend(const append_claim_records& append) {
  append_request request{.stream = ClaimStream(append.shard),
                         .token = append.token};
  for (const claim_log_record& record : append.records)
    request.records.push_back(EncodeClaimRecord(record));
  return request;
}

idempotency_machine::message DecodeClaimEvent(const log_event& news) {
  return std::visit(
      overloaded{[](const log_batch& n) -> idempotency_machine::message {
                   return DecodeBatch(n);
                 },
                 [](const log_unavailable& n) -> idempotency_machine::message {
                   return claim_shard_unavailable{ClaimShard(n.stream)};
                 },
                 [](const log_truncated& n) -> idempotency_machine::message {
                   return claim_shard_truncated{ClaimShard(n.stream), n.first};
                 }},
      news);
}

}  // namespace dotterellead
