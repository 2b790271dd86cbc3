// Simulation of entry hosts, network, log and the platform's list under a
// manual clock. All delays and losses derive from a seed.
#ifndef DOTTERELLEAD_FAKE_REGION_H_
#define DOTTERELLEAD_FAKE_REGION_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dotterellead/membership.h"

namespace dotterellead {

struct fake_host {
  member_run run;
  std::unique_ptr<membership_machine> machine;
  bool paused = false;
  // Messages queued while the host is paused.
  std::vector<membership_machine::message> inbox;
  std::int64_t phase = 0;

  // State of a consumer. Rights are kept while they are valid.
  std::map<epoch_number, time_point> rights;
  grant_right right;
  epoch_changed epoch;
  std::size_t peers_lost = 0;

  // Message bytes sent, and time spent in Step.
  std::uint64_t bytes_out = 0;
  std::uint64_t steps = 0;
  std::chrono::nanoseconds step_time{0};
};

class fake_region {
 public:
  fake_region(std::size_t hosts, std::uint32_t seed) : random_(seed) {
    for (std::size_t i = 0; i < hosts; ++i)
      AddHost();
    for (fake_host& host : hosts_)
      Start(host);
  }
  fake_region(const fake_region&) = delete;
  fake_region& operator=(const fake_region&) = delete;

  // Adds a host that is not running yet.
  std::size_t AddHost() {
    const std::size_t i = hosts_.size();
    fake_host host;
    host.run.id = member_id("host-" + std::to_string(100 + i));
    host.run.data_centre = data_centre_id(std::string(1, 'a' + i % 3));
    host.run.address = "10.0.0." + std::to_string(i) + ":7000";
    hosts_.push_back(std::move(host));
    return i;
  }
  void Start(fake_host& host) {
    host.run.incarnation = incarnation_id(1'000'000 + next_incarnation_++);
    membership_settings settings{.self = host.run};
    for (std::size_t i = 0; i < std::min<std::size_t>(3, hosts_.size()); ++i)
      settings.seeds.push_back(hosts_[i].run.address);
    host.machine = std::make_unique<membership_machine>(settings, Moment());
    host.paused = false;
    host.phase = Random(0, 249);
  }
  void Kill(fake_host& host) {
    host.machine.reset();
    host.inbox.clear();
    host.rights.clear();
    host.right = {};
    host.epoch = {};
    host.paused = false;
  }
  void Restart(fake_host& host) {
    Kill(host);
    Start(host);
  }
  void Pause(fake_host& host) { host.paused = host.machine != nullptr; }
  void Resume(fake_host& host) {
    if (!host.paused)
      return;
    host.paused = false;
    std::vector<membership_machine::message> waiting;
    waiting.swap(host.inbox);
    for (const auto& m : waiting)
      Deliver(host, m);
  }

  // Runs for `time` and checks the invariants in each millisecond.
  void Run(milliseconds time) {
    for (const std::int64_t end = now_ + time.count(); now_ < end; ++now_)
      RunMillisecond();
  }
  // Runs until all running hosts agree, at most for `limit`.
  bool RunUntilConverged(milliseconds limit) {
    for (const std::int64_t end = now_ + limit.count(); now_ < end;) {
      Run(milliseconds(10));
      if (IsConverged())
        return true;
    }
    return false;
  }
  // Whether all running hosts are in one epoch of exactly these hosts, may
  // grant slots, and know that earlier epochs have ended.
  bool IsConverged() const {
    std::vector<member_run> running;
    for (const fake_host& host : hosts_) {
      if (host.machine)
        running.push_back(host.run);
    }
    for (const fake_host& host : hosts_) {
      if (!host.machine)
        continue;
      const bool settled = host.epoch.members == running && MayGrant(host) &&
                           host.right.earlier_epochs_ended_at &&
                           *host.right.earlier_epochs_ended_at <= Now();
      if (host.paused || !settled)
        return false;
    }
    return true;
  }
  bool MayGrant(const fake_host& host) const {
    return host.machine && host.right.may_grant &&
           host.right.valid_until > Now() &&
           host.right.epoch == host.epoch.name.number;
  }
  void Step(fake_host& host, const membership_machine::message& m) {
    Deliver(host, m);
  }

  std::vector<fake_host>& hosts() { return hosts_; }
  time_point Now() const { return time_point(milliseconds(kStart + now_)); }
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t records() const { return log_.size(); }
  void AppendRecord(const std::string& data) { log_.push_back(data); }
  // Drops all but the newest `keep` records, like the retention.
  void Truncate(std::size_t keep) { first_ = log_.size() - keep; }

  // Faults. A blocked link is directed from one host to another.
  std::set<std::pair<std::size_t, std::size_t>> blocked;
  std::set<std::size_t> no_log;
  bool log_down = false;
  // Percentage of appends whose reply is lost after they took effect, and of
  // those that reach the log up to 3 s late.
  int lost_replies = 0;
  int late_appends = 0;
  milliseconds retention{600'000};

 private:
  static constexpr std::int64_t kStart = 100'000;

  struct event {
    std::int64_t at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event& o) const {
      return std::tie(o.at, o.order) < std::tie(at, order);
    }
  };

  timestamp Moment() const { return {Now(), unix_millis{kStart + now_}}; }
  std::int64_t Random(std::int64_t low, std::int64_t high) {
    return low + static_cast<std::int64_t>(random_() % (high - low + 1));
  }
  void ScheduleAfter(std::int64_t delay, std::function<void()> run) {
    events_.push({now_ + delay, order_++, std::move(run)});
  }
  std::size_t IndexOf(const std::string& address) const {
    std::size_t i = 0;
    while (i < hosts_.size() && hosts_[i].run.address != address)
      ++i;
    return i;
  }
  bool IsBlocked(std::size_t from, std::size_t to) const {
    return blocked.contains({from, to});
  }
  bool ReachesLog(std::size_t i) const {
    return !log_down && !no_log.contains(i);
  }
  // Whether the host still runs the process with `incarnation`.
  bool IsSame(std::size_t i, incarnation_id incarnation) const {
    return hosts_[i].machine && hosts_[i].run.incarnation == incarnation;
  }

  void RunMillisecond() {
    while (!events_.empty() && events_.top().at <= now_) {
      const auto run = events_.top().run;
      events_.pop();
      run();
    }
    if (now_ % 1'000 == 0)
      UpdateHostList();
    for (std::size_t i = 0; i < hosts_.size(); ++i)
      RunHost(i);
    CheckRights();
  }

  void RunHost(std::size_t i) {
    fake_host& host = hosts_[i];
    if (!host.machine || host.paused)
      return;
    if ((now_ + host.phase) % 20 == 0)
      ReadLog(i);
    if ((now_ + host.phase) % 1'000 == 0)
      Deliver(host, list_);
    if ((now_ + host.phase) % 250 == 0)
      Deliver(host, tick{});
  }

  void ReadLog(std::size_t i) {
    fake_host& host = hosts_[i];
    if (!ReachesLog(i)) {
      Deliver(host, log_unavailable{stream_id("members")});
      return;
    }
    log_batch batch;
    batch.stream = stream_id("members");
    batch.first = log_offset(first_);
    batch.next = log_offset(log_.size());
    batch.retention = retention;
    const std::size_t from =
        std::max<std::size_t>(first_, host.machine->next_offset().value());
    for (std::size_t o = from; o < log_.size(); ++o)
      batch.records.push_back({log_offset(o), log_[o]});
    Deliver(host, batch);
  }

  // The list lags by one to two seconds.
  void UpdateHostList() {
    list_ = next_list_;
    list_.fetched = Now();
    next_list_.live.clear();
    for (const fake_host& host : hosts_) {
      if (host.machine)
        next_list_.live.push_back(host.run.address);
    }
  }

  void Deliver(fake_host& host, const membership_machine::message& m) {
    if (!host.machine)
      return;
    if (host.paused) {
      host.inbox.push_back(m);
      return;
    }
    std::vector<membership_machine::effect> effects;
    const auto begin = std::chrono::steady_clock::now();
    host.machine->Step(m, Moment(), effects);
    host.step_time += std::chrono::steady_clock::now() - begin;
    ++host.steps;
    const std::size_t i = IndexOf(host.run.address);
    for (const membership_machine::effect& e : effects)
      std::visit([&](const auto& content) { Execute(i, content); }, e);
  }

  void Execute(std::size_t from, const send_gossip& e) {
    const std::size_t to = IndexOf(e.address);
    const std::string body = EncodeDigest(e.digest);
    hosts_[from].bytes_out += body.size();
    const incarnation_id sender = hosts_[from].run.incarnation;
    const time_point sent_at = e.sent_at;
    if (to == hosts_.size() || IsBlocked(from, to))
      return;
    ScheduleAfter(Random(1, 5), [=, this] {
      if (!hosts_[to].machine)
        return;
      const request_id request(requests_++);
      waiting_[request] = {from, sender, sent_at};
      Deliver(hosts_[to], gossip_received{request, DecodeDigest(body)});
    });
  }

  void Execute(std::size_t from, const respond_to_gossip& e) {
    const auto [to, asker, sent_at] = waiting_.at(e.request);
    waiting_.erase(e.request);
    const std::string body = EncodeReport(e.report);
    hosts_[from].bytes_out += body.size();
    const std::string address = hosts_[from].run.address;
    if (IsBlocked(from, to))
      return;
    // Some responses arrive much later than their digest was sent.
    const std::int64_t delay = Random(0, 49) == 0 ? Random(5, 2'000) : 2;
    ScheduleAfter(delay, [=, this, to = to, asker = asker, sent_at = sent_at] {
      if (IsSame(to, asker))
        Deliver(hosts_[to],
                gossip_response{address, sent_at, DecodeReport(body)});
    });
  }

  void Execute(std::size_t from, const append_request& e) {
    const incarnation_id writer = hosts_[from].run.incarnation;
    append_result result{e.stream, e.token, append_status::kUnknown, {}};
    std::int64_t reply = 1'000;
    if (log_down && Random(0, 1) == 0) {
      result.status = append_status::kRejected;
      reply = 5;
    } else if (ReachesLog(from)) {
      const bool lost = Random(0, 99) < lost_replies;
      const bool late = Random(0, 99) < late_appends;
      ScheduleAfter(late ? Random(10, 3'000) : Random(2, 10), [=, this] {
        for (const std::string& record : e.records)
          log_.push_back(record);
      });
      result.status =
          lost || late ? append_status::kUnknown : append_status::kAppended;
      reply = lost || late ? 1'000 : 12;
    }
    ScheduleAfter(reply, [=, this] {
      if (IsSame(from, writer))
        Deliver(hosts_[from], result);
    });
  }

  void Execute(std::size_t host, const epoch_changed& e) {
    hosts_[host].epoch = e;
    const auto [known, added] = epochs_.try_emplace(e.name.number, e);
    if (!added &&
        (known->second.name != e.name || known->second.members != e.members)) {
      Violation("two hosts disagree on epoch " +
                std::to_string(e.name.number.value()));
    }
    if (added && Now() - last_change_ < limits::kEpochInterval)
      Violation("two epochs in less than the least interval");
    if (added)
      last_change_ = Now();
  }

  void Execute(std::size_t host, const grant_right& e) {
    hosts_[host].right = e;
    if (e.may_grant)
      hosts_[host].rights[e.epoch] = e.valid_until;
  }
  void Execute(std::size_t, const peers_changed&) {}
  void Execute(std::size_t host, const peer_lost&) {
    ++hosts_[host].peers_lost;
  }

  // No host may have a valid right of an epoch while another host considers all
  // epochs up to it ended.
  void CheckRights() {
    epoch_number ended_before{0};
    for (const fake_host& host : hosts_) {
      const std::optional<time_point>& at = host.right.earlier_epochs_ended_at;
      if (host.machine && at && *at <= Now())
        ended_before = std::max(ended_before, host.right.epoch);
    }
    for (fake_host& host : hosts_) {
      std::erase_if(host.rights,
                    [&](const auto& r) { return r.second <= Now(); });
      if (!host.rights.empty() && host.rights.begin()->first < ended_before) {
        Violation(host.run.id.value() + " holds a right of epoch " +
                  std::to_string(host.rights.begin()->first.value()) +
                  ", ended before " + std::to_string(ended_before.value()));
      }
    }
  }

  void Violation(const std::string& what) {
    if (violations_.size() < 5)
      violations_.push_back(std::to_string(now_) + " ms: " + what);
  }

  struct waiting_call {
    std::size_t from;
    incarnation_id incarnation;
    time_point sent_at;
  };

  std::mt19937 random_;
  std::vector<fake_host> hosts_;
  std::int64_t now_ = 0;
  std::uint64_t next_incarnation_ = 0;
  std::priority_queue<event> events_;
  std::uint64_t order_ = 0;
  std::uint64_t requests_ = 0;
  std::map<request_id, waiting_call> waiting_;
  std::vector<std::string> log_;
  std::size_t first_ = 0;
  host_list list_;
  host_list next_list_;
  std::map<epoch_number, epoch_changed> epochs_;
  time_point last_change_{};
  std::vector<std::string> violations_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_FAKE_REGION_H_
