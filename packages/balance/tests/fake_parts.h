// Settings, hosts, servers and counters of the fake cluster.
#ifndef DOTTERELLEAD_TESTS_FAKE_PARTS_H_
#define DOTTERELLEAD_TESTS_FAKE_PARTS_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "dotterellead/balance.h"

namespace dotterellead {

using std::chrono::seconds;

// Probabilities are per message; delays are one way.
struct network_quality {
  double drop = 0;
  double duplicate = 0;
  microseconds least_delay{300};
  microseconds most_delay{700};
};

struct cluster_options {
  int hosts = 5;
  int servers = 6;
  std::uint32_t slots = 2;
  std::uint32_t cold_slots = 1;
  milliseconds max_run{400};
  microseconds mean_run{25'000};
  // Requests per second on each host.
  double rate = 60;
  milliseconds patience{2'000};
  choice_policy_kind policy = choice_policy_kind::kLeased;
  // Share of non-forwardable requests.
  double direct = 0;
  network_quality network;
  std::uint64_t seed = 1;
  // Time in which hosts must learn that a server is suspect.
  milliseconds detection_time{100};
};

struct fake_server {
  server_spec spec;
  std::uint32_t in_flight = 0;
  std::uint32_t most_in_flight = 0;
  // Requests queued at the server; only the baselines cause them.
  std::deque<std::function<void()>> queued;
  int boot = 0;
  bool cold = false;
  bool draining = false;
  bool down = false;
  int answers_since_boot = 0;
  // When a host first detected that the server is cold, since the last restart.
  std::optional<time_point> known_cold_at;
  // Requests sent after hosts had time to learn of it.
  std::uint32_t cold_in_flight = 0;
};

struct fake_host {
  home_candidate candidate;
  incarnation_id incarnation{0};
  std::optional<balance_machine> machine;
  // Offset of the host's clock from the cluster's.
  seconds clock_offset{0};
  bool paused = false;
  std::deque<std::function<void()>> while_paused;
  epoch_number epoch;
  bool sends_requests = true;
  // The host's load as a home.
  home_load load;
  balance_report report;
};

struct cluster_counts {
  std::uint64_t assigned = 0;
  std::uint64_t refused = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t slots_exceeded = 0;
  std::uint64_t cold_exceeded = 0;
  std::uint64_t sent_to_draining = 0;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t expired_sends_stopped = 0;
  std::map<server_id, std::uint64_t> by_server;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_TESTS_FAKE_PARTS_H_
