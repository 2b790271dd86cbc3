// Config machines on an in-memory log under a manual clock with ticks of 50 ms.
// All states and responses are checked against a replay of the whole log.
#ifndef DOTTERELLEAD_FAKE_CLUSTER_H_
#define DOTTERELLEAD_FAKE_CLUSTER_H_

#include <doctest/doctest.h>

#include <algorithm>

#include "dotterellead/config.h"

namespace dotterellead {

inline constexpr milliseconds kTick{50};

inline resource Pool(const std::string& name, const std::string& tenant) {
  pool_spec pool;
  pool.tenant = tenant_id(tenant);
  pool.routes = {{"*", "/", true}};
  pool.servers = {
      {server_id("127.0.0.1:9"), data_centre_id("a"), version_id("v1"), 1, 1},
      {server_id("127.0.0.1:8"), data_centre_id("a"), version_id("v2"), 1, 1}};
  return {name, pool};
}

inline resource Move(const std::string& name,
                     const std::string& pool,
                     std::int64_t deadline = 1'000'000) {
  return {name, move_spec{pool_id(pool), version_id("v1"), version_id("v2"),
                          unix_millis{deadline}}};
}

enum class log_fault {
  kNone,
  kDown,
  kRefusesAppends,
  kLosesReplies,
  kLosesAppends,
  // The reply is lost and the record is appended 6 ticks later.
  kLateAppends,
  // Replies and reads take 8 ticks.
  kSlow,
  // Reads do not return the records of the last 6 ticks.
  kLaggingReads,
};

struct fake_log {
  struct entry {
    std::string text;
    int tick;
  };
  // Entry i has offset i; those before `first` are no longer readable.
  std::vector<entry> entries;
  std::size_t first = 0;
  log_fault fault = log_fault::kNone;
  int retention_ticks = 100'000;
  int now = 0;
  std::vector<std::pair<int, std::string>> late;

  void Tick() {
    ++now;
    while (first < entries.size() &&
           entries[first].tick + retention_ticks < now)
      ++first;
    for (auto& [tick, text] : late) {
      if (tick == now)
        entries.push_back({text, now});
    }
  }
  append_result Append(const append_request& r) {
    append_result result{r.stream, r.token, append_status::kUnknown, {}};
    if (fault == log_fault::kLosesAppends)
      return result;
    if (fault == log_fault::kDown || fault == log_fault::kRefusesAppends) {
      result.status = append_status::kRejected;
      return result;
    }
    if (fault == log_fault::kLateAppends) {
      late.emplace_back(now + 6, r.records[0]);
      return result;
    }
    entries.push_back({r.records[0], now});
    if (fault != log_fault::kLosesReplies) {
      result.status = append_status::kAppended;
      result.first = log_offset(entries.size() - 1);
    }
    return result;
  }
  config_machine::message Read(log_offset from, std::size_t max) const {
    if (fault == log_fault::kDown)
      return log_unavailable{ConfigStream()};
    std::size_t end = entries.size();
    while (fault == log_fault::kLaggingReads && end > first &&
           entries[end - 1].tick + 6 > now)
      --end;
    log_batch batch{ConfigStream(),
                    {},
                    log_offset(first),
                    log_offset(end),
                    kTick * retention_ticks};
    const std::size_t begin = std::max<std::size_t>(from.value(), first);
    for (std::size_t i = begin; i < std::min(end, begin + max); ++i)
      batch.records.push_back({log_offset(i), entries[i].text});
    return batch;
  }
};

// A write of the test and its outcome.
struct issued_write {
  std::size_t host = 0;
  int run = 0;
  resource item;
  bool remove = false;
  time_point deadline{};
  std::optional<write_outcome> outcome;
  template <class Outcome>
  bool Is() const {
    return outcome && std::holds_alternative<Outcome>(*outcome);
  }
};

class fake_cluster {
 public:
  struct host {
    std::unique_ptr<config_machine> machine;
    int run = 0;
    log_offset tail{0};
    config_snapshot view;
    bool cut_from_log = false;
    std::vector<std::pair<int, config_machine::message>> inbox;
  };

  explicit fake_cluster(std::size_t count) : hosts(count) {
    for (std::size_t i = 0; i < count; ++i)
      Restart(i);
  }

  void Restart(std::size_t i) {
    const int run = hosts[i].run + 1;
    hosts[i] = {};
    hosts[i].run = run;
    hosts[i].machine = std::make_unique<config_machine>(
        "h" + std::to_string(i) + "/" + std::to_string(run));
  }
  void Kill(std::size_t i) {
    hosts[i].machine.reset();
    ++hosts[i].run;
  }

  // Returns the write's index in `writes`.
  std::size_t Write(std::size_t i,
                    const resource& item,
                    std::optional<log_offset> expected = std::nullopt,
                    bool remove = false,
                    int deadline_ticks = 60) {
    writes.push_back({i, hosts[i].run, item, remove,
                      Now().steady + deadline_ticks * kTick, std::nullopt});
    Post(i, write_request{request_id(writes.size() - 1), remove, item, expected,
                          Now().steady + deadline_ticks * kTick});
    return writes.size() - 1;
  }

  void Post(std::size_t i, const config_machine::message& m) {
    if (hosts[i].machine == nullptr)
      return;
    std::vector<config_machine::effect> effects;
    hosts[i].machine->Step(m, Now(), effects);
    for (const auto& e : effects)
      std::visit([&](const auto& body) { Execute(i, body); }, e);
  }

  void Tick() {
    log.Tick();
    for (std::size_t n = 0; n < hosts.size(); ++n)
      TickHost((n + static_cast<std::size_t>(log.now)) % hosts.size());
  }
  void Run(int ticks) {
    for (int i = 0; i < ticks; ++i)
      Tick();
  }

  timestamp Now() const {
    return {time_point(kTick * log.now),
            unix_millis{std::int64_t{log.now} * 50}};
  }

  // Compares all outcomes with a replay of the whole log.
  void CheckAnswers(bool unknown_allowed) {
    Reference();
    for (const issued_write& w : writes) {
      CAPTURE(w.item.name);
      if (!w.outcome) {
        CHECK(hosts[w.host].run != w.run);
        continue;
      }
      CHECK((unknown_allowed || !w.Is<write_unknown>()));
      if (w.remove) {
        CheckRemoval(w);
        continue;
      }
      const std::vector<log_offset> won = AcceptedAt(w.item);
      CHECK(won.size() <= 1);
      if (w.Is<write_accepted>()) {
        REQUIRE(won.size() == 1);
        CHECK(std::get<write_accepted>(*w.outcome).revision == won[0]);
      } else if (!w.Is<write_unknown>()) {
        CHECK(won.empty());
      }
    }
  }
  void CheckConverged() {
    Reference();
    for (const host& h : hosts) {
      REQUIRE(h.view != nullptr);
      CHECK(*h.view == (tables_.empty() ? config_view() : tables_.back()));
    }
  }

  fake_log log;
  std::vector<host> hosts;
  std::vector<issued_write> writes;
  bool peers_on = true;
  std::vector<int> snapshot_ticks;

 private:
  void TickHost(std::size_t i) {
    host& h = hosts[i];
    if (h.machine == nullptr)
      return;
    const auto inbox = std::move(h.inbox);
    h.inbox.clear();
    for (const auto& [due, m] : inbox) {
      if (due <= log.now)
        Post(i, m);
      else
        h.inbox.emplace_back(due, m);
    }
    if (h.cut_from_log)
      Post(i, log_unavailable{ConfigStream()});
    else if (log.fault != log_fault::kSlow || log.now % 8 == 0)
      Read(i);
    if (peers_on)
      PostBestPeer(i);
    Post(i, lowest_member{IsLowest(i)});
    // Like the duty, which sleeps while no tick is due.
    const auto due = h.machine->NextDeadline();
    if (due && *due <= Now().steady)
      Post(i, tick{});
  }

  // Reads from the last record delivered, like the log duty.
  void Read(std::size_t i) {
    const config_machine::message m = log.Read(hosts[i].tail, 5);
    if (const auto* batch = std::get_if<log_batch>(&m);
        batch && !batch->records.empty())
      hosts[i].tail = batch->records.back().offset.next();
    Post(i, m);
  }

  void PostBestPeer(std::size_t i) {
    peer_offsets best;
    for (std::size_t k = 0; k < hosts.size(); ++k) {
      const config_snapshot& view = hosts[k].view;
      if (k != i && hosts[k].machine && view && view->through.is_valid() &&
          (!best.highest.is_valid() || view->through > best.highest))
        best = {view->through, std::to_string(k)};
    }
    Post(i, best);
  }

  bool IsLowest(std::size_t i) const {
    return std::none_of(hosts.begin(), hosts.begin() + static_cast<long>(i),
                        [](const host& h) { return h.machine != nullptr; });
  }

  void Execute(std::size_t i, const config_published& p) {
    host& h = hosts[i];
    // The state of one incarnation never goes back.
    CHECK((h.view == nullptr || p.view->through > h.view->through ||
           !h.view->through.is_valid()));
    h.view = p.view;
    Reference();
    if (p.view->through.is_valid())
      CHECK(*p.view == tables_.at(p.view->through.value()));
  }
  void Execute(std::size_t, const write_result& r) {
    issued_write& w = writes.at(r.request.value());
    CHECK_FALSE(w.outcome.has_value());
    w.outcome = r.outcome;
    CHECK((!w.Is<write_unknown>() || Now().steady >= w.deadline));
  }
  void Execute(std::size_t i, const append_request& r) {
    if (r.records[0].find("\"snapshot\"") != std::string::npos)
      snapshot_ticks.push_back(log.now);
    append_result result{r.stream, r.token, append_status::kRejected, {}};
    if (!hosts[i].cut_from_log)
      result = log.Append(r);
    const int delay = log.fault == log_fault::kSlow ? 8 : 1;
    hosts[i].inbox.emplace_back(log.now + delay, result);
  }
  void Execute(std::size_t i, const set_tail_offset& t) {
    hosts[i].tail = t.from;
  }
  void Execute(std::size_t i, const fetch_from_peer& f) {
    Post(std::stoul(f.address), peer_fetch{request_id(i), f.from});
  }
  void Execute(std::size_t, const peer_answer& a) {
    std::visit(
        [&](const auto& state) {
          hosts[a.request.value()].inbox.emplace_back(log.now + 1, state);
        },
        DecodePeerState(EncodePeerState(a.state)));
  }
  void Execute(std::size_t, const log_readable_changed&) {}

  // Replays the records appended since the last call.
  void Reference() {
    for (std::size_t i = tables_.size(); i < log.entries.size(); ++i) {
      config_view table = tables_.empty() ? config_view() : tables_.back();
      records_.push_back(DecodeConfigRecord(log.entries[i].text));
      decisions_.push_back(ReplayRecord(table, records_.back(), log_offset(i)));
      tables_.push_back(table);
    }
  }
  void CheckRemoval(const issued_write& w) const {
    if (!w.Is<write_accepted>())
      return;
    const log_offset at = std::get<write_accepted>(*w.outcome).revision;
    const auto* record = std::get_if<remove_record>(&records_.at(at.value()));
    REQUIRE(record != nullptr);
    CHECK(record->key == KeyOf(w.item));
    CHECK(decisions_.at(at.value()).accepted);
  }
  std::vector<log_offset> AcceptedAt(const resource& item) const {
    std::vector<log_offset> found;
    for (std::size_t i = 0; i < records_.size(); ++i) {
      const auto* apply = std::get_if<apply_record>(&records_[i]);
      if (apply && apply->item == item && decisions_[i].accepted)
        found.emplace_back(i);
    }
    return found;
  }

  std::vector<config_record> records_;
  std::vector<replay_decision> decisions_;
  std::vector<config_view> tables_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_FAKE_CLUSTER_H_
