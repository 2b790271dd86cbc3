#include "entry_host.h"

#include <fmt/core.h>

#include <random>

namespace dotterellead::entry {

namespace {

// Messages that wait for the dispatcher.
constexpr std::size_t kDispatchRing = 1024;
// Shortest time between two looks at timers of calls.
constexpr milliseconds kDispatchTick{2};
// After the order to stop, callers learn by two missed ready checks, one a
// second, that this host is leaving; until then it serves new connections.
constexpr milliseconds kFrontOpen{2'600};
// Time kept back at the end of the stop time for closing connections.
constexpr milliseconds kStopMargin{400};
constexpr milliseconds kDrainStep{50};

}  // namespace

entry_host::entry_host(entry_settings settings)
    : settings_(std::move(settings)) {
  dispatch::dispatch_settings d;
  d.self = settings_.host;
  d.data_centre = settings_.data_centre;
  d.repeat_ratio = settings_.repeat_ratio;
  d.repeat_window = settings_.repeat_window;
  d.repeat_slack = settings_.repeat_slack;
  d.cold_factor = settings_.cold_factor;
  d.cold_slack = settings_.cold_slack;
  d.seed = StableHash(settings_.host.value()) ^
           static_cast<std::uint64_t>(clock_.Now().wall.value);
  dispatcher_ = std::make_unique<duty<dispatch::dispatcher>>(
      "dispatch", dispatch::dispatcher(d), clock_, kDispatchTick,
      [this](dispatch::dispatcher::effect& effect) { CarryOut(effect); },
      kDispatchRing);
  traffic_ = std::make_unique<traffic::traffic_service>(
      traffic::traffic_settings{settings_.front, settings_.ready,
                                adapter::HeaderNames()},
      [this](dispatch::dispatcher::message m) {
        return dispatcher_->Post(std::move(m));
      });
  adapter::store_callbacks callbacks;
  callbacks.catalog_changed = [this](catalog::snapshot_ptr snapshot) {
    TakeCatalog(std::move(snapshot));
  };
  callbacks.store_changed = [](bool) {};
  store_ = std::make_unique<adapter::store_duty>(
      adapter::store_settings{settings_.store}, std::move(callbacks));
}

entry_host::~entry_host() {
  store_->Stop();
  traffic_->Stop();
  dispatcher_->Stop();
}

void entry_host::Start() {
  dispatcher_->Start();
  traffic_->Start();
  store_->Start();
}

void entry_host::TakeCatalog(catalog::snapshot_ptr snapshot) {
  if (snapshot->config) {
    traffic_->SetLimits(snapshot->config->limits);
    has_config_ = true;
  }
  constexpr milliseconds kRoomWait{1'000};
  if (!dispatcher_->PostUntil(dispatch::catalog_changed{snapshot},
                              std::chrono::steady_clock::now() + kRoomWait))
    LogEvent(log_level::kError, "catalog-change-lost");
  traffic_->SetReady(has_config_ && !is_draining_);
}

void entry_host::CarryOut(dispatch::dispatcher::effect& effect) {
  if (const auto* line = std::get_if<dispatch::decision>(&effect)) {
    std::vector<log_field> fields;
    for (const auto& [key, value] : line->fields)
      fields.push_back({key, value});
    LogEvent(log_level::kInfo, line->event, fields);
    return;
  }
  traffic_->Carry(std::move(effect));
}

void entry_host::Drain() {
  const time_point begun = std::chrono::steady_clock::now();
  is_draining_ = true;
  traffic_->SetReady(false);
  std::this_thread::sleep_for(std::min(kFrontOpen, settings_.stop_time / 2));
  traffic_->StartDrain();
  const time_point ends = begun + settings_.stop_time - kStopMargin;
  // New connections may still come for a moment; they are served.
  while (std::chrono::steady_clock::now() < ends &&
         traffic_->counts().open_callers > 0)
    std::this_thread::sleep_for(kDrainStep);
  traffic_->CloseFront();
}

}  // namespace dotterellead::entry
