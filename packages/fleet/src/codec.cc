#include <algorithm>
#include <cmath>

#include "dotterellead/fleet.h"
#include "dotterellead/json.h"
#include "usage_codec.h"

namespace dotterellead::fleet {

namespace {

using Json::Value;

// Field names are short because these messages cross between data centres twice
// a second.

[[noreturn]] void Fail(const char* problem) {
  throw protocol_error(std::string("invalid sync message: expected ") + problem,
                       "run the same release on all hosts");
}

Value Parse(std::string_view text) {
  std::string problem;
  std::optional<Value> json = ParseJson(text, &problem);
  if (!json || !json->isObject())
    Fail("a JSON object");
  return std::move(*json);
}

// Accepts an array or null.
const Value& ListOrNull(const Value& v) {
  if (!v.isNull() && !v.isArray())
    Fail("an array");
  return v;
}

std::string Text(const Value& v) {
  if (!v.isString())
    Fail("a string");
  return v.asString();
}

std::uint64_t Count(const Value& v) {
  if (v.isNull())
    return 0;
  if (!v.isUInt64())
    Fail("an unsigned integer");
  return v.asUInt64();
}

Value FromOffset(log_offset offset) {
  return offset.is_valid() ? Value(static_cast<Json::UInt64>(offset.value()))
                           : Value();
}

milliseconds Millis(const Value& v) {
  // Upper bound of any valid wait or age.
  constexpr std::uint64_t kMaxMillis = 1'000'000'000'000;
  const std::uint64_t count = Count(v);
  if (count > kMaxMillis)
    Fail("a time in milliseconds below 1e12");
  return milliseconds(static_cast<std::int64_t>(count));
}

// A time relative to another one, of either sign.
milliseconds Difference(const Value& v) {
  constexpr std::int64_t kMaxMillis = 1'000'000'000'000;
  if (!v.isInt64() || v.asInt64() > kMaxMillis || v.asInt64() < -kMaxMillis)
    Fail("a difference of times in milliseconds within 1e12");
  return milliseconds(v.asInt64());
}

log_offset ToOffset(const Value& v) {
  return v.isNull() ? log_offset() : log_offset(Count(v));
}

Value Number(std::uint64_t n) {
  return Value(static_cast<Json::UInt64>(n));
}

Value FromHost(const host_info& host) {
  Value row(Json::arrayValue);
  row.append(host.name.value());
  row.append(host.data_centre.value());
  row.append(to_string(host.address));
  return row;
}

host_info ToHost(const Value& row) {
  if (!row.isArray() || row.size() != 3)
    Fail("a host as [name, data centre, address]");
  host_info host{member_id(Text(row[0])), data_centre_id(Text(row[1])),
                 catalog::ParseEndpoint(Text(row[2]))};
  if (!host.name.is_valid() || !host.address.is_valid())
    Fail("a non-empty host name and an address IP:port");
  return host;
}

Value FromHosts(const std::vector<host_info>& hosts) {
  Value rows(Json::arrayValue);
  for (const host_info& host : hosts)
    rows.append(FromHost(host));
  return rows;
}

std::vector<host_info> ToHosts(const Value& rows) {
  std::vector<host_info> hosts;
  for (const Value& row : ListOrNull(rows))
    hosts.push_back(ToHost(row));
  return hosts;
}

Value FromEvents(const std::vector<crash_event>& events) {
  Value rows(Json::arrayValue);
  for (const crash_event& e : events) {
    Value row(Json::arrayValue);
    row.append(e.origin.value());
    row.append(Number(e.incarnation.value()));
    row.append(Number(e.sequence_number));
    row.append(Number(e.fingerprint.value()));
    rows.append(row);
  }
  return rows;
}

std::vector<crash_event> ToEvents(const Value& rows) {
  std::vector<crash_event> events;
  for (const Value& row : ListOrNull(rows)) {
    if (!row.isArray() || row.size() != 4)
      Fail("an event as [origin, run, number, fingerprint]");
    events.push_back({member_id(Text(row[0])), Count(row[2]),
                      incarnation_id(Count(row[1])),
                      request_fingerprint(Count(row[3]))});
  }
  return events;
}

Value FromCounters(const moves::counter_table& table) {
  Value rows(Json::arrayValue);
  for (const auto& [key, counters] : table) {
    Value row(Json::arrayValue);
    row.append(key.pool.value());
    row.append(FromOffset(key.order));
    row.append(key.is_target);
    row.append(key.route.value());
    row.append(Number(counters.attempts));
    row.append(Number(counters.faulty));
    rows.append(row);
  }
  return rows;
}

moves::counter_table ToCounters(const Value& rows) {
  moves::counter_table table;
  for (const Value& row : ListOrNull(rows)) {
    if (!row.isArray() || row.size() != 6)
      Fail("a counter as [pool, order, target, route, attempts, bad]");
    moves::counter_key key{pool_id(Text(row[0])), ToOffset(row[1]),
                           row[2].isBool() && row[2].asBool(),
                           catalog::route_name(Text(row[3]))};
    table[key].Add({Count(row[4]), Count(row[5])});
  }
  return table;
}

Value FromStages(const std::vector<moves::stage>& stages) {
  Value rows(Json::arrayValue);
  for (const moves::stage& s : stages) {
    Value row(Json::arrayValue);
    row.append(s.pool.value());
    row.append(s.target.value());
    row.append(FromOffset(s.order));
    row.append(Number(s.per_mille));
    row.append(Number(static_cast<std::uint64_t>(s.state)));
    row.append(Number(static_cast<std::uint64_t>(s.age.count())));
    row.append(Number(s.step));
    rows.append(row);
  }
  return rows;
}

std::vector<moves::stage> ToStages(const Value& rows) {
  std::vector<moves::stage> stages;
  for (const Value& row : ListOrNull(rows)) {
    if (!row.isArray() || row.size() != 7 ||
        Count(row[4]) >
            static_cast<std::uint64_t>(catalog::move_state::kRolledBack))
      Fail("a stage as [pool, target, order, share, state, age, step]");
    moves::stage s;
    s.pool = pool_id(Text(row[0]));
    s.target = version_id(Text(row[1]));
    s.order = ToOffset(row[2]);
    s.per_mille = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(Count(row[3]), 1000));
    s.state = static_cast<catalog::move_state>(Count(row[4]));
    s.age = Millis(row[5]);
    s.step = Count(row[6]);
    stages.push_back(std::move(s));
  }
  return stages;
}

Value FromUpdates(const std::array<stream_updates, kStreams>& streams) {
  Value rows(Json::arrayValue);
  for (const stream_updates& stream : streams) {
    Value json(Json::objectValue);
    for (const update& update : stream.updates) {
      Value row(Json::arrayValue);
      row.append(update.key);
      row.append(FromOffset(update.offset));
      if (update.value)
        row.append(*update.value);
      json["items"].append(row);
    }
    if (stream.end_offset.is_valid())
      json["upto"] = FromOffset(stream.end_offset);
    if (stream.age)
      json["age"] = Number(static_cast<std::uint64_t>(stream.age->count()));
    if (stream.proof)
      json["proof"] = static_cast<Json::Int64>(stream.proof->count());
    rows.append(json);
  }
  return rows;
}

std::array<stream_updates, kStreams> ToUpdates(const Value& rows) {
  std::array<stream_updates, kStreams> streams;
  if (rows.isNull())
    return streams;
  if (!rows.isArray() || rows.size() != kStreams)
    Fail("\"news\" as an array with one element per stream");
  for (Json::ArrayIndex i = 0; i < kStreams; ++i) {
    const Value& json = rows[i];
    stream_updates& stream = streams[i];
    for (const Value& row : ListOrNull(MemberOrNull(json, "items"))) {
      if (!row.isArray() || row.size() < 2)
        Fail("an item as [key, position] or [key, position, value]");
      update update;
      update.source = kAllStreams[i];
      update.key = Text(row[0]);
      update.offset = ToOffset(row[1]);
      if (row.size() > 2)
        update.value = Text(row[2]);
      stream.updates.push_back(std::move(update));
    }
    stream.end_offset = ToOffset(MemberOrNull(json, "upto"));
    if (!MemberOrNull(json, "age").isNull())
      stream.age = Millis(MemberOrNull(json, "age"));
    if (!MemberOrNull(json, "proof").isNull())
      stream.proof = Difference(MemberOrNull(json, "proof"));
  }
  return streams;
}

// Rates and slots are sent in tenths: [pool, data centre, hosts, age, free
// slots, probed slots, [priority, offered, completed, rejected, offered work,
// completed work], ...].
constexpr double kTenths = 10;

Value FromRate(double rate) {
  return Number(static_cast<std::uint64_t>(std::lround(rate * kTenths)));
}

double ToRate(const Value& v) {
  constexpr std::uint64_t kMaxRate = 1'000'000'000;
  return static_cast<double>(std::min(Count(v), kMaxRate)) / kTenths;
}

Value FromPools(const pools::pool_table& table) {
  Value rows(Json::arrayValue);
  for (const auto& [key, load] : table) {
    Value row(Json::arrayValue);
    row.append(key.pool.value());
    row.append(key.data_centre.value());
    row.append(Number(load.host_count));
    row.append(Number(static_cast<std::uint64_t>(load.age.count())));
    row.append(FromRate(load.free_slots));
    row.append(FromRate(load.probed_slots));
    for (const auto& [priority, l] : load.by_priority) {
      Value part(Json::arrayValue);
      part.append(priority);
      for (const double rate : {l.offered, l.completed, l.rejected,
                                l.offered_work, l.completed_work})
        part.append(FromRate(rate));
      row.append(part);
    }
    rows.append(row);
  }
  return rows;
}

pools::pool_table ToPools(const Value& rows) {
  constexpr Json::ArrayIndex kFixed = 6;
  constexpr std::uint64_t kMaxHosts = 100'000;
  pools::pool_table table;
  for (const Value& row : ListOrNull(rows)) {
    if (!row.isArray() || row.size() < kFixed)
      Fail("a pool as [pool, data centre, hosts, age, free, probed, ...]");
    pools::pool_load load;
    load.host_count = std::min(Count(row[2]), kMaxHosts);
    load.age = Millis(row[3]);
    load.free_slots = ToRate(row[4]);
    load.probed_slots = ToRate(row[5]);
    for (Json::ArrayIndex i = kFixed; i < row.size(); ++i) {
      const Value& part = row[i];
      if (!part.isArray() || part.size() != 6 || !part[0].isInt())
        Fail("a priority as [priority, offered, completed, rejected, ...]");
      load.by_priority[part[0].asInt()] = {ToRate(part[1]), ToRate(part[2]),
                                           ToRate(part[3]), ToRate(part[4]),
                                           ToRate(part[5])};
    }
    table[{pool_id(Text(row[0])), data_centre_id(Text(row[1]))}] =
        std::move(load);
  }
  return table;
}

bool IsEmpty(const std::array<stream_updates, kStreams>& streams) {
  return std::none_of(streams.begin(), streams.end(),
                      [](const stream_updates& part) { return part.age; });
}

}  // namespace

std::string EncodeRequest(const sync_request& request) {
  Value json(Json::objectValue);
  json["self"] = FromHost(request.self);
  if (!request.descendants.empty())
    json["below"] = FromHosts(request.descendants);
  for (const log_offset offset : request.end_offsets)
    json["have"].append(FromOffset(offset));
  if (!IsEmpty(request.updates))
    json["news"] = FromUpdates(request.updates);
  if (!request.counters.empty())
    json["tallies"] = FromCounters(request.counters);
  if (!request.crash_events.empty())
    json["events"] = FromEvents(request.crash_events);
  if (!request.usage.empty())
    json["usage"] = FromUsage(request.usage);
  if (!request.pools.empty())
    json["pools"] = FromPools(request.pools);
  json["hosts"] = Number(request.hosts_version);
  json["stages"] = Number(request.stages_version);
  json["seen"] = Number(request.events_version);
  json["wait"] = Number(static_cast<std::uint64_t>(request.max_wait.count()));
  if (request.is_inquiry)
    json["inquiry"] = true;
  return FormatJson(json);
}

sync_request DecodeRequest(std::string_view text) {
  const Value json = Parse(text);
  sync_request request;
  request.self = ToHost(MemberOrNull(json, "self"));
  request.descendants = ToHosts(MemberOrNull(json, "below"));
  const Value& offsets = MemberOrNull(json, "have");
  if (!offsets.isArray() || offsets.size() != kStreams)
    Fail("\"have\" as an array with one offset per stream");
  for (Json::ArrayIndex i = 0; i < kStreams; ++i)
    request.end_offsets[i] = ToOffset(offsets[i]);
  request.updates = ToUpdates(MemberOrNull(json, "news"));
  request.counters = ToCounters(MemberOrNull(json, "tallies"));
  request.crash_events = ToEvents(MemberOrNull(json, "events"));
  request.usage = ToUsage(MemberOrNull(json, "usage"));
  request.pools = ToPools(MemberOrNull(json, "pools"));
  request.hosts_version = Count(MemberOrNull(json, "hosts"));
  request.stages_version = Count(MemberOrNull(json, "stages"));
  request.events_version = Count(MemberOrNull(json, "seen"));
  request.max_wait = Millis(MemberOrNull(json, "wait"));
  request.is_inquiry = MemberOrNull(json, "inquiry").isBool() &&
                       MemberOrNull(json, "inquiry").asBool();
  return request;
}

std::string EncodeResponse(const sync_response& response) {
  Value json(Json::objectValue);
  json["self"] = FromHost(response.self);
  json["news"] = FromUpdates(response.updates);
  if (response.hosts)
    json["hosts"] = FromHosts(*response.hosts);
  json["hosts_version"] = Number(response.hosts_version);
  if (response.stages)
    json["stages"] = FromStages(*response.stages);
  json["stages_version"] = Number(response.stages_version);
  if (!response.crash_events.empty())
    json["events"] = FromEvents(response.crash_events);
  json["events_version"] = Number(response.events_version);
  if (response.leader_token)
    json["token"] = Number(response.leader_token->value());
  if (!response.pools.empty())
    json["pools"] = FromPools(response.pools);
  if (response.held)
    json["held"] = Number(static_cast<std::uint64_t>(response.held->count()));
  return FormatJson(json);
}

sync_response DecodeResponse(std::string_view text) {
  const Value json = Parse(text);
  sync_response response;
  response.self = ToHost(MemberOrNull(json, "self"));
  response.updates = ToUpdates(MemberOrNull(json, "news"));
  if (!MemberOrNull(json, "hosts").isNull())
    response.hosts = ToHosts(MemberOrNull(json, "hosts"));
  response.hosts_version = Count(MemberOrNull(json, "hosts_version"));
  if (!MemberOrNull(json, "stages").isNull())
    response.stages = ToStages(MemberOrNull(json, "stages"));
  response.stages_version = Count(MemberOrNull(json, "stages_version"));
  response.crash_events = ToEvents(MemberOrNull(json, "events"));
  response.pools = ToPools(MemberOrNull(json, "pools"));
  response.events_version = Count(MemberOrNull(json, "events_version"));
  if (!MemberOrNull(json, "token").isNull())
    response.leader_token =
        usage::fencing_token(Count(MemberOrNull(json, "token")));
  if (!MemberOrNull(json, "held").isNull())
    response.held = milliseconds(Count(MemberOrNull(json, "held")));
  return response;
}

}  // namespace dotterellead::fleet
