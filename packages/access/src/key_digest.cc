#include <sys/random.h>

#include <bit>

#include "dotterellead/access.h"

namespace dotterellead::access {

namespace {

class sip_state {
 public:
  explicit sip_state(const digest_secret& secret)
      : v0_(0x736f6d6570736575 ^ secret[0]),
        v1_(0x646f72616e646f6d ^ secret[1] ^ kWideMark),
        v2_(0x6c7967656e657261 ^ secret[0]),
        v3_(0x7465646279746573 ^ secret[1]) {}

  void Absorb(std::uint64_t word) {
    v3_ ^= word;
    Rounds(2);
    v0_ ^= word;
  }

  key_digest Finish() {
    v2_ ^= kWideMark;
    Rounds(4);
    const std::uint64_t high = v0_ ^ v1_ ^ v2_ ^ v3_;
    v1_ ^= kSecondHalfMark;
    Rounds(4);
    return {high, v0_ ^ v1_ ^ v2_ ^ v3_};
  }

 private:
  // Distinguish the 128-bit variant, and its second half.
  static constexpr std::uint64_t kWideMark = 0xee;
  static constexpr std::uint64_t kSecondHalfMark = 0xdd;

  void Rounds(int count) {
    for (int i = 0; i < count; ++i) {
      v0_ += v1_;
      v1_ = std::rotl(v1_, 13) ^ v0_;
      v0_ = std::rotl(v0_, 32);
      v2_ += v3_;
      v3_ = std::rotl(v3_, 16) ^ v2_;
      v0_ += v3_;
      v3_ = std::rotl(v3_, 21) ^ v0_;
      v2_ += v1_;
      v1_ = std::rotl(v1_, 17) ^ v2_;
      v2_ = std::rotl(v2_, 32);
    }
  }

  std::uint64_t v0_;
  std::uint64_t v1_;
  std::uint64_t v2_;
  std::uint64_t v3_;
};

std::uint64_t ReadLittleEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = bytes.size(); i > 0; --i)
    value = value << 8 | static_cast<unsigned char>(bytes[i - 1]);
  return value;
}

digest_secret DrawSecret() {
  digest_secret secret{};
  // Requests of up to 256 bytes are not interrupted once the kernel's generator
  // is ready.
  if (::getrandom(secret.data(), sizeof(secret), 0) !=
      static_cast<ssize_t>(sizeof(secret)))
    throw unavailable_error("the kernel gave no random bytes",
                            "run on a Linux kernel with getrandom");
  return secret;
}

}  // namespace

key_digest SipHash(const digest_secret& secret, std::string_view text) {
  constexpr std::size_t kWordBytes = 8;
  constexpr int kLengthShift = 56;
  sip_state state(secret);
  const std::uint64_t length = text.size();
  for (; text.size() >= kWordBytes; text.remove_prefix(kWordBytes))
    state.Absorb(ReadLittleEndian(text.substr(0, kWordBytes)));
  state.Absorb(length << kLengthShift | ReadLittleEndian(text));
  return state.Finish();
}

key_digest DigestOf(std::string_view key) {
  static const digest_secret secret = DrawSecret();
  return SipHash(secret, key);
}

}  // namespace dotterellead::access
