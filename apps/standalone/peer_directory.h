// The live peers as membership last reported them, for threads that send to
// them.
#ifndef DOTTERELLEAD_PEER_DIRECTORY_H_
#define DOTTERELLEAD_PEER_DIRECTORY_H_

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "dotterellead/membership.h"

namespace dotterellead {

class peer_directory {
 public:
  void Set(std::vector<live_peer> peers) {
    std::lock_guard lock(mutex_);
    peers_ = std::move(peers);
  }

  std::vector<live_peer> Live() const {
    std::lock_guard lock(mutex_);
    return peers_;
  }

  // The peer address of a live member, or nullopt.
  std::optional<std::string> AddressOf(const member_id& id) const {
    std::lock_guard lock(mutex_);
    for (const live_peer& peer : peers_) {
      if (peer.run.id == id)
        return peer.run.address;
    }
    return std::nullopt;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<live_peer> peers_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PEER_DIRECTORY_H_
