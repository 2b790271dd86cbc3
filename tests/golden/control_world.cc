#include "control_world.h"

#include <fmt/format.h>

namespace dotterellead::golden {
namespace {

constexpr std::int64_t kStartWallMs = 1'800'000'000'000;
constexpr milliseconds kTick{100};
constexpr milliseconds kWriteTime{5'000};
constexpr int kRequestsPerTick = 20;
constexpr microseconds kLatency{2'000};
const version_id new_version("v2");

std::string Offset(log_offset o) {
  return o.is_valid() ? std::to_string(o.value()) : "none";
}

std::string Progress(const move_progress& p) {
  return fmt::format("step {} share {} {}{}", p.step, p.share_per_mille,
                     to_string(p.verdict),
                     p.reason.empty() ? "" : ": " + p.reason);
}

// One line for each kind of record and of outcome.
struct describe {
  std::string operator()(const apply_record& r) const {
    const resource_key key = KeyOf(r.item);
    return fmt::format("apply {} {} base {}", key.kind, key.name,
                       Offset(r.base));
  }
  std::string operator()(const remove_record& r) const {
    return fmt::format("remove {} {} base {}", r.key.kind, r.key.name,
                       Offset(r.base));
  }
  std::string operator()(const move_step_record& r) const {
    return fmt::format("move_step {} from step {}: {}", r.move.value(),
                       r.from_step, Progress(r.next));
  }
  std::string operator()(const snapshot_record& r) const {
    return "snapshot through " + Offset(r.table.through);
  }
  std::string operator()(const write_accepted& o) const {
    return "accepted, revision " + Offset(o.revision);
  }
  std::string operator()(const write_conflict& o) const {
    return fmt::format("conflict, current revision {}: {}", Offset(o.current),
                       o.reason);
  }
  std::string operator()(const write_rejected& o) const {
    return "refused: " + o.problem;
  }
  std::string operator()(const write_unknown&) const { return "unknown"; }
};

}  // namespace

control_world::control_world(milliseconds retention)
    : retention_(retention), hosts_(2) {
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    Restart(i);
  Run(3 * kTick);
}

void control_world::Apply(std::size_t host,
                          const resource& item,
                          std::optional<log_offset> expected) {
  const resource_key key = KeyOf(item);
  WriteOf(host,
          fmt::format("operator applies {} {}, expecting {}", key.kind,
                      key.name, expected ? Offset(*expected) : "any revision"));
  Give(host, write_request{.request = request_id(++last_request_),
                           .item = item,
                           .expected = expected,
                           .deadline = Now().steady + kWriteTime});
}

void control_world::Restart(std::size_t i) {
  host& h = hosts_[i];
  const std::uint64_t run = h.runs + 1;
  h = host{};
  h.runs = run;
  if (run > 1)
    WriteOf(i, "restarts");
  h.config = std::make_unique<config_machine>(fmt::format("h{}/{}", i, run));
  h.rollout = std::make_unique<rollout_machine>(
      member_id(fmt::format("h{}", i)), incarnation_id(run));
  Give(i, rollout_peers_changed{{member_id("h0"), member_id("h1")}});
}

void control_world::Run(milliseconds time) {
  for (const milliseconds end = now_ + time; now_ < end;)
    Tick();
}

void control_world::Serve(milliseconds time, bool is_bad) {
  serves_ = true;
  is_bad_ = is_bad;
  Run(time);
  serves_ = false;
}

void control_world::ShowTables() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const config_view& view = *hosts_[i].view;
    for (const auto& [id, pool] : view.pools) {
      WriteOf(i, fmt::format("holds pool {} of {}, revision {}", id.value(),
                             pool.spec.tenant.value(), Offset(pool.revision)));
    }
    for (const auto& [id, move] : view.moves) {
      WriteOf(i, fmt::format("holds move {}, revision {}, {}", id.value(),
                             Offset(move.revision), Progress(move.progress)));
    }
  }
}

unix_millis control_world::wall() const {
  return Now().wall;
}

timestamp control_world::Now() const {
  return {time_point(milliseconds(1'000'000) + now_),
          unix_millis{kStartWallMs + now_.count()}};
}

void control_world::Write(const std::string& line) {
  transcript_ += fmt::format("{:5.1f} s  {}\n",
                             static_cast<double>(now_.count()) / 1000, line);
}

void control_world::WriteOf(std::size_t i, const std::string& line) {
  Write(fmt::format("h{} {}", i, line));
}

// ---- Time

void control_world::Tick() {
  now_ += kTick;
  while (first_ < log_.size() && log_[first_].at + retention_ < now_) {
    Write(fmt::format("config[{}] is dropped", first_));
    ++first_;
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i)
    TickHost(i);
}

void control_world::TickHost(std::size_t i) {
  host& h = hosts_[i];
  for (const append_result& result : std::exchange(h.results, {}))
    Give(i, result);
  const log_batch batch = Read(h.tail);
  h.tail = batch.next;
  Give(i, batch);
  Give(i, lowest_member{i == 0});
  Give(i, config_machine::message(tick{}));
  if (serves_)
    Give(i, attempts_recorded{MakeAttempts(h)});
  Give(i, rollout_machine::message(tick{}));
}

attempt_batch control_world::MakeAttempts(host& h) const {
  attempt_batch batch;
  for (int n = 0; n < kRequestsPerTick; ++n) {
    const version_id version =
        ChooseVersion(h.shares, request_id(++h.requests));
    if (version.is_valid()) {
      batch[{pool_id("pay"), route_id(0), version}].Add(
          is_bad_ && version == new_version, kLatency);
    }
  }
  return batch;
}

log_batch control_world::Read(log_offset from) const {
  log_batch batch{ConfigStream(),
                  {},
                  log_offset(first_),
                  log_offset(log_.size()),
                  retention_};
  for (std::size_t o = std::max<std::size_t>(from.value(), first_);
       o < log_.size(); ++o) {
    batch.records.push_back({log_offset(o), log_[o].text});
  }
  return batch;
}

void control_world::Give(std::size_t i, const config_machine::message& m) {
  std::vector<config_machine::effect> effects;
  hosts_[i].config->Step(m, Now(), effects);
  for (const auto& e : effects)
    std::visit([&](const auto& body) { Carry(i, body); }, e);
}

void control_world::Give(std::size_t i, const rollout_machine::message& m) {
  std::vector<rollout_machine::effect> effects;
  hosts_[i].rollout->Step(m, Now(), effects);
  for (const auto& e : effects)
    std::visit([&](const auto& body) { Carry(i, body); }, e);
}

// ---- Effects

void control_world::Carry(std::size_t i, const config_published& e) {
  hosts_[i].view = e.view;
  Give(i, rollout_config_changed{e.view});
}

void control_world::Carry(std::size_t i, const write_result& e) {
  WriteOf(i, "answers: " + std::visit(describe(), e.outcome));
}

void control_world::Carry(std::size_t i, const append_request& e) {
  const bool is_lost = std::exchange(loses_reply_, false);
  append_result result{
      .stream = e.stream,
      .token = e.token,
      .status = is_lost ? append_status::kUnknown : append_status::kAppended,
      .first = log_offset(log_.size())};
  if (is_lost)
    result.first = log_offset();
  for (const std::string& text : e.records) {
    WriteOf(i, fmt::format("config[{}] = {}{}", log_.size(),
                           std::visit(describe(), DecodeConfigRecord(text)),
                           is_lost ? ", its reply is lost" : ""));
    log_.push_back({text, now_});
  }
  hosts_[i].results.push_back(result);
}

void control_world::Carry(std::size_t i, const set_tail_offset& e) {
  hosts_[i].tail = e.from;
}

void control_world::Carry(std::size_t i, const log_readable_changed& e) {
  Give(i, rollout_log_changed{e.readable});
}

void control_world::Carry(std::size_t i, const propose_step& e) {
  Give(i, propose_move_step{e.move, e.revision, e.from_step, e.progress});
}

void control_world::Carry(std::size_t i, const share_changed& e) {
  hosts_[i].shares = e.shares;
  std::string line = "sends " + e.pool.value() + " to";
  for (const auto& [version, share] : e.shares)
    line += fmt::format(" {}: {}", version.value(), share);
  WriteOf(i, line);
}

void control_world::Carry(std::size_t i, const evidence_to_peers& e) {
  Give(1 - i, DecodePeerEvidence(EncodePeerEvidence(e.evidence)));
}

void control_world::Carry(std::size_t i, const rolled_back_to_peers& e) {
  WriteOf(i, "tells its peers: rolled back, " + e.rollback.reason);
  Give(1 - i, DecodePeerRollback(EncodePeerRollback(e.rollback)));
}

}  // namespace dotterellead::golden
