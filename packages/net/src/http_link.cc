#include "dotterellead/http_link.h"

namespace dotterellead {

namespace {

// Answers hold whole listings; 500 records or 1 MB a page, and reads are asked
// for less.
constexpr std::uint64_t kMaxAnswerBytes = 8 << 20;

}  // namespace

task<http_answer> http_link::Call(http::verb verb,
                                  const std::string& target,
                                  const std::string& body,
                                  milliseconds limit) {
  error_code ec;
  const time_point ends = std::chrono::steady_clock::now() + limit;
  if (!stream_) {
    stream_ = std::make_unique<beast::tcp_stream>(io_);
    buffer_.clear();
    stream_->expires_at(ends);
    co_await stream_->async_connect(ToTcp(server_), Resume(ec));
    if (!ec)
      stream_->socket().set_option(tcp::no_delay(true), ec);
  }
  http_answer answer;
  if (!ec) {
    stream_->expires_at(ends);
    http::request<http::string_body> request(verb, target, 11);
    request.set(http::field::host, to_string(server_));
    if (!body.empty() && body.front() == '{')
      request.set(http::field::content_type, "application/json");
    request.body() = body;
    request.prepare_payload();
    co_await http::async_write(*stream_, request, Resume(ec));
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxAnswerBytes);
  if (!ec)
    co_await http::async_read(*stream_, buffer_, parser, Resume(ec));
  if (ec) {
    answer.body = ec.message();
    stream_.reset();
    co_return answer;
  }
  answer.status = static_cast<int>(parser.get().result_int());
  const bool is_kept = parser.get().keep_alive();
  answer.body = std::move(parser.get().body());
  if (!is_kept)
    stream_.reset();
  co_return answer;
}

}  // namespace dotterellead
