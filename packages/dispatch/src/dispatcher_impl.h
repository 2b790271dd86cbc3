#ifndef DOTTERELLEAD_DISPATCH_DISPATCHER_IMPL_H_
#define DOTTERELLEAD_DISPATCH_DISPATCHER_IMPL_H_

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cold_start_limiter.h"
#include "customer_access.h"
#include "customer_shares.h"
#include "dotterellead/dispatch.h"
#include "placement.h"
#include "poison_request_detector.h"
#include "probe_budget.h"
#include "probe_statistics.h"
#include "retry_allowance.h"
#include "retry_budget.h"
#include "run_count.h"
#include "server_availability.h"
#include "shared_pools.h"
#include "version_filter.h"

namespace dotterellead::dispatch {

class dispatcher::impl {
 public:
  explicit impl(dispatch_settings settings);

  void Step(const message& m, const timestamp& now, std::vector<effect>& out);
  std::optional<time_point> NextDeadline() const;
  std::size_t open_requests() const { return requests_.size(); }

 private:
  using effects = std::vector<effect>;

  // How long a request waits for the first configuration. A host that has just
  // started receives it within milliseconds.
  static constexpr milliseconds kConfigurationWait{300};

  enum class request_phase { kProbing, kQueued, kSent };

  struct timed_sample {
    load_sample sample;
    // When the probe was sent.
    time_point probed_at;
  };

  // A request that arrived before the first configuration.
  struct deferred_request {
    request_arrived message;
    time_point arrived_at;
  };

  // The requests of one pool that wait for a free slot. They share one probe
  // round at a time.
  struct pool_queue {
    std::vector<request_id> requests;
    // The probe round in progress; invalid if none is.
    request_id probe_id;
    time_point probed_at;
    time_point next_probe_at;
    // Time between probe rounds; grows while no server responds.
    milliseconds probe_interval{0};
  };

  // A request without a final response.
  struct request_state {
    std::string caller_request_id;
    request_fingerprint fingerprint;
    access::credential credential;
    // Of the key's owner when the request was checked last.
    customer_id customer;
    int priority = 0;
    run_count counted;
    // Keeps `route` alive through configuration changes.
    catalog::configuration_ptr config;
    const catalog::route* route = nullptr;
    pool_id pool;
    bool is_trial = false;
    request_phase phase = request_phase::kProbing;
    time_point arrived_at;
    // Deadline of the route's latency target.
    time_point target_deadline;
    // When the request is rejected at the latest.
    time_point deadline;
    // When the caller's own timeout expires.
    time_point caller_deadline;
    // When the request is rejected if it is still queued.
    time_point queue_deadline;
    time_point probed_at;
    int probe_rounds = 0;
    int attempts = 0;
    // Whether an earlier, ended attempt may have run.
    bool earlier_attempt_may_have_run = false;
    bool is_caller_disconnected = false;
    // Whether a free slot was left to more urgent requests.
    bool is_held_back = false;
    std::set<server_id> tried_servers;
    // The server of the current attempt, and the load and latency that were
    // predicted for it.
    server_id server;
    unix_millis server_started_at;
    version_id server_version;
    load_report load_at_send;
    milliseconds predicted_latency{0};
    time_point sent_at;
    std::map<server_id, timed_sample> samples;

    bool may_have_run() const {
      return earlier_attempt_may_have_run || phase == request_phase::kSent;
    }
    server_run run() const { return {server, server_started_at}; }
  };

  void On(const request_arrived& m, const timestamp& now, effects& out);
  void On(const probes_completed& m, const timestamp& now, effects& out);
  void On(const attempt_ended& m, const timestamp& now, effects& out);
  void On(const server_notice& m, const timestamp& now, effects& out);
  void On(const caller_disconnected& m, const timestamp& now, effects& out);
  void On(const catalog_changed& m, const timestamp& now, effects& out);
  void On(const config_confirmed& m, const timestamp& now, effects& out);
  void On(const move_share_changed& m, const timestamp& now, effects& out);
  void On(const live_hosts_changed& m, const timestamp& now, effects& out);
  void On(const crash_reported& m, const timestamp& now, effects& out);
  void On(const pool_view_changed& m, const timestamp& now, effects& out);
  void On(const shutdown_started& m, const timestamp& now, effects& out);
  void On(const tick& m, const timestamp& now, effects& out);

  // Routing (routing.cc).
  void RouteRequest(const request_arrived& m,
                    time_point arrived_at,
                    const timestamp& now,
                    effects& out);
  // Checks the request's key against the configuration in force, and rejects it
  // if it may not be sent.
  std::optional<customer_access::decision> CheckAccess(request_id id,
                                                       request_state& request,
                                                       const timestamp& now,
                                                       effects& out);
  // Routes the deferred requests once there is a configuration, and rejects
  // those that have waited too long.
  void ProcessDeferredRequests(const timestamp& now, effects& out);
  pool_id SelectPool(const catalog::route& route);
  milliseconds EstimatePriorWait(const catalog::route& route,
                                 std::optional<milliseconds> caller_timeout);
  bool SelectTrial(const pool_id& pool);
  const version_rule& VersionRuleOf(const pool_id& pool) const;

  void RebuildServerOrder();
  void UpdateProbeRate(const timestamp& now);
  void SortByPreference(
      std::vector<const catalog::backend_server*>& servers) const;
  std::uint32_t MaxIdleConnectionsTo(
      const catalog::backend_server& server) const;
  server_ref MakeServerRef(const catalog::backend_server& server) const;

  // Probing and placement (probing.cc).
  // Whether the operators let requests go to the server: its data centre is
  // open, and its version takes requests that are, or are not, in a trial.
  bool IsOpen(const catalog::backend_server& server,
              const version_rule& rule,
              bool is_trial) const;
  // Whether servers that failed recently are used for the request too: if most
  // seem faulty, the fault is more likely elsewhere.
  bool UsesAvoidedServers(const request_state& request,
                          const timestamp& now) const;
  // Whether the request may be sent to the server now.
  bool IsEligible(const request_state& request,
                  const catalog::backend_server& server,
                  bool uses_avoided,
                  const timestamp& now) const;
  // Returns up to `max` eligible servers that the request has no sample of, in
  // this host's order of preference.
  std::vector<const catalog::backend_server*> UnsampledServers(
      const request_state& request,
      std::size_t max,
      const timestamp& now) const;
  // Returns the sampled servers that are eligible, in the same order.
  std::vector<const catalog::backend_server*> SampledServers(
      const request_state& request,
      const std::map<server_id, timed_sample>& samples,
      const timestamp& now) const;
  // When the first backoff of a pool's servers ends, if all that do not leave
  // are backing off; nullopt if one is usable now or all leave.
  std::optional<time_point> EarliestReturn(const pool_id& pool,
                                           bool is_trial,
                                           const timestamp& now) const;
  void StartProbing(request_id id,
                    request_state& request,
                    const timestamp& now,
                    effects& out);
  void PlaceRequest(request_id id,
                    request_state& request,
                    const timestamp& now,
                    effects& out);
  bool TryAcquireServer(const request_state& request,
                        const load_sample& sample,
                        const catalog::backend_server& server,
                        const timestamp& now,
                        bool is_cold_allowed);
  void SendAttempt(request_id id,
                   request_state& request,
                   const candidate& to,
                   milliseconds predicted,
                   const timestamp& now,
                   effects& out);
  // Results of a probe round for a pool's queue, and of a probe that checks
  // whether a server has crashed.
  void HandleQueueProbes(const pool_id& pool,
                         const probes_completed& m,
                         const timestamp& now,
                         effects& out);
  void HandleCrashCheck(request_fingerprint fingerprint,
                        const probes_completed& m,
                        const timestamp& now,
                        effects& out);
  void RecordProbes(const pool_id& pool,
                    const std::vector<load_sample>& samples,
                    const timestamp& now);
  // Requests of this host that are in flight to `server`.
  std::uint32_t OwnRequestsOn(const server_id& server) const;
  // Attempts that this host sent to `server` since `probed_at`, which a sample
  // of that time does not include.
  std::uint32_t OwnAttemptsSince(const server_id& server,
                                 time_point probed_at) const;
  std::vector<candidate> WarmCandidates(
      request_state& request,
      const std::map<server_id, timed_sample>& samples,
      const timestamp& now);
  // Whether the server has a free slot for the request beyond the reserve for
  // more urgent ones.
  bool HasSlotFor(request_state& request,
                  const catalog::backend_server& server,
                  const load_report& load) const;
  bool TrySendToColdServer(request_id id,
                           request_state& request,
                           const std::map<server_id, timed_sample>& samples,
                           const timestamp& now,
                           effects& out);

  // Queueing (queueing.cc).
  void Enqueue(request_id id,
               request_state& request,
               const timestamp& now,
               effects& out);
  // Whether the request cannot wait for servers that return at `returns_at`.
  bool IsReturnTooLate(const request_state& request,
                       std::optional<time_point> returns_at);
  // Rejects the requests of a pool's queue for which this is so.
  void RejectUnservable(const pool_id& pool,
                        const timestamp& now,
                        effects& out);
  // Whether even an idle server would respond after the latency target.
  bool WillMissTarget(const request_state& request, const timestamp& now);
  // Latest completion time for which it is worth giving a slot to the request
  // now.
  time_point LatestUsefulCompletion(const request_state& request,
                                    milliseconds service_time,
                                    bool are_all_slow,
                                    const timestamp& now);
  // Whether every sampled server is considerably slower than normal.
  static bool AreAllSlow(const std::map<server_id, timed_sample>& samples);
  // The queued requests of a pool in the order in which they get slots.
  std::vector<request_id> QueuedInServiceOrder(const pool_id& pool,
                                               const timestamp& now);
  // The servers that the next probe round for the pool's queue probes.
  std::vector<const catalog::backend_server*> SelectServersToProbe(
      const pool_id& pool,
      const timestamp& now);
  void ProbeForQueue(const pool_id& pool, const timestamp& now, effects& out);
  void PlaceQueuedRequests(const pool_id& pool,
                           const std::map<server_id, timed_sample>& samples,
                           const timestamp& now,
                           effects& out);
  candidate MakeCandidate(const catalog::backend_server& server,
                          const timed_sample& sample) const;
  probe_servers MakeProbe(
      request_id id,
      const std::vector<const catalog::backend_server*>& servers,
      milliseconds timeout) const;
  milliseconds RetryAfter(const request_state& request, const timestamp& now);
  // Logs that the request was rejected in favour of more urgent ones, if so.
  void ReportFavoured(const request_state& request,
                      reject_reason reason,
                      const timestamp& now,
                      effects& out);
  milliseconds AfterReturn(time_point returns_at, const timestamp& now);

  // Results (attempts.cc).
  void RecordOutcome(const request_state& request,
                     const attempt_ended& m,
                     const timestamp& now,
                     effects& out);
  // Probes the server of a lost connection to find out whether it has crashed.
  void StartCrashCheck(const request_state& request,
                       const timestamp& now,
                       effects& out);
  // Emits version_observed if the request's pool has a move.
  void ObserveVersion(const request_state& request,
                      bool is_failure,
                      const timestamp& now,
                      effects& out);
  // Whether the request may still be in progress when this host has to end it.
  bool MayOutlastHost(const request_state& request) const;
  // Whether the request may be sent to another server. Consumes retry budget.
  bool TryAcquireRetry(request_state& request,
                       const attempt_ended& m,
                       const timestamp& now);
  void Finish(request_id id, effect outcome, effects& out);
  void Reject(request_id id,
              request_state& request,
              reject_reason reason,
              const timestamp& now,
              effects& out);

  service_time_estimate& ServiceTimeOf(const catalog::route& route);
  // This host's share of the retries allowed beyond the ratio.
  // An id for a probe round that belongs to no single request.
  request_id NextProbeId();
  static void Log(effects& out,
                  std::string event,
                  std::vector<std::pair<std::string_view, std::string>> fields);

  dispatch_settings settings_;
  std::minstd_rand random_;
  catalog::snapshot_ptr catalog_;
  catalog::route_table routes_;
  // Servers of `catalog_` in this host's order of preference.
  std::map<pool_id, std::vector<const catalog::backend_server*>>
      servers_by_pool_;
  // Positions in these lists.
  std::map<server_id, std::size_t> preference_;
  // Cleared with each change of the catalog or of a move's share.
  mutable std::map<pool_id, version_rule> version_rules_;
  std::map<std::pair<pool_id, version_id>, std::uint32_t> move_shares_;
  std::map<request_id, request_state> requests_;
  std::deque<deferred_request> deferred_requests_;
  std::map<pool_id, pool_queue> queues_;
  // Pool of each probe round in progress for a queue.
  std::map<request_id, pool_id> queue_probes_;
  std::uint64_t probe_count_ = 0;
  // Fingerprint of the request of each crash check in progress.
  std::map<request_id, request_fingerprint> crash_checks_;
  poison_request_detector poison_requests_;
  std::map<server_id, std::deque<time_point>> own_attempts_;
  std::map<pool_id, probe_statistics> probe_statistics_;
  probe_budget probe_budget_;
  // As in live_hosts_changed.
  std::size_t local_host_count_ = 0;
  std::size_t data_centre_count_ = 0;
  std::map<catalog::route_name, service_time_estimate> service_times_;
  std::map<pool_id, retry_budget> retry_budgets_;
  retry_allowance retry_allowance_;
  std::map<catalog::route_name, std::vector<double>> pool_credit_;
  std::map<catalog::route_name, std::deque<milliseconds>>
      recent_caller_timeouts_;
  server_availability availability_;
  cold_start_limiter cold_starts_;
  shared_pools shared_pools_;
  customer_access access_;
  customer_shares shares_;
  // Set once this host is stopping.
  std::optional<time_point> shutdown_ends_at_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_DISPATCHER_IMPL_H_
