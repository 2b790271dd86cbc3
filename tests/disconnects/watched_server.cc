#include "watched_server.h"

#include <fmt/core.h>
#include <poll.h>

#include <algorithm>
#include <boost/asio/write.hpp>

namespace dotterellead::disconnects {

namespace {

// How often a connection is checked during the work.
constexpr milliseconds kInterval{2};
// Small, so that an unread body waits at the host.
constexpr int kReceiveBuffer = 4'096;

bool IsClosed(tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

bool HasKind(const std::string& target, const char* kind) {
  return target.find(fmt::format("/{}/", kind)) != std::string::npos;
}

milliseconds WorkOf(const std::string& target) {
  if (HasKind(target, "quick"))
    return milliseconds(0);
  if (HasKind(target, "hold"))
    return kHoldTime;
  return HasKind(target, "long") ? kLongWorkTime : kWorkTime;
}

task<> Write(const soak::stream_ptr& stream, std::string text, error_code& ec) {
  co_await asio::async_write(*stream, asio::buffer(text), Resume(ec));
}

}  // namespace

std::size_t run_log::Arrive(const std::string& id,
                            const std::string& server,
                            milliseconds work) {
  std::lock_guard lock(mutex_);
  runs_.push_back({id, server, work, std::chrono::steady_clock::now(), {}, {}});
  return runs_.size() - 1;
}

void run_log::Close(std::size_t run) {
  std::lock_guard lock(mutex_);
  if (!runs_[run].closed)
    runs_[run].closed = std::chrono::steady_clock::now();
}

void run_log::End(std::size_t run) {
  std::lock_guard lock(mutex_);
  runs_[run].ended = std::chrono::steady_clock::now();
}

std::vector<server_run> run_log::runs() const {
  std::lock_guard lock(mutex_);
  return runs_;
}

std::size_t run_log::CountOf(const std::string& id) const {
  std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(),
                    [&](const server_run& run) { return run.id == id; }));
}

watched_server::watched_server(asio::io_context& io,
                               server_options options,
                               run_log& log)
    : io_(io), options_(std::move(options)), log_(log), acceptor_(io) {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  acceptor_.bind(soak::Loopback(options_.port));
  acceptor_.listen();
  asio::co_spawn(io_,
                 soak::AcceptOn(io_, acceptor_,
                                [this](soak::stream_ptr s) {
                                  return Serve(std::move(s));
                                }),
                 asio::detached);
}

std::string watched_server::Head(const std::string& id,
                                 http::status status) const {
  return fmt::format(
      "HTTP/1.1 {} Status\r\nInstance-Id: {}\r\nInstance-Load: {},0,{},100\r\n"
      "{}",
      static_cast<int>(status), options_.id, running_, options_.slots,
      id.empty()
          ? ""
          : fmt::format("Attempt-Id: {}\r\nResponse-Signature: s\r\n", id));
}

task<> watched_server::Serve(soak::stream_ptr stream) {
  beast::flat_buffer buffer;
  error_code ec;
  while (!ec) {
    http::request_parser<http::string_body> parser;
    stream->expires_never();
    co_await http::async_read_header(*stream, buffer, parser, Resume(ec));
    if (ec)
      break;
    if (parser.get().target() == "/health")
      co_await Write(
          stream, Head("", http::status::ok) + "Content-Length: 0\r\n\r\n", ec);
    else if (!co_await Run(stream, buffer, parser))
      break;
  }
  stream->close();
}

task<bool> watched_server::Run(
    soak::stream_ptr stream,
    beast::flat_buffer& buffer,
    http::request_parser<http::string_body>& parser) {
  const std::string target(parser.get().target());
  const std::string id = soak::Text(parser.get(), "Attempt-Id");
  const bool is_unread = HasKind(target, "unread");
  error_code ec;
  if (!is_unread && !parser.is_done())
    co_await http::async_read(*stream, buffer, parser, Resume(ec));
  if (ec)
    co_return false;
  const std::size_t run = log_.Arrive(id, options_.id, WorkOf(target));
  const std::string empty_body = "Content-Length: 0\r\n\r\n";
  if (HasKind(target, "retry") && log_.CountOf(id) == 1) {
    log_.End(run);
    co_await Write(
        stream, Head(id, http::status::internal_server_error) + empty_body, ec);
    co_return !ec;
  }
  const bool streams = HasKind(target, "stream");
  if (streams)
    co_await Write(
        stream,
        Head(id, http::status::ok) + "Transfer-Encoding: chunked\r\n\r\n", ec);
  peak_ = std::max<int>(peak_, ++running_);
  const bool is_done = co_await Work(stream, run, WorkOf(target), streams);
  --running_;
  log_.End(run);
  if (!is_done)
    co_return false;
  const std::string last =
      streams ? "0\r\n\r\n" : Head(id, http::status::ok) + empty_body;
  co_await Write(stream, last, ec);
  co_return !ec && !is_unread;
}

task<bool> watched_server::Work(soak::stream_ptr stream,
                                std::size_t run,
                                milliseconds work,
                                bool streams) {
  const time_point end = std::chrono::steady_clock::now() + work;
  error_code ec;
  while (std::chrono::steady_clock::now() < end) {
    co_await soak::Sleep(io_, kInterval);
    if (IsClosed(stream->socket())) {
      log_.Close(run);
      if (options_.drops_at_close)
        co_return false;
      streams = false;
    }
    if (streams)
      co_await Write(stream, "1\r\n.\r\n", ec);
  }
  co_return true;
}

}  // namespace dotterellead::disconnects
