// Pool of connections to backend servers.
#ifndef DOTTERELLEAD_TRAFFIC_SERVER_CONNECTIONS_H_
#define DOTTERELLEAD_TRAFFIC_SERVER_CONNECTIONS_H_

#include <map>
#include <memory>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/dispatch.h"
#include "dotterellead/limits.h"
#include "dotterellead/net.h"

namespace dotterellead::traffic {

// One connection. `buffer` holds bytes received beyond the last response.
struct server_connection {
  server_connection(asio::io_context& io, std::shared_ptr<std::uint64_t> open)
      : stream(io), open_count(std::move(open)) {
    ++*open_count;
  }
  server_connection(const server_connection&) = delete;
  ~server_connection() { --*open_count; }
  beast::tcp_stream stream;
  beast::flat_buffer buffer{limits::kMaxUnparsedBytes};
  // Connections of this host to servers.
  std::shared_ptr<std::uint64_t> open_count;
  time_point opened_at;
  // Of the latest response; unset before the first.
  time_point last_response{};
  bool is_reused() const { return last_response != time_point(); }
};

using connection_ptr = std::shared_ptr<server_connection>;

// Idle connections of this host by server address. Not thread-safe.
class server_connections {
 public:
  explicit server_connections(asio::io_context& io,
                              std::uint64_t max_open = UINT64_MAX)
      : io_(io), max_open_(max_open) {}

  // Removes and returns an idle connection whose last response is at most
  // `max_idle` ago and that the server has not closed; null if there is none.
  connection_ptr AcquireIdle(const catalog::endpoint& server,
                             milliseconds max_idle);
  // Opens a new connection, once fewer than the limit are open. Returns null
  // and sets `ec` on failure or timeout.
  task<connection_ptr> Connect(catalog::endpoint server,
                               milliseconds timeout,
                               error_code& ec);
  // Returns a connection to the pool. Closes it if the pool already holds
  // max_idle_connections of the server, or if it is older than the last call of
  // CloseConnections for the server.
  void Release(const dispatch::server_ref& server, connection_ptr connection);
  // Closes connections that have been idle too long or that the server closed.
  void CloseStale();
  // Closes the idle connections to a server, and each of the others once it is
  // released.
  void CloseConnections(const catalog::endpoint& server);
  // Number of idle connections to a server.
  std::size_t idle_count(const catalog::endpoint& server) const;
  // Connects attempted since the start.
  std::uint64_t connect_count() const { return connect_count_; }

 private:
  asio::io_context& io_;
  const std::uint64_t max_open_;
  std::shared_ptr<std::uint64_t> open_count_ =
      std::make_shared<std::uint64_t>(0);
  std::map<catalog::endpoint, std::vector<connection_ptr>> idle_;
  // Connections that were opened earlier are not reused.
  std::map<catalog::endpoint, time_point> closed_at_;
  std::uint64_t connect_count_ = 0;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_SERVER_CONNECTIONS_H_
