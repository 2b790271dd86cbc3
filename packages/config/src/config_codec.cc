
#include <array>
#include <limits>
#include <span>

#include "dotterellead/config.h"
#include "dotterellead/json.h"

namespace dotterellead {
namespace {

[[noreturn]] void Fail(const std::string& path,
                       const std::string& problem,
                       const std::string& remedy) {
  throw invalid_input_error(path + " " + problem, remedy);
}

// A JSON field of a spec with its member and permitted range.
template <class Spec>
struct field {
  using member = std::variant<std::string Spec::*,
                              bool Spec::*,
                              std::uint32_t Spec::*,
                              milliseconds Spec::*,
                              unix_millis Spec::*,
                              tenant_id Spec::*,
                              pool_id Spec::*,
                              version_id Spec::*,
                              server_id Spec::*,
                              data_centre_id Spec::*,
                              std::vector<route_spec> Spec::*,
                              std::vector<server_spec> Spec::*>;
  std::string_view name;
  member at;
  bool required = false;
  std::int64_t lowest = 0;
  std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

constexpr std::array<field<route_spec>, 3> kRouteFields = {{
    {"method", &route_spec::method},
    {"path_prefix", &route_spec::path_prefix},
    {"idempotent", &route_spec::idempotent, true},
}};

constexpr std::array<field<server_spec>, 5> kServerFields = {{
    {"address", &server_spec::address, true},
    {"data_centre", &server_spec::data_centre, true},
    {"version", &server_spec::version, true},
    {"slots", &server_spec::slots, true, 1, limits::kMaxSlotsPerServer},
    {"cold_slots", &server_spec::cold_slots, false, 1,
     limits::kMaxSlotsPerServer},
}};

constexpr std::array<field<pool_spec>, 10> kPoolFields = {{
    {"tenant", &pool_spec::tenant, true},
    {"host", &pool_spec::host},
    {"path_prefix", &pool_spec::path_prefix},
    {"routes", &pool_spec::routes, true},
    {"servers", &pool_spec::servers},
    {"from_host_list", &pool_spec::from_host_list},
    {"default_slots", &pool_spec::default_slots, false, 1,
     limits::kMaxSlotsPerServer},
    {"max_run_ms", &pool_spec::max_run, false, 1,
     limits::kMaxRequestTimeout.count()},
    {"queue_length", &pool_spec::queue_length, false, 0,
     limits::kMaxQueuePerPool},
    {"probe_budget_per_mille", &pool_spec::probe_budget_per_mille, false, 1,
     1000},
}};

constexpr std::array<field<data_centre_spec>, 1> kDataCentreFields = {{
    {"out", &data_centre_spec::is_out_of_service, true},
}};

constexpr std::array<field<move_spec>, 4> kMoveFields = {{
    {"pool", &move_spec::pool, true},
    {"from_version", &move_spec::from_version, true},
    {"to_version", &move_spec::to_version, true},
    {"deadline_unix_ms", &move_spec::deadline, true, 1},
}};

std::span<const field<route_spec>> FieldsOf(const route_spec&) {
  return kRouteFields;
}
std::span<const field<server_spec>> FieldsOf(const server_spec&) {
  return kServerFields;
}
std::span<const field<pool_spec>> FieldsOf(const pool_spec&) {
  return kPoolFields;
}
std::span<const field<data_centre_spec>> FieldsOf(const data_centre_spec&) {
  return kDataCentreFields;
}
std::span<const field<move_spec>> FieldsOf(const move_spec&) {
  return kMoveFields;
}

template <class Spec>
void ReadSpec(const Json::Value& json, const std::string& path, Spec& spec);
template <class Spec>
Json::Value WriteSpec(const Spec& spec);

std::int64_t ReadNumber(const Json::Value& json,
                        const std::string& path,
                        std::int64_t lowest,
                        std::int64_t highest) {
  if (!json.isInt64())
    Fail(path, "is not a whole number", "write a number without quotes");
  const std::int64_t value = json.asInt64();
  if (value < lowest || value > highest) {
    Fail(path, "is out of range",
         "use a value from " + std::to_string(lowest) + " to " +
             std::to_string(highest));
  }
  return value;
}

std::string ReadText(const Json::Value& json, const std::string& path) {
  if (!json.isString())
    Fail(path, "is not a text", "write it in quotes");
  return json.asString();
}

// Reads and writes one member type. Each overload handles one alternative of
// field::member.
template <class Spec>
struct member_codec {
  const field<Spec>& f;
  const std::string path;

  void Read(const Json::Value& json, std::string& out) const {
    out = ReadText(json, path);
  }
  void Read(const Json::Value& json, bool& out) const {
    if (!json.isBool())
      Fail(path, "is not a boolean", "write true or false");
    out = json.asBool();
  }
  void Read(const Json::Value& json, std::uint32_t& out) const {
    out =
        static_cast<std::uint32_t>(ReadNumber(json, path, f.lowest, f.highest));
  }
  void Read(const Json::Value& json, milliseconds& out) const {
    out = milliseconds(ReadNumber(json, path, f.lowest, f.highest));
  }
  void Read(const Json::Value& json, unix_millis& out) const {
    out = unix_millis{ReadNumber(json, path, f.lowest, f.highest)};
  }
  template <class Tag>
  void Read(const Json::Value& json, text_id<Tag>& out) const {
    out = text_id<Tag>(ReadText(json, path));
    if (!out.is_valid())
      Fail(path, "is empty", "give it a name");
  }
  template <class Item>
  void Read(const Json::Value& json, std::vector<Item>& out) const {
    if (!json.isArray())
      Fail(path, "is not a list", "write it in square brackets");
    for (Json::ArrayIndex i = 0; i < json.size(); ++i) {
      Item item;
      ReadSpec(json[i], path + "[" + std::to_string(i) + "]", item);
      out.push_back(std::move(item));
    }
  }
};

Json::Value WriteMember(const std::string& v) {
  return v;
}
Json::Value WriteMember(bool v) {
  return v;
}
Json::Value WriteMember(std::uint32_t v) {
  return v;
}
Json::Value WriteMember(milliseconds v) {
  return Json::Int64{v.count()};
}
Json::Value WriteMember(unix_millis v) {
  return Json::Int64{v.value};
}
template <class Tag>
Json::Value WriteMember(const text_id<Tag>& v) {
  return v.value();
}
template <class Item>
Json::Value WriteMember(const std::vector<Item>& items) {
  Json::Value list(Json::arrayValue);
  for (const Item& item : items)
    list.append(WriteSpec(item));
  return list;
}

template <class Spec>
void ReadSpec(const Json::Value& json, const std::string& path, Spec& spec) {
  if (!json.isObject())
    Fail(path, "is not an object", "write it in curly brackets");
  const auto fields = FieldsOf(spec);
  for (const std::string& name : json.getMemberNames()) {
    if (std::none_of(fields.begin(), fields.end(),
                     [&](const field<Spec>& f) { return f.name == name; })) {
      Fail(path + "." + name, "is not a known field",
           "remove it or correct its name");
    }
  }
  for (const field<Spec>& f : fields) {
    const std::string name(f.name);
    if (!json.isMember(name)) {
      if (f.required)
        Fail(path + "." + name, "is missing", "add it");
      continue;
    }
    const member_codec<Spec> codec{f, path + "." + name};
    std::visit([&](auto member) { codec.Read(json[name], spec.*member); },
               f.at);
  }
}

template <class Spec>
Json::Value WriteSpec(const Spec& spec) {
  Json::Value json(Json::objectValue);
  for (const field<Spec>& f : FieldsOf(spec)) {
    std::visit(
        [&](auto member) {
          json[std::string(f.name)] = WriteMember(spec.*member);
        },
        f.at);
  }
  return json;
}

// ---- Checks across fields

void CheckSpec(const pool_spec& pool) {
  if (!pool.path_prefix.starts_with('/'))
    Fail("spec.path_prefix", "does not start with /", "start it with /");
  if (pool.routes.empty())
    Fail("spec.routes", "is empty", "declare at least one route");
  if (pool.servers.empty() && !pool.from_host_list) {
    Fail("spec.servers", "is empty",
         "list servers or set from_host_list to true");
  }
  for (const route_spec& route : pool.routes) {
    if (!route.path_prefix.starts_with('/'))
      Fail("spec.routes.path_prefix", "does not start with /",
           "start it with /");
  }
  std::map<server_id, bool> seen;
  for (const server_spec& server : pool.servers) {
    if (!seen.emplace(server.address, true).second) {
      Fail("spec.servers", "lists " + server.address.value() + " twice",
           "list each address once");
    }
    if (server.cold_slots > server.slots) {
      Fail("spec.servers.cold_slots", "is greater than slots",
           "use at most slots");
    }
  }
}

void CheckSpec(const data_centre_spec&) {}

void CheckSpec(const move_spec& move) {
  if (move.from_version == move.to_version) {
    Fail("spec.to_version", "is the same as from_version",
         "name the version to move to");
  }
}

Json::Value ParseText(std::string_view text) {
  std::string problem;
  const std::optional<Json::Value> json = ParseJson(text, &problem);
  if (!json)
    Fail("the resource", "is not valid JSON (" + problem + ")", "correct it");
  return *json;
}

using spec_reader = resource_spec (*)(const Json::Value&);

template <class Spec>
resource_spec ReadAndCheck(const Json::Value& json) {
  Spec spec;
  ReadSpec(json, "spec", spec);
  CheckSpec(spec);
  return spec;
}

// In the order of KindNames().
constexpr std::array<spec_reader, 3> kSpecReaders = {
    &ReadAndCheck<pool_spec>, &ReadAndCheck<data_centre_spec>,
    &ReadAndCheck<move_spec>};

}  // namespace

resource ParseResource(std::string_view text) {
  const Json::Value json = ParseText(text);
  if (!json.isObject())
    Fail("the resource", "is not an object", "write it in curly brackets");
  for (const std::string& name : json.getMemberNames()) {
    if (name != "kind" && name != "api_version" && name != "name" &&
        name != "spec") {
      Fail(name, "is not a known field",
           "use kind, api_version, name and spec only");
    }
  }
  if (ReadText(json["api_version"], "api_version") != "v1")
    Fail("api_version", "is not supported", "use v1");
  const std::string kind = ReadText(json["kind"], "kind");
  resource r;
  r.name = ReadText(json["name"], "name");
  if (r.name.empty() || r.name.find_first_of("/ \n\t?&=") != r.name.npos)
    Fail("name", "is empty or has a space, / ? & or =", "choose a plain name");
  for (std::size_t i = 0; i < KindNames().size(); ++i) {
    if (KindNames()[i] == kind) {
      r.spec = kSpecReaders[i](json["spec"]);
      return r;
    }
  }
  Fail("kind", "'" + kind + "' is not known", "use pool, data_centre or move");
}

std::string FormatResource(const resource& r) {
  Json::Value json;
  json["kind"] = std::string(KindName(r.spec));
  json["api_version"] = "v1";
  json["name"] = r.name;
  json["spec"] =
      std::visit([](const auto& spec) { return WriteSpec(spec); }, r.spec);
  return FormatJson(json);
}

}  // namespace dotterellead
