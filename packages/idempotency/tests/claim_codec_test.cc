#include <doctest/doctest.h>

#include "dotterellead/idempotency.h"

namespace dotterellead {
namespace {

const idempotency_key sample_key("01890a5d-ac96-7abc-8def-0123456789ab");
const claim_writer sample_writer{member_id("a"),
                                 incarnation_id(1'800'000'000'000), 7};

std::string AllBytes() {
  std::string bytes;
  for (int i = 0; i < 256; ++i)
    bytes += static_cast<char>(i);
  return bytes;
}

// Guards against a saved response that differs from the one the caller got.
TEST_CASE(
    "decoding an encoded claim record gives the same record, for any bytes") {
  const saved_outcome outcome = MakeSavedOutcome(
      {.status = 201, .headers = {{"X-Name", "caf\xe9"}}, .body = AllBytes()});
  const claim_log_record records[] = {
      claim_record{sample_key, sample_writer, UINT64_MAX},
      void_record{sample_key, sample_writer},
      outcome_record{sample_key, sample_writer, outcome},
      outcome_record{sample_key, sample_writer, {.run = run_state::kUnknown}}};
  for (const claim_log_record& record : records)
    CHECK(DecodeClaimRecord(EncodeClaimRecord(record)) == record);
  CHECK(EncodeClaimRecord(records[0]).size() < 150);
}

TEST_CASE("of a body over the limit only status and digest are saved") {
  const std::string body(limits::kMaxSavedResponseBytes + 1, 'x');
  const saved_outcome outcome = MakeSavedOutcome({.status = 200, .body = body});
  CHECK(outcome.truncated);
  CHECK(outcome.body.empty());
  CHECK(outcome.body_digest == StableHash(body));
  CHECK_FALSE(MakeSavedOutcome({.body = body.substr(1)}).truncated);
}

// Guards against a record that hosts interpret differently.
TEST_CASE("malformed records in a batch are detected and skipped") {
  const char* const malformed[] = {
      "",
      "[]",
      R"({"t":"claim"})",
      R"({"t":"claim","k":"1","w":["a",1,1],"f":1})",
      R"({"t":"claim","k":"01890a5d-ac96-7abc-8def-0123456789ab","w":["a",1],"f":1})",
      R"({"t":"claim","k":"01890a5d-ac96-7abc-8def-0123456789ab","w":["a",1,1],"f":-1})",
      R"({"t":"other","k":"01890a5d-ac96-7abc-8def-0123456789ab","w":["a",1,1]})",
      R"({"t":"outcome","k":"01890a5d-ac96-7abc-8def-0123456789ab","w":["a",1,1],"r":"done","s":200,"h":["x"],"d":1,"b":""})",
  };
  log_batch batch{.stream = ClaimStream(claim_shard(2)),
                  .first = log_offset(0),
                  .next = log_offset(9)};
  for (const char* text : malformed) {
    CAPTURE(text);
    CHECK_THROWS_AS(DecodeClaimRecord(text), protocol_error);
    batch.records.push_back({log_offset(batch.records.size()), text});
  }
  const claim_log_record good = void_record{sample_key, sample_writer};
  batch.records.push_back({log_offset(8), EncodeClaimRecord(good)});
  const auto message = std::get<claim_batch>(DecodeClaimEvent(batch));
  CHECK(message.shard == claim_shard(2));
  REQUIRE(message.records.size() == 9);
  CHECK_FALSE(message.records[0].record.has_value());
  CHECK(message.records[8].record == good);
}

}  // namespace
}  // namespace dotterellead
