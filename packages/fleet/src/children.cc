#include <fmt/core.h>

#include "fleet_impl.h"

namespace dotterellead::fleet {

task<> fleet_duty::impl::Accept() {
  while (true) {
    error_code ec;
    auto stream = std::make_shared<beast::tcp_stream>(io_);
    co_await acceptor_.async_accept(stream->socket(), Resume(ec));
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      LogEvent(log_level::kWarning, "peer-accept-failed",
               {{"problem", ec.message()}});
      asio::steady_timer pause(io_, Scaled(kSyncWait));
      co_await pause.async_wait(Resume(ec));
      continue;
    }
    error_code ignored;  // Without the option answers are slower, not wrong.
    stream->socket().set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(io_, ServeBelow(std::move(stream)), asio::detached);
  }
}

task<> fleet_duty::impl::ServeBelow(std::shared_ptr<beast::tcp_stream> stream) {
  beast::flat_buffer buffer;
  while (true) {
    error_code ec;
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxMessage);
    stream->expires_after(kLongestWait);
    co_await http::async_read(*stream, buffer, parser, Resume(ec));
    if (ec)
      break;
    http::response<http::string_body> answer(http::status::ok, 11);
    try {
      const sync_request request = DecodeRequest(parser.get().body());
      TakeFromBelow(request);
      co_await WaitForNews(request);
      answer.body() = EncodeAnswer(AnswerTo(request));
    } catch (const protocol_error& e) {
      LogEvent(log_level::kWarning, "peer-message-unreadable",
               {{"problem", e.problem()}, {"remedy", e.remedy()}});
      answer.result(http::status::bad_request);
    }
    answer.prepare_payload();
    stream->expires_after(kLongestWait);
    co_await http::async_write(*stream, answer, Resume(ec));
    if (ec)
      break;
  }
  stream->close();
}

void fleet_duty::impl::TakeFromBelow(const sync_request& request) {
  const time_point now = std::chrono::steady_clock::now();
  below_[request.self.name] = {request.self, request.below, now};
  TakeNews(request.news);
  PassUp();
  if (!request.tallies.empty())
    callbacks_.tallies_heard(request.tallies);
  for (const crash_event& event : request.events)
    TakeEvent(event, false);
  RefreshHosts();
}

bool fleet_duty::impl::HasNewsFor(const sync_request& request) const {
  if (request.have_hosts != hosts_version_ ||
      request.have_stages != stages_version_ ||
      request.have_events < events_version_)
    return true;
  for (std::size_t i = 0; i < kStreams; ++i)
    if (!board_.Since(kAllStreams[i], request.have[i]).empty())
      return true;
  return false;
}

task<> fleet_duty::impl::WaitForNews(const sync_request& request) {
  const time_point ends =
      std::chrono::steady_clock::now() + std::min(request.wait, kLongestWait);
  asio::steady_timer limit(io_, ends);
  limit.async_wait([this](error_code ec) {
    if (!ec)
      WakeWaiters();
  });
  const std::uint64_t gaps = gaps_closed_;
  while (!HasNewsFor(request) && gaps == gaps_closed_ &&
         std::chrono::steady_clock::now() < ends) {
    error_code ec;
    co_await news_arrived_.async_wait(Resume(ec));
  }
}

sync_answer fleet_duty::impl::AnswerTo(const sync_request& request) const {
  sync_answer answer;
  answer.self = settings_.self;
  if (request.have_hosts != hosts_version_)
    answer.hosts = hosts_;
  answer.hosts_version = hosts_version_;
  if (request.is_inquiry)
    return answer;
  const time_point now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kStreams; ++i)
    answer.news[i] = NewsSince(kAllStreams[i], request.have[i], now);
  if (request.have_stages != stages_version_)
    answer.stages = stages_;
  answer.stages_version = stages_version_;
  answer.events = EventsSince(request.have_events);
  answer.events_version = events_version_;
  return answer;
}

stream_news fleet_duty::impl::NewsSince(stream source,
                                        log_offset have,
                                        time_point now) const {
  stream_news news{board_.Since(source, have), board_.upto(source), {}};
  if (board_.checked(source) != time_point())
    news.age =
        std::chrono::duration_cast<milliseconds>(now - board_.checked(source));
  return news;
}

void fleet_duty::impl::TakeNews(const std::array<stream_news, kStreams>& news) {
  const time_point now = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kStreams; ++i) {
    const stream_news& part = news[i];
    if (!part.age)
      continue;
    news_batch batch{kAllStreams[i], part.items, part.upto, now - *part.age};
    TakeBatch(batch);
    callbacks_.news_heard(std::move(batch));
  }
}

std::vector<host_info> fleet_duty::impl::LiveBelow() {
  const time_point now = std::chrono::steady_clock::now();
  std::erase_if(below_, [&](const auto& entry) {
    return entry.second.heard + Scaled(kBelowLost) < now;
  });
  std::map<member_id, host_info> live;
  for (const auto& [name, host] : below_) {
    live[name] = host.info;
    for (const host_info& further : host.below)
      live.emplace(further.name, further);
  }
  live.erase(settings_.self.name);
  std::vector<host_info> result;
  result.reserve(live.size());
  for (auto& [name, info] : live)
    result.push_back(std::move(info));
  return result;
}

void fleet_duty::impl::RefreshHosts() {
  if (!is_root_)
    return;
  std::vector<host_info> live = LiveBelow();
  live.push_back(settings_.self);
  std::sort(live.begin(), live.end(), IsAbove);
  SetHosts(std::move(live));
}

void fleet_duty::impl::SetHosts(std::vector<host_info> hosts) {
  for (const host_info& host : hosts)
    known_[host.name] = host;
  if (hosts == hosts_ && hosts_version_ != 0)
    return;
  hosts_ = std::move(hosts);
  hosts_version_ = VersionOf(hosts_);
  std::vector<member_id> names;
  for (const host_info& host : hosts_)
    names.push_back(host.name);
  LogEvent(log_level::kInfo, "hosts-live",
           {{"count", fmt::format("{}", names.size())}});
  callbacks_.hosts_changed(std::move(names));
  WakeWaiters();
}

}  // namespace dotterellead::fleet
