// JSON-RPC 2.0 over HTTP between entry hosts of the standalone mode. Parameters
// and results are JSON texts, so that no other package needs the RPC or JSON
// libraries.
#ifndef DOTTERELLEAD_PEER_H_
#define DOTTERELLEAD_PEER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "dotterellead/core.h"
#include "dotterellead/http.h"

namespace dotterellead {

// Counters since the start. Bytes are those of message bodies, without HTTP
// headers.
struct peer_stats {
  std::uint64_t calls_in = 0;
  std::uint64_t calls_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  // Calls received with a missing or wrong secret.
  std::uint64_t unauthorized = 0;
  // Calls sent that got no result for any reason.
  std::uint64_t failed = 0;
  // Calls not queued because a ring or the number of connections was at its
  // limit.
  std::uint64_t shed = 0;
};

// Handles a call: receives the parameters and returns the result as JSON text.
// May throw `error`, which fails the call at the caller.
using peer_method = std::function<std::string(const std::string& params)>;
using peer_methods = std::map<std::string, peer_method>;

struct peer_listener_options {
  socket_address address;
  // Bearer token that every call must have. Must not be empty.
  std::string secret;
  // One thread serves one peer's connection while it is open, so there must be
  // more threads than peers.
  std::size_t threads = 128;
};

// Serves the calls of other entry hosts. Methods run on the threads of the
// connections and must be thread-safe.
class peer_listener {
 public:
  // Throws invalid_setting_error if the secret is empty.
  peer_listener(const peer_listener_options& options, peer_methods methods);
  ~peer_listener();
  peer_listener(const peer_listener&) = delete;
  peer_listener& operator=(const peer_listener&) = delete;

  // Throws unavailable_error if the address cannot be used.
  void Start();
  void Stop();
  socket_address address() const;
  peer_stats stats() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

struct peer_connection_options {
  std::string secret;
  milliseconds timeout{1'000};
  std::size_t ring_capacity = 256;
  // Maximum number of addresses with a sender thread.
  std::size_t max_connections = 128;
};

// Sends calls to other entry hosts. Each address has its own sender thread with
// a bounded ring and one connection, so that a hung peer does not delay the
// others.
class peer_connections {
 public:
  // Receives the result as JSON text, or nullopt if the call failed. Runs on
  // the sender's thread and must not block.
  using callback = std::function<void(std::optional<std::string> result)>;
  enum class merge { kNone, kReplaceUnsent };

  // Throws invalid_setting_error if the secret is empty.
  explicit peer_connections(peer_connection_options options);
  ~peer_connections();
  peer_connections(const peer_connections&) = delete;
  peer_connections& operator=(const peer_connections&) = delete;

  // Queues a call whose result is ignored. kReplaceUnsent replaces a queued
  // call of the same method. Returns false if the ring is full, the number of
  // connections is at its limit, or the address is malformed.
  bool Send(const std::string& address,
            const std::string& method,
            std::string params,
            merge policy = merge::kNone);
  // Like Send, and calls `done` exactly once if it returns true. A replaced
  // call completes with nullopt, on the thread that replaced it.
  bool Call(const std::string& address,
            const std::string& method,
            std::string params,
            callback done,
            merge policy = merge::kNone);
  // Ends the sender of `address`; queued calls complete with nullopt. Must not
  // be called from a callback.
  void Remove(const std::string& address);
  // Ends all senders. Called by the destructor.
  void Stop();
  std::size_t size() const;
  peer_stats stats() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_PEER_H_
