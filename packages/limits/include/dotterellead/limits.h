// Limits and default timings of the whole system with their units. Settings and
// resources may lower a limit but not raise it.
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
// What a request's body may take on the connection beyond its size.
inline constexpr std::size_t kMaxRequestFramingBytes = 2 << 20;
inline constexpr std::size_t kMaxHeaderBytes = 32 << 10;
inline constexpr std::size_t kMaxHeaders = 128;
inline constexpr std::size_t kCallerThreads = 96;
inline constexpr milliseconds kDefaultRequestTimeout{10'000};
inline constexpr milliseconds kMaxRequestTimeout{300'000};

// Memory of the machine if the settings do not state it: that of the smallest
// hosts.
inline constexpr std::uint64_t kDefaultMemoryMb = 160;
inline constexpr std::uint64_t kMinMemoryMb = 16;
// The part of it, in per cent, that callers and servers can make a host hold.
// The rest is for the program, its catalog and what the allocator cannot reuse.
inline constexpr std::uint64_t kBudgetPercent = 62;
// Descriptors that callers' connections leave to servers, the store and other
// hosts: a quarter, and at least this many.
inline constexpr std::uint64_t kMinReservedDescriptors = 48;
inline constexpr std::uint64_t kMinDescriptors = 96;
// A caller's body arrives at least at this rate, beyond the idle timeout of the
// configuration. Callers that send all of a body within the idle timeout, as
// was required before, are faster.
inline constexpr std::uint64_t kMinBodyBytesPerSecond = 16 << 10;
// Standalone: copies of a body while its request is served (as received, for
// the handler, for the server, and what a growing buffer takes), and memory of
// the machine if the settings do not state it, which holds a largest body for
// each caller thread.
inline constexpr std::uint64_t kBodyCopies = 4;
inline constexpr std::uint64_t kDefaultStandaloneMemoryMb = 1'024;
// Bytes received from a caller beyond the header and not yet parsed.
inline constexpr std::size_t kMaxCallerUnparsedBytes = 16 << 10;
// What a caller's connection takes beside its buffer.
inline constexpr std::size_t kCallerConnectionBytes = 8 << 10;
// A parsed header field beside its name and value, and the copies of a
// request's fields and of its start line: the caller's, the one for a server,
// and what the dispatcher keeps.
inline constexpr std::size_t kHeaderFieldBytes = 112;
inline constexpr std::size_t kHeaderCopies = 2;
inline constexpr std::size_t kStartLineCopies = 4;
// Bytes in a socket's send buffer that the network has not taken.
inline constexpr int kMaxUnsentBytes = 128 << 10;
// Retry-After of a request that was not read, for lack of memory or of a
// configuration.
inline constexpr milliseconds kUnreadRetryAfter{1'000};

// Between entry hosts. A forwarded request has these in addition to the
// caller's headers: the envelope, the signature, and those added by the client
// library.
inline constexpr std::size_t kForwardHeaders = 8;
inline constexpr std::size_t kForwardHeaderBytes = 8 << 10;
// One thread serves one connection, and each other host keeps up to 8 idle
// ones. An idle thread takes 12 KB (8 resident, 4 of page tables), all together
// 3 MB.
inline constexpr std::size_t kForwardThreads = 256;

// Backend server side.
inline constexpr std::size_t kMaxResponseBytes = 4 << 20;
inline constexpr milliseconds kConnectTimeout{500};
inline constexpr std::size_t kIdleConnectionsPerServer = 8;
// An exiting process accepts connections until its listening socket is closed,
// which takes up to 2 ms after a connection was cut if all cores are busy.
inline constexpr milliseconds kCrashDetectionTime{100};
// Time between two checks of a server that closed its connections in order.
inline constexpr milliseconds kCrashRecheckInterval{10};
// Maximum time since the last response on a connection for it to carry a
// non-idempotent request.
inline constexpr milliseconds kMaxReusableConnectionAge{500};

// Backend servers of the platform mode. The longest backoff that a server may
// request with Retry-After.
inline constexpr milliseconds kMaxServerBackoff{3'600'000};
// One response: its body, its header, and what its body may take on the
// connection beyond its size (chunk headers, trailers).
inline constexpr std::uint64_t kMaxServerBodyBytes = 16 << 20;
inline constexpr std::uint32_t kMaxServerHeaderBytes = 64 << 10;
inline constexpr std::uint64_t kMaxServerFramingBytes = 2 << 20;
inline constexpr std::uint64_t kMaxProbeBodyBytes = 64 << 10;
// All responses that one host buffers; two of the largest.
inline constexpr std::uint64_t kMaxBufferedResponseBytes = 32 << 20;
// Bytes received from a server, or a caller, and not yet parsed.
inline constexpr std::size_t kMaxUnparsedBytes = 128 << 10;
// Interim responses, and late duplicates of earlier ones, before the response
// to a request.
inline constexpr int kMaxExtraResponses = 16;
// How long the statements of a server that is no longer listed are kept. Longer
// than the store keeps its history.
inline constexpr milliseconds kServerMarkRetention{600'000};
inline constexpr std::size_t kMaxUnlistedServerMarks = 4096;
// Removed keys of a topic of the store whose last offset is remembered.
inline constexpr std::size_t kMaxRemovedKeys = 4096;

// Slots and leases.
inline constexpr std::uint32_t kMaxSlotsPerServer = 1024;
inline constexpr std::size_t kMaxQueuePerPool = 1024;
inline constexpr milliseconds kLeaseDuration{1'500};
inline constexpr milliseconds kLeaseRenewalInterval{500};
inline constexpr milliseconds kLeaseExpiryMargin{200};
inline constexpr milliseconds kIdleLeaseTimeout{1'000};
inline constexpr milliseconds kDefaultMaxRunTime{2'000};
// Homes that may reject a forwarded request for lack of a free slot before the
// next one queues it. Each costs a round trip between hosts.
inline constexpr std::uint32_t kMaxHomeRejections = 2;

// Membership.
inline constexpr milliseconds kGossipInterval{250};
inline constexpr std::size_t kGossipFanOut = 3;
inline constexpr milliseconds kSuspectTimeout{2'000};
inline constexpr milliseconds kQuorumValidity{3'000};
inline constexpr milliseconds kEpochInterval{500};

// Measuring.
inline constexpr milliseconds kProbeServiceTime{6};
inline constexpr milliseconds kProbeInterval{600};

// Idempotency.
inline constexpr std::size_t kClaimShards = 4;
inline constexpr std::size_t kMaxSavedResponseBytes = 16 << 10;
inline constexpr milliseconds kOutcomeTimeout{200};
inline constexpr milliseconds kMaxKeyClockSkew{300'000};
// Appends per second to the platform's log by all entry hosts together.
inline constexpr std::uint32_t kLogAppendsPerSecond = 200;

// Retries per first attempt, per mille.
inline constexpr std::uint32_t kRetryBudgetPerMille = 100;
inline constexpr std::uint32_t kCrashesBeforeQuarantine = 2;
inline constexpr seconds kQuarantineTime{60};

// A pool without enough first attempts may still retry: up to kMinRetries are
// refilled, one per kMinRetryRefillInterval.
inline constexpr std::uint32_t kMinRetries = 3;
inline constexpr milliseconds kMinRetryRefillInterval{1'000};
// Maximum number of unused retries of a pool.
inline constexpr std::uint32_t kMaxSavedRetries = 50;
// How long the handling of a crash waits for peers to acknowledge the strike.
inline constexpr milliseconds kStrikeAckTimeout{200};
// Maximum time that a crashed request waits for its next attempt.
inline constexpr milliseconds kMaxCrashRetryWait{1'000};
// How long a strike against a fingerprint counts.
inline constexpr seconds kStrikeLifetime{600};
// Consecutive runs without a crash that remove a strike.
inline constexpr std::uint32_t kCleanRunsToRemoveStrike = 3;
inline constexpr std::size_t kMaxStruckFingerprints = 4096;
inline constexpr std::size_t kMaxWaitingPerFingerprint = 64;
inline constexpr std::size_t kMaxRetryPools = 1024;
inline constexpr milliseconds kAdmissionTick{20};

// Load reports of this age or older are ignored.
inline constexpr milliseconds kMaxReportAge{2'000};
// Maximum number of unused probe intervals that a home saves up.
inline constexpr std::int64_t kMaxSavedProbeIntervals = 4;
// Consecutive probe timeouts after which a server is suspected.
inline constexpr std::uint32_t kProbeTimeoutsBeforeSuspect = 3;
// Maximum duration of one probe. Shorter than the wait of a new home, so that
// probes of the former home have ended by then.
inline constexpr milliseconds kMaxProbeTimeout{300};
// A probe without an outcome is abandoned this long after its timeout.
inline constexpr milliseconds kProbeOutcomeMargin{200};
static_assert(kMaxProbeTimeout + kProbeOutcomeMargin < kProbeInterval);
inline constexpr milliseconds kMeasureTick{50};

// Further request classes are counted under the label "other".
inline constexpr std::size_t kMaxRequestClasses = 512;
// Likewise for the label values of one counter family.
inline constexpr std::size_t kMaxCounterLabels = 512;

// Graceful shutdown.
inline constexpr milliseconds kShutdownGrace{10'000};
// Reserved at the end of that time for answers to requests that reached it.
inline constexpr milliseconds kShutdownAnswerTime{250};

// Capacity of a duty's ring, beyond which its full-ring policy applies.
inline constexpr std::size_t kRingCapacity = 4096;

}  // namespace dotterellead::limits

#endif  // DOTTERELLEAD_LIMITS_H_
