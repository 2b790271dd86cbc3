// Chooses the home to which an idempotent request is forwarded.
#ifndef DOTTERELLEAD_SRC_FORWARD_ROLE_H_
#define DOTTERELLEAD_SRC_FORWARD_ROLE_H_

#include <map>
#include <optional>
#include <tuple>

#include "directory.h"

namespace dotterellead {

// Estimates the load of each home from its responses.
class forward_role {
 public:
  explicit forward_role(const directory& servers) : servers_(servers) {}

  struct choice {
    member_id home;
    // Whether the home has a free slot according to the estimate.
    bool has_free_slot = false;
  };

  // Returns the home that has a slot for `m` soonest, this host included; `own`
  // is this host's load. Unset if no home of an eligible server is reachable.
  std::optional<choice> Choose(const acquire& m,
                               const home_load& own,
                               time_point now) const;
  // Records that a request was forwarded to `home`.
  void RecordForward(const pool_id& pool, const member_id& home);
  void On(const forward_ended& m, time_point now);
  // Removes homes that are no longer members.
  void OnDirectoryChanged();

 private:
  using home_key = std::pair<pool_id, member_id>;
  struct home_state {
    home_load load;
    std::optional<time_point> reported_at;
    // Requests forwarded since the load was reported.
    std::uint32_t forwarded_since_report = 0;
    std::uint32_t in_flight = 0;
    // It did not respond, or has no slots to grant.
    time_point avoided_until;
  };
  // Estimated current requests and usable slots.
  struct estimate {
    std::uint32_t busy = 0;
    std::uint32_t usable = 0;
  };
  // Lower is better.
  using rank = std::tuple<int, double, std::uint64_t>;

  // Slots of each home's servers that can serve `m`, including cold ones: the
  // homes' reports say how many are usable.
  std::map<member_id, std::uint32_t> EligibleSlots(const acquire& m) const;
  std::optional<estimate> Estimate(const home_key& key,
                                   std::uint32_t slots,
                                   const home_load& own,
                                   time_point now) const;
  rank RankOf(const member_id& home, const estimate& e) const;

  const directory& servers_;
  std::map<home_key, home_state> homes_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_FORWARD_ROLE_H_
