// Several hosts with one machine each, on a fake log and a fake backend under a
// manual clock. Deterministic.
#ifndef DOTTERELLEAD_IDEMPOTENCY_TESTS_CLAIM_SIMULATION_H_
#define DOTTERELLEAD_IDEMPOTENCY_TESTS_CLAIM_SIMULATION_H_

#include <fmt/core.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

#include "dotterellead/idempotency.h"

namespace dotterellead::claim_simulation {

inline constexpr milliseconds kStep{5};
inline constexpr milliseconds kTick{20};
inline constexpr milliseconds kPoll{500};
inline constexpr milliseconds kAppendTimeout{500};
inline constexpr std::int64_t kWallStart = 1'800'000'000'000;

// A version 7 UUID created at `wall`.
inline idempotency_key MakeKey(std::int64_t wall, unsigned n) {
  return idempotency_key(fmt::format("{:08x}-{:04x}-7000-8000-{:012x}",
                                     wall >> 16, wall & 0xffff, n));
}

enum class reply_mode {
  kNormal,
  kLostAfterEffect,
  kEffectAfterReply,
  // The reply is lost and the append has no effect.
  kLostBeforeEffect,
};

struct fake_log {
  struct shard {
    std::uint64_t first = 0;
    std::vector<claim_log_record> records;
    std::uint64_t next() const { return records.size(); }
  };
  std::array<shard, limits::kClaimShards> shards;
  bool appends_down = false;
  bool reads_down = false;
  milliseconds latency{1};
  // Added to reads.
  milliseconds read_lag{0};
  // Applies to the next append only.
  reply_mode next_reply = reply_mode::kNormal;
  // When an append with kEffectAfterReply takes effect.
  milliseconds late_by{1'500};
  milliseconds retention{86'400'000};
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
};

// Progress of an attempt's request.
enum class step {
  kReceived,
  kClaimSent,
  kClaimed,
  kConnected,
  kPartSent,
  kAllSent,
  kPartAnswered,
  kWholeAnswer,
  kOutcomeAppended,
  kAnswered,
};

// One attempt of a caller at one host.
struct caller_attempt {
  request_id id;
  std::size_t host = 0;
  idempotency_key key;
  std::uint64_t fingerprint = 7;
  time_point begun;
  time_point deadline;
  step at = step::kReceived;
  bool granted = false;
  time_point claimed_at;
  bool ran = false;
  time_point ran_at;
  std::string body;
  // The response that the caller got; empty before it.
  std::optional<run_state> response_run;
  int status = 0;
  std::string response_body;
  time_point responded_at;
  bool over = false;
};

struct fake_host {
  std::unique_ptr<idempotency_machine> machine;
  member_id member;
  incarnation_id incarnation;
  bool alive = true;
  time_point paused_until;
  // Messages in transit to this host.
  std::multimap<time_point, idempotency_machine::message> inbox;
  struct tail {
    bool is_set = false;
    std::uint64_t next = 0;
    time_point polled;
    bool waits_for_owner = false;
  };
  std::array<tail, limits::kClaimShards> tails;
  time_point next_tick;
};

class claim_simulation {
 public:
  explicit claim_simulation(std::size_t hosts) {
    now_.wall = unix_millis{kWallStart};
    now_.steady = time_point(std::chrono::hours(1));
    for (std::size_t i = 0; i < hosts; ++i) {
      hosts_.emplace_back();
      StartHost(i, 1);
    }
    ShareMembers();
  }

  // Called when the first attempt reaches a step.
  std::function<void(step)> on_first;
  fake_log log;
  bool backend_up = true;
  bool cut_next = false;
  std::map<idempotency_key, int> runs;
  std::deque<caller_attempt> attempts;

  time_point Now() const { return now_.steady; }
  std::int64_t Wall() const { return now_.wall.value; }
  fake_host& host(std::size_t i) { return hosts_[i]; }

  void StartHost(std::size_t i, std::uint64_t incarnation) {
    fake_host& h = hosts_[i];
    h = fake_host{};
    h.member = member_id(fmt::format("host-{}", i));
    h.incarnation = incarnation_id(incarnation);
    h.machine = std::make_unique<idempotency_machine>(
        idempotency_options{.member = h.member, .incarnation = h.incarnation});
  }

  void KillHost(std::size_t i) {
    hosts_[i].alive = false;
    for (caller_attempt& a : attempts) {
      if (a.host == i)
        a.over = true;
    }
    ShareMembers();
  }

  void PauseHost(std::size_t i, milliseconds time) {
    hosts_[i].paused_until = Now() + time;
  }

  void ShareMembers() {
    live_members m;
    for (const fake_host& h : hosts_) {
      if (h.alive)
        m.members.push_back({h.member, h.incarnation});
    }
    m.hosts = m.members.size();
    for (fake_host& h : hosts_)
      Post(h, m);
  }

  caller_attempt& Begin(std::size_t host,
                        const idempotency_key& key,
                        milliseconds timeout = milliseconds(3'000),
                        std::uint64_t fingerprint = 7) {
    attempts.push_back({.id = request_id(attempts.size()),
                        .host = host,
                        .key = key,
                        .fingerprint = fingerprint,
                        .begun = Now(),
                        .deadline = Now() + timeout});
    caller_attempt& a = attempts.back();
    Reach(a, step::kReceived);
    if (a.over || !hosts_[host].alive)
      a.over = true;
    else
      Post(hosts_[host], begin_claim{a.id, key, fingerprint, a.deadline});
    return a;
  }

  void Run(milliseconds time) {
    for (const time_point end = Now() + time; Now() < end;)
      Advance();
  }

  void Advance() {
    now_.steady += kStep;
    now_.wall.value += kStep.count();
    ApplyLate();
    for (fake_host& h : hosts_)
      AdvanceHost(h);
    for (std::size_t i = 0; i < attempts.size(); ++i)
      AdvanceAttempt(attempts[i]);
  }

  void Post(fake_host& h, idempotency_machine::message m) {
    h.inbox.emplace(Now(), std::move(m));
  }

 private:
  bool IsActive(const fake_host& h) const {
    return h.alive && Now() >= h.paused_until;
  }

  void AdvanceHost(fake_host& h) {
    if (!h.alive)
      return;
    Poll(h);
    if (!IsActive(h))
      return;
    while (!h.inbox.empty() && h.inbox.begin()->first <= Now()) {
      const idempotency_machine::message m = std::move(h.inbox.begin()->second);
      h.inbox.erase(h.inbox.begin());
      StepMachine(h, m);
    }
    // Like the duty, which sleeps while no tick is due.
    const auto due = h.machine->NextDeadline();
    if (due && *due <= Now() && Now() >= h.next_tick) {
      StepMachine(h, tick{});
      h.next_tick = Now() + kTick;
    }
  }

  void StepMachine(fake_host& h, const idempotency_machine::message& m) {
    std::vector<idempotency_machine::effect> effects;
    h.machine->Step(m, now_, effects);
    for (auto& e : effects)
      std::visit([&](auto& x) { On(h, x); }, e);
  }

  // ---- Log

  // Delivers what the tail duty of each shard would.
  void Poll(fake_host& h) {
    for (std::size_t i = 0; i < h.tails.size(); ++i) {
      fake_host::tail& t = h.tails[i];
      const fake_log::shard& s = log.shards[i];
      const bool due = Now() - t.polled >= kPoll;
      if (!t.is_set || (t.next == s.next() && !due))
        continue;
      if (log.reads_down) {
        if (due)
          Deliver(h, claim_shard_unavailable{claim_shard(i)});
      } else if (t.next < s.first) {
        t.is_set = false;
        Deliver(h, claim_shard_truncated{claim_shard(i), log_offset(s.first)});
      } else {
        Deliver(h, Batch(i, t.next));
        t.next = s.next();
      }
      if (due || !log.reads_down)
        t.polled = Now();
    }
  }

  claim_batch Batch(std::size_t i, std::uint64_t from) const {
    const fake_log::shard& s = log.shards[i];
    claim_batch b{.shard = claim_shard(i),
                  .first = log_offset(s.first),
                  .next = log_offset(s.next()),
                  .retention = log.retention};
    for (std::uint64_t at = from; at < s.next(); ++at)
      b.records.push_back({log_offset(at), s.records[at]});
    return b;
  }

  void Deliver(fake_host& h, idempotency_machine::message m) {
    h.inbox.emplace(Now() + log.latency + log.read_lag, std::move(m));
  }

  void On(fake_host& h, const set_claim_tail& e) {
    h.tails[e.shard.value()] = {.is_set = true, .next = e.offset.value()};
  }

  void On(fake_host& h, const append_claim_records& e) {
    append_result result{.token = e.token};
    const reply_mode mode = std::exchange(log.next_reply, reply_mode::kNormal);
    const auto index = static_cast<std::size_t>(&h - &hosts_[0]);
    for (caller_attempt& a : attempts) {
      if (a.host == index && a.at == step::kReceived && CarriesClaim(e, a.key))
        Reach(a, step::kClaimSent);
    }
    ++log.appends;
    if (log.appends_down) {
      result.status = append_status::kRejected;
    } else if (mode == reply_mode::kEffectAfterReply) {
      late_.emplace(Now() + log.late_by, e);
    } else if (mode != reply_mode::kLostBeforeEffect) {
      result.first = Append(e);
      result.status = mode == reply_mode::kNormal ? append_status::kAppended
                                                  : append_status::kUnknown;
    }
    const bool lost = result.status == append_status::kUnknown;
    h.inbox.emplace(Now() + (lost ? kAppendTimeout : log.latency), result);
  }

  log_offset Append(const append_claim_records& e) {
    fake_log::shard& s = log.shards[e.shard.value()];
    const log_offset first(s.next());
    for (const claim_log_record& r : e.records)
      s.records.push_back(r);
    log.records += e.records.size();
    return first;
  }

  void ApplyLate() {
    while (!late_.empty() && late_.begin()->first <= Now()) {
      Append(late_.begin()->second);
      late_.erase(late_.begin());
    }
  }

  static bool CarriesClaim(const append_claim_records& e,
                           const idempotency_key& key) {
    for (const claim_log_record& r : e.records) {
      const auto* claim = std::get_if<claim_record>(&r);
      if (claim != nullptr && claim->key == key)
        return true;
    }
    return false;
  }

  // ---- Requests

  void On(fake_host&, const claim_result& e) {
    caller_attempt& a = attempts[e.request.value()];
    if (a.over)
      return;
    if (std::holds_alternative<claim_granted>(e.decision)) {
      a.granted = true;
      a.claimed_at = Now();
      Reach(a, step::kClaimed);
    } else if (const auto* saved = std::get_if<saved_outcome>(&e.decision)) {
      Respond(a, run_state::kDone, saved->status, saved->body);
    } else {
      const auto& denied = std::get<claim_denied>(e.decision);
      Respond(a, denied.run, denied.status, "");
    }
  }

  void On(fake_host&, const claim_finished& e) {
    caller_attempt& a = attempts[e.request.value()];
    if (a.over || a.at >= step::kOutcomeAppended)
      return;
    Reach(a, step::kOutcomeAppended);
  }

  void Respond(caller_attempt& a, run_state run, int status, std::string body) {
    if (a.over)
      return;
    a.over = true;
    a.response_run = run;
    a.status = status;
    a.response_body = std::move(body);
    a.responded_at = Now();
    Reach(a, step::kAnswered);
  }

  void Reach(caller_attempt& a, step s) {
    a.at = s;
    if (on_first && a.id == request_id(0))
      on_first(s);
  }

  // A granted request advances one step per clock step.
  void AdvanceAttempt(caller_attempt& a) {
    fake_host& h = hosts_[a.host];
    if (a.over || !IsActive(h) || !a.granted)
      return;
    if (a.at == step::kOutcomeAppended)
      return Respond(a, run_state::kDone, 200, a.body);
    if (a.at >= step::kWholeAnswer)
      return;
    if (!backend_up || std::exchange(cut_next, false))
      return Fail(a, h);
    const step next = static_cast<step>(static_cast<int>(a.at) + 1);
    if (next == step::kAllSent)
      RunAtBackend(a);
    Reach(a, next);
    if (a.at == step::kWholeAnswer && !a.over && h.alive)
      Post(h, finish_claim{a.id, a.key, Outcome(run_state::kDone, a.body)});
  }

  void RunAtBackend(caller_attempt& a) {
    a.ran = true;
    a.ran_at = Now();
    a.body = fmt::format("run {} of attempt {}", ++runs[a.key], a.id.value());
  }

  // The connection was lost: before the first byte the request did not run,
  // after it that is unknown.
  void Fail(caller_attempt& a, fake_host& h) {
    if (a.at < step::kConnected) {
      Post(h, void_claim{a.key});
      return Respond(a, run_state::kNotRun, 503, "");
    }
    Post(h, finish_claim{a.id, a.key, Outcome(run_state::kUnknown, "")});
    Respond(a, run_state::kUnknown, 502, "");
  }

  static saved_outcome Outcome(run_state run, const std::string& body) {
    saved_outcome outcome = MakeSavedOutcome({.status = 200, .body = body});
    outcome.run = run;
    return outcome;
  }

  timestamp now_;
  std::deque<fake_host> hosts_;
  // Appends that take effect after their reply timed out.
  std::multimap<time_point, append_claim_records> late_;
};

}  // namespace dotterellead::claim_simulation

#endif  // DOTTERELLEAD_IDEMPOTENCY_TESTS_CLAIM_SIMULATION_H_
