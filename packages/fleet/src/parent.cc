#include "fleet_impl.h"

namespace dotterellead::fleet {

task<> fleet_duty::impl::SyncWithParents() {
  co_await DiscoverHosts();
  while (true) {
    directory_.Update(live_hosts_, std::chrono::steady_clock::now());
    const std::optional<host_info> parent = co_await FindParent();
    if (!parent) {
      SetRole(true);
      UpdateLiveHosts();
      asio::steady_timer pause(io_, kRootDiscoveryInterval);
      error_code ec;
      co_await pause.async_wait(Resume(ec));
      co_await QuerySeeds();
      const std::vector<host_info> unlisted = directory_.NextRootQueries(
          live_hosts_, std::chrono::steady_clock::now());
      co_await QueryHosts(unlisted);
      continue;
    }
    if (!parent_connection_ || !(*parent == parent_))
      StartParent(*parent);
    if (!co_await Sync(*parent_connection_, Scaled(kMaxSyncWait))) {
      LogEvent(log_level::kInfo, "host-above-lost",
               {{"host", parent->name.value()}});
      directory_.RecordSilence(parent->name, std::chrono::steady_clock::now());
      parent_connection_.reset();
    } else {
      SetRole(false);
    }
  }
}

void fleet_duty::impl::StartParent(const host_info& host) {
  parent_connection_ = std::make_unique<control_client>(io_, host.address);
  parent_ = host;
  pools_.StartParent();
  parent_complete_at_.fill(std::chrono::steady_clock::now());
  parent_end_offsets_.fill(log_offset());
  parent_events_version_ = 0;
  parent_hosts_version_ = 0;
  parent_stages_version_ = 0;
  // The former parent may have lost the reports that it acknowledged.
  if (leader_token_ && callbacks_.on_leader_token)
    callbacks_.on_leader_token(*leader_token_);
}

// Hosts that are preferred to the current parent are queried before they
// replace it, since a sync request to a silent one would take much longer.
task<std::optional<host_info>> fleet_duty::impl::FindParent() {
  const time_point began = std::chrono::steady_clock::now();
  for (int round = 0;; ++round) {
    std::optional<host_info> current;
    if (parent_connection_)
      current = parent_;
    const std::vector<host_info> queries = directory_.NextParentQueries(
        current, began, round, std::chrono::steady_clock::now());
    if (queries.empty())
      co_return current;
    const std::optional<host_info> found = co_await QueryHosts(queries);
    if (found)
      co_return found;
  }
}

task<> fleet_duty::impl::DiscoverHosts() {
  const time_point deadline =
      std::chrono::steady_clock::now() + settings_.discovery_timeout;
  while (true) {
    co_await QuerySeeds();
    if (HasAvailableParent() || std::chrono::steady_clock::now() >= deadline)
      co_return;
    asio::steady_timer pause(io_, kSeedRetryInterval);
    error_code ec;
    co_await pause.async_wait(Resume(ec));
  }
}

bool fleet_duty::impl::HasAvailableParent() const {
  return !directory_.AvailableParents(std::chrono::steady_clock::now()).empty();
}

void fleet_duty::impl::SetRole(bool is_root) {
  if (is_root == is_root_)
    return;
  is_root_ = is_root;
  callbacks_.on_role_changed(is_root);
  if (is_root)
    PassUsage(usage_.Take());
}

// Queries all seeds concurrently, so that one that is down does not delay the
// others. Returns when all have ended or a parent is known.
task<> fleet_duty::impl::QuerySeeds() {
  auto round = std::make_shared<query_round>(io_, settings_.seeds.size());
  for (std::size_t i = 0; i < settings_.seeds.size(); ++i) {
    if (settings_.seeds[i] == settings_.self.address)
      round->results[i] = query_result::kSilent;
    else
      Spawn(io_, "fleet-seed", QuerySeed(settings_.seeds[i], i, round));
  }
  if (round->HasEnded())
    co_return;
  error_code ec;
  co_await round->decided.async_wait(Resume(ec));
}

task<> fleet_duty::impl::QuerySeed(catalog::endpoint seed,
                                   std::size_t index,
                                   std::shared_ptr<query_round> round) {
  const std::optional<member_id> answered =
      co_await QueryHost(seed, kSeedTimeout);
  round->results[index] =
      answered ? query_result::kAnswered : query_result::kSilent;
  if (round->HasEnded() || HasAvailableParent())
    round->decided.cancel();
}

// Queries the hosts concurrently and returns the first of the list that
// answers; waits for the ones before it only.
task<std::optional<host_info>> fleet_duty::impl::QueryHosts(
    std::vector<host_info> hosts) {
  if (hosts.empty())
    co_return std::nullopt;
  auto round = std::make_shared<query_round>(io_, hosts.size());
  for (std::size_t i = 0; i < hosts.size(); ++i)
    Spawn(io_, "fleet-query", QueryKnownHost(hosts[i], i, round));
  error_code ec;
  co_await round->decided.async_wait(Resume(ec));
  const std::optional<std::size_t> first = round->FirstAnswered();
  co_return first ? std::optional(hosts[*first]) : std::nullopt;
}

task<> fleet_duty::impl::QueryKnownHost(host_info host,
                                        std::size_t index,
                                        std::shared_ptr<query_round> round) {
  const std::optional<member_id> answered =
      co_await QueryHost(host.address, Scaled(kQueryTimeout));
  const bool is_same = answered == host.name;
  if (!is_same)
    directory_.RecordSilence(host.name, std::chrono::steady_clock::now());
  round->results[index] =
      is_same ? query_result::kAnswered : query_result::kSilent;
  if (round->HasEnded() || round->FirstAnswered())
    round->decided.cancel();
}

task<std::optional<member_id>> fleet_duty::impl::QueryHost(
    catalog::endpoint address,
    milliseconds timeout) {
  control_client connection(io_, address);
  sync_request request;
  request.self = settings_.self;
  request.hosts_version = hosts_version_;
  request.is_inquiry = true;
  const std::string body = EncodeRequest(request);
  const control_response response =
      co_await connection.Send(http::verb::post, path_, body, timeout);
  if (response.status != kOk)
    co_return std::nullopt;
  try {
    const sync_response decoded = DecodeResponse(response.body);
    const time_point now = std::chrono::steady_clock::now();
    directory_.RecordContact(decoded.self, now);
    if (decoded.hosts)
      for (const host_info& host : *decoded.hosts)
        directory_.RecordListed(host, now);
    co_return decoded.self.name;
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "peer-message-unreadable",
             {{"problem", e.problem()}, {"remedy", e.remedy()}});
    co_return std::nullopt;
  }
}

bool fleet_duty::impl::IsFresherThanParent() const {
  for (std::size_t i = 0; i < kStreams; ++i)
    if (updates_.complete_at(kAllStreams[i]) >
        parent_complete_at_[i] + Scaled(kMinFreshnessGain))
      return true;
  return false;
}

void fleet_duty::impl::StartPushToParent() {
  if (is_root_ || is_pushing_ || !parent_connection_ || !IsFresherThanParent())
    return;
  is_pushing_ = true;
  Spawn(io_, "fleet-push", PushToParent());
}

task<> fleet_duty::impl::PushToParent() {
  if (!push_connection_ || !(push_connection_->server() == parent_.address))
    push_connection_ = std::make_unique<control_client>(io_, parent_.address);
  constexpr milliseconds kNoWait{0};
  // The pending sync request detects a failure.
  if (!co_await Sync(*push_connection_, kNoWait))
    push_connection_.reset();
  is_pushing_ = false;
}

task<bool> fleet_duty::impl::Sync(control_client& connection,
                                  milliseconds max_wait) {
  sync_request request;
  request.self = settings_.self;
  request.descendants = LiveDescendants();
  for (std::size_t i = 0; i < kStreams; ++i)
    request.end_offsets[i] = updates_.end_offset(kAllStreams[i]);
  const time_point now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kStreams; ++i)
    if (updates_.complete_at(kAllStreams[i]) >
        parent_complete_at_[i] + Scaled(kMinFreshnessGain))
      request.updates[i] =
          UpdatesSince(kAllStreams[i], parent_end_offsets_[i], now);
  request.counters = std::exchange(counters_, {});
  request.crash_events = std::exchange(unreported_crashes_, {});
  request.usage = usage_.Take();
  request.pools = pools_.RowsFor(parent_.name, pools_.Subtree(now), now);
  request.hosts_version = parent_hosts_version_;
  request.stages_version = parent_stages_version_;
  request.events_version = parent_events_version_;
  request.max_wait = max_wait;
  const std::string body = EncodeRequest(request);
  const boot_time requested_at = boot_clock::now();
  const control_response response = co_await connection.Send(
      http::verb::post, path_, body, max_wait + Scaled(kSyncResponseMargin));
  if (response.status != kOk) {
    // Sent again to the next parent. Counting a few attempts twice does not
    // change a verdict.
    for (const auto& [key, counters] : request.counters)
      counters_[key].Add(counters);
    PassUsage(std::move(request.usage));
    co_return false;
  }
  try {
    HandleSyncResponse(DecodeResponse(response.body), requested_at);
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "peer-message-unreadable",
             {{"problem", e.problem()}, {"remedy", e.remedy()}});
    co_return false;
  }
  co_return true;
}

void fleet_duty::impl::HandleSyncResponse(const sync_response& response,
                                          boot_time requested_at) {
  const time_point now = std::chrono::steady_clock::now();
  pools_.RecordParent(response.pools, now);
  // The data is older by the time for which the response was on its way.
  const milliseconds on_the_way =
      TimeOnTheWay(requested_at, boot_clock::now(), response.held);
  std::array<stream_updates, kStreams> updates = response.updates;
  for (std::size_t i = 0; i < kStreams; ++i) {
    if (updates[i].age)
      *updates[i].age += on_the_way;
    parent_end_offsets_[i] = updates[i].end_offset;
    parent_complete_at_[i] =
        updates[i].age ? now - *updates[i].age : time_point();
  }
  HandleUpdates(updates, requested_at);
  if (response.hosts) {
    parent_hosts_version_ = response.hosts_version;
    SetLiveHosts(*response.hosts);
  }
  if (response.stages) {
    parent_stages_version_ = response.stages_version;
    callbacks_.on_stages(*response.stages);
  }
  parent_events_version_ = std::max<std::uint64_t>(response.events_version, 1);
  for (const crash_event& event : response.crash_events)
    AddCrashEvent(event, true);
  if (response.leader_token)
    SetLeaderToken(*response.leader_token);
}

}  // namespace dotterellead::fleet
