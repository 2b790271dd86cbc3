#include "customer_shares.h"

#include <cmath>

namespace dotterellead::dispatch {

namespace {

// Long enough for several requests of a small customer at one host, which may
// see one in ten seconds; short enough to follow a burst.
constexpr double kHalfLifeSeconds = 10;
constexpr milliseconds kDecayInterval{100};
// A customer that sent less than this is forgotten: a single request some 45 s
// ago.
constexpr double kMinArrivals = 0.05;
// No customer may be served less than a quarter as often as all; the rest is a
// margin.
constexpr double kNeglectedRatio = 0.28;
// With fewer arrivals the ratio of a customer says little.
constexpr double kMinArrivalsForRatio = 3;

}  // namespace

void customer_shares::Decay(time_point now) {
  if (now - decayed_at_ < kDecayInterval)
    return;
  const std::chrono::duration<double> elapsed = now - decayed_at_;
  const double factor = std::exp2(-elapsed.count() / kHalfLifeSeconds);
  decayed_at_ = now;
  total_ = {};
  for (auto it = counts_.begin(); it != counts_.end();) {
    it->second.arrived *= factor;
    it->second.sent *= factor;
    if (it->second.arrived < kMinArrivals) {
      it = counts_.erase(it);
      continue;
    }
    total_.arrived += it->second.arrived;
    total_.sent += it->second.sent;
    ++it;
  }
}

void customer_shares::RecordArrival(const customer_id& customer,
                                    time_point now) {
  Decay(now);
  counts_[customer].arrived += 1;
  total_.arrived += 1;
}

void customer_shares::RecordSend(const customer_id& customer, time_point now) {
  Decay(now);
  const auto counted = counts_.find(customer);
  if (counted == counts_.end())
    return;
  counted->second.sent += 1;
  total_.sent += 1;
}

customer_shares::rank customer_shares::RankOf(const customer_id& customer,
                                              time_point now) {
  Decay(now);
  const auto counted = counts_.find(customer);
  if (counted == counts_.end())
    return rank::kWithinShare;
  const counters& own = counted->second;
  if (own.arrived >= kMinArrivalsForRatio &&
      own.sent * total_.arrived < own.arrived * total_.sent * kNeglectedRatio)
    return rank::kNeglected;
  return own.sent * static_cast<double>(counts_.size()) > total_.sent
             ? rank::kAboveShare
             : rank::kWithinShare;
}

}  // namespace dotterellead::dispatch
