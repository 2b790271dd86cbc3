#include <algorithm>
#include <array>

#include "directory.h"
#include "holder_role.h"
#include "home_role.h"

namespace dotterellead {
namespace {

constexpr milliseconds kReportInterval{1'000};
// Messages that a host may send itself in one step. Guards against an endless
// exchange between its two roles.
constexpr int kMaxOwnMessages = 10'000;

idle_reason ReasonOf(const server_state& s, const server_balance& counts) {
  if (s.out)
    return idle_reason::kDataCentreOut;
  if (s.draining)
    return idle_reason::kDraining;
  if (!s.home.is_valid())
    return idle_reason::kNoHome;
  if (counts.in_use > 0 && counts.idle == 0)
    return idle_reason::kAllInUse;
  if (counts.held == 0)
    return s.is_doubtful() ? idle_reason::kCold : idle_reason::kNoLease;
  return idle_reason::kNone;
}

}  // namespace

std::string_view to_string(attempt_result result) {
  switch (result) {
    case attempt_result::kAnswered:
      return "answered";
    case attempt_result::kShed:
      return "shed";
    case attempt_result::kConnectFailed:
      return "connect-failed";
    case attempt_result::kCut:
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
    case refusal_reason::kNotHome:
      return "not-home";
    case refusal_reason::kHomeFull:
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
    touched_pool_ = m.pool;
  }
  void On(const withdraw& m, step_context& step) { holder_.On(m, step); }
  void On(const release& m, step_context& step) {
    if (const server_state* s = servers_.Find(m.server))
      touched_pool_ = s->pool;
    holder_.On(m, step);
  }
  void On(const forward_ended& m, step_context& step) { holder_.On(m, step); }

  void On(const config_changed& m, step_context& step) {
    servers_.SetConfig(*m.config, step.now);
    std::erase_if(loads_, [this](const auto& entry) {
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

  void On(const home_right_changed& m, step_context& step) {
    home_->OnRight(m, step);
  }

  void On(const load_report& m, step_context& step) {
    servers_.Learn(m, step.now);
  }

  void On(const server_suspected& m, step_context& step) {
    servers_.Suspect(m.server, step.now);
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
                   [&](const server_news& m) {
                     servers_.LearnFromHolder(from, m, step);
                   },
                   [&](const server_notice& m) { LearnNotice(from, m, step); },
               },
               body);
  }

  void LearnNotice(const member_id& from,
                   const server_notice& m,
                   step_context& step) {
    const server_state* s = servers_.Find(m.server);
    if (s == nullptr || s->home != from)
      return;
    servers_.LearnFromHome(m, step.now, step.now);
    // Idle slots that the server must not be sent work on go back at once.
    holder_.OnServersChanged(step);
  }

  // Sends what this step found out and decided. Messages to the host itself
  // are handled here, in order.
  void Deliver(step_context& step) {
    for (int handled = 0; handled < kMaxOwnMessages; ++handled) {
      for (const server_id& id : servers_.Publish(step))
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

  // The load of the pool's servers that are homed here.
  home_load LoadOf(const pool_id& name, time_point now) const {
    home_load load;
    const pool_info* pool = servers_.FindPool(name);
    if (pool == nullptr)
      return load;
    bool is_home = false;
    for (const server_id& id : pool->servers) {
      const server_state& s = *servers_.Find(id);
      if (!servers_.IsHome(s) || !s.takes_work())
        continue;
      is_home = true;
      load.busy += home_->LentToOthers(id);
      // Slots on lease stay usable while the host may not lend.
      load.usable += home_->IsLending(id, now) ? s.usable_slots()
                                               : holder_.UsableHeld(id, now);
    }
    if (is_home)
      load.busy += holder_.Busy(name);
    return load;
  }

  // Only pools with requests need their load: others learn it with the answers.
  void PublishLoad(step_context& step) {
    if (!touched_pool_.is_valid())
      return;
    const pool_id pool = std::exchange(touched_pool_, pool_id());
    const home_load load = LoadOf(pool, step.now);
    home_load& known = loads_[pool];
    if (load == known)
      return;
    known = load;
    step.effects.emplace_back(home_load_changed{pool, load});
  }

  void Report(step_context& step) {
    next_report_ = step.now + kReportInterval;
    servers_.Fade();
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
    holder_.Count(id, b);
    b.reason = ReasonOf(s, b);
    if (servers_.IsHome(s)) {
      b.lending = home_->IsLending(id, now);
      b.lent = home_->Lent(id);
    }
    return b;
  }

  directory servers_;
  holder_role holder_;
  std::optional<home_role> home_;
  std::vector<send_to_peer> outbox_;
  // The loads last published, and the pool whose load this step may change.
  std::map<pool_id, home_load> loads_;
  pool_id touched_pool_;
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
