#include "service_impl.h"

namespace dotterellead::traffic {

namespace {

// Holds the commands of a quarter of a second at 100 requests per second with
// ten commands each.
constexpr std::size_t kCommandRingCapacity = 256;
constexpr milliseconds kStaleCheckInterval{2'000};
// After this many healthy responses the other servers get as much time again as
// has passed, and at least this long: a late sample is worth less than the time
// spent waiting for it.
constexpr milliseconds kMinExtraProbeWait{3};
constexpr std::size_t kSufficientSamples = 2;

}  // namespace

// The probes of one probe_servers effect.
struct probe_group {
  probe_group(asio::io_context& io, request_id id) : request(id), done(io) {}
  request_id request;
  std::size_t probe_count = 0;
  std::vector<dispatch::load_sample> samples;
  std::size_t healthy_count = 0;
  time_point started = std::chrono::steady_clock::now();
  bool is_closed = false;
  asio::steady_timer done;
};

traffic_service::impl::impl(traffic_settings settings, to_dispatcher post)
    : settings_(std::move(settings)),
      post_(std::move(post)),
      commands_(io_, "traffic", kCommandRingCapacity, [this](command& c) {
        HandleCommand(c);
      }) {}

traffic_service::impl::~impl() {
  Stop();
}

void traffic_service::impl::Start() {
  front_acceptor_ = Listen(settings_.front_address, "front");
  ready_acceptor_ = Listen(settings_.ready_address, "ready");
  is_accepting_ = true;
  SpawnLoop(io_, "traffic-accept", [this] { return AcceptCallers(); });
  SpawnLoop(io_, "traffic-ready", [this] {
    return AcceptAuxiliary(ready_acceptor_, [this] { return ReadyResponse(); });
  });
  if (settings_.metrics_address.is_valid()) {
    metrics_acceptor_ = Listen(settings_.metrics_address, "metrics");
    SpawnLoop(io_, "traffic-metrics", [this] {
      return AcceptAuxiliary(metrics_acceptor_, [this] {
        return MakeOwnResponse(http::status::ok, settings_.metrics_text(), {},
                               true);
      });
    });
  }
  SpawnLoop(io_, "traffic-stale", [this] { return CloseStaleConnections(); });
  loop_.Start("traffic");
}

void traffic_service::impl::Stop() {
  commands_.Close();
  loop_.Stop();
}

void traffic_service::impl::HandleCommand(command& c) {
  std::visit(
      overloaded{[this](dispatch::dispatcher::effect& effect) {
                   std::visit(
                       [this](auto& typed) {
                         if constexpr (requires { On(typed); })
                           On(typed);
                       },
                       effect);
                 },
                 [this](set_limits& changed) { ApplyLimits(changed.limits); },
                 [this](start_drain&) {
                   is_draining_ = true;
                   CloseIdleCallers();
                 },
                 [this](stop_accepting&) { StopAccepting(); }},
      c);
}

void traffic_service::impl::On(dispatch::probe_servers& e) {
  auto group = std::make_shared<probe_group>(io_, e.request);
  group->probe_count = e.servers.size();
  Spawn(io_, "traffic-probes", CollectProbes(group, e.timeout));
  for (const dispatch::server_ref& server : e.servers)
    Spawn(io_, "traffic-probe", RunProbe(group, server, e.timeout));
}

task<> traffic_service::impl::RunProbe(std::shared_ptr<probe_group> group,
                                       dispatch::server_ref server,
                                       milliseconds timeout) {
  ++probe_count_;
  dispatch::load_sample sample =
      co_await ProbeServer(exchanges_, server, timeout);
  if (group->is_closed)
    co_return;
  sample.latency = std::chrono::duration_cast<microseconds>(
      std::chrono::steady_clock::now() - group->started);
  group->samples.push_back(sample);
  if (sample.result == dispatch::probe_result::kHealthy)
    ++group->healthy_count;
  if (group->samples.size() == group->probe_count)
    group->done.expires_after(milliseconds(0));
  else if (group->healthy_count == kSufficientSamples) {
    const auto elapsed = std::chrono::steady_clock::now() - group->started;
    group->done.expires_after(
        std::max<time_point::duration>(elapsed, kMinExtraProbeWait));
  }
}

task<> traffic_service::impl::CollectProbes(std::shared_ptr<probe_group> group,
                                            milliseconds timeout) {
  group->done.expires_after(timeout);
  error_code ec;
  // Changing the expiry cancels the wait, which is then restarted.
  do {
    ec = {};
    co_await group->done.async_wait(Resume(ec));
  } while (ec == asio::error::operation_aborted);
  group->is_closed = true;
  post_(dispatch::probes_completed{group->request, std::move(group->samples)});
}

void traffic_service::impl::On(dispatch::send_attempt& e) {
  auto it = open_requests_.find(e.request);
  if (it == open_requests_.end())
    return;
  auto& attempts = it->second->attempts;
  // The one before may have ended while the dispatcher sent this one, and may
  // still be delivered.
  std::erase_if(attempts, [&](const auto& entry) {
    return entry.second.exchange == nullptr &&
           entry.first + 1 < e.attempt_number;
  });
  // The coroutine starts later; the attempt can be cancelled before that.
  auto handle = std::make_shared<exchange_handle>();
  attempts[e.attempt_number].exchange = handle;
  Spawn(io_, "traffic-attempt",
        RunAttempt(it->second, std::move(e), std::move(handle)));
}

task<> traffic_service::impl::RunAttempt(
    open_request_ptr open,
    dispatch::send_attempt attempt,
    std::shared_ptr<exchange_handle> handle) {
  if (handle->is_cancelled)
    co_return;
  // This process may have been frozen since the decision, or the caller has
  // disconnected and the dispatcher has not processed that yet.
  const bool is_late =
      attempt.not_after && boot_clock::now() >= *attempt.not_after;
  if (is_late || open->is_finished) {
    open->attempts.erase(attempt.attempt_number);
    post_(dispatch::attempt_ended{attempt.request, attempt.server.id,
                                  dispatch::attempt_result::kNotSent});
    co_return;
  }
  const time_point started = std::chrono::steady_clock::now();
  auto request = std::make_shared<const request_message>(MakeServerRequest(
      *open->request, open->path, settings_.headers, attempt));
  exchange_result result = co_await ExchangeRequest(
      exchanges_, attempt.server, request, attempt.timeout, handle);
  server_connection_count_ = server_connections_.connect_count();
  UpdateBudgetCounters();
  if (handle->is_cancelled)
    co_return;
  const auto latency = std::chrono::duration_cast<microseconds>(
      std::chrono::steady_clock::now() - started);
  open_attempt& ended = open->attempts[attempt.attempt_number];
  ended.exchange = nullptr;
  if (result.result == dispatch::attempt_result::kResponded)
    ended.response = caller_response{std::move(result.response),
                                     std::move(result.reservation)};
  post_(dispatch::attempt_ended{attempt.request, attempt.server.id,
                                result.result, result.status, latency,
                                result.load});
}

void traffic_service::impl::On(dispatch::cancel_attempt& e) {
  auto it = open_requests_.find(e.request);
  if (it == open_requests_.end())
    return;
  const auto attempt = it->second->attempts.find(e.attempt_number);
  if (attempt == it->second->attempts.end())
    return;
  if (attempt->second.exchange)
    attempt->second.exchange->Cancel();
  it->second->attempts.erase(attempt);
}

void traffic_service::impl::On(dispatch::deliver_response& e) {
  auto it = open_requests_.find(e.request);
  if (it == open_requests_.end())
    return;
  const auto attempt = it->second->attempts.find(e.attempt_number);
  if (attempt == it->second->attempts.end() || !attempt->second.response)
    return;
  ++delivered_count_;
  Finish(e.request, std::move(*attempt->second.response));
}

void traffic_service::impl::On(dispatch::reject_request& e) {
  ++rejected_count_;
  Finish(e.request, {MakeOwnResponse(StatusOf(e.reason), to_string(e.reason),
                                     e.retry_after, true)});
}

void traffic_service::impl::On(dispatch::cancel_request& e) {
  ++rejected_count_;
  Finish(e.request,
         {MakeOwnResponse(http::status::bad_gateway, "dropped", {}, false),
          {},
          true});
}

void traffic_service::impl::On(dispatch::close_connections& e) {
  server_connections_.CloseConnections(e.address);
}

void traffic_service::impl::Finish(request_id id, caller_response response) {
  auto it = open_requests_.find(id);
  if (it == open_requests_.end())
    return;
  open_request_ptr open = std::move(it->second);
  open_requests_.erase(it);
  open_request_count_ = open_requests_.size();
  for (auto& [number, attempt] : open->attempts)
    if (attempt.exchange)
      attempt.exchange->Cancel();
  open->response = std::move(response);
  open->is_finished = true;
  open->finished.cancel();
}

task<> traffic_service::impl::CloseStaleConnections() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(kStaleCheckInterval);
    error_code ec;
    co_await timer.async_wait(Resume(ec));
    if (ec)
      co_return;
    server_connections_.CloseStale();
    UpdateBudgetCounters();
  }
}

void traffic_service::impl::UpdateBudgetCounters() {
  buffered_response_bytes_ = budget_.used_by_responses().value;
  held_bytes_ = budget_.used().value;
  evicted_count_ = budget_.evicted_count();
}

traffic_counters traffic_service::impl::counters() const {
  return {
      request_count_,      delivered_count_,         rejected_count_,
      probe_count_,        server_connection_count_, buffered_response_bytes_,
      open_caller_count_,  open_request_count_,      is_accepting_,
      held_bytes_,         memory_reject_count_,     evicted_count_,
      closed_caller_count_};
}

// ---- Public interface

traffic_service::traffic_service(traffic_settings settings, to_dispatcher post)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(post))) {}
traffic_service::~traffic_service() = default;

void traffic_service::Start() {
  impl_->Start();
}
void traffic_service::Stop() {
  impl_->Stop();
}
void traffic_service::Execute(dispatch::dispatcher::effect effect) {
  impl_->Push(std::move(effect));
}
void traffic_service::SetLimits(const catalog::caller_limits& limits) {
  impl_->Push(set_limits{limits});
}
void traffic_service::SetReady(bool is_ready) {
  impl_->SetReady(is_ready);
}
void traffic_service::StartDrain() {
  impl_->Push(start_drain{});
}
void traffic_service::StopAccepting() {
  impl_->Push(stop_accepting{});
}
traffic_counters traffic_service::counters() const {
  return impl_->counters();
}

}  // namespace dotterellead::traffic
