// HTTP client for control interfaces: the platform's store and other hosts. For
// the standalone mode see packages/http.
#ifndef DOTTERELLEAD_CONTROL_CLIENT_H_
#define DOTTERELLEAD_CONTROL_CLIENT_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dotterellead/net.h"

namespace dotterellead {

// Result of one request.
struct control_response {
  // HTTP status; 0 if no response arrived, in which case the request may still
  // have taken effect.
  int status = 0;
  // Body of the response; the error message if there was none.
  std::string body;
  http::fields headers;
  // Whether it arrived, or failed, on a connection kept from an earlier
  // request.
  bool was_kept = false;
  // Value of a header; empty if it is absent.
  std::string_view Header(std::string_view name) const;
};

// A header of a request.
struct control_header {
  std::string name;
  std::string value;
};

// Keeps one connection open between requests, for at most kMaxIdle: the other
// side may have closed or forgotten one that was idle for longer. Supports one
// request at a time.
class control_client {
 public:
  static constexpr milliseconds kMaxIdle{1'000};

  control_client(asio::io_context& io, catalog::endpoint server)
      : io_(io), server_(server) {}

  // Sends one request and waits at most `timeout` for the response. If a kept
  // connection ends before any byte of the response, a GET is sent once more
  // on a new one within the same time; other requests may have taken effect,
  // and fail. GCC 12 destroys temporaries in a co_await expression twice, so
  // pass named strings and vectors.
  task<control_response> Send(http::verb verb,
                              const std::string& target,
                              const std::string& body,
                              milliseconds timeout);
  task<control_response> Send(http::verb verb,
                              const std::string& target,
                              const std::string& body,
                              const std::vector<control_header>& headers,
                              milliseconds timeout);
  const catalog::endpoint& server() const { return server_; }

 private:
  using request_message = http::request<http::string_body>;
  using response_parser = http::response_parser<http::string_body>;

  task<> Connect(time_point deadline, error_code& ec);
  // Sends the request on the open connection and reads the response.
  task<> Exchange(const request_message& request,
                  time_point deadline,
                  response_parser& parser,
                  error_code& ec);

  asio::io_context& io_;
  catalog::endpoint server_;
  std::unique_ptr<beast::tcp_stream> stream_;
  // The end of the last response.
  time_point last_used_{};
  beast::flat_buffer buffer_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_CONTROL_CLIENT_H_
