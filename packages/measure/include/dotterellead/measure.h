// When to probe which backend server, and how far its load reports are trusted.
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

struct homed_server {
  server_id server;
  pool_id pool;
  std::uint32_t slots = 1;
  std::uint32_t budget_per_mille = 10;
  // When this host became the server's home.
  time_point since;
};

// All servers whose home is this host; others are forgotten.
struct servers_homed_here {
  std::vector<homed_server> servers;
};

// What a server says about itself (GET /.load).
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

struct probe_done {
  server_id server;
  probe_result result = probe_result::kFailed;
  // Set if the result is kReport.
  probe_report report;
  // The time the probe took, taken as slot time.
  microseconds cost{0};
};

// What one attempt of a request showed of a server.
struct attempt_seen {
  server_id server;
  // Slots of it in use by requests at that time, as far as the home knows.
  std::uint32_t in_flight = 0;
  microseconds latency{0};
  std::optional<bool> cold;
  bool failed = false;
};

// Reads the body of a load report. Throws protocol_error on malformed input.
probe_report DecodeProbeReport(std::string_view json);
std::string EncodeProbeReport(const probe_report& report);

// ---- Effects

// Probe now, and give up after `time_limit`, which the probe must carry as its
// deadline.
struct send_probe {
  server_id server;
  microseconds time_limit{0};
};

// A server's load as far as reports are trusted.
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

enum class suspicion { kProbeFailed, kProbesSlow };
std::string_view to_string(suspicion reason);

struct probe_suspicion {
  server_id server;
  suspicion reason = suspicion::kProbeFailed;
};

// ---- Machine

// Schedules probes of the servers homed here. Probe time is earned at the
// budget's rate from the moment this host became home, and a probe may never
// take more than has been earned. So the probes of all homes in turn stay
// within the budget, however slow the probes are and however often homes
// change.
class measure_machine {
 public:
  using message =
      std::variant<servers_homed_here, probe_done, attempt_seen, tick>;
  using effect = std::variant<send_probe, load_estimate, probe_suspicion>;

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // The next probe, or the end of one, or the next weight to tell.
  std::optional<time_point> NextDeadline() const;

 private:
  struct server_state {
    homed_server spec;
    // Earned and unused probe time, up to `earned_until`.
    double credit_us = 0;
    time_point earned_until;
    time_point last_sent;
    double cost_us = 1'000.0 * limits::kProbeServiceTime.count();
    bool probing = false;
    microseconds time_limit{0};
    std::uint32_t slow_probes = 0;
    std::optional<probe_report> report;
    // When the report was made, by the server's own age field.
    time_point made_at;
    // How far requests agree with reports.
    std::int32_t trust_per_mille = 1'000;
    std::uint32_t told_weight = 0;
  };

  void On(const servers_homed_here& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const probe_done& m, const timestamp& now, std::vector<effect>& out);
  void On(const attempt_seen& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const tick& m, const timestamp& now, std::vector<effect>& out);
  static void Finish(server_state& state,
                     const probe_done& m,
                     const timestamp& now,
                     std::vector<effect>& out);
  static void GiveUpProbe(server_state& state,
                          const timestamp& now,
                          std::vector<effect>& out);
  static void StartProbe(server_state& state,
                         const timestamp& now,
                         std::vector<effect>& out);
  static void Earn(server_state& state, const timestamp& now);
  static bool IsDue(const server_state& state, const timestamp& now);
  // These return time_point::max() for never.
  static time_point ProbeDue(const server_state& state);
  static time_point TellDue(const server_state& state);
  static void Tell(server_state& state,
                   const timestamp& now,
                   std::vector<effect>& out);

  std::map<server_id, server_state> servers_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_MEASURE_H_
