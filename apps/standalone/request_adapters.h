// Join the request path's threads to the duties that decide on claims,
// admission and versions.
#ifndef DOTTERELLEAD_REQUEST_ADAPTERS_H_
#define DOTTERELLEAD_REQUEST_ADAPTERS_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "dotterellead/admission.h"
#include "dotterellead/idempotency.h"
#include "dotterellead/proxy.h"
#include "dotterellead/rollout.h"

namespace dotterellead {

class claim_adapter : public claim_gate {
 public:
  explicit claim_adapter(const clock_source& clock) : clock_(clock) {}
  // Sets the duty to ask. Call once, before the first request.
  void Join(duty<idempotency_machine>& claims) { claims_ = &claims; }

  claim_decision Begin(const idempotency_key& key,
                       std::uint64_t fingerprint,
                       time_point deadline) override;
  void Finish(const idempotency_key& key,
              const http_answer& answer,
              run_state run) override;
  void Void(const idempotency_key& key) override;

  // Delivers the duty's answers.
  void Deliver(const claim_result& answer);
  void Deliver(const claim_finished& finished);

 private:
  const clock_source& clock_;
  duty<idempotency_machine>* claims_ = nullptr;
  std::atomic<std::uint64_t> next_request_{1};
  pending_responses<claim_result> answers_;
  pending_responses<claim_finished> finished_;
};

class admission_adapter : public admission_gate {
 public:
  explicit admission_adapter(const clock_source& clock) : clock_(clock) {}
  void Join(duty<admission_machine>& admission) { admission_ = &admission; }

  bool Begin(const pool_id& pool,
             request_fingerprint fingerprint,
             time_point deadline) override;
  bool TakeRetry(const pool_id& pool) override;
  bool RecordCrash(request_fingerprint fingerprint,
                   const server_id& server) override;
  void End(request_fingerprint fingerprint, bool answered) override;

  void Deliver(request_id request, bool allowed);
  // Carry out mark_struck and unmark_struck.
  void Mark(request_fingerprint fingerprint);
  void Unmark(request_fingerprint fingerprint);

 private:
  bool Ask(request_id request,
           admission_machine::message m,
           time_point deadline);
  request_id NextRequest() { return request_id(next_request_.fetch_add(1)); }

  const clock_source& clock_;
  duty<admission_machine>* admission_ = nullptr;
  admission_table table_;
  std::atomic<std::uint64_t> next_request_{1};
  pending_responses<bool> answers_;
};

class version_adapter : public version_chooser {
 public:
  version_id Choose(const pool_id& pool,
                    const route_id& route,
                    request_id request) override;
  void Record(const pool_id& pool,
              const route_id& route,
              const version_id& version,
              bool failed,
              microseconds latency) override;

  version_counters& counters() { return counters_; }
  void Set(const pool_id& pool, const version_shares& shares);
  std::map<pool_id, version_shares> Shares() const;

 private:
  using share_table = std::map<pool_id, version_shares>;
  version_counters counters_;
  mutable std::mutex mutex_;
  // Replaced as a whole, so that requests hold the lock only to copy the
  // pointer.
  std::shared_ptr<const share_table> shares_ = std::make_shared<share_table>();
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_REQUEST_ADAPTERS_H_
