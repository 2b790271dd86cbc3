#include "entry_host.h"

#include <cstdlib>
#include <fstream>

#include "dotterellead/descriptors.h"
#include "entry_host_impl.h"

namespace dotterellead {
namespace {

constexpr milliseconds kBalanceTick{20};
constexpr milliseconds kClaimTick{20};
constexpr milliseconds kConfigTick{50};
constexpr milliseconds kRolloutTick{250};
constexpr milliseconds kDrainTick{50};
constexpr milliseconds kProbingTick{100};
constexpr milliseconds kHousekeepingTick{100};
constexpr std::size_t kOperatorThreads = 16;

struct resource_storer {
  config_view& view;
  std::string name;
  void operator()(const pool_spec& spec) const {
    view.pools[pool_id(name)] = {spec, view.through};
  }
  void operator()(const data_centre_spec& spec) const {
    view.data_centres[data_centre_id(name)] = {spec, view.through};
  }
  void operator()(const move_spec& spec) const {
    view.moves[move_id(name)] = {{spec, view.through}, {}};
  }
};

config_snapshot LoadResources(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    throw invalid_setting_error("--resources: cannot read " + file,
                                "name a readable file");
  }
  auto view = std::make_shared<config_view>();
  std::string line;
  std::uint64_t number = 0;
  while (std::getline(in, line)) {
    const resource r = ParseResource(line);
    view->through = log_offset(number++);
    std::visit(resource_storer{*view, r.name}, r.spec);
  }
  return view;
}

void MarkNotRun(http_answer& answer) {
  answer.headers.push_back({"dotterellead-run", "not-run"});
}

choice_policy_kind PolicyOf(const std::string& name) {
  if (name == "round_robin")
    return choice_policy_kind::kRoundRobin;
  if (name == "two_choices")
    return choice_policy_kind::kTwoChoices;
  return name == "leased" ? choice_policy_kind::kLeased
                          : choice_policy_kind::kForwarded;
}

// Counts a request for as long as it lives.
class in_flight_guard {
 public:
  explicit in_flight_guard(std::atomic<std::size_t>& count) : count_(count) {
    ++count_;
  }
  ~in_flight_guard() { --count_; }
  in_flight_guard(const in_flight_guard&) = delete;
  in_flight_guard& operator=(const in_flight_guard&) = delete;

 private:
  std::atomic<std::size_t>& count_;
};

}  // namespace

entry_host::impl::impl(settings s)
    : settings_(std::move(s)),
      incarnation_(static_cast<std::uint64_t>(clock_.Now().wall.value)),
      self_{settings_.name, incarnation_, settings_.data_centre,
            settings_.peer_address.ToString()},
      slots_(clock_, metrics_),
      claims_adapter_(clock_),
      admission_adapter_(clock_),
      transport_(clock_),
      homes_(clock_, directory_, settings_.peer_secret),
      links_({.secret = settings_.peer_secret}),
      view_({self_.id, self_.data_centre, incarnation_, clock_, feed_, state_,
             directory_, metrics_, [this] { return PeerStats(); }}),
      balance_("balance",
               balance_machine({.self = self_.id,
                                .data_centre = self_.data_centre,
                                .incarnation = incarnation_,
                                .policy = PolicyOf(settings_.choice_policy),
                                .seed = incarnation_.value(),
                                .standalone = !HasLog()}),
               clock_,
               kBalanceTick,
               Sink<balance_machine>()),
      membership_("membership",
                  membership_machine({self_, Seeds()}, clock_.Now()),
                  clock_,
                  limits::kGossipInterval,
                  Sink<membership_machine>()),
      config_("config",
              config_machine(self_.id.value() + "/" +
                             std::to_string(incarnation_.value())),
              clock_,
              kConfigTick,
              Sink<config_machine>()),
      claims_("idempotency",
              idempotency_machine(
                  {.member = self_.id, .incarnation = incarnation_}),
              clock_,
              kClaimTick,
              Sink<idempotency_machine>()),
      rollout_("rollout",
               rollout_with_counters(rollout_machine(self_.id, incarnation_),
                                     versions_.counters()),
               clock_,
               kRolloutTick,
               Sink<rollout_with_counters>()),
      admission_("admission",
                 admission_machine(),
                 clock_,
                 limits::kAdmissionTick,
                 Sink<admission_machine>()),
      measure_("measure",
               measure_machine(),
               clock_,
               limits::kMeasureTick,
               Sink<measure_machine>()),
      drain_("drain",
             drain_machine({.max_drain_time = settings_.shutdown_grace}),
             clock_,
             kDrainTick,
             Sink<drain_machine>()),
      probing_("probing",
               probe_relay(),
               clock_,
               kProbingTick,
               [this](probe_relay::effect& e) { DoProbe(e); }),
      housekeeping_("housekeeping",
                    chore_machine(),
                    clock_,
                    kHousekeepingTick,
                    [this](chore_machine::effect& e) {
                      std::visit([this](auto& chore) { DoChore(chore); }, e);
                    }),
      flow_({slots_, ClaimGateInUse(), admission_adapter_, versions_,
             transport_, homes_, metrics_, clock_,
             [this] { return state_.Serving(); },
             [this] { return state_.ends_at.load(); }}),
      callers_({.address = settings_.caller_address,
                .threads = settings_.caller_threads,
                .closes_idle_when_full = true,
                .body_budget = {(settings_.memory_mb << 20) *
                                limits::kBudgetPercent / 100},
                .max_connections = CallerShareOfDescriptors(
                    AllDescriptors(settings_.max_descriptors)),
                .decorate = MarkNotRun},
               [this](const http_request& request, const http_peer& caller) {
                 return Serve(request, caller);
               }),
      forwards_({.peer_address = settings_.peer_address,
                 .secret = settings_.peer_secret,
                 .decorate = MarkNotRun},
                [this](const http_request& request, const http_peer& caller) {
                  return ServeForwarded(request, caller);
                }),
      operator_api_(view_, clock_, settings_.operator_secret),
      operators_(
          {.address = settings_.operator_address, .threads = kOperatorThreads},
          [this](const http_request& request, const http_peer& peer) {
            return operator_api_.Handle(request, peer);
          }),
      peers_(
          {.address = settings_.peer_address, .secret = settings_.peer_secret},
          PeerMethods()) {
  slots_.Join(balance_, measure_);
  claims_adapter_.Join(claims_);
  admission_adapter_.Join(admission_);
  if (HasLog())
    OpenLog();
}

claim_gate& entry_host::impl::ClaimGateInUse() {
  if (HasLog())
    return claims_adapter_;
  return no_log_claims_;
}

std::vector<std::string> entry_host::impl::Seeds() const {
  std::vector<std::string> seeds;
  for (const socket_address& peer : settings_.peers) {
    if (peer != settings_.peer_address)
      seeds.push_back(peer.ToString());
  }
  return seeds;
}

peer_stats entry_host::impl::PeerStats() const {
  peer_stats sum = links_.stats();
  const peer_stats in = peers_.stats();
  sum.calls_in = in.calls_in;
  sum.bytes_in += in.bytes_in;
  sum.bytes_out += in.bytes_out;
  sum.unauthorized = in.unauthorized;
  return sum;
}

http_answer entry_host::impl::Serve(const http_request& request,
                                    const http_peer& caller) {
  const in_flight_guard guard(state_.in_flight);
  return flow_.Handle(request, caller);
}

http_answer entry_host::impl::ServeForwarded(const http_request& request,
                                             const http_peer& caller) {
  const in_flight_guard guard(state_.in_flight);
  return flow_.HandleForwarded(request, caller);
}

// ---- Start and stop

void entry_host::impl::OpenLog() {
  log_ = std::make_unique<http_log_client>(*settings_.log_address);
  config_stream_ = std::make_unique<stream_access>(
      *log_, ConfigStream(),
      [this](log_event&& news) {
        PassNews(std::move(news), *config_stream_, config_);
      },
      [this](append_result&& result) {
        DeliverSurely(config_, std::move(result));
      });
  members_stream_ = std::make_unique<stream_access>(
      *log_, stream_id(std::string(kMembersStream)),
      [this](log_event&& news) {
        PassNews(std::move(news), *members_stream_, membership_);
      },
      [this](append_result&& result) {
        DeliverSurely(membership_, std::move(result));
      });
  for (std::size_t i = 0; i < claim_streams_.size(); ++i) {
    claim_streams_[i] = std::make_unique<stream_access>(
        *log_, ClaimStream(claim_shard(i)),
        [this](log_event&& news) {
          DeliverSurely(claims_, DecodeClaimEvent(news));
        },
        [this](append_result&& result) {
          DeliverSurely(claims_, std::move(result));
        });
  }
}

void entry_host::impl::Start() {
  if (settings_.host_list_address) {
    host_list_ =
        std::make_unique<http_host_list_client>(*settings_.host_list_address);
  }
  StartDecisions();
  StartInputs();
}

void entry_host::impl::StartDecisions() {
  balance_.Start();
  admission_.Start();
  measure_.Start();
  drain_.Start();
  probing_.Start();
  housekeeping_.Start();
  if (!HasLog()) {
    const config_snapshot config = LoadResources(settings_.resources_file);
    feed_.Publish({.view = config, .changes = {}, .changes_complete = false});
    drain_.Post(declared_config{config});
    return;
  }
  membership_.Start();
  config_.Start();
  claims_.Start();
  rollout_.Start();
  view_.Join(config_);
}

void entry_host::impl::StartInputs() {
  operators_.Start();
  callers_.Start();
  if (!HasLog())
    return;
  forwards_.Start();
  peers_.Start();
  for (stream_access* stream : Streams())
    stream->Start();
  members_stream_->ReadFrom(log_offset(0));
}

void entry_host::impl::Stop() {
  drain_.Post(stop_requested{});
  const std::size_t cut = WaitForStopReady();
  if (cut > 0) {
    LogEvent(log_level::kWarning, "grace-time-over",
             {{"cut_requests", std::to_string(cut)}});
    // Their threads still wait for backend servers; nothing else is left to
    // save.
    std::quick_exit(0);
  }
  callers_.Stop();
  if (HasLog())
    forwards_.Stop();
  operators_.Stop();
  StopInputs();
  StopDecisions();
}

void entry_host::impl::StopInputs() {
  if (HasLog()) {
    peers_.Stop();
    for (stream_access* stream : Streams())
      stream->Stop();
  }
  links_.Stop();
  feed_.Close();
}

void entry_host::impl::StopDecisions() {
  probing_.Stop();
  housekeeping_.Stop();
  rollout_.Stop();
  claims_.Stop();
  config_.Stop();
  membership_.Stop();
  drain_.Stop();
  measure_.Stop();
  admission_.Stop();
  balance_.Stop();
}

std::vector<stream_access*> entry_host::impl::Streams() {
  std::vector<stream_access*> streams = {config_stream_.get(),
                                         members_stream_.get()};
  for (const auto& stream : claim_streams_)
    streams.push_back(stream.get());
  return streams;
}

std::size_t entry_host::impl::WaitForStopReady() {
  std::unique_lock lock(stop_mutex_);
  stop_changed_.wait(lock, [this] { return stop_cut_.has_value(); });
  return *stop_cut_;
}

entry_host::entry_host(settings s)
    : impl_(std::make_unique<impl>(std::move(s))) {}

entry_host::~entry_host() = default;

void entry_host::Start() {
  impl_->Start();
}

void entry_host::Stop() {
  impl_->Stop();
}

}  // namespace dotterellead
