#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include "dotterellead/http.h"

namespace dotterellead {
namespace {

bool EqualNames(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

constexpr std::array<std::string_view, 8> kHopByHop = {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization",
    "te",         "trailer",    "transfer-encoding",  "upgrade"};

std::vector<std::string> ConnectionOptions(const http_headers& headers) {
  std::vector<std::string> options;
  for (const http_header& header : headers) {
    if (!EqualNames(header.name, "connection"))
      continue;
    std::size_t begin = 0;
    while (begin <= header.value.size()) {
      std::size_t end = header.value.find(',', begin);
      if (end == std::string::npos)
        end = header.value.size();
      std::string option = header.value.substr(begin, end - begin);
      std::erase(option, ' ');
      if (!option.empty())
        options.push_back(option);
      begin = end + 1;
    }
  }
  return options;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char lower =
      static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      out +=
          static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

}  // namespace

std::string socket_address::ToString() const {
  return ip + ':' + std::to_string(port);
}

socket_address ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  socket_address address;
  bool valid = colon != std::string_view::npos;
  if (valid) {
    address.ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const auto [end, problem] =
        std::from_chars(port.data(), port.data() + port.size(), address.port);
    valid = problem == std::errc() && end == port.data() + port.size();
    in_addr parsed{};
    valid = valid && inet_pton(AF_INET, address.ip.c_str(), &parsed) == 1;
  }
  if (!valid) {
    throw invalid_input_error(
        "'" + std::string(text) + "' is not an address",
        "use a numeric IPv4 address and a port, such as 127.0.0.1:8080");
  }
  return address;
}

const std::string* FindHeader(const http_headers& headers,
                              std::string_view name) {
  for (const http_header& header : headers) {
    if (EqualNames(header.name, name))
      return &header.value;
  }
  return nullptr;
}

void RemoveHopByHopHeaders(http_headers& headers) {
  const std::vector<std::string> listed = ConnectionOptions(headers);
  std::erase_if(headers, [&](const http_header& header) {
    auto matches = [&](std::string_view name) {
      return EqualNames(header.name, name);
    };
    return std::any_of(kHopByHop.begin(), kHopByHop.end(), matches) ||
           std::any_of(listed.begin(), listed.end(), matches);
  });
}

std::string_view to_string(send_failure failure) {
  switch (failure) {
    case send_failure::kNone:
      return "none";
    case send_failure::kConnect:
      return "connect";
    case send_failure::kCut:
      return "cut";
    case send_failure::kTimeout:
      return "timeout";
    case send_failure::kCancelled:
      return "cancelled";
    case send_failure::kBadAnswer:
      return "bad-answer";
  }
  return "none";
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryValue(std::string_view target, std::string_view key) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos)
    return "";
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == key)
      return PercentDecode(pair.substr(equals + 1));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return "";
}

}  // namespace dotterellead
