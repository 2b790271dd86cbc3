// The denials of the idempotency machine with status, run state and remedy.
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
// The request timed out before the outcome of the key's run was known.
claim_denied DenyInProgress();
// The host that ran the key has ended.
claim_denied DenyOwnerEnded();
// The run ended without a complete response.
claim_denied DenyOutcomeUnknown();
// The request's deadline passed while its claim was undecided.
claim_denied DenyDeadline();

}  // namespace dotterellead

#endif  // DOTTERELLEAD_IDEMPOTENCY_SRC_CLAIM_DENIALS_H_
