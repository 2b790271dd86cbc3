// Small pieces that the soak's stand-ins share.
#ifndef TESTS_SOAK_STANDIN_NET_H_
#define TESTS_SOAK_STANDIN_NET_H_

#include <functional>
#include <memory>
#include <string>

#include "dotterellead/net.h"

namespace dotterellead::soak {

using request_message = http::request<http::string_body>;
using answer_message = http::response<http::string_body>;
using stream_ptr = std::shared_ptr<beast::tcp_stream>;

inline task<> Sleep(asio::io_context& io, milliseconds length) {
  asio::steady_timer timer(io, length);
  error_code ec;
  co_await timer.async_wait(Resume(ec));
}

inline tcp::endpoint Loopback(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)};
}

// Accepts on a port and hands each connection to `serve`.
inline task<> AcceptOn(asio::io_context& io,
                       tcp::acceptor& acceptor,
                       std::function<task<>(stream_ptr)> serve) {
  while (acceptor.is_open()) {
    error_code ec;
    auto stream = std::make_shared<beast::tcp_stream>(io);
    co_await acceptor.async_accept(stream->socket(), Resume(ec));
    if (ec)
      co_return;
    asio::co_spawn(io, serve(stream), asio::detached);
  }
}

inline void OpenAcceptor(tcp::acceptor& acceptor, int port) {
  acceptor.open(tcp::v4());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(Loopback(port));
  acceptor.listen();
}

inline std::string Text(const http::fields& fields, const char* name) {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : std::string(it->value());
}

}  // namespace dotterellead::soak

#endif  // TESTS_SOAK_STANDIN_NET_H_
