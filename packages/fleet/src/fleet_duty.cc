#include <algorithm>

#include "fleet_impl.h"

namespace dotterellead::fleet {

milliseconds ScaleInterval(milliseconds interval,
                           milliseconds max_update_delay) {
  constexpr milliseconds kReferenceDelay{2'000};
  // Shorter intervals would approach the time that messages take.
  constexpr double kMinScale = 0.3;
  const double scale =
      std::clamp(static_cast<double>(max_update_delay.count()) /
                     static_cast<double>(kReferenceDelay.count()),
                 kMinScale, 1.0);
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(interval.count()) * scale));
}

fleet_duty::impl::impl(fleet_settings settings, fleet_callbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      commands_(io_,
                "fleet",
                kMailboxCapacity,
                [this](command& c) { HandleCommand(c); }),
      changed_(io_),
      directory_(settings_.self) {
  changed_.expires_at(time_point::max());
  live_hosts_ = {settings_.self};
}

void fleet_duty::impl::Start() {
  try {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(ToTcp(settings_.self.address));
    acceptor_.listen();
  } catch (const boost::system::system_error& e) {
    throw unavailable_error("cannot listen on " +
                                to_string(settings_.self.address) + ": " +
                                e.what(),
                            "free the address or change the setting peers");
  }
  SpawnLoop(io_, "fleet-accept", [this] { return AcceptConnections(); });
  SpawnLoop(io_, "fleet-parents", [this] { return SyncWithParents(); });
  loop_.Start("fleet");
}

void fleet_duty::impl::Stop() {
  commands_.Close();
  loop_.Stop();
}

void fleet_duty::impl::HandleCommand(command& c) {
  std::visit(
      overloaded{[this](update_batch& batch) {
                   ApplyUpdates(batch);
                   StartPushToParent();
                 },
                 [this](std::vector<moves::stage>& stages) {
                   stages_ = std::move(stages);
                   stages_version_ = VersionOf(stages_);
                   WakeWaiters();
                 },
                 [this](report_counters& t) {
                   for (const auto& [key, counters] : t.counters)
                     counters_[key].Add(counters);
                 },
                 [this](report_crash& seen) {
                   AddCrashEvent({settings_.self.name, ++own_event_count_,
                                  settings_.incarnation, seen.fingerprint},
                                 false);
                 },
                 [this](std::vector<usage::host_report>& reports) {
                   PassUsage(std::move(reports));
                 },
                 [this](usage::fencing_token token) { SetLeaderToken(token); },
                 [this](report_pools& report) {
                   const time_point now = std::chrono::steady_clock::now();
                   pools_.SetOwn(report.own, now);
                   if (callbacks_.on_pools)
                     callbacks_.on_pools(pools_.Totals(is_root_, now));
                 }},
      c);
}

void fleet_duty::impl::PassUsage(std::vector<usage::host_report> reports) {
  if (!is_root_)
    usage_.Add(std::move(reports));
  else if (!reports.empty() && callbacks_.on_usage)
    callbacks_.on_usage(std::move(reports));
}

void fleet_duty::impl::SetLeaderToken(usage::fencing_token token) {
  // Tokens only increase, so a lower one is of an earlier leader.
  if (leader_token_ && token <= *leader_token_)
    return;
  leader_token_ = token;
  if (callbacks_.on_leader_token)
    callbacks_.on_leader_token(token);
  // Ends the wait of the children's requests.
  ++refresh_count_;
  WakeWaiters();
}

void fleet_duty::impl::ApplyUpdates(const update_batch& batch) {
  const bool is_refresh =
      batch.complete_at >
      updates_.complete_at(batch.source) + Scaled(kStaleAge);
  const bool has_changes = !updates_.Apply(batch).empty();
  if (is_refresh)
    ++refresh_count_;
  if (is_refresh || has_changes)
    WakeWaiters();
}

void fleet_duty::impl::AddCrashEvent(const crash_event& event,
                                     bool is_from_parent) {
  std::uint64_t& newest = last_event_number_[{event.origin, event.incarnation}];
  if (event.sequence_number <= newest)
    return;
  newest = event.sequence_number;
  crash_events_.push_back(event);
  ++events_version_;
  if (crash_events_.size() > kMaxCrashEvents)
    crash_events_.pop_front();
  if (!is_from_parent)
    unreported_crashes_.push_back(event);
  if (unreported_crashes_.size() > kMaxCrashEvents)
    unreported_crashes_.erase(unreported_crashes_.begin());
  if (event.origin != settings_.self.name)
    callbacks_.on_crash(event.fingerprint);
  WakeWaiters();
}

std::vector<crash_event> fleet_duty::impl::CrashEventsSince(
    std::uint64_t version) const {
  // The child has a new parent, or the parent was restarted: it is not known
  // which events are new, and other hosts know the old ones.
  if (version == 0 || version >= events_version_)
    return {};
  const std::uint64_t count =
      std::min<std::uint64_t>(events_version_ - version, crash_events_.size());
  return {crash_events_.end() - static_cast<std::ptrdiff_t>(count),
          crash_events_.end()};
}

fleet_duty::fleet_duty(fleet_settings settings, fleet_callbacks callbacks)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(callbacks))) {
}
fleet_duty::~fleet_duty() {
  Stop();
}
void fleet_duty::Start() {
  impl_->Start();
}
void fleet_duty::Stop() {
  impl_->Stop();
}
void fleet_duty::PublishUpdates(update_batch batch) {
  impl_->Push(std::move(batch));
}
void fleet_duty::PublishStages(std::vector<moves::stage> stages) {
  impl_->Push(std::move(stages));
}
void fleet_duty::ReportCounters(moves::counter_table counters) {
  impl_->Push(report_counters{std::move(counters)});
}
void fleet_duty::ReportCrash(request_fingerprint fingerprint) {
  impl_->Push(report_crash{fingerprint});
}
void fleet_duty::ReportUsage(std::vector<usage::host_report> reports) {
  impl_->Push(std::move(reports));
}
void fleet_duty::PublishLeaderToken(usage::fencing_token token) {
  impl_->Push(token);
}
void fleet_duty::ReportPools(pools::pool_table own) {
  impl_->Push(report_pools{std::move(own)});
}

}  // namespace dotterellead::fleet
