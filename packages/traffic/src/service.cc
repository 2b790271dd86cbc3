#include "service_impl.h"

namespace dotterellead::traffic {

namespace {

// Commands of the dispatcher that wait for the event loop: those of a quarter
// of a second at 100 calls a second, ten commands each.
constexpr std::size_t kCommandRing = 256;
constexpr milliseconds kSweepInterval{2'000};
// Once two servers have answered, the others get as long again, and at least
// this; a late sample is worth less than the time spent waiting for it.
constexpr milliseconds kLeastExtraWait{3};
constexpr std::size_t kEnoughSamples = 2;

}  // namespace

// The probes of one take_samples.
struct sample_group {
  sample_group(asio::io_context& io, request_id id) : call(id), done(io) {}
  request_id call;
  std::size_t asked = 0;
  std::vector<dispatch::load_sample> samples;
  std::size_t reachable = 0;
  time_point started = std::chrono::steady_clock::now();
  bool is_closed = false;
  asio::steady_timer done;
};

traffic_service::impl::impl(traffic_settings settings, to_dispatcher post)
    : settings_(std::move(settings)),
      post_(std::move(post)),
      commands_(io_, "traffic", kCommandRing, [this](command& c) {
        Apply(c);
      }) {}

traffic_service::impl::~impl() {
  Stop();
}

void traffic_service::impl::Start() {
  front_ = Listen(settings_.front, "front");
  ready_ = Listen(settings_.ready, "ready");
  asio::co_spawn(io_, AcceptCallers(), asio::detached);
  asio::co_spawn(io_, AcceptChecks(ready_, [this] { return ReadyAnswer(); }),
                 asio::detached);
  if (settings_.metrics.is_valid()) {
    metrics_ = Listen(settings_.metrics, "metrics");
    asio::co_spawn(io_,
                   AcceptChecks(metrics_,
                                [this] {
                                  return OwnAnswer(http::status::ok,
                                                   settings_.metrics_text(), {},
                                                   true);
                                }),
                   asio::detached);
  }
  asio::co_spawn(io_, Sweep(), asio::detached);
  loop_.Start("traffic");
}

void traffic_service::impl::Stop() {
  commands_.Close();
  loop_.Stop();
}

void traffic_service::impl::Apply(command& c) {
  std::visit(
      overloaded{
          [this](dispatch::dispatcher::effect& effect) {
            std::visit(
                [this](auto& typed) {
                  if constexpr (requires { On(typed); })
                    On(typed);
                },
                effect);
          },
          [this](limits_changed& changed) { limits_ = changed.limits; },
          [this](drain_started&) {
            is_draining_ = true;
            for (auto& [stream, weak] : idle_callers_)
              if (auto idle = weak.lock())
                idle->cancel();
          },
          [this](front_closed&) {
            error_code ignored;  // A closed acceptor may be closed again.
            front_.close(ignored);
          }},
      c);
}

void traffic_service::impl::On(dispatch::probe_servers& e) {
  auto group = std::make_shared<sample_group>(io_, e.request);
  group->asked = e.servers.size();
  asio::co_spawn(io_, CollectSamples(group, e.timeout), asio::detached);
  for (const dispatch::server_ref& server : e.servers)
    asio::co_spawn(io_, RunProbe(group, server, e.timeout), asio::detached);
}

task<> traffic_service::impl::RunProbe(std::shared_ptr<sample_group> group,
                                       dispatch::server_ref server,
                                       milliseconds limit) {
  ++probes_;
  dispatch::load_sample sample =
      co_await Probe(links_, settings_.headers, server, limit);
  if (group->is_closed)
    co_return;
  sample.latency = std::chrono::duration_cast<microseconds>(
      std::chrono::steady_clock::now() - group->started);
  group->samples.push_back(sample);
  if (sample.result == dispatch::probe_result::kHealthy)
    ++group->reachable;
  if (group->samples.size() == group->asked)
    group->done.expires_after(milliseconds(0));
  else if (group->reachable == kEnoughSamples) {
    const auto spent = std::chrono::steady_clock::now() - group->started;
    group->done.expires_after(
        std::max<time_point::duration>(spent, kLeastExtraWait));
  }
}

task<> traffic_service::impl::CollectSamples(
    std::shared_ptr<sample_group> group,
    milliseconds limit) {
  group->done.expires_after(limit);
  error_code ec;
  // Changing the expiry cancels the wait, and it starts again.
  do {
    ec = {};
    co_await group->done.async_wait(Resume(ec));
  } while (ec == asio::error::operation_aborted);
  group->is_closed = true;
  post_(dispatch::probes_completed{group->call, std::move(group->samples)});
}

void traffic_service::impl::On(dispatch::send_attempt& e) {
  auto it = calls_.find(e.request);
  if (it == calls_.end())
    return;
  asio::co_spawn(io_, RunAttempt(it->second, std::move(e)), asio::detached);
}

task<> traffic_service::impl::RunAttempt(call_ptr call,
                                         dispatch::send_attempt attempt) {
  auto handle = std::make_shared<exchange_handle>();
  call->attempt = handle;
  const time_point start = std::chrono::steady_clock::now();
  auto request = std::make_shared<const request_message>(
      ForServer(*call->request, call->path, settings_.headers, attempt));
  exchange_result result =
      co_await Exchange(links_, settings_.headers, attempt.server, request,
                        attempt.timeout, handle);
  server_connections_ = links_.connections_made();
  if (handle->is_cancelled)
    co_return;
  const auto taken = std::chrono::duration_cast<microseconds>(
      std::chrono::steady_clock::now() - start);
  if (result.result == dispatch::attempt_result::kResponded)
    call->server_answer = std::move(result.answer);
  post_(dispatch::attempt_ended{attempt.request, attempt.server.id,
                                result.result, result.status, taken,
                                result.load});
}

void traffic_service::impl::On(dispatch::deliver_response& e) {
  auto it = calls_.find(e.request);
  if (it == calls_.end() || !it->second->server_answer)
    return;
  ++delivered_;
  Finish(e.request, std::move(*it->second->server_answer));
}

void traffic_service::impl::On(dispatch::reject_request& e) {
  ++rejected_;
  Finish(e.request, OwnAnswer(StatusOf(e.reason), to_string(e.reason),
                              e.retry_after, true));
}

void traffic_service::impl::On(dispatch::cancel_request& e) {
  ++rejected_;
  Finish(e.request, OwnAnswer(http::status::bad_gateway, "dropped", {}, false));
}

void traffic_service::impl::Finish(request_id id, answer_message answer) {
  auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  call_ptr call = std::move(it->second);
  calls_.erase(it);
  open_calls_ = calls_.size();
  if (call->attempt)
    call->attempt->Cancel();
  call->answer = std::move(answer);
  call->is_over = true;
  call->is_finished.cancel();
}

task<> traffic_service::impl::Sweep() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(kSweepInterval);
    error_code ec;
    co_await timer.async_wait(Resume(ec));
    if (ec)
      co_return;
    links_.CloseStale();
  }
}

traffic_counts traffic_service::impl::counts() const {
  return {requests_,           delivered_,    rejected_,  probes_,
          server_connections_, open_callers_, open_calls_};
}

// ---- The public face

traffic_service::traffic_service(traffic_settings settings, to_dispatcher post)
    : impl_(std::make_unique<impl>(std::move(settings), std::move(post))) {}
traffic_service::~traffic_service() = default;

void traffic_service::Start() {
  impl_->Start();
}
void traffic_service::Stop() {
  impl_->Stop();
}
void traffic_service::Carry(dispatch::dispatcher::effect effect) {
  impl_->Push(std::move(effect));
}
void traffic_service::SetLimits(const catalog::caller_limits& limits) {
  impl_->Push(limits_changed{limits});
}
void traffic_service::SetReady(bool is_ready) {
  impl_->SetReady(is_ready);
}
void traffic_service::StartDrain() {
  impl_->Push(drain_started{});
}
void traffic_service::CloseFront() {
  impl_->Push(front_closed{});
}
traffic_counts traffic_service::counts() const {
  return impl_->counts();
}

}  // namespace dotterellead::traffic
