// The holder's part: gets slots on lease and assigns them to waiting requests.
#ifndef DOTTERELLEAD_SRC_HOLDER_ROLE_H_
#define DOTTERELLEAD_SRC_HOLDER_ROLE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "directory.h"
#include "forward_role.h"
#include "wait_queue.h"

namespace dotterellead {

class holder_role {
 public:
  explicit holder_role(directory& servers);

  // `own` is this host's load as a home of the pool.
  void On(const acquire& m, const home_load& own, step_context& step);
  void On(const forward_ended& m, step_context& step);
  void On(const withdraw& m, step_context& step);
  void On(const release& m, step_context& step);
  // The directory has a new config or new homes.
  void OnDirectoryChanged(step_context& step);
  // A server's state changed.
  void OnServersChanged(step_context& step);
  void OnTick(step_context& step);

  void On(const member_id& from, const slot_grant& m, step_context& step);
  void On(const member_id& from, const slot_recall& m, step_context& step);
  void On(const member_id& from, const renewed& m, step_context& step);

  // Sends the slots given back in this step, one message per home.
  void SendReturns(step_context& step);

  void Count(const server_id& server, server_balance& counts) const;
  // Requests of the pool in flight from this host on servers homed here, or
  // waiting.
  std::uint32_t Busy(const pool_id& pool) const;
  // Slots of a server that this host holds and may use.
  std::uint32_t UsableHeld(const server_id& server, time_point now) const;
  std::uint32_t Waiting(const pool_id& pool) const;
  std::uint64_t leases_expired() const { return leases_expired_; }

 private:
  struct held_lease {
    std::uint64_t serial = 0;
    time_point expiry;
    milliseconds max_run{0};
    // The request that uses it, if any.
    request_id user;
    time_point idle_since;
    // After a cancelled attempt the server may still be busy until then.
    time_point usable_from;
    // Expired or refused by the home while in use.
    bool lost = false;
    bool recalled = false;
    bool must_return = false;
    std::uint32_t needy_held = 0;
  };
  using server_leases = std::map<slot_index, held_lease>;
  struct use {
    pool_id pool;
    server_id server;
    slot_index slot;
    std::uint64_t serial = 0;
    time_point assigned_at;
    time_point ends_before;
  };
  // What a home was asked for on behalf of one wanted version.
  struct asked_home {
    time_point asked_at;
    bool is_owing = false;
    std::uint32_t spare = 0;
  };
  struct ask_state {
    time_point next_ask;
    std::map<member_id, asked_home> homes;
  };
  struct pool_state {
    wait_queue queue;
    std::map<version_id, ask_state> asks;
    // A request went to another data centre since the last renewal.
    bool used_other_data_centre = false;
  };
  // Slots that waiting requests need: of this host as a home, and of others.
  struct wanted_slots {
    std::uint32_t here = 0;
    std::uint32_t elsewhere = 0;
  };
  struct sent_message {
    time_point at;
    std::vector<lease_ref> leases;
  };
  struct grant_order {
    epoch_number term;
    std::uint64_t serial = 0;
    auto operator<=>(const grant_order&) const = default;
  };

  // holder_role.cc: requests and slots in use.
  bool TryAssign(const acquire& m, step_context& step);
  // Forwards the request, or refuses it, if it cannot wait at this host.
  bool SendElsewhere(acquire& m, const home_load& own, step_context& step);
  // Waiting requests that depend on this host as a home it no longer is.
  void ReviewHomeWaits(pool_state& pool, step_context& step);
  bool IsHomeFor(const acquire& m) const;
  std::vector<choice_candidate> Candidates(const acquire& m,
                                           time_point now) const;
  bool HasEligibleServer(const acquire& m) const;
  void Assign(const acquire& m, const server_id& server, step_context& step);
  void ServeWaiting(const pool_id& pool, step_context& step);
  void Refuse(const acquire& m, refusal_reason reason, step_context& step);
  void RefuseHopeless(pool_state& pool, step_context& step);
  void EndUse(const release& m, step_context& step);
  void EndOverdueUses(step_context& step);
  static bool IsUsable(const held_lease& lease, time_point now);
  const held_lease* FindIdle(const server_id& server, time_point now) const;

  // holder_leases.cc: leases and messages to homes.
  held_lease* FindLease(const lease_ref& ref);
  std::uint32_t Held(const pool_id& pool) const;
  bool HasIdle(const pool_id& pool, time_point now) const;
  bool MustReturn(const server_id& server,
                  slot_index slot,
                  const held_lease& lease,
                  time_point now) const;
  void Review(time_point now);
  bool ReviewLease(const server_id& server,
                   slot_index slot,
                   held_lease& lease,
                   time_point now);
  void Return(const server_id& server, slot_index slot, std::uint64_t serial);
  void Ask(const pool_id& pool, step_context& step);
  void AskFor(const pool_id& pool,
              const version_id& version,
              const wanted_slots& wanted,
              step_context& step);
  void AskHome(const pool_id& pool,
               const version_id& version,
               std::uint32_t count,
               const member_id& home,
               step_context& step);
  std::vector<member_id> HomesToAsk(const pool_id& pool,
                                    const version_id& version,
                                    const ask_state& state,
                                    time_point now) const;
  bool Accept(const slot_grant& m,
              const granted_lease& granted,
              time_point sent_at,
              step_context& step);
  // Asks the home of a server of the own data centre for a slot, for each pool
  // whose requests went to another data centre although it has such servers.
  void AskLocal(step_context& step);
  void Renew(step_context& step);
  const sent_message* FindSent(incarnation_id incarnation,
                               std::uint64_t sequence) const;
  std::uint64_t NextSequence(sent_message message);
  void ForgetSent(time_point now);

  directory& servers_;
  forward_role forwards_;
  std::unique_ptr<choice_policy> policy_;
  std::map<pool_id, pool_state> pools_;
  std::map<server_id, server_leases> leases_;
  // The newest grant of each slot, so that a late copy of an older one is not
  // taken for a new lease.
  std::map<std::pair<server_id, slot_index>, grant_order> newest_grant_;
  std::map<request_id, use> in_use_;
  std::map<server_id, std::vector<lease_ref>> returns_;
  std::map<std::uint64_t, sent_message> sent_;
  std::uint64_t last_sequence_ = 0;
  time_point next_renewal_;
  std::uint64_t leases_expired_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_HOLDER_ROLE_H_
