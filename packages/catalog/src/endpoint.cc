#include <arpa/inet.h>
#include <fmt/core.h>

#include <charconv>

#include "dotterellead/catalog.h"

namespace dotterellead::catalog {

endpoint ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return {};
  const std::string ip(text.substr(0, colon));
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, problem] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  in_addr parsed{};
  if (problem != std::errc() || end != port_text.data() + port_text.size() ||
      inet_pton(AF_INET, ip.c_str(), &parsed) != 1)
    return {};
  return {ntohl(parsed.s_addr), port};
}

std::string to_string(const endpoint& address) {
  return fmt::format("{}.{}.{}.{}:{}", address.ip >> 24,
                     (address.ip >> 16) & 0xff, (address.ip >> 8) & 0xff,
                     address.ip & 0xff, address.port);
}

}  // namespace dotterellead::catalog
