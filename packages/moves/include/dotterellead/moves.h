// Moves a pool's traffic to a new version: shares, comparison of the versions,
// and the verdict. One host, the root of the fleet, decides; the others apply
// its stages. Makes no I/O.
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

// Attempts on one version.
struct version_tally {
  std::uint64_t attempts = 0;
  // Failed, or took several times as long as expected.
  std::uint64_t bad = 0;

  void Add(const version_tally& other) {
    attempts += other.attempts;
    bad += other.bad;
  }
  bool operator==(const version_tally&) const = default;
};

struct tally_key {
  pool_id pool;
  // The order that the attempts belong to.
  log_offset order;
  // Whether the attempts went to the move's target.
  bool is_target = false;
  catalog::route_name route;
  auto operator<=>(const tally_key&) const = default;
};

using tallies = std::map<tally_key, version_tally>;

// Attempts on both versions in one step of a move, in which they shared the
// same time and the same conditions.
struct step_evidence {
  version_tally target;
  version_tally old;
};

// Whether the attempts on the target are worse than those on the old version in
// the same steps, beyond what chance explains.
bool IsWorse(const std::vector<step_evidence>& steps);

// ---- Stages

// What all hosts do with one move.
struct stage {
  pool_id pool;
  version_id target;
  log_offset order;
  // Share of the pool's requests that goes to the target.
  std::uint32_t per_mille = 0;
  catalog::move_state state = catalog::move_state::kRunning;
  // Time since the order was first seen, when the stage was sent.
  milliseconds age{0};
  // Grows with each change of the stage of one order.
  std::uint64_t step = 0;
  bool operator==(const stage&) const = default;
};

// ---- Messages

struct catalog_changed {
  catalog::snapshot_ptr snapshot;
};

// Attempts counted on this host or below it in the fleet.
struct tallies_counted {
  tallies counts;
};

// Whether this host is the fleet's root, which decides.
struct role_changed {
  bool is_root = false;
};

// What the host above says.
struct stages_heard {
  std::vector<stage> stages;
};

// ---- Effects

// The stages in force, for this host's requests and for the hosts below.
struct stages_changed {
  std::vector<stage> stages;
};

// Asks for the outcome to be written where operators read it. Repeated until
// the catalog shows it.
struct write_status {
  pool_id pool;
  catalog::move_status status;
};

// Tallies to pass on to the host above.
struct pass_tallies {
  tallies counts;
};

struct decision {
  std::string event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

// ---- Machine

struct move_settings {
  // Share of all requests, and number beyond it, that a bad version may get.
  double expose_share = 0.1;
  double expose_slack = 50;
  // How much later than the root this host writes a verdict that the root does
  // not get written; differs between hosts, so that one comes first.
  milliseconds stand_in_delay{0};
};

class move_machine {
 public:
  using message = std::variant<catalog_changed,
                               tallies_counted,
                               role_changed,
                               stages_heard,
                               tick>;
  using effect =
      std::variant<stages_changed, write_status, pass_tallies, decision>;

  explicit move_machine(move_settings settings) : settings_(settings) {}

  void Step(const message& m, const moment& now, std::vector<effect>& out);
  std::optional<time_point> NextDeadline() const;

 private:
  using effects = std::vector<effect>;

  struct move_state_heard {
    catalog::move_state state = catalog::move_state::kRunning;
    time_point at;
  };

  struct move_record {
    catalog::move_order order;
    stage current;
    time_point begun;
    unix_millis begun_wall;
    time_point step_begun;
    time_point next_write;
    // The root's verdict, which others write if it cannot.
    move_state_heard heard;
    // Evidence by step, over all routes and for each route.
    std::vector<step_evidence> steps{1};
    std::map<catalog::route_name, std::vector<step_evidence>> by_route;
    // Over all steps.
    step_evidence total;
  };

  void On(const catalog_changed& m, const moment& now, effects& out);
  void On(const tallies_counted& m, const moment& now, effects& out);
  void On(const role_changed& m, const moment& now, effects& out);
  void On(const stages_heard& m, const moment& now, effects& out);
  void On(const tick& m, const moment& now, effects& out);

  // Asks for the outcome to be written unless the catalog shows it.
  void WriteOutcome(move_record& move,
                    catalog::move_state state,
                    const moment& now,
                    effects& out);
  void Decide(move_record& move, const moment& now, effects& out);
  std::string FindFault(const move_record& move) const;
  bool HasEnough(const move_record& move) const;
  std::uint32_t TrialShare(const move_record& move, const moment& now) const;
  void Enter(move_record& move,
             std::uint32_t per_mille,
             catalog::move_state state,
             const std::string& reason,
             const moment& now,
             effects& out);
  void Publish(const moment& now, effects& out);
  // Slots of the pool's servers that may be used now, by version.
  struct capacity {
    std::uint32_t target = 0;
    std::uint32_t old = 0;
  };
  capacity SlotsOf(const move_record& move) const;
  // Largest share, per mille, that the target's slots bear.
  std::uint32_t ShareThatFits(const move_record& move) const;
  // Part of the order's time that has passed.
  static double Progress(const move_record& move, const moment& now);

  move_settings settings_;
  bool is_root_ = false;
  std::map<pool_id, move_record> moves_;
  catalog::snapshot_ptr known_;
  bool is_changed_ = false;
};

}  // namespace dotterellead::moves

#endif  // DOTTERELLEAD_MOVES_H_
