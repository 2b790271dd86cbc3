// Keys of customers in virtual time: at arrival, in a queue, before a retry,
// and while the configuration grows old.
#include <doctest/doctest.h>

#include "dispatch_simulation.h"

using namespace dotterellead;
using namespace dotterellead::dispatch;

namespace {

constexpr milliseconds kLimit{5'000};

dispatch_settings Strict() {
  dispatch_settings s = dispatch_simulation::DefaultSettings();
  s.age_limits = {true, kLimit, milliseconds(2'500)};
  return s;
}

access::credential Credential(const std::string& key) {
  return access::ParseCredential("Bearer " + key);
}

struct customer_row {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
};

// Puts a configuration with these customers in force.
void SetCustomers(dispatch_simulation& s,
                  const std::vector<customer_row>& rows) {
  auto config = std::make_shared<catalog::configuration>(*s.catalog.config);
  config->version = config->version.next();
  config->has_customers = true;
  config->customers.clear();
  config->routes.back().is_public = true;
  std::vector<access::key_table::entry> entries;
  for (const customer_row& row : rows) {
    for (const std::string& key : row.keys)
      entries.push_back({access::DigestOf(key),
                         access::customer_index(config->customers.size())});
    config->customers.push_back({customer_id(row.name), row.priority});
  }
  config->keys = access::key_table(entries);
  s.catalog.config = config;
  s.Publish();
}

void Confirm(dispatch_simulation& s) {
  s.Step(config_confirmed{s.boot(), s.catalog.config->version});
}

// A simulation in which customer "acme" holds the key "k".
struct keyed_simulation : dispatch_simulation {
  keyed_simulation() : dispatch_simulation(Strict()) {
    AddServer("s-1");
    AddServer("s-2");
    SetCustomers(*this, {{"acme", {"k"}, {}}});
    Confirm(*this);
  }
  request_id Send(const access::credential& credential,
                  const std::string& route = "read") {
    next_credential = credential;
    return SendRequest(route);
  }
};

}  // namespace

TEST_CASE("a known key names its owner to the server, others are rejected") {
  keyed_simulation s;
  s.service_time = milliseconds(20);
  const request_id known = s.Send(Credential("k"));
  const request_id unknown = s.Send(Credential("other"));
  const request_id none = s.Send({});
  const request_id malformed = s.Send(access::ParseCredential("Basic k"));
  const request_id no_route = s.Send({}, "nowhere");
  s.Run(milliseconds(100));
  CHECK(s.results[known].is_delivered);
  CHECK(s.headers[known].action == customer_header_action::kSet);
  CHECK(s.headers[known].customer == customer_id("acme"));
  for (const request_id id : {unknown, none, malformed}) {
    CHECK(s.results[id].rejected == reject_reason::kUnknownKey);
    CHECK_FALSE(s.results[id].retry_after.has_value());
  }
  CHECK(s.results[no_route].rejected == reject_reason::kNoRoute);
}

TEST_CASE("a public route needs no key, and names the owner of a known one") {
  keyed_simulation s;
  s.service_time = milliseconds(20);
  const request_id known = s.Send(Credential("k"), "pay");
  const request_id unknown = s.Send(Credential("other"), "pay");
  s.Run(milliseconds(100));
  CHECK(s.headers[known].customer == customer_id("acme"));
  CHECK(s.results[unknown].is_delivered);
  CHECK(s.headers[unknown].action == customer_header_action::kRemove);
}

TEST_CASE("without customers the headers pass as the caller sent them") {
  dispatch_simulation s;
  s.AddServer("s-1");
  s.Publish();
  s.next_credential = Credential("k");
  const request_id id = s.SendRequest("read");
  s.Run(milliseconds(50));
  REQUIRE(s.results[id].sent_to.size() == 1);
  CHECK(s.headers[id].action == customer_header_action::kPassOn);
}

// Guards against a request that runs with a key that was revoked while it
// waited for a slot.
TEST_CASE("a queued request whose key is removed is not sent") {
  keyed_simulation s;
  std::vector<request_id> running;
  running.reserve(4);
  for (int i = 0; i < 4; ++i)
    running.push_back(s.Send(Credential("k")));
  s.Run(milliseconds(50));
  const request_id queued = s.Send(Credential("k"));
  s.Run(milliseconds(50));
  REQUIRE(s.results[queued].sent_to.empty());
  SetCustomers(s, {{"acme", {"new"}, {}}});
  Confirm(s);
  s.EndAttempt(running[0], attempt_result::kResponded);
  s.Run(milliseconds(100));
  CHECK(s.results[queued].sent_to.empty());
  CHECK(s.results[queued].rejected == reject_reason::kUnknownKey);
}

// The rejection must not claim that the request did not run.
TEST_CASE("a request whose key is removed before its retry is not sent again") {
  keyed_simulation s;
  const request_id ran = s.Send(Credential("k"));
  const request_id did_not_run = s.Send(Credential("k"));
  s.Run(milliseconds(50));
  SetCustomers(s, {{"acme", {"new"}, {}}});
  Confirm(s);
  s.EndAttempt(ran, attempt_result::kConnectionLost);
  s.EndAttempt(did_not_run, attempt_result::kNotRun);
  s.Run(milliseconds(100));
  CHECK(s.results[ran].sent_to.size() == 1);
  CHECK(s.results[ran].rejected == reject_reason::kServerFailed);
  CHECK(s.results[did_not_run].sent_to.size() == 1);
  CHECK(s.results[did_not_run].rejected == reject_reason::kUnknownKey);
}

// Guards against a host that serves revoked keys, or rejects new ones with 401,
// while it is cut off.
TEST_CASE(
    "an old configuration accepts no keys, and public routes are served") {
  keyed_simulation s;
  s.service_time = milliseconds(20);
  s.Run(milliseconds(2'400));
  const request_id early = s.Send(Credential("other"));
  s.Run(milliseconds(200));
  const request_id unknown = s.Send(Credential("other"));
  const request_id missing = s.Send({});
  s.Run(milliseconds(1'800));
  const request_id last = s.Send(Credential("k"));
  s.Run(milliseconds(200));
  const request_id late = s.Send(Credential("k"));
  const request_id open = s.Send(Credential("k"), "pay");
  s.Run(milliseconds(100));
  CHECK(s.results[early].rejected == reject_reason::kUnknownKey);
  CHECK(s.results[unknown].rejected == reject_reason::kConfigurationOutdated);
  CHECK(s.results[missing].rejected == reject_reason::kUnknownKey);
  CHECK(s.results[last].is_delivered);
  CHECK(s.results[late].rejected == reject_reason::kConfigurationOutdated);
  CHECK(s.results[late].retry_after.has_value());
  CHECK(s.results[open].is_delivered);
  CHECK(s.headers[open].action == customer_header_action::kRemove);
  Confirm(s);
  const request_id again = s.Send(Credential("k"));
  s.Run(milliseconds(100));
  CHECK(s.results[again].is_delivered);
}

// Guards against a server that is blamed, or a retry that is spent, for an
// attempt that this host did not begin in time.
TEST_CASE("an attempt that was not sent is checked and placed again") {
  keyed_simulation s;
  const request_id placed_again = s.Send(Credential("k"));
  s.Run(milliseconds(20));
  s.EndAttempt(placed_again, attempt_result::kNotSent, 0);
  s.Run(milliseconds(20));
  CHECK(s.results[placed_again].sent_to.size() == 2);
  s.Suspend(kLimit);
  s.EndAttempt(placed_again, attempt_result::kNotSent, 0);
  s.Run(milliseconds(500));
  CHECK(s.results[placed_again].sent_to.size() == 2);
  REQUIRE(s.results[placed_again].rejected.has_value());
  CHECK(GuaranteesNotRun(*s.results[placed_again].rejected));
}

TEST_CASE(
    "a suspended machine and a lost catalog do not make the age younger") {
  keyed_simulation s;
  s.service_time = milliseconds(20);
  s.Suspend(kLimit);
  const request_id after = s.Send(Credential("k"));
  s.Step(config_confirmed{s.boot(), s.catalog.config->version.next()});
  const request_id unseen = s.Send(Credential("k"));
  s.Run(milliseconds(50));
  CHECK(s.results[after].rejected == reject_reason::kConfigurationOutdated);
  CHECK(s.results[unseen].rejected == reject_reason::kConfigurationOutdated);
}

TEST_CASE("a customer's priority goes before the route's") {
  keyed_simulation s;
  SetCustomers(s, {{"acme", {"k"}, {}}, {"urgent", {"u"}, 0}});
  Confirm(s);
  std::vector<request_id> running;
  running.reserve(4);
  for (int i = 0; i < 4; ++i)
    running.push_back(s.Send(Credential("k")));
  s.Run(milliseconds(50));
  const request_id urgent = s.Send(Credential("u"));
  s.Run(milliseconds(5));
  const request_id newer = s.Send(Credential("k"));
  s.Run(milliseconds(5));
  s.EndAttempt(running[0], attempt_result::kResponded);
  s.Run(milliseconds(40));
  CHECK(s.results[urgent].sent_to.size() == 1);
  CHECK(s.results[newer].sent_to.empty());
}

// Guards against a customer that takes the share of the others by sending ten
// times as much. At twice the capacity the others would be served half.
TEST_CASE("a greedy customer does not take the share of the others") {
  keyed_simulation s;
  std::vector<customer_row> rows;
  rows.reserve(10);
  for (int i = 0; i < 10; ++i)
    rows.push_back({"c" + std::to_string(i), {"key" + std::to_string(i)}, {}});
  SetCustomers(s, rows);
  s.service_time = milliseconds(50);
  // About 59 requests a second fit into the 4 slots; each of nine customers
  // sends 4, the greedy one 80.
  std::vector<std::vector<request_id>> sent(rows.size());
  for (int ms = 0; ms < 30'000; ++ms) {
    if (ms % 1'000 == 0)
      Confirm(s);
    if (ms % 12 == 0)
      sent[0].push_back(s.Send(Credential("key0")));
    if (ms % 28 == 0) {
      const std::size_t c = 1 + static_cast<std::size_t>(ms / 28 % 9);
      sent[c].push_back(s.Send(Credential("key" + std::to_string(c))));
    }
    s.Run(milliseconds(1));
  }
  std::vector<double> shares;
  double served = 0;
  double all = 0;
  for (const std::vector<request_id>& requests : sent) {
    const auto delivered = static_cast<double>(std::count_if(
        requests.begin(), requests.end(),
        [&](request_id id) { return s.results[id].is_delivered; }));
    shares.push_back(delivered / static_cast<double>(requests.size()));
    served += delivered;
    all += static_cast<double>(requests.size());
  }
  CAPTURE(shares[0]);
  CAPTURE(served / all);
  const double worst_other =
      *std::min_element(shares.begin() + 1, shares.end());
  CAPTURE(worst_other);
  CHECK(worst_other > 0.85);
  // No customer is served less than a quarter as often as all.
  CHECK(shares[0] > served / all / 4);
}
