// Settings, homes and state of all backend servers.
#ifndef DOTTERELLEAD_SRC_DIRECTORY_H_
#define DOTTERELLEAD_SRC_DIRECTORY_H_

#include <algorithm>
#include <map>
#include <set>

#include "dotterellead/balance.h"

namespace dotterellead {

using balance_effects = std::vector<balance_machine::effect>;

// Time and outputs of one step of the machine.
struct step_context {
  time_point now;
  // Messages to hosts, including this one.
  std::vector<send_to_peer>& outbox;
  balance_effects& effects;

  void Send(const member_id& to, balance_peer_message body) {
    outbox.push_back({to, std::move(body)});
  }
};

// State of one backend server.
struct server_state {
  pool_id pool;
  server_spec spec;
  member_id home;
  // When a configuration change gave the server another home.
  std::optional<time_point> home_moved_at;
  bool is_out_of_service = false;
  // The server reported it, or has not responded since it was declared.
  bool cold = false;
  bool suspect = false;
  bool draining = false;
  // When the latest suspicion began. Only a request sent or a measurement made
  // after it can clear it.
  time_point suspected_at;
  // The home's serial of the latest suspicion and of the last cleared one.
  std::uint64_t suspicion_serial = 0;
  std::uint64_t cleared_serial = 0;
  // Whether the suspicion is based on an observation, and not only on the
  // server being new to this host. A new home must learn of it.
  bool is_suspicion_observed = false;
  // Whether the home has not confirmed this host's suspicion yet.
  bool is_observation_pending = false;
  std::string boot;
  double latency_us = 0;
  double failure_ratio = 0;
  std::uint32_t slow_responses = 0;
  std::uint32_t own_in_flight = 0;
  std::uint32_t reported_in_flight = 0;

  bool is_cold_or_suspect() const { return cold || suspect; }
  bool accepts_work() const { return !is_out_of_service && !draining; }
  // Slots that may be used now are those below this index.
  std::uint32_t usable_slots() const {
    return is_cold_or_suspect() ? std::min(spec.cold_slots, spec.slots)
                                : spec.slots;
  }
  double cost_us() const;
  // Whether `m` may run on this server, whose id is `id`.
  bool CanServe(const acquire& m, const server_id& id) const;
};

// Settings of one pool.
struct pool_info {
  milliseconds max_run{0};
  // The largest value in this run of the process, for leases granted under an
  // earlier setting.
  milliseconds longest_max_run{0};
  std::uint32_t queue_length = 0;
  std::vector<server_id> servers;
};

// Returns the home of a pool's servers in one data centre, by rendezvous
// hashing among the members of that data centre, or among all if it has none.
// Invalid without members.
member_id ChooseHome(const std::vector<home_candidate>& members,
                     const pool_id& pool,
                     const data_centre_id& data_centre);

// The servers and pools of the configuration with their current state.
class directory {
 public:
  explicit directory(const balance_options& options);

  void SetConfig(const config_view& config, time_point now);
  // Returns false if the epoch is not newer than the current one.
  bool SetHomes(const homes_changed& m);

  // Updates a server's state from an attempt. `sent_at` is when its slot was
  // assigned.
  void Update(const server_id& server,
              const release& m,
              time_point sent_at,
              time_point now);
  void Update(const load_report& m, time_point now);
  void MarkSuspect(const server_id& server, time_point now);
  // Applies the home's state of a server, requested at `requested_at`.
  void ApplyStateUpdate(const server_state_update& m,
                        time_point requested_at,
                        time_point now);
  // Applies a holder's observation, on the home.
  void ApplyObservation(const member_id& from,
                        const server_observation& m,
                        step_context& step);

  // Sends this host's observations to the servers' homes. Returns the servers
  // homed here whose state changed since the last call.
  std::set<server_id> SendObservations(step_context& step);
  // Sends unconfirmed observations again.
  void ResendObservations(step_context& step);
  // Applies the state in a former home's table.
  void ApplyLeaseTable(const lease_table& table, time_point now);
  // Decays the latency and failure averages. Call once per second.
  void DecayAverages();

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
  void StartSuspicion(const server_id& id, server_state& s, time_point now);
  void ClearSuspicion(const server_id& id,
                      server_state& s,
                      time_point evidence_time);
  void UpdateBoot(const server_id& id,
                  server_state& s,
                  const std::string& boot,
                  time_point now);
  void UpdateLatency(const server_id& id,
                     server_state& s,
                     const release& m,
                     time_point now);
  void SetHome(server_state& s, const server_id& id);
  server_observation ObservationOf(const server_id& id,
                                   const server_state& s) const;

  balance_options options_;
  std::map<server_id, server_state> servers_;
  std::map<pool_id, pool_info> pools_;
  epoch_number epoch_;
  std::vector<home_candidate> members_;
  // Servers whose state changed by this host's own observations.
  std::set<server_id> changed_servers_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_DIRECTORY_H_
