#include "pool_exchange.h"

#include <doctest/doctest.h>

#include "dotterellead/fleet.h"

using namespace dotterellead;
using namespace dotterellead::fleet;

namespace {

constexpr time_point kStart{milliseconds(100'000)};

pools::pool_table Table(const std::string& dc, double offered) {
  pools::pool_load load;
  load.by_priority[0].offered = offered;
  load.host_count = 1;
  return {{{pool_id("p"), data_centre_id(dc)}, load}};
}

pools::pool_load Sum(const pools::pool_table& table) {
  pools::pool_load sum;
  for (const auto& [key, load] : table)
    sum.Add(load);
  return sum;
}

}  // namespace

TEST_CASE("the loads of the descendants are summed by data centre") {
  pool_exchange root;
  root.SetOwn(Table("a", 1), kStart);
  root.RecordChild(member_id("c1"), Table("a", 2), kStart);
  root.RecordChild(member_id("c2"), Table("b", 4), kStart);
  const pools::pool_table totals = root.Totals(true, kStart);
  CHECK(totals.size() == 2);
  CHECK(Sum(totals).by_priority[0].offered == doctest::Approx(7));
  CHECK(Sum(totals).host_count == 3);
  // A repeated message changes nothing.
  root.RecordChild(member_id("c2"), Table("b", 4), kStart);
  CHECK(Sum(root.Totals(true, kStart)).host_count == 3);
}

// Guards against bytes between data centres that say nothing new.
TEST_CASE("only changed rows are sent, at most every half second") {
  pool_exchange host;
  const member_id to("parent");
  CHECK(host.RowsFor(to, Table("a", 10), kStart).size() == 1);
  CHECK(host.RowsFor(to, Table("a", 90), kStart + milliseconds(400)).empty());
  CHECK(host.RowsFor(to, Table("a", 90), kStart + milliseconds(500)).size() ==
        1);
  CHECK(host.RowsFor(to, Table("a", 91), kStart + milliseconds(1'500)).empty());
  // A restarted receiver gets the row after some time.
  CHECK(host.RowsFor(to, Table("a", 91), kStart + milliseconds(2'500)).size() ==
        1);
  CHECK(host.RowsFor(to, {}, kStart + milliseconds(9'000)).empty());
}

// Guards against the load of a host that ended, and a frozen or lost root.
TEST_CASE("silent senders age and are dropped") {
  pool_exchange host;
  host.SetOwn(Table("a", 1), kStart);
  host.RecordChild(member_id("c"), Table("a", 2), kStart);
  host.RecordParent(Table("a", 3), kStart);
  const time_point later = kStart + milliseconds(3'500);
  host.SetOwn(Table("a", 1), later);
  CHECK(Sum(host.Subtree(later)).age == milliseconds(1'500));
  CHECK(Sum(host.Totals(false, later)).age == milliseconds(1'500));
  const time_point late = kStart + milliseconds(5'000);
  CHECK(Sum(host.Subtree(late)).by_priority[0].offered == doctest::Approx(1));
  CHECK(host.Totals(false, late).empty());
  host.RecordParent(Table("a", 3), late);
  host.StartParent();
  CHECK(host.Totals(false, late).empty());
}

// Guards against a release that older hosts cannot talk to.
TEST_CASE("messages without loads are those of the previous release") {
  sync_request request;
  request.self = {member_id("a"), data_centre_id("z"), {0x7f000001, 1}};
  CHECK(EncodeRequest(request).find("pools") == std::string::npos);
  request.pools = Table("z", 12.34);
  const sync_request decoded = DecodeRequest(EncodeRequest(request));
  CHECK(Sum(decoded.pools).by_priority[0].offered == doctest::Approx(12.3));
  CHECK(Sum(decoded.pools).host_count == 1);
}
