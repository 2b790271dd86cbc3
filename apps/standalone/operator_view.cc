#include "operator_view.h"

#include <fmt/core.h>

namespace dotterellead {
namespace {

constexpr milliseconds kReplyMargin{200};

server_explanation ExplainOne(const server_balance& server) {
  server_explanation e{.pool = server.pool,
                       .server = server.server,
                       .gets_work = server.reason == idle_reason::kNone,
                       .slots = server.held,
                       .slots_in_use = server.in_use};
  if (!e.gets_work)
    e.reasons.emplace_back(to_string(server.reason));
  if (server.suspect)
    e.reasons.emplace_back(
        "suspect: only cold slots are used until it answers as warm");
  else if (server.cold)
    e.reasons.emplace_back(
        "cold: only cold slots are used until it answers as warm");
  e.reasons.push_back(fmt::format("home {}; this host holds {} of {} slots",
                                  server.home.value(), server.held,
                                  server.slots));
  if (server.is_granting) {
    e.reasons.push_back(fmt::format(
        "this host is the home, {} and has lent {}",
        *server.is_granting ? "may lend" : "may not lend yet", server.granted));
  }
  return e;
}

void AddSummary(const std::string& name,
                const latency_summary& latency,
                interval_stats& stats) {
  stats.values.emplace_back(name + ".p50_ms",
                            static_cast<double>(latency.p50.count()) / 1e3);
  stats.values.emplace_back(name + ".p99_ms",
                            static_cast<double>(latency.p99.count()) / 1e3);
  stats.values.emplace_back(name + ".p999_ms",
                            static_cast<double>(latency.p999.count()) / 1e3);
}

std::string RowName(const metric_labels& labels) {
  if (!labels.pool.is_valid())
    return "tenant." + labels.tenant.value();
  return fmt::format("class.{}.{}", labels.pool.value(), labels.route.value());
}

}  // namespace

void operator_view::Deliver(const write_result& result) {
  answers_.Complete(result.request, result.outcome);
}

config_snapshot operator_view::Config() {
  return parts_.feed.Config();
}

write_outcome operator_view::Write(const operator_write& write,
                                   time_point deadline) {
  if (config_ == nullptr) {
    return write_rejected{error_kind::kUnavailable,
                          "this entry host has no platform log",
                          "start it with --log-address"};
  }
  const request_id request(next_request_.fetch_add(1));
  answers_.Expect(request);
  const bool posted =
      config_->PostUntil(write_request{.request = request,
                                       .remove = write.remove,
                                       .item = write.item,
                                       .expected = write.expected,
                                       .deadline = deadline,
                                       .dry_run = write.dry_run},
                         deadline);
  const time_point last = posted ? deadline + kReplyMargin : time_point();
  if (auto outcome = answers_.Await(request, last))
    return *outcome;
  if (posted)
    return write_unknown{};
  return write_rejected{error_kind::kOverloaded, "too many changes wait",
                        "try again later"};
}

config_changes operator_view::ChangesFrom(log_offset from,
                                          time_point deadline) {
  return parts_.feed.ChangesFrom(from, deadline);
}

host_status operator_view::Status() {
  const config_snapshot config = Config();
  host_status status{.self = parts_.self,
                     .data_centre = parts_.data_centre,
                     .incarnation = parts_.incarnation,
                     .epoch = parts_.state.Epoch().name.number,
                     .log_readable = parts_.state.log_readable};
  status.members.push_back(
      {.member = parts_.self,
       .data_centre = parts_.data_centre,
       .leaving = parts_.state.leaving,
       .config_offset = config ? config->through : log_offset()});
  for (const live_peer& peer : parts_.directory.Live()) {
    status.members.push_back({.member = peer.run.id,
                              .data_centre = peer.run.data_centre,
                              .leaving = peer.leaving,
                              .config_offset = peer.config_offset});
  }
  return status;
}

health_status operator_view::Health() {
  health_status health{.leaving = parts_.state.leaving};
  if (health.leaving)
    health.reason = "this host is leaving";
  else if (!parts_.state.has_config)
    health.reason = "no resources are known yet";
  health.ready = health.reason.empty();
  return health;
}

template <class Matches>
std::vector<server_explanation> operator_view::Explain(Matches matches) const {
  std::vector<server_explanation> found;
  for (const server_balance& server : parts_.state.Balance().servers) {
    if (matches(server))
      found.push_back(ExplainOne(server));
  }
  return found;
}

std::vector<server_explanation> operator_view::ExplainPool(
    const pool_id& pool) {
  return Explain([&](const server_balance& s) { return s.pool == pool; });
}

std::vector<server_explanation> operator_view::ExplainServer(
    const server_id& server) {
  return Explain([&](const server_balance& s) { return s.server == server; });
}

interval_stats operator_view::Stats() {
  const interval_statistics last = parts_.metrics.LastInterval();
  interval_stats stats;
  stats.interval = std::chrono::duration_cast<milliseconds>(last.end.steady -
                                                            last.begin.steady);
  stats.values.emplace_back("refusals", static_cast<double>(last.refusals));
  for (const interval_row& row : last.rows) {
    const std::string name = RowName(row.labels);
    stats.values.emplace_back(name + ".requests",
                              static_cast<double>(row.requests));
    stats.values.emplace_back(name + ".failures",
                              static_cast<double>(row.failures));
    AddSummary(name + ".total", row.total, stats);
    AddSummary(name + ".added", row.added, stats);
  }
  return stats;
}

std::string operator_view::Metrics() {
  const peer_stats peers = parts_.peers();
  const balance_report balance = parts_.state.Balance();
  std::string text = parts_.metrics.Expose();
  auto gauge = [&](std::string_view name, std::uint64_t value) {
    text += fmt::format("# TYPE dotterellead_{0} gauge\ndotterellead_{0} {1}\n",
                        name, value);
  };
  gauge("peer_bytes_sent", peers.bytes_out);
  gauge("peer_bytes_received", peers.bytes_in);
  gauge("peer_calls_sent", peers.calls_out);
  gauge("peer_calls_failed", peers.failed);
  gauge("peer_unauthorized", peers.unauthorized);
  gauge("leases_expired", balance.leases_expired);
  gauge("slots_reclaimed", balance.slots_reclaimed);
  gauge("requests_in_flight", parts_.state.in_flight);
  gauge("epoch", parts_.state.Epoch().name.number.value());
  gauge("log_readable", parts_.state.log_readable ? 1 : 0);
  return text;
}

}  // namespace dotterellead
