// A TCP proxy on loopback that delays, silences or resets connections.
#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <set>

#include "standin_net.h"

namespace dotterellead::soak {

enum class link_fault { kNone, kDelay, kSilent, kOneWay };

class fault_proxy {
 public:
  // Forwards `port` to `target`, both on loopback.
  fault_proxy(asio::io_context& io, int port, int target);
  // New connections too. kOneWay: what the target sends is lost.
  void SetFault(link_fault fault) { fault_ = fault; }
  // Cuts all open connections.
  void ResetAll();

 private:
  task<> Serve(stream_ptr from);
  task<> Pump(stream_ptr from, stream_ptr to, bool is_backward);

  asio::io_context& io_;
  int target_;
  tcp::acceptor acceptor_;
  link_fault fault_ = link_fault::kNone;
  std::set<stream_ptr> open_;
};

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_FAULT_PROXY_H_
