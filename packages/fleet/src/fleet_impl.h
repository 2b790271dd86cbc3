#ifndef DOTTERELLEAD_FLEET_FLEET_IMPL_H_
#define DOTTERELLEAD_FLEET_FLEET_IMPL_H_

#include <algorithm>
#include <deque>
#include <variant>

#include "dotterellead/control_client.h"
#include "dotterellead/event_loop.h"
#include "dotterellead/fleet.h"
#include "dotterellead/mailbox.h"
#include "dotterellead/spawn.h"
#include "host_directory.h"
#include "pool_exchange.h"
#include "proof.h"
#include "usage_relay.h"

namespace dotterellead::fleet {

inline constexpr std::size_t kMailboxCapacity = 256;
// Times marked as scaled are for a maximum update delay of 2 s, and are scaled
// to the configured one.

// How long a sync request waits at the parent for changes. Also the heartbeat
// interval of a host. Scaled.
inline constexpr milliseconds kMaxSyncWait{400};
// Time for the response beyond that wait; a round trip takes a few
// milliseconds. Scaled.
inline constexpr milliseconds kSyncResponseMargin{350};
// A child whose last request is older than this is down. Scaled.
inline constexpr milliseconds kChildTimeout{1'500};
// A host that was queried responds within a few milliseconds, or somewhat later
// if it is busy. Scaled.
inline constexpr milliseconds kQueryTimeout{250};
// How often a root looks for hosts that precede it.
inline constexpr milliseconds kRootDiscoveryInterval{1'000};
// Updates that are newer than the parent's by at least this much are sent to
// it: the parent may be cut off from the store. Scaled.
inline constexpr milliseconds kMinFreshnessGain{500};
// After a gap of this length the children are sent the new completeness time at
// once, even if no update changed. Scaled.
inline constexpr milliseconds kStaleAge{1'000};
inline constexpr milliseconds kSeedTimeout{100};
inline constexpr milliseconds kSeedRetryInterval{40};
// Crash events that are kept for other hosts.
inline constexpr std::size_t kMaxCrashEvents = 64;
inline constexpr milliseconds kMaxWait{5'000};
inline constexpr std::uint64_t kMaxMessageBytes = 8 << 20;
inline constexpr std::uint64_t kVersionMask = (std::uint64_t{1} << 53) - 1;

struct report_crash {
  request_fingerprint fingerprint;
};
struct report_counters {
  moves::counter_table counters;
};
struct report_pools {
  pools::pool_table own;
};
using command = std::variant<update_batch,
                             std::vector<moves::stage>,
                             report_counters,
                             report_crash,
                             std::vector<usage::host_report>,
                             usage::fencing_token,
                             report_pools>;

// Version of a list, derived from a hash of its contents. Fits into a JSON
// number without loss.
std::uint64_t VersionOf(const std::vector<host_info>& hosts);
std::uint64_t VersionOf(const std::vector<moves::stage>& stages);

// A host that sends its sync requests to this one.
struct child_host {
  host_info info;
  std::vector<host_info> descendants;
  time_point last_seen;
};

enum class query_result { kPending, kAnswered, kSilent };

// Queries to several hosts in progress, in order of preference.
struct query_round {
  query_round(asio::io_context& io, std::size_t count)
      : results(count, query_result::kPending),
        decided(io, asio::steady_timer::time_point::max()) {}
  bool HasEnded() const {
    return std::find(results.begin(), results.end(), query_result::kPending) ==
           results.end();
  }
  // The first host that answered, once all before it are silent.
  std::optional<std::size_t> FirstAnswered() const {
    for (std::size_t i = 0; i < results.size(); ++i) {
      if (results[i] == query_result::kAnswered)
        return i;
      if (results[i] == query_result::kPending)
        return std::nullopt;
    }
    return std::nullopt;
  }
  std::vector<query_result> results;
  // Cancelled when the rest of the queries makes no difference.
  asio::steady_timer decided;
};

class fleet_duty::impl {
 public:
  impl(fleet_settings settings, fleet_callbacks callbacks);

  void Start();

  void Stop();

  void Push(command c) { commands_.Push(std::move(c)); }

 private:
  void HandleCommand(command& c);

  milliseconds Scaled(milliseconds interval) const {
    return ScaleInterval(interval, settings_.max_update_delay);
  }

  // Stores an event for the parent and the children, unless it is known.
  void AddCrashEvent(const crash_event& event, bool is_from_parent);

  std::vector<crash_event> CrashEventsSince(std::uint64_t version) const;

  void WakeWaiters() { changed_.cancel(); }

  // Keeps usage reports for the parent; on the root, delivers them.
  void PassUsage(std::vector<usage::host_report> reports);

  // Passes on the token if it is higher than the known one.
  void SetLeaderToken(usage::fencing_token token);

  // Caches updates that this host read or received, and wakes waiting children.
  void ApplyUpdates(const update_batch& batch);

  // Server side, for the children (children.cc).

  task<> AcceptConnections();

  task<> ServeChild(std::shared_ptr<beast::tcp_stream> stream);

  void HandleSyncRequest(const sync_request& request);

  bool HasChangesFor(const sync_request& request) const;

  task<> WaitForChanges(const sync_request& request);

  sync_response MakeResponse(const sync_request& request, boot_time arrived_at);

  stream_updates UpdatesSince(stream source,
                              log_offset end_offset,
                              time_point now) const;

  // `requested_at` is when this host sent the request to which they are the
  // response; absent if they are no response.
  void HandleUpdates(const std::array<stream_updates, kStreams>& updates,
                     std::optional<boot_time> requested_at);

  // Children with a recent request, and their descendants.
  std::vector<host_info> LiveDescendants();

  // Updates the list of live hosts on the root; other hosts receive it.
  void UpdateLiveHosts();

  void SetLiveHosts(std::vector<host_info> hosts);

  // Client side, to the parent (parent.cc).

  task<> SyncWithParents();

  void StartParent(const host_info& host);

  // Returns the host to sync with; nullopt if this host is the root.
  task<std::optional<host_info>> FindParent();

  // Queries the seeds until a parent is known or the discovery times out; all
  // hosts may have just been started, in any order.
  task<> DiscoverHosts();

  bool HasAvailableParent() const;

  void SetRole(bool is_root);

  // Queries all seeds for their names and the hosts that they know.
  task<> QuerySeeds();

  task<> QuerySeed(catalog::endpoint seed,
                   std::size_t index,
                   std::shared_ptr<query_round> round);

  task<std::optional<host_info>> QueryHosts(std::vector<host_info> hosts);

  task<> QueryKnownHost(host_info host,
                        std::size_t index,
                        std::shared_ptr<query_round> round);

  // Asks the host at an address for its name and the hosts that it knows.
  // Returns its name; nullopt if it did not respond.
  task<std::optional<member_id>> QueryHost(catalog::endpoint address,
                                           milliseconds timeout);

  task<bool> Sync(control_client& connection, milliseconds max_wait);

  // Whether this host has considerably newer updates than its parent.
  bool IsFresherThanParent() const;

  // Sends newer updates to the parent at once, in parallel to the sync request
  // that waits there.
  void StartPushToParent();

  task<> PushToParent();

  void HandleSyncResponse(const sync_response& response,
                          boot_time requested_at);

  static constexpr int kOk = 200;
  const std::string path_ = "/sync";

  fleet_settings settings_;
  fleet_callbacks callbacks_;
  event_loop loop_;
  asio::io_context& io_ = loop_.io();
  tcp::acceptor acceptor_{io_};
  mailbox<command> commands_;
  // Cancelled to wake all responses that wait for changes.
  asio::steady_timer changed_;

  update_cache updates_;
  std::vector<moves::stage> stages_;
  std::uint64_t stages_version_ = 0;
  std::deque<crash_event> crash_events_;
  std::uint64_t events_version_ = 1;
  std::uint64_t own_event_count_ = 0;
  std::map<std::pair<member_id, incarnation_id>, std::uint64_t>
      last_event_number_;

  host_directory directory_;
  std::map<member_id, child_host> children_;
  std::vector<host_info> live_hosts_;
  std::uint64_t hosts_version_ = 0;
  bool is_root_ = false;
  pool_exchange pools_;

  std::unique_ptr<control_client> parent_connection_;
  // For updates that cannot wait until `parent_connection_` is free.
  std::unique_ptr<control_client> push_connection_;
  bool is_pushing_ = false;
  // How often the completeness time advanced after a gap; ends the wait of the
  // children's requests.
  std::uint64_t refresh_count_ = 0;
  host_info parent_;
  // State of the parent at its last response.
  std::array<log_offset, kStreams> parent_end_offsets_;
  std::array<time_point, kStreams> parent_complete_at_{};
  std::uint64_t parent_hosts_version_ = 0;
  std::uint64_t parent_stages_version_ = 0;
  std::uint64_t parent_events_version_ = 0;
  moves::counter_table counters_;
  std::vector<crash_event> unreported_crashes_;
  usage_relay usage_;
  std::optional<usage::fencing_token> leader_token_;
};

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_FLEET_IMPL_H_
