#include "operate_codec.h"
#include "dotterellead/json.h"

namespace dotterellead {
namespace {

std::string WriteText(const Json::Value& json) {
  return FormatJson(json) + "\n";
}

Json::Value WriteOffset(log_offset offset) {
  return offset.is_valid() ? Json::Value(Json::UInt64{offset.value()})
                           : Json::Value();
}

Json::Value WriteResource(const resource& r) {
  return *ParseJson(FormatResource(r));
}

Json::Value WriteProgress(const move_progress& progress) {
  Json::Value json;
  json["share_per_mille"] = progress.share_per_mille;
  json["step"] = progress.step;
  json["verdict"] = std::string(to_string(progress.verdict));
  json["reason"] = progress.reason;
  return json;
}

// The resource with its revision and, of a move, its progress.
std::optional<Json::Value> WriteStored(const config_view& view,
                                       const resource_key& key) {
  const std::optional<resource> found = FindResource(view, key);
  if (!found)
    return std::nullopt;
  Json::Value json = WriteResource(*found);
  json["revision"] = WriteOffset(RevisionOf(view, key));
  if (const auto move = view.moves.find(move_id(key.name));
      key.kind == "move" && move != view.moves.end())
    json["progress"] = WriteProgress(move->second.progress);
  return json;
}

template <class Map>
std::vector<resource_key> KeysOf(const Map& resources,
                                 const std::string& kind) {
  std::vector<resource_key> keys;
  keys.reserve(resources.size());
  for (const auto& [name, stored] : resources)
    keys.push_back({kind, name.value()});
  return keys;
}

std::vector<resource_key> KeysOfKind(const config_view& view,
                                     const std::string& kind) {
  if (kind == "pool")
    return KeysOf(view.pools, kind);
  if (kind == "data_centre")
    return KeysOf(view.data_centres, kind);
  return KeysOf(view.moves, kind);
}

Json::Value WriteMember(const member_status& m) {
  Json::Value json;
  json["member"] = m.member.value();
  json["data_centre"] = m.data_centre.value();
  json["live"] = m.live;
  json["leaving"] = m.leaving;
  json["config_offset"] = WriteOffset(m.config_offset);
  return json;
}

Json::Value WriteResourceStatus(const resource_status& status) {
  Json::Value json;
  json["kind"] = status.key.kind;
  json["name"] = status.key.name;
  json["revision"] = WriteOffset(status.revision);
  json["in_force"] = status.in_force();
  json["behind"] = Json::Value(Json::arrayValue);
  for (const member_id& m : status.behind)
    json["behind"].append(m.value());
  return json;
}

Json::Value WriteHost(const host_status& host, const health_status& health) {
  Json::Value json;
  json["member"] = host.self.value();
  json["data_centre"] = host.data_centre.value();
  json["incarnation"] =
      host.incarnation.is_valid()
          ? Json::Value(Json::UInt64{host.incarnation.value()})
          : Json::Value();
  json["epoch"] = host.epoch.is_valid()
                      ? Json::Value(Json::UInt64{host.epoch.value()})
                      : Json::Value();
  json["log_readable"] = host.log_readable;
  json["ready"] = health.ready;
  json["leaving"] = health.leaving;
  json["reason"] = health.reason;
  return json;
}

Json::Value WriteMove(const move_id& name, const stored_move& move) {
  Json::Value json = WriteProgress(move.progress);
  json["name"] = name.value();
  json["pool"] = move.spec.pool.value();
  json["from_version"] = move.spec.from_version.value();
  json["to_version"] = move.spec.to_version.value();
  json["deadline_unix_ms"] = Json::Int64{move.spec.deadline.value};
  return json;
}

int StatusOf(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalidInput:
      return 400;
    case error_kind::kNotFound:
      return 404;
    case error_kind::kOverloaded:
      return 429;
    default:
      return 503;
  }
}

struct outcome_encoder {
  bool dry_run;

  encoded_outcome operator()(const write_accepted& accepted) const {
    Json::Value json;
    json["outcome"] = dry_run ? "valid" : "accepted";
    json["revision"] = WriteOffset(accepted.revision);
    return {200, WriteText(json)};
  }
  encoded_outcome operator()(const write_conflict& conflict) const {
    Json::Value json;
    json["outcome"] = "conflict";
    json["error"] = conflict.reason;
    json["remedy"] = "read the resource again and repeat the change on it";
    json["revision"] = WriteOffset(conflict.current);
    return {409, WriteText(json)};
  }
  encoded_outcome operator()(const write_rejected& refused) const {
    return {StatusOf(refused.kind),
            EncodeError(refused.problem, refused.remedy)};
  }
  encoded_outcome operator()(const write_unknown&) const {
    Json::Value json;
    json["outcome"] = "unknown";
    json["error"] = "the log did not show in time what became of the change";
    json["remedy"] = "read the resource once the log can be read";
    return {504, WriteText(json)};
  }
};

}  // namespace

std::string EncodeKinds() {
  Json::Value json;
  for (const std::string& kind : KindNames())
    json["kinds"].append(kind);
  return WriteText(json);
}

std::string EncodeList(const config_view& view, const std::string& kind) {
  Json::Value json;
  json["through"] = WriteOffset(view.through);
  json["items"] = Json::Value(Json::arrayValue);
  for (const resource_key& key : KeysOfKind(view, kind))
    json["items"].append(*WriteStored(view, key));
  return WriteText(json);
}

std::optional<std::string> EncodeOne(const config_view& view,
                                     const resource_key& key) {
  const std::optional<Json::Value> json = WriteStored(view, key);
  if (!json)
    return std::nullopt;
  return WriteText(*json);
}

std::string EncodeChanges(const config_changes& changes) {
  Json::Value json;
  json["complete"] = changes.complete;
  json["next"] =
      changes.view ? WriteOffset(changes.view->through.next()) : Json::Value();
  json["changes"] = Json::Value(Json::arrayValue);
  for (const config_change& change : changes.changes) {
    Json::Value item;
    item["offset"] = WriteOffset(change.offset);
    item["kind"] = change.key.kind;
    item["name"] = change.key.name;
    item["action"] = std::string(to_string(change.action));
    if (const auto present = WriteStored(*changes.view, change.key))
      item["present"] = *present;
    json["changes"].append(std::move(item));
  }
  return WriteText(json);
}

std::string EncodeStatus(const config_view* view,
                         const host_status& host,
                         const health_status& health) {
  Json::Value json;
  json["host"] = WriteHost(host, health);
  json["members"] = Json::Value(Json::arrayValue);
  for (const member_status& m : host.members)
    json["members"].append(WriteMember(m));
  json["resources"] = Json::Value(Json::arrayValue);
  json["moves"] = Json::Value(Json::arrayValue);
  if (view == nullptr)
    return WriteText(json);
  json["host"]["config_offset"] = WriteOffset(view->through);
  for (const resource_status& status : StatusOfResources(*view, host))
    json["resources"].append(WriteResourceStatus(status));
  for (const auto& [name, move] : view->moves)
    json["moves"].append(WriteMove(name, move));
  return WriteText(json);
}

std::string EncodeExplanations(const std::vector<server_explanation>& all) {
  Json::Value json;
  json["servers"] = Json::Value(Json::arrayValue);
  for (const server_explanation& e : all) {
    Json::Value item;
    item["pool"] = e.pool.value();
    item["server"] = e.server.value();
    item["gets_work"] = e.gets_work;
    item["slots"] = e.slots;
    item["slots_in_use"] = e.slots_in_use;
    item["reasons"] = Json::Value(Json::arrayValue);
    for (const std::string& reason : e.reasons)
      item["reasons"].append(reason);
    json["servers"].append(std::move(item));
  }
  return WriteText(json);
}

std::string EncodeStats(const interval_stats& stats) {
  Json::Value json;
  json["interval_ms"] = Json::Int64{stats.interval.count()};
  json["values"] = Json::Value(Json::objectValue);
  for (const auto& [name, value] : stats.values)
    json["values"][name] = value;
  return WriteText(json);
}

std::string EncodeError(const std::string& problem, const std::string& remedy) {
  Json::Value json;
  json["error"] = problem;
  json["remedy"] = remedy;
  return WriteText(json);
}

encoded_outcome EncodeOutcome(const write_outcome& outcome, bool dry_run) {
  return std::visit(outcome_encoder{dry_run}, outcome);
}

}  // namespace dotterellead
