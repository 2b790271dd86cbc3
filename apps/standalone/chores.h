// What an entry host does from time to time besides serving.
#ifndef DOTTERELLEAD_CHORES_H_
#define DOTTERELLEAD_CHORES_H_

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

#include "dotterellead/drain.h"
#include "dotterellead/membership.h"

namespace dotterellead {

// Tell drain how many requests are in progress.
struct count_requests {};

struct read_host_list {};

// Close an interval of the statistics.
struct roll_statistics {};

// Decides when the chores are due. Requests are counted at each tick, but only
// once the host is leaving, as drain needs them then only.
class chore_machine {
 public:
  using message = std::variant<peer_lost, draining_started, tick>;
  using effect =
      std::variant<peer_lost, count_requests, read_host_list, roll_statistics>;

  std::optional<time_point> NextDeadline() const {
    return leaving_ ? time_point()
                    : std::min(next_host_list_, next_statistics_);
  }

  void Step(const message& m, const timestamp& now, std::vector<effect>& out) {
    std::visit([&](const auto& body) { On(body, now.steady, out); }, m);
  }

 private:
  static constexpr milliseconds kHostListInterval{1'000};
  static constexpr milliseconds kStatisticsInterval{10'000};

  static void On(const peer_lost& m, time_point, std::vector<effect>& out) {
    out.emplace_back(m);
  }

  void On(const draining_started&, time_point, std::vector<effect>& out) {
    leaving_ = true;
    out.emplace_back(count_requests{});
  }

  void On(const tick&, time_point now, std::vector<effect>& out) {
    if (leaving_)
      out.emplace_back(count_requests{});
    if (now >= next_host_list_) {
      next_host_list_ = now + kHostListInterval;
      out.emplace_back(read_host_list{});
    }
    if (now >= next_statistics_) {
      next_statistics_ = now + kStatisticsInterval;
      out.emplace_back(roll_statistics{});
    }
  }

  bool leaving_ = false;
  time_point next_host_list_;
  time_point next_statistics_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_CHORES_H_
