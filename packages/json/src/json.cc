#include "dotterellead/json.h"

#include <memory>

namespace dotterellead {
namespace {

constexpr int kMaxDepth = 64;

}  // namespace

std::optional<Json::Value> ParseJson(std::string_view text,
                                     std::string* problem) {
  Json::CharReaderBuilder builder;
  builder["rejectDupKeys"] = true;
  builder["failIfExtra"] = true;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  std::string reason;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &json, &reason))
      return json;
  } catch (const Json::Exception& e) {
    reason = e.what();
  }
  if (problem != nullptr)
    *problem = reason;
  return std::nullopt;
}

std::string FormatJson(const Json::Value& json) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, json);
}

}  // namespace dotterellead
