#include <poll.h>

#include <atomic>

#include "deadline_stream.h"
#include "dotterellead/http.h"

namespace dotterellead {
namespace {

using request_message = http::request<http::string_body>;
using answer_parser = http::response_parser<http::string_body>;

constexpr int kHttpVersion = 11;

// Headers that describe the connection or the body are written anew.
bool IsWrittenAnew(const std::string& name) {
  for (const char* own : {"content-length", "connection", "transfer-encoding"})
    if (beast::iequals(name, own))
      return true;
  return false;
}

request_message Translate(const http_request& request,
                          const socket_address& remote) {
  request_message out;
  out.version(kHttpVersion);
  out.method_string(request.method);
  out.target(request.target);
  for (const http_header& header : request.headers)
    if (!IsWrittenAnew(header.name))
      out.insert(header.name, header.value);
  if (out.find(http::field::host) == out.end())
    out.set(http::field::host, remote.ToString());
  out.body() = request.body;
  out.prepare_payload();
  return out;
}

// Whether a read failed because of what the server sent, rather than because
// the connection ended.
bool IsInvalidInput(const error_code& ec) {
  return ec.category() ==
             http::make_error_code(http::error::bad_version).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
}

}  // namespace

class http_connection::impl {
 public:
  impl(const socket_address& remote, milliseconds connect_timeout)
      : remote_(remote), connect_timeout_(connect_timeout) {}

  send_result Send(const http_request& request,
                   milliseconds timeout,
                   byte_count max_answer) {
    send_result result;
    const time_point deadline = std::chrono::steady_clock::now() + timeout;
    if (!cancelled_ && !IsReusable() &&
        !stream_.Connect(remote_, std::min(connect_timeout_, timeout)))
      result.failure = send_failure::kConnect;
    if (cancelled_)
      result.failure = send_failure::kCancelled;
    if (!result.ok())
      return result;
    buffer_.clear();
    stream_.SetDeadline(deadline);
    error_code ec;
    const request_message out = Translate(request, remote_);
    http::write(stream_, out, ec);
    bool can_reuse = false;
    if (!ec)
      can_reuse =
          ReadAnswer(request.method == "HEAD", max_answer, result.answer, ec);
    if (!can_reuse)
      stream_.Close();
    result.failure = Classify(ec);
    if (!result.ok())
      result.answer = {};
    return result;
  }

  bool IsReusable() const {
    return stream_.is_open() &&
           stream_.Wait(POLLIN | POLLRDHUP, milliseconds(0)) == 0;
  }
  bool WasClosedByRemote() const {
    return stream_.is_open() &&
           (stream_.Wait(POLLIN | POLLRDHUP, milliseconds(0)) & kClosed) != 0;
  }
  void Cancel() {
    cancelled_ = true;
    stream_.Cancel();
  }

 private:
  static constexpr short kClosed = POLLRDHUP | POLLHUP | POLLERR;

  // Reads one answer whole, after the interim ones. Returns whether another
  // request may be sent on the connection.
  bool ReadAnswer(bool is_head,
                  byte_count max_answer,
                  http_answer& answer,
                  error_code& ec) {
    std::uint64_t size = 0;
    for (int extra = 0; extra <= limits::kMaxExtraResponses; ++extra) {
      answer_parser parser;
      parser.header_limit(limits::kMaxServerHeaderBytes);
      parser.body_limit(max_answer.value);
      parser.skip(is_head);
      while (!ec && !parser.is_done()) {
        size += http::read_some(stream_, buffer_, parser, ec);
        if (!ec && size > max_answer.value + limits::kMaxServerFramingBytes)
          ec = http::error::body_limit;
        // The parser takes any three digits. Others are no status, and below
        // 100 they would pass for interim answers.
        const unsigned status = parser.get().result_int();
        if (!ec && parser.is_header_done() && (status < 100 || status > 599))
          ec = http::error::bad_status;
      }
      if (ec)
        return false;
      if (parser.get().result_int() >= 200)
        return Finish(parser, answer);
    }
    ec = http::error::unexpected_body;
    return false;
  }

  bool Finish(answer_parser& parser, http_answer& answer) const {
    const bool can_reuse =
        parser.keep_alive() && !parser.need_eof() && buffer_.size() == 0;
    auto& message = parser.get();
    answer.status = static_cast<int>(message.result_int());
    for (const auto& field : message)
      answer.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    answer.body = std::move(message.body());
    return can_reuse;
  }

  send_failure Classify(const error_code& ec) const {
    if (!ec)
      return send_failure::kNone;
    if (cancelled_)
      return send_failure::kCancelled;
    if (IsInvalidInput(ec))
      return send_failure::kBadAnswer;
    return ec == asio::error::timed_out ? send_failure::kTimeout
                                        : send_failure::kCut;
  }

  const socket_address remote_;
  const milliseconds connect_timeout_;
  deadline_stream stream_;
  // Bytes beyond the last answer end the connection, so it is empty between
  // requests.
  beast::flat_buffer buffer_{limits::kMaxUnparsedBytes};
  std::atomic<bool> cancelled_{false};
};

http_connection::http_connection(const socket_address& remote,
                                 milliseconds connect_timeout)
    : impl_(std::make_unique<impl>(remote, connect_timeout)) {}

http_connection::~http_connection() = default;

send_result http_connection::Send(const http_request& request,
                                  milliseconds timeout,
                                  byte_count max_answer) {
  return impl_->Send(request, timeout, max_answer);
}

bool http_connection::IsReusable() const {
  return impl_->IsReusable();
}

bool http_connection::WasClosedByRemote() const {
  return impl_->WasClosedByRemote();
}

void http_connection::Cancel() {
  impl_->Cancel();
}

bool CanConnect(const socket_address& remote, milliseconds timeout) {
  return deadline_stream().Connect(remote, timeout);
}

connection_fate WatchConnection(const socket_address& remote,
                                milliseconds timeout,
                                milliseconds watch) {
  deadline_stream stream;
  if (!stream.Connect(remote, timeout))
    return connection_fate::kRefused;
  const short events = stream.Wait(POLLRDHUP, watch);
  if ((events & POLLERR) != 0)
    return connection_fate::kReset;
  return events != 0 ? connection_fate::kClosed : connection_fate::kOpen;
}

send_result SendOnce(const socket_address& remote,
                     const http_request& request,
                     milliseconds timeout) {
  http_connection connection(remote, timeout);
  return connection.Send(request, timeout);
}

}  // namespace dotterellead
