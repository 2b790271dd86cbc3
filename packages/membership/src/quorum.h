// When this host may act as a home, and when earlier epochs have ended.
#ifndef DOTTERELLEAD_QUORUM_H_
#define DOTTERELLEAD_QUORUM_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "epoch_log.h"

namespace dotterellead {

// Counts direct responses for the current epoch. A member responds with its
// epoch, which never decreases. A response counts from the sending of its
// digest, the earliest time at which the member had not left the epoch.
class quorum {
 public:
  explicit quorum(member_run self) : self_(std::move(self)) {}

  // Starts counting for `current`.
  void SetEpoch(const epoch& current);
  void AddResponse(const self_report& report, time_point sent_at);
  // End of the right if this host is a member and more than half of the members
  // have responded; it may be in the past. Members that have ended count too:
  // with a smaller base a host without updates could grant slots again after
  // others have taken over.
  std::optional<time_point> ValidUntil(time_point now) const;
  // Whether `run` has responded in the current epoch.
  bool HasResponded(const member_run& run) const;

 private:
  member_run self_;
  epoch current_;
  // Send time of the last digest with a response, by index in the epoch's
  // members.
  std::vector<std::optional<time_point>> responses_;
};

// Epochs before the current one that may not have ended. An epoch has ended
// once at least half of its members have left it, by reaching a later epoch or
// by ending, and their earlier responses are no longer valid.
class former_epochs {
 public:
  // Adds the epoch that was current until now.
  void Add(const epoch& former);
  // Records that there are epochs up to `through` that this host has not seen.
  void AddUnseen(epoch_number through);
  void AddReport(const self_report& report, time_point now);
  // Marks members as having left for which `has_ended` is true.
  void CountEndedMembers(
      const std::function<bool(const member_run&)>& has_ended,
      time_point now);
  // Ends unseen epochs if `all_reached` is true, that is, if all hosts on the
  // platform's list have reached the current epoch, so that none is left in an
  // unseen one.
  void EndUnseen(const std::function<bool()>& all_reached, time_point now);
  // Applies the information that epochs up to `ended` have ended.
  void SetEnded(epoch_number ended, time_point now);
  // Removes the epochs that have ended; `current` is the current epoch.
  void RemoveEnded(epoch_number current, time_point now);

  // Epochs up to this number have ended.
  epoch_number ended() const { return ended_; }
  // Time of the last end, if all epochs before `current` are known to have
  // ended.
  std::optional<time_point> AllEndedAt(epoch_number current) const;
  std::vector<epoch_number> numbers() const;
  // Calls `visit` for each member of an epoch that may not have ended.
  void VisitMembers(const std::function<void(const member_run&)>& visit) const;

 private:
  struct former_epoch {
    epoch former;
    std::vector<bool> has_left;
    std::optional<time_point> ended_at;
  };

  static void UpdateEnd(former_epoch& open, time_point now);

  std::map<epoch_number, former_epoch> epochs_;
  epoch_number ended_{0};
  epoch_number unseen_through_{0};
  std::optional<time_point> unseen_ended_at_;
  time_point last_ended_at_{};
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_QUORUM_H_
