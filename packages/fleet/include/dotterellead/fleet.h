// Entry hosts among themselves: a tree in which news of the platform's store
// flows down and counts flow up. The first host of a data centre is above the
// others of it; the first host of the first data centre is the root.
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

namespace dotterellead::fleet {

// ---- News

// Sources of news, each a sequence of positions.
enum class stream : std::uint8_t { kOperators, kServers, kOutcomes };
inline constexpr std::size_t kStreams = 3;
inline constexpr std::array<stream, kStreams> kAllStreams = {
    stream::kOperators, stream::kServers, stream::kOutcomes};

// The newest value of one key. The fleet passes it on without reading it.
struct news_item {
  stream source = stream::kOperators;
  std::string key;
  // Absent: the key is gone.
  std::optional<std::string> value;
  log_offset position;
};

// News of one stream up to a position.
struct news_batch {
  stream source = stream::kOperators;
  std::vector<news_item> items;
  // All news before this position is known.
  log_offset upto;
  // When that was so.
  time_point checked;
};

// The newest item of each key, for hosts that come later.
class news_board {
 public:
  // Takes items that are newer than the known ones; returns these.
  std::vector<news_item> Apply(const news_batch& batch);
  // What a host that knows all up to `position` lacks. An invalid position
  // stands for nothing known.
  std::vector<news_item> Since(stream source, log_offset position) const;
  log_offset upto(stream source) const { return Part(source).upto; }
  time_point checked(stream source) const { return Part(source).checked; }

 private:
  struct part {
    std::map<std::string, news_item> items;
    log_offset upto;
    time_point checked{};
  };
  const part& Part(stream source) const {
    return parts_[static_cast<std::size_t>(source)];
  }
  std::array<part, kStreams> parts_;
};

// ---- Hosts

struct host_info {
  member_id name;
  data_centre_id data_centre;
  // Where other hosts reach it.
  catalog::endpoint address;
  bool operator==(const host_info&) const = default;
};

// Order of hosts in the tree: by data centre, then by name.
bool IsAbove(const host_info& a, const host_info& b);

// Whom to ask for news, best first, among `known` hosts: earlier ones of the
// same data centre, then those of earlier data centres.
std::vector<host_info> HostsAbove(const host_info& self,
                                  const std::vector<host_info>& known);

// ---- Messages between hosts

// A server ended while it ran a request; seen by `origin`.
struct crash_event {
  member_id origin;
  // Counts the events of one run of the origin.
  std::uint64_t number = 0;
  incarnation_id run;
  request_fingerprint fingerprint;
};

// News of one stream as a message carries it.
struct stream_news {
  std::vector<news_item> items;
  log_offset upto;
  // Time since the stream was known to be complete; absent: never, or not told.
  std::optional<milliseconds> age;
};

struct sync_request {
  host_info self;
  // Hosts below this one, without itself.
  std::vector<host_info> below;
  std::array<log_offset, kStreams> have;
  // What this host read itself and the one above seems to lack.
  std::array<stream_news, kStreams> news;
  moves::counter_table tallies;
  std::vector<crash_event> events;
  std::uint64_t have_hosts = 0;
  std::uint64_t have_stages = 0;
  std::uint64_t have_events = 0;
  // How long the answer may wait for news.
  milliseconds wait{0};
  // Asks only who is there: the answer holds no news, stages or events.
  bool is_inquiry = false;
};

struct sync_answer {
  host_info self;
  std::array<stream_news, kStreams> news;
  // Absent if unchanged.
  std::optional<std::vector<host_info>> hosts;
  std::uint64_t hosts_version = 0;
  std::optional<std::vector<moves::stage>> stages;
  std::uint64_t stages_version = 0;
  std::vector<crash_event> events;
  std::uint64_t events_version = 0;
};

// Texts between hosts. Decoding throws protocol_error.
std::string EncodeRequest(const sync_request& request);
sync_request DecodeRequest(std::string_view text);
std::string EncodeAnswer(const sync_answer& answer);
sync_answer DecodeAnswer(std::string_view text);

// ---- Duty

struct fleet_settings {
  host_info self;
  incarnation_id run;
  // Addresses of hosts to begin with; some may be gone.
  std::vector<catalog::endpoint> seeds;
  // How long seeds that do not answer are asked again before this host takes
  // itself for the root.
  milliseconds seed_patience{250};
  // Within which news must be on every host that is in touch.
  milliseconds news_bound{2'000};
};

// Scales a wait that suits a bound of 2 s on news to the tighter bound of an
// installation. A wider bound does not stretch it.
milliseconds Paced(milliseconds at_two_seconds, milliseconds news_bound);

// What the duty tells the rest of the host, on its thread. Must not block.
struct fleet_callbacks {
  // News from another host.
  std::function<void(news_batch)> news_heard;
  std::function<void(std::vector<member_id>)> hosts_changed;
  std::function<void(bool is_root)> role_changed;
  std::function<void(std::vector<moves::stage>)> stages_heard;
  std::function<void(moves::counter_table)> tallies_heard;
  std::function<void(request_fingerprint)> crash_heard;
};

class fleet_duty {
 public:
  fleet_duty(fleet_settings settings, fleet_callbacks callbacks);
  ~fleet_duty();
  // Binds the host's address and starts the thread. Throws unavailable_error.
  void Start();
  void Stop();

  // All of these are thread-safe.
  // News that this host read itself.
  void Publish(news_batch batch);
  void PublishStages(std::vector<moves::stage> stages);
  // Counts for the host above.
  void PassTallies(moves::counter_table counts);
  void ReportCrash(request_fingerprint fingerprint);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_H_
