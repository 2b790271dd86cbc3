#ifndef DOTTERELLEAD_FLEET_FLEET_IMPL_H_
#define DOTTERELLEAD_FLEET_FLEET_IMPL_H_

#include <deque>
#include <variant>

#include "dotterellead/event_loop.h"
#include "dotterellead/fleet.h"
#include "dotterellead/http_link.h"
#include "dotterellead/mailbox.h"

namespace dotterellead::fleet {

inline constexpr std::size_t kMailbox = 256;
// The waits that are marked so are for a bound of 2 s on news and are scaled to
// the installation's.

// How long a sync waits for news at the host above; it is also the beat by
// which hosts know each other to live. Scaled.
inline constexpr milliseconds kSyncWait{400};
// Time for the answer beyond the wait; round trips take a few ms. Scaled.
inline constexpr milliseconds kSyncSlack{350};
// A host below that has not called for this long is gone. Scaled.
inline constexpr milliseconds kBelowLost{1'500};
// A host that did not answer is not asked again for this time.
inline constexpr milliseconds kFailedPause{2'000};
// Pause between two rounds of a root that looks for hosts above it.
inline constexpr milliseconds kRootRound{1'000};
// News that is younger by this much than what the host above has goes up: the
// host above may be cut off from the store. Scaled.
inline constexpr milliseconds kFresher{500};
// News that is younger by this much than the last is told to the hosts below at
// once, even if nothing changed: their own is old. Scaled.
inline constexpr milliseconds kGap{1'000};
inline constexpr milliseconds kSeedLimit{100};
inline constexpr milliseconds kSeedPause{40};
// Crashes that are kept for hosts below.
inline constexpr std::size_t kKeptEvents = 64;
inline constexpr milliseconds kLongestWait{5'000};
inline constexpr std::uint64_t kMaxMessage = 8 << 20;
inline constexpr std::uint64_t kHashBits = (std::uint64_t{1} << 53) - 1;

struct crash_to_report {
  request_fingerprint fingerprint;
};
struct tallies_to_pass {
  moves::counter_table counts;
};
using command = std::variant<news_batch,
                             std::vector<moves::stage>,
                             tallies_to_pass,
                             crash_to_report>;

// Numbers that differ where the lists differ; they fit a JSON number.
std::uint64_t VersionOf(const std::vector<host_info>& hosts);
std::uint64_t VersionOf(const std::vector<moves::stage>& stages);

// A host that calls this one.
struct host_below {
  host_info info;
  std::vector<host_info> below;
  time_point heard;
};

// Questions to all seeds under way.
struct seed_round {
  explicit seed_round(asio::io_context& io)
      : is_over(io, asio::steady_timer::time_point::max()) {}
  std::size_t open = 0;
  // Cancelled when the round is over.
  asio::steady_timer is_over;
};

class fleet_duty::impl {
 public:
  impl(fleet_settings settings, fleet_callbacks callbacks);

  void Start();

  void Stop();

  void Push(command c) { commands_.Push(std::move(c)); }

 private:
  void Take(command& c);

  milliseconds Scaled(milliseconds at_two_seconds) const {
    return Paced(at_two_seconds, settings_.news_bound);
  }

  // Keeps an event for the hosts above and below, unless it is known.
  void TakeEvent(const crash_event& event, bool is_from_above);

  std::vector<crash_event> EventsSince(std::uint64_t seen) const;

  void WakeWaiters() { news_arrived_.cancel(); }

  // Takes news that this host read or heard.
  void TakeBatch(const news_batch& batch);

  // Hosts below (hosts_below.cc).

  task<> Accept();

  task<> ServeBelow(std::shared_ptr<beast::tcp_stream> stream);

  void TakeFromBelow(const sync_request& request);

  bool HasNewsFor(const sync_request& request) const;

  task<> WaitForNews(const sync_request& request);

  sync_answer AnswerTo(const sync_request& request) const;

  stream_news NewsSince(stream source, log_offset have, time_point now) const;

  void TakeNews(const std::array<stream_news, kStreams>& news);

  // Hosts below this one that called lately, with those below them.
  std::vector<host_info> LiveBelow();

  // A root knows who lives; others hear it from above.
  void RefreshHosts();

  void SetHosts(std::vector<host_info> hosts);

  // The host above (host_above.cc).

  std::vector<host_info> Candidates();

  task<> FollowAbove();

  // All hosts may have been started just now, in any order.
  task<> FindFirst();

  void BecomeRoot(bool is_root);

  // Learns names behind the seeds' addresses.
  task<> AskSeeds();

  task<> AskSeed(catalog::endpoint seed, std::shared_ptr<seed_round> round);

  task<bool> SyncWith(http_link& link, milliseconds wait);

  // Whether this host has news that the one above lacks.
  bool IsAheadOfAbove() const;

  // Sends such news up at once, beside the sync that waits at the host above.
  void PassUp();

  task<> RunPassUp();

  void TakeFromAbove(const sync_answer& answer);

  static constexpr int kOk = 200;
  const std::string path_ = "/sync";

  fleet_settings settings_;
  fleet_callbacks callbacks_;
  event_loop loop_;
  asio::io_context& io_ = loop_.io();
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
  // For news that cannot wait until `link_` is free.
  std::unique_ptr<http_link> second_link_;
  bool is_passing_up_ = false;
  // How often old news was replaced by fresh news; ends waits for news.
  std::uint64_t gaps_closed_ = 0;
  host_info link_host_;
  std::map<member_id, time_point> failed_;
  // What the host above knew when it last answered.
  std::array<log_offset, kStreams> above_upto_;
  std::array<time_point, kStreams> above_checked_{};
  std::uint64_t hosts_from_above_ = 0;
  std::uint64_t stages_from_above_ = 0;
  std::uint64_t seen_from_above_ = 0;
  moves::counter_table tallies_;
  std::vector<crash_event> events_up_;
};

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_FLEET_IMPL_H_
