#include "wait_queue.h"

#include <algorithm>

namespace dotterellead {

std::optional<acquire> wait_queue::Add(const acquire& m, std::size_t capacity) {
  std::deque<acquire>& own = tenants_[m.tenant];
  own.push_back(m);
  ++size_;
  if (size_ <= capacity)
    return std::nullopt;
  const auto longest = LongestQueue();
  // Among equals the new request is dropped.
  std::deque<acquire>& victims =
      longest->second.size() > own.size() ? longest->second : own;
  acquire dropped = std::move(victims.back());
  victims.pop_back();
  --size_;
  if (victims.empty())
    tenants_.erase(dropped.tenant);
  return dropped;
}

std::map<tenant_id, std::deque<acquire>>::iterator wait_queue::LongestQueue() {
  return std::max_element(tenants_.begin(), tenants_.end(),
                          [](const auto& a, const auto& b) {
                            return a.second.size() < b.second.size();
                          });
}

void wait_queue::Serve(const std::function<bool(const acquire&)>& try_serve) {
  std::size_t passed_over = 0;
  while (!tenants_.empty() && passed_over < tenants_.size()) {
    auto next = tenants_.upper_bound(last_tenant_);
    if (next == tenants_.end())
      next = tenants_.begin();
    last_tenant_ = next->first;
    passed_over = ServeOne(next->second, try_serve) ? 0 : passed_over + 1;
    if (next->second.empty())
      tenants_.erase(next);
  }
}

bool wait_queue::ServeOne(
    std::deque<acquire>& waiting,
    const std::function<bool(const acquire&)>& try_serve) {
  const auto served = std::find_if(waiting.begin(), waiting.end(), try_serve);
  if (served == waiting.end())
    return false;
  waiting.erase(served);
  --size_;
  return true;
}

void wait_queue::RemoveIf(const std::function<bool(const acquire&)>& matches) {
  for (auto& [tenant, waiting] : tenants_)
    size_ -= std::erase_if(waiting, matches);
  std::erase_if(tenants_,
                [](const auto& entry) { return entry.second.empty(); });
}

std::map<version_id, std::uint32_t> wait_queue::CountByVersion(
    const std::function<bool(const acquire&)>& matches) const {
  std::map<version_id, std::uint32_t> counts;
  for (const auto& [tenant, waiting] : tenants_) {
    for (const acquire& m : waiting) {
      if (matches(m))
        ++counts[m.version];
    }
  }
  return counts;
}

void wait_queue::ForEach(const std::function<void(acquire&)>& change) {
  for (auto& [tenant, waiting] : tenants_)
    std::for_each(waiting.begin(), waiting.end(), change);
}

}  // namespace dotterellead
