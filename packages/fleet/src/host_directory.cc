#include "host_directory.h"

#include <algorithm>
#include <set>

namespace dotterellead::fleet {

namespace {

// Time for which a host is silent after its first failure; doubles with each
// further one.
constexpr milliseconds kFirstSilence{2'000};
constexpr milliseconds kMaxSilence{16'000};
// Longer than the partitions that a fleet is expected to survive.
constexpr milliseconds kForgetTime{600'000};
// Hosts queried in the first round of a search; doubles with each further one.
constexpr std::size_t kFirstRoundQueries = 8;
constexpr std::size_t kMaxRoundQueries = 128;
// Hosts outside its list that a root queries at one time.
constexpr std::size_t kRootQueries = 8;

// `first`, doubled `times` times, at most `limit`.
template <class Value>
Value Doubled(Value first, int times, Value limit) {
  Value value = first;
  for (int i = 0; i < times && value < limit; ++i)
    value *= 2;
  return std::min(value, limit);
}

}  // namespace

void host_directory::RecordContact(const host_info& host, time_point now) {
  if (host.name == self_.name)
    return;
  entry& e = hosts_[host.name];
  e.info = host;
  e.last_heard = now;
  e.failures = 0;
  e.last_failure = time_point();
  e.silent_until = time_point();
}

void host_directory::RecordListed(const host_info& host, time_point now) {
  if (host.name == self_.name)
    return;
  entry& e = hosts_[host.name];
  // A host that was replaced is not the silent one.
  if (e.info.address != host.address)
    e = entry{host, now};
  e.last_heard = now;
}

void host_directory::RecordSilence(const member_id& host, time_point now) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end())
    return;
  entry& e = it->second;
  e.silent_until = now + Doubled(kFirstSilence, e.failures, kMaxSilence);
  e.last_failure = now;
  ++e.failures;
}

void host_directory::Update(const std::vector<host_info>& live,
                            time_point now) {
  for (const host_info& host : live) {
    const auto it = hosts_.find(host.name);
    if (it != hosts_.end())
      it->second.last_heard = now;
  }
  std::erase_if(hosts_, [&](const auto& known) {
    return known.second.last_heard + kForgetTime < now;
  });
}

std::vector<host_info> host_directory::AvailableParents(time_point now) const {
  std::vector<host_info> available;
  for (const auto& [name, e] : hosts_)
    if (now >= e.silent_until)
      available.push_back(e.info);
  return ParentCandidates(self_, available);
}

std::vector<host_info> host_directory::NextParentQueries(
    const std::optional<host_info>& current,
    time_point search_began,
    int round,
    time_point now) const {
  std::vector<host_info> queries = AvailableParents(now);
  std::erase_if(queries, [&](const host_info& host) {
    return hosts_.at(host.name).last_failure >= search_began;
  });
  if (current)
    queries.erase(std::find(queries.begin(), queries.end(), *current),
                  queries.end());
  queries.resize(std::min(
      queries.size(), Doubled(kFirstRoundQueries, round, kMaxRoundQueries)));
  return queries;
}

std::vector<host_info> host_directory::NextRootQueries(
    const std::vector<host_info>& live,
    time_point now) {
  std::set<member_id> listed;
  for (const host_info& host : live)
    listed.insert(host.name);
  std::vector<entry*> unlisted;
  for (auto& [name, e] : hosts_)
    if (!listed.contains(name))
      unlisted.push_back(&e);
  std::stable_sort(unlisted.begin(), unlisted.end(),
                   [](const entry* a, const entry* b) {
                     return a->last_query < b->last_query;
                   });
  unlisted.resize(std::min(unlisted.size(), kRootQueries));
  std::vector<host_info> queries;
  queries.reserve(unlisted.size());
  for (entry* e : unlisted) {
    e->last_query = now;
    queries.push_back(e->info);
  }
  return queries;
}

}  // namespace dotterellead::fleet
