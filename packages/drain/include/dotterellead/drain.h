// Draining in the standalone mode: backend servers that the platform lists as
// leaving, and this host after SIGTERM.
#ifndef DOTTERELLEAD_DRAIN_H_
#define DOTTERELLEAD_DRAIN_H_

#include <optional>
#include <variant>
#include <vector>

#include "dotterellead/config.h"
#include "dotterellead/core.h"
#include "dotterellead/platform_client.h"

namespace dotterellead {

// ---- Messages

// The declared resources from the log.
struct declared_config {
  config_snapshot config;
};

// The platform's host list, which lags behind. Only complete lists are passed
// on.
struct listed_hosts {
  std::vector<listed_host> hosts;
};

// SIGTERM was received.
struct stop_requested {};

// Requests in progress on this host.
struct requests_in_flight {
  std::size_t count = 0;
};

// ---- Effects

// The declared resources, with the servers that the host list adds and without
// those that it lists as leaving. Its `through` is that of the declared ones.
struct effective_config {
  config_snapshot config;
};

// This host is stopping; to be reported to peers and the platform's load
// balancer.
struct draining_started {
  // No request runs longer here. Leaves time for the answers.
  time_point ends_at;
};

// All requests have ended, or the maximum drain time has passed.
struct drained {
  std::size_t cut_requests = 0;
};

// ---- State machine

struct drain_options {
  // How long the host still accepts requests while not ready, so that the
  // platform's load balancer detects it.
  milliseconds unready_time{1'000};
  milliseconds max_drain_time = limits::kShutdownGrace;
};

// Not thread-safe.
class drain_machine {
 public:
  using message = std::variant<declared_config,
                               listed_hosts,
                               stop_requested,
                               requests_in_flight,
                               tick>;
  using effect = std::variant<effective_config, draining_started, drained>;

  explicit drain_machine(drain_options options) : options_(options) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Ticks are needed only while stopping.
  std::optional<time_point> NextDeadline() const {
    return stop_requested_at_ && !is_drained_ ? std::optional(time_point())
                                              : std::nullopt;
  }

 private:
  void On(const declared_config& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const listed_hosts& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const stop_requested& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const requests_in_flight& m,
          const timestamp& now,
          std::vector<effect>& out);
  void On(const tick& m, const timestamp& now, std::vector<effect>& out);
  void Publish(std::vector<effect>& out);

  drain_options options_;
  config_snapshot declared_;
  config_snapshot published_;
  std::vector<listed_host> hosts_;
  std::optional<time_point> stop_requested_at_;
  std::size_t in_flight_ = 0;
  bool is_drained_ = false;
};

// Applies the host list to the declared resources as effective_config
// describes.
config_view ApplyHostList(const config_view& declared,
                          const std::vector<listed_host>& hosts);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_DRAIN_H_
