// A backend server that records when requests reach it, when their connections
// close, and for how long it works on them.
#ifndef TESTS_DISCONNECTS_WATCHED_SERVER_H_
#define TESTS_DISCONNECTS_WATCHED_SERVER_H_

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

#include "standin_net.h"

namespace dotterellead::disconnects {

// One request at one server.
struct server_run {
  std::string id;
  std::string server;
  // What it takes if it isn't dropped.
  milliseconds work{0};
  time_point arrived;
  // When the host's close of the connection could first be seen.
  std::optional<time_point> closed;
  std::optional<time_point> ended;
};

// The runs at all servers, in order of arrival. Thread-safe.
class run_log {
 public:
  std::size_t Arrive(const std::string& id,
                     const std::string& server,
                     milliseconds work);
  void Close(std::size_t run);
  void End(std::size_t run);
  std::vector<server_run> runs() const;
  std::size_t CountOf(const std::string& id) const;

 private:
  mutable std::mutex mutex_;
  std::vector<server_run> runs_;
};

struct server_options {
  std::string id;
  int port = 0;
  int slots = 1;
  // Whether the server ends its work once the connection is closed. Otherwise
  // it does not check the connection during its work.
  bool drops_at_close = true;
};

// What a request's path asks for: "/POOL/KIND/ID". All others take kWorkTime.
//   quick: no work
//   long: kLongWorkTime
//   hold: kHoldTime
//   retry: the first server fails
//   stream: the response is sent in parts during the work
//   unread: the body is not read
inline constexpr milliseconds kWorkTime{800};
inline constexpr milliseconds kLongWorkTime{2'000};
// Ends while the host would still send what it has queued meanwhile.
inline constexpr milliseconds kHoldTime{1'000};

class watched_server {
 public:
  watched_server(asio::io_context& io, server_options options, run_log& log);
  const server_options& options() const { return options_; }
  // The most requests that the server has worked on at once.
  int peak() const { return peak_; }

 private:
  task<> Serve(soak::stream_ptr stream);
  // Returns false if the connection cannot be used any more.
  task<bool> Run(soak::stream_ptr stream,
                 beast::flat_buffer& buffer,
                 http::request_parser<http::string_body>& parser);
  // Returns false if the work was dropped.
  task<bool> Work(soak::stream_ptr stream,
                  std::size_t run,
                  milliseconds work,
                  bool streams);
  std::string Head(const std::string& id, http::status status) const;

  asio::io_context& io_;
  const server_options options_;
  run_log& log_;
  tcp::acceptor acceptor_;
  int running_ = 0;
  std::atomic<int> peak_ = 0;
};

}  // namespace dotterellead::disconnects

#endif  // TESTS_DISCONNECTS_WATCHED_SERVER_H_
