#include <doctest/doctest.h>

#include "config_replay.h"
#include "fake_cluster.h"

namespace dotterellead {
namespace {

using effects = std::vector<config_machine::effect>;

log_record Applied(std::uint64_t offset, const std::string& name) {
  return {log_offset(offset),
          EncodeConfigRecord(
              apply_record{Pool(name, "t"), {}, log_offset(offset), name})};
}

config_snapshot LastView(const effects& all) {
  config_snapshot view;
  for (const auto& e : all) {
    if (const auto* p = std::get_if<config_published>(&e))
      view = p->view;
  }
  return view;
}

config_view TableThrough(std::uint64_t offset) {
  config_view table;
  table.through = log_offset(offset);
  return table;
}

// Guards against treating an empty state as the real one, and against peers
// that replace a state by an earlier one.
TEST_CASE(
    "a truncated log without a snapshot waits for a peer that reaches it") {
  config_machine m("h/1");
  const timestamp now{};
  effects out;
  const log_batch batch{ConfigStream(),
                        {Applied(5, "a"), Applied(6, "b")},
                        log_offset(5),
                        log_offset(7),
                        milliseconds(1'000)};
  m.Step(batch, now, out);
  CHECK(LastView(out) == nullptr);
  m.Step(peer_offsets{log_offset(4), "peer"}, now, out);
  CHECK(std::holds_alternative<fetch_from_peer>(out.back()));
  m.Step(peer_snapshot{TableThrough(4)}, now, out);
  REQUIRE(LastView(out) != nullptr);
  CHECK(LastView(out)->through == log_offset(6));
  CHECK(LastView(out)->pools.size() == 2);
  out.clear();
  m.Step(peer_snapshot{TableThrough(3)}, now, out);
  m.Step(peer_records{log_offset(0), log_offset(6), {}}, now, out);
  m.Step(peer_records{log_offset(9), log_offset(12), {}}, now, out);
  m.Step(log_batch{ConfigStream(), {}, log_offset(0), log_offset(1)}, now, out);
  CHECK(LastView(out) == nullptr);
}

// Guards against a snapshot that reverts later records.
TEST_CASE("a snapshot never overrides records after its offset") {
  config_view old = TableThrough(4);
  StoreResource(old, Pool("a", "old"), log_offset(2));
  const std::vector<log_record> records = {
      {log_offset(5),
       EncodeConfigRecord(
           apply_record{Pool("a", "new"), log_offset(2), log_offset(4), "n"})},
      {log_offset(6), EncodeConfigRecord(snapshot_record{old})}};
  config_machine m("h/1");
  effects out;
  m.Step(log_batch{ConfigStream(), records, log_offset(5), log_offset(7),
                   milliseconds(1'000)},
         timestamp{}, out);
  REQUIRE(LastView(out) != nullptr);
  CHECK(LastView(out)->pools.at(pool_id("a")).spec.tenant == tenant_id("new"));
}

// Guards against a codec that changes a state, and against input that crashes
// the process.
TEST_CASE("decoding an encoded record or state gives the same one") {
  config_view table = TableThrough(9);
  StoreResource(table, Pool("a", "t"), log_offset(3));
  StoreResource(table, {"dc", data_centre_spec{true}}, log_offset(4));
  StoreResource(table, Move("m", "a"), log_offset(5));
  table.moves[move_id("m")].progress = {10, 2, move_verdict::kRolledBack, "x"};
  table.last_removal = log_offset(1);
  const config_record records[] = {
      apply_record{Pool("a", "t"), log_offset(), log_offset(8), "n"},
      remove_record{{"pool", "a"}, log_offset(3), "n"},
      move_step_record{move_id("m"), log_offset(5), 1, {50, 2}, "n"},
      snapshot_record{table}};
  for (const config_record& r : records) {
    const std::string text = EncodeConfigRecord(r);
    CHECK((DecodeConfigRecord(text) == r));
    for (std::size_t cut = 0; cut < text.size(); cut += 7)
      CHECK_THROWS_AS(DecodeConfigRecord(text.substr(0, cut)), protocol_error);
    const peer_state state =
        peer_records{log_offset(0), log_offset(9), {{log_offset(9), r}}};
    CHECK((DecodePeerState(EncodePeerState(state)) == state));
  }
  const peer_state whole = peer_snapshot{table};
  CHECK((DecodePeerState(EncodePeerState(whole)) == whole));
  for (const char* bad : {"[]", "{}", R"({"type":"apply","resource":1})",
                          R"({"type":"snapshot","table":{"resources":[1]}})"})
    CHECK_THROWS_AS(DecodeConfigRecord(bad), protocol_error);
}

// Guards against "conflict" for a record that may have been accepted: it lies
// before a whole table that was taken over, in which another revision is
// current.
TEST_CASE(
    "a write before a table taken over is unknown unless it is still current") {
  for (const bool in_place : {false, true}) {
    config_machine m("h/1");
    effects out;
    m.Step(log_batch{ConfigStream(), {}, log_offset(0), log_offset(0)},
           timestamp{}, out);
    m.Step(write_request{request_id(1), false, Pool("a", "t"), std::nullopt,
                         time_point(milliseconds(9'000))},
           timestamp{}, out);
    const auto append = std::get<append_request>(out.back());
    config_view table = TableThrough(9);
    StoreResource(table, Pool("a", "x"), log_offset(in_place ? 5 : 7));
    m.Step(peer_snapshot{table}, timestamp{}, out);
    m.Step(append_result{ConfigStream(), append.token, append_status::kAppended,
                         log_offset(5)},
           timestamp{}, out);
    const auto& outcome = std::get<write_result>(out.back()).outcome;
    CHECK(std::holds_alternative<write_accepted>(outcome) == in_place);
    CHECK(std::holds_alternative<write_unknown>(outcome) == !in_place);
  }
}

// Guards against a malformed record that stops the replay.
TEST_CASE("a malformed record is skipped") {
  config_machine m("h/1");
  effects out;
  m.Step(log_batch{ConfigStream(),
                   {{log_offset(0), "garbage"}, Applied(1, "a")},
                   log_offset(0),
                   log_offset(2)},
         timestamp{}, out);
  REQUIRE(LastView(out) != nullptr);
  CHECK(LastView(out)->pools.size() == 1);
}

// ---- Moves

struct move_cluster : fake_cluster {
  move_cluster() : fake_cluster(3) {
    Run(2);
    Write(0, Pool("a", "t"));
    Run(4);
  }
  const stored_move& Stored() const {
    return hosts[0].view->moves.at(move_id("m"));
  }
  // All hosts propose the same step concurrently.
  void Propose(const move_progress& next) {
    const std::uint32_t from = Stored().progress.step;
    for (std::size_t i = 0; i < 3; ++i)
      Post(i, propose_move_step{move_id("m"), Stored().revision, from, next});
    Run(4);
  }
};

// Guards against a move that resumes after a rollback, by a late step of
// another host or by applying the same file again.
TEST_CASE("steps advance one at a time and a rollback is final") {
  move_cluster c;
  c.Write(0, Move("m", "a"));
  c.Run(4);
  c.Propose({10, 1});
  CHECK(c.Stored().progress.step == 1);
  c.Propose({50, 2});
  c.Write(1, Move("m", "a", 2'000'000));
  c.Run(4);
  CHECK(c.Stored().progress.step == 2);
  c.Propose({0, 2, move_verdict::kRolledBack, "errors"});
  c.Propose({100, 3});
  move_step_record late{move_id("m"), c.Stored().revision, 2, {500, 3}, "late"};
  c.log.entries.push_back({EncodeConfigRecord(late), c.log.now});
  c.Write(1, Move("m", "a", 2'000'000));
  c.Run(4);
  CHECK(c.writes.back().Is<write_accepted>());
  CHECK(c.Stored().progress.verdict == move_verdict::kRolledBack);
  c.Write(1, Move("m", "a", 3'000'000));
  c.Run(4);
  CHECK(c.Stored().progress == move_progress{});
  c.CheckConverged();
}

// Guards against moves that can never run, and against removing a pool with a
// move in progress.
TEST_CASE("writes are checked against other resources") {
  move_cluster c;
  resource wrong_version = Move("m", "a");
  std::get<move_spec>(wrong_version.spec).to_version = version_id("v9");
  CHECK(c.writes[c.Write(0, Move("m", "none"))].Is<write_rejected>());
  CHECK(c.writes[c.Write(0, wrong_version)].Is<write_rejected>());
  CHECK(c.writes[c.Write(0, Move("m", "a", 1))].Is<write_rejected>());
  CHECK(c.writes[c.Write(0, Pool("none", ""), {}, true)].Is<write_rejected>());
  c.Write(0, Move("m", "a"));
  c.Run(4);
  CHECK(c.writes[c.Write(1, Move("other", "a"))].Is<write_conflict>());
  CHECK(c.writes[c.Write(1, Pool("a", ""), {}, true)].Is<write_rejected>());
  const std::size_t appended = c.log.entries.size();
  c.writes.push_back({0, 1, Pool("b", "t")});
  c.Post(0,
         write_request{request_id(c.writes.size() - 1), false, Pool("b", "t"),
                       std::nullopt, time_point::max(), true});
  CHECK(c.writes.back().Is<write_accepted>());
  CHECK(c.log.entries.size() == appended);
}

// Guards against two hosts that both find no conflict and write concurrently.
TEST_CASE("races between resources are decided by the log's order") {
  move_cluster c;
  const std::size_t first = c.Write(0, Move("m", "a"));
  const std::size_t second = c.Write(1, Move("other", "a"));
  const std::size_t removal = c.Write(2, Pool("a", ""), std::nullopt, true);
  c.Run(6);
  CHECK(c.writes[first].Is<write_accepted>());
  CHECK(c.writes[second].Is<write_conflict>());
  CHECK(c.writes[removal].Is<write_conflict>());
  c.CheckConverged();
}

}  // namespace
}  // namespace dotterellead
