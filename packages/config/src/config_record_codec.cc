
#include <array>

#include "config_replay.h"
#include "dotterellead/json.h"

namespace dotterellead {
namespace {

[[noreturn]] void FailRecord(const std::string& problem) {
  throw protocol_error("malformed configuration record: " + problem,
                       "write the stream with this program only");
}

std::string WriteText(const Json::Value& json) {
  return FormatJson(json);
}

Json::Value ReadTextAsObject(std::string_view text) {
  std::string problem;
  const std::optional<Json::Value> json = ParseJson(text, &problem);
  if (!json || !json->isObject())
    FailRecord("not a JSON object " + problem);
  return *json;
}

// Any error in the functions below means a malformed record.
template <class Read>
auto AsProtocolError(Read read) {
  try {
    return read();
  } catch (const invalid_input_error& e) {
    FailRecord(e.what());
  } catch (const Json::Exception& e) {
    FailRecord(e.what());
  }
}

Json::Value WriteOffset(log_offset offset) {
  return offset.is_valid() ? Json::Value(Json::UInt64{offset.value()})
                           : Json::Value();
}

log_offset ReadOffset(const Json::Value& json) {
  if (json.isNull())
    return log_offset();
  if (!json.isUInt64())
    FailRecord("an offset is not a number");
  return log_offset(json.asUInt64());
}

std::string ReadString(const Json::Value& json) {
  if (!json.isString())
    FailRecord("a string is missing");
  return json.asString();
}

std::uint32_t ReadCount(const Json::Value& json) {
  if (!json.isUInt())
    FailRecord("a count is missing");
  return json.asUInt();
}

Json::Value WriteResource(const resource& r) {
  return ReadTextAsObject(FormatResource(r));
}

resource ReadResource(const Json::Value& json) {
  return ParseResource(WriteText(json));
}

constexpr std::array kVerdicts = {move_verdict::kMoving, move_verdict::kDone,
                                  move_verdict::kRolledBack};

Json::Value WriteProgress(const move_progress& progress) {
  Json::Value json;
  json["share_per_mille"] = progress.share_per_mille;
  json["step"] = progress.step;
  json["verdict"] = std::string(to_string(progress.verdict));
  json["reason"] = progress.reason;
  return json;
}

move_progress ReadProgress(const Json::Value& json) {
  move_progress progress;
  progress.share_per_mille = ReadCount(json["share_per_mille"]);
  progress.step = ReadCount(json["step"]);
  progress.reason = ReadString(json["reason"]);
  const std::string verdict = ReadString(json["verdict"]);
  for (const move_verdict v : kVerdicts) {
    if (to_string(v) == verdict) {
      progress.verdict = v;
      return progress;
    }
  }
  FailRecord("unknown verdict " + verdict);
}

template <class Map>
void WriteAll(const Map& resources, Json::Value& list) {
  for (const auto& [name, found] : resources) {
    Json::Value item;
    item["resource"] = WriteResource({name.value(), found.spec});
    item["revision"] = WriteOffset(found.revision);
    if constexpr (std::is_same_v<typename Map::mapped_type, stored_move>)
      item["progress"] = WriteProgress(found.progress);
    list.append(std::move(item));
  }
}

Json::Value WriteTable(const config_view& table) {
  Json::Value json;
  json["through"] = WriteOffset(table.through);
  json["last_removal"] = WriteOffset(table.last_removal);
  Json::Value list(Json::arrayValue);
  WriteAll(table.pools, list);
  WriteAll(table.data_centres, list);
  WriteAll(table.moves, list);
  json["resources"] = std::move(list);
  return json;
}

config_view ReadTable(const Json::Value& json) {
  config_view table;
  if (!json["resources"].isArray())
    FailRecord("a table has no resources");
  for (const Json::Value& item : json["resources"]) {
    const resource r = ReadResource(item["resource"]);
    StoreResource(table, r, ReadOffset(item["revision"]));
    if (std::holds_alternative<move_spec>(r.spec))
      table.moves[move_id(r.name)].progress = ReadProgress(item["progress"]);
  }
  table.through = ReadOffset(json["through"]);
  table.last_removal = ReadOffset(json["last_removal"]);
  return table;
}

struct record_writer {
  Json::Value operator()(const apply_record& r) const {
    Json::Value json;
    json["type"] = "apply";
    json["resource"] = WriteResource(r.item);
    json["base"] = WriteOffset(r.base);
    json["seen"] = WriteOffset(r.seen);
    json["nonce"] = r.nonce;
    return json;
  }
  Json::Value operator()(const remove_record& r) const {
    Json::Value json;
    json["type"] = "remove";
    json["kind"] = r.key.kind;
    json["name"] = r.key.name;
    json["base"] = WriteOffset(r.base);
    json["nonce"] = r.nonce;
    return json;
  }
  Json::Value operator()(const move_step_record& r) const {
    Json::Value json;
    json["type"] = "move_step";
    json["move"] = r.move.value();
    json["revision"] = WriteOffset(r.revision);
    json["from_step"] = r.from_step;
    json["next"] = WriteProgress(r.next);
    json["nonce"] = r.nonce;
    return json;
  }
  Json::Value operator()(const snapshot_record& r) const {
    Json::Value json;
    json["type"] = "snapshot";
    json["table"] = WriteTable(r.table);
    return json;
  }
};

config_record ReadApply(const Json::Value& json) {
  return apply_record{ReadResource(json["resource"]), ReadOffset(json["base"]),
                      ReadOffset(json["seen"]), ReadString(json["nonce"])};
}

config_record ReadRemove(const Json::Value& json) {
  return remove_record{{ReadString(json["kind"]), ReadString(json["name"])},
                       ReadOffset(json["base"]),
                       ReadString(json["nonce"])};
}

config_record ReadMoveStep(const Json::Value& json) {
  return move_step_record{
      move_id(ReadString(json["move"])), ReadOffset(json["revision"]),
      ReadCount(json["from_step"]), ReadProgress(json["next"]),
      ReadString(json["nonce"])};
}

config_record ReadSnapshot(const Json::Value& json) {
  return snapshot_record{ReadTable(json["table"])};
}

struct record_type {
  std::string_view name;
  config_record (*read)(const Json::Value&);
};

constexpr std::array<record_type, 4> kRecordTypes = {{
    {"apply", &ReadApply},
    {"remove", &ReadRemove},
    {"move_step", &ReadMoveStep},
    {"snapshot", &ReadSnapshot},
}};

config_record ReadRecord(const Json::Value& json) {
  const std::string type = ReadString(json["type"]);
  for (const record_type& t : kRecordTypes) {
    if (t.name == type)
      return t.read(json);
  }
  FailRecord("unknown type " + type);
}

peer_records ReadPeerRecords(const Json::Value& json) {
  peer_records records;
  records.from = ReadOffset(json["from"]);
  records.through = ReadOffset(json["through"]);
  if (!json["records"].isArray())
    FailRecord("a peer's answer has no records");
  for (const Json::Value& item : json["records"]) {
    records.records.push_back(
        {ReadOffset(item["offset"]), ReadRecord(item["record"])});
  }
  return records;
}

}  // namespace

std::string EncodeConfigRecord(const config_record& record) {
  return WriteText(std::visit(record_writer{}, record));
}

config_record DecodeConfigRecord(std::string_view text) {
  return AsProtocolError([&] { return ReadRecord(ReadTextAsObject(text)); });
}

std::string EncodePeerState(const peer_state& state) {
  Json::Value json;
  if (const auto* snapshot = std::get_if<peer_snapshot>(&state)) {
    json["table"] = WriteTable(snapshot->table);
    return WriteText(json);
  }
  const auto& records = std::get<peer_records>(state);
  json["from"] = WriteOffset(records.from);
  json["through"] = WriteOffset(records.through);
  json["records"] = Json::Value(Json::arrayValue);
  for (const offset_record& r : records.records) {
    Json::Value item;
    item["offset"] = WriteOffset(r.offset);
    item["record"] = std::visit(record_writer{}, r.record);
    json["records"].append(std::move(item));
  }
  return WriteText(json);
}

peer_state DecodePeerState(std::string_view text) {
  return AsProtocolError([&]() -> peer_state {
    const Json::Value json = ReadTextAsObject(text);
    if (json.isMember("table"))
      return peer_snapshot{ReadTable(json["table"])};
    return ReadPeerRecords(json);
  });
}

}  // namespace dotterellead
