// Stands in for the platform's balancer, which sends new connections of callers
// to the hosts of their data centre that say that they are ready.
#ifndef TESTS_SOAK_BALANCER_H_
#define TESTS_SOAK_BALANCER_H_

#include <vector>

#include "standin_net.h"

namespace dotterellead::soak {

struct balanced_host {
  std::string data_centre;
  int ready_port = 0;
};

class balancer {
 public:
  balancer(asio::io_context& io, std::vector<balanced_host> hosts);
  // Index of the host for a new connection. `draw` is the caller's hash.
  std::size_t Choose(const std::string& data_centre, std::uint64_t draw) const;

 private:
  struct checked_host {
    balanced_host host;
    int misses = 0;
  };

  task<> CheckHost(std::size_t index);
  task<bool> IsReady(int port);
  bool IsInRotation(const checked_host& host) const;

  asio::io_context& io_;
  std::vector<checked_host> hosts_;
};

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_BALANCER_H_
