// Runs dispatchers of one or more hosts against fake servers in virtual time.
#ifndef DOTTERELLEAD_DISPATCH_TESTS_DISPATCH_SIMULATION_H_
#define DOTTERELLEAD_DISPATCH_TESTS_DISPATCH_SIMULATION_H_

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dotterellead/dispatch.h"

namespace dotterellead::dispatch {

inline const pool_id test_pool("pool");

// A server with slots and a short queue, like the operators' servers.
struct fake_server {
  catalog::backend_server entry;
  int running = 0;
  std::uint32_t slowdown_percent = 100;
  bool is_healthy = true;
  bool is_reachable = true;
  milliseconds warmup_left{0};
  // If false, a probe waits for a slot like a request.
  bool reports_load = true;
};

struct request_result {
  bool is_delivered = false;
  std::optional<reject_reason> rejected;
  milliseconds latency{0};
  std::optional<milliseconds> retry_after;
  std::vector<server_id> sent_to;
  // What the request asked for, and the host that it was sent to.
  std::string route;
  std::size_t host = 0;
};

class dispatch_simulation {
 public:
  explicit dispatch_simulation(dispatch_settings settings = DefaultSettings())
      : settings_(std::move(settings)) {
    hosts_.emplace_back(settings_);
    catalog.has_all_outcomes = true;
    auto config = std::make_shared<catalog::configuration>();
    config->version = catalog::config_version(1);
    catalog::pool pool;
    pool.id = test_pool;
    pool.health_path = "/health";
    pool.warmup_rate = 2;
    config->pools[test_pool] = pool;
    AddRoute(*config, "read", catalog::retry_policy::kIdempotent, 2);
    AddRoute(*config, "pay", catalog::retry_policy::kAtMostOnce, 0);
    catalog.config = config;
  }

  static dispatch_settings DefaultSettings() {
    dispatch_settings s;
    s.self = member_id("host-1");
    s.data_centre = data_centre_id("dc-a");
    return s;
  }

  // Adds hosts until there are `count`, which then know of each other.
  void AddHosts(std::size_t count) {
    live_hosts_changed all;
    all.live.push_back(settings_.self);
    while (hosts_.size() < count) {
      dispatch_settings s = settings_;
      s.self = member_id("host-" + std::to_string(hosts_.size() + 1));
      s.seed = hosts_.size() + 1;
      all.live.push_back(s.self);
      hosts_.emplace_back(s);
    }
    for (std::size_t host = 0; host < count; ++host)
      StepHost(host, all);
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
    catalog.servers.clear();
    for (const auto& [id, s] : servers)
      catalog.servers[id] = s.entry;
    const auto snapshot = std::make_shared<catalog::snapshot>(catalog);
    for (std::size_t host = 0; host < hosts_.size(); ++host)
      StepHost(host, catalog_changed{snapshot});
  }

  request_id SendRequest(const std::string& route,
                         milliseconds caller_timeout = milliseconds(1'500),
                         std::uint64_t fingerprint = 1,
                         std::size_t host = 0) {
    const request_id id(++request_count_);
    arrived_at_[id] = now_.steady;
    results[id].route = route;
    results[id].host = host;
    request_arrived m;
    m.request = id;
    m.caller_request_id = "c" + std::to_string(request_count_);
    m.host = "h.example";
    m.path = "/" + route + "/1";
    m.caller_timeout = caller_timeout;
    m.fingerprint = request_fingerprint(fingerprint);
    m.credential = next_credential;
    StepHost(host, m);
    return id;
  }

  // Ends the current attempt of the request.
  void EndAttempt(request_id id, attempt_result result, int status = 200) {
    const server_id server = results[id].sent_to.back();
    --servers[server].running;
    attempt_ended m;
    m.request = id;
    m.server = server;
    m.result = result;
    m.status = status;
    m.latency =
        std::chrono::duration_cast<microseconds>(now_.steady - sent_at_[id]);
    StepHost(results[id].host, m);
  }

  // Passes on what a server says of itself, as of the run that is listed.
  void Notify(const std::string& server,
              bool is_leaving,
              std::optional<milliseconds> retry_after = std::nullopt) {
    const fake_server& s = servers.at(server_id(server));
    server_notice m;
    m.server.id = s.entry.id;
    m.server.address = s.entry.address;
    m.server.started_at = s.entry.started_at;
    m.is_leaving = is_leaving;
    m.retry_after = retry_after;
    Step(m);
  }

  void Disconnect(request_id id) { Step(caller_disconnected{id}); }

  void Step(const dispatcher::message& m) { StepHost(0, m); }

  void StepHost(std::size_t host, const dispatcher::message& m) {
    std::vector<dispatcher::effect> out;
    hosts_[host].Step(m, now_, out);
    active_host_ = host;
    for (dispatcher::effect& e : out)
      std::visit([this](auto& typed) { Handle(typed); }, e);
  }

  // Advances time by `length`, responding to probes and completing attempts.
  void Run(milliseconds length) {
    const time_point ends = now_.steady + length;
    constexpr milliseconds kStep{1};
    while (now_.steady < ends) {
      now_.steady += kStep;
      now_.boot += kStep;
      RespondToProbes();
      FinishWork();
      for (std::size_t host = 0; host < hosts_.size(); ++host) {
        const std::optional<time_point> due = hosts_[host].NextDeadline();
        if (due && *due <= now_.steady)
          StepHost(host, tick{});
      }
      if (has_shared_view && now_.steady >= next_totals_)
        DeliverTotals();
    }
  }

  // Suspends the machine, which stops its steady clock.
  void Suspend(milliseconds length) { now_.boot += length; }

  time_point now() const { return now_.steady; }
  boot_time boot() const { return now_.boot; }
  std::size_t open_requests() const { return hosts_.front().open_requests(); }

  catalog::snapshot catalog;
  std::map<server_id, fake_server> servers;
  std::map<request_id, request_result> results;
  // Of the requests that are sent from now on.
  access::credential next_credential;
  // What the attempts said of the customer's header.
  std::map<request_id, customer_header> headers;
  // Addresses whose connections were closed.
  std::vector<catalog::endpoint> closed;
  // Service time on an idle server at normal speed. 0: attempts end only by
  // EndAttempt.
  milliseconds service_time{0};
  // Differs for these routes.
  std::map<std::string, milliseconds> service_times;
  // Whether the hosts get the sum of the loads that they report.
  bool has_shared_view = false;
  // Requests rejected in favour of more urgent ones.
  int in_favour = 0;
  int max_running = 0;
  int crashes_reported = 0;
  int probes = 0;
  std::map<server_id, int> probes_of;

 private:
  static constexpr milliseconds kProbeTime{3};

  struct probe_round {
    std::size_t host;
    probe_servers probe;
    time_point due;
  };
  struct work_item {
    request_id request;
    server_id server;
    time_point due;
  };

  static void AddRoute(catalog::configuration& config,
                       const std::string& name,
                       catalog::retry_policy retry,
                       int priority) {
    catalog::route r;
    r.name = catalog::route_name(name);
    r.host = "h.example";
    r.prefix = "/" + name + "/";
    r.retry = retry;
    r.timeout = milliseconds(1'200);
    r.latency_target = milliseconds(600);
    r.priority = priority;
    r.max_attempts = 2;
    r.pools = {{test_pool, 1}};
    config.routes.push_back(r);
  }

  static bool RespondsToProbe(const fake_server& s) {
    const bool has_slot = s.running < static_cast<int>(s.entry.slots);
    return s.is_reachable && (s.reports_load || has_slot);
  }

  void RespondToProbes() {
    while (!probe_rounds_.empty() && probe_rounds_.front().due <= now_.steady) {
      const probe_servers probe = probe_rounds_.front().probe;
      const std::size_t host = probe_rounds_.front().host;
      probe_rounds_.pop_front();
      probes_completed completed{probe.request, {}};
      for (const server_ref& ref : probe.servers) {
        ++probes;
        ++probes_of[ref.id];
        load_sample sample;
        sample.server = ref.id;
        const auto it = servers.find(ref.id);
        if (it != servers.end() && RespondsToProbe(it->second)) {
          const fake_server& s = it->second;
          sample.result =
              s.is_healthy ? probe_result::kHealthy : probe_result::kUnhealthy;
          load_report load;
          load.slots = s.entry.slots;
          load.running = std::min<std::uint32_t>(
              static_cast<std::uint32_t>(s.running), s.entry.slots);
          load.waiting = static_cast<std::uint32_t>(s.running) - load.running;
          load.slowdown_percent = s.slowdown_percent;
          if (s.reports_load)
            sample.load = load;
          sample.latency = kProbeTime;
          sample.warmup_left = s.warmup_left;
        }
        completed.samples.push_back(sample);
      }
      StepHost(host, completed);
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
      if (results[item.request].is_delivered || results[item.request].rejected)
        --servers[item.server].running;
      else
        EndAttempt(item.request, attempt_result::kResponded);
    }
  }

  void Handle(probe_servers& e) {
    probe_rounds_.push_back({active_host_, e, now_.steady + kProbeTime});
  }
  void Handle(send_attempt& e) {
    results[e.request].sent_to.push_back(e.server.id);
    sent_at_[e.request] = now_.steady;
    headers[e.request] = e.customer;
    fake_server& s = servers[e.server.id];
    ++s.running;
    max_running = std::max(max_running, s.running);
    const auto own_time = service_times.find(results[e.request].route);
    const milliseconds time =
        own_time == service_times.end() ? service_time : own_time->second;
    if (time > milliseconds(0)) {
      const int slots = static_cast<int>(s.entry.slots);
      // The last free slot is slower, and so are queued requests.
      const double crowd = s.running >= slots ? 1.7 : 1;
      const double queue = s.running > slots ? 2 : 1;
      working_.push_back(
          {e.request, e.server.id,
           now_.steady + milliseconds(static_cast<std::int64_t>(
                             static_cast<double>(time.count()) * crowd * queue *
                             s.slowdown_percent / 100))});
    }
  }
  void Handle(deliver_response& e) {
    results[e.request].is_delivered = true;
    results[e.request].latency = Since(e.request);
  }
  void Handle(reject_request& e) {
    results[e.request].rejected = e.reason;
    results[e.request].latency = Since(e.request);
    results[e.request].retry_after = e.retry_after;
  }
  void Handle(cancel_request&) {}
  void Handle(close_connections& e) { closed.push_back(e.address); }
  void Handle(crash_detected&) { ++crashes_reported; }
  void Handle(version_observed&) {}
  void Handle(customer_counted&) {}
  void Handle(request_completed&) {}
  void Handle(pools_reported& e) {
    for (auto& [key, load] : e.own)
      reported_[active_host_][key] = load;
  }
  void Handle(rejected_in_favour&) { ++in_favour; }
  void Handle(decision&) {}

  // As the tree does: the loads are summed and take a second to all hosts.
  void DeliverTotals() {
    next_totals_ = now_.steady + milliseconds(500);
    pools::pool_table totals;
    for (const auto& [host, table] : reported_)
      for (const auto& [key, load] : table)
        totals[key].Add(load);
    for (auto& [key, load] : totals)
      load.age = milliseconds(1'000);
    delayed_totals_.push_back(std::move(totals));
    if (delayed_totals_.size() < 3)
      return;
    for (std::size_t host = 0; host < hosts_.size(); ++host)
      StepHost(host, pool_view_changed{delayed_totals_.front()});
    delayed_totals_.pop_front();
  }

  milliseconds Since(request_id id) {
    return std::chrono::duration_cast<milliseconds>(now_.steady -
                                                    arrived_at_[id]);
  }

  dispatch_settings settings_;
  std::vector<dispatcher> hosts_;
  // The host whose effects are handled.
  std::size_t active_host_ = 0;
  std::map<std::size_t, pools::pool_table> reported_;
  std::deque<pools::pool_table> delayed_totals_;
  time_point next_totals_{};
  timestamp now_{time_point(std::chrono::hours(1)), {1'000'000}};
  std::uint64_t request_count_ = 0;
  std::map<request_id, time_point> arrived_at_;
  std::map<request_id, time_point> sent_at_;
  std::deque<probe_round> probe_rounds_;
  std::vector<work_item> working_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_TESTS_DISPATCH_SIMULATION_H_
