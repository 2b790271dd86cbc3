#include <algorithm>
#include <array>

#include "directory.h"
#include "holder_role.h"
#include "home_role.h"

namespace dotterellead {
namespace {

constexpr milliseconds kReportInterval{1'000};
// Maximum number of messages from a host to itself in one step; prevents an
// endless exchange between its two roles.
constexpr int kMaxOwnMessages = 10'000;

idle_reason ReasonOf(const server_state& s, const server_balance& counts) {
  if (s.is_out_of_service)
    return idle_reason::kDataCentreOut;
  if (s.draining)
    return idle_reason::kDraining;
  if (!s.home.is_valid())
    return idle_reason::kNoHome;
  if (counts.in_use > 0 && counts.idle == 0)
    return idle_reason::kAllInUse;
  if (counts.held == 0)
    return s.is_cold_or_suspect() ? idle_reason::kCold : idle_reason::kNoLease;
  return idle_reason::kNone;
}

}  // namespace

std::string_view to_string(attempt_result result) {
  switch (result) {
    case attempt_result::kResponded:
      return "answered";
    case attempt_result::kNotRun:
      return "shed";
    case attempt_result::kNotConnected:
      return "connect-failed";
    case attempt_result::kConnectionLost:
      return "cut";
    case attempt_result::kTimedOut:
      return "timed-out";
    case attempt_result::kCancelled:
      return "cancelled";
    case attempt_result::kNotSent:
      return "not-sent";
  }
  return "not-sent";
}

std::string_view to_string(rejection_reason reason) {
  switch (reason) {
    case rejection_reason::kQueueFull:
      return "queue-full";
    case rejection_reason::kDeadline:
      return "deadline";
    case rejection_reason::kNoServers:
      return "no-servers";
    case rejection_reason::kUnknownPool:
      return "unknown-pool";
    case rejection_reason::kNotHome:
      return "not-home";
    case rejection_reason::kHomeFull:
      return "home-full";
  }
  return "unknown-pool";
}

std::string_view to_string(idle_reason reason) {
  switch (reason) {
    case idle_reason::kNone:
      return "none";
    case idle_reason::kDataCentreOut:
      return "data-centre-out";
    case idle_reason::kDraining:
      return "draining";
    case idle_reason::kNoHome:
      return "no-home";
    case idle_reason::kCold:
      return "cold";
    case idle_reason::kAllInUse:
      return "all-in-use";
    case idle_reason::kNoLease:
      return "no-lease";
  }
  return "none";
}

class balance_machine::impl {
 public:
  explicit impl(const balance_options& options)
      : servers_(options), holder_(servers_) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out) {
    step_context step{now.steady, outbox_, out};
    if (!home_)
      home_.emplace(servers_, step.now);
    std::visit([&](const auto& alternative) { On(alternative, step); }, m);
    Deliver(step);
    PublishLoad(step);
  }

 private:
  void On(const acquire& m, step_context& step) {
    holder_.On(m, LoadOf(m.pool, step.now), step);
    changed_pool_ = m.pool;
  }
  void On(const cancel_acquire& m, step_context& step) { holder_.On(m, step); }
  void On(const release& m, step_context& step) {
    if (const server_state* s = servers_.Find(m.server))
      changed_pool_ = s->pool;
    holder_.On(m, step);
  }
  void On(const forward_ended& m, step_context& step) { holder_.On(m, step); }

  void On(const config_changed& m, step_context& step) {
    servers_.SetConfig(*m.config, step.now);
    std::erase_if(published_loads_, [this](const auto& entry) {
      return servers_.FindPool(entry.first) == nullptr;
    });
    home_->OnConfig(step);
    holder_.OnDirectoryChanged(step);
  }

  void On(const homes_changed& m, step_context& step) {
    const epoch_number before = servers_.epoch();
    if (!servers_.SetHomes(m))
      return;
    home_->OnHomes(before, step);
    holder_.OnDirectoryChanged(step);
  }

  void On(const grant_right_changed& m, step_context& step) {
    home_->OnRight(m, step);
  }

  void On(const load_report& m, step_context& step) {
    servers_.Update(m, step.now);
  }

  void On(const server_suspected& m, step_context& step) {
    servers_.MarkSuspect(m.server, step.now);
  }

  void On(const balance_received& m, step_context& step) {
    Dispatch(m.from, m.body, step);
  }

  void On(const tick&, step_context& step) {
    holder_.OnTick(step);
    home_->OnTick(step);
    if (step.now >= next_report_)
      Report(step);
  }

  void Dispatch(const member_id& from,
                const balance_peer_message& body,
                step_context& step) {
    std::visit(overloaded{
                   [&](const slot_request& m) { home_->On(from, m, step); },
                   [&](const slot_return& m) { home_->On(from, m, step); },
                   [&](const renewal& m) { home_->On(from, m, step); },
                   [&](const handover_offer& m) { home_->On(from, m, step); },
                   [&](const handover_accept& m) { home_->On(from, m, step); },
                   [&](const handover& m) { home_->On(from, m, step); },
                   [&](const slot_grant& m) { holder_.On(from, m, step); },
                   [&](const slot_recall& m) { holder_.On(from, m, step); },
                   [&](const renewed& m) { holder_.On(from, m, step); },
                   [&](const server_observation& m) {
                     servers_.ApplyObservation(from, m, step);
                   },
                   [&](const server_state_update& m) {
                     HandleStateUpdate(from, m, step);
                   },
               },
               body);
  }

  void HandleStateUpdate(const member_id& from,
                         const server_state_update& m,
                         step_context& step) {
    const server_state* s = servers_.Find(m.server);
    if (s == nullptr || s->home != from)
      return;
    servers_.ApplyStateUpdate(m, step.now, step.now);
    // Idle slots that must not be used any more are returned at once.
    holder_.OnServersChanged(step);
  }

  // Sends the messages of this step. Messages to this host are handled here, in
  // order.
  void Deliver(step_context& step) {
    for (int handled = 0; handled < kMaxOwnMessages; ++handled) {
      for (const server_id& id : servers_.SendObservations(step))
        home_->OnServerChanged(id, step);
      holder_.SendReturns(step);
      if (outbox_.empty())
        return;
      std::vector<send_to_peer> messages;
      messages.swap(outbox_);
      for (send_to_peer& message : messages) {
        if (message.to == servers_.options().self) {
          Dispatch(message.to, message.body, step);
          continue;
        }
        ++peer_messages_sent_;
        step.effects.emplace_back(std::move(message));
      }
    }
  }

  // Load of the pool's servers homed here.
  home_load LoadOf(const pool_id& name, time_point now) const {
    home_load load;
    const pool_info* pool = servers_.FindPool(name);
    if (pool == nullptr)
      return load;
    bool is_home = false;
    for (const server_id& id : pool->servers) {
      const server_state& s = *servers_.Find(id);
      if (!servers_.IsHome(s) || !s.accepts_work())
        continue;
      is_home = true;
      load.busy += home_->GrantedToOthers(id);
      // Leased slots stay usable while the host may not grant any.
      load.usable += home_->IsGranting(id, now) ? s.usable_slots()
                                                : holder_.UsableHeld(id, now);
    }
    if (is_home)
      load.busy += holder_.InFlightOrWaiting(name);
    return load;
  }

  // Only the load of pools with requests is needed: other hosts receive it with
  // the responses.
  void PublishLoad(step_context& step) {
    if (!changed_pool_.is_valid())
      return;
    const pool_id pool = std::exchange(changed_pool_, pool_id());
    const home_load load = LoadOf(pool, step.now);
    home_load& known = published_loads_[pool];
    if (load == known)
      return;
    known = load;
    step.effects.emplace_back(home_load_changed{pool, load});
  }

  void Report(step_context& step) {
    next_report_ = step.now + kReportInterval;
    servers_.DecayAverages();
    balance_report report{.epoch = servers_.epoch()};
    for (const auto& [id, s] : servers_.servers())
      report.servers.push_back(Describe(id, s, step.now));
    for (const auto& [name, info] : servers_.pools())
      report.pools.push_back({name, holder_.Waiting(name)});
    report.peer_messages_sent = peer_messages_sent_;
    report.leases_expired = holder_.leases_expired();
    report.slots_reclaimed = home_->slots_reclaimed();
    step.effects.emplace_back(std::move(report));
  }

  server_balance Describe(const server_id& id,
                          const server_state& s,
                          time_point now) const {
    server_balance b{
        .server = id,
        .pool = s.pool,
        .home = s.home,
        .slots = s.spec.slots,
        .cold_slots = s.spec.cold_slots,
        .cold = s.cold,
        .suspect = s.suspect,
        .draining = s.draining,
        .latency = microseconds(static_cast<std::int64_t>(s.latency_us))};
    holder_.CountLeases(id, b);
    b.reason = ReasonOf(s, b);
    if (servers_.IsHome(s)) {
      b.is_granting = home_->IsGranting(id, now);
      b.granted = home_->GrantedCount(id);
    }
    return b;
  }

  directory servers_;
  holder_role holder_;
  std::optional<home_role> home_;
  std::vector<send_to_peer> outbox_;
  // The loads last published, and the pool whose load this step may have
  // changed.
  std::map<pool_id, home_load> published_loads_;
  pool_id changed_pool_;
  time_point next_report_;
  std::uint64_t peer_messages_sent_ = 0;
};

balance_machine::balance_machine(const balance_options& options)
    : impl_(std::make_unique<impl>(options)) {}
balance_machine::~balance_machine() = default;
balance_machine::balance_machine(balance_machine&&) noexcept = default;
balance_machine& balance_machine::operator=(balance_machine&&) noexcept =
    default;

void balance_machine::Step(const message& m,
                           const timestamp& now,
                           std::vector<effect>& out) {
  impl_->Step(m, now, out);
}

}  // namespace dotterellead
