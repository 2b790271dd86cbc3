#include "server_links.h"

#include <sys/socket.h>

namespace dotterellead::traffic {

namespace {

// Servers close idle connections after about ten seconds, and some sooner.
constexpr milliseconds kLongestIdle{8'000};

// Whether the peer has neither closed the connection nor sent anything.
bool IsQuiet(server_link& link) {
  if (link.buffer.size() > 0 || !link.stream.socket().is_open())
    return false;
  char byte = 0;
  const ssize_t got = ::recv(link.stream.socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

link_ptr server_links::TakeIdle(const catalog::endpoint& server,
                                milliseconds longest_idle) {
  auto it = idle_.find(server);
  if (it == idle_.end())
    return nullptr;
  std::vector<link_ptr>& links = it->second;
  const time_point oldest =
      std::chrono::steady_clock::now() - std::min(longest_idle, kLongestIdle);
  while (!links.empty()) {
    link_ptr link = std::move(links.back());
    links.pop_back();
    if (link->last_answer >= oldest && IsQuiet(*link))
      return link;
  }
  return nullptr;
}

task<link_ptr> server_links::Connect(catalog::endpoint server,
                                     milliseconds limit,
                                     error_code& ec) {
  auto link = std::make_shared<server_link>(io_);
  link->stream.expires_after(limit);
  ++made_;
  co_await link->stream.async_connect(ToTcp(server), Resume(ec));
  if (ec)
    co_return nullptr;
  error_code ignored;  // Without the option answers are slower, not wrong.
  link->stream.socket().set_option(tcp::no_delay(true), ignored);
  co_return link;
}

void server_links::Keep(const dispatch::server_ref& server, link_ptr link) {
  std::vector<link_ptr>& links = idle_[server.address];
  link->last_answer = std::chrono::steady_clock::now();
  link->stream.expires_never();
  if (links.size() < server.max_idle_connections)
    links.push_back(std::move(link));
}

void server_links::CloseStale() {
  const time_point oldest = std::chrono::steady_clock::now() - kLongestIdle;
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [&](const link_ptr& link) {
      return link->last_answer < oldest || !IsQuiet(*link);
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace dotterellead::traffic
