// What a host knows of the backend servers: their settings, homes and state.
#ifndef DOTTERELLEAD_SRC_DIRECTORY_H_
#define DOTTERELLEAD_SRC_DIRECTORY_H_

#include <algorithm>
#include <map>
#include <set>

#include "dotterellead/balance.h"

namespace dotterellead {

using balance_effects = std::vector<balance_machine::effect>;

// One step of the machine: its time, and where its results go.
struct step_context {
  time_point now;
  // Messages to hosts, this one included.
  std::vector<send_to_peer>& outbox;
  balance_effects& effects;

  void Send(const member_id& to, balance_peer_message body) {
    outbox.push_back({to, std::move(body)});
  }
};

struct server_state {
  pool_id pool;
  server_spec spec;
  member_id home;
  // When a change of the configuration gave the server another home.
  std::optional<time_point> home_moved_at;
  bool out = false;
  // The server said so, or it has not answered since it was declared.
  bool cold = false;
  bool suspect = false;
  bool draining = false;
  // When the latest doubt about the server arose. Only what was sent or
  // measured after it can settle it.
  time_point doubted_at;
  // The home's number of the latest doubt, and of the one that was settled.
  std::uint64_t serial = 0;
  std::uint64_t settled_serial = 0;
  // The doubt comes from what a host saw, not only from the server being new to
  // this host. A new home must hear of it.
  bool doubt_is_seen = false;
  // This host has a doubt that the home has not confirmed.
  bool news_pending = false;
  std::string boot;
  double latency_us = 0;
  double failure_share = 0;
  std::uint32_t slow_answers = 0;
  std::uint32_t own_in_flight = 0;
  std::uint32_t reported_in_flight = 0;

  bool is_doubtful() const { return cold || suspect; }
  bool takes_work() const { return !out && !draining; }
  // Slots that may be used now: those with a lower index.
  std::uint32_t usable_slots() const {
    return is_doubtful() ? std::min(spec.cold_slots, spec.slots) : spec.slots;
  }
  double cost_us() const;
  // Whether `m` may run on this server, which is called `id`.
  bool CanServe(const acquire& m, const server_id& id) const;
};

struct pool_info {
  milliseconds max_run{0};
  // The longest that this run of the process has seen, for waiting out leases
  // lent under an earlier setting.
  milliseconds longest_max_run{0};
  std::uint32_t queue_length = 0;
  std::vector<server_id> servers;
};

// The home of a pool's servers in one data centre: the highest random weight
// among the members of that data centre, or among all if it has none there.
// Invalid without members.
member_id ChooseHome(const std::vector<home_candidate>& members,
                     const pool_id& pool,
                     const data_centre_id& data_centre);

class directory {
 public:
  explicit directory(const balance_options& options);

  void SetConfig(const config_view& config, time_point now);
  // Returns false if the epoch is not newer than the current one.
  bool SetHomes(const homes_changed& m);

  // What an attempt showed. `sent_at` is when its slot was assigned.
  void Learn(const server_id& server,
             const release& m,
             time_point sent_at,
             time_point now);
  void Learn(const load_report& m, time_point now);
  void Suspect(const server_id& server, time_point now);
  // The home's word, asked for at `asked_at`.
  void LearnFromHome(const server_notice& m,
                     time_point asked_at,
                     time_point now);
  // A holder's word, for the home.
  void LearnFromHolder(const member_id& from,
                       const server_news& m,
                       step_context& step);

  // Sends what this host found out to the servers' homes. Returns the servers
  // of this host as home whose state changed since the last call.
  std::set<server_id> Publish(step_context& step);
  // Sends again the doubts that a home has not confirmed.
  void RepeatNews(step_context& step);
  // Takes over what an earlier home knew.
  void LearnFromEarlierHome(const lease_table& table, time_point now);
  // Lets the memory of slowness and failures fade. Call once per second.
  void Fade();

  server_state* Find(const server_id& id);
  const server_state* Find(const server_id& id) const;
  const pool_info* FindPool(const pool_id& id) const;
  const std::map<server_id, server_state>& servers() const { return servers_; }
  const std::map<pool_id, pool_info>& pools() const { return pools_; }
  const std::vector<home_candidate>& members() const { return members_; }
  epoch_number epoch() const { return epoch_; }
  const balance_options& options() const { return options_; }
  bool IsHome(const server_state& s) const { return s.home == options_.self; }
  bool IsMember(const member_id& member) const;
  data_centre_id DataCentreOf(const member_id& member) const;

 private:
  void SetServer(const pool_id& pool,
                 const server_spec& spec,
                 bool out,
                 time_point now);
  void Doubt(const server_id& id, server_state& s, time_point now);
  void Settle(const server_id& id, server_state& s, time_point evidence);
  void LearnBoot(const server_id& id,
                 server_state& s,
                 const std::string& boot,
                 time_point now);
  void LearnLatency(const server_id& id,
                    server_state& s,
                    const release& m,
                    time_point now);
  void SetHome(server_state& s, const server_id& id);
  server_news NewsOf(const server_id& id, const server_state& s) const;

  balance_options options_;
  std::map<server_id, server_state> servers_;
  std::map<pool_id, pool_info> pools_;
  epoch_number epoch_;
  std::vector<home_candidate> members_;
  // Servers whose state changed through what this host found out itself.
  std::set<server_id> changed_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_DIRECTORY_H_
