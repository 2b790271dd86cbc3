// Connections to backend servers.
#ifndef DOTTERELLEAD_TRAFFIC_SERVER_LINKS_H_
#define DOTTERELLEAD_TRAFFIC_SERVER_LINKS_H_

#include <map>
#include <memory>
#include <vector>

#include "dotterellead/core.h"
#include "dotterellead/dispatch.h"
#include "dotterellead/net.h"

namespace dotterellead::traffic {

// One connection. Bytes beyond an answer stay in `buffer`.
struct server_link {
  explicit server_link(asio::io_context& io) : stream(io) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  time_point last_answer;
};

using link_ptr = std::shared_ptr<server_link>;

// Idle connections of this host, by server address.
class server_links {
 public:
  explicit server_links(asio::io_context& io) : io_(io) {}

  // An idle connection that answered at most `longest_idle` ago and shows no
  // sign of its end, or null.
  link_ptr TakeIdle(const catalog::endpoint& server, milliseconds longest_idle);
  // A new connection; null and `ec` if none can be had within `limit`.
  task<link_ptr> Connect(catalog::endpoint server,
                         milliseconds limit,
                         error_code& ec);
  // Keeps a connection whose last answer ended cleanly, unless the server's
  // share of this host is used up.
  void Keep(const dispatch::server_ref& server, link_ptr link);
  // Closes connections that have been idle for too long.
  void CloseStale();
  std::uint64_t connections_made() const { return made_; }

 private:
  asio::io_context& io_;
  std::map<catalog::endpoint, std::vector<link_ptr>> idle_;
  std::uint64_t made_ = 0;
};

}  // namespace dotterellead::traffic

#endif  // DOTTERELLEAD_TRAFFIC_SERVER_LINKS_H_
