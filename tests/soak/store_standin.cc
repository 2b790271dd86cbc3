#include "store_standin.h"

#include <fmt/core.h>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include "dotterellead/json.h"

namespace dotterellead::soak {

namespace {

constexpr milliseconds kSlowAnswer{250};

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    text += static_cast<char>(value >> shift & 0xff);
  return text;
}

std::string Base64(const std::string& bytes) {
  namespace iterators = boost::archive::iterators;
  using encoder = iterators::base64_from_binary<
      iterators::transform_width<std::string::const_iterator, 6, 8>>;
  std::string text(encoder(bytes.begin()), encoder(bytes.end()));
  text.append((4 - text.size() % 4) % 4, '=');
  return text;
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, next - at - 1);
    query[pair.substr(0, pair.find('='))] = pair.substr(pair.find('=') + 1);
    at = next;
  }
  return query;
}

answer_message Status(http::status status, std::string body = "{}") {
  answer_message answer(status, 11);
  answer.body() = std::move(body);
  return answer;
}

}  // namespace

store_standin::store_standin(asio::io_context& io, int port)
    : io_(io), acceptor_(io), appended_(io) {
  appended_.expires_at(time_point::max());
  OpenAcceptor(acceptor_, port);
  asio::co_spawn(io_,
                 AcceptOn(io_, acceptor_,
                          [this](stream_ptr s) { return Serve(std::move(s)); }),
                 asio::detached);
}

void store_standin::Put(const std::string& topic,
                        const std::string& key,
                        const std::string& value) {
  topic_log& log = topics_[topic];
  const record added{key, value, std::chrono::steady_clock::now()};
  SetNewest(log.newest, log.end(), added);
  log.records.push_back(added);
  appended_.cancel();
}

void store_standin::SetNewest(newest_records& newest,
                              std::uint64_t offset,
                              const record& record) {
  if (record.value.empty())
    newest.erase(record.key);
  else
    newest[record.key] = {offset, record.value};
}

void store_standin::Compact() {
  for (auto& [name, log] : topics_) {
    log.first = log.end();
    log.records.clear();
    log.newest_before = log.newest;
  }
}

void store_standin::RestoreCopy(milliseconds age) {
  const time_point copied_at = std::chrono::steady_clock::now() - age;
  for (auto& [name, log] : topics_) {
    std::erase_if(log.records,
                  [&](const record& r) { return r.appended_at > copied_at; });
    log.newest = log.newest_before;
    for (std::size_t i = 0; i < log.records.size(); ++i)
      SetNewest(log.newest, log.first + i, log.records[i]);
  }
  ++era_;
  appended_.cancel();
}

bool store_standin::HasValue(const std::string& topic,
                             const std::string& key,
                             const std::string& value) {
  const newest_records& newest = topics_[topic].newest;
  const auto it = newest.find(key);
  return it != newest.end() && it->second.second == value;
}

task<> store_standin::Serve(stream_ptr stream) {
  beast::flat_buffer buffer;
  error_code ec;
  while (true) {
    request_message request;
    stream->expires_never();
    co_await http::async_read(*stream, buffer, request, Resume(ec));
    if (ec || fault_ == store_fault::kReset)
      break;
    answer_message answer = co_await Answer(request);
    if (fault_ == store_fault::kSilent) {
      // Nothing more comes on this connection.
      co_await Sleep(io_, milliseconds(60'000));
      break;
    }
    if (fault_ == store_fault::kReset)
      break;
    if (era_ > 0)
      answer.set("Store-Era", std::to_string(era_));
    answer.prepare_payload();
    co_await http::async_write(*stream, answer, Resume(ec));
    if (ec)
      break;
  }
  stream->close();
}

task<answer_message> store_standin::Answer(const request_message& request) {
  ++calls_;
  if (fault_ == store_fault::kBusy)
    co_return Status(http::status::service_unavailable);
  if (fault_ == store_fault::kSlow)
    co_await Sleep(io_, kSlowAnswer);
  const std::string target(request.target());
  auto query = Query(target);
  if (target.starts_with("/log-newest"))
    co_return Newest(query);
  if (target.starts_with("/log-read"))
    co_return co_await Read(query);
  if (target.starts_with("/log-append"))
    co_return Append(query, request.body());
  co_return Status(http::status::not_found);
}

task<answer_message> store_standin::Read(
    std::map<std::string, std::string>& query) {
  const std::string topic = query["topic"];
  const std::uint64_t from = std::stoull(query["from"]);
  const time_point ends = std::chrono::steady_clock::now() +
                          milliseconds(std::stoi("0" + query["waitMs"]));
  asio::steady_timer limit(io_, ends);
  limit.async_wait([this](error_code ec) {
    if (!ec)
      appended_.cancel();
  });
  error_code ec;
  while (topics_[topic].end() == from &&
         std::chrono::steady_clock::now() < ends)
    co_await appended_.async_wait(Resume(ec));
  const topic_log& log = topics_[topic];
  if (from < log.first || from > log.end())
    co_return Status(http::status::gone,
                     fmt::format("{{\"first\":{}}}", log.first));
  std::string body = BigEndian(log.end(), 8) + BigEndian(log.first, 8);
  for (std::uint64_t at = from; at < log.end(); ++at) {
    const record& r = log.records[at - log.first];
    body += BigEndian(1 + r.key.size() + r.value.size(), 4);
    body += static_cast<char>(r.key.size());
    body += r.key + r.value;
  }
  co_return Status(http::status::ok, body);
}

answer_message store_standin::Newest(
    std::map<std::string, std::string>& query) {
  const topic_log& log = topics_[query["topic"]];
  Json::Value json(Json::objectValue);
  json["items"] = Json::Value(Json::arrayValue);
  for (const auto& [key, newest] : log.newest) {
    Json::Value item(Json::objectValue);
    item["key"] = key;
    item["offset"] = static_cast<Json::UInt64>(newest.first);
    item["value"] = Base64(newest.second);
    json["items"].append(item);
  }
  json["hasMore"] = false;
  json["end"] = static_cast<Json::UInt64>(log.end());
  return Status(http::status::ok, FormatJson(json));
}

answer_message store_standin::Append(std::map<std::string, std::string>& query,
                                     const std::string& body) {
  topic_log& log = topics_[query["topic"]];
  if (query.contains("at") && std::stoull(query["at"]) != log.end())
    return Status(http::status::precondition_failed);
  const std::uint64_t offset = log.end();
  const auto key_size = static_cast<unsigned char>(body.at(4));
  Put(query["topic"], body.substr(5, key_size), body.substr(5 + key_size));
  return Status(http::status::ok,
                fmt::format("{{\"offset\":{},\"end\":{}}}", offset, log.end()));
}

}  // namespace dotterellead::soak
