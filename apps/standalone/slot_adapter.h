// Joins the request path's threads to the balance duty.
#ifndef DOTTERELLEAD_SLOT_ADAPTER_H_
#define DOTTERELLEAD_SLOT_ADAPTER_H_

#include <map>
#include <mutex>

#include "dotterellead/balance.h"
#include "dotterellead/measure.h"
#include "dotterellead/metrics.h"
#include "dotterellead/proxy.h"

namespace dotterellead {

class slot_adapter : public slot_source {
 public:
  slot_adapter(const clock_source& clock, request_metrics& metrics)
      : clock_(clock), metrics_(metrics) {}

  // Sets the duties to ask and to tell. Call once, before the first request.
  void Join(duty<balance_machine>& balance, duty<measure_machine>& measure) {
    balance_ = &balance;
    measure_ = &measure;
  }

  std::variant<assigned, forwarded, acquire_rejected> Acquire(
      const acquire& wanted) override;
  void Release(const release& result) override;
  void EndForward(const forward_ended& ended) override;
  home_load LoadOf(const pool_id& pool) override;

  // Delivers the duty's answers; an assignment that nobody waits for any more
  // is given back.
  void Deliver(const assigned& answer);
  void Deliver(const forwarded& answer);
  void Deliver(const acquire_rejected& answer);
  // Takes over the load of a pool's servers that are homed here.
  void SetLoad(const home_load_changed& changed);
  // Takes over how many slots each server homed here has lent.
  void SetLent(const balance_report& report);

 private:
  using reply = std::variant<assigned, forwarded, acquire_rejected>;
  void Return(request_id request);
  void TellMeasure(const release& result);

  const clock_source& clock_;
  request_metrics& metrics_;
  duty<balance_machine>* balance_ = nullptr;
  duty<measure_machine>* measure_ = nullptr;
  std::mutex mutex_;
  std::map<server_id, std::uint32_t> lent_;
  std::map<pool_id, home_load> loads_;
  pending_responses<reply> replies_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SLOT_ADAPTER_H_
