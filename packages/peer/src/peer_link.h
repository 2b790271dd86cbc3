// Sender of calls to one entry host.
#ifndef DOTTERELLEAD_PEER_LINK_H_
#define DOTTERELLEAD_PEER_LINK_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "dotterellead/core.h"
#include "dotterellead/http.h"
#include "dotterellead/peer.h"

namespace dotterellead {

// Counters that all links share.
struct link_counters {
  std::atomic<std::uint64_t> calls{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> failed{0};
  std::atomic<std::uint64_t> shed{0};
};

// Owns the thread, the ring and the connection. The thread blocks on the ring
// while there is nothing to send.
class peer_link {
 public:
  struct call {
    std::string method;
    std::string params;
    peer_links::callback done;
    bool replaceable = false;
    // Ends the call exactly once; the owner of the call must do so.
    void Finish(std::optional<std::string> result) const;
  };

  peer_link(const socket_address& remote,
            const peer_links_options& options,
            link_counters& counters);
  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  // Returns false if the ring is full or the link ends.
  bool Push(call next);
  // Begins to end the thread without waiting for it: the call in progress is
  // cut and waiting calls fail.
  void BeginStop();
  // Waits for the thread to end. Must not run on the thread itself.
  void Join();
  bool is_finished() const { return finished_; }

 private:
  using call_ptr = std::shared_ptr<const call>;

  void Run();
  std::optional<std::string> Exchange(const call& next);
  std::shared_ptr<http_connection> Connection();
  void DropConnection();

  const socket_address remote_;
  const peer_links_options& options_;
  link_counters& counters_;
  bounded_ring<call_ptr> ring_;
  std::atomic<bool> finished_{false};
  std::uint64_t next_id_ = 0;
  // Guards the members below, which BeginStop uses from another thread.
  std::mutex mutex_;
  bool stopping_ = false;
  std::shared_ptr<http_connection> connection_;
  std::thread thread_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PEER_LINK_H_
