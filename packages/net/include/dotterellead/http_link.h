// Client of a control interface: the platform's store or another host.
#ifndef DOTTERELLEAD_HTTP_LINK_H_
#define DOTTERELLEAD_HTTP_LINK_H_

#include <memory>
#include <string>

#include "dotterellead/net.h"

namespace dotterellead {

struct http_answer {
  // 0: no answer; what was asked may have been done.
  int status = 0;
  std::string body;
};

// One connection, kept between calls. One call at a time.
class http_link {
 public:
  http_link(asio::io_context& io, catalog::endpoint server)
      : io_(io), server_(server) {}

  // Makes one call and waits at most `limit` for its answer. GCC 12 destroys
  // temporaries in a co_await expression twice: pass named texts.
  task<http_answer> Call(http::verb verb,
                         const std::string& target,
                         const std::string& body,
                         milliseconds limit);
  const catalog::endpoint& server() const { return server_; }

 private:
  asio::io_context& io_;
  catalog::endpoint server_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_HTTP_LINK_H_
