// When this host may act as a home, and when earlier epochs have ended.
#ifndef DOTTERELLEAD_QUORUM_H_
#define DOTTERELLEAD_QUORUM_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "epoch_log.h"

namespace dotterellead {

// Counts direct answers for the current epoch. A member answers with the epoch
// that it has reached, and never with a lower one later. An answer counts from
// the send of the digest that it answers: at that time at the earliest had the
// member not left the epoch.
class quorum {
 public:
  explicit quorum(member_run self) : self_(std::move(self)) {}

  // Starts to count for `current`.
  void Begin(const epoch& current);
  void TakeAnswer(const self_report& report, time_point sent_at);
  // End of the right, if this host is a member and more than half of the
  // members have answered; it may be past. All members count, also those that
  // are gone: a smaller base would let a host without news lend again after
  // others have taken over.
  std::optional<time_point> ValidUntil(time_point now) const;
  // True if `run` has answered in the current epoch.
  bool HasAnswered(const member_run& run) const;

 private:
  member_run self_;
  epoch current_;
  // By index in the epoch's members: send time of the last answered digest.
  std::vector<std::optional<time_point>> answered_;
};

// Epochs before the current one that may not have ended. An epoch has ended
// once at least half of its members have left it, by reaching a later epoch or
// by being gone, and the answers that they gave before no longer count.
class open_epochs {
 public:
  // Adds the epoch that was current until now.
  void Add(const epoch& former);
  // Epochs up to `through` exist that this host has not seen.
  void AddUnseen(epoch_number through);
  void TakeReport(const self_report& report, time_point now);
  // Counts members as left for which `is_gone` holds.
  void CountGone(const std::function<bool(const member_run&)>& is_gone,
                 time_point now);
  // Ends unseen epochs if `all_reached` holds: all hosts that the platform
  // lists have reached the current epoch, so none is left in an unseen one.
  void EndUnseen(const std::function<bool()>& all_reached, time_point now);
  // Takes from another host or a record that epochs up to `ended` have ended.
  void TakeEnded(epoch_number ended, time_point now);
  // Drops the epochs whose end has been reached; `current` is the epoch in
  // force.
  void Settle(epoch_number current, time_point now);

  // Epochs up to this number have ended.
  epoch_number ended() const { return ended_; }
  // Time of the last end, if it is known for all epochs before `current`.
  std::optional<time_point> AllEndedAt(epoch_number current) const;
  std::vector<epoch_number> numbers() const;
  // Calls `visit` for each member of an open epoch.
  void VisitMembers(const std::function<void(const member_run&)>& visit) const;

 private:
  struct open_epoch {
    epoch of;
    std::vector<bool> left;
    std::optional<time_point> ended_at;
  };

  static void CountLeft(open_epoch& open, time_point now);

  std::map<epoch_number, open_epoch> open_;
  epoch_number ended_{0};
  epoch_number unseen_through_{0};
  std::optional<time_point> unseen_ended_at_;
  time_point last_ended_at_{};
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_QUORUM_H_
