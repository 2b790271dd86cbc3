#include "dotterellead/control_client.h"

#include <optional>

#include "dotterellead/read_message.h"

namespace dotterellead {

namespace {

// Responses hold listings of up to 500 records or 1 MB a page.
constexpr std::uint64_t kMaxResponseBytes = 8 << 20;

}  // namespace

std::string_view control_response::Header(std::string_view name) const {
  const auto it = headers.find(beast::string_view(name.data(), name.size()));
  if (it == headers.end())
    return {};
  return {it->value().data(), it->value().size()};
}

task<control_response> control_client::Send(http::verb verb,
                                            const std::string& target,
                                            const std::string& body,
                                            milliseconds timeout) {
  const std::vector<control_header> no_headers;
  co_return co_await Send(verb, target, body, no_headers, timeout);
}

task<control_response> control_client::Send(
    http::verb verb,
    const std::string& target,
    const std::string& body,
    const std::vector<control_header>& headers,
    milliseconds timeout) {
  const time_point deadline = std::chrono::steady_clock::now() + timeout;
  request_message request(verb, target, 11);
  request.set(http::field::host, to_string(server_));
  if (!body.empty() && body.front() == '{')
    request.set(http::field::content_type, "application/json");
  for (const control_header& header : headers)
    request.set(header.name, header.value);
  request.body() = body;
  request.prepare_payload();

  if (std::chrono::steady_clock::now() > last_used_ + kMaxIdle)
    stream_.reset();
  control_response response;
  std::optional<response_parser> parser;
  error_code ec;
  while (true) {
    response.was_kept = stream_ != nullptr;
    ec = {};
    if (!stream_)
      co_await Connect(deadline, ec);
    parser.emplace();
    parser->body_limit(kMaxResponseBytes);
    if (!ec)
      co_await Exchange(request, deadline, *parser, ec);
    const bool is_repeatable = response.was_kept && verb == http::verb::get &&
                               ec != beast::error::timeout &&
                               !parser->got_some() && buffer_.size() == 0;
    if (!ec || !is_repeatable)
      break;
    stream_.reset();
  }
  if (ec) {
    response.body = ec.message();
    stream_.reset();
    co_return response;
  }
  last_used_ = std::chrono::steady_clock::now();
  response.status = static_cast<int>(parser->get().result_int());
  const bool is_keep_alive = parser->get().keep_alive();
  response.body = std::move(parser->get().body());
  response.headers = std::move(parser->get().base());
  if (!is_keep_alive)
    stream_.reset();
  co_return response;
}

task<> control_client::Connect(time_point deadline, error_code& ec) {
  stream_ = std::make_unique<beast::tcp_stream>(io_);
  buffer_.clear();
  stream_->expires_at(deadline);
  co_await stream_->async_connect(ToTcp(server_), Resume(ec));
  if (!ec)
    stream_->socket().set_option(tcp::no_delay(true), ec);
}

task<> control_client::Exchange(const request_message& request,
                                time_point deadline,
                                response_parser& parser,
                                error_code& ec) {
  stream_->expires_at(deadline);
  co_await http::async_write(*stream_, request, Resume(ec));
  if (!ec)
    co_await ReadMessage(*stream_, buffer_, parser, ec);
}

}  // namespace dotterellead
