// The holder's role: leases slots and assigns them to waiting requests.
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

// Part of balance_machine.
class holder_role {
 public:
  explicit holder_role(directory& servers);

  // `own` is this host's load as a home of the pool.
  void On(const acquire& m, const home_load& own, step_context& step);
  void On(const forward_ended& m, step_context& step);
  void On(const cancel_acquire& m, step_context& step);
  void On(const release& m, step_context& step);
  // The directory has a new configuration or new homes.
  void OnDirectoryChanged(step_context& step);
  // A server's state changed.
  void OnServersChanged(step_context& step);
  void OnTick(step_context& step);

  void On(const member_id& from, const slot_grant& m, step_context& step);
  void On(const member_id& from, const slot_recall& m, step_context& step);
  void On(const member_id& from, const renewed& m, step_context& step);

  // Sends the slots returned in this step, one message per home.
  void SendReturns(step_context& step);

  void CountLeases(const server_id& server, server_balance& counts) const;
  // Requests of the pool in flight from this host to servers homed here, or
  // waiting.
  std::uint32_t InFlightOrWaiting(const pool_id& pool) const;
  // Slots of a server that this host has leased and may use.
  std::uint32_t UsableHeld(const server_id& server, time_point now) const;
  std::uint32_t Waiting(const pool_id& pool) const;
  std::uint64_t leases_expired() const { return leases_expired_; }

 private:
  struct held_lease {
    std::uint64_t serial = 0;
    time_point expiry;
    milliseconds max_run{0};
    // The request using the slot; invalid if idle.
    request_id request;
    time_point idle_since;
    // After a cancelled attempt the server may be busy until then.
    time_point usable_from;
    // Expired, or not renewed by the home, while in use.
    bool is_lost = false;
    bool is_recalled = false;
    bool is_return_mandatory = false;
    std::uint32_t requester_held = 0;
  };
  using server_leases = std::map<slot_index, held_lease>;
  struct slot_use {
    pool_id pool;
    server_id server;
    slot_index slot;
    std::uint64_t serial = 0;
    time_point assigned_at;
    time_point ends_at;
  };
  // The last request to one home for one version.
  struct home_request {
    time_point requested_at;
    bool has_pending_slots = false;
    std::uint32_t spare = 0;
  };
  struct version_requests {
    time_point next_request_at;
    std::map<member_id, home_request> homes;
  };
  struct pool_state {
    wait_queue queue;
    std::map<version_id, version_requests> requests;
    // Whether a request went to another data centre since the last renewal.
    bool used_other_data_centre = false;
  };
  // Slots needed by waiting requests, from this host as a home and from others.
  struct needed_slots {
    std::uint32_t local = 0;
    std::uint32_t remote = 0;
  };
  struct sent_message {
    time_point sent_at;
    std::vector<lease_ref> leases;
  };
  struct grant_order {
    epoch_number term;
    std::uint64_t serial = 0;
    auto operator<=>(const grant_order&) const = default;
  };

  // holder_role.cc: requests and slots in use.
  bool TryAssign(const acquire& m, step_context& step);
  // Forwards or rejects a request that cannot wait at this host.
  bool ForwardOrReject(acquire& m, const home_load& own, step_context& step);
  // Rejects waiting requests that depend on this host as a home it no longer
  // is.
  void RecheckHomeRequests(pool_state& pool, step_context& step);
  bool IsHomeFor(const acquire& m) const;
  std::vector<choice_candidate> Candidates(const acquire& m,
                                           time_point now) const;
  bool HasEligibleServer(const acquire& m) const;
  void Assign(const acquire& m, const server_id& server, step_context& step);
  void ServeWaiting(const pool_id& pool, step_context& step);
  void Reject(const acquire& m, rejection_reason reason, step_context& step);
  void RejectUnservable(pool_state& pool, step_context& step);
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
  void ReviewLeases(time_point now);
  bool ReviewLease(const server_id& server,
                   slot_index slot,
                   held_lease& lease,
                   time_point now);
  void ReturnSlot(const server_id& server,
                  slot_index slot,
                  std::uint64_t serial);
  void RequestSlots(const pool_id& pool, step_context& step);
  void RequestSlotsForVersion(const pool_id& pool,
                              const version_id& version,
                              const needed_slots& needed,
                              step_context& step);
  void SendSlotRequest(const pool_id& pool,
                       const version_id& version,
                       std::uint32_t count,
                       const member_id& home,
                       step_context& step);
  std::vector<member_id> HomesToRequestFrom(const pool_id& pool,
                                            const version_id& version,
                                            const version_requests& state,
                                            time_point now) const;
  bool AcceptLease(const slot_grant& m,
                   const granted_lease& granted,
                   time_point sent_at,
                   step_context& step);
  // For each pool whose requests went to another data centre although it has
  // local servers: requests a slot from a local server's home.
  void RequestLocalSlots(step_context& step);
  void SendRenewals(step_context& step);
  const sent_message* FindSent(incarnation_id incarnation,
                               std::uint64_t sequence) const;
  std::uint64_t NextSequence(sent_message message);
  void RemoveExpiredMessages(time_point now);

  directory& servers_;
  forward_role forwarding_;
  std::unique_ptr<choice_policy> policy_;
  std::map<pool_id, pool_state> pools_;
  std::map<server_id, server_leases> leases_;
  // Newest grant of each slot, so that a late duplicate of an older one is not
  // mistaken for a new lease.
  std::map<std::pair<server_id, slot_index>, grant_order> newest_grant_;
  std::map<request_id, slot_use> in_use_;
  std::map<server_id, std::vector<lease_ref>> pending_returns_;
  std::map<std::uint64_t, sent_message> sent_messages_;
  std::uint64_t last_sequence_ = 0;
  time_point next_renewal_;
  std::uint64_t leases_expired_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_HOLDER_ROLE_H_
