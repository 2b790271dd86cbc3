// Schedules probes of backend servers in the standalone mode, and weighs their
// load reports.
#ifndef DOTTERELLEAD_MEASURE_H_
#define DOTTERELLEAD_MEASURE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead {

// ---- Messages

// A server whose home is this host.
struct homed_server {
  server_id server;
  pool_id pool;
  std::uint32_t slots = 1;
  std::uint32_t budget_per_mille = 10;
  // When this host became the server's home.
  time_point homed_since;
};

// All servers whose home is this host; others are removed.
struct servers_homed_here {
  std::vector<homed_server> servers;
};

// A server's report of its own load (GET /.load).
struct probe_report {
  std::uint32_t in_flight = 0;
  std::uint32_t slots = 0;
  bool cold = false;
  bool draining = false;
  std::string boot;
  milliseconds age{0};
  bool operator==(const probe_report&) const = default;
};

enum class probe_result { kReport, kTimedOut, kFailed };

// A probe ended.
struct probe_completed {
  server_id server;
  probe_result result = probe_result::kFailed;
  // Set if the result is kReport.
  probe_report report;
  // Duration of the probe, charged as slot time.
  microseconds cost{0};
};

// State of a server as seen by one attempt of a request.
struct attempt_observed {
  server_id server;
  // Slots in use by requests at that time, as far as the home knows.
  std::uint32_t in_flight = 0;
  microseconds latency{0};
  std::optional<bool> cold;
  bool failed = false;
};

// Decodes the body of a load report. Throws protocol_error on malformed input.
probe_report DecodeProbeReport(std::string_view json);
std::string EncodeProbeReport(const probe_report& report);

// ---- Effects

// Sends a probe that times out after `time_limit`, which it must carry as its
// deadline.
struct send_probe {
  server_id server;
  microseconds time_limit{0};
};

// A server's load with the weight of its report.
struct load_estimate {
  server_id server;
  bool cold = false;
  bool draining = false;
  std::uint32_t in_flight = 0;
  std::string boot;
  milliseconds age{0};
  // From 0 (ignore) to 1000.
  std::uint32_t weight_per_mille = 0;
};

enum class suspicion_reason { kProbeFailed, kProbeTimeouts };
std::string_view to_string(suspicion_reason reason);

// Probes show that a server may be down.
struct probe_suspected {
  server_id server;
  suspicion_reason reason = suspicion_reason::kProbeFailed;
};

// ---- State machine

// Schedules probes of the servers homed here. Probe time accrues at the
// budget's rate from the time this host became home, and a probe never takes
// more than has accrued. So the probes of all successive homes together stay
// within the budget, however slow the probes are and however often homes
// change. Not thread-safe.
class measure_machine {
 public:
  using message =
      std::variant<servers_homed_here, probe_completed, attempt_observed, tick>;
  using effect = std::variant<send_probe, load_estimate, probe_suspected>;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // When the next probe, the timeout of one, or the next change of a weight is
  // due.
  std::optional<time_point> NextDeadline() const;

 private:
  struct server_state {
    homed_server spec;
    // Accrued and unused probe time until `accrued_until`.
    double credit_us = 0;
    time_point accrued_until;
    time_point last_sent;
    double cost_us = 1'000.0 * limits::kProbeServiceTime.count();
    bool is_probing = false;
    microseconds time_limit{0};
    std::uint32_t consecutive_timeouts = 0;
    std::optional<probe_report> report;
    // When the report was made, according to its age field.
    time_point reported_at;
    // How well requests agree with reports.
    std::int32_t trust_per_mille = 1'000;
    std::uint32_t emitted_weight = 0;
  };

  void On(const servers_homed_here& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const probe_completed& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const attempt_observed& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const tick& m, const timestamp& now, std::vector<effect>& out);
  static void FinishProbe(server_state& state,
                          const probe_completed& m,
                          const timestamp& now,
                          std::vector<effect>& out);
  static void AbandonProbe(server_state& state,
                           const timestamp& now,
                           std::vector<effect>& out);
  static void StartProbe(server_state& state,
                         const timestamp& now,
                         std::vector<effect>& out);
  static void AccrueCredit(server_state& state, const timestamp& now);
  static bool IsDue(const server_state& state, const timestamp& now);
  // Return time_point::max() for never.
  static time_point NextProbeAt(const server_state& state);
  static time_point NextEstimateAt(const server_state& state);
  static void EmitEstimate(server_state& state,
                           const timestamp& now,
                           std::vector<effect>& out);

  std::map<server_id, server_state> servers_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MEASURE_H_
