#include "dotterellead/access.h"

namespace dotterellead::access {

key_table::key_table(const std::vector<entry>& entries) {
  if (entries.empty())
    return;
  // Half as many positions again as keys, and always an unused one, at which a
  // search ends.
  const std::size_t size = entries.size() + entries.size() / 2 + 1;
  digests_.resize(size);
  owners_.resize(size, kUnused);
  for (const entry& e : entries) {
    std::size_t i = HomeOf(e.digest);
    while (owners_[i] != kUnused && digests_[i] != e.digest)
      i = i + 1 == size ? 0 : i + 1;
    if (owners_[i] != kUnused)
      continue;
    digests_[i] = e.digest;
    owners_[i] = static_cast<std::uint32_t>(e.owner.value());
    ++key_count_;
  }
}

std::size_t key_table::HomeOf(const key_digest& digest) const {
  return static_cast<std::size_t>(digest.high % digests_.size());
}

customer_index key_table::Find(const key_digest& digest,
                               std::size_t* probes) const {
  if (digests_.empty())
    return {};
  std::size_t count = 1;
  std::size_t i = HomeOf(digest);
  while (owners_[i] != kUnused && digests_[i] != digest) {
    i = i + 1 == digests_.size() ? 0 : i + 1;
    ++count;
  }
  if (probes != nullptr)
    *probes += count;
  return owners_[i] == kUnused ? customer_index() : customer_index(owners_[i]);
}

std::size_t key_table::allocated_bytes() const {
  return digests_.capacity() * sizeof(key_digest) +
         owners_.capacity() * sizeof(std::uint32_t);
}

}  // namespace dotterellead::access
