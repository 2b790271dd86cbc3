#ifndef DOTTERELLEAD_DISPATCH_DISPATCHER_IMPL_H_
#define DOTTERELLEAD_DISPATCH_DISPATCHER_IMPL_H_

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cold_guard.h"
#include "crash_guard.h"
#include "dotterellead/dispatch.h"
#include "placement.h"
#include "probe_budget.h"
#include "probe_habits.h"
#include "retry_budget.h"
#include "server_health.h"
#include "version_filter.h"

namespace dotterellead::dispatch {

class dispatcher::impl {
 public:
  explicit impl(dispatch_settings settings);

  void Step(const message& m, const moment& now, std::vector<effect>& out);
  std::optional<time_point> NextDeadline() const;
  std::size_t open_calls() const { return calls_.size(); }

 private:
  using effects = std::vector<effect>;

  // A host that has just started has its configuration within some ms; calls
  // that come before wait for it this long.
  static constexpr milliseconds kConfigurationWait{300};

  enum class phase { kSampling, kWaiting, kSending };

  struct seen_sample {
    load_sample sample;
    // When the server was asked.
    time_point asked;
  };

  // A call that came before the first configuration.
  struct early_call {
    call_arrived message;
    time_point arrived;
  };

  // Calls of one pool that wait for a free slot, and the sampling that they
  // share.
  struct pool_queue {
    std::vector<request_id> calls;
    // The sampling under way, if any.
    request_id round;
    time_point asked;
    time_point next_round;
    // Before the next round; grows while no server answers.
    milliseconds pause{0};
  };

  // A call that is not yet answered.
  struct call_state {
    std::string caller_request;
    request_fingerprint fingerprint;
    // Keeps `route` alive through configuration changes.
    catalog::configuration_ptr config;
    const catalog::route* route = nullptr;
    pool_id pool;
    bool is_trial = false;
    phase now_in = phase::kSampling;
    time_point arrived;
    // Until when an answer is worth most to the caller.
    time_point target_ends;
    // When the caller gets an answer of ours at the latest.
    time_point give_up;
    // End of the caller's own patience.
    time_point patience_ends;
    // When a waiting call is rejected.
    time_point hold_ends;
    time_point asked;
    int rounds = 0;
    int sends = 0;
    // An attempt that has ended may have run.
    bool earlier_may_have_run = false;
    bool caller_is_gone = false;
    std::set<server_id> tried;
    // The server of the attempt under way and what it reported before.
    server_id server;
    version_id server_version;
    load_report load_at_send;
    milliseconds predicted{0};
    time_point sent;
    std::map<server_id, seen_sample> samples;

    bool may_have_run() const {
      return earlier_may_have_run || now_in == phase::kSending;
    }
  };

  void On(const call_arrived& m, const moment& now, effects& out);
  void On(const samples_taken& m, const moment& now, effects& out);
  void On(const attempt_ended& m, const moment& now, effects& out);
  void On(const caller_left& m, const moment& now, effects& out);
  void On(const catalog_changed& m, const moment& now, effects& out);
  void On(const move_share_changed& m, const moment& now, effects& out);
  void On(const hosts_changed& m, const moment& now, effects& out);
  void On(const crash_heard& m, const moment& now, effects& out);
  void On(const tick& m, const moment& now, effects& out);

  // Routing (arrival.cc).
  void Accept(const call_arrived& m,
              time_point arrived,
              const moment& now,
              effects& out);
  // Routes early calls once there is a configuration, and rejects old ones.
  void SettleEarly(const moment& now, effects& out);
  pool_id PickPool(const catalog::route& route);
  milliseconds WaitedBefore(const catalog::route& route,
                            std::optional<milliseconds> patience);
  bool PickTrial(const pool_id& pool);
  version_rule RuleOf(const pool_id& pool) const;

  void SortServers();
  void ShareProbes(const moment& now);
  void SortByPreference(std::vector<server_id>& servers) const;
  std::uint32_t IdleLinksTo(const catalog::backend_server& server) const;
  server_ref RefTo(const catalog::backend_server& server) const;

  // Sampling and placing (placing.cc).
  std::vector<const catalog::backend_server*> UsableServers(
      const call_state& call,
      const moment& now) const;
  void StartSampling(request_id id,
                     call_state& call,
                     const moment& now,
                     effects& out);
  void Place(request_id id, call_state& call, const moment& now, effects& out);
  bool MayUse(const call_state& call,
              const load_sample& sample,
              const catalog::backend_server& server,
              const moment& now,
              bool is_cold_allowed);
  void Send(request_id id,
            call_state& call,
            const candidate& to,
            milliseconds predicted,
            const moment& now,
            effects& out);
  // Samples of a pool's waiting calls, and of a server that broke a connection.
  void TakeRound(const pool_id& pool,
                 const samples_taken& m,
                 const moment& now,
                 effects& out);
  void TakeCrashCheck(request_fingerprint fingerprint,
                      const samples_taken& m,
                      const moment& now,
                      effects& out);
  void LearnFrom(const pool_id& pool,
                 const std::vector<load_sample>& samples,
                 const moment& now);
  // Own requests that a server has not answered yet.
  std::uint32_t OwnRunning(const server_id& server) const;
  // Own sends that a sample taken at `sampled` does not show yet.
  std::uint32_t SendsSince(const server_id& server, time_point sampled) const;
  std::vector<candidate> WarmCandidates(
      const call_state& call,
      const std::map<server_id, seen_sample>& samples,
      const moment& now);
  bool TrySendCold(request_id id,
                   call_state& call,
                   const std::map<server_id, seen_sample>& samples,
                   const moment& now,
                   effects& out);

  // Waiting (waiting.cc).
  void Enqueue(request_id id,
               call_state& call,
               const moment& now,
               effects& out);
  // Whether even an idle server would answer after the target.
  bool IsLate(const call_state& call, const moment& now);
  // When an answer must be there at the latest for a slot to be taken now.
  time_point LatestAnswer(const call_state& call,
                          milliseconds work,
                          bool are_all_slow,
                          const moment& now);
  // Whether no server that was asked works at about its usual pace.
  static bool AreAllSlow(const std::map<server_id, seen_sample>& samples);
  // Waiting calls of a pool, those first that should be served first.
  std::vector<request_id> InOrder(const pool_id& pool, const moment& now);
  // The servers that the next round of a pool asks.
  std::vector<const catalog::backend_server*> PickForRound(const pool_id& pool,
                                                           const moment& now);
  void StartPoolRound(const pool_id& pool, const moment& now, effects& out);
  void PlaceWaiting(const pool_id& pool,
                    const std::map<server_id, seen_sample>& samples,
                    const moment& now,
                    effects& out);
  candidate MakeCandidate(const catalog::backend_server& server,
                          const seen_sample& seen) const;
  take_samples AskFor(request_id id,
                      const std::vector<const catalog::backend_server*>& from,
                      milliseconds limit) const;
  milliseconds RetryAfter(const call_state& call, const moment& now);

  // Results (attempts.cc).
  void RecordOutcome(const call_state& call,
                     const attempt_ended& m,
                     const moment& now,
                     effects& out);
  // Asks a server that broke a connection whether it still lives.
  void StartCrashCheck(const call_state& call, effects& out);
  // Counts an attempt on a pool whose traffic is being moved.
  void ObserveVersion(const call_state& call,
                      bool is_failure,
                      const moment& now,
                      effects& out);
  bool MayRepeat(call_state& call, const attempt_ended& m, const moment& now);
  void Finish(request_id id, effect answer, effects& out);
  void Reject(request_id id,
              call_state& call,
              reject_reason reason,
              const moment& now,
              effects& out);

  work_estimate& WorkOf(const catalog::route& route);
  double SlackShare() const;
  // An id for sampling that belongs to no call.
  request_id NextRound();
  static void Log(effects& out,
                  std::string event,
                  std::vector<std::pair<std::string_view, std::string>> fields);

  dispatch_settings settings_;
  std::minstd_rand random_;
  catalog::snapshot_ptr known_;
  catalog::route_table routes_;
  std::map<pool_id, std::vector<server_id>> servers_by_pool_;
  std::map<std::pair<pool_id, version_id>, std::uint32_t> move_shares_;
  std::map<request_id, call_state> calls_;
  std::deque<early_call> early_;
  std::map<pool_id, pool_queue> queues_;
  // Sampling rounds of queues, by the id they run under.
  std::map<request_id, pool_id> rounds_;
  std::uint64_t next_round_ = 0;
  // Checks of servers that broke a connection, by the id they run under.
  std::map<request_id, request_fingerprint> crash_checks_;
  crash_guard crashes_;
  std::map<server_id, std::deque<time_point>> own_sends_;
  std::map<pool_id, probe_habits> habits_;
  probe_budget probes_;
  std::map<catalog::route_name, work_estimate> work_;
  std::map<pool_id, retry_budget> budgets_;
  std::map<catalog::route_name, std::vector<double>> pool_credit_;
  std::map<catalog::route_name, std::deque<milliseconds>> recent_patience_;
  server_health health_;
  cold_guard cold_;
};

}  // namespace dotterellead::dispatch

#endif  // DOTTERELLEAD_DISPATCH_DISPATCHER_IMPL_H_
