// Moves a pool's traffic to a new version in steps, compares both versions, and
// completes the move or rolls it back. One host, the root of the fleet,
// decides; the others apply its stages. Makes no I/O. The standalone mode has
// its own form of this, packages/rollout.
#ifndef DOTTERELLEAD_MOVES_H_
#define DOTTERELLEAD_MOVES_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dotterellead/catalog.h"
#include "dotterellead/core.h"

namespace dotterellead::moves {

// ---- Evidence

// Counts attempts on one version.
struct attempt_counters {
  std::uint64_t attempts = 0;
  // Attempts that failed or took several times the predicted latency.
  std::uint64_t faulty = 0;

  void Add(const attempt_counters& other) {
    attempts += other.attempts;
    faulty += other.faulty;
  }
  bool operator==(const attempt_counters&) const = default;
};

struct counter_key {
  pool_id pool;
  // Revision of the move order that the attempts belong to.
  log_offset order;
  // Whether the attempts went to the move's target.
  bool is_target = false;
  catalog::route_name route;
  auto operator<=>(const counter_key&) const = default;
};

using counter_table = std::map<counter_key, attempt_counters>;

// Attempts on both versions in one step of a move, that is, during the same
// time and under the same conditions.
struct step_evidence {
  attempt_counters target;
  attempt_counters old;
};

// Whether the target has significantly more faulty attempts than the old
// version in the same steps.
bool IsWorse(const std::vector<step_evidence>& steps);

// ---- Stages

// The current state of one move, which all hosts apply.
struct stage {
  pool_id pool;
  version_id target;
  log_offset order;
  // Share of the pool's requests that goes to the target, per mille.
  std::uint32_t per_mille = 0;
  catalog::move_state state = catalog::move_state::kRunning;
  // Time from the first sight of the order to the sending of the stage.
  milliseconds age{0};
  // Increases with each change of the stage of one order.
  std::uint64_t step = 0;
  bool operator==(const stage&) const = default;
};

// ---- Messages

// A new snapshot of the servers, orders and outcomes is in force.
struct catalog_changed {
  catalog::snapshot_ptr snapshot;
};

// Attempts counted by this host or reported by its children.
struct attempts_counted {
  counter_table counters;
};

// Whether this host is the root of the fleet, which decides.
struct role_changed {
  bool is_root = false;
};

// Stages received from the parent host.
struct stages_received {
  std::vector<stage> stages;
};

// ---- Effects

// The stages in force, to be applied to this host's requests and sent to its
// children.
struct stages_changed {
  std::vector<stage> stages;
};

// Requests that the outcome be written to the store. Emitted again until the
// catalog shows it.
struct write_status {
  pool_id pool;
  catalog::move_status status;
};

// Counters to be sent to the parent host.
struct report_counters {
  counter_table counters;
};

// One line of the decision log.
struct decision {
  std::string event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

// ---- State machine

struct move_settings {
  // Requests that a faulty version may get: a share of all requests and a
  // number beyond it; from the operators' limits.
  double max_exposure_ratio = 0.1;
  double exposure_allowance = 50;
  // Additional delay before this host writes a verdict that the root did not
  // get written. Differs between hosts, so that one of them comes first.
  milliseconds takeover_delay{0};
};

// Not thread-safe: one duty owns it and calls Step for each message.
class move_machine {
 public:
  using message = std::variant<catalog_changed,
                               attempts_counted,
                               role_changed,
                               stages_received,
                               tick>;
  using effect =
      std::variant<stages_changed, write_status, report_counters, decision>;

  explicit move_machine(move_settings settings) : settings_(settings) {}

  // Handles one message and appends the resulting effects to `out`.
  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // The time of the next tick; nullopt while there is nothing to decide or
  // write.
  std::optional<time_point> NextDeadline() const;

 private:
  using effects = std::vector<effect>;

  struct received_verdict {
    catalog::move_state state = catalog::move_state::kRunning;
    time_point received_at;
  };

  struct move_record {
    catalog::move_order order;
    stage current;
    time_point started_at;
    unix_millis started_wall;
    time_point step_started_at;
    time_point next_write_at;
    // The root's verdict, which this host writes if the root does not.
    received_verdict root_verdict;
    // Evidence by step, for all routes together and for each route.
    std::vector<step_evidence> steps{1};
    std::map<catalog::route_name, std::vector<step_evidence>> by_route;
    // Over all steps.
    step_evidence total;
  };

  void On(const catalog_changed& m, const timestamp& now, effects& out);
  void On(const attempts_counted& m, const timestamp& now, effects& out);
  void On(const role_changed& m, const timestamp& now, effects& out);
  void On(const stages_received& m, const timestamp& now, effects& out);
  void On(const tick& m, const timestamp& now, effects& out);

  // Emits write_status unless the catalog shows the outcome.
  void WriteOutcome(move_record& move,
                    catalog::move_state state,
                    const timestamp& now,
                    effects& out);
  // Checks for faults and enters the next stage when it is due.
  void Evaluate(move_record& move, const timestamp& now, effects& out);
  // Describes how the target is worse than the old version; empty if it is not.
  std::string FindFault(const move_record& move) const;
  // Whether the trial has enough attempts on each route with traffic.
  bool HasEnoughAttempts(const move_record& move) const;
  std::uint32_t TrialShare(const move_record& move, const timestamp& now) const;
  void EnterStage(move_record& move,
                  std::uint32_t per_mille,
                  catalog::move_state state,
                  const std::string& reason,
                  const timestamp& now,
                  effects& out);
  void PublishStages(const timestamp& now, effects& out);
  // Slots of the pool's servers that accept requests, by version.
  struct capacity {
    std::uint32_t target = 0;
    std::uint32_t old = 0;
  };
  capacity UsableSlots(const move_record& move) const;
  // The largest share, per mille, that fits into the target's slots.
  std::uint32_t MaxShareForCapacity(const move_record& move) const;
  // Elapsed fraction of the order's duration.
  static double Progress(const move_record& move, const timestamp& now);

  move_settings settings_;
  bool is_root_ = false;
  std::map<pool_id, move_record> moves_;
  catalog::snapshot_ptr catalog_;
  bool is_changed_ = false;
};

}  // namespace dotterellead::moves

#endif  // DOTTERELLEAD_MOVES_H_
