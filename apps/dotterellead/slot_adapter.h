// Joins the request path's threads to the balance duty.
#ifndef DOTTERELLEAD_SLOT_ADAPTER_H_
#define DOTTERELLEAD_SLOT_ADAPTER_H_

#include "dotterellead/balance.h"
#include "dotterellead/proxy.h"

namespace dotterellead {

class slot_adapter : public slot_source {
 public:
  explicit slot_adapter(const clock_source& clock) : clock_(clock) {}

  // Sets the duty to ask. Call once, before the first request.
  void Join(duty<balance_machine>& balance) { balance_ = &balance; }

  std::variant<assigned, refused> Acquire(const acquire& wanted) override;
  void Release(const release& result) override;

  // Delivers the duty's answers; an assignment that nobody waits for any more
  // is given back.
  void Deliver(const assigned& answer);
  void Deliver(const refused& answer);

 private:
  using reply = std::variant<assigned, refused>;
  void Return(request_id request);

  const clock_source& clock_;
  duty<balance_machine>* balance_ = nullptr;
  reply_table<reply> replies_;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_SLOT_ADAPTER_H_
