// Short names for the Boost.Asio and Beast types used by the packages that do
// network I/O on an event loop. The HTTP of the standalone mode's threads is in
// packages/http.
#ifndef DOTTERELLEAD_NET_H_
#define DOTTERELLEAD_NET_H_

// Boost 1.74's awaitable.hpp uses std::exchange without including this.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "dotterellead/catalog.h"

namespace dotterellead {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;
template <class T = void>
using task = asio::awaitable<T>;

// Completion token that stores the error in `ec` and resumes the coroutine.
inline auto Resume(error_code& ec) {
  return asio::redirect_error(asio::use_awaitable, ec);
}

inline tcp::endpoint ToTcp(const catalog::endpoint& address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

}  // namespace dotterellead

#endif  // DOTTERELLEAD_NET_H_
