// Admission machines of several hosts on a simulated network that loses, delays
// and duplicates messages, under a manual clock. Requests with the fingerprint
// kPoison crash the server that runs them.
#ifndef DOTTERELLEAD_ADMISSION_SIMULATION_H_
#define DOTTERELLEAD_ADMISSION_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include "dotterellead/admission.h"

namespace dotterellead {

inline constexpr request_fingerprint kPoison{7};

struct network_faults {
  int lost_per_mille = 0;
  int duplicated_per_mille = 0;
  int longest_delay_ms = 2;
};

class admission_simulation {
 public:
  admission_simulation(std::size_t hosts, network_faults faults, unsigned seed)
      : faults_(faults), random_(seed) {
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<host>());
      hosts_.back()->id = member_id("host-" + std::to_string(i));
    }
    SendPeers();
  }

  // A caller that sends kPoison to a random live host, and to another one after
  // each failure.
  void AddCaller(int start_ms, int sends, bool harmless = false) {
    callers_.push_back({start_ms, sends, harmless});
  }
  // The host of crash number `crash` dies before it records the crash.
  void KillAtCrash(int crash) { kill_at_crash_ = crash; }
  void KillHost(std::size_t index) { Kill(*hosts_[index]); }
  // Separates the hosts below `boundary` from the others.
  void Partition(std::size_t boundary) {
    boundary_ = boundary;
    dead_noticed_at_ = now_ms_ + kSuspectMs;
  }

  void Run(int ms) {
    for (const int end = now_ms_ + ms; now_ms_ < end; ++now_ms_) {
      if (now_ms_ == dead_noticed_at_)
        SendPeers();
      Deliver();
      StartCallers();
      FinishRuns();
      if (now_ms_ % limits::kAdmissionTick.count() != 0)
        continue;
      // Like the duty, which sleeps while no tick is due.
      for (auto& h : hosts_) {
        if (h->machine.NextDeadline())
          Step(*h, tick{});
      }
    }
  }

  void Step(std::size_t index, admission_machine::message m) {
    Step(*hosts_[index], std::move(m));
  }

  int servers_lost() const { return crashes_; }
  int runs_at_first_crash() const { return runs_at_first_crash_; }
  int answered() const { return answered_; }
  int most_at_once_after_strike() const { return most_after_strike_; }
  admission_machine& machine(std::size_t i) { return hosts_[i]->machine; }
  admission_table& table(std::size_t i) { return hosts_[i]->table; }
  std::size_t OwnerIndex() const { return granting_host_; }
  const std::vector<admission_machine::effect>& effects() const {
    return kept_;
  }

 private:
  static constexpr int kSuspectMs = 2'000;
  static constexpr int kRunMs = 10;

  struct host {
    member_id id;
    admission_machine machine;
    admission_table table;
    bool alive = true;
  };
  struct caller {
    int next_ms = 0;
    int sends_left = 0;
    bool harmless = false;
  };
  struct call {
    std::size_t caller = 0;
    host* at = nullptr;
    // 0 if not running.
    int ends_ms = 0;
  };
  struct packet {
    int at_ms;
    std::size_t from, to;
    std::string text;
  };

  timestamp Now() const {
    return {time_point(milliseconds(1'000'000 + now_ms_)), unix_millis{0}};
  }
  int Random(int bound) { return static_cast<int>(random_() % bound); }
  std::size_t IndexOf(const member_id& id) const {
    const auto it = std::ranges::find_if(
        hosts_, [&](const auto& h) { return h->id == id; });
    return static_cast<std::size_t>(it - hosts_.begin());
  }
  bool CanReach(std::size_t a, std::size_t b) const {
    return hosts_[a]->alive && hosts_[b]->alive &&
           (a < boundary_) == (b < boundary_);
  }

  void SendPeers() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      admission_peers_changed view{.self = hosts_[i]->id};
      for (std::size_t k = 0; k < hosts_.size(); ++k) {
        if (k != i && CanReach(i, k))
          view.peers.push_back(hosts_[k]->id);
      }
      view.has_majority = (view.peers.size() + 1) * 2 > hosts_.size();
      Step(*hosts_[i], view);
    }
  }

  void Kill(host& h) {
    h.alive = false;
    dead_noticed_at_ = now_ms_ + kSuspectMs;
    for (auto& [id, c] : calls_) {
      if (c.at == &h)
        callers_[c.caller].next_ms = now_ms_ + 1;
    }
    std::erase_if(calls_, [&](const auto& c) { return c.second.at == &h; });
  }

  void Step(host& h, admission_machine::message first) {
    std::deque<admission_machine::message> messages{std::move(first)};
    while (!messages.empty() && h.alive) {
      std::vector<admission_machine::effect> effects;
      h.machine.Step(messages.front(), Now(), effects);
      messages.pop_front();
      for (const auto& e : effects) {
        if (!std::holds_alternative<admission_send>(e))
          kept_.push_back(e);
        std::visit([&](const auto& a) { Execute(h, a, messages); }, e);
      }
    }
  }

  using queue = std::deque<admission_machine::message>;
  void Execute(host&, const begin_decision& e, queue&) {
    if (e.allowed)
      StartRun(e.request);
    else
      Fail(e.request);
  }
  void Execute(host&, const retry_decision&, queue&) {}
  void Execute(host& h, const crash_decision& e, queue& messages) {
    if (e.may_retry) {
      StartRun(e.request);
      return;
    }
    Fail(e.request);
    if (h.table.End(kPoison))
      messages.emplace_back(end_run{kPoison, false});
  }
  void Execute(host& h, const mark_struck& e, queue& messages) {
    messages.emplace_back(
        runs_counted{e.fingerprint, h.table.Mark(e.fingerprint)});
  }
  void Execute(host& h, const unmark_struck& e, queue&) {
    h.table.Unmark(e.fingerprint);
  }
  void Execute(host& h, const admission_send& e, queue&) {
    const std::string text = EncodeAdmissionMessage(e.message);
    const bool grants = std::holds_alternative<run_poll>(e.message);
    if (grants)
      granting_host_ = IndexOf(h.id);
    for (const member_id& to : e.to)
      Post(IndexOf(h.id), IndexOf(to), text);
  }
  void Execute(host&, const admission_event&, queue&) {}

  void Post(std::size_t from, std::size_t to, const std::string& text) {
    const int copies = Random(1000) < faults_.duplicated_per_mille ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Random(1000) < faults_.lost_per_mille)
        continue;
      const int delay = 1 + Random(faults_.longest_delay_ms);
      packets_.push_back({now_ms_ + delay, from, to, text});
    }
  }

  void Deliver() {
    std::vector<packet> due;
    std::erase_if(packets_, [&](const packet& p) {
      if (p.at_ms > now_ms_)
        return false;
      due.push_back(p);
      return true;
    });
    for (const packet& p : due) {
      if (!CanReach(p.from, p.to))
        continue;
      Step(*hosts_[p.to], admission_received{hosts_[p.from]->id,
                                             DecodeAdmissionMessage(p.text)});
    }
  }

  void StartCallers() {
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      caller& c = callers_[i];
      if (c.next_ms != now_ms_ || c.sends_left == 0)
        continue;
      --c.sends_left;
      host* h = nullptr;
      do {
        h = hosts_[Random(static_cast<int>(hosts_.size()))].get();
      } while (!h->alive);
      const request_id id(next_request_++);
      calls_[id] = {.caller = i, .at = h};
      if (h->table.TryBegin(pool_id("p"), kPoison)) {
        StartRun(id);
        continue;
      }
      Step(*h, begin_run{id, pool_id("p"), kPoison,
                         Now().steady + milliseconds(500)});
    }
  }

  int RunsNow() const {
    return static_cast<int>(std::ranges::count_if(
        calls_, [](const auto& c) { return c.second.ends_ms != 0; }));
  }

  void StartRun(request_id id) {
    const auto it = calls_.find(id);
    if (it == calls_.end())
      return;
    it->second.ends_ms = now_ms_ + kRunMs;
    if (struck_at_ms_ >= 0 && now_ms_ > struck_at_ms_ + 250)
      most_after_strike_ = std::max(most_after_strike_, RunsNow());
  }

  void Fail(request_id id) {
    const auto it = calls_.find(id);
    if (it == calls_.end())
      return;
    callers_[it->second.caller].next_ms = now_ms_ + 1 + Random(20);
    calls_.erase(it);
  }

  void FinishRuns() {
    std::vector<request_id> ended;
    for (const auto& [id, c] : calls_) {
      if (c.ends_ms == now_ms_ && c.ends_ms != 0)
        ended.push_back(id);
    }
    for (const request_id id : ended)
      FinishRun(id);
  }

  void FinishRun(request_id id) {
    const auto it = calls_.find(id);
    if (it == calls_.end())
      return;
    host& h = *it->second.at;
    if (callers_[it->second.caller].harmless) {
      ++answered_;
      callers_[it->second.caller].next_ms = now_ms_ + 1 + Random(20);
      calls_.erase(it);
      if (h.table.End(kPoison))
        Step(h, end_run{kPoison, true});
      return;
    }
    if (crashes_ == 0) {
      runs_at_first_crash_ = RunsNow();
      struck_at_ms_ = now_ms_;
    }
    it->second.ends_ms = 0;
    if (++crashes_ == kill_at_crash_) {
      Kill(h);
      return;
    }
    Step(h, record_crash{id, kPoison,
                         server_id("server-" + std::to_string(crashes_))});
  }

  network_faults faults_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::vector<caller> callers_;
  std::map<request_id, call> calls_;
  std::vector<packet> packets_;
  std::vector<admission_machine::effect> kept_;
  std::size_t boundary_ = 0;
  std::size_t granting_host_ = 0;
  std::uint64_t next_request_ = 1;
  int now_ms_ = 0;
  int dead_noticed_at_ = -1;
  int kill_at_crash_ = 0;
  int crashes_ = 0;
  int answered_ = 0;
  int runs_at_first_crash_ = 0;
  int struck_at_ms_ = -1;
  int most_after_strike_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ADMISSION_SIMULATION_H_
