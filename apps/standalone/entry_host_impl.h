// Inside of an entry host: its duties, and what each does with the effects of
// the others.
#ifndef DOTTERELLEAD_ENTRY_HOST_IMPL_H_
#define DOTTERELLEAD_ENTRY_HOST_IMPL_H_

#include <array>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include "chores.h"
#include "dotterellead/drain.h"
#include "dotterellead/metrics.h"
#include "dotterellead/operate.h"
#include "dotterellead/peer.h"
#include "entry_host.h"
#include "forwarding.h"
#include "host_reports.h"
#include "log_access.h"
#include "operator_view.h"
#include "peer_directory.h"
#include "prober.h"
#include "request_adapters.h"
#include "slot_adapter.h"

namespace dotterellead {

// Refuses non-idempotent requests, which cannot be made safe without the
// platform's log.
class no_log_claim_gate : public claim_gate {
 public:
  claim_decision Begin(const idempotency_key&,
                       std::uint64_t,
                       time_point) override {
    return claim_refusal{503, run_state::kNotRun,
                         "this entry host has no platform log",
                         "start it with --log-address"};
  }
  void Finish(const idempotency_key&, const http_answer&, run_state) override {}
  void Void(const idempotency_key&) override {}
};

// Posts a message that must not be lost. Between duties, rings drain within
// milliseconds.
template <class Duty, class Message>
void DeliverSurely(Duty& to, Message m) {
  constexpr milliseconds kWait{1'000};
  if (!to.PostUntil(std::move(m), std::chrono::steady_clock::now() + kWait))
    LogEvent(log_level::kWarning, "duty-message-lost");
}

class entry_host::impl {
 public:
  explicit impl(settings s);

  void Start();
  void Stop();

 private:
  using probe_relay = stateless_machine<send_probe>;

  bool HasLog() const { return settings_.log_address.has_value(); }
  claim_gate& ClaimGateInUse();
  std::vector<std::string> Seeds() const;
  peer_stats PeerStats() const;

  // Hands a stream's news to its duty. A truncated stream is read on from its
  // start; the duty sees the gap by the batch's first offset.
  template <class Duty>
  void PassNews(log_event&& news, stream_access& stream, Duty& to) {
    if (const auto* truncated = std::get_if<log_truncated>(&news)) {
      LogEvent(log_level::kWarning, "log-truncated",
               {{"stream", truncated->stream.value()},
                {"asked", std::to_string(truncated->requested.value())},
                {"first", std::to_string(truncated->first.value())}});
      stream.ReadFrom(truncated->first);
    } else if (auto* batch = std::get_if<log_batch>(&news)) {
      DeliverSurely(to, std::move(*batch));
    } else {
      DeliverSurely(to, std::get<log_unavailable>(std::move(news)));
    }
  }

  // Start and stop.
  void OpenLog();
  void StartDecisions();
  void StartInputs();
  void StopInputs();
  void StopDecisions();
  std::size_t WaitForStopReady();
  std::vector<stream_access*> Streams();
  http_answer Serve(const http_request& request, const http_peer& caller);
  http_answer ServeForwarded(const http_request& request,
                             const http_peer& caller);

  // A sink that hands each effect to the overload of Carry for its type.
  template <class Machine>
  std::function<void(typename Machine::effect&)> Sink() {
    return [this](typename Machine::effect& e) {
      std::visit([this](auto& alternative) { this->Carry(alternative); }, e);
    };
  }

  // Balance.
  void Carry(assigned& e);
  void Carry(forwarded& e);
  void Carry(acquire_rejected& e);
  void Carry(home_load_changed& e);
  void Carry(send_to_peer& e);
  void Carry(balance_report& e);
  // Membership.
  void Carry(send_gossip& e);
  void Carry(respond_to_gossip& e);
  void Carry(epoch_changed& e);
  void Carry(grant_right& e);
  void Carry(peers_changed& e);
  void Carry(peer_lost& e);
  // Config and membership; each appends to its own stream.
  void Carry(append_request& e);
  // Config.
  void Carry(config_published& e);
  void Carry(write_result& e);
  void Carry(set_tail_offset& e);
  void Carry(fetch_from_peer& e);
  void Carry(peer_answer& e);
  void Carry(log_readable_changed& e);
  // Idempotency.
  void Carry(claim_result& e);
  void Carry(claim_finished& e);
  void Carry(append_claim_records& e);
  void Carry(set_claim_tail& e);
  // Rollout.
  void Carry(propose_step& e);
  void Carry(share_changed& e);
  void Carry(evidence_to_peers& e);
  void Carry(rolled_back_to_peers& e);
  // Admission.
  void Carry(begin_decision& e);
  void Carry(retry_decision& e);
  void Carry(crash_decision& e);
  void Carry(mark_struck& e);
  void Carry(unmark_struck& e);
  void Carry(admission_send& e);
  void Carry(admission_event& e);
  // Measure.
  void Carry(send_probe& e);
  void Carry(load_estimate& e);
  void Carry(probe_suspected& e);
  // Drain.
  void Carry(effective_config& e);
  void Carry(draining_started& e);
  void Carry(drained& e);

  // Blocking work of the probing and housekeeping duties.
  void DoProbe(probe_relay::effect& e);
  void DoChore(peer_lost& e);
  void DoChore(count_requests& e);
  void DoChore(read_host_list& e);
  void DoChore(roll_statistics& e);

  // What follows from several duties' reports.
  void PostLiveMembers();
  void PostHomedServers(const balance_report& report);
  void PostCapacity(const balance_report& report);

  // Between hosts.
  peer_methods PeerMethods();
  std::string AnswerGossip(const std::string& params);
  std::string AnswerFetch(const std::string& params);
  void TakeGossipReply(const std::string& address,
                       time_point sent_at,
                       const std::optional<std::string>& result);
  void TakeFetched(const std::optional<std::string>& result);
  void SendTo(const member_id& to,
              const std::string& method,
              std::string params);
  void SendToAll(const std::string& method,
                 const std::string& params,
                 peer_connections::merge policy);

  settings settings_;
  system_clock_source clock_;
  incarnation_id incarnation_;
  member_run self_;
  host_reports state_;
  config_feed feed_;
  peer_directory directory_;
  request_metrics metrics_;
  slot_adapter slots_;
  claim_adapter claims_adapter_;
  no_log_claim_gate no_log_claims_;
  admission_adapter admission_adapter_;
  version_adapter versions_;
  pooled_transport transport_;
  home_sender homes_;
  prober prober_;
  std::unique_ptr<http_log_client> log_;
  std::unique_ptr<http_host_list_client> host_list_;
  std::unique_ptr<stream_access> config_stream_;
  std::unique_ptr<stream_access> members_stream_;
  std::array<std::unique_ptr<stream_access>, limits::kClaimShards>
      claim_streams_;
  peer_connections links_;
  operator_view view_;

  // When this host became the home of each server. Used by the balance duty's
  // thread only.
  std::map<server_id, time_point> home_since_;

  std::atomic<std::uint64_t> next_peer_call_{1};
  pending_responses<self_report> gossip_answers_;
  pending_responses<peer_state> fetch_answers_;

  duty<balance_machine> balance_;
  duty<membership_machine> membership_;
  duty<config_machine> config_;
  duty<idempotency_machine> claims_;
  duty<rollout_with_counters> rollout_;
  duty<admission_machine> admission_;
  duty<measure_machine> measure_;
  duty<drain_machine> drain_;
  duty<probe_relay> probing_;
  duty<chore_machine> housekeeping_;

  request_flow flow_;
  http_listener callers_;
  forward_listener forwards_;
  operator_api operator_api_;
  http_listener operators_;
  peer_listener peers_;

  std::mutex stop_mutex_;
  std::condition_variable stop_changed_;
  std::optional<std::size_t> stop_cut_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_ENTRY_HOST_IMPL_H_
