#include "fleet_impl.h"

namespace dotterellead::fleet {

std::vector<host_info> fleet_duty::impl::Candidates() {
  std::vector<host_info> known;
  for (const auto& [name, host] : known_)
    known.push_back(host);
  const time_point now = std::chrono::steady_clock::now();
  std::vector<host_info> above = HostsAbove(settings_.self, known);
  std::erase_if(above, [&](const host_info& host) {
    auto failed = failed_.find(host.name);
    return failed != failed_.end() && now < failed->second;
  });
  return above;
}

task<> fleet_duty::impl::FollowAbove() {
  co_await FindFirst();
  while (true) {
    const std::vector<host_info> above = Candidates();
    if (above.empty()) {
      BecomeRoot(true);
      RefreshHosts();
      asio::steady_timer pause(io_, kRootRound);
      error_code ec;
      co_await pause.async_wait(Resume(ec));
      co_await AskSeeds();
      continue;
    }
    const host_info& host = above.front();
    if (!link_ || !(host == link_host_)) {
      link_ = std::make_unique<http_link>(io_, host.address);
      link_host_ = host;
      above_checked_.fill(std::chrono::steady_clock::now());
      above_upto_.fill(log_offset());
      seen_from_above_ = 0;
      hosts_from_above_ = 0;
      stages_from_above_ = 0;
    }
    if (!co_await SyncWith(*link_, Scaled(kSyncWait))) {
      LogEvent(log_level::kInfo, "host-above-lost",
               {{"host", host.name.value()}});
      failed_[host.name] = std::chrono::steady_clock::now() + kFailedPause;
      link_.reset();
    } else {
      BecomeRoot(false);
    }
  }
}

task<> fleet_duty::impl::FindFirst() {
  const time_point ends =
      std::chrono::steady_clock::now() + settings_.seed_patience;
  while (true) {
    co_await AskSeeds();
    if (!Candidates().empty() || std::chrono::steady_clock::now() >= ends)
      co_return;
    asio::steady_timer pause(io_, kSeedPause);
    error_code ec;
    co_await pause.async_wait(Resume(ec));
  }
}

void fleet_duty::impl::BecomeRoot(bool is_root) {
  if (is_root == is_root_)
    return;
  is_root_ = is_root;
  callbacks_.role_changed(is_root);
}

// All at the same time: one that is gone must not hold up the others. Returns
// when all have answered or a host above is known.
task<> fleet_duty::impl::AskSeeds() {
  auto round = std::make_shared<seed_round>(io_);
  for (const catalog::endpoint& seed : settings_.seeds) {
    if (seed == settings_.self.address)
      continue;
    ++round->open;
    asio::co_spawn(io_, AskSeed(seed, round), asio::detached);
  }
  if (round->open == 0)
    co_return;
  error_code ec;
  co_await round->is_over.async_wait(Resume(ec));
}

task<> fleet_duty::impl::AskSeed(catalog::endpoint seed,
                                 std::shared_ptr<seed_round> round) {
  http_link link(io_, seed);
  sync_request request;
  request.self = settings_.self;
  request.have_hosts = hosts_version_;
  request.is_inquiry = true;
  const std::string body = EncodeRequest(request);
  const http_answer answer =
      co_await link.Call(http::verb::post, path_, body, kSeedLimit);
  if (answer.status == kOk) {
    try {
      const sync_answer decoded = DecodeAnswer(answer.body);
      known_[decoded.self.name] = decoded.self;
      failed_.erase(decoded.self.name);
      if (decoded.hosts)
        for (const host_info& host : *decoded.hosts)
          known_.emplace(host.name, host);
    } catch (const protocol_error& e) {
      LogEvent(log_level::kWarning, "peer-message-unreadable",
               {{"problem", e.problem()}, {"remedy", e.remedy()}});
    }
  }
  if (--round->open == 0 || !Candidates().empty())
    round->is_over.cancel();
}

bool fleet_duty::impl::IsAheadOfAbove() const {
  for (std::size_t i = 0; i < kStreams; ++i)
    if (board_.checked(kAllStreams[i]) > above_checked_[i] + Scaled(kFresher))
      return true;
  return false;
}

void fleet_duty::impl::PassUp() {
  if (is_root_ || is_passing_up_ || !link_ || !IsAheadOfAbove())
    return;
  is_passing_up_ = true;
  asio::co_spawn(io_, RunPassUp(), asio::detached);
}

task<> fleet_duty::impl::RunPassUp() {
  if (!second_link_ || !(second_link_->server() == link_host_.address))
    second_link_ = std::make_unique<http_link>(io_, link_host_.address);
  constexpr milliseconds kNoWait{0};
  // A failure is seen by the sync that waits.
  if (!co_await SyncWith(*second_link_, kNoWait))
    second_link_.reset();
  is_passing_up_ = false;
}

task<bool> fleet_duty::impl::SyncWith(http_link& link, milliseconds wait) {
  sync_request request;
  request.self = settings_.self;
  request.below = LiveBelow();
  for (std::size_t i = 0; i < kStreams; ++i)
    request.have[i] = board_.upto(kAllStreams[i]);
  const time_point now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kStreams; ++i)
    if (board_.checked(kAllStreams[i]) > above_checked_[i] + Scaled(kFresher))
      request.news[i] = NewsSince(kAllStreams[i], above_upto_[i], now);
  request.tallies = std::exchange(tallies_, {});
  request.events = std::exchange(events_up_, {});
  request.have_hosts = hosts_from_above_;
  request.have_stages = stages_from_above_;
  request.have_events = seen_from_above_;
  request.wait = wait;
  const std::string body = EncodeRequest(request);
  const http_answer answer = co_await link.Call(http::verb::post, path_, body,
                                                wait + Scaled(kSyncSlack));
  if (answer.status != kOk) {
    // Counted again with the next host above; a second count of a few
    // attempts does not change a verdict.
    for (const auto& [key, tally] : request.tallies)
      tallies_[key].Add(tally);
    co_return false;
  }
  try {
    TakeFromAbove(DecodeAnswer(answer.body));
  } catch (const protocol_error& e) {
    LogEvent(log_level::kWarning, "peer-message-unreadable",
             {{"problem", e.problem()}, {"remedy", e.remedy()}});
    co_return false;
  }
  co_return true;
}

void fleet_duty::impl::TakeFromAbove(const sync_answer& answer) {
  const time_point now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kStreams; ++i) {
    above_upto_[i] = answer.news[i].upto;
    above_checked_[i] =
        answer.news[i].age ? now - *answer.news[i].age : time_point();
  }
  TakeNews(answer.news);
  if (answer.hosts) {
    hosts_from_above_ = answer.hosts_version;
    SetHosts(*answer.hosts);
  }
  if (answer.stages) {
    stages_from_above_ = answer.stages_version;
    callbacks_.stages_heard(*answer.stages);
  }
  seen_from_above_ = std::max<std::uint64_t>(answer.events_version, 1);
  for (const crash_event& event : answer.events)
    TakeEvent(event, true);
}

}  // namespace dotterellead::fleet
