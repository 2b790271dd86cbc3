#include "fault_proxy.h"

#include <boost/asio/write.hpp>

namespace dotterellead::soak {

namespace {

constexpr milliseconds kDelay{40};

}  // namespace

fault_proxy::fault_proxy(asio::io_context& io, int port, int target)
    : io_(io), target_(target), acceptor_(io) {
  OpenAcceptor(acceptor_, port);
  asio::co_spawn(io_,
                 AcceptOn(io_, acceptor_,
                          [this](stream_ptr s) { return Serve(std::move(s)); }),
                 asio::detached);
}

void fault_proxy::ResetAll() {
  for (const stream_ptr& s : open_) {
    error_code ignored;  // A connection that has ended needs no reset.
    s->socket().set_option(asio::socket_base::linger(true, 0), ignored);
    s->close();
  }
  open_.clear();
}

task<> fault_proxy::Serve(stream_ptr from) {
  auto to = std::make_shared<beast::tcp_stream>(io_);
  error_code ec;
  const tcp::endpoint target = Loopback(target_);
  co_await to->async_connect(target, Resume(ec));
  if (ec) {
    from->socket().set_option(asio::socket_base::linger(true, 0), ec);
    from->close();
    co_return;
  }
  open_.insert(from);
  open_.insert(to);
  asio::co_spawn(io_, Pump(to, from, true), asio::detached);
  co_await Pump(from, to, false);
}

task<> fault_proxy::Pump(stream_ptr from, stream_ptr to, bool is_backward) {
  std::array<char, 4096> part;
  error_code ec;
  while (true) {
    const std::size_t n =
        co_await from->async_read_some(asio::buffer(part), Resume(ec));
    if (ec)
      break;
    if (fault_ == link_fault::kDelay)
      co_await Sleep(io_, kDelay);
    // A silenced connection stays so for good.
    if (fault_ == link_fault::kSilent ||
        (fault_ == link_fault::kOneWay && is_backward)) {
      while (!ec)
        co_await from->async_read_some(asio::buffer(part), Resume(ec));
      break;
    }
    const asio::const_buffer bytes = asio::buffer(part.data(), n);
    co_await asio::async_write(*to, bytes, Resume(ec));
    if (ec)
      break;
  }
  to->close();
  from->close();
  open_.erase(to);
  open_.erase(from);
}

}  // namespace dotterellead::soak
