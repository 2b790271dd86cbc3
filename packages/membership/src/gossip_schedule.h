// Selection of gossip targets.
#ifndef DOTTERELLEAD_GOSSIP_SCHEDULE_H_
#define DOTTERELLEAD_GOSSIP_SCHEDULE_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace dotterellead {

// Returns addresses in turn, in an order that differs by host, so that hosts do
// not all contact the same one at the same time.
class address_rotation {
 public:
  explicit address_rotation(std::string salt) : salt_(std::move(salt)) {}
  // Returns the next `count` addresses, each at most once.
  std::vector<std::string> Next(const std::set<std::string>& addresses,
                                std::size_t count);

 private:
  std::string salt_;
  std::uint64_t last_ = 0;
};

// Divides the fan-out between members, whose responses the quorum needs within
// a limited time, and other addresses without a known host, so that the latter
// cannot delay the rounds much.
class gossip_schedule {
 public:
  explicit gossip_schedule(const std::string& salt)
      : members_(salt), others_(salt) {}
  std::vector<std::string> Next(const std::set<std::string>& members,
                                const std::set<std::string>& others);

 private:
  address_rotation members_;
  address_rotation others_;
  std::uint64_t rounds_ = 0;
};

}  // namespace dotterellead

#endif  // DOTTERELLEAD_GOSSIP_SCHEDULE_H_
