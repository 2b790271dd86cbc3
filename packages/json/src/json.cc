#include "dotterellead/json.h"

#include <memory>

namespace dotterellead {
namespace {

constexpr int kMaxDepth = 64;

// Shared, since filling a builder's settings takes longer than parsing a short
// text.
const Json::CharReaderBuilder& ReaderBuilder() {
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder made;
    made["rejectDupKeys"] = true;
    made["failIfExtra"] = true;
    made["stackLimit"] = kMaxDepth;
    return made;
  }();
  return builder;
}

const Json::StreamWriterBuilder& WriterBuilder() {
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder made;
    made["indentation"] = "";
    made["emitUTF8"] = true;
    return made;
  }();
  return builder;
}

}  // namespace

std::optional<Json::Value> ParseJson(std::string_view text,
                                     std::string* problem) {
  const std::unique_ptr<Json::CharReader> reader(
      ReaderBuilder().newCharReader());
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

const Json::Value& MemberOrNull(const Json::Value& json, const char* key) {
  return json.isObject() ? json[key] : Json::Value::nullSingleton();
}

std::string FormatJson(const Json::Value& json) {
  return Json::writeString(WriterBuilder(), json);
}

}  // namespace dotterellead
