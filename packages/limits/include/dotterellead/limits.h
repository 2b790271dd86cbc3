// Limits and default timings of the whole system, each with its unit. Settings
// and resources may lower a limit; nothing may raise it.
#ifndef DOTTERELLEAD_LIMITS_H_
#define DOTTERELLEAD_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dotterellead::limits {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Caller side.
inline constexpr std::size_t kMaxBodyBytes = 1 << 20;
inline constexpr std::size_t kMaxHeaderBytes = 32 << 10;
inline constexpr std::size_t kMaxHeaders = 128;
inline constexpr std::size_t kCallerThreads = 96;
inline constexpr milliseconds kDefaultRequestTimeout{10'000};
inline constexpr milliseconds kMaxRequestTimeout{300'000};

// Between entry hosts. A forwarded request carries these on top of a caller's
// headers: the envelope, the proof, and those that the client library adds.
inline constexpr std::size_t kForwardHeaders = 8;
inline constexpr std::size_t kForwardHeaderBytes = 8 << 10;
// A thread serves one connection, and each other host keeps up to 8 idle ones.
// An idle thread takes 12 KB (8 resident, 4 of page tables), so all take 3 MB.
inline constexpr std::size_t kForwardThreads = 256;

// Backend server side.
inline constexpr std::size_t kMaxAnswerBytes = 4 << 20;
inline constexpr milliseconds kConnectTimeout{500};
inline constexpr std::size_t kIdleConnectionsPerServer = 8;
// An exiting process accepts connections until its listening socket is closed.
// That took up to 2 ms after the cut with all cores busy; the rest is margin.
inline constexpr milliseconds kCrashWatch{100};
// Between two connections that a server has closed in order.
inline constexpr milliseconds kCrashRecheck{10};
// A connection that answered more recently than this may carry a non-idempotent
// request.
inline constexpr milliseconds kFreshConnectionAge{500};

// Slots and leases.
inline constexpr std::uint32_t kMaxSlotsPerServer = 1024;
inline constexpr std::size_t kMaxQueuePerPool = 1024;
inline constexpr milliseconds kLeaseTimeToLive{1'500};
inline constexpr milliseconds kLeaseRenewalInterval{500};
inline constexpr milliseconds kLeaseMargin{200};
inline constexpr milliseconds kIdleLeaseReturn{1'000};
inline constexpr milliseconds kDefaultMaxRun{2'000};
// Homes that may turn a forwarded request away for want of a free slot; the
// next one queues it. Each costs a round trip between hosts.
inline constexpr std::uint32_t kMaxFullHomes = 2;

// Membership.
inline constexpr milliseconds kGossipInterval{250};
inline constexpr std::size_t kGossipFanOut = 3;
inline constexpr milliseconds kSuspectTime{2'000};
inline constexpr milliseconds kMajorityValidity{3'000};
inline constexpr milliseconds kEpochInterval{500};

// Measuring.
inline constexpr milliseconds kProbeCost{6};
inline constexpr milliseconds kProbeInterval{600};

// Idempotency.
inline constexpr std::size_t kClaimShards = 4;
inline constexpr std::size_t kMaxOutcomeBytes = 16 << 10;
inline constexpr milliseconds kOutcomeWait{200};
inline constexpr milliseconds kMaxKeyClockSkew{300'000};
// Appends per second that all entry hosts together may use of the platform's
// log.
inline constexpr std::uint32_t kLogAppendsPerSecond = 200;

// Retries, as a share of first tries in per mille.
inline constexpr std::uint32_t kRetryBudgetPerMille = 100;
inline constexpr std::uint32_t kServersLostBeforeQuarantine = 2;
inline constexpr seconds kQuarantineTime{60};

// Admission.
// A lone request may retry even before its pool has earned a whole retry: up to
// this many are refilled, one per kRetryFloorInterval.
inline constexpr std::uint32_t kRetryFloor = 3;
inline constexpr milliseconds kRetryFloorInterval{1'000};
// The most unused retries a pool can save up.
inline constexpr std::uint32_t kRetryCap = 50;
// How long a crash waits for peers to acknowledge the strike.
inline constexpr milliseconds kStrikeWait{200};
// How long a crashed request waits for its turn to be tried again.
inline constexpr milliseconds kCrashRetryWait{1'000};
// A fingerprint with one lost server is watched for this long.
inline constexpr seconds kStrikeMemory{600};
// Serial runs without a crash after which a strike is taken back.
inline constexpr std::uint32_t kRunsToClear = 3;
inline constexpr std::size_t kMaxStruckFingerprints = 4096;
inline constexpr std::size_t kMaxWaitingPerFingerprint = 64;
inline constexpr std::size_t kMaxRetryPools = 1024;
inline constexpr milliseconds kAdmissionTick{20};

// Measuring, beyond the interval above.
// A load report of this age or older has no weight.
inline constexpr milliseconds kMaxReportAge{2'000};
// The most unused probe time a home saves up, in intervals.
inline constexpr std::int64_t kMaxSavedProbes = 4;
// Probes in a row that run out of time before the server is suspected.
inline constexpr std::uint32_t kSlowProbesBeforeSuspect = 3;
// The longest time of one probe. Shorter than the wait of a new home, so that a
// probe of the former home has ended by then.
inline constexpr milliseconds kMaxProbeTime{300};
// A probe without an outcome this long after its time limit is given up.
inline constexpr milliseconds kProbeOutcomeMargin{200};
static_assert(kMaxProbeTime + kProbeOutcomeMargin < kProbeInterval);
inline constexpr milliseconds kMeasureTick{50};

// Metrics.
// Classes beyond this number are counted together under the label "other".
inline constexpr std::size_t kMaxRequestClasses = 512;
// Label values of one counter family, the same.
inline constexpr std::size_t kMaxCounterLabels = 512;

// Graceful shutdown.
inline constexpr milliseconds kShutdownGrace{10'000};

// Messages a duty's ring holds before its full-ring policy applies.
inline constexpr std::size_t kRingCapacity = 4096;

}  // namespace dotterellead::limits

#endif  // DOTTERELLEAD_LIMITS_H_
