#include "exchange.h"

#include <boost/asio/write.hpp>

namespace dotterellead::traffic {

namespace {

using dispatch::attempt_result;

// A connection that answered this recently carries a request without being
// proved again; the probe of the same call has just used it.
constexpr milliseconds kProvedFor{150};
// Longest wait for a connection; within a region one takes a few ms.
constexpr milliseconds kConnectLimit{250};
// Answers are held whole until they are known to be complete.
constexpr std::uint64_t kMaxAnswerBytes = 16 << 20;
constexpr std::uint32_t kMaxAnswerHeader = 64 << 10;
// Bodies up to this size fit the socket's buffer, so that writing them ends
// even if the server does not read.
constexpr std::size_t kSmallBody = 8 << 10;
// An idle connection that does not answer a probe for this part of the limit
// may be dead; the probe is sent again on a new one.
constexpr int kReusedProbePart = 2;

std::string_view Header(const answer_message& answer, const std::string& name) {
  const auto it = answer.find(name);
  if (it == answer.end())
    return {};
  return {it->value().data(), it->value().size()};
}

bool IsRefusalStatus(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

attempt_result Classify(const answer_message& answer,
                        const header_names& names) {
  const int status = static_cast<int>(answer.result_int());
  if (answer.count(names.not_run) > 0)
    return attempt_result::kNotRun;
  if (status == 421)
    return attempt_result::kWrongServer;
  // These promise that the request has not run; this server did not say so.
  if (IsRefusalStatus(status))
    return attempt_result::kInvalidResponse;
  const bool is_success = status >= 200 && status < 300;
  if (is_success && (Header(answer, names.signature).empty() ||
                     Header(answer, names.request_id).empty()))
    return attempt_result::kInvalidResponse;
  if (answer.count(http::field::content_encoding) > 0)
    return attempt_result::kInvalidResponse;
  return attempt_result::kResponded;
}

// Writes a request in the background, so that an early answer is read while
// the body is still being sent.
struct pending_write {
  explicit pending_write(std::shared_ptr<const request_message> r)
      : request(std::move(r)) {}
  std::shared_ptr<const request_message> request;
  bool is_done = false;
  error_code ec;
};

task<> WriteRequest(link_ptr link, std::shared_ptr<pending_write> write) {
  http::request_serializer<http::string_body, http::fields> serializer(
      *write->request);
  co_await http::async_write(link->stream, serializer, Resume(write->ec));
  write->is_done = true;
}

// Reads answers until one belongs to the request with `id`; others are late
// extra answers to earlier requests.
task<answer_message> ReadAnswer(const link_ptr& link,
                                const std::string& id_header,
                                const std::string& id,
                                bool is_head,
                                bool& needs_eof,
                                error_code& ec) {
  while (true) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxAnswerBytes);
    parser.header_limit(kMaxAnswerHeader);
    parser.skip(is_head);
    co_await http::async_read(link->stream, link->buffer, parser, Resume(ec));
    if (ec)
      co_return answer_message();
    needs_eof = parser.need_eof();
    answer_message answer = parser.release();
    if (answer.result_int() < 200)
      continue;
    const std::string_view answered = Header(answer, id_header);
    if (answered == id || answered.empty())
      co_return answer;
  }
}

}  // namespace

void exchange_handle::Cancel() {
  is_cancelled = true;
  if (link)
    link->stream.close();
}

task<exchange_result> Exchange(
    server_links& links,
    const header_names& names,
    const dispatch::server_ref& server,
    const std::shared_ptr<const request_message>& request,
    milliseconds limit,
    const std::shared_ptr<exchange_handle>& handle) {
  exchange_result result;
  const time_point ends = std::chrono::steady_clock::now() + limit;
  error_code ec;
  link_ptr link = links.TakeIdle(server.address, kProvedFor);
  if (!link)
    link = co_await links.Connect(server.address,
                                  std::min(limit, kConnectLimit), ec);
  if (!link || handle->is_cancelled) {
    result.result = attempt_result::kNotConnected;
    co_return result;
  }
  handle->link = link;
  link->stream.expires_at(ends);
  auto write = std::make_shared<pending_write>(request);
  if (request->body().size() <= kSmallBody)
    co_await WriteRequest(link, write);
  else
    asio::co_spawn(link->stream.get_executor(), WriteRequest(link, write),
                   asio::detached);
  std::string id;
  if (const auto it = request->find(names.request_id); it != request->end())
    id = std::string(it->value());
  const bool is_head = request->method() == http::verb::head;
  bool needs_eof = false;
  answer_message answer =
      co_await ReadAnswer(link, names.request_id, id, is_head, needs_eof, ec);
  handle->link = nullptr;
  if (ec) {
    link->stream.close();
    co_return result;
  }
  result.status = static_cast<int>(answer.result_int());
  result.load = ReadLoad(Header(answer, names.load));
  result.result = Classify(answer, names);
  if (answer.keep_alive() && !needs_eof && write->is_done && !write->ec &&
      link->buffer.size() == 0)
    links.Keep(server, link);
  else
    link->stream.close();
  result.answer = std::move(answer);
  co_return result;
}

namespace {

task<bool> ProbeOn(server_links& links,
                   const header_names& names,
                   const dispatch::server_ref& server,
                   const link_ptr& link,
                   milliseconds limit,
                   dispatch::load_sample& sample) {
  error_code ec;
  link->stream.expires_after(limit);
  request_message ask(http::verb::get, server.health_path, 11);
  ask.set(http::field::host, to_string(server.address));
  ask.set(names.expected_server, server.id.value());
  co_await http::async_write(link->stream, ask, Resume(ec));
  bool needs_eof = false;
  const std::string no_id;
  answer_message answer;
  if (!ec)
    answer = co_await ReadAnswer(link, names.request_id, no_id, false,
                                 needs_eof, ec);
  if (ec) {
    link->stream.close();
    co_return false;
  }
  const std::string_view who = Header(answer, names.server);
  if (answer.result_int() == 421 || (!who.empty() && who != server.id.value()))
    sample.result = dispatch::probe_result::kWrongServer;
  else if (answer.result_int() == 200)
    sample.result = dispatch::probe_result::kHealthy;
  else
    sample.result = dispatch::probe_result::kUnhealthy;
  sample.load = ReadLoad(Header(answer, names.load));
  sample.warmup_left =
      ReadMillis(Header(answer, names.cold_left)).value_or(milliseconds(0));
  if (answer.keep_alive() && !needs_eof && link->buffer.size() == 0)
    links.Keep(server, link);
  else
    link->stream.close();
  co_return true;
}

}  // namespace

task<dispatch::load_sample> Probe(server_links& links,
                                  const header_names& names,
                                  const dispatch::server_ref& server,
                                  milliseconds limit) {
  dispatch::load_sample sample;
  sample.server = server.id;
  constexpr milliseconds kAnyIdle{10'000};
  const time_point started = std::chrono::steady_clock::now();
  const time_point ends = started + limit;
  if (link_ptr link = links.TakeIdle(server.address, kAnyIdle))
    if (co_await ProbeOn(links, names, server, link, limit / kReusedProbePart,
                         sample))
      co_return sample;
  const auto left = std::chrono::duration_cast<milliseconds>(
      ends - std::chrono::steady_clock::now());
  error_code ec;
  if (left > milliseconds(0))
    if (link_ptr link = co_await links.Connect(server.address, left, ec))
      co_await ProbeOn(links, names, server, link, left, sample);
  co_return sample;
}

}  // namespace dotterellead::traffic
