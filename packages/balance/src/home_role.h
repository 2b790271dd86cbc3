// The home's role: grants the slots of its servers to holders.
#ifndef DOTTERELLEAD_SRC_HOME_ROLE_H_
#define DOTTERELLEAD_SRC_HOME_ROLE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "directory.h"

namespace dotterellead {

// Part of balance_machine.
class home_role {
 public:
  home_role(directory& servers, time_point started);

  // The directory has a new configuration or new homes.
  void OnConfig(step_context& step);
  void OnHomes(epoch_number before, step_context& step);
  void OnRight(const grant_right_changed& m, step_context& step);
  void OnServerChanged(const server_id& server, step_context& step);
  void OnTick(step_context& step);

  void On(const member_id& from, const slot_request& m, step_context& step);
  void On(const member_id& from, const slot_return& m, step_context& step);
  void On(const member_id& from, const renewal& m, step_context& step);
  void On(const member_id& from, const handover_offer& m, step_context& step);
  void On(const member_id& from, const handover_accept& m, step_context& step);
  void On(const member_id& from, const handover& m, step_context& step);

  bool IsGranting(const server_id& server, time_point now) const;
  std::uint32_t GrantedCount(const server_id& server) const;
  // Slots granted to other hosts.
  std::uint32_t GrantedToOthers(const server_id& server) const;
  std::uint64_t slots_reclaimed() const { return slots_reclaimed_; }

 private:
  struct lease_record {
    member_id holder;
    std::uint64_t serial = 0;
    time_point expiry;
    milliseconds max_run{0};
    time_point recalled_at;
    bool in_use = false;
  };
  struct table {
    // Whether only this host may grant the server's slots, because it has the
    // former home's table or the earlier leases have expired.
    bool is_owned = false;
    // Earliest time of ownership, independent of epochs.
    time_point own_not_before;
    std::uint64_t next_serial = 0;
    std::vector<std::optional<lease_record>> slots;
  };
  struct pending_request {
    member_id holder;
    slot_request request;
    time_point received_at;
  };
  // A lease table to be sent to the server's new home.
  struct outgoing_table {
    member_id to;
    table leases;
    // The table may be sent until then; afterwards the new home may own the
    // server by waiting.
    time_point send_until;
    // The only incarnation that may receive the table.
    incarnation_id receiver;
  };
  // A slot returned before this host had the lease table that lists it.
  struct early_return {
    member_id from;
    lease_ref lease;
    time_point received_at;
  };
  struct request_order {
    incarnation_id incarnation;
    std::uint64_t sequence = 0;
    auto operator<=>(const request_order&) const = default;
  };
  using request_key = std::tuple<member_id, pool_id, version_id>;

  bool MayGrant(time_point now) const;
  table& TableFor(const server_id& server, const server_state& s);
  void TryTakeOwnership(const server_id& server, table& t, time_point now);
  bool IsGrantable(const table& t, const server_state& s) const;
  static std::uint32_t CountFree(const table& t, const server_state& s);
  std::uint32_t CountSpare(const pool_id& pool) const;
  std::optional<server_id> ChooseServer(const pending_request& w) const;
  std::optional<granted_lease> GrantSlot(const pending_request& w,
                                         step_context& step);
  void GrantSlots(pending_request& w, step_context& step);
  void ServePendingRequests(const pool_id& pool, step_context& step);
  void RecallFor(const pending_request& w, step_context& step);
  void RecallUnsafe(const server_id& server, step_context& step);
  lease_record* FindLease(const member_id& holder, const lease_ref& lease);
  bool RenewLease(const member_id& holder,
                  const renewed_lease& lease,
                  step_context& step);
  void AddStateUpdates(const member_id& holder,
                       const renewal& m,
                       renewed& reply,
                       step_context& step);
  bool ReclaimExpired(table& t, time_point now);
  void SendStateUpdate(const server_id& server, step_context& step);

  void StartHandover(const server_id& server,
                     table t,
                     const member_id& to,
                     time_point until);
  void SendHandoverOffers(step_context& step);
  lease_table Pack(const server_id& server,
                   const table& t,
                   time_point now) const;
  table Unpack(const lease_table& packed, time_point now) const;
  void StoreEarlyReturn(const member_id& from,
                        const lease_ref& lease,
                        time_point now);
  void ApplyEarlyReturns(const server_id& server);

  directory& servers_;
  time_point started_;
  time_point grant_until_;
  // End of the right from an earlier epoch. Slots of servers whose home was
  // this host in each epoch since may be granted until then.
  time_point carried_over_until_;
  std::optional<time_point> earlier_grants_end_at_;
  std::map<server_id, table> tables_;
  std::map<pool_id, std::deque<pending_request>> pending_requests_;
  std::map<request_key, request_order> last_request_;
  std::map<server_id, outgoing_table> outgoing_tables_;
  std::deque<early_return> early_returns_;
  time_point next_offer_;
  std::uint64_t slots_reclaimed_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_HOME_ROLE_H_
