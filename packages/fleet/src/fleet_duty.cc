#include <algorithm>

#include "fleet_impl.h"

namespace dotterellead::fleet {

milliseconds Paced(milliseconds at_two_seconds, milliseconds news_bound) {
  constexpr milliseconds kUsualBound{2'000};
  // Waits of less than this share are near the time that messages take.
  constexpr double kLeastShare = 0.3;
  const double share = std::clamp(static_cast<double>(news_bound.count()) /
                                      static_cast<double>(kUsualBound.count()),
                                  kLeastShare, 1.0);
  return milliseconds(static_cast<std::int64_t>(
      static_cast<double>(at_two_seconds.count()) * share));
}

fleet_duty::impl::impl(fleet_settings settings, fleet_callbacks callbacks)
    : settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      commands_(io_, "fleet", kMailbox, [this](command& c) { Take(c); }),
      news_arrived_(io_) {
  news_arrived_.expires_at(time_point::max());
  hosts_ = {settings_.self};
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
  asio::co_spawn(io_, Accept(), asio::detached);
  asio::co_spawn(io_, FollowAbove(), asio::detached);
  loop_.Start("fleet");
}

void fleet_duty::impl::Stop() {
  commands_.Close();
  loop_.Stop();
}

void fleet_duty::impl::Take(command& c) {
  std::visit(overloaded{[this](news_batch& batch) {
                          TakeBatch(batch);
                          PassUp();
                        },
                        [this](std::vector<moves::stage>& stages) {
                          stages_ = std::move(stages);
                          stages_version_ = VersionOf(stages_);
                          WakeWaiters();
                        },
                        [this](tallies_to_pass& t) {
                          for (const auto& [key, tally] : t.counts)
                            tallies_[key].Add(tally);
                        },
                        [this](crash_to_report& seen) {
                          TakeEvent({settings_.self.name, ++own_events_,
                                     settings_.run, seen.fingerprint},
                                    false);
                        }},
             c);
}

void fleet_duty::impl::TakeBatch(const news_batch& batch) {
  const bool closes_gap =
      batch.checked > board_.checked(batch.source) + Scaled(kGap);
  const bool has_changes = !board_.Apply(batch).empty();
  if (closes_gap)
    ++gaps_closed_;
  if (closes_gap || has_changes)
    WakeWaiters();
}

void fleet_duty::impl::TakeEvent(const crash_event& event, bool is_from_above) {
  std::uint64_t& newest = newest_event_[{event.origin, event.run}];
  if (event.number <= newest)
    return;
  newest = event.number;
  events_.push_back(event);
  ++events_version_;
  if (events_.size() > kKeptEvents)
    events_.pop_front();
  if (!is_from_above)
    events_up_.push_back(event);
  if (events_up_.size() > kKeptEvents)
    events_up_.erase(events_up_.begin());
  if (event.origin != settings_.self.name)
    callbacks_.crash_heard(event.fingerprint);
  WakeWaiters();
}

std::vector<crash_event> fleet_duty::impl::EventsSince(
    std::uint64_t seen) const {
  // Another host above, or one that was restarted: it cannot tell which are
  // new, and old crashes are known to others.
  if (seen == 0 || seen >= events_version_)
    return {};
  const std::uint64_t count =
      std::min<std::uint64_t>(events_version_ - seen, events_.size());
  return {events_.end() - static_cast<std::ptrdiff_t>(count), events_.end()};
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
void fleet_duty::Publish(news_batch batch) {
  impl_->Push(std::move(batch));
}
void fleet_duty::PublishStages(std::vector<moves::stage> stages) {
  impl_->Push(std::move(stages));
}
void fleet_duty::PassTallies(moves::counter_table counts) {
  impl_->Push(tallies_to_pass{std::move(counts)});
}
void fleet_duty::ReportCrash(request_fingerprint fingerprint) {
  impl_->Push(crash_to_report{fingerprint});
}

}  // namespace dotterellead::fleet
