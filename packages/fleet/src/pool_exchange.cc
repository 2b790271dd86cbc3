#include "pool_exchange.h"

#include <algorithm>

namespace dotterellead::fleet {

namespace {

// Time between two messages with rows to one receiver. Bytes between data
// centres are expensive.
constexpr milliseconds kMinInterval{500};
// An unchanged row is sent again after this time, so that a parent or child
// that was restarted gets it, and its age is known.
constexpr milliseconds kResendInterval{2'000};
// A row is sent again when its age grew by this much.
constexpr milliseconds kMaxAgeGrowth{1'000};
// A row is dropped when nothing was said of it for this long; one lost message
// does not drop it.
constexpr milliseconds kRowLifetime{4'500};
// The longest time that a sender leaves an unchanged row out. Its age is
// uncertain by as much and is not counted below it.
constexpr milliseconds kMaxOmission = kResendInterval;

milliseconds Since(time_point at, time_point now) {
  return std::chrono::duration_cast<milliseconds>(now - at);
}

}  // namespace

void pool_exchange::Receive(received_table& known,
                            const pools::pool_table& rows,
                            time_point now) {
  std::erase_if(known, [&](const auto& row) {
    return row.second.at + kRowLifetime < now;
  });
  for (const auto& [key, load] : rows)
    known[key] = {load, now};
}

void pool_exchange::SetOwn(const pools::pool_table& own, time_point now) {
  own_.clear();
  Receive(own_, own, now);
}

void pool_exchange::RecordChild(const member_id& child,
                                const pools::pool_table& rows,
                                time_point now) {
  std::erase_if(children_, [&](const auto& known) {
    return std::all_of(
        known.second.begin(), known.second.end(),
        [&](const auto& row) { return row.second.at + kRowLifetime < now; });
  });
  if (!rows.empty())
    Receive(children_[child], rows, now);
}

void pool_exchange::RecordParent(const pools::pool_table& rows,
                                 time_point now) {
  Receive(parent_, rows, now);
}

void pool_exchange::StartParent() {
  parent_.clear();
  receivers_.clear();
}

void pool_exchange::AddTo(pools::pool_table& sum,
                          const received_table& rows,
                          time_point now) {
  for (const auto& [key, row] : rows) {
    if (row.at + kRowLifetime < now)
      continue;
    pools::pool_load load = row.load;
    // While an unchanged row may be left out, the load is as new as the last
    // message; later the sender is silent.
    const milliseconds silence = Since(row.at, now) - kMaxOmission;
    load.age += std::max(silence, milliseconds(0));
    sum[key].Add(load);
  }
}

pools::pool_table pool_exchange::Subtree(time_point now) const {
  pools::pool_table sum;
  AddTo(sum, own_, now);
  for (const auto& [child, rows] : children_)
    AddTo(sum, rows, now);
  return sum;
}

pools::pool_table pool_exchange::Totals(bool is_root, time_point now) const {
  if (is_root)
    return Subtree(now);
  pools::pool_table totals;
  AddTo(totals, parent_, now);
  return totals;
}

pools::pool_table pool_exchange::RowsFor(const member_id& receiver,
                                         const pools::pool_table& table,
                                         time_point now) {
  std::erase_if(receivers_, [&](const auto& known) {
    return known.second.last_sent + kRowLifetime < now;
  });
  pools::pool_table rows;
  const auto known = receivers_.find(receiver);
  if (known != receivers_.end() && known->second.last_sent + kMinInterval > now)
    return rows;
  for (const auto& [key, load] : table) {
    if (known != receivers_.end()) {
      const auto sent = known->second.rows.find(key);
      if (sent != known->second.rows.end() &&
          sent->second.at + kResendInterval > now &&
          load.age < sent->second.load.age + kMaxAgeGrowth &&
          IsSimilar(load, sent->second.load))
        continue;
    }
    rows[key] = load;
  }
  if (rows.empty())
    return rows;
  receiver_state& state = receivers_[receiver];
  state.last_sent = now;
  Receive(state.rows, rows, now);
  return rows;
}

}  // namespace dotterellead::fleet
