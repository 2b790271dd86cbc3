// Keys of customers: keyed digests, the table that finds a key's owner, the
// parser of the credential header, and the rule for the age of the
// configuration. Makes no I/O and knows no names of headers.
#ifndef DOTTERELLEAD_ACCESS_H_
#define DOTTERELLEAD_ACCESS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterellead/core.h"

namespace dotterellead::access {

// ---- Digests

// Keyed digest of a customer's key. Its value depends on the process and is
// never written anywhere.
struct key_digest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const key_digest&) const = default;
};

// The secret of the digest function.
using digest_secret = std::array<std::uint64_t, 2>;

// SipHash-2-4 with 128 bits of output, as its authors define it.
key_digest SipHash(const digest_secret& secret, std::string_view text);

// The digest of a key under a secret that this process draws at random at the
// first call. Callers cannot choose keys that collide in the table, and what
// the time of a comparison shows of a digest says nothing of the key.
key_digest DigestOf(std::string_view key);

// ---- Key table

// Position of a customer in its configuration.
using customer_index = number_id<struct customer_index_tag>;

// Finds the owner of a key by its digest. Open addressing with linear probing,
// at most two thirds full, so that the number of probes does not depend on the
// number of keys. A key takes 30 bytes. Immutable after construction.
class key_table {
 public:
  struct entry {
    key_digest digest;
    customer_index owner;
  };

  key_table() = default;
  // If a digest has several owners, the first one counts.
  explicit key_table(const std::vector<entry>& entries);

  // Returns the owner of the key; invalid if the key is unknown. Adds the
  // number of positions that were examined to `probes` unless it is null.
  customer_index Find(const key_digest& digest,
                      std::size_t* probes = nullptr) const;
  std::size_t key_count() const { return key_count_; }
  // Bytes that the table has allocated.
  std::size_t allocated_bytes() const;

 private:
  // Owner of an unused position.
  static constexpr std::uint32_t kUnused = UINT32_MAX;

  std::size_t HomeOf(const key_digest& digest) const;

  // The positions, as two arrays to avoid padding.
  std::vector<key_digest> digests_;
  std::vector<std::uint32_t> owners_;
  std::size_t key_count_ = 0;
};

// ---- Credentials

inline constexpr std::size_t kMaxKeyBytes = 512;

// Whether a key of this text can be presented in a credential.
bool IsPresentable(std::string_view key);

enum class credential_kind { kNone, kMalformed, kKey };

// What a request carries to prove that its caller belongs to a customer.
struct credential {
  credential_kind kind = credential_kind::kNone;
  // Valid for kKey.
  key_digest digest;
};

// Parses the value of a credential header: the scheme Bearer in any case, one
// or more spaces or tabs, the key, and trailing spaces or tabs.
credential ParseCredential(std::string_view value);

// ---- Age of the configuration

struct age_limits {
  // Whether a revoked key must be rejected after `revocation` in any case.
  bool is_strict = false;
  // Time from the store's acceptance of a configuration until no request with a
  // key that it removed runs.
  milliseconds revocation{5'000};
  // Time within which a configuration is in force on connected hosts.
  milliseconds config_delay{2'000};
};

// Tracks how old the configuration in force can be at most. The age is the time
// since the latest moment at which the configuration is known to have been the
// newest in the store.
class age_rule {
 public:
  explicit age_rule(age_limits limits) : limits_(limits) {}

  // The configuration in force was the newest one at `proven_at`. Earlier
  // moments than the known one change nothing.
  void Confirm(boot_time proven_at);
  // Whether a known key may be accepted.
  bool AcceptsKeys(boot_time now) const;
  // When known keys are no longer accepted without a further confirmation;
  // nullopt if they always are.
  std::optional<boot_time> keys_valid_until() const;
  // Whether a newer configuration may be in force elsewhere, so that an unknown
  // key may be a new one.
  bool MayBeOutdated(boot_time now) const;
  // Delay after which a rejected caller should retry.
  milliseconds retry_after() const;

 private:
  age_limits limits_;
  // Absent until the first confirmation.
  std::optional<boot_time> proven_at_;
};

}  // namespace dotterellead::access

#endif  // DOTTERELLEAD_ACCESS_H_
