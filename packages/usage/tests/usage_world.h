// Hand-written fakes of the store's log and of the operations service, and
// hosts that run the leader under a virtual clock.
#ifndef DOTTERELLEAD_USAGE_TESTS_USAGE_WORLD_H_
#define DOTTERELLEAD_USAGE_TESTS_USAGE_WORLD_H_

#include <doctest/doctest.h>

#include <functional>

#include "dotterellead/usage.h"

namespace dotterellead::usage {

struct fake_log {
  std::uint64_t era = 0;
  std::vector<std::string> records;
  bool is_reachable = true;
  // Answers to lose although the append takes effect.
  int lost_answers = 0;

  read_result Read(std::uint64_t from) const {
    if (!is_reachable)
      return {};
    if (from > records.size())
      return {read_status::kGone, era, {}, records.size(), 0};
    return {
        read_status::kDone,
        era,
        {records.begin() + static_cast<std::ptrdiff_t>(from), records.end()},
        records.size(),
        0};
  }
  append_result Append(std::uint64_t at, const std::string& record) {
    if (!is_reachable)
      return {};
    if (at != records.size())
      return {append_status::kConflict, era};
    records.push_back(record);
    if (lost_answers > 0 && lost_answers-- > 0)
      return {};
    return {append_status::kDone, era};
  }
  // Comes back from a copy without the last `lost` records.
  void Restore(std::size_t lost) {
    records.resize(records.size() - std::min(lost, records.size()));
    ++era;
  }
};

// Checks the rules that hold for every call that takes effect.
struct fake_service {
  bool is_fenced = true;
  bool is_reachable = true;
  // Answers to lose; their calls take effect after `late_by`.
  int lost_answers = 0;
  milliseconds late_by{0};

  struct call {
    boot_millis at;
    std::string host;
    std::uint64_t token;
    std::string body;
  };
  std::vector<call> calls;
  // Window to body, and window to the time of the first effect.
  std::map<std::string, std::string> bodies;
  std::map<std::uint64_t, boot_millis> reported_at;
  std::vector<call> delayed;
  std::uint64_t highest = 0;
  std::map<std::uint64_t, std::string> holders;

  call_status Call(const call& c) {
    if (!is_reachable)
      return call_status::kUnknown;
    if (lost_answers > 0) {
      --lost_answers;
      delayed.push_back(c);
      delayed.back().at += late_by;
      return call_status::kUnknown;
    }
    return Execute(c);
  }
  void RunDelayed(boot_millis now) {
    for (std::size_t i = 0; i < delayed.size();)
      if (delayed[i].at <= now) {
        Execute(delayed[i]);
        delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
  }
  call_status Execute(const call& c) {
    if (is_fenced && c.token < highest)
      return call_status::kFenced;
    CHECK(c.token >= highest);
    highest = std::max(highest, c.token);
    // Two hosts never use the same token.
    CHECK(holders.try_emplace(c.token, c.host).first->second == c.host);
    const std::string window = c.body.substr(0, c.body.find(':'));
    // A window never has two reports with different counts.
    CHECK(bodies.try_emplace(window, c.body).first->second == c.body);
    reported_at.try_emplace(std::stoull(window), c.at);
    calls.push_back(c);
    return call_status::kDone;
  }
};

inline std::string EncodeBody(window_number window, const count_table& counts) {
  std::string text = std::to_string(window.value()) + ":";
  for (const auto& [customer, count] : counts)
    text += customer.value() + "=" + std::to_string(count) + ";";
  return text;
}

constexpr window_settings kWindows{};
constexpr std::int64_t kStart = 1'000'000'000;

// One run of a host. Its reports reach all hosts that believe they are root.
struct fake_host {
  fake_host(const std::string& name, std::int64_t started, bool is_fenced)
      : id(name),
        collected(kWindows),
        counter(kWindows,
                id,
                incarnation_id(static_cast<std::uint64_t>(started))),
        role({id, incarnation_id(static_cast<std::uint64_t>(started)),
              milliseconds(3'000), is_fenced},
             {{"usage", "usage", kWindows, EncodeBody, &collected}}) {}
  fake_host(const fake_host&) = delete;

  member_id id;
  window_clock clock;
  collection collected;
  host_counter counter;
  leader role;
  bool is_root = false;
  bool is_frozen = false;
  bool can_reach_store = true;
  bool can_reach_service = true;
  // Stops the host between the decision on a call and the call.
  bool freezes_before_call = false;
  std::optional<make_call> held_call;
  milliseconds wall_error{0};
  std::optional<fencing_token> known_token;
};

struct usage_world {
  explicit usage_world(bool is_fenced = true) { service.is_fenced = is_fenced; }

  fake_log log;
  fake_service service;
  std::map<std::string, std::unique_ptr<fake_host>> hosts;
  boot_millis now{milliseconds(500'000)};

  std::int64_t Wall() const {
    return kStart + (now.time_since_epoch().count() - 500'000);
  }
  window_number Window() const { return WindowAt({Wall()}, kWindows.period); }
  moment MomentOf(fake_host& host) const {
    return host.clock.Read({now, {Wall() + host.wall_error.count()}});
  }
  // Started long before the first window, unless `is_new`.
  fake_host& AddHost(const std::string& name, bool is_new = false) {
    hosts[name] = std::make_unique<fake_host>(
        name, is_new ? Wall() : kStart - 100'000, service.is_fenced);
    UpdateLiveHosts();
    return *hosts[name];
  }
  void Kill(const std::string& name) {
    hosts.erase(name);
    UpdateLiveHosts();
  }
  void SetRoot(const std::string& name, bool is_root) {
    hosts.at(name)->is_root = is_root;
    hosts.at(name)->role.SetRoot(is_root);
  }
  void UpdateLiveHosts() {
    std::vector<member_id> live;
    for (const auto& [name, host] : hosts)
      live.push_back(host->id);
    for (const auto& [name, host] : hosts)
      host->collected.SetLiveHosts(live);
  }

  // Runs for `duration` in steps of 100 ms; each host gets a request of
  // customer c in each step.
  void Run(milliseconds duration) {
    for (const boot_millis end = now + duration; now < end;
         now += milliseconds(100)) {
      service.RunDelayed(now);
      for (auto& [name, host] : hosts)
        if (!host->is_frozen)
          Step(*host);
    }
  }

  void Step(fake_host& host) {
    const moment at = MomentOf(host);
    host.counter.Count(customer_id("c"), 1, WindowAt(at.wall, kWindows.period));
    host.collected.Advance(at.wall);
    const std::vector<host_report> due = host.counter.TakeDue(at.wall);
    for (auto& [name, other] : hosts)
      if (other->is_root)
        other->collected.Add(due, MomentOf(*other).wall);
    if (host.held_call)
      Finish(host, *std::exchange(host.held_call, std::nullopt), at);
    constexpr int kMaxActions = 8;
    for (int i = 0; i < kMaxActions && !host.is_frozen; ++i) {
      const std::optional<leader_action> action = host.role.Next(at);
      if (!action)
        break;
      Execute(host, *action, at);
    }
    const std::optional<fencing_token> token = host.role.token();
    if (token && token != host.known_token)
      for (auto& [name, other] : hosts) {
        other->known_token = token;
        other->counter.SendAgain();
        other->role.SetOtherToken(*token);
      }
  }

  void Execute(fake_host& host, const leader_action& action, const moment& at) {
    if (const auto* read = std::get_if<read_log>(&action)) {
      host.role.Handle(
          host.can_reach_store ? log.Read(read->from) : read_result{}, at);
    } else if (const auto* append = std::get_if<append_record>(&action)) {
      host.role.Handle(host.can_reach_store
                           ? log.Append(append->at, append->record)
                           : append_result{},
                       at);
    } else {
      const auto& call = std::get<make_call>(action);
      if (host.freezes_before_call) {
        host.freezes_before_call = false;
        host.held_call = call;
        host.is_frozen = true;
        return;
      }
      Finish(host, call, at);
    }
  }

  // The I/O checks the time once more before it sends.
  void Finish(fake_host& host, const make_call& call, const moment& at) {
    call_status status = call_status::kUnknown;
    if (at.boot <= call.not_after && host.can_reach_service)
      status =
          service.Call({now, host.id.value(), call.token.value(), call.body});
    host.role.Handle(call_result{status}, at);
  }

  // Windows from `first` that have no report in time, up to those that ended
  // 10 s ago.
  int MissingSince(window_number first) const {
    int missing = 0;
    for (window_number w = first;
         kWindows.EndOf(w).value + kWindows.max_delay.count() <= Wall();
         w = w.next()) {
      const auto report = service.reported_at.find(w.value());
      if (report == service.reported_at.end() ||
          TrueWall(report->second) > kWindows.EndOf(w).value + 10'000)
        ++missing;
    }
    return missing;
  }
  static std::int64_t TrueWall(boot_millis at) {
    return kStart + (at.time_since_epoch().count() - 500'000);
  }
};

}  // namespace dotterellead::usage

#endif  // DOTTERELLEAD_USAGE_TESTS_USAGE_WORLD_H_
