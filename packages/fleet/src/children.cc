#include <fmt/core.h>

#include "dotterellead/read_message.h"
#include "fleet_impl.h"

namespace dotterellead::fleet {

task<> fleet_duty::impl::AcceptConnections() {
  while (true) {
    error_code ec;
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    co_await acceptor_.async_accept(stream->socket(), Resume(ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      LogEvent(log_level::kWarning, "peer-accept-failed",
               {{"problem", ec.message()}});
      asio::steady_timer pause(io_, Scaled(kMaxSyncWait));
      co_await pause.async_wait(Resume(ec));
      continue;
    }
    error_code ignored;  // Optional: only affects latency.
    stream->socket().set_option(tcp::no_delay(true), ignored);
    Spawn(io_, "fleet-child", ServeChild(std::move(stream)));
  }
}

task<> fleet_duty::impl::ServeChild(std::shared_ptr<beast::tcp_stream> stream) {
  beast::flat_buffer buffer;
  while (true) {
    error_code ec;
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxMessageBytes);
    stream->expires_after(kMaxWait);
    co_await ReadMessage(*stream, buffer, parser, ec);
    if (ec)
      break;
    http::response<http::string_body> response(http::status::ok, 11);
    try {
      const boot_time arrived_at = boot_clock::now();
      const sync_request request = DecodeRequest(parser.get().body());
      HandleSyncRequest(request);
      co_await WaitForChanges(request);
      response.body() = EncodeResponse(MakeResponse(request, arrived_at));
    } catch (const protocol_error& e) {
      LogEvent(log_level::kWarning, "peer-message-unreadable",
               {{"problem", e.problem()}, {"remedy", e.remedy()}});
      response.result(http::status::bad_request);
    }
    response.prepare_payload();
    stream->expires_after(kMaxWait);
    co_await http::async_write(*stream, response, Resume(ec));
    if (ec)
      break;
  }
  stream->close();
}

void fleet_duty::impl::HandleSyncRequest(const sync_request& request) {
  const time_point now = std::chrono::steady_clock::now();
  directory_.RecordContact(request.self, now);
  if (request.is_inquiry)
    return;
  children_[request.self.name] = {request.self, request.descendants, now};
  pools_.RecordChild(request.self.name, request.pools, now);
  // Updates of a child prove nothing: its clock is not this host's.
  HandleUpdates(request.updates, std::nullopt);
  StartPushToParent();
  if (!request.counters.empty())
    callbacks_.on_counters(request.counters);
  for (const crash_event& event : request.crash_events)
    AddCrashEvent(event, false);
  PassUsage(request.usage);
  UpdateLiveHosts();
}

bool fleet_duty::impl::HasChangesFor(const sync_request& request) const {
  if (request.hosts_version != hosts_version_ ||
      request.stages_version != stages_version_ ||
      request.events_version < events_version_)
    return true;
  for (std::size_t i = 0; i < kStreams; ++i)
    if (!updates_.UpdatesSince(kAllStreams[i], request.end_offsets[i]).empty())
      return true;
  return false;
}

task<> fleet_duty::impl::WaitForChanges(const sync_request& request) {
  const time_point deadline =
      std::chrono::steady_clock::now() + std::min(request.max_wait, kMaxWait);
  asio::steady_timer timer(io_, deadline);
  timer.async_wait([this](error_code ec) {
    if (!ec)
      WakeWaiters();
  });
  const std::uint64_t refresh_count = refresh_count_;
  while (!HasChangesFor(request) && refresh_count == refresh_count_ &&
         std::chrono::steady_clock::now() < deadline) {
    error_code ec;
    co_await changed_.async_wait(Resume(ec));
  }
}

sync_response fleet_duty::impl::MakeResponse(const sync_request& request,
                                             boot_time arrived_at) {
  sync_response response;
  response.self = settings_.self;
  if (request.hosts_version != hosts_version_)
    response.hosts = live_hosts_;
  response.hosts_version = hosts_version_;
  if (request.is_inquiry)
    return response;
  const time_point now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kStreams; ++i) {
    response.updates[i] =
        UpdatesSince(kAllStreams[i], request.end_offsets[i], now);
    response.updates[i].proof =
        ProofDifference(updates_.proven_at(kAllStreams[i]), arrived_at);
  }
  if (request.stages_version != stages_version_)
    response.stages = stages_;
  response.stages_version = stages_version_;
  response.crash_events = CrashEventsSince(request.events_version);
  response.events_version = events_version_;
  response.leader_token = leader_token_;
  response.held =
      std::chrono::floor<milliseconds>(boot_clock::now() - arrived_at);
  response.pools =
      pools_.RowsFor(request.self.name, pools_.Totals(is_root_, now), now);
  return response;
}

stream_updates fleet_duty::impl::UpdatesSince(stream source,
                                              log_offset end_offset,
                                              time_point now) const {
  stream_updates updates{updates_.UpdatesSince(source, end_offset),
                         updates_.end_offset(source),
                         {}};
  if (updates_.complete_at(source) != time_point())
    updates.age = std::chrono::duration_cast<milliseconds>(
        now - updates_.complete_at(source));
  return updates;
}

void fleet_duty::impl::HandleUpdates(
    const std::array<stream_updates, kStreams>& updates,
    std::optional<boot_time> requested_at) {
  const time_point now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kStreams; ++i) {
    const stream_updates& stream = updates[i];
    if (!stream.age)
      continue;
    update_batch batch{kAllStreams[i], stream.updates, stream.end_offset,
                       now - *stream.age, ProvenAt(requested_at, stream.proof)};
    ApplyUpdates(batch);
    callbacks_.on_updates(std::move(batch));
  }
}

std::vector<host_info> fleet_duty::impl::LiveDescendants() {
  const time_point now = std::chrono::steady_clock::now();
  std::erase_if(children_, [&](const auto& entry) {
    return entry.second.last_seen + Scaled(kChildTimeout) < now;
  });
  std::map<member_id, host_info> live;
  for (const auto& [name, host] : children_) {
    live[name] = host.info;
    for (const host_info& descendant : host.descendants)
      live.emplace(descendant.name, descendant);
  }
  live.erase(settings_.self.name);
  std::vector<host_info> result;
  result.reserve(live.size());
  for (auto& [name, info] : live)
    result.push_back(std::move(info));
  return result;
}

void fleet_duty::impl::UpdateLiveHosts() {
  if (!is_root_)
    return;
  std::vector<host_info> live = LiveDescendants();
  live.push_back(settings_.self);
  std::sort(live.begin(), live.end(), Precedes);
  SetLiveHosts(std::move(live));
}

void fleet_duty::impl::SetLiveHosts(std::vector<host_info> hosts) {
  const time_point now = std::chrono::steady_clock::now();
  for (const host_info& host : hosts)
    directory_.RecordListed(host, now);
  if (hosts == live_hosts_ && hosts_version_ != 0)
    return;
  live_hosts_ = std::move(hosts);
  hosts_version_ = VersionOf(live_hosts_);
  LogEvent(log_level::kInfo, "hosts-live",
           {{"count", fmt::format("{}", live_hosts_.size())}});
  callbacks_.on_hosts_changed(live_hosts_);
  WakeWaiters();
}

}  // namespace dotterellead::fleet
