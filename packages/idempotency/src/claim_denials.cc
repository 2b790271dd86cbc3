#include "claim_denials.h"

namespace dotterellead {

claim_denied DenyKeyFormat() {
  return {400, run_state::kNotRun, "Idempotency-Key is not a version 7 UUID",
          "send a new version 7 UUID for each operation"};
}

// An earlier request with this key may have run so long ago that the log has
// dropped its records.
claim_denied DenyOldKey() {
  return {422, run_state::kUnknown,
          "the Idempotency-Key is older than the log's retention",
          "this attempt did not run; check whether an earlier one did before "
          "sending a new key"};
}

claim_denied DenyFutureKey() {
  return {422, run_state::kNotRun,
          "the Idempotency-Key was created in the future",
          "correct the clock that creates keys, then send a new key"};
}

claim_denied DenyOtherFingerprint() {
  return {422, run_state::kNotRun,
          "the Idempotency-Key belongs to another request",
          "send a new version 7 UUID for each operation"};
}

claim_denied DenyLogUnreadable() {
  return {503, run_state::kNotRun,
          "the log that records claims cannot be read up to its end",
          "send it again later with the same Idempotency-Key"};
}

// This attempt does not run, but the lost records may include an earlier one.
claim_denied DenyLostRecords() {
  return {503, run_state::kUnknown,
          "this host missed records that the log has dropped",
          "send it again later with the same Idempotency-Key"};
}

claim_denied DenyUndecided() {
  return {503, run_state::kNotRun,
          "the log did not take or show the claim in time",
          "send it again later with the same Idempotency-Key"};
}

claim_denied DenyOverload() {
  return {503, run_state::kNotRun, "too many requests wait for their claim",
          "send it again later with the same Idempotency-Key"};
}

claim_denied DenyInProgress() {
  return {504, run_state::kUnknown,
          "an earlier request with this key has not ended",
          "send it again later with the same Idempotency-Key to learn the "
          "outcome"};
}

claim_denied DenyOwnerEnded() {
  return {502, run_state::kUnknown,
          "the host that ran this key ended before it recorded an outcome",
          "check whether the operation took effect; this key never runs again"};
}

claim_denied DenyOutcomeUnknown() {
  return {502, run_state::kUnknown, "the run of this key gave no whole answer",
          "check whether the operation took effect; this key never runs again"};
}

claim_denied DenyDeadline() {
  return {504, run_state::kNotRun, "the deadline passed before the claim",
          "send it again with the same Idempotency-Key and a later deadline"};
}

}  // namespace dotterellead
