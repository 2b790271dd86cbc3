#include <doctest/doctest.h>

#include <cstdio>

#include "dotterellead/membership.h"
#include "epoch_log.h"
#include "fake_region.h"

namespace dotterellead {
namespace {

using std::chrono::seconds;

constexpr seconds kConvergence{15};

std::uint64_t EpochOf(const fake_host& host) {
  return host.epoch.name.number.value();
}

void CheckNoViolation(const fake_region& region) {
  for (const std::string& violation : region.violations())
    FAIL_CHECK(violation);
}

void CutOff(fake_region& region, std::size_t below) {
  for (std::size_t a = 0; a < region.hosts().size(); ++a) {
    for (std::size_t b = 0; b < region.hosts().size(); ++b) {
      if ((a < below) != (b < below))
        region.blocked.insert({a, b});
    }
  }
}

// Guards against a host that grants slots again because the list says that the
// members that took over from it have ended.
TEST_CASE("members removed from the list still count for the majority") {
  fake_region region(5, 1);
  REQUIRE(region.RunUntilConverged(kConvergence));
  const std::uint64_t before = EpochOf(region.hosts()[0]);
  CutOff(region, 2);
  region.no_log = {0, 1};
  region.Run(seconds(9));
  CHECK(EpochOf(region.hosts()[2]) == before + 1);
  CHECK(region.MayGrant(region.hosts()[2]));
  region.Kill(region.hosts()[3]);
  region.Kill(region.hosts()[4]);
  for (int i = 0; i < 2'000; ++i) {
    region.Run(milliseconds(10));
    CHECK_FALSE(region.MayGrant(region.hosts()[0]));
    CHECK(EpochOf(region.hosts()[0]) == before);
  }
  CheckNoViolation(region);
}

// Guards against an outage of the log that stops the homes.
TEST_CASE(
    "while the log is unavailable the epoch stays and the majority grants "
    "slots") {
  fake_region region(7, 2);
  REQUIRE(region.RunUntilConverged(kConvergence));
  const std::uint64_t before = EpochOf(region.hosts()[0]);
  region.log_down = true;
  region.Kill(region.hosts()[0]);
  CutOff(region, 3);
  region.Run(seconds(4));
  for (int i = 0; i < 6'000; ++i) {
    region.Run(milliseconds(10));
    for (std::size_t h = 1; h < 7; ++h)
      CHECK(region.MayGrant(region.hosts()[h]) == (h >= 3));
  }
  CHECK(EpochOf(region.hosts()[6]) == before);
  region.blocked.clear();
  region.log_down = false;
  CHECK(region.RunUntilConverged(kConvergence));
  CheckNoViolation(region);
}

// Guards against a host that reaches the log but hears from nobody, and makes
// an epoch of its own that stops all others.
TEST_CASE("an isolated proposer is replaced and excludes nobody") {
  fake_region region(7, 9);
  REQUIRE(region.RunUntilConverged(kConvergence));
  for (std::size_t from = 1; from < 7; ++from)
    region.blocked.insert({from, 0});
  region.Run(seconds(8));
  for (int i = 0; i < 1'000; ++i) {
    region.Run(milliseconds(10));
    for (std::size_t h = 1; h < 7; ++h) {
      CHECK(region.MayGrant(region.hosts()[h]));
      CHECK(region.hosts()[h].epoch.members.size() == 6);
    }
  }
  region.blocked.clear();
  CHECK(region.RunUntilConverged(kConvergence));
  CheckNoViolation(region);
}

// Guards against a host that uses an expired right just after a pause.
TEST_CASE("a paused host finds its right expired when it resumes") {
  fake_region region(3, 3);
  REQUIRE(region.RunUntilConverged(kConvergence));
  fake_host& host = region.hosts()[1];
  region.Pause(host);
  region.Run(ResponseValidity(3) + milliseconds(1));
  CHECK(host.right.may_grant);
  CHECK(host.right.valid_until <= region.Now());
  region.Resume(host);
  CHECK_FALSE(region.MayGrant(host));
  CHECK(region.RunUntilConverged(kConvergence));
}

// Guards against a host that mistakes its own pause for silence of the others.
TEST_CASE("a host that resumes suspects nobody") {
  fake_region region(7, 10);
  REQUIRE(region.RunUntilConverged(kConvergence));
  fake_host& host = region.hosts()[0];
  host.peers_lost = 0;
  region.Pause(host);
  for (std::size_t from = 1; from < 7; ++from)
    region.blocked.insert({from, 0});
  region.Run(seconds(6));
  region.Resume(host);
  region.Run(milliseconds(300));
  CHECK(host.peers_lost == 0);
  region.blocked.clear();
  CHECK(region.RunUntilConverged(kConvergence));
  CheckNoViolation(region);
}

// Guards against a lost append reply that causes a second change.
TEST_CASE("one departure makes one epoch although append replies are lost") {
  fake_region region(5, 4);
  REQUIRE(region.RunUntilConverged(kConvergence));
  const std::uint64_t before = EpochOf(region.hosts()[1]);
  region.lost_replies = 100;
  region.Kill(region.hosts()[0]);
  CHECK(region.RunUntilConverged(kConvergence));
  region.Run(seconds(5));
  CHECK(EpochOf(region.hosts()[1]) == before + 1);
}

// Guards against many epochs when many hosts start or stop together.
TEST_CASE("a mass start and a burst of joins make few epochs") {
  fake_region region(17, 5);
  REQUIRE(region.RunUntilConverged(kConvergence));
  CHECK(EpochOf(region.hosts()[0]) == 1);
  const std::uint64_t before = EpochOf(region.hosts()[0]);
  for (int i = 0; i < 10; ++i)
    region.AddHost();
  for (std::size_t i = 17; i < 27; ++i)
    region.Start(region.hosts()[i]);
  CHECK(region.RunUntilConverged(kConvergence));
  CHECK(EpochOf(region.hosts()[0]) <= before + 3);
  CheckNoViolation(region);
}

// Guards against the current epoch being dropped by the log's retention, and
// against a starting host that cannot determine the current epoch.
TEST_CASE("the epoch outlives the retention and a late starter finds it") {
  fake_region region(4, 6);
  region.retention = seconds(20);
  REQUIRE(region.RunUntilConverged(kConvergence));
  const std::uint64_t before = EpochOf(region.hosts()[0]);
  std::size_t records = region.records();
  milliseconds silent{0};
  for (int i = 0; i < 600; ++i) {
    region.Run(milliseconds(100));
    silent = region.records() == records ? silent + milliseconds(100)
                                         : milliseconds(0);
    records = region.records();
    CHECK(silent <= region.retention / 4);
  }
  CHECK(EpochOf(region.hosts()[0]) == before);
  region.Truncate(1);
  region.AddHost();
  region.Start(region.hosts()[4]);
  CHECK(region.RunUntilConverged(kConvergence));
  CHECK(EpochOf(region.hosts()[4]) == before + 1);
  CheckNoViolation(region);
}

// Guards against replacement of all hosts while the log has lost the records of
// earlier epochs.
TEST_CASE("replacing all hosts converges once the list shows it") {
  fake_region region(6, 7);
  REQUIRE(region.RunUntilConverged(kConvergence));
  for (std::size_t i = 0; i < 6; ++i)
    region.Kill(region.hosts()[i]);
  region.Run(seconds(1));
  for (int i = 0; i < 4; ++i)
    region.AddHost();
  for (std::size_t i = 6; i < 10; ++i)
    region.Start(region.hosts()[i]);
  CHECK(region.RunUntilConverged(seconds(60)));
  CheckNoViolation(region);
}

std::string Record(std::uint64_t number,
                   epoch_name base,
                   const char* member,
                   bool refresh = false) {
  epoch_record record{
      .number = epoch_number(number), .base = base, .refresh = refresh};
  record.members.push_back({member_id(member), incarnation_id(1),
                            data_centre_id("a"), "10.0.0.1:1"});
  return EncodeEpochRecord(record);
}

epoch_name Name(std::uint64_t number, std::uint64_t offset) {
  return {epoch_number(number), log_offset(offset)};
}

// Guards against hosts that read the same log and reach different epochs.
TEST_CASE("log order decides between records with the same base") {
  epoch_log log;
  log.Apply({log_offset(0), Record(1, {}, "a")});
  log.Apply({log_offset(1), Record(1, {}, "b")});
  log.Apply({log_offset(2), Record(2, Name(1, 1), "b")});
  log.Apply({log_offset(3), "not a record"});
  log.Apply({log_offset(4), Record(2, Name(1, 0), "c")});
  log.Apply({log_offset(5), Record(3, Name(2, 2), "d")});
  log.Apply({log_offset(5), Record(3, Name(2, 4), "e")});
  CHECK(log.current().name == Name(2, 4));
  CHECK(log.current().members.front().id.value() == "c");
}

// Guards against a rejected record whose winner was dropped by the retention.
TEST_CASE("a base taken from a truncated log is corrected by what follows") {
  struct row {
    const char* name;
    std::string next;
    epoch_name expected;
  };
  const row rows[] = {
      {"confirmed by its successor", Record(8, Name(7, 20), "x"), Name(8, 21)},
      {"a successor of the winner", Record(8, Name(7, 19), "x"), Name(8, 21)},
      {"a refresh of the winner", Record(7, Name(7, 19), "x", true),
       Name(7, 19)},
      {"a late record of an old base", Record(7, Name(6, 10), "x"),
       Name(7, 20)},
  };
  for (const row& r : rows) {
    CAPTURE(r.name);
    epoch_log log;
    log.BeginBatch(log_offset(20), log_offset(20));
    CHECK(log.Apply({log_offset(20), Record(7, Name(6, 10), "b")})
              .has_skipped_epochs);
    log.Apply({log_offset(21), r.next});
    CHECK(log.current().name == r.expected);
  }
}

// Guards against a codec that loses a field or accepts malformed text.
TEST_CASE(
    "decoding an encoded message gives the same message; malformed ones are "
    "rejected") {
  const member_run run{member_id("h"), incarnation_id(1'700'000'000'000),
                       data_centre_id("a"), "10.0.0.1:7"};
  gossip_digest digest;
  digest.from = {run, 5'000, Name(3, 9), epoch_number(2), true, log_offset(7)};
  digest.epoch_members = {{std::uint16_t{4'095}, false, log_offset(7)},
                          {std::nullopt, false, log_offset()},
                          {std::uint16_t{0}, true, log_offset()}};
  digest.members = {{run, 1, true, log_offset(4)}, {run, 2, false, {}}};
  const std::string text = EncodeDigest(digest);
  CHECK(DecodeDigest(text) == digest);
  CHECK(DecodeReport(EncodeReport(digest.from)) == digest.from);
  const std::string record = Record(8, Name(7, 20), "x", true);
  CHECK(EncodeEpochRecord(DecodeEpochRecord(record)) == record);
  for (std::size_t size = 0; size < text.size(); ++size)
    CHECK_THROWS_AS(DecodeDigest(text.substr(0, size)), protocol_error);
  const std::string good = R"({"f":["a",1,"d","x:1"],"h":1,"e":0,"w":0)";
  CHECK_NOTHROW(DecodeDigest(good + "}"));
  for (const char* bad :
       {R"(,"s":"A"})", R"(,"s":"A!"})", R"(,"s":"AA","x":[[1,false,null]]})",
        R"(,"m":[["a",1,"d"]]})", R"(,"h":-1})", R"(,"l":3})", R"(,"m":{}})"}) {
    CAPTURE(bad);
    CHECK_THROWS_AS(DecodeDigest(good + bad), protocol_error);
  }
  CHECK_THROWS_AS(DecodeEpochRecord(R"({"epoch":1,"base":0,"ended":0})"),
                  protocol_error);
}

bool AllIn(fake_region& region, std::size_t members) {
  for (const fake_host& host : region.hosts()) {
    if (host.epoch.members.size() != members)
      return false;
  }
  return true;
}

// Guards against gossip that exceeds the control budget of a host, and against
// healthy members that are suspected in a large region.
TEST_CASE("gossip stays small and suspects nobody in a healthy region") {
  std::printf("members  gossip B/s per node  us per step  core share\n");
  for (const std::size_t members : {4, 16, 32, 64, 100}) {
    fake_region region(members, 8);
    for (int i = 0; i < 20 && !AllIn(region, members); ++i)
      region.Run(seconds(1));
    REQUIRE(AllIn(region, members));
    region.Run(seconds(3));
    fake_host& host = region.hosts()[1];
    for (fake_host& h : region.hosts()) {
      h.bytes_out = h.steps = h.peers_lost = 0;
      h.step_time = {};
    }
    constexpr std::uint64_t kMeasured = 5;
    region.Run(seconds(kMeasured));
    std::size_t lost = 0;
    for (const fake_host& h : region.hosts())
      lost += h.peers_lost;
    const std::uint64_t rate = host.bytes_out / kMeasured;
    const double busy = std::chrono::duration<double>(host.step_time).count();
    std::printf("%7zu  %19llu  %11.2f  %9.4f%%\n", members,
                static_cast<unsigned long long>(rate),
                busy * 1e6 / static_cast<double>(host.steps),
                busy / kMeasured * 100);
    CHECK(lost == 0);
    CHECK(rate < 8'000);
    CheckNoViolation(region);
  }
}

}  // namespace
}  // namespace dotterellead
