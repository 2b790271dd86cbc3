#include "entry_host.h"

#include "stop_sequence.h"

#include <fmt/core.h>

#include <cmath>
#include <random>
#include <set>

#include "dotterellead/descriptors.h"

namespace dotterellead::entry {

namespace {

// Holds the messages of a quarter of a second at 100 requests per second with
// ten messages each.
constexpr std::size_t kDispatchRingCapacity = 256;
// Minimum time between two checks of the requests' timers.
constexpr milliseconds kDispatchTick{2};
constexpr milliseconds kStopPollInterval{50};
// At the first start of all hosts, when there are no callers yet, hosts
// discover each other before they read the store.
constexpr milliseconds kFirstStartDiscoveryTimeout{600};
constexpr std::size_t kMovesRingCapacity = 256;
// How often the root evaluates the moves in progress.
constexpr milliseconds kMovesTick{200};
// Hosts that write a verdict in place of the root do so within this time.
constexpr milliseconds kMaxTakeoverDelay{1'500};

// Posts a message to a duty, which drains its ring without blocking.
template <class Duty, class Message>
void Post(Duty& to, Message message) {
  constexpr milliseconds kPostTimeout{500};
  if (!to.PostUntil(std::move(message),
                    std::chrono::steady_clock::now() + kPostTimeout))
    LogEvent(log_level::kError, "duty-message-lost");
}

void Log(const std::string& event,
         const std::vector<std::pair<std::string_view, std::string>>& pairs) {
  std::vector<log_field> fields;
  fields.reserve(pairs.size());
  for (const auto& [key, value] : pairs)
    fields.push_back({key, value});
  LogEvent(log_level::kInfo, event, fields);
}

}  // namespace

entry_host::entry_host(entry_settings settings)
    : settings_(std::move(settings)),
      incarnation_(static_cast<std::uint64_t>(clock_.Now().wall.value)) {
  statistics_.DeclarePoolGauge("pool_view_shared");
  statistics_.DeclarePoolGauge("pool_view_age_ms");
  statistics_.DeclarePoolGauge("pool_offered_work_ms");
  statistics_.DeclarePoolGauge("pool_completed_work_ms");
  statistics_.DeclarePoolGauge("pool_reserved_slots");
  statistics_.DeclarePoolGauge("pool_rejected_in_favour_total");
  MakeDispatcher();
  MakeTraffic();
  MakeMoves();
  MakeFleet();
  MakeStore();
  if (settings_.operations_address.is_valid() && settings_.usage_window)
    MakeUsage();
}

void entry_host::MakeDispatcher() {
  dispatch::dispatch_settings d;
  d.self = settings_.host;
  d.data_centre = settings_.data_centre;
  d.retry_ratio = settings_.retry_ratio;
  d.retry_window = settings_.retry_window;
  d.retry_allowance = settings_.retry_allowance;
  d.min_host_count = settings_.seeds.size();
  d.max_probe_rate = settings_.max_probe_rate;
  d.has_shared_pools = settings_.has_shared_pools;
  d.hedging = settings_.hedging;
  d.age_limits = {settings_.has_strict_revocation, settings_.revocation_limit,
                  settings_.max_config_delay};
  d.seed = StableHash(settings_.host.value()) ^
           static_cast<std::uint64_t>(clock_.Now().wall.value);
  dispatcher_ = std::make_unique<duty<dispatch::dispatcher>>(
      "dispatch", dispatch::dispatcher(d), clock_, kDispatchTick,
      [this](dispatch::dispatcher::effect& effect) { Execute(effect); },
      kDispatchRingCapacity);
}

void entry_host::MakeTraffic() {
  traffic::traffic_settings t;
  t.front_address = settings_.front_address;
  t.ready_address = settings_.ready_address;
  t.metrics_address = settings_.metrics_address;
  t.metrics_text = [this] { return MetricsText(); };
  t.headers = adapter::HeaderNames();
  t.memory = {(settings_.memory_mb << 20) * limits::kBudgetPercent / 100};
  t.max_buffered_responses = {
      std::min(limits::kMaxBufferedResponseBytes, t.memory.value / 2)};
  const std::uint64_t descriptors = AllDescriptors(settings_.max_descriptors);
  t.max_caller_connections = CallerShareOfDescriptors(descriptors);
  t.max_server_connections = ServerShareOfDescriptors(descriptors);
  traffic_ = std::make_unique<traffic::traffic_service>(
      std::move(t), [this](dispatch::dispatcher::message m) {
        return dispatcher_->Post(std::move(m));
      });
}

std::string entry_host::MetricsText() {
  const traffic::traffic_counters counts = traffic_->counters();
  statistics_.SetGauge("requests_total", counts.requests);
  statistics_.SetGauge("probes_total", counts.probes);
  statistics_.SetGauge("server_connections_total", counts.server_connections);
  statistics_.SetGauge("hedges_sent_total", hedge_counts_[0]);
  statistics_.SetGauge("hedges_won_total", hedge_counts_[1]);
  statistics_.SetGauge("hedges_lost_total", hedge_counts_[2]);
  statistics_.SetGauge("unexpected_errors_total", UnexpectedErrorCount());
  statistics_.SetGauge("buffered_response_bytes",
                       counts.buffered_response_bytes);
  statistics_.SetGauge("held_bytes", counts.held_bytes);
  statistics_.SetGauge("rejected_for_memory_total", counts.rejected_for_memory);
  statistics_.SetGauge("evicted_requests_total", counts.evicted_requests);
  statistics_.SetGauge("closed_callers_total", counts.closed_callers);
  statistics_.SetGauge("open_callers", counts.open_caller_connections);
  statistics_.SetGauge("open_calls", counts.open_requests);
  statistics_.SetGauge(
      "store_calls_total",
      store_->request_count() + (usage_ ? usage_->request_count() : 0));
  return statistics_.FormatMetrics();
}

void entry_host::MakeMoves() {
  moves::move_settings m;
  m.max_exposure_ratio = settings_.max_exposure_ratio;
  m.exposure_allowance = settings_.exposure_allowance;
  m.takeover_delay = milliseconds(static_cast<std::int64_t>(
      StableHash(settings_.host.value()) % kMaxTakeoverDelay.count()));
  moves_ = std::make_unique<duty<moves::move_machine>>(
      "moves", moves::move_machine(m), clock_, kMovesTick,
      [this](moves::move_machine::effect& effect) { Execute(effect); },
      kMovesRingCapacity);
}

void entry_host::MakeFleet() {
  fleet::fleet_settings f;
  f.self = {settings_.host, settings_.data_centre, settings_.peer_address};
  f.incarnation = incarnation_;
  f.seeds = settings_.seeds;
  f.max_update_delay =
      std::min(settings_.max_config_delay, settings_.max_drain_delay);
  if (settings_.is_first_start)
    f.discovery_timeout = kFirstStartDiscoveryTimeout;
  fleet::fleet_callbacks callbacks;
  callbacks.on_updates = [this](fleet::update_batch batch) {
    store_->ApplyRemoteUpdates(std::move(batch));
  };
  callbacks.on_hosts_changed =
      [this](const std::vector<fleet::host_info>& live) {
        dispatch::live_hosts_changed changed;
        std::set<data_centre_id> data_centres;
        for (const fleet::host_info& host : live) {
          changed.live.push_back(host.name);
          data_centres.insert(host.data_centre);
          if (host.data_centre == settings_.data_centre)
            ++changed.local_host_count;
        }
        changed.data_centre_count = data_centres.size();
        if (usage_)
          usage_->SetLiveHosts(changed.live);
        Post(*dispatcher_, std::move(changed));
      };
  callbacks.on_role_changed = [this](bool is_root) {
    Post(*moves_, moves::role_changed{is_root});
    store_->SetRoot(is_root);
    if (usage_)
      usage_->SetRoot(is_root);
  };
  callbacks.on_usage = [this](std::vector<usage::host_report> reports) {
    if (usage_)
      usage_->AddReports(std::move(reports));
  };
  callbacks.on_leader_token = [this](usage::fencing_token token) {
    if (usage_)
      usage_->SetLeaderToken(token);
  };
  callbacks.on_stages = [this](std::vector<moves::stage> stages) {
    Post(*moves_, moves::stages_received{std::move(stages)});
  };
  callbacks.on_counters = [this](moves::counter_table counts) {
    Post(*moves_, moves::attempts_counted{std::move(counts)});
  };
  callbacks.on_crash = [this](request_fingerprint fingerprint) {
    Post(*dispatcher_, dispatch::crash_reported{fingerprint});
  };
  callbacks.on_pools = [this](pools::pool_table totals) {
    Post(*dispatcher_, dispatch::pool_view_changed{std::move(totals)});
  };
  fleet_ =
      std::make_unique<fleet::fleet_duty>(std::move(f), std::move(callbacks));
}

void entry_host::MakeStore() {
  adapter::store_callbacks callbacks;
  callbacks.on_catalog = [this](const catalog::snapshot_ptr& snapshot) {
    HandleCatalog(snapshot);
  };
  callbacks.on_config_confirmed = [this](boot_time proven_at,
                                         catalog::config_version version) {
    Post(*dispatcher_, dispatch::config_confirmed{proven_at, version});
  };
  callbacks.on_updates = [this](fleet::update_batch batch) {
    fleet_->PublishUpdates(std::move(batch));
  };
  adapter::store_settings s;
  s.store_address = settings_.store_address;
  s.max_update_delay =
      std::min(settings_.max_config_delay, settings_.max_drain_delay);
  s.needs_proof = settings_.has_strict_revocation;
  if (settings_.is_first_start)
    s.startup_delay = 2 * kFirstStartDiscoveryTimeout;
  store_ = std::make_unique<adapter::store_duty>(s, std::move(callbacks));
}

void entry_host::MakeUsage() {
  adapter::usage_settings u;
  u.store_address = settings_.store_address;
  u.operations_address = settings_.operations_address;
  u.self = settings_.host;
  u.incarnation = incarnation_;
  u.windows = {*settings_.usage_window, settings_.max_usage_delay};
  u.lease = settings_.leader_lease;
  u.is_fenced = settings_.require_fencing;
  adapter::usage_callbacks callbacks;
  callbacks.on_reports = [this](std::vector<usage::host_report> reports) {
    fleet_->ReportUsage(std::move(reports));
  };
  callbacks.on_leader_token = [this](usage::fencing_token token) {
    fleet_->PublishLeaderToken(token);
  };
  usage_ =
      std::make_unique<adapter::usage_duty>(std::move(u), std::move(callbacks));
}

entry_host::~entry_host() {
  if (usage_)
    usage_->Stop();
  store_->Stop();
  fleet_->Stop();
  traffic_->Stop();
  moves_->Stop();
  dispatcher_->Stop();
}

void entry_host::Start() {
  dispatcher_->Start();
  moves_->Start();
  traffic_->Start();
  fleet_->Start();
  store_->Start();
  if (usage_)
    usage_->Start();
}

void entry_host::HandleCatalog(catalog::snapshot_ptr snapshot) {
  if (!settings_.has_moves && !snapshot->moves.empty()) {
    // Without limits on a new version's share, its servers count like all
    // others of their pool.
    auto without_moves = std::make_shared<catalog::snapshot>(*snapshot);
    without_moves->moves.clear();
    snapshot = std::move(without_moves);
  }
  if (snapshot->config) {
    traffic_->SetLimits(snapshot->config->limits);
    has_config_ = true;
  }
  Post(*dispatcher_, dispatch::catalog_changed{snapshot});
  Post(*moves_, moves::catalog_changed{snapshot});
  traffic_->SetReady(has_config_ && !is_draining_);
}

void entry_host::Execute(dispatch::dispatcher::effect& effect) {
  if (const auto* line = std::get_if<dispatch::decision>(&effect)) {
    Log(line->event, line->fields);
  } else if (const auto* crash =
                 std::get_if<dispatch::crash_detected>(&effect)) {
    fleet_->ReportCrash(crash->fingerprint);
  } else if (const auto* completed =
                 std::get_if<dispatch::request_completed>(&effect)) {
    statistics_.Record(
        {completed->route.value(),
         completed->is_delivered ? "delivered" : to_string(completed->reason),
         completed->total});
  } else if (const auto* hedge =
                 std::get_if<dispatch::hedge_changed>(&effect)) {
    ++hedge_counts_[static_cast<std::size_t>(hedge->event)];
  } else if (const auto* observed =
                 std::get_if<dispatch::version_observed>(&effect)) {
    moves::counter_table one;
    one[{observed->pool, observed->order, observed->is_target,
         observed->route}] = {1, observed->is_bad ? 1U : 0U};
    Post(*moves_, moves::attempts_counted{std::move(one)});
  } else if (const auto* count =
                 std::get_if<dispatch::customer_counted>(&effect)) {
    if (usage_)
      usage_->Count(count->customer, count->change, count->sent_at);
  } else if (auto* report = std::get_if<dispatch::pools_reported>(&effect)) {
    ReportPools(*report);
  } else if (const auto* rejected =
                 std::get_if<dispatch::rejected_in_favour>(&effect)) {
    ++rejected_in_favour_[rejected->pool];
  } else {
    traffic_->Execute(std::move(effect));
  }
}

void entry_host::ReportPools(dispatch::pools_reported& report) {
  for (const auto& entry : report.status) {
    const pool_id& pool = entry.first;
    const dispatch::pool_status& status = entry.second;
    const auto set = [&](std::string_view name, double value) {
      statistics_.SetPoolGauge(name, pool.value(),
                               static_cast<std::uint64_t>(value));
    };
    constexpr double kMillis = 1'000;
    const pools::priority_load all = status.load.Total();
    set("pool_view_shared", status.is_view_shared ? 1 : 0);
    set("pool_view_age_ms", static_cast<double>(status.age.count()));
    set("pool_offered_work_ms", all.offered_work * kMillis);
    set("pool_completed_work_ms", all.completed_work * kMillis);
    set("pool_reserved_slots", std::ceil(status.reserved_slots));
    set("pool_rejected_in_favour_total",
        static_cast<double>(rejected_in_favour_[pool]));
  }
  fleet_->ReportPools(std::move(report.own));
}

void entry_host::Execute(moves::move_machine::effect& effect) {
  std::visit(
      overloaded{[this](moves::stages_changed& changed) {
                   for (const moves::stage& s : changed.stages)
                     Post(*dispatcher_, dispatch::move_share_changed{
                                            s.pool, s.target, s.per_mille});
                   fleet_->PublishStages(std::move(changed.stages));
                 },
                 [this](moves::write_status& write) {
                   store_->WriteStatus(std::move(write.pool), write.status);
                 },
                 [this](moves::report_counters& pass) {
                   fleet_->ReportCounters(std::move(pass.counters));
                 },
                 [](moves::decision& line) { Log(line.event, line.fields); }},
      effect);
}

void entry_host::Drain() {
  const time_point started = std::chrono::steady_clock::now();
  stop_sequence sequence(started, settings_.stop_timeout);
  is_draining_ = true;
  traffic_->SetReady(false);
  Post(*dispatcher_, dispatch::shutdown_started{sequence.requests_end_at()});
  std::this_thread::sleep_until(sequence.announced_at());
  stop_phase phase = stop_phase::kAnnouncing;
  while (phase != stop_phase::kEnded) {
    const traffic::traffic_counters counts = traffic_->counters();
    const stop_phase next =
        sequence.Advance(std::chrono::steady_clock::now(),
                         {counts.is_accepting, counts.open_caller_connections,
                          counts.open_requests});
    if (next != phase) {
      phase = next;
      LogEvent(
          log_level::kInfo, "stop-phase",
          {{"phase", std::string(to_string(phase))},
           {"connections", fmt::format("{}", counts.open_caller_connections)},
           {"requests", fmt::format("{}", counts.open_requests)}});
      if (phase == stop_phase::kDraining)
        traffic_->StartDrain();
      else if (phase == stop_phase::kClosing)
        traffic_->StopAccepting();
    }
    if (phase != stop_phase::kEnded)
      std::this_thread::sleep_for(kStopPollInterval);
  }
}

}  // namespace dotterellead::entry
