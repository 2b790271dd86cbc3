#include "entry_host.h"

#include <fstream>

#include "dotterellead/config.h"
#include "dotterellead/proxy.h"
#include "slot_adapter.h"

namespace dotterellead {
namespace {

constexpr milliseconds kBalanceTick{20};

struct resource_storer {
  config_view& view;
  std::string name;
  log_offset revision;
  void operator()(const pool_spec& spec) const {
    view.pools[pool_id(name)] = {spec, revision};
  }
  void operator()(const data_centre_spec& spec) const {
    view.data_centres[data_centre_id(name)] = {spec, revision};
  }
  void operator()(const move_spec& spec) const {
    view.moves[move_id(name)] = {{spec, revision}, {}};
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
    std::visit(resource_storer{*view, r.name, log_offset(number++)}, r.spec);
  }
  return view;
}

}  // namespace

// Without the platform's log a non-idempotent request cannot be made safe, so
// it is refused.
class no_log_claim_gate : public claim_gate {
 public:
  claim_decision Begin(const idempotency_key&,
                       std::uint64_t,
                       time_point) override {
    return claim_refusal{503, run_state::kNotRun,
                         "this entry host has no platform log",
                         "start it with --log-address"};
  }
  void Finish(const idempotency_key&, const http_answer&) override {}
  void Void(const idempotency_key&) override {}
};

// Without the log there are no moves, so any version may serve.
class any_version_chooser : public version_chooser {
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

class open_admission_gate : public admission_gate {
 public:
  bool Begin(const pool_id&, request_fingerprint, time_point) override {
    return true;
  }
  bool TakeRetry(const pool_id&) override { return false; }
  bool RecordCrash(request_fingerprint, const server_id&) override {
    return false;
  }
  void End(request_fingerprint) override {}
};

class silent_observer : public request_observer {
 public:
  void Answered(const tenant_id&,
                const pool_id&,
                const route_id&,
                int,
                microseconds,
                microseconds) override {}
  void Refused(const tenant_id&, std::string_view) override {}
};

void MarkNotRun(http_answer& answer) {
  answer.headers.push_back({"dotterellead-run", "not-run"});
}

class entry_host::impl {
 public:
  explicit impl(settings s)
      : settings_(std::move(s)),
        slots_(clock_),
        transport_(clock_),
        balance_("balance",
                 balance_machine(),
                 clock_,
                 kBalanceTick,
                 [this](balance_machine::effect& e) {
                   std::visit(
                       overloaded{
                           [this](assigned& answer) { slots_.Deliver(answer); },
                           [this](refused& answer) { slots_.Deliver(answer); },
                           [](auto&) {},
                       },
                       e);
                 }),
        flow_({slots_, claims_, admission_, versions_, transport_, observer_,
               clock_, [this] { return config_; }}),
        callers_({.address = settings_.caller_address,
                  .threads = settings_.caller_threads,
                  .decorate = MarkNotRun},
                 [this](const http_request& request, const http_peer& caller) {
                   return flow_.Handle(request, caller);
                 }) {
    slots_.Join(balance_);
  }

  void Start() {
    config_ = LoadResources(settings_.resources_file);
    balance_.Post(config_changed{config_});
    balance_.Start();
    callers_.Start();
  }

  void Stop() {
    callers_.Stop();
    balance_.Stop();
  }

 private:
  settings settings_;
  system_clock_source clock_;
  config_snapshot config_;
  slot_adapter slots_;
  pooled_transport transport_;
  duty<balance_machine> balance_;
  no_log_claim_gate claims_;
  any_version_chooser versions_;
  open_admission_gate admission_;
  silent_observer observer_;
  request_flow flow_;
  http_listener callers_;
};

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
