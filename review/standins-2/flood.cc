#include "flood.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

namespace review {

namespace {

constexpr milliseconds kConnectTimeout{3'000};

struct caller {
  socket_handle socket;
  std::string received;
  std::uint64_t requests = 0;
};

// The status of the answer if it is there whole, else 0.
int WholeAnswer(const std::string& received) {
  const std::size_t end = received.find("\r\n\r\n");
  if (end == std::string::npos)
    return 0;
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t at = received.find(kLength);
  const std::size_t length =
      at > end ? 0 : std::strtoull(&received[at + kLength.size()], nullptr, 10);
  constexpr std::size_t kStatusAt = 9;
  return received.size() < end + 4 + length
             ? 0
             : std::atoi(received.c_str() + kStatusAt);
}

// Receives what is there. Returns false once the connection has ended.
bool Receive(caller& from) {
  std::array<char, 4096> bytes;
  const ssize_t n =
      recv(from.socket.fd(), bytes.data(), bytes.size(), MSG_DONTWAIT);
  if (n > 0)
    from.received.append(bytes.data(), static_cast<std::size_t>(n));
  return n > 0 || (n < 0 && errno == EAGAIN);
}

flood_result Run(int port,
                 int connections,
                 time_point end,
                 bool is_repeated,
                 const request_maker& make) {
  flood_result result;
  std::vector<caller> callers(static_cast<std::size_t>(connections));
  const socket_handle events(epoll_create1(EPOLL_CLOEXEC));
  for (std::size_t i = 0; i < callers.size(); ++i) {
    caller& c = callers[i];
    c.socket = Connect(port, kConnectTimeout);
    if (!c.socket.is_open())
      continue;
    epoll_event wanted{};
    wanted.events = EPOLLIN;
    wanted.data.u64 = i;
    epoll_ctl(events.fd(), EPOLL_CTL_ADD, c.socket.fd(), &wanted);
  }
  std::size_t open = 0;
  for (std::size_t i = 0; i < callers.size(); ++i)
    if (callers[i].socket.is_open() &&
        WriteAll(callers[i].socket,
                 make(static_cast<int>(i), callers[i].requests++))) {
      ++open;
      ++result.sent;
    }
  while (clock::now() < end && open > 0) {
    std::array<epoll_event, 256> ready;
    constexpr int kWaitMs = 50;
    const int count = epoll_wait(events.fd(), ready.data(),
                                 static_cast<int>(ready.size()), kWaitMs);
    for (int n = 0; n < count; ++n) {
      const std::size_t i = ready[static_cast<std::size_t>(n)].data.u64;
      caller& c = callers[i];
      const bool is_open = Receive(c);
      const int status = WholeAnswer(c.received);
      if (status > 0) {
        ++result.answers[status];
        c.received.clear();
      }
      if (!is_open || (status > 0 && !is_repeated)) {
        epoll_ctl(events.fd(), EPOLL_CTL_DEL, c.socket.fd(), nullptr);
        --open;
      } else if (status > 0) {
        WriteAll(c.socket, make(static_cast<int>(i), c.requests++));
        ++result.sent;
      }
    }
  }
  return result;
}

}  // namespace

void flood_result::Add(const flood_result& other) {
  sent += other.sent;
  for (const auto& [status, count] : other.answers)
    answers[status] += count;
}

flood_result Flood(int port,
                   int connections,
                   time_point end,
                   const request_maker& make) {
  return Run(port, connections, end, true, make);
}

flood_result SendAtOnce(int port,
                        int connections,
                        milliseconds patience,
                        const request_maker& make) {
  return Run(port, connections, clock::now() + patience, false, make);
}

}  // namespace review
