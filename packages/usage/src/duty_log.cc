#include "dotterellead/json.h"
#include "dotterellead/usage.h"

namespace dotterellead::usage {

namespace {

using Json::Value;

Value Number(std::uint64_t n) {
  return Value(static_cast<Json::UInt64>(n));
}

// Records are compact, since writes are charged for.
Value ToJson(const takeover_record& record) {
  Value json(Json::objectValue);
  json["host"] = record.host.value();
  json["run"] = Number(record.incarnation.value());
  json["era"] = Number(record.era);
  for (const auto& [task, window] : record.next)
    json["next"][task] = Number(window.value());
  return json;
}

Value ToJson(const window_record& record) {
  Value json(Json::objectValue);
  json["task"] = record.task;
  json["window"] = Number(record.window.value());
  json["body"] = record.body;
  json["era"] = Number(record.era);
  return json;
}

}  // namespace

fencing_token TokenOf(std::uint64_t era, std::uint64_t offset) {
  return fencing_token(PositionOf(era, offset) + 1);
}

std::string EncodeRecord(const duty_record& record) {
  return FormatJson(
      std::visit([](const auto& r) { return ToJson(r); }, record));
}

std::optional<duty_record> DecodeRecord(std::string_view text) {
  const std::optional<Value> json = ParseJson(text);
  if (!json)
    return std::nullopt;
  const Value& host = MemberOrNull(*json, "host");
  const Value& run = MemberOrNull(*json, "run");
  const Value& era = MemberOrNull(*json, "era");
  if (host.isString() && run.isUInt64() && era.isUInt64()) {
    takeover_record record{member_id(host.asString()),
                           incarnation_id(run.asUInt64()),
                           era.asUInt64(),
                           {}};
    const Value& next = MemberOrNull(*json, "next");
    if (next.isObject())
      for (const std::string& task : next.getMemberNames())
        if (next[task].isUInt64())
          record.next[task] = window_number(next[task].asUInt64());
    return record;
  }
  const Value& task = MemberOrNull(*json, "task");
  const Value& window = MemberOrNull(*json, "window");
  const Value& body = MemberOrNull(*json, "body");
  if (task.isString() && window.isUInt64() && body.isString() && era.isUInt64())
    return window_record{task.asString(), window_number(window.asUInt64()),
                         body.asString(), era.asUInt64()};
  return std::nullopt;
}

void duty_log::StartEra(std::uint64_t era) {
  era_ = era;
  next_offset_ = 0;
  recorded_era_ = 0;
  takeover_.reset();
  last_.clear();
}

void duty_log::Apply(const std::string& text) {
  const fencing_token token = TokenOf(era_.value_or(0), next_offset_++);
  const std::optional<duty_record> record = DecodeRecord(text);
  if (!record)
    return;
  recorded_era_ = std::max(
      recorded_era_, std::visit([](const auto& r) { return r.era; }, *record));
  if (const auto* taken = std::get_if<takeover_record>(&*record)) {
    takeover_ = takeover{*taken, token};
    for (const auto& [task, window] : taken->next)
      RaiseNext(task, window);
  } else {
    const auto& window = std::get<window_record>(*record);
    RaiseNext(window.task, window.window.next());
    last_[window.task] = window;
  }
}

void duty_log::RaiseNext(const std::string& task, window_number window) {
  const auto [entry, is_new] = next_.try_emplace(task, window);
  if (!is_new)
    entry->second = std::max(entry->second, window);
}

window_number duty_log::NextWindow(const std::string& task) const {
  const auto entry = next_.find(task);
  return entry == next_.end() ? window_number() : entry->second;
}

const window_record* duty_log::LastWindow(const std::string& task) const {
  const auto entry = last_.find(task);
  return entry == last_.end() ? nullptr : &entry->second;
}

bool duty_log::HasRecorded(const window_record& record) const {
  const window_record* last = LastWindow(record.task);
  return last != nullptr && last->window == record.window;
}

}  // namespace dotterellead::usage
