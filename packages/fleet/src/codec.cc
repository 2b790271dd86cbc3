#include "dotterellead/fleet.h"
#include "dotterellead/json.h"

namespace dotterellead::fleet {

namespace {

using Json::Value;

// Names of fields are short: these messages cross between data centres twice a
// second.

[[noreturn]] void Fail(const char* what) {
  throw protocol_error(std::string("message of a host without ") + what,
                       "run the same release on all hosts");
}

Value Parse(std::string_view text) {
  std::string problem;
  std::optional<Value> json = ParseJson(text, &problem);
  if (!json || !json->isObject())
    Fail("a JSON object");
  return std::move(*json);
}

// Rows of a list that may be absent.
const Value& Rows(const Value& v) {
  if (!v.isNull() && !v.isArray())
    Fail("a list");
  return v;
}

std::string Text(const Value& v) {
  if (!v.isString())
    Fail("a text field");
  return v.asString();
}

std::uint64_t Count(const Value& v) {
  if (v.isNull())
    return 0;
  if (!v.isUInt64())
    Fail("a count");
  return v.asUInt64();
}

Value FromOffset(log_offset offset) {
  return offset.is_valid() ? Value(static_cast<Json::UInt64>(offset.value()))
                           : Value();
}

milliseconds Millis(const Value& v) {
  // Longer times are none that a host waits or remembers.
  constexpr std::uint64_t kLongest = 1'000'000'000'000;
  const std::uint64_t count = Count(v);
  if (count > kLongest)
    Fail("a time");
  return milliseconds(static_cast<std::int64_t>(count));
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
    Fail("a host");
  host_info host{member_id(Text(row[0])), data_centre_id(Text(row[1])),
                 catalog::ParseEndpoint(Text(row[2]))};
  if (!host.name.is_valid() || !host.address.is_valid())
    Fail("a host's name and address");
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
  for (const Value& row : Rows(rows))
    hosts.push_back(ToHost(row));
  return hosts;
}

Value FromEvents(const std::vector<crash_event>& events) {
  Value rows(Json::arrayValue);
  for (const crash_event& e : events) {
    Value row(Json::arrayValue);
    row.append(e.origin.value());
    row.append(Number(e.run.value()));
    row.append(Number(e.number));
    row.append(Number(e.fingerprint.value()));
    rows.append(row);
  }
  return rows;
}

std::vector<crash_event> ToEvents(const Value& rows) {
  std::vector<crash_event> events;
  for (const Value& row : Rows(rows)) {
    if (!row.isArray() || row.size() != 4)
      Fail("an event");
    events.push_back({member_id(Text(row[0])), Count(row[2]),
                      incarnation_id(Count(row[1])),
                      request_fingerprint(Count(row[3]))});
  }
  return events;
}

Value FromTallies(const moves::counter_table& tallies) {
  Value rows(Json::arrayValue);
  for (const auto& [key, tally] : tallies) {
    Value row(Json::arrayValue);
    row.append(key.pool.value());
    row.append(FromOffset(key.order));
    row.append(key.is_target);
    row.append(key.route.value());
    row.append(Number(tally.attempts));
    row.append(Number(tally.faulty));
    rows.append(row);
  }
  return rows;
}

moves::counter_table ToTallies(const Value& rows) {
  moves::counter_table tallies;
  for (const Value& row : Rows(rows)) {
    if (!row.isArray() || row.size() != 6)
      Fail("a tally");
    moves::counter_key key{pool_id(Text(row[0])), ToOffset(row[1]),
                           row[2].isBool() && row[2].asBool(),
                           catalog::route_name(Text(row[3]))};
    tallies[key].Add({Count(row[4]), Count(row[5])});
  }
  return tallies;
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
  for (const Value& row : Rows(rows)) {
    if (!row.isArray() || row.size() != 7 ||
        Count(row[4]) >
            static_cast<std::uint64_t>(catalog::move_state::kRolledBack))
      Fail("a stage");
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

Value FromNews(const std::array<stream_news, kStreams>& news) {
  Value rows(Json::arrayValue);
  for (const stream_news& part : news) {
    Value json(Json::objectValue);
    for (const news_item& item : part.items) {
      Value row(Json::arrayValue);
      row.append(item.key);
      row.append(FromOffset(item.position));
      if (item.value)
        row.append(*item.value);
      json["items"].append(row);
    }
    if (part.upto.is_valid())
      json["upto"] = FromOffset(part.upto);
    if (part.age)
      json["age"] = Number(static_cast<std::uint64_t>(part.age->count()));
    rows.append(json);
  }
  return rows;
}

std::array<stream_news, kStreams> ToNews(const Value& rows) {
  std::array<stream_news, kStreams> news;
  if (rows.isNull())
    return news;
  if (!rows.isArray() || rows.size() != kStreams)
    Fail("its news");
  for (Json::ArrayIndex i = 0; i < kStreams; ++i) {
    const Value& json = rows[i];
    stream_news& part = news[i];
    for (const Value& row : Rows(MemberOrNull(json, "items"))) {
      if (!row.isArray() || row.size() < 2)
        Fail("an item of news");
      news_item item;
      item.source = kAllStreams[i];
      item.key = Text(row[0]);
      item.position = ToOffset(row[1]);
      if (row.size() > 2)
        item.value = Text(row[2]);
      part.items.push_back(std::move(item));
    }
    part.upto = ToOffset(MemberOrNull(json, "upto"));
    if (!MemberOrNull(json, "age").isNull())
      part.age = Millis(MemberOrNull(json, "age"));
  }
  return news;
}

bool IsEmpty(const std::array<stream_news, kStreams>& news) {
  return std::none_of(news.begin(), news.end(),
                      [](const stream_news& part) { return part.age; });
}

}  // namespace

std::string EncodeRequest(const sync_request& request) {
  Value json(Json::objectValue);
  json["self"] = FromHost(request.self);
  if (!request.below.empty())
    json["below"] = FromHosts(request.below);
  for (const log_offset offset : request.have)
    json["have"].append(FromOffset(offset));
  if (!IsEmpty(request.news))
    json["news"] = FromNews(request.news);
  if (!request.tallies.empty())
    json["tallies"] = FromTallies(request.tallies);
  if (!request.events.empty())
    json["events"] = FromEvents(request.events);
  json["hosts"] = Number(request.have_hosts);
  json["stages"] = Number(request.have_stages);
  json["seen"] = Number(request.have_events);
  json["wait"] = Number(static_cast<std::uint64_t>(request.wait.count()));
  if (request.is_inquiry)
    json["inquiry"] = true;
  return FormatJson(json);
}

sync_request DecodeRequest(std::string_view text) {
  const Value json = Parse(text);
  sync_request request;
  request.self = ToHost(MemberOrNull(json, "self"));
  request.below = ToHosts(MemberOrNull(json, "below"));
  const Value& have = MemberOrNull(json, "have");
  if (!have.isArray() || have.size() != kStreams)
    Fail("its positions");
  for (Json::ArrayIndex i = 0; i < kStreams; ++i)
    request.have[i] = ToOffset(have[i]);
  request.news = ToNews(MemberOrNull(json, "news"));
  request.tallies = ToTallies(MemberOrNull(json, "tallies"));
  request.events = ToEvents(MemberOrNull(json, "events"));
  request.have_hosts = Count(MemberOrNull(json, "hosts"));
  request.have_stages = Count(MemberOrNull(json, "stages"));
  request.have_events = Count(MemberOrNull(json, "seen"));
  request.wait = Millis(MemberOrNull(json, "wait"));
  request.is_inquiry = MemberOrNull(json, "inquiry").isBool() &&
                       MemberOrNull(json, "inquiry").asBool();
  return request;
}

std::string EncodeAnswer(const sync_answer& answer) {
  Value json(Json::objectValue);
  json["self"] = FromHost(answer.self);
  json["news"] = FromNews(answer.news);
  if (answer.hosts)
    json["hosts"] = FromHosts(*answer.hosts);
  json["hosts_version"] = Number(answer.hosts_version);
  if (answer.stages)
    json["stages"] = FromStages(*answer.stages);
  json["stages_version"] = Number(answer.stages_version);
  if (!answer.events.empty())
    json["events"] = FromEvents(answer.events);
  json["events_version"] = Number(answer.events_version);
  return FormatJson(json);
}

sync_answer DecodeAnswer(std::string_view text) {
  const Value json = Parse(text);
  sync_answer answer;
  answer.self = ToHost(MemberOrNull(json, "self"));
  answer.news = ToNews(MemberOrNull(json, "news"));
  if (!MemberOrNull(json, "hosts").isNull())
    answer.hosts = ToHosts(MemberOrNull(json, "hosts"));
  answer.hosts_version = Count(MemberOrNull(json, "hosts_version"));
  if (!MemberOrNull(json, "stages").isNull())
    answer.stages = ToStages(MemberOrNull(json, "stages"));
  answer.stages_version = Count(MemberOrNull(json, "stages_version"));
  answer.events = ToEvents(MemberOrNull(json, "events"));
  answer.events_version = Count(MemberOrNull(json, "events_version"));
  return answer;
}

}  // namespace dotterellead::fleet
