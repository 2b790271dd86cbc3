// Queue of requests that wait for a slot of one pool.
#ifndef DOTTERELLEAD_SRC_WAIT_QUEUE_H_
#define DOTTERELLEAD_SRC_WAIT_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "dotterellead/balance.h"

namespace dotterellead {

// Bounded and fair: tenants are served round robin, and a full queue drops the
// newest request of the tenant with most requests.
class wait_queue {
 public:
  // Adds a request. Returns the request that was dropped, if any.
  std::optional<acquire> Add(const acquire& m, std::size_t capacity);
  // Calls `try_serve` for requests, tenants in turn and oldest first, until it
  // has returned false for a whole turn.
  void Serve(const std::function<bool(const acquire&)>& try_serve);
  // Removes requests that match.
  void RemoveIf(const std::function<bool(const acquire&)>& matches);
  // Number of requests that match, by requested version.
  std::map<version_id, std::uint32_t> CountByVersion(
      const std::function<bool(const acquire&)>& matches) const;
  // Applies `change` to each request.
  void ForEach(const std::function<void(acquire&)>& change);
  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

 private:
  bool ServeOne(std::deque<acquire>& waiting,
                const std::function<bool(const acquire&)>& try_serve);
  std::map<tenant_id, std::deque<acquire>>::iterator LongestQueue();

  std::map<tenant_id, std::deque<acquire>> tenants_;
  // The tenant served last.
  tenant_id last_tenant_;
  std::size_t size_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SRC_WAIT_QUEUE_H_
