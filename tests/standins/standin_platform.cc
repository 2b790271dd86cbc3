// Stand-in for the platform: the append-only log and the host list. POST
// /.control changes its behaviour while it runs; GET /.stats counts appends.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

#include "control.h"

namespace {

using namespace dotterellead;

constexpr milliseconds kGoneCheck{20};
constexpr std::int64_t kLongestPollMs = 30'000;
constexpr std::uint64_t kMaxRecordsPerRead = 10'000;

struct behaviour {
  // "none", "all", "appends" or "reads": answered with 503.
  std::string outage = "none";
  // The same words: accepted and never answered.
  std::string hang = "none";
  int latency_ms = 0;
  // So many further appends take effect, and their connection is then cut.
  int lose_append_replies = 0;
  int retention_ms = 86'400'000;
  // 0: no bound.
  int retention_records = 0;
  // Appends per second over all streams; 0: no bound.
  int appends_per_second = 300;
  // A change of the host list shows after this time.
  int lag_ms = 0;
};

constexpr control_field<behaviour, int> kIntFields[] = {
    {"latency_ms", &behaviour::latency_ms},
    {"lose_append_replies", &behaviour::lose_append_replies},
    {"retention_ms", &behaviour::retention_ms},
    {"retention_records", &behaviour::retention_records},
    {"appends_per_second", &behaviour::appends_per_second},
    {"lag_ms", &behaviour::lag_ms},
};
constexpr control_field<behaviour, std::string> kTextFields[] = {
    {"outage", &behaviour::outage},
    {"hang", &behaviour::hang},
};

void Update(behaviour& b, const Json::Value& json) {
  UpdateFields(b, kIntFields, json);
  UpdateFields(b, kTextFields, json);
}

http_answer Problem(int status, const std::string& text) {
  Json::Value json;
  json["error"] = text;
  return JsonAnswer(json, status);
}

time_point Now() {
  return std::chrono::steady_clock::now();
}

std::int64_t QueryNumber(const http_request& request,
                         std::string_view name,
                         std::int64_t fallback) {
  const std::string text = QueryValue(request.target, name);
  return text.empty() ? fallback : std::stoll(text);
}

// Records of one stream; offsets count from 0 and are never reused.
struct stream {
  struct kept_record {
    std::string data;
    time_point appended;
  };
  std::deque<kept_record> records;
  std::uint64_t first = 0;
  std::uint64_t appends = 0;

  std::uint64_t next() const { return first + records.size(); }

  void Trim(const behaviour& b) {
    const time_point oldest = Now() - milliseconds(b.retention_ms);
    while (!records.empty() &&
           (records.front().appended < oldest ||
            (b.retention_records > 0 &&
             records.size() > static_cast<std::size_t>(b.retention_records)))) {
      records.pop_front();
      ++first;
    }
  }
};

class platform {
 public:
  platform(const socket_address& address,
           behaviour initial,
           std::size_t threads)
      : behaviour_(std::move(initial)),
        listener_({.address = address,
                   .threads = threads,
                   .max_body = byte_count{16 << 20},
                   .idle_timeout = milliseconds(60'000),
                   .read_timeout = milliseconds(60'000)},
                  [this](const http_request& r, const http_peer& p) {
                    return Handle(r, p);
                  }) {}

  void Start() { listener_.Start(); }
  void SetHosts(const Json::Value& hosts) { hosts_ = shown_hosts_ = hosts; }

 private:
  http_answer Handle(const http_request& request, const http_peer& peer) {
    try {
      return Route(request, peer);
    } catch (const std::exception& e) {
      return Problem(400, e.what());
    }
  }

  http_answer Route(const http_request& request, const http_peer& peer) {
    const std::string path(TargetPath(request.target));
    if (path == "/.control")
      return Control(request);
    if (path == "/.stats")
      return Stats();
    if (path == "/hosts")
      return Misbehave("hosts", peer).value_or(Hosts());
    constexpr std::string_view kPrefix = "/streams/";
    constexpr std::string_view kSuffix = "/records";
    if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix) ||
        path.size() <= kPrefix.size() + kSuffix.size()) {
      return Problem(404, "no such path");
    }
    const std::string name = path.substr(
        kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size());
    const bool append = request.method == "POST";
    if (auto fault = Misbehave(append ? "appends" : "reads", peer))
      return *fault;
    return append ? Append(name, request, peer) : Read(name, request, peer);
  }

  // Carries out the outage, hang and latency that apply to `kind` of call.
  std::optional<http_answer> Misbehave(const std::string& kind,
                                       const http_peer& peer) {
    behaviour b;
    {
      std::lock_guard lock(mutex_);
      b = behaviour_;
    }
    if (b.hang == "all" || b.hang == kind)
      return Hang(peer);
    std::this_thread::sleep_for(milliseconds(b.latency_ms));
    if (b.outage == "all" || b.outage == kind)
      return Problem(503, "the log is down");
    return std::nullopt;
  }

  // A call that hangs is never answered, even after the hang has ended.
  static http_answer Hang(const http_peer& peer) {
    while (!peer.IsGone())
      std::this_thread::sleep_for(kGoneCheck);
    peer.Abort();
    return {};
  }

  http_answer Append(const std::string& name,
                     const http_request& request,
                     const http_peer& peer) {
    const Json::Value json = ParseText(request.body);
    if (!json.isObject() || !json["records"].isArray() ||
        json["records"].empty()) {
      return Problem(400, "records is not a list of texts");
    }
    std::lock_guard lock(mutex_);
    if (!TakeRate())
      return Problem(429, "too many appends");
    stream& to = streams_[name];
    Json::Value reply;
    reply["offset"] = Json::UInt64{to.next()};
    reply["count"] = json["records"].size();
    for (const Json::Value& record : json["records"])
      to.records.push_back({record.asString(), Now()});
    ++to.appends;
    to.Trim(behaviour_);
    appended_.notify_all();
    if (behaviour_.lose_append_replies > 0) {
      --behaviour_.lose_append_replies;
      peer.Abort();
    }
    return JsonAnswer(reply);
  }

  // Counts an append; false if the last second already had as many as allowed.
  bool TakeRate() {
    const time_point now = Now();
    while (!recent_.empty() && now - recent_.front() >= milliseconds(1'000))
      recent_.pop_front();
    if (behaviour_.appends_per_second > 0 &&
        recent_.size() >=
            static_cast<std::size_t>(behaviour_.appends_per_second)) {
      ++over_rate_;
      return false;
    }
    recent_.push_back(now);
    most_per_second_ =
        std::max<std::uint64_t>(most_per_second_, recent_.size());
    return true;
  }

  http_answer Read(const std::string& name,
                   const http_request& request,
                   const http_peer& peer) {
    const auto from =
        static_cast<std::uint64_t>(QueryNumber(request, "from", 0));
    const auto max = std::clamp<std::uint64_t>(
        static_cast<std::uint64_t>(QueryNumber(request, "max", 100)), 1,
        kMaxRecordsPerRead);
    const auto wait = milliseconds(std::clamp<std::int64_t>(
        QueryNumber(request, "wait_ms", 0), 0, kLongestPollMs));
    const time_point deadline = Now() + wait;
    std::unique_lock lock(mutex_);
    stream& in = streams_[name];
    // Woken in between to notice a caller that has gone and an outage.
    while (from == in.next() && Now() < deadline && !peer.IsGone() &&
           !ReadsAreDown()) {
      appended_.wait_until(lock, std::min(deadline, Now() + 5 * kGoneCheck));
    }
    if (ReadsAreDown())
      return Problem(503, "the log is down");
    in.Trim(behaviour_);
    return JsonAnswer(Slice(in, from, max));
  }

  bool ReadsAreDown() const {
    return behaviour_.outage == "all" || behaviour_.outage == "reads";
  }

  Json::Value Slice(const stream& in,
                    std::uint64_t from,
                    std::uint64_t max) const {
    Json::Value json;
    json["records"] = Json::arrayValue;
    json["first"] = Json::UInt64{in.first};
    json["next"] = Json::UInt64{in.next()};
    json["retention_ms"] = behaviour_.retention_ms;
    if (from < in.first)
      return json;
    for (std::uint64_t at = from; at < in.next() && at - from < max; ++at) {
      Json::Value record;
      record["offset"] = Json::UInt64{at};
      record["data"] = in.records[at - in.first].data;
      json["records"].append(std::move(record));
    }
    return json;
  }

  http_answer Hosts() {
    std::lock_guard lock(mutex_);
    if (Now() >= hosts_shown_from_)
      shown_hosts_ = hosts_;
    Json::Value json;
    json["hosts"] = shown_hosts_;
    return JsonAnswer(json);
  }

  http_answer Control(const http_request& request) {
    const Json::Value json = ParseText(request.body);
    std::lock_guard lock(mutex_);
    Update(behaviour_, json);
    if (json.isMember("hosts")) {
      if (Now() >= hosts_shown_from_)
        shown_hosts_ = hosts_;
      hosts_ = json["hosts"];
      hosts_shown_from_ = Now() + milliseconds(behaviour_.lag_ms);
    }
    appended_.notify_all();
    return JsonAnswer(Json::objectValue);
  }

  http_answer Stats() {
    std::lock_guard lock(mutex_);
    Json::Value json;
    std::uint64_t appends = 0;
    for (const auto& [name, in] : streams_) {
      Json::Value& entry = json["streams"][name];
      entry["appends"] = Json::UInt64{in.appends};
      entry["first"] = Json::UInt64{in.first};
      entry["next"] = Json::UInt64{in.next()};
      appends += in.appends;
    }
    json["appends"] = Json::UInt64{appends};
    json["over_rate"] = Json::UInt64{over_rate_};
    json["most_per_second"] = Json::UInt64{most_per_second_};
    return JsonAnswer(json);
  }

  std::mutex mutex_;
  std::condition_variable appended_;
  behaviour behaviour_;
  std::map<std::string, stream> streams_;
  // Times of the appends of the last second.
  std::deque<time_point> recent_;
  std::uint64_t over_rate_ = 0;
  std::uint64_t most_per_second_ = 0;
  Json::Value hosts_ = Json::arrayValue;
  Json::Value shown_hosts_ = Json::arrayValue;
  time_point hosts_shown_from_;
  http_listener listener_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform's log and host list");
  std::string address;
  std::string control = "{}";
  std::string hosts = "[]";
  std::size_t threads = 256;
  app.add_option("--address", address, "IP:port")->required();
  app.add_option("--behaviour", control, "JSON object as for POST /.control");
  app.add_option("--hosts", hosts, "JSON list of hosts");
  app.add_option("--threads", threads, "connections served at once");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  try {
    behaviour initial;
    Update(initial, ParseText(control));
    platform server(ParseSocketAddress(address), initial, threads);
    server.SetHosts(ParseText(hosts));
    server.Start();
    LogEvent(log_level::kInfo, "listening", {{"address", address}});
    int signal = 0;
    sigwait(&stop, &signal);
    _exit(0);
  } catch (const std::exception& e) {
    LogEvent(log_level::kError, "start-failed", {{"error", e.what()}});
    return 1;
  }
}
