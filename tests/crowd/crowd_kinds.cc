#include "crowd_kinds.h"

#include <fmt/core.h>

#include <algorithm>
#include <map>

namespace dotterellead::crowd {

namespace {

using shared_text = std::shared_ptr<const std::string>;

constexpr std::size_t kClients = 100;
constexpr std::size_t kIdleClients = 400;
// One client in so many sends its request to the end.
constexpr std::size_t kCompleteEvery = 8;
constexpr std::size_t kLargeChunk = 64 << 10;
// A body beyond the limit is this many times as large.
constexpr std::size_t kBeyond = 4;
constexpr std::size_t kLargeResponse = 400'000;
constexpr std::size_t kManyFieldsClients = 150;
// What a header leaves to the fields that precede the many.
constexpr std::size_t kOwnFields = 400;

// All clients of a run send the same bytes, which are kept once.
shared_text Shared(std::size_t size, std::size_t chunk) {
  static std::map<std::pair<std::size_t, std::size_t>, shared_text> made;
  shared_text& text = made[{size, chunk}];
  if (text)
    return text;
  if (chunk == 0)
    return text = std::make_shared<const std::string>(size, 'b');
  std::string framed;
  for (std::size_t at = 0; at < size; at += chunk) {
    const std::size_t part = std::min(chunk, size - at);
    framed += fmt::format("{:x}\r\n", part);
    framed.append(part, 'c');
    framed += "\r\n";
  }
  framed += "0\r\n\r\n";
  return text = std::make_shared<const std::string>(std::move(framed));
}

client_script Announced(const target_protocol& target,
                        std::size_t client,
                        std::size_t announced,
                        std::size_t sent) {
  return {fmt::format("{}Content-Length: {}\r\n\r\n", target.start(client),
                      announced),
          Shared(sent, 0), sent};
}

client_script Chunked(const target_protocol& target,
                      std::size_t client,
                      std::size_t size,
                      std::size_t chunk) {
  const shared_text body = Shared(size, chunk);
  const bool is_complete = client % kCompleteEvery == 0;
  // The rest stop within the last part of the body.
  constexpr std::size_t kEnd = 7;
  return {target.start(client) + "Transfer-Encoding: chunked\r\n\r\n", body,
          is_complete ? body->size() : body->size() - kEnd};
}

// A header of as many fields as its size permits, and a body that stops just
// before its end.
client_script ManyFields(const target_protocol& target, std::size_t client) {
  constexpr std::size_t kBody = 10;
  std::string header = target.start(client);
  while (header.size() + kOwnFields < target.max_header)
    header += "a:b\r\n";
  header += fmt::format("Content-Length: {}\r\n\r\n", kBody);
  return {std::move(header), Shared(kBody, 0), kBody - 1};
}

}  // namespace

client_script WholeRequest(const target_protocol& target,
                           std::size_t client,
                           std::size_t size) {
  return Announced(target, client, size, size);
}

const std::vector<crowd_kind>& Kinds() {
  static const std::vector<crowd_kind> kinds = {
      {"whole", kClients,
       [](const target_protocol& t, std::size_t i) {
         return WholeRequest(t, i, t.max_body);
       }},
      {"unfinished", kClients,
       [](const target_protocol& t, std::size_t i) {
         return Announced(t, i, t.max_body, t.max_body - 1);
       }},
      {"announced_beyond_limit", kClients,
       [](const target_protocol& t, std::size_t i) {
         return Announced(t, i, kBeyond * t.max_body, kBeyond * t.max_body);
       }},
      {"sent_beyond_limit", kClients,
       [](const target_protocol& t, std::size_t i) {
         return Chunked(t, i, kBeyond * t.max_body, kLargeChunk);
       }},
      {"large_chunks", kClients,
       [](const target_protocol& t, std::size_t i) {
         return Chunked(t, i, t.max_body, kLargeChunk);
       }},
      {"small_chunks", kClients,
       [](const target_protocol& t, std::size_t i) {
         return Chunked(t, i, t.max_body, 1);
       }},
      {"many_fields", kManyFieldsClients, ManyFields},
      {"slow_readers", kClients,
       [](const target_protocol& t, std::size_t i) {
         const std::string header =
             t.large_response.empty()
                 ? fmt::format("{}Content-Length: {}\r\n\r\n", t.start(i),
                               kLargeResponse)
                 : fmt::format("{}{}: {}\r\n\r\n", t.start(i), t.large_response,
                               kLargeResponse);
         const std::size_t sent = t.large_response.empty() ? kLargeResponse : 0;
         return client_script{header, Shared(sent, 0), sent, false};
       }},
      {"idle", kIdleClients,
       [](const target_protocol&, std::size_t) {
         return client_script{"", Shared(0, 0), 0};
       }},
  };
  return kinds;
}

}  // namespace dotterellead::crowd
