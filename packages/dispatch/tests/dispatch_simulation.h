// A dispatcher with hand-written servers, driven by virtual time.
#ifndef DOTTERELLEAD_DISPATCH_TESTS_DISPATCH_WORLD_H_
#define DOTTERELLEAD_DISPATCH_TESTS_DISPATCH_WORLD_H_

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

inline const pool_id test_pool("pool");

// A server with slots and a short queue, as the operators' servers have.
struct fake_server {
  catalog::backend_server entry;
  int running = 0;
  std::uint32_t pace_percent = 100;
  bool is_healthy = true;
  bool is_reachable = true;
  milliseconds cold_left{0};
  // Otherwise a probe waits for a slot, as a request does.
  bool tells_load = true;
};

struct call_result {
  bool is_delivered = false;
  std::optional<reject_reason> rejected;
  milliseconds after{0};
  std::optional<milliseconds> retry_after;
  std::vector<server_id> sent_to;
};

class dispatch_world {
 public:
  explicit dispatch_world(dispatch_settings settings = DefaultSettings())
      : dispatcher_(std::move(settings)) {
    known.has_outcomes = true;
    auto config = std::make_shared<catalog::configuration>();
    config->version = catalog::config_version(1);
    catalog::pool pool;
    pool.id = test_pool;
    pool.health_path = "/health";
    pool.cold_rate = 2;
    config->pools[test_pool] = pool;
    AddRoute(*config, "read", catalog::repeat_rule::kIdempotent, 2);
    AddRoute(*config, "pay", catalog::repeat_rule::kAtMostOnce, 0);
    known.config = config;
  }

  static dispatch_settings DefaultSettings() {
    dispatch_settings s;
    s.self = member_id("host-1");
    s.data_centre = data_centre_id("dc-a");
    return s;
  }

  void AddServer(const std::string& id,
                 const std::string& dc = "dc-a",
                 const std::string& version = "v1") {
    fake_server s;
    s.entry.id = server_id(id);
    s.entry.pool = test_pool;
    s.entry.address = {1, 1};
    s.entry.data_centre = data_centre_id(dc);
    s.entry.version = version_id(version);
    s.entry.slots = 2;
    servers[s.entry.id] = s;
  }

  void Publish() {
    known.servers.clear();
    for (const auto& [id, s] : servers)
      known.servers[id] = s.entry;
    Step(catalog_changed{std::make_shared<catalog::snapshot>(known)});
  }

  request_id Call(const std::string& route,
                  milliseconds patience = milliseconds(1'500),
                  std::uint64_t fingerprint = 1) {
    const request_id id(++calls_);
    arrived_[id] = now_.steady;
    call_arrived m;
    m.call = id;
    m.caller_request = "c" + std::to_string(calls_);
    m.host = "h.example";
    m.path = "/" + route + "/1";
    m.patience = patience;
    m.fingerprint = request_fingerprint(fingerprint);
    Step(m);
    return id;
  }

  // Ends the attempt under way on the call.
  void End(request_id id, attempt_result result, int status = 200) {
    const server_id server = results[id].sent_to.back();
    --servers[server].running;
    attempt_ended m;
    m.call = id;
    m.server = server;
    m.result = result;
    m.status = status;
    m.taken =
        std::chrono::duration_cast<microseconds>(now_.steady - sent_at_[id]);
    Step(m);
  }

  void Leave(request_id id) { Step(caller_left{id}); }

  void Step(const dispatcher::message& m) {
    std::vector<dispatcher::effect> out;
    dispatcher_.Step(m, now_, out);
    for (dispatcher::effect& e : out)
      std::visit([this](auto& typed) { Take(typed); }, e);
  }

  // Lets time pass; probes are answered, finished work ends.
  void Run(milliseconds length) {
    const time_point ends = now_.steady + length;
    constexpr milliseconds kStep{1};
    while (now_.steady < ends) {
      now_.steady += kStep;
      AnswerProbes();
      FinishWork();
      const std::optional<time_point> due = dispatcher_.NextDeadline();
      if (due && *due <= now_.steady)
        Step(tick{});
    }
  }

  time_point now() const { return now_.steady; }
  std::size_t open_calls() const { return dispatcher_.open_calls(); }

  catalog::snapshot known;
  std::map<server_id, fake_server> servers;
  std::map<request_id, call_result> results;
  // Work of one request on an idle server at the usual pace; 0: attempts end
  // only by End.
  milliseconds work{0};
  int most_running = 0;
  int crashes_told = 0;
  int probes = 0;

 private:
  static constexpr milliseconds kProbeTime{3};

  struct probe_round {
    take_samples ask;
    time_point due;
  };
  struct work_item {
    request_id call;
    server_id server;
    time_point due;
  };

  static void AddRoute(catalog::configuration& config,
                       const std::string& name,
                       catalog::repeat_rule repeat,
                       int priority) {
    catalog::route r;
    r.name = catalog::route_name(name);
    r.host = "h.example";
    r.prefix = "/" + name + "/";
    r.repeat = repeat;
    r.timeout = milliseconds(1'200);
    r.target = milliseconds(600);
    r.priority = priority;
    r.max_servers = 2;
    r.pools = {{test_pool, 1}};
    config.routes.push_back(r);
  }

  static bool AnswersProbe(const fake_server& s) {
    const bool has_slot = s.running < static_cast<int>(s.entry.slots);
    return s.is_reachable && (s.tells_load || has_slot);
  }

  void AnswerProbes() {
    while (!asked_.empty() && asked_.front().due <= now_.steady) {
      const take_samples ask = asked_.front().ask;
      asked_.pop_front();
      samples_taken taken{ask.call, {}};
      for (const server_ref& ref : ask.servers) {
        ++probes;
        load_sample sample;
        sample.server = ref.id;
        const auto it = servers.find(ref.id);
        if (it != servers.end() && AnswersProbe(it->second)) {
          const fake_server& s = it->second;
          sample.result =
              s.is_healthy ? probe_result::kHealthy : probe_result::kUnhealthy;
          load_report load;
          load.slots = s.entry.slots;
          load.running = std::min<std::uint32_t>(
              static_cast<std::uint32_t>(s.running), s.entry.slots);
          load.waiting = static_cast<std::uint32_t>(s.running) - load.running;
          load.pace_percent = s.pace_percent;
          if (s.tells_load)
            sample.load = load;
          sample.taken = kProbeTime;
          sample.cold_left = s.cold_left;
        }
        taken.samples.push_back(sample);
      }
      Step(taken);
    }
  }

  void FinishWork() {
    for (std::size_t i = 0; i < working_.size();) {
      if (working_[i].due > now_.steady) {
        ++i;
        continue;
      }
      const work_item item = working_[i];
      working_.erase(working_.begin() + static_cast<std::ptrdiff_t>(i));
      if (results[item.call].is_delivered || results[item.call].rejected)
        --servers[item.server].running;
      else
        End(item.call, attempt_result::kAnswered);
    }
  }

  void Take(take_samples& e) {
    asked_.push_back({e, now_.steady + kProbeTime});
  }
  void Take(send_attempt& e) {
    results[e.call].sent_to.push_back(e.server.id);
    sent_at_[e.call] = now_.steady;
    fake_server& s = servers[e.server.id];
    ++s.running;
    most_running = std::max(most_running, s.running);
    if (work > milliseconds(0)) {
      // The last free slot is slower, and so is work that waits.
      const double crowd = s.running > 1 ? 1.7 : 1;
      const double queue = s.running > 2 ? 2 : 1;
      working_.push_back(
          {e.call, e.server.id,
           now_.steady + milliseconds(static_cast<std::int64_t>(
                             static_cast<double>(work.count()) * crowd * queue *
                             s.pace_percent / 100))});
    }
  }
  void Take(deliver_answer& e) {
    results[e.call].is_delivered = true;
    results[e.call].after = Since(e.call);
  }
  void Take(reject_call& e) {
    results[e.call].rejected = e.reason;
    results[e.call].after = Since(e.call);
    results[e.call].retry_after = e.retry_after;
  }
  void Take(drop_call&) {}
  void Take(crash_seen&) { ++crashes_told; }
  void Take(version_observed&) {}
  void Take(call_finished&) {}
  void Take(decision&) {}

  milliseconds Since(request_id id) {
    return std::chrono::duration_cast<milliseconds>(now_.steady - arrived_[id]);
  }

  dispatcher dispatcher_;
  moment now_{time_point(std::chrono::hours(1)), {1'000'000}};
  std::uint64_t calls_ = 0;
  std::map<request_id, time_point> arrived_;
  std::map<request_id, time_point> sent_at_;
  std::deque<probe_round> asked_;
  std::vector<work_item> working_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_TESTS_DISPATCH_WORLD_H_
