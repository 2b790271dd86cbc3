#include <list>

#include "dotterellead/peer.h"
#include "peer_link.h"

namespace dotterellead {

class peer_links::impl {
 public:
  explicit impl(peer_links_options options) : options_(std::move(options)) {}
  ~impl() { Stop(); }

  bool Call(const std::string& address, peer_link::call next) {
    const std::shared_ptr<peer_link> link = Find(address);
    const bool queued = link && link->Push(std::move(next));
    if (!queued)
      ++counters_.shed;
    return queued;
  }

  void Remove(const std::string& address) {
    std::lock_guard lock(mutex_);
    const auto it = links_.find(address);
    if (it == links_.end())
      return;
    it->second->BeginStop();
    retired_.push_back(std::move(it->second));
    links_.erase(it);
  }

  void Stop() {
    std::list<std::shared_ptr<peer_link>> ended;
    {
      std::lock_guard lock(mutex_);
      stopped_ = true;
      ended.swap(retired_);
      for (auto& [address, link] : links_)
        ended.push_back(std::move(link));
      links_.clear();
    }
    for (const std::shared_ptr<peer_link>& link : ended)
      link->BeginStop();
    // Joined before the references are dropped: a callback that sends holds a
    // reference on the link's own thread, which cannot join itself.
    for (const std::shared_ptr<peer_link>& link : ended)
      link->Join();
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return links_.size();
  }

  peer_stats stats() const {
    peer_stats stats;
    stats.calls_out = counters_.calls;
    stats.bytes_in = counters_.bytes_in;
    stats.bytes_out = counters_.bytes_out;
    stats.failed = counters_.failed;
    stats.shed = counters_.shed;
    return stats;
  }

 private:
  // Returns nullptr if there may be no further link.
  std::shared_ptr<peer_link> Find(const std::string& address) {
    std::lock_guard lock(mutex_);
    if (stopped_)
      return nullptr;
    const auto it = links_.find(address);
    if (it != links_.end())
      return it->second;
    // Senders of removed peers end on their own; joining a finished thread does
    // not block.
    std::erase_if(retired_, [](const std::shared_ptr<peer_link>& link) {
      return link->is_finished();
    });
    if (links_.size() + retired_.size() >= options_.max_links)
      return nullptr;
    try {
      auto link = std::make_shared<peer_link>(ParseSocketAddress(address),
                                              options_, counters_);
      links_.emplace(address, link);
      return link;
    } catch (const invalid_input_error&) {
      return nullptr;
    }
  }

  const peer_links_options options_;
  link_counters counters_;
  mutable std::mutex mutex_;
  bool stopped_ = false;
  std::map<std::string, std::shared_ptr<peer_link>> links_;
  std::list<std::shared_ptr<peer_link>> retired_;
};

peer_links::peer_links(peer_links_options options) {
  if (options.secret.empty()) {
    throw invalid_setting_error(
        "the peer secret is empty",
        "set the same secret in the environment of all entry hosts");
  }
  impl_ = std::make_unique<impl>(std::move(options));
}

peer_links::~peer_links() = default;

bool peer_links::Send(const std::string& address,
                      const std::string& method,
                      std::string params,
                      merge policy) {
  return Call(address, method, std::move(params), callback(), policy);
}

bool peer_links::Call(const std::string& address,
                      const std::string& method,
                      std::string params,
                      callback done,
                      merge policy) {
  return impl_->Call(address, {.method = method,
                               .params = std::move(params),
                               .done = std::move(done),
                               .replaceable = policy == merge::kReplaceUnsent});
}

void peer_links::Remove(const std::string& address) {
  impl_->Remove(address);
}

void peer_links::Stop() {
  impl_->Stop();
}

std::size_t peer_links::size() const {
  return impl_->size();
}

peer_stats peer_links::stats() const {
  return impl_->stats();
}

}  // namespace dotterellead
