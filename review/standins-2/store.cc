#include "store.h"

namespace review {

namespace {

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
    text += static_cast<char>(value >> shift & 0xff);
  return text;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j)
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63];
  }
  return text;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
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

}  // namespace

store::store() : listener_(Listen(port_)), accepting_([this] { Accept(); }) {}

store::~store() {
  {
    const std::lock_guard lock(mutex_);
    is_stopped_ = true;
  }
  appended_.notify_all();
  accepting_.join();
}

void store::Accept() {
  constexpr milliseconds kPollInterval{100};
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (is_stopped_)
        return;
    }
    socket_handle accepted = review::Accept(listener_, kPollInterval);
    if (accepted.is_open())
      std::thread([this, socket = std::move(accepted)]() mutable {
        Serve(std::move(socket));
      }).detach();
  }
}

void store::Serve(socket_handle socket) {
  message_reader reader(socket);
  while (const std::optional<message> request = reader.Read())
    if (!WriteAll(socket, Answer(*request)))
      return;
}

std::string store::Answer(const message& request) {
  {
    const std::lock_guard lock(mutex_);
    ++calls_;
  }
  const query_map query = ParseQuery(request.second);
  if (request.second.starts_with("/log-newest"))
    return List(query);
  if (request.second.starts_with("/log-read"))
    return Read(query);
  if (request.second.starts_with("/log-append"))
    return Append(query, request.body);
  return FormatResponse(404, {}, "{}");
}

std::string store::Read(const query_map& query) {
  std::unique_lock lock(mutex_);
  const topic_log& log = topics_[query.at("topic")];
  const std::size_t from = std::stoull(query.at("from"));
  const milliseconds wait(
      query.contains("waitMs") ? std::stoi(query.at("waitMs")) : 0);
  appended_.wait_for(lock, wait,
                     [&] { return is_stopped_ || log.records.size() > from; });
  if (from > log.records.size())
    return FormatResponse(410, {}, R"({"first":0})");
  std::string body = BigEndian(log.records.size(), 8) + BigEndian(0, 8);
  for (std::size_t i = from; i < log.records.size(); ++i) {
    const record& r = log.records[i];
    body += BigEndian(1 + r.key.size() + r.value.size(), 4);
    body += static_cast<char>(r.key.size());
    body += r.key + r.value;
  }
  return FormatResponse(200, {}, body);
}

std::string store::List(const query_map& query) {
  const std::lock_guard lock(mutex_);
  const topic_log& log = topics_[query.at("topic")];
  std::string items;
  for (const auto& [key, offset] : log.newest) {
    items += items.empty() ? "" : ",";
    items += R"({"key":")" + key + R"(","offset":)" + std::to_string(offset) +
             R"(,"value":")" + Base64(log.records[offset].value) + "\"}";
  }
  return FormatResponse(200, {{"Content-Type", "application/json"}},
                        R"({"items":[)" + items +
                            R"(],"hasMore":false,"end":)" +
                            std::to_string(log.records.size()) + "}");
}

std::string store::Append(const query_map& query, const std::string& body) {
  const std::lock_guard lock(mutex_);
  const std::string& topic = query.at("topic");
  const std::size_t end = topics_[topic].records.size();
  if (query.contains("at") && std::stoull(query.at("at")) != end)
    return FormatResponse(412, {}, R"({"end":)" + std::to_string(end) + "}");
  constexpr std::size_t kLengthBytes = 4;
  const auto key_size = static_cast<unsigned char>(body.at(kLengthBytes));
  PutLocked(topic, {body.substr(kLengthBytes + 1, key_size),
                    body.substr(kLengthBytes + 1 + key_size)});
  return FormatResponse(200, {},
                        R"({"offset":)" + std::to_string(end) + R"(,"end":)" +
                            std::to_string(end + 1) + "}");
}

void store::PutLocked(const std::string& topic, record added) {
  topic_log& log = topics_[topic];
  if (added.value.empty())
    log.newest.erase(added.key);
  else
    log.newest[added.key] = log.records.size();
  log.records.push_back(std::move(added));
  appended_.notify_all();
}

void store::Put(const std::string& topic,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard lock(mutex_);
  PutLocked(topic, {key, value});
}

std::string store::Newest(const std::string& topic, const std::string& key) {
  const std::lock_guard lock(mutex_);
  const topic_log& log = topics_[topic];
  const auto it = log.newest.find(key);
  return it == log.newest.end() ? "" : log.records[it->second].value;
}

std::uint64_t store::calls() {
  const std::lock_guard lock(mutex_);
  return calls_;
}

}  // namespace review
