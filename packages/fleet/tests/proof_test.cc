// Proving the age of the configuration down a tree of hosts, in virtual time.
// Each host has a clock of its own; the true time is the store's.
#include "proof.h"

#include <doctest/doctest.h>

#include "dotterellead/fleet.h"

using namespace dotterellead;
using namespace dotterellead::fleet;

namespace {

using true_time = milliseconds;

// A host's clock differs from the true time by any offset.
struct fake_host {
  milliseconds clock_offset;
  std::optional<boot_time> proven_at;

  boot_time At(true_time t) const { return boot_time(t + clock_offset); }
  // The true time of what the host has proved.
  true_time Proven() const {
    return std::chrono::floor<milliseconds>(proven_at->time_since_epoch()) -
           clock_offset;
  }
};

// One exchange between a child and its parent, at true times.
void Sync(fake_host& child,
          const fake_host& parent,
          true_time sent,
          true_time arrived) {
  const std::optional<milliseconds> difference =
      ProofDifference(parent.proven_at, parent.At(arrived));
  child.proven_at =
      std::max(child.proven_at, ProvenAt(child.At(sent), difference));
}

constexpr true_time kNow{100'000};

struct tree {
  fake_host root{milliseconds(1'000), std::nullopt};
  fake_host head{milliseconds(90'000), std::nullopt};
  fake_host member{milliseconds(-70'000), std::nullopt};
};

}  // namespace

TEST_CASE("each level proves at most what the level above it has proved") {
  tree t;
  t.root.proven_at = t.root.At(kNow);
  Sync(t.head, t.root, kNow + milliseconds(300), kNow + milliseconds(310));
  Sync(t.member, t.head, kNow + milliseconds(500), kNow + milliseconds(505));
  CHECK(t.head.Proven() == kNow - milliseconds(10));
  CHECK(t.member.Proven() == kNow - milliseconds(15));
}

// The parent may read the store while the request waits there.
TEST_CASE("a parent's proof may be later than the arrival of the request") {
  tree t;
  t.root.proven_at = t.root.At(kNow + milliseconds(200));
  Sync(t.head, t.root, kNow, kNow + milliseconds(5));
  CHECK(t.head.Proven() == kNow + milliseconds(195));
}

// A frozen parent, a slow link in either direction and a suspended child all
// lengthen the exchange; the proof may only become older by it.
TEST_CASE("time that passes in an exchange never makes data look younger") {
  for (const milliseconds way : {milliseconds(0), milliseconds(3),
                                 milliseconds(700), milliseconds(60'000)}) {
    tree t;
    t.root.proven_at = t.root.At(kNow);
    Sync(t.head, t.root, kNow + milliseconds(1), kNow + milliseconds(1) + way);
    CAPTURE(way.count());
    CHECK(t.head.Proven() <= t.root.Proven());
    CHECK(t.head.Proven() == kNow - way);
  }
}

TEST_CASE("a parent that is cut off from the store proves nothing new") {
  tree t;
  t.root.proven_at = t.root.At(kNow);
  Sync(t.head, t.root, kNow + milliseconds(10), kNow + milliseconds(10));
  Sync(t.head, t.root, kNow + milliseconds(9'000), kNow + milliseconds(9'000));
  CHECK(t.head.Proven() == kNow);
}

TEST_CASE("no proof comes of a parent without one, nor of a child's push") {
  CHECK_FALSE(ProofDifference(std::nullopt, boot_time(kNow)).has_value());
  CHECK_FALSE(ProvenAt(boot_time(kNow), std::nullopt).has_value());
  CHECK_FALSE(ProvenAt(std::nullopt, milliseconds(0)).has_value());
}

TEST_CASE("rounding makes a proof older, on either side of the arrival") {
  const boot_time arrived(kNow);
  const std::chrono::microseconds half(500);
  CHECK(ProofDifference(arrived + half, arrived) == milliseconds(0));
  CHECK(ProofDifference(arrived - half, arrived) == milliseconds(-1));
}

// Guards against data that looks younger behind a slow host, so that a host
// without other news reads the store too late.
TEST_CASE("the time on the way counts in the age of relayed data") {
  const boot_time sent(kNow);
  for (const milliseconds way :
       {milliseconds(0), milliseconds(3), milliseconds(700)}) {
    for (const milliseconds held : {milliseconds(0), milliseconds(400)}) {
      const boot_time received = sent + held + way;
      CHECK(TimeOnTheWay(sent, received, held) == way);
    }
  }
  CHECK(TimeOnTheWay(sent, sent + std::chrono::microseconds(1'500),
                     milliseconds(1)) == milliseconds(1));
  // A parent of an earlier release, and one whose clock runs faster.
  CHECK(TimeOnTheWay(sent, sent + milliseconds(700), std::nullopt) ==
        milliseconds(0));
  CHECK(TimeOnTheWay(sent, sent + milliseconds(5), milliseconds(6)) ==
        milliseconds(0));
}

// Guards against hosts of two releases that cannot read each other's messages.
TEST_CASE("a proof survives its encoding, and messages without one decode") {
  sync_response response;
  response.self = {member_id("a"), data_centre_id("z"), {0x7f000001, 1}};
  response.updates[0].age = milliseconds(12);
  CHECK_FALSE(
      DecodeResponse(EncodeResponse(response)).updates[0].proof.has_value());
  CHECK_FALSE(DecodeResponse(EncodeResponse(response)).held.has_value());
  response.held = milliseconds(390);
  CHECK(DecodeResponse(EncodeResponse(response)).held == milliseconds(390));
  for (const int proof : {-40'000, 0, 250}) {
    response.updates[0].proof = milliseconds(proof);
    CHECK(DecodeResponse(EncodeResponse(response)).updates[0].proof ==
          milliseconds(proof));
  }
}

TEST_CASE("the cache keeps the latest proof, and updates without one") {
  update_cache cache;
  CHECK_FALSE(cache.proven_at(stream::kOperators).has_value());
  cache.Apply({stream::kOperators, {}, log_offset(4), {}, boot_time(kNow)});
  cache.Apply({stream::kOperators, {}, log_offset(5), {}, std::nullopt});
  CHECK(cache.proven_at(stream::kOperators) == boot_time(kNow));
}
