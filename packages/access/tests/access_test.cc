#include "dotterellead/access.h"

#include <doctest/doctest.h>

#include <string>

using namespace dotterellead;
using namespace dotterellead::access;

namespace {

std::string Key(std::size_t i) {
  return "key-" + std::to_string(i);
}

// Average probes to find, and to miss, in a table of `count` keys.
std::pair<double, double> AverageProbes(std::size_t count) {
  std::vector<key_table::entry> entries;
  for (std::size_t i = 0; i < count; ++i)
    entries.push_back({DigestOf(Key(i)), customer_index(i % 74)});
  const key_table table(entries);
  REQUIRE(table.key_count() == count);
  std::size_t found = 0;
  std::size_t missed = 0;
  for (std::size_t i = 0; i < count; ++i) {
    REQUIRE(table.Find(DigestOf(Key(i)), &found) == customer_index(i % 74));
    REQUIRE_FALSE(table.Find(DigestOf(Key(i + count)), &missed).is_valid());
  }
  CHECK(static_cast<double>(table.allocated_bytes()) <=
        30.0 * static_cast<double>(count) + 20);
  return {static_cast<double>(found) / static_cast<double>(count),
          static_cast<double>(missed) / static_cast<double>(count)};
}

constexpr boot_time kStart = boot_time(std::chrono::hours(10));
constexpr age_limits kStrict{true, milliseconds(5'000), milliseconds(2'500)};

}  // namespace

// Guards against a digest that is easier to collide than the published one:
// the values are those of the authors' reference.
TEST_CASE("the digest is SipHash-2-4 with 128 bits") {
  const digest_secret secret{0x0706050403020100, 0x0f0e0d0c0b0a0908};
  CHECK(SipHash(secret, "") ==
        key_digest{0xe6a825ba047f81a3, 0x930255c71472f66d});
  CHECK(SipHash(secret, std::string(1, '\0')) ==
        key_digest{0x44af996bd8c187da, 0x45fc229b11597634});
}

// Guards against lookups that grow with the number of keys.
TEST_CASE("a lookup takes as many probes with 100,000 keys as with 100") {
  for (const std::size_t count : {100, 100'000}) {
    const std::pair<double, double> probes = AverageProbes(count);
    CAPTURE(count);
    CHECK(probes.first < 4);
    CHECK(probes.second < 10);
  }
}

TEST_CASE("an empty table knows no key, and the first owner of a key counts") {
  CHECK_FALSE(key_table().Find(DigestOf("a")).is_valid());
  const key_table table(
      {{DigestOf("a"), customer_index(3)}, {DigestOf("a"), customer_index(4)}});
  CHECK(table.Find(DigestOf("a")) == customer_index(3));
  CHECK(table.key_count() == 1);
}

// Guards against credentials that one host accepts and another one rejects.
TEST_CASE("credentials in a valid form give the digest of their key") {
  for (const char* value : {"Bearer k", "bearer k", "BEARER k", "Bearer   k",
                            "Bearer\tk", "Bearer \t k", "Bearer k  \t"}) {
    CAPTURE(value);
    const credential read = ParseCredential(value);
    CHECK(read.kind == credential_kind::kKey);
    CHECK(read.digest == DigestOf("k"));
  }
  const std::string longest(kMaxKeyBytes, 'x');
  CHECK(ParseCredential("Bearer " + longest).digest == DigestOf(longest));
}

TEST_CASE("credentials in any other form are malformed") {
  for (const std::string& value :
       {std::string(), std::string("Bearer"), std::string("Bearer "),
        std::string("Bearer \t "), std::string("Basic k"), std::string("k"),
        std::string("Bearerk"), std::string("Bearers k"),
        std::string("Beare k"), std::string(" Bearer k"),
        std::string("Bearer k k"), std::string("Bearer k\tk"),
        std::string("Bearer,k"),
        "Bearer " + std::string(kMaxKeyBytes + 1, 'x')}) {
    CAPTURE(value);
    CHECK(ParseCredential(value).kind == credential_kind::kMalformed);
  }
}

// Guards against keys that are accepted after the limit on a host that got no
// news, however it was prevented.
TEST_CASE("known keys are accepted until the limit less the margin") {
  age_rule age(kStrict);
  CHECK_FALSE(age.AcceptsKeys(kStart));
  CHECK(age.MayBeOutdated(kStart));
  age.Confirm(kStart);
  CHECK_FALSE(age.MayBeOutdated(kStart + milliseconds(2'500)));
  CHECK(age.MayBeOutdated(kStart + milliseconds(2'501)));
  CHECK(age.AcceptsKeys(kStart + milliseconds(4'499)));
  CHECK_FALSE(age.AcceptsKeys(kStart + milliseconds(4'500)));
  age.Confirm(kStart + milliseconds(1'000));
  age.Confirm(kStart);
  CHECK(age.AcceptsKeys(kStart + milliseconds(5'499)));
}

TEST_CASE("without strict revocation known keys are accepted at any age") {
  age_rule age({false, milliseconds(5'000), milliseconds(2'500)});
  CHECK(age.AcceptsKeys(kStart));
  CHECK_FALSE(age.keys_valid_until().has_value());
  CHECK(age.MayBeOutdated(kStart));
}
