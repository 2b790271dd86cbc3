#include "stop_sequence.h"

#include <doctest/doctest.h>

using namespace dotterellead;
using namespace dotterellead::entry;

namespace {

constexpr time_point kStarted(std::chrono::hours(1));
constexpr milliseconds kTimeout{6'000};
constexpr open_work kBusy{true, 1, 1};
constexpr open_work kIdle{true, 0, 0};

time_point After(int ms) {
  return kStarted + milliseconds(ms);
}

}  // namespace

TEST_CASE("a host that is told to stop serves callers until they know of it") {
  stop_sequence sequence(kStarted, kTimeout);
  CHECK(sequence.Advance(After(0), kIdle) == stop_phase::kAnnouncing);
  // Two readiness checks, a second apart, may just have succeeded.
  CHECK(sequence.Advance(After(2'500), kIdle) == stop_phase::kAnnouncing);
  CHECK(sequence.Advance(After(2'600), kBusy) == stop_phase::kDraining);
}

// Guards against requests lost at a planned stop: the host used to exit while
// its listening socket was open.
TEST_CASE("an idle host closes its listening socket before it ends") {
  stop_sequence sequence(kStarted, kTimeout);
  CHECK(sequence.Advance(After(2'600), kIdle) == stop_phase::kClosing);
  CHECK(sequence.Advance(After(2'650), kIdle) == stop_phase::kClosing);
  // A connection that was accepted last is served.
  CHECK(sequence.Advance(After(2'700), {false, 1, 0}) == stop_phase::kClosing);
  CHECK(sequence.Advance(After(2'800), {false, 0, 0}) == stop_phase::kEnded);
}

TEST_CASE("a request whose caller has disconnected is waited for") {
  stop_sequence sequence(kStarted, kTimeout);
  CHECK(sequence.Advance(After(2'600), {true, 0, 1}) == stop_phase::kDraining);
  CHECK(sequence.Advance(After(2'700), kIdle) == stop_phase::kClosing);
  CHECK(sequence.Advance(After(2'800), {false, 0, 1}) == stop_phase::kClosing);
}

TEST_CASE("a busy host ends in time, requests before connections") {
  for (const milliseconds timeout :
       {milliseconds(1'000), milliseconds(2'000), milliseconds(6'000),
        milliseconds(10'000), milliseconds(60'000)}) {
    CAPTURE(timeout.count());
    stop_sequence sequence(kStarted, timeout);
    // Requests that are cut before have had less time than the operators grant.
    CHECK(sequence.requests_end_at() - kStarted >= timeout * 5 / 6);
    const time_point last = sequence.requests_end_at();
    CHECK(sequence.Advance(last - milliseconds(1), kBusy) ==
          stop_phase::kDraining);
    CHECK(sequence.Advance(last, kBusy) == stop_phase::kClosing);
    time_point now = last;
    while (sequence.Advance(now, kBusy) != stop_phase::kEnded)
      now += milliseconds(1);
    CHECK(now - last >= milliseconds(50));
    CHECK(now < kStarted + timeout);
  }
}
