// The refusals of the at-most-once machine, each with its status, run state and
// remedy.
#ifndef DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_DENIALS_H_
#define DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_DENIALS_H_

#include "dotterellead/idempotency.h"

namespace dotterellead {

claim_denied DenyKeyFormat();
claim_denied DenyOldKey();
claim_denied DenyFutureKey();
claim_denied DenyOtherFingerprint();
claim_denied DenyLogUnreadable();
// The log dropped records before this host read them.
claim_denied DenyLostRecords();
claim_denied DenyUndecided();
claim_denied DenyOverload();
// The wait for the key's run ended before its outcome was known.
claim_denied DenyInProgress();
// The host that ran the key is gone.
claim_denied DenyOwnerGone();
// The run ended without a whole answer.
claim_denied DenyOutcomeUnknown();
// The request's deadline passed while its claim was undecided.
claim_denied DenyDeadline();

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_DENIALS_H_
