#include "session_world.h"

#include <fmt/core.h>

namespace dotterellead::golden {
namespace {

constexpr std::int64_t kStartWallMs = 1'800'000'000'000;
constexpr milliseconds kTick{20};
constexpr milliseconds kRetention{24 * 3'600'000};

config_snapshot MakeConfig() {
  auto view = std::make_shared<config_view>();
  view->through = log_offset(0);
  view->pools[pool_id("pay")].spec = {
      .tenant = tenant_id("ninho"),
      .routes = {{"GET", "/", true}, {"POST", "/", false}},
      .servers = {{.address = server_id("127.0.0.1:1"),
                   .data_centre = data_centre_id("a"),
                   .version = version_id("v1"),
                   .slots = 2},
                  {.address = server_id("127.0.0.1:2"),
                   .data_centre = data_centre_id("a"),
                   .version = version_id("v1"),
                   .slots = 2}}};
  return view;
}

// The same key for the same name in every run: a version 7 UUID of the
// session's start.
std::string KeyOf(const std::string& name) {
  const auto created = static_cast<std::uint64_t>(kStartWallMs);
  return fmt::format("{:08x}-{:04x}-7000-8000-{:012x}", created >> 16,
                     created & 0xffff, StableHash(name) & 0xffffffffffffULL);
}

}  // namespace

class session_world::fake_clock : public clock_source {
 public:
  timestamp Now() const override {
    return {time_point(now), unix_millis{kStartWallMs + now.count()}};
  }
  milliseconds now{10'000};
};

// The balance machine as a single host, stepped in place.
class session_world::fake_slots : public slot_source {
 public:
  fake_slots(session_world& world, fake_clock& clock)
      : world_(world), clock_(clock) {
    Step(config_changed{MakeConfig()});
    // Servers count as cold until they are reported warm.
    for (const char* server : {"127.0.0.1:1", "127.0.0.1:2"})
      Step(load_report{.server = server_id(server)});
  }
  std::variant<assigned, forwarded, acquire_rejected> Acquire(
      const acquire& wanted) override {
    auto effects = Step(wanted);
    while (true) {
      for (const auto& e : effects) {
        if (const auto* a = std::get_if<assigned>(&e))
          return Note(*a);
        if (const auto* r = std::get_if<acquire_rejected>(&e))
          return *r;
      }
      clock_.now += kTick;
      effects = Step(tick{});
    }
  }
  void Release(const release& r) override {
    world_.Write(fmt::format("  slot released after {}", to_string(r.result)));
    Step(r);
  }
  void EndForward(const forward_ended&) override {}
  home_load LoadOf(const pool_id&) override { return {}; }

 private:
  assigned Note(const assigned& a) {
    world_.Write(fmt::format("  slot {} of {} assigned", a.slot.value(),
                             a.server.value()));
    return a;
  }
  std::vector<balance_machine::effect> Step(const balance_machine::message& m) {
    std::vector<balance_machine::effect> out;
    machine_.Step(m, clock_.Now(), out);
    return out;
  }

  session_world& world_;
  fake_clock& clock_;
  balance_machine machine_;
};

// The idempotency machine over a log in memory, stepped in place.
class session_world::fake_claims : public claim_gate {
 public:
  fake_claims(session_world& world, fake_clock& clock)
      : world_(world),
        clock_(clock),
        machine_(
            {.member = member_id("h1"), .incarnation = incarnation_id(1)}) {
    Step(live_members{{{member_id("h1"), incarnation_id(1)}}, 1});
    Run(3);
  }

  claim_decision Begin(const idempotency_key& key,
                       std::uint64_t fingerprint,
                       time_point deadline) override {
    const request_id request(next_++);
    answer_.reset();
    Step(begin_claim{request, key, fingerprint, deadline});
    while (!answer_ && clock_.Now().steady < deadline + kTick)
      Run(1);
    if (!answer_)
      return claim_refusal{504, run_state::kUnknown, "no decision", "resend"};
    return Decision(answer_->decision);
  }
  void Finish(const idempotency_key& key,
              const http_answer& answer,
              run_state run) override {
    saved_outcome outcome = MakeSavedOutcome(answer);
    outcome.run = run;
    Step(finish_claim{request_id(next_++), key, outcome});
    Run(2);
  }
  void Void(const idempotency_key& key) override {
    Step(void_claim{key});
    Run(2);
  }

  void Run(int ticks) {
    for (int i = 0; i < ticks; ++i) {
      clock_.now += kTick;
      Deliver();
      Step(tick{});
    }
  }

  log_mode mode = log_mode::kUp;

 private:
  static claim_decision Decision(const decltype(claim_result::decision)& d) {
    if (const auto* saved = std::get_if<saved_outcome>(&d))
      return saved_answer{{saved->status, saved->headers, saved->body},
                          saved->truncated};
    if (const auto* no = std::get_if<claim_denied>(&d))
      return claim_refusal{no->status, no->run, no->problem, no->remedy};
    return claim_won{};
  }

  void Step(const idempotency_machine::message& m) {
    std::vector<idempotency_machine::effect> out;
    machine_.Step(m, clock_.Now(), out);
    for (auto& e : out)
      std::visit([this](const auto& effect) { Carry(effect); }, e);
  }
  void Carry(const claim_result& e) { answer_ = e; }
  void Carry(const claim_finished&) {}
  void Carry(const set_claim_tail& e) { read_from_[e.shard] = e.offset; }
  void Carry(const append_claim_records& e) {
    append_result result{.stream = ClaimStream(e.shard), .token = e.token};
    std::vector<claim_log_record>& log = logs_[e.shard];
    if (mode == log_mode::kDown) {
      world_.Write("  append refused: the log is down");
      result.status = append_status::kRejected;
    } else {
      result.status = mode == log_mode::kUp ? append_status::kAppended
                                            : append_status::kUnknown;
      result.first = log_offset(log.size());
      for (const claim_log_record& record : e.records)
        Append(record, ClaimStream(e.shard).value(), log);
    }
    results_.push_back(result);
  }
  void Append(const claim_log_record& record,
              const std::string& stream,
              std::vector<claim_log_record>& log) {
    static constexpr const char* kNames[] = {"claim", "void", "outcome"};
    world_.Write(fmt::format(
        "  {}[{}] = {}{}", stream, log.size(), kNames[record.index()],
        mode == log_mode::kUp ? "" : ", its reply is lost"));
    log.push_back(record);
  }

  // Hands over append results and what every shard holds beyond the offset read
  // so far.
  void Deliver() {
    for (const append_result& result : std::exchange(results_, {}))
      Step(result);
    for (std::uint64_t i = 0; i < limits::kClaimShards; ++i) {
      const claim_shard shard(i);
      if (mode == log_mode::kDown) {
        Step(claim_shard_unavailable{shard});
        continue;
      }
      Step(Batch(shard));
    }
  }
  claim_batch Batch(claim_shard shard) {
    const std::vector<claim_log_record>& log = logs_[shard];
    claim_batch batch{.shard = shard,
                      .records = {},
                      .first = log_offset(0),
                      .next = log_offset(log.size()),
                      .retention = kRetention};
    log_offset& from = read_from_.try_emplace(shard, 0).first->second;
    for (; from.value() < log.size(); from = from.next())
      batch.records.push_back({from, log[from.value()]});
    return batch;
  }

  session_world& world_;
  fake_clock& clock_;
  idempotency_machine machine_;
  std::map<claim_shard, std::vector<claim_log_record>> logs_;
  std::map<claim_shard, log_offset> read_from_;
  std::vector<append_result> results_;
  std::optional<claim_result> answer_;
  std::uint64_t next_ = 1;
};

class session_world::open_admission : public admission_gate {
 public:
  bool Begin(const pool_id&, request_fingerprint, time_point) override {
    return true;
  }
  bool TakeRetry(const pool_id&) override { return true; }
  bool RecordCrash(request_fingerprint, const server_id&) override {
    return false;
  }
  void End(request_fingerprint, bool) override {}
};

class session_world::any_version : public version_chooser {
 public:
  version_id Choose(const pool_id&, const route_id&, request_id) override {
    return version_id();
  }
  void Record(const pool_id&,
              const route_id&,
              const version_id&,
              bool,
              microseconds) override {}
};

class session_world::fake_backends : public backend_transport {
 public:
  fake_backends(session_world& world, fake_clock& clock)
      : world_(world), clock_(clock) {}
  attempt Send(const server_id& server,
               const http_request& request,
               const attempt_limits&,
               const http_peer&) override {
    const server_mode mode = Next();
    attempt a;
    a.latency = milliseconds(5);
    clock_.now += milliseconds(5);
    switch (mode) {
      case server_mode::kAnswers:
        a.result.answer = {
            200, {{"server-state", "warm"}}, fmt::format("run {}", ++runs_)};
        break;
      case server_mode::kFails:
        a.result.answer = {500,
                           {{"server-state", "warm"}},
                           fmt::format("run {} failed", ++runs_)};
        break;
      case server_mode::kSheds:
        a.result.answer = {
            503, {{"server-state", "warm"}, {"request-run", "not-run"}}, ""};
        break;
      case server_mode::kRefuses:
        a.result.failure = send_failure::kConnect;
        break;
      case server_mode::kCuts:
        ++runs_;
        a.result.failure = send_failure::kCut;
        break;
      case server_mode::kSilent:
        ++runs_;
        a.result.failure = send_failure::kTimeout;
        break;
    }
    world_.Write(fmt::format(
        "  {} sent to {}: {}, runs so far {}", request.method, server.value(),
        a.result.ok() ? std::to_string(a.result.answer.status)
                      : std::string(to_string(a.result.failure)),
        runs_));
    return a;
  }
  std::deque<server_mode> modes;

 private:
  server_mode Next() {
    if (modes.empty())
      return server_mode::kAnswers;
    const server_mode mode = modes.front();
    modes.pop_front();
    return mode;
  }
  session_world& world_;
  fake_clock& clock_;
  int runs_ = 0;
};

class session_world::no_observer : public request_observer {
 public:
  void Answered(const tenant_id&,
                const pool_id&,
                const route_id&,
                int,
                microseconds,
                microseconds) override {}
  void Refused(const tenant_id&, std::string_view) override {}
  void Forwarded(std::string_view) override {}
};

// A single host forwards nothing.
class session_world::no_homes : public home_transport {
 public:
  attempt Send(const member_id&,
               http_request,
               const attempt_limits&,
               const http_peer&) override {
    return {.result = {}, .not_sent = true};
  }
};

class session_world::present_caller : public http_peer {
 public:
  bool IsGone() const override { return false; }
  void Abort() const override {}
  std::uint64_t connection_number() const override { return 1; }
};

session_world::session_world()
    : clock_(std::make_unique<fake_clock>()),
      slots_(std::make_unique<fake_slots>(*this, *clock_)),
      claims_(std::make_unique<fake_claims>(*this, *clock_)),
      admission_(std::make_unique<open_admission>()),
      versions_(std::make_unique<any_version>()),
      backends_(std::make_unique<fake_backends>(*this, *clock_)),
      homes_(std::make_unique<no_homes>()),
      observer_(std::make_unique<no_observer>()) {
  config_snapshot config = MakeConfig();
  flow_ = std::make_unique<request_flow>(
      flow_parts{*slots_, *claims_, *admission_, *versions_, *backends_,
                 *homes_, *observer_, *clock_, [config] { return config; }});
}

session_world::~session_world() = default;

void session_world::Write(const std::string& line) {
  transcript_ += line + "\n";
}

void session_world::Request(const std::string& method,
                            const std::string& key_name,
                            const std::string& body) {
  Write(fmt::format("caller: {} key={} body={}", method,
                    key_name.empty() ? "none" : key_name, body));
  http_request request{
      method, "/transfers", {{"request-timeout-ms", "1000"}}, body};
  if (!key_name.empty())
    request.headers.push_back({"Idempotency-Key", KeyOf(key_name)});
  const http_answer answer = flow_->Handle(request, present_caller());
  const std::string* run = FindHeader(answer.headers, "dotterellead-run");
  const std::string text = answer.body.substr(0, answer.body.find('\n'));
  Write(fmt::format("answer: {}{} {}", answer.status,
                    run == nullptr ? "" : " " + *run, text));
}

void session_world::SetLog(log_mode mode) {
  static constexpr const char* kNames[] = {"up", "losing replies", "down"};
  Write(fmt::format("log: {}", kNames[static_cast<int>(mode)]));
  claims_->mode = mode;
  Wait(milliseconds(100));
}

void session_world::SetServers(std::deque<server_mode> modes) {
  backends_->modes = std::move(modes);
}

void session_world::Wait(milliseconds time) {
  claims_->Run(static_cast<int>(time / kTick));
}

}  // namespace dotterellead::golden
