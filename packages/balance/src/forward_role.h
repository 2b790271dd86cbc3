// Which home an idempotent request is forwarded to.
#ifndef DOTTERELLEAD_SRC_FORWARD_ROLE_H_
#define DOTTERELLEAD_SRC_FORWARD_ROLE_H_

#include <map>
#include <optional>
#include <tuple>

#include "directory.h"

namespace dotterellead {

class forward_role {
 public:
  explicit forward_role(const directory& servers) : servers_(servers) {}

  struct choice {
    member_id home;
    // As far as known, the home has a free slot.
    bool has_free = false;
  };

  // The home with a slot for `m` soonest, this host included; `own` is this
  // host's load. Unset if no home of a suitable server can be reached.
  std::optional<choice> Choose(const acquire& m,
                               const home_load& own,
                               time_point now) const;
  // A request was forwarded to `home`.
  void Begin(const pool_id& pool, const member_id& home);
  void On(const forward_ended& m, time_point now);
  // Forgets homes that are no members any more.
  void OnDirectoryChanged();

 private:
  using home_key = std::pair<pool_id, member_id>;
  struct known_home {
    home_load load;
    std::optional<time_point> reported_at;
    // Forwarded since the load was reported.
    std::uint32_t sent_since = 0;
    std::uint32_t unanswered = 0;
    // It gave no answer, or has no slots to lend.
    time_point avoided_until;
  };
  // Requests and usable slots as estimated now.
  struct estimate {
    std::uint32_t busy = 0;
    std::uint32_t usable = 0;
  };
  // Lower is better.
  using rank = std::tuple<int, double, std::uint64_t>;

  // The slots of each home's servers that can serve `m`, cold or not: the
  // homes' reports say how many of them may be used.
  std::map<member_id, std::uint32_t> Slots(const acquire& m) const;
  std::optional<estimate> Estimate(const home_key& key,
                                   std::uint32_t slots,
                                   const home_load& own,
                                   time_point now) const;
  rank RankOf(const member_id& home, const estimate& e) const;

  const directory& servers_;
  std::map<home_key, known_home> homes_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_FORWARD_ROLE_H_
