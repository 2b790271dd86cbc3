#include "config_replay.h"

namespace dotterellead {
namespace {

replay_decision RejectRecord(log_offset current, std::string reason) {
  return {false, current, std::move(reason)};
}

// Returns a resource that conflicts with applying `spec`. Also checked during
// replay, so that the order of the log decides races between two resources.
std::optional<conflicting_resource> FindConflict(const config_view& table,
                                                 const std::string& name,
                                                 const resource_spec& spec) {
  const auto* move = std::get_if<move_spec>(&spec);
  if (move == nullptr)
    return std::nullopt;
  if (!table.pools.contains(move->pool)) {
    return conflicting_resource{
        {"pool", move->pool.value()},
        "pool " + move->pool.value() + " does not exist"};
  }
  return FindMoveInProgress(table, move->pool, move_id(name));
}

void EraseResource(config_view& table, const resource_key& key) {
  if (key.kind == "pool")
    table.pools.erase(pool_id(key.name));
  else if (key.kind == "data_centre")
    table.data_centres.erase(data_centre_id(key.name));
  else
    table.moves.erase(move_id(key.name));
}

bool HasSpec(const config_view& table, const resource& r) {
  const std::optional<resource> present = FindResource(table, KeyOf(r));
  return present && present->spec == r.spec;
}

// Decides on one record and applies it if accepted.
struct record_replayer {
  config_view& table;
  log_offset offset;

  replay_decision operator()(const apply_record& record) const {
    const log_offset current = RevisionOf(table, KeyOf(record.item));
    if (current != record.base)
      return RejectRecord(current, "another change came first");
    // Applying a file again must not restart a move that was rolled back.
    if (HasSpec(table, record.item))
      return {true, current, ""};
    if (!current.is_valid() && table.last_removal.next() > record.seen.next())
      return RejectRecord(current, "a resource was removed meanwhile");
    if (auto found = FindConflict(table, record.item.name, record.item.spec))
      return RejectRecord(current, found->reason);
    StoreResource(table, record.item, offset);
    return {true, offset, ""};
  }

  replay_decision operator()(const remove_record& record) const {
    const log_offset current = RevisionOf(table, record.key);
    if (!current.is_valid() || current != record.base)
      return RejectRecord(current, "another change came first");
    if (record.key.kind == "pool") {
      if (auto found =
              FindMoveInProgress(table, pool_id(record.key.name), move_id()))
        return RejectRecord(current, found->reason);
    }
    EraseResource(table, record.key);
    table.last_removal = offset;
    return {true, offset, ""};
  }

  // A final verdict is kept, so that a rolled back move never resumes.
  replay_decision operator()(const move_step_record& record) const {
    const auto it = table.moves.find(record.move);
    if (it == table.moves.end())
      return RejectRecord(log_offset(), "the move does not exist");
    stored_move& move = it->second;
    if (move.revision != record.revision)
      return RejectRecord(move.revision, "the move has changed");
    if (move.progress.verdict != move_verdict::kMoving)
      return RejectRecord(move.revision, "the move has ended");
    if (move.progress.step != record.from_step)
      return RejectRecord(move.revision, "another step came first");
    if (record.next.verdict == move_verdict::kMoving &&
        record.next.step <= record.from_step)
      return RejectRecord(move.revision, "the step does not advance");
    move.progress = record.next;
    return {true, move.revision, ""};
  }

  // A snapshot repeats earlier records and changes nothing here.
  replay_decision operator()(const snapshot_record&) const {
    return {true, log_offset(), ""};
  }
};

template <class Map>
log_offset RevisionIn(const Map& resources, const std::string& name) {
  const auto it = resources.find(typename Map::key_type(name));
  return it == resources.end() ? log_offset() : it->second.revision;
}

template <class Map>
std::optional<resource> ResourceIn(const Map& resources,
                                   const std::string& name) {
  const auto it = resources.find(typename Map::key_type(name));
  if (it == resources.end())
    return std::nullopt;
  return resource{name, it->second.spec};
}

struct resource_storer {
  config_view& table;
  const std::string& name;
  log_offset revision;

  void operator()(const pool_spec& spec) const {
    table.pools[pool_id(name)] = {spec, revision};
  }
  void operator()(const data_centre_spec& spec) const {
    table.data_centres[data_centre_id(name)] = {spec, revision};
  }
  void operator()(const move_spec& spec) const {
    stored_move& move = table.moves[move_id(name)];
    move_spec same_deadline = spec;
    same_deadline.deadline = move.spec.deadline;
    if (move.spec != same_deadline ||
        move.progress.verdict != move_verdict::kMoving)
      move.progress = {};
    move.spec = spec;
    move.revision = revision;
  }
};

}  // namespace

const stream_id& ConfigStream() {
  static const stream_id stream("config");
  return stream;
}

resource_key KeyOf(const resource& r) {
  return {std::string(KindName(r.spec)), r.name};
}

std::string_view to_string(change_action action) {
  switch (action) {
    case change_action::kApplied:
      return "applied";
    case change_action::kRemoved:
      return "removed";
    case change_action::kStepped:
      return "stepped";
  }
  return "applied";
}

log_offset RevisionOf(const config_view& table, const resource_key& key) {
  if (key.kind == "pool")
    return RevisionIn(table.pools, key.name);
  if (key.kind == "data_centre")
    return RevisionIn(table.data_centres, key.name);
  return key.kind == "move" ? RevisionIn(table.moves, key.name) : log_offset();
}

std::optional<resource> FindResource(const config_view& table,
                                     const resource_key& key) {
  if (key.kind == "pool")
    return ResourceIn(table.pools, key.name);
  if (key.kind == "data_centre")
    return ResourceIn(table.data_centres, key.name);
  if (key.kind == "move")
    return ResourceIn(table.moves, key.name);
  return std::nullopt;
}

std::optional<conflicting_resource> FindMoveInProgress(const config_view& table,
                                                       const pool_id& pool,
                                                       const move_id& except) {
  for (const auto& [name, move] : table.moves) {
    if (move.spec.pool == pool && name != except &&
        move.progress.verdict == move_verdict::kMoving) {
      return conflicting_resource{
          {"move", name.value()},
          "move " + name.value() + " is in progress on pool " + pool.value()};
    }
  }
  return std::nullopt;
}

void StoreResource(config_view& table, const resource& r, log_offset revision) {
  std::visit(resource_storer{table, r.name, revision}, r.spec);
}

const std::string& NonceOfRecord(const config_record& record) {
  static const std::string none;
  return std::visit(
      overloaded{
          [](const snapshot_record&) -> const std::string& { return none; },
          [](const auto& r) -> const std::string& { return r.nonce; }},
      record);
}

std::optional<config_change> ChangeOf(const config_record& record,
                                      log_offset offset) {
  using result = std::optional<config_change>;
  return std::visit(
      overloaded{[](const snapshot_record&) -> result { return std::nullopt; },
                 [&](const apply_record& r) -> result {
                   return config_change{offset, KeyOf(r.item),
                                        change_action::kApplied};
                 },
                 [&](const remove_record& r) -> result {
                   return config_change{offset, r.key, change_action::kRemoved};
                 },
                 [&](const move_step_record& r) -> result {
                   return config_change{offset,
                                        {"move", r.move.value()},
                                        change_action::kStepped};
                 }},
      record);
}

replay_decision ReplayRecord(config_view& table,
                             const config_record& record,
                             log_offset offset) {
  replay_decision decision = std::visit(record_replayer{table, offset}, record);
  table.through = offset;
  return decision;
}

}  // namespace dotterellead
