// Sender of calls to one entry host.
#ifndef DOTTERELLEAD_PEER_CONNECTION_H_
#define DOTTERELLEAD_PEER_CONNECTION_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "dotterellead/core.h"
#include "dotterellead/http.h"
#include "dotterellead/peer.h"

namespace dotterellead {

// Counters shared by all connections.
struct connection_counters {
  std::atomic<std::uint64_t> calls{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> shed{0};
};

// Owns the thread, the ring and the HTTP connection. The thread blocks on the
// ring while there is nothing to send.
class peer_connection {
 public:
  struct call {
    std::string method;
    std::string params;
    peer_connections::callback done;
    bool is_replaceable = false;
    // Completes the call. Must be called exactly once by the owner of the call.
    void Finish(std::optional<std::string> result) const;
  };

  peer_connection(const socket_address& remote,
                  const peer_connection_options& options,
                  connection_counters& counters);
  ~peer_connection();
  peer_connection(const peer_connection&) = delete;
  peer_connection& operator=(const peer_connection&) = delete;

  // Returns false if the ring is full or the sender is stopping.
  bool Push(call next);
  // Starts to end the thread without waiting for it: the call in progress is
  // cut off and queued calls fail.
  void BeginStop();
  // Waits for the thread to end. Must not run on the thread itself.
  void Join();
  bool is_finished() const { return is_finished_; }

 private:
  using call_ptr = std::shared_ptr<const call>;

  void Run();
  std::optional<std::string> SendCall(const call& next);
  std::shared_ptr<http_connection> Connection();
  void CloseConnection();

  const socket_address remote_;
  const peer_connection_options& options_;
  connection_counters& counters_;
  bounded_ring<call_ptr> ring_;
  std::atomic<bool> is_finished_{false};
  std::uint64_t next_id_ = 0;
  // Protects the members below, which BeginStop uses from another thread.
  std::mutex mutex_;
  bool is_stopping_ = false;
  std::shared_ptr<http_connection> connection_;
  std::thread thread_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PEER_CONNECTION_H_
