// The home's part: lends the slots of its servers to holders.
#ifndef DOTTERELLEAD_SRC_HOME_ROLE_H_
#define DOTTERELLEAD_SRC_HOME_ROLE_H_

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "directory.h"

namespace dotterellead {

class home_role {
 public:
  home_role(directory& servers, time_point started);

  // The directory has a new config or new homes.
  void OnConfig(step_context& step);
  void OnHomes(epoch_number before, step_context& step);
  void OnRight(const home_right_changed& m, step_context& step);
  void OnServerChanged(const server_id& server, step_context& step);
  void OnTick(step_context& step);

  void On(const member_id& from, const slot_request& m, step_context& step);
  void On(const member_id& from, const slot_return& m, step_context& step);
  void On(const member_id& from, const renewal& m, step_context& step);
  void On(const member_id& from, const handover_offer& m, step_context& step);
  void On(const member_id& from, const handover_accept& m, step_context& step);
  void On(const member_id& from, const handover& m, step_context& step);

  bool IsLending(const server_id& server, time_point now) const;
  std::uint32_t Lent(const server_id& server) const;
  // Slots lent to other hosts.
  std::uint32_t LentToOthers(const server_id& server) const;
  std::uint64_t slots_reclaimed() const { return slots_reclaimed_; }

 private:
  struct lent {
    member_id holder;
    std::uint64_t serial = 0;
    time_point expiry;
    milliseconds max_run{0};
    time_point recalled_at;
    bool in_use = false;
  };
  struct table {
    // This host alone may lend the server's slots: it has the earlier home's
    // table, or the earlier leases have run out.
    bool owned = false;
    // Not owned before this time, whatever the epochs say.
    time_point not_before;
    std::uint64_t next_serial = 0;
    std::vector<std::optional<lent>> slots;
  };
  struct want {
    member_id holder;
    slot_request request;
    time_point received;
  };
  // A table on its way to the server's new home.
  struct departing {
    member_id to;
    table slots;
    // The new home cannot own the server by waiting before this time.
    time_point until;
    // The only incarnation that may have the table.
    incarnation_id bound;
  };
  // A slot given back before this host had the lease table that lists it.
  struct early_return {
    member_id from;
    lease_ref lease;
    time_point received;
  };
  struct request_order {
    incarnation_id incarnation;
    std::uint64_t sequence = 0;
    auto operator<=>(const request_order&) const = default;
  };
  using want_key = std::tuple<member_id, pool_id, version_id>;

  bool MayLend(time_point now) const;
  table& TableFor(const server_id& server, const server_state& s);
  void TryOwn(const server_id& server, table& t, time_point now);
  bool IsLendable(const table& t, const server_state& s) const;
  static std::uint32_t CountFree(const table& t, const server_state& s);
  std::uint32_t CountSpare(const pool_id& pool) const;
  std::optional<server_id> ChooseServer(const want& w) const;
  std::optional<granted_lease> LendOne(const want& w, step_context& step);
  void Fill(want& w, step_context& step);
  void ServeWants(const pool_id& pool, step_context& step);
  void RecallFor(const want& w, step_context& step);
  void RecallUnsafe(const server_id& server, step_context& step);
  lent* FindLent(const member_id& holder, const lease_ref& lease);
  bool Renew(const member_id& holder,
             const renewed_lease& lease,
             step_context& step);
  void ReportTo(const member_id& holder,
                const renewal& m,
                renewed& reply,
                step_context& step);
  bool Reclaim(table& t, time_point now);
  void Notify(const server_id& server, step_context& step);

  void Depart(const server_id& server,
              table t,
              const member_id& to,
              time_point until);
  void Offer(step_context& step);
  lease_table Pack(const server_id& server,
                   const table& t,
                   time_point now) const;
  table Unpack(const lease_table& packed, time_point now) const;
  void KeepEarlyReturn(const member_id& from,
                       const lease_ref& lease,
                       time_point now);
  void TakeEarlyReturns(const server_id& server);

  directory& servers_;
  time_point started_;
  time_point lend_before_;
  // End of the right that an earlier epoch gave. Servers that kept this host as
  // their home in each epoch since are lent until then.
  time_point carried_until_;
  std::optional<time_point> earlier_homes_end_;
  std::map<server_id, table> tables_;
  std::map<pool_id, std::deque<want>> wants_;
  std::map<want_key, request_order> last_request_;
  std::map<server_id, departing> departing_;
  std::deque<early_return> early_returns_;
  time_point next_offer_;
  std::uint64_t slots_reclaimed_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_HOME_ROLE_H_
