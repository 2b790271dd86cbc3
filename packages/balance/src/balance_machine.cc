#include <algorithm>

#include "dotterellead/balance.h"

namespace dotterellead {
namespace {

constexpr double kLatencyWeight = 0.2;

}  // namespace

std::string_view to_string(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kQueueFull:
      return "queue-full";
    case refusal_reason::kDeadline:
      return "deadline";
    case refusal_reason::kNoServers:
      return "no-servers";
    case refusal_reason::kUnknownPool:
      return "unknown-pool";
  }
  return "unknown-pool";
}

void balance_machine::Step(const message& m,
                           const moment& now,
                           std::vector<effect>& out) {
  std::visit([&](const auto& alternative) { On(alternative, now, out); }, m);
}

void balance_machine::On(const acquire& m,
                         const moment& now,
                         std::vector<effect>& out) {
  const auto it = pools_.find(m.pool);
  if (it == pools_.end()) {
    out.emplace_back(refused{m.request, refusal_reason::kUnknownPool});
    return;
  }
  pool_state& pool = it->second;
  if (pool.waiting.empty() && TryAssign(pool, m, now, out))
    return;
  if (pool.waiting.size() >= pool.queue_length) {
    out.emplace_back(refused{m.request, refusal_reason::kQueueFull});
    return;
  }
  pool.waiting.push_back(m);
}

void balance_machine::On(const withdraw& m,
                         const moment& now,
                         std::vector<effect>& out) {
  for (auto& [name, pool] : pools_) {
    std::erase_if(pool.waiting, [&](const acquire& waiting) {
      return waiting.request == m.request;
    });
  }
  On(release{.request = m.request, .result = attempt_result::kNotSent}, now,
     out);
}

void balance_machine::On(const release& m,
                         const moment& now,
                         std::vector<effect>& out) {
  const auto used = in_use_.find(m.request);
  if (used == in_use_.end())
    return;
  const assignment where = used->second;
  in_use_.erase(used);
  const auto pool = pools_.find(where.pool);
  if (pool == pools_.end())
    return;
  const auto server = pool->second.servers.find(where.server);
  if (server == pool->second.servers.end())
    return;
  server_state& state = server->second;
  if (where.slot < state.slots.size())
    state.slots[where.slot].user = request_id();
  if (m.result == attempt_result::kAnswered) {
    state.latency_us +=
        kLatencyWeight *
        (static_cast<double>(m.latency.count()) - state.latency_us);
  }
  state.cold = m.cold.value_or(state.cold);
  state.draining = m.draining;
  ServeWaiting(pool->second, now, out);
}

void balance_machine::On(const config_changed& m,
                         const moment& now,
                         std::vector<effect>& out) {
  config_ = m.config;
  for (const auto& [name, stored_pool] : config_->pools) {
    pool_state& pool = pools_[name];
    pool.max_run = stored_pool.spec.max_run;
    pool.queue_length = stored_pool.spec.queue_length;
    for (const server_spec& spec : stored_pool.spec.servers) {
      server_state& server = pool.servers[spec.address];
      server.spec = spec;
      server.slots.resize(spec.slots);
    }
    ServeWaiting(pool, now, out);
  }
}

void balance_machine::On(const tick&,
                         const moment& now,
                         std::vector<effect>& out) {
  for (auto& [name, pool] : pools_) {
    std::erase_if(pool.waiting, [&](const acquire& waiting) {
      if (waiting.deadline > now.steady)
        return false;
      out.emplace_back(refused{waiting.request, refusal_reason::kDeadline});
      return true;
    });
  }
}

bool balance_machine::TryAssign(pool_state& pool,
                                const acquire& m,
                                const moment& now,
                                std::vector<effect>& out) {
  server_state* best = nullptr;
  std::size_t best_slot = 0;
  for (auto& [id, server] : pool.servers) {
    if (server.draining || config_->IsOut(server.spec.data_centre) ||
        (m.version.is_valid() && server.spec.version != m.version) ||
        std::find(m.excluded.begin(), m.excluded.end(), id) !=
            m.excluded.end()) {
      continue;
    }
    const std::size_t usable =
        server.cold ? server.spec.cold_slots : server.slots.size();
    for (std::size_t i = 0; i < usable; ++i) {
      if (server.slots[i].user.is_valid())
        continue;
      if (best == nullptr || server.latency_us < best->latency_us) {
        best = &server;
        best_slot = i;
      }
      break;
    }
  }
  if (best == nullptr)
    return false;
  best->slots[best_slot].user = m.request;
  in_use_[m.request] = {m.pool, best->spec.address, best_slot};
  out.emplace_back(assigned{
      m.request, best->spec.address, slot_index(best_slot), best->spec.version,
      now.steady + limits::kLeaseTimeToLive, pool.max_run});
  return true;
}

void balance_machine::ServeWaiting(pool_state& pool,
                                   const moment& now,
                                   std::vector<effect>& out) {
  std::erase_if(pool.waiting, [&](const acquire& waiting) {
    return TryAssign(pool, waiting, now, out);
  });
}

}  // namespace dotterellead
