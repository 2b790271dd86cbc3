#include <fmt/core.h>
#include <pthread.h>

#include <deque>
#include <set>
#include <thread>
#include <variant>

#include "dotterellead/fleet.h"
#include "dotterellead/http_link.h"
#include "dotterellead/mailbox.h"

namespace dotterellead::fleet {

namespace {

constexpr std::size_t kMailbox = 256;
// How long a sync waits for news at the host above; it is also the beat by
// which hosts know each other to live.
constexpr milliseconds kSyncWait{400};
// Time for the answer beyond the wait; round trips take a few ms.
constexpr milliseconds kSyncSlack{350};
// A host below that has not called for this long is gone.
constexpr milliseconds kBelowLost{1'500};
// A host that did not answer is not asked again for this time.
constexpr milliseconds kFailedPause{2'000};
// Pause between two rounds of a root that looks for hosts above it.
constexpr milliseconds kRootRound{1'000};
// News that is younger by this much than what the host above has goes up: the
// host above may be cut off from the store.
constexpr milliseconds kFresher{500};
constexpr milliseconds kSeedLimit{300};
constexpr milliseconds kSeedPause{40};
// Crashes that are kept for hosts below.
constexpr std::size_t kKeptEvents = 64;
constexpr milliseconds kLongestWait{5'000};
constexpr std::uint64_t kMaxMessage = 8 << 20;
constexpr std::uint64_t kHashBits = (std::uint64_t{1} << 53) - 1;

std::uint64_t VersionOf(const std::vector<host_info>& hosts) {
  std::string text;
  for (const host_info& host : hosts)
    text += host.name.value() + ' ' + to_string(host.address) + '\n';
  return StableHash(text) & kHashBits;
}

std::uint64_t VersionOf(const std::vector<moves::stage>& stages) {
  std::string text;
  for (const moves::stage& s : stages)
    text += fmt::format("{} {} {} {} {}\n", s.pool.value(), s.order.value(),
                        s.per_mille, static_cast<int>(s.state), s.step);
  return StableHash(text) & kHashBits;
}

struct crash_to_report {
  request_fingerprint fingerprint;
};
struct tallies_to_pass {
  moves::tallies counts;
};
using command = std::variant<news_batch,
                             std::vector<moves::stage>,
                             tallies_to_pass,
                             crash_to_report>;

// A host that calls this one.
struct host_below {
  host_info info;
  std::vector<host_info> below;
  time_point heard;
};

}  // namespace

class fleet_duty::impl {
 public:
  impl(fleet_settings settings, fleet_callbacks callbacks)
      : settings_(std::move(settings)),
        callbacks_(std::move(callbacks)),
        commands_(io_, "fleet", kMailbox, [this](command& c) { Take(c); }),
        news_arrived_(io_) {
    news_arrived_.expires_at(time_point::max());
    hosts_ = {settings_.self};
  }

  void Start() {
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
    thread_ = std::thread([this] { io_.run(); });
    pthread_setname_np(thread_.native_handle(), "fleet");
  }

  void Stop() {
    commands_.Close();
    io_.stop();
    if (thread_.joinable())
      thread_.join();
  }

  void Push(command c) { commands_.Push(std::move(c)); }

 private:
  void Take(command& c) {
    std::visit(overloaded{[this](news_batch& batch) {
                            if (!board_.Apply(batch).empty())
                              WakeWaiters();
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

  // Keeps an event for the hosts above and below, unless it is known.
  void TakeEvent(const crash_event& event, bool is_from_above) {
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

  std::vector<crash_event> EventsSince(std::uint64_t seen) const {
    // Another host above, or one that was restarted: it cannot tell which are
    // new, and old crashes are known to others.
    if (seen == 0 || seen >= events_version_)
      return {};
    const std::uint64_t count =
        std::min<std::uint64_t>(events_version_ - seen, events_.size());
    return {events_.end() - static_cast<std::ptrdiff_t>(count), events_.end()};
  }

  void WakeWaiters() { news_arrived_.cancel(); }

  // ---- Hosts below

  task<> Accept() {
    while (true) {
      error_code ec;
      auto stream = std::make_shared<beast::tcp_stream>(io_);
      co_await acceptor_.async_accept(stream->socket(), Resume(ec));
      if (ec == asio::error::operation_aborted)
        co_return;
      if (ec) {
        LogEvent(log_level::kWarning, "peer-accept-failed",
                 {{"problem", ec.message()}});
        asio::steady_timer pause(io_, kSyncWait);
        co_await pause.async_wait(Resume(ec));
        continue;
      }
      error_code ignored;  // Without the option answers are slower, not wrong.
      stream->socket().set_option(tcp::no_delay(true), ignored);
      asio::co_spawn(io_, ServeBelow(std::move(stream)), asio::detached);
    }
  }

  task<> ServeBelow(std::shared_ptr<beast::tcp_stream> stream) {
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

  void TakeFromBelow(const sync_request& request) {
    const time_point now = std::chrono::steady_clock::now();
    below_[request.self.name] = {request.self, request.below, now};
    TakeNews(request.news);
    if (!request.tallies.empty())
      callbacks_.tallies_heard(request.tallies);
    for (const crash_event& event : request.events)
      TakeEvent(event, false);
    RefreshHosts();
  }

  bool HasNewsFor(const sync_request& request) const {
    if (request.have_hosts != hosts_version_ ||
        request.have_stages != stages_version_ ||
        request.have_events < events_version_)
      return true;
    for (std::size_t i = 0; i < kStreams; ++i)
      if (!board_.Since(kAllStreams[i], request.have[i]).empty())
        return true;
    return false;
  }

  task<> WaitForNews(const sync_request& request) {
    const time_point ends =
        std::chrono::steady_clock::now() + std::min(request.wait, kLongestWait);
    asio::steady_timer limit(io_, ends);
    limit.async_wait([this](error_code ec) {
      if (!ec)
        WakeWaiters();
    });
    while (!HasNewsFor(request) && std::chrono::steady_clock::now() < ends) {
      error_code ec;
      co_await news_arrived_.async_wait(Resume(ec));
    }
  }

  sync_answer AnswerTo(const sync_request& request) const {
    sync_answer answer;
    answer.self = settings_.self;
    const time_point now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < kStreams; ++i)
      answer.news[i] = NewsSince(kAllStreams[i], request.have[i], now);
    if (request.have_hosts != hosts_version_)
      answer.hosts = hosts_;
    answer.hosts_version = hosts_version_;
    if (request.have_stages != stages_version_)
      answer.stages = stages_;
    answer.stages_version = stages_version_;
    answer.events = EventsSince(request.have_events);
    answer.events_version = events_version_;
    return answer;
  }

  stream_news NewsSince(stream source, log_offset have, time_point now) const {
    stream_news news{board_.Since(source, have), board_.upto(source), {}};
    if (board_.checked(source) != time_point())
      news.age = std::chrono::duration_cast<milliseconds>(
          now - board_.checked(source));
    return news;
  }

  void TakeNews(const std::array<stream_news, kStreams>& news) {
    const time_point now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < kStreams; ++i) {
      const stream_news& part = news[i];
      if (!part.age)
        continue;
      news_batch batch{kAllStreams[i], part.items, part.upto, now - *part.age};
      if (!board_.Apply(batch).empty())
        WakeWaiters();
      callbacks_.news_heard(std::move(batch));
    }
  }

  // Hosts below this one that called lately, with those below them.
  std::vector<host_info> LiveBelow() {
    const time_point now = std::chrono::steady_clock::now();
    std::erase_if(below_, [&](const auto& entry) {
      return entry.second.heard + kBelowLost < now;
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

  // A root knows who lives; others hear it from above.
  void RefreshHosts() {
    if (!is_root_)
      return;
    std::vector<host_info> live = LiveBelow();
    live.push_back(settings_.self);
    std::sort(live.begin(), live.end(), IsAbove);
    SetHosts(std::move(live));
  }

  void SetHosts(std::vector<host_info> hosts) {
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

  // ---- The host above

  std::vector<host_info> Candidates() {
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

  task<> FollowAbove() {
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
      if (!co_await SyncWith(*link_, kSyncWait)) {
        LogEvent(log_level::kInfo, "host-above-lost",
                 {{"host", host.name.value()}});
        failed_[host.name] = std::chrono::steady_clock::now() + kFailedPause;
        link_.reset();
      } else {
        BecomeRoot(false);
      }
    }
  }

  // All hosts may have been started just now, in any order.
  task<> FindFirst() {
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

  void BecomeRoot(bool is_root) {
    if (is_root == is_root_)
      return;
    is_root_ = is_root;
    callbacks_.role_changed(is_root);
  }

  // Learns names behind the seeds' addresses.
  task<> AskSeeds() {
    for (const catalog::endpoint& seed : settings_.seeds) {
      if (seed == settings_.self.address)
        continue;
      http_link link(io_, seed);
      sync_request request;
      request.self = settings_.self;
      const std::string body = EncodeRequest(request);
      const http_answer answer =
          co_await link.Call(http::verb::post, path_, body, kSeedLimit);
      if (answer.status != kOk)
        continue;
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
  }

  task<bool> SyncWith(http_link& link, milliseconds wait) {
    sync_request request;
    request.self = settings_.self;
    request.below = LiveBelow();
    for (std::size_t i = 0; i < kStreams; ++i)
      request.have[i] = board_.upto(kAllStreams[i]);
    const time_point now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < kStreams; ++i)
      if (board_.checked(kAllStreams[i]) > above_checked_[i] + kFresher)
        request.news[i] = NewsSince(kAllStreams[i], above_upto_[i], now);
    request.tallies = std::exchange(tallies_, {});
    request.events = std::exchange(events_up_, {});
    request.have_hosts = hosts_from_above_;
    request.have_stages = stages_from_above_;
    request.have_events = seen_from_above_;
    request.wait = wait;
    const std::string body = EncodeRequest(request);
    const http_answer answer =
        co_await link.Call(http::verb::post, path_, body, wait + kSyncSlack);
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

  void TakeFromAbove(const sync_answer& answer) {
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

  static constexpr int kOk = 200;
  const std::string path_ = "/sync";

  fleet_settings settings_;
  fleet_callbacks callbacks_;
  asio::io_context io_{1};
  tcp::acceptor acceptor_{io_};
  mailbox<command> commands_;
  // Cancelled to wake all answers that wait for news.
  asio::steady_timer news_arrived_;

  news_board board_;
  std::vector<moves::stage> stages_;
  std::uint64_t stages_version_ = 0;
  std::deque<crash_event> events_;
  std::uint64_t events_version_ = 1;
  std::uint64_t own_events_ = 0;
  std::map<std::pair<member_id, incarnation_id>, std::uint64_t> newest_event_;

  std::map<member_id, host_info> known_;
  std::map<member_id, host_below> below_;
  std::vector<host_info> hosts_;
  std::uint64_t hosts_version_ = 0;
  bool is_root_ = false;

  std::unique_ptr<http_link> link_;
  host_info link_host_;
  std::map<member_id, time_point> failed_;
  // What the host above knew when it last answered.
  std::array<log_offset, kStreams> above_upto_;
  std::array<time_point, kStreams> above_checked_{};
  std::uint64_t hosts_from_above_ = 0;
  std::uint64_t stages_from_above_ = 0;
  std::uint64_t seen_from_above_ = 0;
  moves::tallies tallies_;
  std::vector<crash_event> events_up_;
  std::thread thread_;
};

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
void fleet_duty::PassTallies(moves::tallies counts) {
  impl_->Push(tallies_to_pass{std::move(counts)});
}
void fleet_duty::ReportCrash(request_fingerprint fingerprint) {
  impl_->Push(crash_to_report{fingerprint});
}

}  // namespace dotterellead::fleet
