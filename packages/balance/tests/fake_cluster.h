// Balance machines on a simulated faulty network, with fake backend servers
// that count their requests. Single process, manual clock, fixed seeds.
#ifndef DOTTERELLEAD_TESTS_FAKE_CLUSTER_H_
#define DOTTERELLEAD_TESTS_FAKE_CLUSTER_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "fake_parts.h"

namespace dotterellead {

class fake_cluster {
 public:
  explicit fake_cluster(const cluster_options& options)
      : options_(options), random_(options.seed) {
    for (int i = 0; i < options.servers; ++i)
      AddServer(i);
    for (int i = 0; i < options.hosts; ++i) {
      fake_host& h = hosts_.emplace_back();
      h.candidate = {member_id("host" + std::to_string(i)),
                     data_centre_id(DataCentre(i))};
      h.clock_offset = seconds(1'000 * (i + 1));
    }
    epochs_[0] = {};
    SetConfig();
    for (int i = 0; i < options.hosts; ++i)
      Restart(i);
    NewEpoch(AllHosts());
    ScheduleEvery(milliseconds(250), [this] { GrantRights(); });
    if (options.rate > 0)
      for (int i = 0; i < options.hosts; ++i)
        ScheduleRequest(i);
  }

  // ---- Time

  void RunFor(microseconds time) {
    const time_point end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
      event e = events_.top();
      events_.pop();
      now_ = e.at;
      e.run();
    }
    now_ = end;
  }
  void ScheduleAfter(microseconds delay, std::function<void()> run) {
    events_.push({now_ + delay, next_event_++, std::move(run)});
  }
  void ScheduleEvery(microseconds interval, const std::function<void()>& run) {
    ScheduleAfter(interval, [this, interval, run] {
      run();
      ScheduleEvery(interval, run);
    });
  }
  time_point now() const { return now_; }

  // ---- Faults

  void Pause(int i) { hosts_[i].paused = true; }
  void Resume(int i) {
    fake_host& h = hosts_[i];
    h.paused = false;
    while (!h.while_paused.empty()) {
      const std::function<void()> run = std::move(h.while_paused.front());
      h.while_paused.pop_front();
      run();
    }
  }
  // Requests that it sent continue to run: a server need not detect the crash.
  void Crash(int i) {
    hosts_[i].machine.reset();
    hosts_[i].while_paused.clear();
    hosts_[i].paused = false;
    hosts_[i].epoch = epoch_number();
    // Connections of requests that others forwarded to it are lost.
    std::vector<request_id> cut;
    for (const auto& [request, f] : forwards_)
      if (f.home == i)
        cut.push_back(request);
    for (const request_id request : cut)
      EndForward(request, std::nullopt, true);
  }
  void Restart(int i) {
    fake_host& h = hosts_[i];
    Crash(i);
    h.incarnation = incarnation_id(h.incarnation.value() + 1'000'000);
    h.machine.emplace(balance_options{.self = h.candidate.id,
                                      .data_centre = h.candidate.data_centre,
                                      .incarnation = h.incarnation,
                                      .policy = options_.policy,
                                      .seed = options_.seed + i,
                                      .standalone = false});
    Step(i, config_changed{config_});
    if (newest_epoch_.is_valid())
      JoinEpoch(i, newest_epoch_);
    Tick(i, h.incarnation);
  }
  // Separates the hosts in `side` from the others.
  void Partition(std::set<int> side) { partition_ = std::move(side); }
  void Heal() {
    partition_.clear();
    for (int i = 0; i < options_.hosts; ++i)
      JoinEpoch(i, newest_epoch_);
  }
  void SetNetwork(const network_quality& network) {
    options_.network = network;
  }
  void RestartServer(int i) {
    fake_server& s = Server(i);
    ++s.boot;
    s.cold = true;
    s.answers_since_boot = 0;
    s.draining = false;
    s.known_cold_at.reset();
    s.cold_in_flight = 0;
    s.in_flight = 0;
  }
  void SetOut(const std::string& data_centre, bool out) {
    out_[data_centre_id(data_centre)] = out;
    SetConfig();
    for (int i = 0; i < options_.hosts; ++i)
      OnHost(i, [this, i] { Step(i, config_changed{config_}); });
  }
  // Each reachable host learns of it within 100 ms.
  void NewEpoch(const std::set<int>& members) {
    newest_epoch_ = epoch_number(epochs_.size());
    epochs_[newest_epoch_.value()] = members;
    for (int i = 0; i < options_.hosts; ++i) {
      const epoch_number epoch = newest_epoch_;
      const bool cut_off = partition_.contains(i);
      ScheduleAfter(microseconds(random_() % 100'000),
                    [this, i, epoch, cut_off] {
                      if (!cut_off)
                        OnHost(i, [this, i, epoch] { JoinEpoch(i, epoch); });
                    });
    }
  }
  std::set<int> AllHosts() const {
    std::set<int> all;
    for (int i = 0; i < options_.hosts; ++i)
      all.insert(i);
    return all;
  }
  std::set<int> AllBut(int host) const {
    std::set<int> all = AllHosts();
    all.erase(host);
    return all;
  }

  // ---- Use

  void SendRequest(int i) {
    const request_id request(next_request_++);
    called_at_[request] = now_;
    const bool is_direct =
        options_.direct > 0 && WithProbability(options_.direct);
    if (is_direct)
      direct_.insert(request);
    const bool may_forward =
        options_.policy == choice_policy_kind::kForwarded && !is_direct;
    Acquire(i, request,
            may_forward ? acquire_kind::kForwardable : acquire_kind::kDirect);
  }
  void Step(int i, const balance_machine::message& m) {
    fake_host& h = hosts_[i];
    if (!h.machine)
      return;
    std::vector<balance_machine::effect> effects;
    h.machine->Step(m, HostNow(i), effects);
    for (balance_machine::effect& e : effects)
      std::visit([&](auto& alternative) { Execute(i, alternative); }, e);
  }
  void ReportLoad(milliseconds age) {
    std::vector<load_report> reports;
    for (const auto& [id, s] : servers_)
      reports.push_back({.server = id,
                         .cold = s.cold,
                         .draining = s.draining,
                         .in_flight = s.in_flight,
                         .server_boot = std::to_string(s.boot),
                         .age = age});
    ScheduleAfter(age, [this, reports] {
      for (int i = 0; i < options_.hosts; ++i)
        for (const load_report& r : reports)
          OnHost(i, [this, i, r] { Step(i, r); });
    });
  }

  fake_server& Server(int i) { return servers_[ServerId(i)]; }
  fake_host& host(int i) { return hosts_[i]; }
  const cluster_counts& counts() const { return counts_; }
  void ResetCounts() { counts_ = {}; }
  std::vector<microseconds>& waits() { return waits_; }
  std::vector<microseconds>& direct_waits() { return direct_waits_; }
  static server_id ServerId(int i) {
    return server_id("10.0.0." + std::to_string(i) + ":80");
  }
  int HomeOf(int server) const {
    std::vector<home_candidate> members;
    for (const int i : epochs_.at(newest_epoch_.value()))
      members.push_back(hosts_[i].candidate);
    const member_id home =
        ChooseHomeOf(members, data_centre_id(DataCentre(server)));
    for (int i = 0; i < options_.hosts; ++i)
      if (hosts_[i].candidate.id == home)
        return i;
    return -1;
  }
  std::uint32_t InFlight() const {
    std::uint32_t sum = 0;
    for (const auto& [id, s] : servers_)
      sum += s.in_flight;
    return sum;
  }
  std::uint32_t Capacity() const { return options_.servers * options_.slots; }
  std::uint64_t LeasesExpired() const {
    std::uint64_t sum = 0;
    for (const fake_host& h : hosts_)
      sum += h.report.leases_expired;
    return sum;
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct forward {
    int origin = 0;
    int home = 0;
  };
  struct attempt {
    int host = 0;
    incarnation_id incarnation;
    assigned slot;
    server_id server;
    int boot = 0;
    bool counts_as_cold = false;
    time_point sent_at;
  };

  static std::string DataCentre(int i) {
    return std::string(1, static_cast<char>('a' + i % 3));
  }
  // Independent implementation of the machine's rule.
  static member_id ChooseHomeOf(const std::vector<home_candidate>& members,
                                const data_centre_id& data_centre) {
    std::vector<std::tuple<bool, std::uint64_t, member_id>> ranks;
    ranks.reserve(members.size());
    for (const home_candidate& m : members)
      ranks.emplace_back(
          m.data_centre == data_centre,
          StableHash(m.id.value() + "/pool/" + data_centre.value()), m.id);
    return std::get<member_id>(*std::max_element(ranks.begin(), ranks.end()));
  }

  void AddServer(int i) {
    fake_server& s = servers_[ServerId(i)];
    s.spec = {.address = ServerId(i),
              .data_centre = data_centre_id(DataCentre(i)),
              .version = version_id("v1"),
              .slots = options_.slots,
              .cold_slots = options_.cold_slots};
  }
  void SetConfig() {
    auto view = std::make_shared<config_view>();
    pool_spec& pool = view->pools[pool_id("pool")].spec;
    pool.max_run = options_.max_run;
    for (const auto& [id, s] : servers_)
      pool.servers.push_back(s.spec);
    for (const auto& [name, out] : out_)
      view->data_centres[name].spec.is_out_of_service = out;
    config_ = view;
  }

  timestamp HostNow(int i) const {
    return {now_ + hosts_[i].clock_offset, unix_millis{0}};
  }
  // Runs now, after the host's pause, or never if it is down.
  void OnHost(int i, std::function<void()> run) {
    fake_host& h = hosts_[i];
    if (h.paused)
      h.while_paused.push_back(std::move(run));
    else if (h.machine)
      run();
  }
  void Tick(int i, incarnation_id incarnation) {
    if (!hosts_[i].machine || hosts_[i].incarnation != incarnation)
      return;
    if (!hosts_[i].paused)
      Step(i, tick{});
    ScheduleAfter(milliseconds(20),
                  [this, i, incarnation] { Tick(i, incarnation); });
  }
  void ScheduleRequest(int i) {
    std::exponential_distribution<double> gap(options_.rate);
    ScheduleAfter(microseconds(static_cast<std::int64_t>(gap(random_) * 1e6)),
                  [this, i] {
                    if (hosts_[i].machine && !hosts_[i].paused &&
                        hosts_[i].sends_requests)
                      SendRequest(i);
                    ScheduleRequest(i);
                  });
  }

  // ---- Fake membership

  bool CanReach(int a, int b) const {
    return hosts_[b].machine && !hosts_[b].paused &&
           partition_.contains(a) == partition_.contains(b);
  }
  void JoinEpoch(int i, epoch_number epoch) {
    fake_host& h = hosts_[i];
    if (!h.machine || (h.epoch.is_valid() && h.epoch >= epoch))
      return;
    h.epoch = epoch;
    homes_changed m{epoch, {}};
    for (const int member : epochs_[epoch.value()])
      m.members.push_back(hosts_[member].candidate);
    Step(i, m);
  }
  // Whether more than half of `members` are reachable from `i` and have an
  // epoch that `fits`.
  template <class Fits>
  bool HasMajority(int i, const std::set<int>& members, Fits fits) const {
    std::size_t count = 0;
    for (const int m : members)
      count +=
          CanReach(i, m) && hosts_[m].epoch.is_valid() && fits(hosts_[m].epoch);
    return 2 * count > members.size();
  }
  void GrantRights() {
    for (int i = 0; i < options_.hosts; ++i) {
      fake_host& h = hosts_[i];
      if (!h.machine || h.paused || !h.epoch.is_valid())
        continue;
      const epoch_number own = h.epoch;
      if (!HasMajority(i, epochs_[own.value()],
                       [&](epoch_number e) { return e == own; }))
        continue;
      bool earlier_ended = true;
      for (std::uint64_t e = 1; e < own.value(); ++e)
        earlier_ended &= HasMajority(
            i, epochs_[e], [&](epoch_number other) { return other >= own; });
      auto& ended = ended_[{i, h.incarnation, own}];
      if (earlier_ended && !ended)
        ended = now_ + limits::kQuorumValidity;
      grant_right_changed m{own, HostNow(i).steady + limits::kQuorumValidity,
                            std::nullopt};
      if (ended)
        m.earlier_grants_end_at = own.value() == 1
                                      ? HostNow(i).steady - seconds(60)
                                      : *ended + h.clock_offset;
      Step(i, m);
    }
  }

  // ---- Effects

  void Acquire(int i,
               request_id request,
               acquire_kind kind,
               bool may_wait = true) {
    Step(i, acquire{.request = request,
                    .pool = pool_id("pool"),
                    .tenant = tenant_id("tenant"),
                    .deadline = HostNow(i).steady + options_.patience,
                    .kind = kind,
                    .home_rejections = full_homes_[request],
                    .may_wait = may_wait});
  }
  microseconds Delay() {
    const network_quality& n = options_.network;
    const auto range = (n.most_delay - n.least_delay).count() + 1;
    return n.least_delay + microseconds(random_() % range);
  }
  void Execute(int i, const home_load_changed& m) { hosts_[i].load = m.load; }
  void Execute(int i, const forwarded& m) {
    ++counts_.forwarded;
    int home = 0;
    while (hosts_[home].candidate.id != m.home)
      ++home;
    forwards_[m.request] = {i, home};
    // The entry host waits for the home at most as long as the caller.
    ScheduleAfter(options_.patience, [this, request = m.request] {
      EndForward(request, std::nullopt, false);
    });
    ScheduleAfter(
        Delay(), [this, i, home, request = m.request, may_wait = m.may_wait] {
          if (!forwards_.contains(request))
            return;
          if (!hosts_[home].machine ||
              partition_.contains(i) != partition_.contains(home))
            return EndForward(request, std::nullopt, true);
          OnHost(home, [this, home, request, may_wait] {
            if (forwards_.contains(request))
              Acquire(home, request, acquire_kind::kForwarded, may_wait);
          });
        });
  }
  // Notifies the host that forwarded the request, which may retry it.
  void EndForward(request_id request,
                  const std::optional<home_load>& load,
                  bool again) {
    const auto node = forwards_.extract(request);
    if (node.empty())
      return;
    const forward f = node.mapped();
    const member_id home = hosts_[f.home].candidate.id;
    ScheduleAfter(Delay(), [this, f, request, load, home, again] {
      OnHost(f.origin, [this, f, request, load, home, again] {
        Step(f.origin, forward_ended{request, pool_id("pool"), home, load});
        if (again && called_at_.contains(request))
          Acquire(f.origin, request, acquire_kind::kForwardable);
      });
    });
  }

  void Execute(int i, const send_to_peer& m) {
    const std::string text = EncodeBalanceMessage(m.body);
    ++counts_.messages;
    counts_.bytes += text.size();
    const network_quality& n = options_.network;
    int copies = 1;
    if (WithProbability(n.drop))
      copies = 0;
    else if (WithProbability(n.duplicate))
      copies = 2;
    for (int copy = 0; copy < copies; ++copy)
      ScheduleAfter(Delay(),
                    [this, i, to = m.to, text] { Receive(i, to, text); });
  }
  void Receive(int from, const member_id& to, const std::string& text) {
    for (int i = 0; i < options_.hosts; ++i) {
      if (hosts_[i].candidate.id != to)
        continue;
      if (partition_.contains(from) != partition_.contains(i))
        return;
      OnHost(i, [this, i, from, text] {
        Step(i, balance_received{hosts_[from].candidate.id,
                                 DecodeBalanceMessage(text)});
      });
    }
  }
  void Execute(int i, const acquire_rejected& m) {
    const bool is_forwarded = forwards_.contains(m.request);
    const bool is_full = m.reason == rejection_reason::kHomeFull;
    const bool again = is_full || m.reason == rejection_reason::kNotHome;
    full_homes_[m.request] += is_full ? 1 : 0;
    if (is_forwarded)
      EndForward(m.request, hosts_[i].load, again);
    if (is_forwarded && again)
      return;
    ++counts_.refused;
    called_at_.erase(m.request);
  }
  void Execute(int i, const balance_report& m) { hosts_[i].report = m; }
  void Execute(int i, const assigned& m) {
    ++counts_.assigned;
    const attempt a{i, hosts_[i].incarnation, m, m.server};
    // The caller's thread takes some time, in which a pause may begin.
    ScheduleAfter(microseconds(200),
                  [this, i, a] { OnHost(i, [this, a] { Send(a); }); });
  }
  void Send(attempt a) {
    if (hosts_[a.host].incarnation != a.incarnation)
      return;
    if (HostNow(a.host).steady >= a.slot.send_before) {
      ++counts_.expired_sends_stopped;
      Step(a.host, release{.request = a.slot.request,
                           .result = attempt_result::kNotSent});
      return;
    }
    fake_server& s = servers_[a.server];
    if (s.down) {
      Finish(a, attempt_result::kNotConnected);
      return;
    }
    a.boot = s.boot;
    a.sent_at = now_;
    ++counts_.by_server[a.server];
    counts_.sent_to_draining += s.draining;
    counts_.slots_exceeded += ++s.in_flight > s.spec.slots;
    s.most_in_flight = std::max(s.most_in_flight, s.in_flight);
    if (s.known_cold_at && now_ > *s.known_cold_at + options_.detection_time) {
      a.counts_as_cold = true;
      counts_.cold_exceeded += ++s.cold_in_flight > s.spec.cold_slots;
    }
    if (s.in_flight > s.spec.slots)
      s.queued.push_back([this, a] { Run(a); });
    else
      Run(a);
  }
  void Run(const attempt& a) {
    if (const auto called = called_at_.extract(a.slot.request)) {
      const bool is_direct = direct_.erase(a.slot.request) > 0;
      (is_direct ? direct_waits_ : waits_)
          .push_back(
              std::chrono::duration_cast<microseconds>(now_ - called.mapped()));
    }
    std::exponential_distribution<double> run(1);
    const microseconds time(static_cast<std::int64_t>(
        run(random_) * static_cast<double>(options_.mean_run.count())));
    ScheduleAfter(std::min<microseconds>(time, a.slot.max_run),
                  [this, a] { EndRun(a); });
  }
  void EndRun(const attempt& a) {
    fake_server& s = servers_[a.server];
    if (s.boot != a.boot) {
      Finish(a, attempt_result::kConnectionLost);
      return;
    }
    --s.in_flight;
    s.cold_in_flight -= a.counts_as_cold;
    if (s.cold && ++s.answers_since_boot > 40) {
      s.cold = false;
      s.known_cold_at.reset();
      s.cold_in_flight = 0;
    }
    if (!s.queued.empty()) {
      const std::function<void()> run = std::move(s.queued.front());
      s.queued.pop_front();
      run();
    }
    Finish(a, attempt_result::kResponded);
  }
  void Finish(const attempt& a, attempt_result result) {
    const fake_server& server = servers_[a.server];
    release m{
        .request = a.slot.request,
        .result = result,
        .latency = std::chrono::duration_cast<microseconds>(now_ - a.sent_at)};
    if (result == attempt_result::kResponded) {
      m.cold = server.cold;
      m.draining = server.draining;
      m.server_boot = std::to_string(server.boot);
    }
    const bool shows_cold = server.cold;
    OnHost(a.host, [this, a, m, shows_cold] {
      if (hosts_[a.host].incarnation != a.incarnation)
        return;
      fake_server& s = servers_[a.server];
      if (shows_cold && s.cold && !s.known_cold_at)
        s.known_cold_at = now_;
      Step(a.host, m);
      EndForward(m.request, hosts_[a.host].load, false);
    });
  }
  bool WithProbability(double probability) {
    return std::uniform_real_distribution<double>()(random_) < probability;
  }

  cluster_options options_;
  std::mt19937_64 random_;
  time_point now_{seconds(1'000)};
  std::priority_queue<event> events_;
  std::uint64_t next_event_ = 0;
  std::uint64_t next_request_ = 1;
  std::map<server_id, fake_server> servers_;
  std::map<data_centre_id, bool> out_;
  std::vector<fake_host> hosts_;
  std::set<int> partition_;
  std::map<std::uint64_t, std::set<int>> epochs_;
  epoch_number newest_epoch_;
  std::map<std::tuple<int, incarnation_id, epoch_number>,
           std::optional<time_point>>
      ended_;
  config_snapshot config_;
  std::map<request_id, time_point> called_at_;
  std::map<request_id, forward> forwards_;
  std::map<request_id, std::uint32_t> full_homes_;
  std::vector<microseconds> waits_;
  std::set<request_id> direct_;
  std::vector<microseconds> direct_waits_;
  cluster_counts counts_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_TESTS_FAKE_CLUSTER_H_
