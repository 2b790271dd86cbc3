#include "client.h"

#include <cctype>

namespace dotterellead {
namespace {

constexpr milliseconds kConnectWait{2'000};
// Longer than the API waits for a write (10 s) or a watch (30 s).
constexpr milliseconds kAnswerWait{35'000};

exit_code CodeOf(int status) {
  switch (status) {
    case 200:
      return exit_code::kOk;
    case 400:
      return exit_code::kInvalid;
    case 404:
      return exit_code::kNotFound;
    case 409:
      return exit_code::kConflict;
    case 429:
    case 503:
      return exit_code::kUnavailable;
    case 504:
      return exit_code::kUnknownOutcome;
    default:
      return exit_code::kUnexpected;
  }
}

std::string Unreachable(const socket_address& host, send_failure failure) {
  return "no answer from " + host.ToString() + " (" +
         std::string(to_string(failure)) + ")\n";
}

}  // namespace

http_request api_client::Request(const std::string& method,
                                 const std::string& target,
                                 const std::string& body) const {
  return {method,
          target,
          {{"Authorization", "Bearer " + options_.secret},
           {"Content-Type", "application/json"}},
          body};
}

send_result api_client::Send(const socket_address& host,
                             const http_request& r) const {
  http_connection connection(host, kConnectWait);
  return connection.Send(r, kAnswerWait);
}

api_result api_client::Read(const std::string& target) const {
  const http_request request = Request("GET", target, "");
  api_result last{exit_code::kUnavailable, "no host was asked\n"};
  for (const socket_address& host : options_.hosts) {
    const send_result r = Send(host, request);
    if (!r.ok()) {
      last.body = Unreachable(host, r.failure);
      continue;
    }
    last = {CodeOf(r.answer.status), r.answer.body};
    if (last.code != exit_code::kUnavailable)
      return last;
  }
  return last;
}

api_result api_client::Write(const std::string& method,
                             const std::string& target,
                             const std::string& body) const {
  const http_request request = Request(method, target, body);
  api_result last{exit_code::kUnavailable, "no host was asked\n"};
  for (const socket_address& host : options_.hosts) {
    const send_result r = Send(host, request);
    if (r.ok())
      return {CodeOf(r.answer.status), r.answer.body};
    last.body = Unreachable(host, r.failure);
    if (r.failure != send_failure::kConnect) {
      last.code = exit_code::kUnknownOutcome;
      return last;
    }
  }
  return last;
}

std::string PercentEncode(const std::string& text) {
  constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 ||
        std::string("-._~:").find(c) != std::string::npos) {
      out += c;
      continue;
    }
    out += '%';
    out += kHex[byte >> 4];
    out += kHex[byte & 15];
  }
  return out;
}

}  // namespace dotterellead
