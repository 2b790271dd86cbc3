#include <fmt/core.h>

#include "dotterellead/json.h"
#include "peer_envelope.h"

namespace dotterellead {
namespace {

Json::Value ParseObject(std::string_view text) {
  const std::optional<Json::Value> json = ParseJson(text);
  if (!json || !json->isObject()) {
    throw protocol_error("a peer sent a malformed message",
                         "run the same version on all entry hosts");
  }
  return *json;
}

}  // namespace

std::string EncodeEnvelope(const peer_envelope& envelope) {
  return fmt::format("{{\"from\":{},\"body\":{}}}",
                     Json::valueToQuotedString(envelope.from.value().c_str()),
                     envelope.body);
}

peer_envelope DecodeEnvelope(std::string_view text) {
  const Json::Value json = ParseObject(text);
  if (!json["from"].isString() || !json.isMember("body")) {
    throw protocol_error("a peer's message names no sender",
                         "run the same version on all entry hosts");
  }
  return {member_id(json["from"].asString()), FormatJson(json["body"])};
}

std::string EncodeFetch(log_offset from) {
  return fmt::format("{{\"from\":{}}}", from.value());
}

log_offset DecodeFetch(std::string_view text) {
  const Json::Value json = ParseObject(text);
  if (!json["from"].isUInt64()) {
    throw protocol_error("a peer's fetch names no offset",
                         "run the same version on all entry hosts");
  }
  return log_offset(json["from"].asUInt64());
}

}  // namespace dotterellead
