#include <doctest/doctest.h>

#include <algorithm>

#include "claim_simulation.h"

namespace dotterellead::claim_simulation {
namespace {

struct step_row {
  std::string name;
  step at;
};

const step_row all_steps[] = {
    {"received", step::kReceived},
    {"claim sent", step::kClaimSent},
    {"claimed", step::kClaimed},
    {"connected", step::kConnected},
    {"part sent", step::kPartSent},
    {"all sent", step::kAllSent},
    {"part of the answer", step::kPartAnswered},
    {"whole answer", step::kWholeAnswer},
    {"outcome appended", step::kOutcomeAppended},
    {"answered", step::kAnswered},
};

struct fault_row {
  std::string name;
  void (*start)(claim_simulation&);
  // Ends the fault after 4 s; may be null.
  void (*end)(claim_simulation&);
};

void LogDown(claim_simulation& w) {
  w.log.appends_down = w.log.reads_down = true;
}
void LogUp(claim_simulation& w) {
  w.log.appends_down = w.log.reads_down = false;
  w.log.latency = milliseconds(1);
}

const fault_row all_faults[] = {
    {"none", [](claim_simulation&) {}, nullptr},
    {"writer killed", [](claim_simulation& w) { w.KillHost(0); }, nullptr},
    {"writer restarted",
     [](claim_simulation& w) {
       w.KillHost(0);
       w.StartHost(0, 2);
       w.ShareMembers();
     },
     nullptr},
    {"writer paused for 4 s",
     [](claim_simulation& w) { w.PauseHost(0, milliseconds(4'000)); }, nullptr},
    {"backend killed", [](claim_simulation& w) { w.backend_up = false; },
     [](claim_simulation& w) { w.backend_up = true; }},
    {"connection cut", [](claim_simulation& w) { w.cut_next = true; }, nullptr},
    {"log down", LogDown, LogUp},
    {"appends down", [](claim_simulation& w) { w.log.appends_down = true; },
     LogUp},
    {"reads down", [](claim_simulation& w) { w.log.reads_down = true; }, LogUp},
    {"log slow", [](claim_simulation& w) { w.log.latency = milliseconds(400); },
     LogUp},
    {"append reply lost",
     [](claim_simulation& w) {
       w.log.next_reply = reply_mode::kLostAfterEffect;
     },
     nullptr},
    {"append takes effect after its timeout",
     [](claim_simulation& w) {
       w.log.next_reply = reply_mode::kEffectAfterReply;
     },
     nullptr},
    {"append takes effect long after its timeout",
     [](claim_simulation& w) {
       w.log.next_reply = reply_mode::kEffectAfterReply;
       w.log.late_by = milliseconds(5'000);
     },
     nullptr},
    {"append lost",
     [](claim_simulation& w) {
       w.log.next_reply = reply_mode::kLostBeforeEffect;
     },
     nullptr},
    {"writer paused and log down",
     [](claim_simulation& w) {
       w.PauseHost(0, milliseconds(2'000));
       LogDown(w);
     },
     LogUp},
    {"append reply lost and log down",
     [](claim_simulation& w) {
       w.log.next_reply = reply_mode::kLostAfterEffect;
       w.log.reads_down = true;
     },
     LogUp},
};

// When, after the fault, the retry goes to another host.
constexpr milliseconds kResends[] = {milliseconds(0), milliseconds(10),
                                     milliseconds(700)};

bool HasRunBy(const claim_simulation& w, time_point time) {
  return std::ranges::any_of(w.attempts, [time](const caller_attempt& a) {
    return a.ran && a.ran_at <= time;
  });
}

// A response that contradicts the backend's ledger, if any.
std::string Contradiction(const claim_simulation& w,
                          const idempotency_key& key) {
  const auto it = w.runs.find(key);
  const int runs = it == w.runs.end() ? 0 : it->second;
  if (runs > 1)
    return fmt::format("{} runs", runs);
  std::set<std::string> bodies;
  for (const caller_attempt& a : w.attempts) {
    if (a.response_run == run_state::kNotRun && a.ran)
      return "an attempt that was response_run not-run ran";
    if (a.response_run == run_state::kNotRun && HasRunBy(w, a.responded_at))
      return "not-run although an earlier attempt had run";
    if (a.response_run == run_state::kDone) {
      bodies.insert(a.response_body);
      if (runs != 1)
        return "done without a run";
    }
  }
  return bodies.size() > 1 ? "two different saved answers" : "";
}

struct cell_result {
  std::string contradiction;
  int unanswered = 0;
  int runs = 0;
  milliseconds longest{0};
  bool last_is_settled = false;
};

cell_result RunCell(const step_row& at,
                    const fault_row& fault,
                    milliseconds resend) {
  claim_simulation w(3);
  w.Run(milliseconds(200));
  const idempotency_key key = MakeKey(w.Wall(), 1);
  std::optional<time_point> fault_at;
  w.on_first = [&](step reached) {
    if (reached != at.at || fault_at)
      return;
    fault_at = w.Now();
    fault.start(w);
  };
  w.Begin(0, key);
  bool resent = false;
  bool ended = false;
  for (const time_point end = w.Now() + milliseconds(9'000); w.Now() < end;) {
    w.Advance();
    if (fault_at && !resent && w.Now() >= *fault_at + resend) {
      resent = true;
      w.Begin(1, key);
    }
    if (fault_at && !ended && w.Now() >= *fault_at + milliseconds(4'000)) {
      ended = true;
      if (fault.end != nullptr)
        fault.end(w);
    }
  }
  w.Begin(2, key);
  w.Run(milliseconds(5'000));
  w.Begin(1, key);
  w.Run(milliseconds(5'000));
  cell_result result{.contradiction = Contradiction(w, key)};
  result.runs = w.runs.contains(key) ? w.runs[key] : 0;
  for (const caller_attempt& a : w.attempts) {
    const bool host_failed = a.host == 0 && !a.response_run;
    result.unanswered += !a.response_run && !host_failed ? 1 : 0;
    if (a.response_run && a.host != 0) {
      result.longest = std::max(
          result.longest,
          std::chrono::duration_cast<milliseconds>(a.responded_at - a.begun));
    }
  }
  result.last_is_settled =
      w.attempts.back().response_run == run_state::kDone ||
      w.attempts.back().response_run == run_state::kUnknown;
  return result;
}

// Guards against a second run of a key, against responses that contradict the
// backend's ledger, and against callers that get no response.
TEST_CASE(
    "every fault at every step leaves at most one run and true responses") {
  int cells = 0;
  int runs = 0;
  milliseconds longest{0};
  for (const fault_row& fault : all_faults) {
    for (const step_row& at : all_steps) {
      for (const milliseconds resend : kResends) {
        CAPTURE(fault.name);
        CAPTURE(at.name);
        CAPTURE(resend.count());
        const cell_result result = RunCell(at, fault, resend);
        CHECK(result.contradiction == "");
        CHECK(result.unanswered == 0);
        CHECK(result.last_is_settled);
        CHECK(result.longest <= milliseconds(3'000));
        ++cells;
        runs += result.runs;
        longest = std::max(longest, result.longest);
      }
    }
  }
  MESSAGE(cells << " cells, " << runs << " with a run, longest answer "
                << longest.count() << " ms");
}

// Guards against two runs when the claims of two hosts cross, in any order of
// arrival and with either reply lost.
TEST_CASE("one key at two hosts at once runs once") {
  for (const auto mode :
       {reply_mode::kNormal, reply_mode::kLostAfterEffect,
        reply_mode::kEffectAfterReply, reply_mode::kLostBeforeEffect}) {
    for (int gap = 0; gap <= 100; gap += 5) {
      for (const int latency : {1, 20, 100}) {
        CAPTURE(static_cast<int>(mode));
        CAPTURE(gap);
        CAPTURE(latency);
        claim_simulation w(3);
        w.Run(milliseconds(200));
        w.log.read_lag = milliseconds(latency);
        w.log.next_reply = mode;
        const idempotency_key key = MakeKey(w.Wall(), 1);
        w.Begin(0, key);
        w.Run(milliseconds(gap));
        w.Begin(1, key);
        w.Begin(1, key);
        w.Run(milliseconds(8'000));
        CHECK(w.runs[key] == 1);
        CHECK(Contradiction(w, key) == "");
        for (const caller_attempt& a : w.attempts)
          CHECK(a.response_run == run_state::kDone);
      }
    }
  }
}

}  // namespace
}  // namespace dotterellead::claim_simulation
