#include "server_connections.h"

#include <sys/socket.h>

namespace dotterellead::traffic {

namespace {

// Servers close idle connections after about ten seconds, some earlier.
constexpr milliseconds kMaxIdleTime{8'000};
// Longer than any request: a connection that is in use when its server's
// connections are closed has ended by then.
constexpr milliseconds kClosedMemory{120'000};

// How often a connection that waits for others to end looks again.
constexpr milliseconds kFullInterval{5};

// Whether the server has neither closed the connection nor sent unexpected
// data.
bool IsUsable(server_connection& connection) {
  if (connection.buffer.size() > 0 || !connection.stream.socket().is_open())
    return false;
  char byte = 0;
  const ssize_t received = ::recv(connection.stream.socket().native_handle(),
                                  &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

connection_ptr server_connections::AcquireIdle(const catalog::endpoint& server,
                                               milliseconds max_idle) {
  auto it = idle_.find(server);
  if (it == idle_.end())
    return nullptr;
  std::vector<connection_ptr>& connections = it->second;
  const time_point oldest =
      std::chrono::steady_clock::now() - std::min(max_idle, kMaxIdleTime);
  while (!connections.empty()) {
    connection_ptr connection = std::move(connections.back());
    connections.pop_back();
    if (connection->last_response >= oldest && IsUsable(*connection))
      return connection;
  }
  return nullptr;
}

task<connection_ptr> server_connections::Connect(catalog::endpoint server,
                                                 milliseconds timeout,
                                                 error_code& ec) {
  const time_point deadline = std::chrono::steady_clock::now() + timeout;
  while (*open_count_ >= max_open_) {
    if (std::chrono::steady_clock::now() + kFullInterval >= deadline) {
      ec = asio::error::no_descriptors;
      co_return nullptr;
    }
    asio::steady_timer wait(io_, kFullInterval);
    co_await wait.async_wait(Resume(ec));
  }
  auto connection = std::make_shared<server_connection>(io_, open_count_);
  connection->stream.expires_at(deadline);
  connection->opened_at = std::chrono::steady_clock::now();
  ++connect_count_;
  co_await connection->stream.async_connect(ToTcp(server), Resume(ec));
  if (ec)
    co_return nullptr;
  error_code ignored;  // Optional: only affects latency.
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  co_return connection;
}

void server_connections::Release(const dispatch::server_ref& server,
                                 connection_ptr connection) {
  const auto closed = closed_at_.find(server.address);
  if (closed != closed_at_.end() && connection->opened_at <= closed->second)
    return;
  std::vector<connection_ptr>& connections = idle_[server.address];
  connection->last_response = std::chrono::steady_clock::now();
  connection->stream.expires_never();
  if (connections.size() < server.max_idle_connections)
    connections.push_back(std::move(connection));
}

void server_connections::CloseConnections(const catalog::endpoint& server) {
  idle_.erase(server);
  closed_at_[server] = std::chrono::steady_clock::now();
}

std::size_t server_connections::idle_count(
    const catalog::endpoint& server) const {
  const auto it = idle_.find(server);
  return it == idle_.end() ? 0 : it->second.size();
}

void server_connections::CloseStale() {
  const time_point now = std::chrono::steady_clock::now();
  std::erase_if(closed_at_, [&](const auto& closed) {
    return closed.second + kClosedMemory < now;
  });
  const time_point oldest = now - kMaxIdleTime;
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const connection_ptr& connection) {
      return connection->last_response < oldest || !IsUsable(*connection);
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace dotterellead::traffic
