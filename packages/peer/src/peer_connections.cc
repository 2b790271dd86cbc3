#include <list>

#include "dotterellead/peer.h"
#include "peer_connection.h"

namespace dotterellead {

class peer_connections::impl {
 public:
  explicit impl(peer_connection_options options)
      : options_(std::move(options)) {}
  ~impl() { Stop(); }

  bool Call(const std::string& address, peer_connection::call next) {
    const std::shared_ptr<peer_connection> link = Find(address);
    const bool queued = link && link->Push(std::move(next));
    if (!queued)
      ++counters_.shed;
    return queued;
  }

  void Remove(const std::string& address) {
    std::lock_guard lock(mutex_);
    const auto it = connections_.find(address);
    if (it == connections_.end())
      return;
    it->second->BeginStop();
    retired_.push_back(std::move(it->second));
    connections_.erase(it);
  }

  void Stop() {
    std::list<std::shared_ptr<peer_connection>> ended;
    {
      std::lock_guard lock(mutex_);
      stopped_ = true;
      ended.swap(retired_);
      for (auto& [address, link] : connections_)
        ended.push_back(std::move(link));
      connections_.clear();
    }
    for (const std::shared_ptr<peer_connection>& link : ended)
      link->BeginStop();
    // Joined before the references are released: a callback that sends has a
    // reference on the sender's own thread, which cannot join itself.
    for (const std::shared_ptr<peer_connection>& link : ended)
      link->Join();
  }

  std::size_t size() const {
    std::lock_guard lock(mutex_);
    return connections_.size();
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
  // Returns null if the limit of connections is reached.
  std::shared_ptr<peer_connection> Find(const std::string& address) {
    std::lock_guard lock(mutex_);
    if (stopped_)
      return nullptr;
    const auto it = connections_.find(address);
    if (it != connections_.end())
      return it->second;
    // Senders of removed peers end by themselves; joining a finished thread
    // does not block.
    std::erase_if(retired_, [](const std::shared_ptr<peer_connection>& link) {
      return link->is_finished();
    });
    if (connections_.size() + retired_.size() >= options_.max_connections)
      return nullptr;
    try {
      auto link = std::make_shared<peer_connection>(ParseSocketAddress(address),
                                                    options_, counters_);
      connections_.emplace(address, link);
      return link;
    } catch (const invalid_input_error&) {
      return nullptr;
    }
  }

  const peer_connection_options options_;
  connection_counters counters_;
  mutable std::mutex mutex_;
  bool stopped_ = false;
  std::map<std::string, std::shared_ptr<peer_connection>> connections_;
  std::list<std::shared_ptr<peer_connection>> retired_;
};

peer_connections::peer_connections(peer_connection_options options) {
  if (options.secret.empty()) {
    throw invalid_setting_error(
        "the peer secret is empty",
        "set the same secret in the environment of all entry hosts");
  }
  impl_ = std::make_unique<impl>(std::move(options));
}

peer_connections::~peer_connections() = default;

bool peer_connections::Send(const std::string& address,
                            const std::string& method,
                            std::string params,
                            merge policy) {
  return Call(address, method, std::move(params), callback(), policy);
}

bool peer_connections::Call(const std::string& address,
                            const std::string& method,
                            std::string params,
                            callback done,
                            merge policy) {
  return impl_->Call(address,
                     {.method = method,
                      .params = std::move(params),
                      .done = std::move(done),
                      .is_replaceable = policy == merge::kReplaceUnsent});
}

void peer_connections::Remove(const std::string& address) {
  impl_->Remove(address);
}

void peer_connections::Stop() {
  impl_->Stop();
}

std::size_t peer_connections::size() const {
  return impl_->size();
}

peer_stats peer_connections::stats() const {
  return impl_->stats();
}

}  // namespace dotterellead
