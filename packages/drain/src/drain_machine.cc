#include <algorithm>

#include "dotterellead/drain.h"

namespace dotterellead {
namespace {

void AddListedServer(pool_spec& pool, const listed_host& host) {
  const server_id address(host.address);
  const bool declared =
      std::any_of(pool.servers.begin(), pool.servers.end(),
                  [&](const server_spec& s) { return s.address == address; });
  if (declared)
    return;
  pool.servers.push_back({.address = address,
                          .data_centre = host.data_centre,
                          .version = host.version,
                          .slots = pool.default_slots});
}

void RemoveServer(pool_spec& pool, const std::string& address) {
  std::erase_if(pool.servers, [&](const server_spec& s) {
    return s.address.value() == address;
  });
}

}  // namespace

config_view ApplyHostList(const config_view& declared,
                          const std::vector<listed_host>& hosts) {
  config_view effective = declared;
  for (const listed_host& host : hosts) {
    if (host.kind != host_kind::kBackend)
      continue;
    for (auto& [name, pool] : effective.pools) {
      if (host.state == host_state::kLeaving)
        RemoveServer(pool.spec, host.address);
      else if (pool.spec.from_host_list && host.pool == name)
        AddListedServer(pool.spec, host);
    }
  }
  return effective;
}

void drain_machine::Step(const message& m,
                         const timestamp& now,
                         std::vector<effect>& out) {
  std::visit([&](const auto& alternative) { On(alternative, now, out); }, m);
}

void drain_machine::On(const declared_config& m,
                       const timestamp&,
                       std::vector<effect>& out) {
  declared_ = m.config;
  Publish(out);
}

void drain_machine::On(const listed_hosts& m,
                       const timestamp&,
                       std::vector<effect>& out) {
  hosts_ = m.hosts;
  Publish(out);
}

void drain_machine::On(const stop_requested&,
                       const timestamp& now,
                       std::vector<effect>& out) {
  if (stop_requested_at_)
    return;
  stop_requested_at_ = now.steady;
  out.emplace_back(draining_started{now.steady + options_.max_drain_time -
                                    limits::kShutdownAnswerTime});
}

void drain_machine::On(const requests_in_flight& m,
                       const timestamp&,
                       std::vector<effect>&) {
  in_flight_ = m.count;
}

void drain_machine::On(const tick&,
                       const timestamp& now,
                       std::vector<effect>& out) {
  if (!stop_requested_at_ || is_drained_)
    return;
  const bool idle = in_flight_ == 0 &&
                    now.steady >= *stop_requested_at_ + options_.unready_time;
  if (!idle && now.steady < *stop_requested_at_ + options_.max_drain_time)
    return;
  is_drained_ = true;
  out.emplace_back(drained{in_flight_});
}

void drain_machine::Publish(std::vector<effect>& out) {
  if (declared_ == nullptr)
    return;
  auto effective =
      std::make_shared<const config_view>(ApplyHostList(*declared_, hosts_));
  if (published_ != nullptr && *published_ == *effective)
    return;
  published_ = effective;
  out.emplace_back(effective_config{std::move(effective)});
}

}  // namespace dotterellead
