#include "claim_table.h"

#include <doctest/doctest.h>

namespace dotterellead {
namespace {

const idempotency_key sample_key("01890a5d-ac96-7abc-8def-0123456789ab");

claim_writer Writer(const char* member,
                    std::uint64_t incarnation,
                    std::uint64_t sequence) {
  return {member_id(member), incarnation_id(incarnation), sequence};
}

// Guards against a key that is freed or settled by a claim that does not hold
// it, and against a rejected claim that wins later.
TEST_CASE("only the holder's own records change a key") {
  const claim_writer holder = Writer("a", 1, 1);
  const claim_writer others[] = {Writer("b", 1, 1), Writer("a", 2, 1),
                                 Writer("a", 1, 2)};
  for (const claim_writer& other : others) {
    claim_table table;
    const auto apply = [&](const claim_log_record& record) {
      return table.Apply(record, time_point());
    };
    CHECK(apply(claim_record{sample_key, holder, 7}) ==
          claim_change::kAcquired);
    CHECK(apply(claim_record{sample_key, other, 7}) == claim_change::kNone);
    CHECK(apply(void_record{sample_key, other}) == claim_change::kNone);
    CHECK(apply(outcome_record{sample_key, other, {}}) == claim_change::kNone);
    CHECK(table.Find(sample_key)->holder == holder);
    CHECK(apply(void_record{sample_key, holder}) == claim_change::kReleased);
    CHECK(table.Find(sample_key) == nullptr);
    CHECK(apply(outcome_record{sample_key, other, {}}) == claim_change::kNone);
    CHECK(apply(claim_record{sample_key, other, 7}) == claim_change::kAcquired);
  }
}

// Guards against a second run after an outcome, and against a changed outcome.
TEST_CASE("an outcome is final") {
  claim_table table;
  const claim_writer holder = Writer("a", 1, 1);
  const auto apply = [&](const claim_log_record& record) {
    return table.Apply(record, time_point());
  };
  apply(claim_record{sample_key, holder, 7});
  CHECK(apply(outcome_record{sample_key, holder, {.status = 201}}) ==
        claim_change::kCompleted);
  CHECK(apply(void_record{sample_key, holder}) == claim_change::kNone);
  CHECK(apply(outcome_record{sample_key, holder, {.status = 500}}) ==
        claim_change::kNone);
  CHECK(apply(claim_record{sample_key, Writer("b", 1, 1), 7}) ==
        claim_change::kNone);
  CHECK(table.Find(sample_key)->outcome->status == 201);
}

}  // namespace
}  // namespace dotterellead
