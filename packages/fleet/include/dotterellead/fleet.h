// The tree of entry hosts of the platform mode. Updates of the platform's store
// flow down the tree, counters flow up. The first host of a data centre is the
// parent of its other hosts; the first host of the first data centre is the
// root. The standalone mode uses packages/membership instead.
#ifndef DOTTERELLEAD_FLEET_H_
#define DOTTERELLEAD_FLEET_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterellead/catalog.h"
#include "dotterellead/core.h"
#include "dotterellead/moves.h"
#include "dotterellead/pools.h"
#include "dotterellead/usage.h"

namespace dotterellead::fleet {

// ---- Updates

// The streams of the store that hosts follow; each is a sequence of offsets.
enum class stream : std::uint8_t { kOperators, kServers, kOutcomes };
inline constexpr std::size_t kStreams = 3;
inline constexpr std::array<stream, kStreams> kAllStreams = {
    stream::kOperators, stream::kServers, stream::kOutcomes};

// The newest value of one key. The fleet passes it on without interpreting it.
struct update {
  stream source = stream::kOperators;
  std::string key;
  // Absent if the key was removed.
  std::optional<std::string> value;
  log_offset offset;
};

// Updates of one stream.
struct update_batch {
  stream source = stream::kOperators;
  std::vector<update> updates;
  // All updates before this offset are known.
  log_offset end_offset;
  // When the sender last knew all records before `end_offset`.
  time_point complete_at;
  // All records of the store at this time are known. Absent if the sender
  // cannot prove it, as for updates of a child.
  std::optional<boot_time> proven_at;
};

// Holds the newest update of each key, from which other hosts are served.
class update_cache {
 public:
  // Stores the updates that are newer than the cached ones and returns them.
  std::vector<update> Apply(const update_batch& batch);
  // Returns the updates at or after `offset`; all of them if it is invalid.
  std::vector<update> UpdatesSince(stream source, log_offset offset) const;
  // End offset and completeness time of the newest batch applied.
  log_offset end_offset(stream source) const {
    return StateOf(source).end_offset;
  }
  time_point complete_at(stream source) const {
    return StateOf(source).complete_at;
  }
  // The newest proof applied.
  std::optional<boot_time> proven_at(stream source) const {
    return StateOf(source).proven_at;
  }

 private:
  struct stream_state {
    std::map<std::string, update> updates;
    log_offset end_offset;
    time_point complete_at{};
    std::optional<boot_time> proven_at;
  };
  const stream_state& StateOf(stream source) const {
    return streams_[static_cast<std::size_t>(source)];
  }
  std::array<stream_state, kStreams> streams_;
};

// ---- Hosts

// Identity and address of an entry host.
struct host_info {
  member_id name;
  data_centre_id data_centre;
  // Address for messages between hosts.
  catalog::endpoint address;
  bool operator==(const host_info&) const = default;
};

// Order of the hosts in the tree: by data centre, then by name.
bool Precedes(const host_info& a, const host_info& b);

// Returns the candidate parents of `self` in order of preference: preceding
// hosts of its data centre, then hosts of preceding data centres.
std::vector<host_info> ParentCandidates(const host_info& self,
                                        const std::vector<host_info>& known);

// ---- Messages between hosts

// A server crashed while it ran a request; detected by host `origin`.
struct crash_event {
  member_id origin;
  // Numbers the events of one incarnation of the origin, from 1.
  std::uint64_t sequence_number = 0;
  incarnation_id incarnation;
  request_fingerprint fingerprint;
};

// Updates of one stream in a message.
struct stream_updates {
  std::vector<update> updates;
  log_offset end_offset;
  // Time since the sender last knew the stream completely; absent if it never
  // did, or if the message does not cover this stream.
  std::optional<milliseconds> age;
  // In a response: the time of the sender's proof of the stream relative to the
  // arrival of the request; negative if it is earlier.
  std::optional<milliseconds> proof;
};

// Sent by a host to its parent, which responds when it has changes or when
// `max_wait` has passed.
struct sync_request {
  host_info self;
  // The descendants of this host in the tree.
  std::vector<host_info> descendants;
  // The sender knows all updates before these offsets.
  std::array<log_offset, kStreams> end_offsets;
  // Updates that this host read itself and that its parent seems to lack.
  std::array<stream_updates, kStreams> updates;
  moves::counter_table counters;
  std::vector<crash_event> crash_events;
  // Usage reports of the sender and its descendants.
  std::vector<usage::host_report> usage;
  // Loads of shared pools, of the sender and its descendants, that changed.
  pools::pool_table pools;
  // Versions of the lists that the sender received last; 0 for none.
  std::uint64_t hosts_version = 0;
  std::uint64_t stages_version = 0;
  std::uint64_t events_version = 0;
  // How long the parent may delay its response until there are changes.
  milliseconds max_wait{0};
  // Requests the list of hosts only; the response has no updates, stages or
  // events.
  bool is_inquiry = false;
};

// Response to a sync_request. Lists that did not change are absent.
struct sync_response {
  host_info self;
  std::array<stream_updates, kStreams> updates;
  // The live hosts.
  std::optional<std::vector<host_info>> hosts;
  std::uint64_t hosts_version = 0;
  std::optional<std::vector<moves::stage>> stages;
  std::uint64_t stages_version = 0;
  std::vector<crash_event> crash_events;
  std::uint64_t events_version = 0;
  // Fencing token of the leader of usage reports, if one is known.
  std::optional<usage::fencing_token> leader_token;
  // Loads of shared pools, of all hosts, that changed.
  pools::pool_table pools;
  // Time from the arrival of the request to the encoding of this response, to
  // which the ages of updates refer. Absent from hosts of earlier releases.
  std::optional<milliseconds> held;
};

// JSON encoding of the messages. Decoding throws protocol_error if the text is
// not a valid message.
std::string EncodeRequest(const sync_request& request);
sync_request DecodeRequest(std::string_view text);
std::string EncodeResponse(const sync_response& response);
sync_response DecodeResponse(std::string_view text);

// ---- Duty

struct fleet_settings {
  host_info self;
  incarnation_id incarnation;
  // Addresses of hosts to contact first; some may be down.
  std::vector<catalog::endpoint> seeds;
  // How long unresponsive seeds are queried again before this host becomes the
  // root.
  milliseconds discovery_timeout{250};
  // Maximum time until an update must have reached every connected host.
  milliseconds max_update_delay{2'000};
};

// Scales an interval that is designed for a maximum update delay of 2 s to the
// configured one. A longer delay does not stretch the interval.
milliseconds ScaleInterval(milliseconds interval,
                           milliseconds max_update_delay);

// Called on the duty's thread. Must not block.
struct fleet_callbacks {
  // Updates received from another host.
  std::function<void(update_batch)> on_updates;
  // The live hosts, this one included.
  std::function<void(std::vector<host_info>)> on_hosts_changed;
  std::function<void(bool is_root)> on_role_changed;
  std::function<void(std::vector<moves::stage>)> on_stages;
  std::function<void(moves::counter_table)> on_counters;
  std::function<void(request_fingerprint)> on_crash;
  // Usage reports of other hosts that arrived at the root. May be empty, as
  // on_leader_token, if this host neither sends nor collects reports.
  std::function<void(std::vector<usage::host_report>)> on_usage;
  // The leader of usage reports changed, or the parent of this host; recent
  // reports are to be sent again.
  std::function<void(usage::fencing_token)> on_leader_token;
  // The loads of shared pools of all hosts, with their age. May be absent.
  std::function<void(pools::pool_table)> on_pools;
};

// Runs the host's part of the tree on its own thread. All methods but Start and
// Stop are thread-safe.
class fleet_duty {
 public:
  fleet_duty(fleet_settings settings, fleet_callbacks callbacks);
  ~fleet_duty();
  // Listens on the host's address and starts the thread. Throws
  // unavailable_error if the address cannot be used.
  void Start();
  void Stop();

  // Distributes updates that this host read from the store itself.
  void PublishUpdates(update_batch batch);
  // Distributes the stages of moves; used by the root.
  void PublishStages(std::vector<moves::stage> stages);
  // Adds to the counters that are sent to the parent host.
  void ReportCounters(moves::counter_table counters);
  // Distributes a server crash to all other hosts.
  void ReportCrash(request_fingerprint fingerprint);
  // Sends usage reports of this host to the root.
  void ReportUsage(std::vector<usage::host_report> reports);
  // Distributes the token of this host, which leads; used by the root.
  void PublishLeaderToken(usage::fencing_token token);
  // Replaces this host's part of the loads of shared pools. Answered with
  // on_pools.
  void ReportPools(pools::pool_table own);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_H_
