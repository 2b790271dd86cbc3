// Bytes of any kind for tests of decoders, the same for the same seed.
#ifndef TESTS_FUZZ_RANDOM_BYTES_H_
#define TESTS_FUZZ_RANDOM_BYTES_H_

#include <cstdint>
#include <random>
#include <string>

namespace dotterellead::fuzz {

class random_bytes {
 public:
  explicit random_bytes(std::uint64_t seed)
      : random_(static_cast<std::minstd_rand::result_type>(seed + 1)) {}

  // A number from 0 to `limit` - 1.
  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }

  // At most `longest` bytes.
  std::string Noise(std::size_t longest) {
    constexpr std::size_t kBytes = 256;
    std::string bytes(Below(longest + 1), '\0');
    for (char& c : bytes)
      c = static_cast<char>(Below(kBytes));
    return bytes;
  }

 private:
  std::minstd_rand random_;
};

}  // namespace dotterellead::fuzz

#endif  // TESTS_FUZZ_RANDOM_BYTES_H_
