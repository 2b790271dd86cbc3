// The callers of the soak, and what they are owed.
#include <fmt/core.h>
#include <sys/socket.h>

#include "soak_world.h"

namespace dotterellead::soak {

namespace {

// A call that no server got may be cut this long after it was sent: it crossed
// the close of its connection.
constexpr milliseconds kCrossingTime{200};
// A request that was sent this late after SIGTERM is not excused by a server
// that is still at work when the host ends.
constexpr milliseconds kExcusedAfterStop{3'000};
// Connections are reused if they have been idle for less than this part of the
// callers' idle limit.
constexpr double kReusedIdleFraction = 0.8;
constexpr milliseconds kIdleLimit{10'000};

std::int64_t MillisBetween(time_point from, time_point to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

// Whether the other end has neither closed the idle connection nor reset it.
bool IsOpen(beast::tcp_stream& stream) {
  char byte = 0;
  return ::recv(stream.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

task<> soak_world::CallLoop() {
  std::exponential_distribution<double> gap(settings_.calls_per_second);
  while (std::chrono::steady_clock::now() + kPatience < ends_) {
    asio::co_spawn(io_, MakeCall(), asio::detached);
    co_await Sleep(
        io_, milliseconds(1 + static_cast<int>(1000 * gap(caller_random_))));
  }
}

// Callers that keep their connection use it until it is closed.
std::shared_ptr<soak_caller> soak_world::TakeCaller() {
  std::shared_ptr<soak_caller> caller;
  if (!idle_callers_.empty() && caller_random_() % 4 != 0) {
    const std::size_t at = caller_random_() % idle_callers_.size();
    caller = idle_callers_[at];
    idle_callers_.erase(idle_callers_.begin() +
                        static_cast<std::ptrdiff_t>(at));
  } else {
    caller = std::make_shared<soak_caller>();
    caller->data_centre = DataCentreOf(caller_random_() % hosts_.size());
    caller->keeps_connection = caller_random_() % 2 == 0;
  }
  const bool is_usable = caller->stream && IsOpen(*caller->stream) &&
                         std::chrono::steady_clock::now() - caller->last_use <
                             std::chrono::duration_cast<time_point::duration>(
                                 kIdleLimit * kReusedIdleFraction);
  if (!is_usable)
    caller->stream.reset();
  return caller;
}

task<bool> soak_world::OpenConnection(std::shared_ptr<soak_caller> caller) {
  caller->host = balancer_->Choose(caller->data_centre, caller_random_());
  caller->stream = std::make_shared<beast::tcp_stream>(io_);
  caller->buffer.clear();
  caller->stream->expires_after(kPatience + kSlack);
  const tcp::endpoint front = Loopback(hosts_[caller->host].front);
  error_code ec;
  co_await caller->stream->async_connect(front, Resume(ec));
  co_return !ec;
}

task<> soak_world::MakeCall() {
  std::shared_ptr<soak_caller> caller = TakeCaller();
  call_record call;
  call.id = fmt::format("c{}-{}", settings_.seed, ++calls_);
  call.is_once = caller_random_() % 2 == 0;
  call.is_reused = caller->stream != nullptr;
  if (call.is_once)
    once_ids_.push_back(call.id);
  call.sent = std::chrono::steady_clock::now();
  call_times_[call.is_once ? 1 : 0].push_back(call.sent);
  const bool is_at_end = call.sent > heal_at_ + kRecoverTime;
  calls_at_end_ += is_at_end ? 1 : 0;
  bool is_connected = call.is_reused;
  if (!is_connected)
    is_connected = co_await OpenConnection(caller);
  call.host = caller->host;
  answer_message answer;
  error_code ec;
  if (is_connected) {
    caller->stream->expires_after(kPatience + kSlack);
    const request_message request = MakeRequest(call);
    co_await http::async_write(*caller->stream, request, Resume(ec));
    call.is_written = !ec;
    if (!ec)
      co_await http::async_read(*caller->stream, caller->buffer, answer,
                                Resume(ec));
  }
  call.ended = std::chrono::steady_clock::now();
  if (ec || !is_connected) {
    call.problem = is_connected ? ec.message() : "cannot connect";
    JudgeUnanswered(call);
    co_return;
  }
  caller->last_use = call.ended;
  call.status = static_cast<int>(answer.result_int());
  served_ += call.status == 200 ? 1 : 0;
  served_at_end_ += is_at_end && call.status == 200 ? 1 : 0;
  Check(call, answer);
  if (caller->keeps_connection && answer.keep_alive())
    idle_callers_.push_back(std::move(caller));
}

request_message soak_world::MakeRequest(const call_record& call) const {
  request_message request(call.is_once ? http::verb::post : http::verb::get,
                          call.is_once ? "/pay/1" : "/read/1", 11);
  request.set(http::field::host, "h.example");
  request.set("Attempt-Id", call.id);
  request.set("Soak-Host", hosts_[call.host].name);
  request.set("Request-Deadline-Ms", std::to_string(kPatience.count()));
  if (call.is_once)
    request.body() = "amount=1";
  request.prepare_payload();
  return request;
}

void soak_world::JudgeUnanswered(const call_record& call) {
  const entry_process& host = hosts_[call.host];
  // A host that was calm all the while owes an answer.
  if (host.calm_at + kContactWindow < call.sent && !host.is_stopped) {
    broken_.push_back(fmt::format("{} got no answer from calm {}: {}", call.id,
                                  host.name, call.problem));
    return;
  }
  if (!call.is_written || !IsQuietSince(call.sent))
    return;
  const bool has_arrived = log_.arrivals.contains(call.id);
  const bool is_crossing =
      !has_arrived && call.ended < call.sent + kCrossingTime;
  const bool is_excused = call.sent < host.stopped_at + kExcusedAfterStop &&
                          call.ended >= host.stopped_at + kGrace * 5 / 6 &&
                          call.ended < host.stopped_at + kGrace + kSlack;
  if (is_crossing || is_excused)
    return;
  broken_.push_back(fmt::format(
      "{} got no answer from {}: {}, {} ms after it was sent, {} ms after "
      "SIGTERM, {} at a server",
      call.id, host.name, call.problem, MillisBetween(call.sent, call.ended),
      MillisBetween(host.stopped_at, call.ended),
      has_arrived ? "was" : "was not"));
}

void soak_world::Check(const call_record& call, const answer_message& answer) {
  if (call.status == 503 || call.status == 429 || call.status == 408)
    not_run_ids_.push_back(call.id);
  if (call.status == 404)
    broken_.push_back(call.id + " got 404 for a route that always was there");
  if (call.status != 200)
    return;
  if (answer.body() != "answer to " + call.id ||
      Text(answer, "Response-Signature") != "proof-" + call.id)
    broken_.push_back(call.id + " got another request's answer");
  // The configuration in force, where host and store have been calm.
  const bool is_judged = call.is_once &&
                         hosts_[call.host].calm_at < call.sent &&
                         store_calm_at_ < call.sent &&
                         config_at_ + kConfigBound + kSlack < call.sent;
  if (is_judged &&
      log_.pool_of[call.id] != (is_second_pool_ ? "second" : "first"))
    broken_.push_back(fmt::format("{} ran in pool {} by an old configuration",
                                  call.id, log_.pool_of[call.id]));
}

// A host that was started or paused since it was told is excused.
void soak_world::JudgeNotice(const std::string& host,
                             time_point since,
                             const std::string& what) {
  for (const entry_process& entry : hosts_)
    if (entry.name == host && entry.calm_at < since && !entry.is_stopped)
      broken_.push_back(fmt::format("{} sent a request though {}", host, what));
}

// Over all hosts, in any window, servers of a pool get no more repeats than the
// ratio of the calls to it and the allowance permit.
void soak_world::CheckRepeats() {
  for (const auto& [pool, repeats] : log_.repeats)
    for (std::size_t last = 0; last < repeats.size(); ++last) {
      const time_point ends = repeats[last];
      const auto first = std::upper_bound(repeats.begin(), repeats.end(),
                                          ends - kRepeatWindow);
      const auto count = static_cast<double>(last + 1) -
                         static_cast<double>(first - repeats.begin());
      const double allowed =
          kRepeatRatio * static_cast<double>(CallsInWindow(pool, ends)) +
          settings_.repeat_allowance;
      most_repeats_ = std::max(most_repeats_, count / allowed);
      if (count <= allowed)
        continue;
      broken_.push_back(
          fmt::format("pool {} got {} repeats in {} s, allowed {:.1f}", pool,
                      count, kRepeatWindow.count() / 1'000, allowed));
      break;
    }
}

// Calls on the routes to a pool, in the window that ends at a time or in the
// one before it, whichever has more. One route may lead to either pool.
std::size_t soak_world::CallsInWindow(const std::string& pool,
                                      time_point ends) const {
  std::size_t most = 0;
  for (const auto shift :
       {kRepeatWindow * 0, kRepeatWindow / 2, kRepeatWindow}) {
    std::size_t count = 0;
    for (std::size_t route = pool == "first" ? 0 : 1; route < 2; ++route)
      count += static_cast<std::size_t>(std::count_if(
          call_times_[route].begin(), call_times_[route].end(),
          [&](time_point t) {
            return t > ends - shift - kRepeatWindow && t <= ends - shift;
          }));
    most = std::max(most, count);
  }
  return most;
}

}  // namespace dotterellead::soak
