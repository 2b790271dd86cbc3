#include <algorithm>

#include "dotterellead/access.h"

namespace dotterellead::access {

namespace {

constexpr std::string_view kScheme = "bearer";
constexpr std::string_view kBlanks = " \t";

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool IsPresentable(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::none_of(key.begin(), key.end(), [](char c) {
           const auto byte = static_cast<unsigned char>(c);
           return byte <= ' ' || byte == 0x7f;
         });
}

credential ParseCredential(std::string_view value) {
  const credential malformed{credential_kind::kMalformed, {}};
  const std::size_t scheme_end = value.find_first_of(kBlanks);
  if (scheme_end != kScheme.size() ||
      !std::equal(kScheme.begin(), kScheme.end(), value.begin(),
                  [](char a, char b) { return a == ToLower(b); }))
    return malformed;
  const std::size_t begin = value.find_first_not_of(kBlanks, scheme_end);
  if (begin == std::string_view::npos)
    return malformed;
  const std::size_t end = value.find_last_not_of(kBlanks) + 1;
  const std::string_view key = value.substr(begin, end - begin);
  if (!IsPresentable(key))
    return malformed;
  return {credential_kind::kKey, DigestOf(key)};
}

}  // namespace dotterellead::access
