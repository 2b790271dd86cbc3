
#include <tuple>

#include "dotterellead/balance.h"
#include "dotterellead/json.h"

namespace dotterellead {
namespace {

[[noreturn]] void Fail(const std::string& problem) {
  throw protocol_error("a balance message " + problem,
                       "run the same version on all entry hosts");
}

// Layout of a struct in JSON: its members and one key for each. Without keys it
// is encoded as an array, for structs that repeat within a message.
template <class T>
struct layout;

template <>
struct layout<lease_ref> {
  static constexpr std::string_view kKeys = "";
  static constexpr std::tuple kMembers{&lease_ref::server, &lease_ref::slot,
                                       &lease_ref::serial};
};
template <>
struct layout<granted_lease> {
  static constexpr std::string_view kKeys = "";
  static constexpr std::tuple kMembers{
      &granted_lease::lease, &granted_lease::max_run, &granted_lease::cold,
      &granted_lease::state_serial};
};
template <>
struct layout<renewed_lease> {
  static constexpr std::string_view kKeys = "";
  static constexpr std::tuple kMembers{&renewed_lease::lease,
                                       &renewed_lease::in_use};
};
template <>
struct layout<spare_slots> {
  static constexpr std::string_view kKeys = "";
  static constexpr std::tuple kMembers{&spare_slots::pool, &spare_slots::count};
};
template <>
struct layout<server_state_serial> {
  static constexpr std::string_view kKeys = "";
  static constexpr std::tuple kMembers{&server_state_serial::server,
                                       &server_state_serial::serial};
};
template <>
struct layout<leased_slot> {
  static constexpr std::string_view kKeys = "";
  static constexpr std::tuple kMembers{
      &leased_slot::slot, &leased_slot::holder, &leased_slot::serial,
      &leased_slot::time_left, &leased_slot::max_run};
};
template <>
struct layout<lease_table> {
  static constexpr std::string_view kKeys = "";
  static constexpr std::tuple kMembers{
      &lease_table::server,   &lease_table::next_serial,  &lease_table::cold,
      &lease_table::draining, &lease_table::state_serial, &lease_table::leased};
};
template <>
struct layout<slot_request> {
  static constexpr std::string_view kKeys = "ispvch";
  static constexpr std::tuple kMembers{
      &slot_request::incarnation, &slot_request::sequence, &slot_request::pool,
      &slot_request::version,     &slot_request::count,    &slot_request::held};
};
template <>
struct layout<slot_grant> {
  static constexpr std::string_view kKeys = "isepvlfo";
  static constexpr std::tuple kMembers{
      &slot_grant::incarnation, &slot_grant::sequence, &slot_grant::term,
      &slot_grant::pool,        &slot_grant::version,  &slot_grant::leases,
      &slot_grant::spare,       &slot_grant::pending};
};
template <>
struct layout<slot_recall> {
  static constexpr std::string_view kKeys = "lhm";
  static constexpr std::tuple kMembers{&slot_recall::leases,
                                       &slot_recall::requester_held,
                                       &slot_recall::is_mandatory};
};
template <>
struct layout<slot_return> {
  static constexpr std::string_view kKeys = "l";
  static constexpr std::tuple kMembers{&slot_return::leases};
};
template <>
struct layout<renewal> {
  static constexpr std::string_view kKeys = "isl";
  static constexpr std::tuple kMembers{&renewal::incarnation,
                                       &renewal::sequence, &renewal::leases};
};
template <>
struct layout<renewed> {
  static constexpr std::string_view kKeys = "islcf";
  static constexpr std::tuple kMembers{&renewed::incarnation,
                                       &renewed::sequence, &renewed::lost,
                                       &renewed::cold, &renewed::spare};
};
template <>
struct layout<server_observation> {
  static constexpr std::string_view kKeys = "awds";
  static constexpr std::tuple kMembers{
      &server_observation::server, &server_observation::warm,
      &server_observation::draining, &server_observation::serial};
};
template <>
struct layout<server_state_update> {
  static constexpr std::string_view kKeys = "acds";
  static constexpr std::tuple kMembers{
      &server_state_update::server, &server_state_update::cold,
      &server_state_update::draining, &server_state_update::serial};
};
template <>
struct layout<handover_offer> {
  static constexpr std::string_view kKeys = "ea";
  static constexpr std::tuple kMembers{&handover_offer::epoch,
                                       &handover_offer::servers};
};
template <>
struct layout<handover_accept> {
  static constexpr std::string_view kKeys = "eia";
  static constexpr std::tuple kMembers{&handover_accept::epoch,
                                       &handover_accept::incarnation,
                                       &handover_accept::servers};
};
template <>
struct layout<handover> {
  static constexpr std::string_view kKeys = "eib";
  static constexpr std::tuple kMembers{
      &handover::epoch, &handover::to_incarnation, &handover::tables};
};

// Type tags, in the order of the variant.
constexpr std::string_view kTags = "qgcrnmxydah";
constexpr char kTypeKey[] = "t";
static_assert(kTags.size() == std::variant_size_v<balance_peer_message>);

// ---- Values

template <class T>
Json::Value Write(const T& value);

Json::Value Write(bool value) {
  return value ? 1 : 0;
}
Json::Value Write(std::uint32_t value) {
  return value;
}
Json::Value Write(std::uint64_t value) {
  return Json::UInt64{value};
}
Json::Value Write(milliseconds value) {
  return Json::Int64{value.count()};
}
template <class Tag>
Json::Value Write(const text_id<Tag>& value) {
  return value.value();
}
template <class Tag>
Json::Value Write(const number_id<Tag>& value) {
  return value.is_valid() ? Json::Value(Json::UInt64{value.value()})
                          : Json::Value();
}
template <class Item>
Json::Value Write(const std::vector<Item>& items) {
  Json::Value list(Json::arrayValue);
  for (const Item& item : items)
    list.append(Write(item));
  return list;
}

// Calls `visit(position, member)` for each member of T.
template <class T, class Visit>
void ForEachMember(Visit visit) {
  std::apply(
      [&](auto... members) {
        Json::ArrayIndex position = 0;
        (visit(position++, members), ...);
      },
      layout<T>::kMembers);
}

template <class T>
Json::Value Write(const T& value) {
  constexpr std::string_view kKeys = layout<T>::kKeys;
  Json::Value json(kKeys.empty() ? Json::arrayValue : Json::objectValue);
  ForEachMember<T>([&](Json::ArrayIndex position, auto member) {
    if (kKeys.empty())
      json.append(Write(value.*member));
    else
      json[std::string(1, kKeys[position])] = Write(value.*member);
  });
  return json;
}

template <class T>
void Read(const Json::Value& json, T& out);

void Read(const Json::Value& json, bool& out) {
  if (!json.isUInt() || json.asUInt() > 1)
    Fail("has a flag other than 0 and 1");
  out = json.asUInt() == 1;
}
void Read(const Json::Value& json, std::uint32_t& out) {
  if (!json.isUInt())
    Fail("has a count that is not an integer from 0 to 2^32 - 1");
  out = json.asUInt();
}
void Read(const Json::Value& json, std::uint64_t& out) {
  if (!json.isUInt64())
    Fail("has a number that is not an unsigned integer");
  out = json.asUInt64();
}
void Read(const Json::Value& json, milliseconds& out) {
  constexpr std::int64_t kMaxMillis = 86'400'000;
  if (!json.isInt64() || json.asInt64() > kMaxMillis ||
      json.asInt64() < -kMaxMillis) {
    Fail("has a time that is not within a day");
  }
  out = milliseconds(json.asInt64());
}
template <class Tag>
void Read(const Json::Value& json, text_id<Tag>& out) {
  if (!json.isString())
    Fail("has a name that is not a string");
  out = text_id<Tag>(json.asString());
}
template <class Tag>
void Read(const Json::Value& json, number_id<Tag>& out) {
  if (json.isNull()) {
    out = number_id<Tag>();
    return;
  }
  std::uint64_t value = 0;
  Read(json, value);
  out = number_id<Tag>(value);
}
template <class Item>
void Read(const Json::Value& json, std::vector<Item>& out) {
  if (!json.isArray())
    Fail("has a list that is not an array");
  for (const Json::Value& entry : json) {
    Item item;
    Read(entry, item);
    out.push_back(std::move(item));
  }
}

template <class T>
void Read(const Json::Value& json, T& out) {
  constexpr std::string_view kKeys = layout<T>::kKeys;
  constexpr std::size_t kCount =
      std::tuple_size_v<std::decay_t<decltype(layout<T>::kMembers)>>;
  static_assert(kKeys.empty() || kKeys.size() == kCount);
  // A message additionally has its type key.
  const std::size_t expected = kKeys.empty() ? kCount : kCount + 1;
  const bool fits = kKeys.empty() ? json.isArray() : json.isObject();
  if (!fits || json.size() != expected)
    Fail("has missing or unknown fields");
  ForEachMember<T>([&](Json::ArrayIndex position, auto member) {
    if (kKeys.empty()) {
      Read(json[position], out.*member);
      return;
    }
    const std::string key(1, kKeys[position]);
    if (!json.isMember(key))
      Fail("lacks the field " + key);
    Read(json[key], out.*member);
  });
}

template <std::size_t Index = 0>
balance_peer_message ReadKind(std::size_t index, const Json::Value& json) {
  if constexpr (Index < std::variant_size_v<balance_peer_message>) {
    if (index != Index)
      return ReadKind<Index + 1>(index, json);
    std::variant_alternative_t<Index, balance_peer_message> m;
    Read(json, m);
    return m;
  }
  Fail("has an unknown type");
}

}  // namespace

std::string EncodeBalanceMessage(const balance_peer_message& m) {
  Json::Value json =
      std::visit([](const auto& alternative) { return Write(alternative); }, m);
  json[kTypeKey] = std::string(1, kTags[m.index()]);
  return FormatJson(json);
}

balance_peer_message DecodeBalanceMessage(std::string_view text) {
  const std::optional<Json::Value> parsed = ParseJson(text);
  const Json::Value& json = parsed ? *parsed : Json::Value::nullSingleton();
  if (!json.isObject() || !json[kTypeKey].isString())
    Fail("is not a JSON object with a type");
  const std::string tag = json[kTypeKey].asString();
  const std::size_t index = tag.size() == 1 ? kTags.find(tag) : kTags.npos;
  return ReadKind(index, json);
}

}  // namespace dotterellead
