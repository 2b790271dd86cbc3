// The headers that carry a caller's credential and name its customer.
#include <doctest/doctest.h>

#include "messages.h"
#include "traffic_fixture.h"

using namespace dotterellead;
using namespace dotterellead::traffic;

namespace {

// What a server gets of these header lines of the caller, if the dispatcher
// says so.
request_message Forwarded(
    const std::vector<std::pair<std::string, std::string>>& lines,
    const dispatch::customer_header& customer) {
  request_message request(http::verb::get, "/a/1", 11);
  for (const auto& [name, value] : lines)
    request.insert(name, value);
  dispatch::send_attempt attempt;
  attempt.server.id = server_id("s-1");
  attempt.customer = customer;
  return MakeServerRequest(request, "/a/1", Names(), attempt);
}

access::credential Read(const std::vector<std::string>& lines) {
  request_message request(http::verb::get, "/a/1", 11);
  for (const std::string& line : lines)
    request.insert("cReDential", line);
  return ReadCredential(request, Names());
}

const dispatch::customer_header& Acme() {
  static const dispatch::customer_header header{
      dispatch::customer_header_action::kSet, customer_id("acme")};
  return header;
}

}  // namespace

TEST_CASE("one credential line is read, several are malformed") {
  using access::credential_kind;
  CHECK(Read({}).kind == credential_kind::kNone);
  CHECK(Read({""}).kind == credential_kind::kMalformed);
  CHECK(Read({"bearer k"}).digest == access::DigestOf("k"));
  CHECK(Read({"Bearer k", "Bearer k"}).kind == credential_kind::kMalformed);
  CHECK(Read({"Bearer k", "Basic x"}).kind == credential_kind::kMalformed);
}

// Guards against callers that name a customer themselves.
TEST_CASE("the server gets the owner's name once, and no credential") {
  const std::vector<std::vector<std::pair<std::string, std::string>>> cases = {
      {},
      {{"Customer", "other"}},
      {{"customer", "other"}, {"CUSTOMER", "third"}, {"Customer", "acme"}},
      {{"Connection", "customer, credential"}, {"Customer", "other"}}};
  for (auto lines : cases) {
    lines.emplace_back("Credential", "Bearer secret-1");
    lines.emplace_back("CREDENTIAL", "Bearer secret-2");
    const request_message set = Forwarded(lines, Acme());
    CHECK(set.count("Customer") == 1);
    CHECK(set["Customer"] == "acme");
    CHECK(set.count("Credential") == 0);
    const request_message removed =
        Forwarded(lines, {dispatch::customer_header_action::kRemove, {}});
    CHECK(removed.count("Customer") == 0);
    CHECK(removed.count("Credential") == 0);
  }
}

TEST_CASE("without customers both headers pass as the caller sent them") {
  const request_message passed = Forwarded(
      {{"Customer", "x"}, {"customer", "y"}, {"Credential", "Basic z"}},
      dispatch::customer_header());
  CHECK(passed.count("Customer") == 2);
  CHECK(passed["Credential"] == "Basic z");
}

// Guards against a process that was frozen between the decision and the
// sending, and sends a revoked key's request when it wakes.
TEST_CASE("an attempt is not sent after the time until which it is permitted") {
  loopback_server server(kServerPort, [](const std::string& request) {
    return ServerResponse(request);
  });
  traffic_fixture traffic;
  traffic.not_after = boot_clock::now() - milliseconds(1);
  CHECK(Has(traffic.Send(Get()), "502"));
  CHECK(traffic.results == std::vector<dispatch::attempt_result>{
                               dispatch::attempt_result::kNotSent});
  traffic.not_after = boot_clock::now() + std::chrono::minutes(1);
  CHECK(Has(traffic.Send(Get()), "hello"));
}

TEST_CASE("rejections of keys have the statuses of the protocol") {
  CHECK(StatusOf(dispatch::reject_reason::kUnknownKey) ==
        http::status::unauthorized);
  CHECK(StatusOf(dispatch::reject_reason::kConfigurationOutdated) ==
        http::status::service_unavailable);
}
