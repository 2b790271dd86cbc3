#include "crowd_clients.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace dotterellead::crowd {

namespace {

constexpr std::size_t kPiece = 16 << 10;
constexpr milliseconds kPollTime{50};
// A crowd that has sent nothing for this long is stopped by the host.
constexpr milliseconds kQuietTime{2'000};
// Keeps most of a large response in the host when the client does not read.
constexpr int kSmallReceiveBuffer = 4'096;

}  // namespace

crowd_clients::~crowd_clients() {
  for (client& c : clients_)
    Close(c);
}

void crowd_clients::Close(client& c) {
  if (c.socket >= 0)
    close(c.socket);
  c.socket = -1;
}

bool crowd_clients::Add(const socket_address& host, client_script script) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket < 0)
    return false;
  if (!script.reads)
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer,
               sizeof(kSmallReceiveBuffer));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(host.port);
  inet_pton(AF_INET, host.ip.c_str(), &to.sin_addr);
  if (connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) != 0) {
    close(socket);
    return false;
  }
  clients_.push_back({socket, std::move(script)});
  return true;
}

void crowd_clients::Send(client& c) {
  const std::string& header = c.script.header;
  const char* data = nullptr;
  std::size_t size = 0;
  if (c.sent < header.size()) {
    data = header.data() + c.sent;
    size = header.size() - c.sent;
  } else {
    const std::size_t at = c.sent - header.size();
    data = c.script.body->data() + at;
    size = std::min(kPiece, c.script.sent_body - at);
  }
  const ssize_t sent = send(c.socket, data, size, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent >= 0) {
    c.sent += static_cast<std::size_t>(sent);
    sent_bytes_ += static_cast<std::uint64_t>(sent);
  } else if (errno != EAGAIN && errno != EINTR) {
    Close(c);
  }
}

void crowd_clients::Read(client& c) {
  std::array<char, kPiece> discarded;
  const ssize_t got =
      recv(c.socket, discarded.data(), discarded.size(), MSG_DONTWAIT);
  if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
    Close(c);
}

void crowd_clients::Run(milliseconds timeout,
                        const std::function<void()>& sample) {
  const time_point end = std::chrono::steady_clock::now() + timeout;
  time_point last_sent = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < end &&
         std::chrono::steady_clock::now() < last_sent + kQuietTime) {
    std::vector<pollfd> polled;
    std::vector<client*> owners;
    for (client& c : clients_) {
      short events = c.script.reads ? POLLIN : 0;
      if (!c.is_done())
        events = static_cast<short>(events | POLLOUT);
      if (c.socket < 0)
        continue;
      polled.push_back({c.socket, events, 0});
      owners.push_back(&c);
    }
    poll(polled.data(), polled.size(), static_cast<int>(kPollTime.count()));
    const std::uint64_t before = sent_bytes_;
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if ((polled[i].revents & POLLOUT) != 0 && !owners[i]->is_done())
        Send(*owners[i]);
      if ((polled[i].revents & (POLLIN | POLLHUP | POLLERR)) != 0 &&
          owners[i]->socket >= 0)
        Read(*owners[i]);
    }
    if (sent_bytes_ != before)
      last_sent = std::chrono::steady_clock::now();
    sample();
  }
}

std::size_t crowd_clients::open_count() const {
  return static_cast<std::size_t>(
      std::count_if(clients_.begin(), clients_.end(),
                    [](const client& c) { return c.socket >= 0; }));
}

}  // namespace dotterellead::crowd
