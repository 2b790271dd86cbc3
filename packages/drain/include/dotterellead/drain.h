// What takes no new work: backend servers that leave, and this host once it is
// told to stop.
#ifndef DOTTERELLEAD_DRAIN_H_
#define DOTTERELLEAD_DRAIN_H_

#include <optional>
#include <variant>
#include <vector>

#include "dotterellead/config.h"
#include "dotterellead/core.h"
#include "dotterellead/platform.h"

namespace dotterellead {

// ---- Messages

// The declared resources as replayed from the log.
struct declared_config {
  config_snapshot config;
};

// The platform's host list. It lags; only complete lists are passed on.
struct listed_hosts {
  std::vector<listed_host> hosts;
};

// SIGTERM arrived.
struct stop_requested {};

// Requests in progress on this host.
struct requests_in_flight {
  std::size_t count = 0;
};

// ---- Effects

// The resources to serve by: the declared ones, with servers that the host list
// adds and without those that it shows as leaving. Its `through` is that of the
// declared ones.
struct effective_config {
  config_snapshot config;
};

// Tell peers and the platform's balancer that this host takes no new work.
struct leaving_started {};

// All work has ended, or the grace time has passed.
struct stop_ready {
  std::size_t cut_requests = 0;
};

// ---- Machine

struct drain_options {
  // The platform's balancer needs this long to see that the host is not ready.
  milliseconds notice{1'000};
  milliseconds grace = limits::kShutdownGrace;
};

class drain_machine {
 public:
  using message = std::variant<declared_config,
                               listed_hosts,
                               stop_requested,
                               requests_in_flight,
                               tick>;
  using effect = std::variant<effective_config, leaving_started, stop_ready>;

  explicit drain_machine(drain_options options) : options_(options) {}

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  // Only a stop in progress needs ticks.
  std::optional<time_point> NextDeadline() const {
    return stop_began_ && !stopped_ ? std::optional(time_point())
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
  std::optional<time_point> stop_began_;
  std::size_t in_flight_ = 0;
  bool stopped_ = false;
};

// The declared resources changed by the host list as effective_config
// describes.
config_view ApplyHostList(const config_view& declared,
                          const std::vector<listed_host>& hosts);

}  // namespace dotterellead

#endif  // DOTTERELLEAD_DRAIN_H_
