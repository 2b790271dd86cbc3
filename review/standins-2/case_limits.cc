// The operator raises the limit of the header size. Callers with open
// connections then send headers inside the new limit.
#include <cstdlib>

#include "world.h"

namespace review {
namespace {

constexpr int kHosts = 2;
constexpr int kServers = 4;
constexpr int kCallers = 40;
constexpr int kFormerLimit = 16'384;
constexpr int kNewLimit = 65'536;
constexpr std::size_t kCookieBytes = 48'000;
// Longer than `configApplyS` of the settings, 2 s, and shorter than four fifths
// of `idleTimeoutS`, 15 s.
constexpr milliseconds kApplyTime{4'500};
constexpr milliseconds kTimeout{2'500};
// RULES.md, "DENIED": more than 5 and one in 500 of all requests.
constexpr double kFreeDenials = 5;
constexpr double kDeniedPart = 1.0 / 500;

struct counts {
  int asked = 0;
  int denied = 0;
};

// Sends a payment on an open connection.
void Pay(world& w,
         const socket_handle& socket,
         const std::string& id,
         std::size_t cookie_bytes,
         const std::string& where,
         counts& total) {
  ++total.asked;
  WriteAll(socket,
           "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id +
               "\r\nRequest-Deadline-Ms: 2000\r\nContent-Length: 1\r\n"
               "Cookie: " +
               std::string(cookie_bytes, 'c') + "\r\n\r\nx");
  message_reader reader(socket);
  const std::optional<message> answer = reader.Read();
  const int status = answer ? answer->status() : 0;
  // Statuses of the host's own have no signature.
  const bool is_denied = answer && status >= 300 && status < 500 &&
                         status != 408 && status != 421 && status != 429 &&
                         answer->Header("response-signature").empty();
  total.denied += is_denied ? 1 : 0;
  w.Note(
      "payment " + id + " with a header of about " +
      std::to_string(cookie_bytes + 150) + " bytes on " + where + ": " +
      std::to_string(status) +
      (is_denied ? " " + answer->body.substr(0, answer->body.find('\n')) : ""));
}

int Main(const std::string& record, bool has_trouble) {
  world w(record);
  const std::vector<route_row> routes = {
      {"read", "/read/", "idempotent", 2, 0.6, 2, "core"},
      {"pay", "/pay/", "non_idempotent", 2, 0.6, 2, "core"}};
  w.PutConfig(routes, has_trouble ? kFormerLimit : kNewLimit);
  for (int i = 0; i < kServers; ++i)
    w.AddBackend({.id = "i-" + std::to_string(i),
                  .pool = "core",
                  .zone = i % 2 == 0 ? "zone-a" : "zone-b"});
  for (int i = 0; i < kHosts; ++i)
    w.AddHost("edge-" + std::to_string(i), i % 2 == 0 ? "zone-a" : "zone-b");
  if (!w.StartHosts())
    return 2;
  std::this_thread::sleep_for(milliseconds(1'000));
  counts total;
  std::vector<socket_handle> kept;
  for (int i = 0; i < kCallers; ++i) {
    constexpr std::size_t kSmallCookie = 100;
    kept.push_back(Connect(
        w.hosts()[static_cast<std::size_t>(i % kHosts)]->front(), kTimeout));
    Pay(w, kept.back(), "first-" + std::to_string(i), kSmallCookie,
        "its first request", total);
  }
  if (has_trouble)
    w.PutConfig(routes, kNewLimit);
  w.Note("the limit of the header size is " + std::to_string(kNewLimit));
  std::this_thread::sleep_for(kApplyTime);
  for (int i = 0; i < kCallers; ++i) {
    const socket_handle fresh = Connect(
        w.hosts()[static_cast<std::size_t>(i % kHosts)]->front(), kTimeout);
    Pay(w, fresh, "new-" + std::to_string(i), kCookieBytes, "a new connection",
        total);
    Pay(w, kept[static_cast<std::size_t>(i)], "kept-" + std::to_string(i),
        kCookieBytes, "the open connection", total);
  }
  const double allowed = kFreeDenials + kDeniedPart * total.asked;
  w.Note(std::to_string(total.asked) + " payments, all inside the limits, " +
         std::to_string(total.denied) + " denied, allowed are " +
         std::to_string(allowed));
  const bool is_broken = total.denied > allowed;
  w.Note(is_broken ? "broken" : "held");
  return is_broken ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const char* trouble = std::getenv("TROUBLE");
  try {
    return argc == 2 ? review::Main(argv[1], trouble == nullptr ||
                                                 std::string(trouble) != "0")
                     : 2;
  } catch (const std::exception&) {
    return 2;
  }
}
