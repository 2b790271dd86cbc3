#include "server_standin.h"

#include <fmt/core.h>

namespace dotterellead::soak {

namespace {

constexpr int kSlots = 2;
constexpr int kQueue = 4;
constexpr milliseconds kWork{60};
// One in so many requests takes longer.
constexpr std::size_t kLongWorkEvery = 12;
constexpr milliseconds kLongWork{600};
constexpr int kSlowFactor = 6;
// The operators' bound on requests to a leaving server, and time for a request
// that is on its way or waits at the server.
constexpr milliseconds kLeavingBound{2'000 + 1'000};
// The operators' bound on what reaches a server that has told a host to wait,
// and time for requests that were on their way, also over a slow link.
constexpr int kMaxWhileBusy = 2;
constexpr milliseconds kOnTheWay{500};

}  // namespace

server_standin::server_standin(asio::io_context& io,
                               std::string id,
                               std::string pool,
                               int port,
                               run_log& log,
                               notice_judge judge)
    : io_(io),
      id_(std::move(id)),
      pool_(std::move(pool)),
      port_(port),
      log_(log),
      judge_(std::move(judge)),
      acceptor_(io) {
  Restart();
}

void server_standin::Restart() {
  if (acceptor_.is_open())
    return;
  ++life_;
  born_ = std::chrono::duration_cast<milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  running_ = 0;
  waiting_ = 0;
  leaving_since_ = time_point();
  asks_until_ = time_point();
  told_.clear();
  OpenAcceptor(acceptor_, port_);
  asio::co_spawn(io_,
                 AcceptOn(io_, acceptor_,
                          [this](stream_ptr s) { return Serve(std::move(s)); }),
                 asio::detached);
}

void server_standin::Crash() {
  error_code ignored;  // A server that is down may crash again.
  acceptor_.close(ignored);
  ++life_;
}

std::string server_standin::Load() const {
  return fmt::format("{},{},{},{}", running_, waiting_, kSlots,
                     is_slow_ ? 100 * kSlowFactor : 100);
}

task<> server_standin::Serve(stream_ptr stream) {
  const std::uint64_t life = life_;
  beast::flat_buffer buffer;
  error_code ec;
  while (life == life_) {
    request_message request;
    stream->expires_after(std::chrono::seconds(10));
    co_await http::async_read(*stream, buffer, request, Resume(ec));
    if (ec || life != life_)
      break;
    bool is_lost = false;
    answer_message answer = co_await Answer(request, life, is_lost);
    if (is_lost || life != life_)
      break;
    answer.set("Instance-Id", id_);
    answer.set("Instance-Load", Load());
    if (answer.result() != http::status::misdirected_request)
      AddNotices(Text(request, "Soak-Host"), answer);
    answer.prepare_payload();
    co_await http::async_write(*stream, answer, Resume(ec));
    if (ec)
      break;
  }
  stream->close();
}

void server_standin::JudgeArrival(const std::string& host) {
  told_host& told = told_[host];
  const time_point now = std::chrono::steady_clock::now();
  if (told.leaving_since && now > *told.leaving_since + kOnTheWay)
    judge_(host, *told.leaving_since, id_ + " had told it that it leaves");
  if (now > told.busy_from + kOnTheWay && now < told.busy_until &&
      ++told.requests_while_busy > kMaxWhileBusy)
    judge_(host, told.busy_from, id_ + " had told it to wait");
}

void server_standin::AddNotices(const std::string& host,
                                answer_message& answer) {
  const time_point now = std::chrono::steady_clock::now();
  // A health check does not say which host it comes from.
  told_host unknown;
  told_host& told = host.empty() ? unknown : told_[host];
  if (is_leaving()) {
    answer.set("Server-Leaving", "1");
    told.leaving_since = told.leaving_since.value_or(now);
  }
  if (answer.result() != http::status::service_unavailable ||
      now >= asks_until_)
    return;
  answer.set(
      "Retry-After",
      fmt::format("{:.3f}", static_cast<double>(asked_time_.count()) / 1'000));
  if (now >= told.busy_until) {
    told.busy_from = now;
    told.requests_while_busy = 0;
  }
  told.busy_until = now + asked_time_;
}

task<answer_message> server_standin::Answer(const request_message& request,
                                            std::uint64_t life,
                                            bool& is_lost) {
  answer_message answer(http::status::ok, 11);
  const std::string expected = Text(request, "Expect-Instance");
  if (!expected.empty() && expected != id_) {
    answer.result(http::status::misdirected_request);
    co_return answer;
  }
  if (request.target() == "/health") {
    if (is_leaving_reported())
      answer.result(http::status::service_unavailable);
    co_return answer;
  }
  JudgeArrival(Text(request, "Soak-Host"));
  const std::string id = Text(request, "Attempt-Id");
  if (++log_.arrivals[id] > 1)
    log_.repeats[pool_].push_back(std::chrono::steady_clock::now());
  const bool is_shed = sheds_ && ++shed_count_ % 3 != 0;
  if (is_shed || running_ + waiting_ >= kSlots + kQueue ||
      std::chrono::steady_clock::now() < asks_until_) {
    answer.result(http::status::service_unavailable);
    answer.set("Not-Executed", "1");
    co_return answer;
  }
  ++waiting_;
  while (running_ >= kSlots && life == life_)
    co_await Sleep(io_, milliseconds(2));
  if (life != life_)
    co_return answer;
  --waiting_;
  ++running_;
  ++log_.runs[id];
  log_.pool_of[id] = pool_;
  const time_point now = std::chrono::steady_clock::now();
  if (is_leaving_reported() && now > leaving_since_ + kLeavingBound)
    ++log_.after_leaving;
  const milliseconds work =
      StableHash(id) % kLongWorkEvery == 0 ? kLongWork : kWork;
  co_await Sleep(io_, is_slow_ ? work * kSlowFactor : work);
  if (life != life_)
    co_return answer;
  --running_;
  is_lost = loses_answers_ && log_.runs.size() % 3 == 0;
  answer.set("Attempt-Id", id);
  answer.set("Response-Signature", "proof-" + id);
  answer.body() = "answer to " + id;
  // Callers may ask for a larger answer.
  const std::string size = Text(request, "Soak-Answer-Bytes");
  if (!size.empty())
    answer.body().resize(std::stoul(size), '.');
  co_return answer;
}

}  // namespace dotterellead::soak
